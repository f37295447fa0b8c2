"""The states and cached answers of this daemon's own attempts.

The table is bounded and held in memory only.  Losing an entry, by a restart or because the oldest
entries are evicted, never lets a request run twice: a retry is then told that its key may have run.
"""

from collections import OrderedDict
from typing import Final

import attrs

from kingcuppond.claims.messages import (
    AttemptQuery,
    AttemptReply,
    AttemptState,
    CachedAnswer,
    ClaimRecord,
)

MAX_KNOWN_ATTEMPTS: Final = 10_000
MAX_CACHED_ANSWER_BYTES: Final = 4_000_000


@attrs.define
class _Attempt:
    content: str
    rest: str = ""
    state: AttemptState = AttemptState.RUNNING
    answer: CachedAnswer | None = None
    claim: ClaimRecord | None = None


@attrs.define
class AttemptTable:
    """The latest attempts of this daemon by id."""

    _attempts_by_id: OrderedDict[str, _Attempt] = attrs.field(factory=OrderedDict)
    _answer_bytes: int = 0

    def start(self, attempt: str, content: str) -> None:
        """Add an attempt, before its claim is requested.

        :param attempt: id of the attempt
        :param content: digest of its request
        """
        self._attempts_by_id[attempt] = _Attempt(content)
        while len(self._attempts_by_id) > MAX_KNOWN_ATTEMPTS:
            self._evict_answer(self._attempts_by_id.popitem(last=False)[1])

    def record_grant(self, claim: ClaimRecord) -> None:
        """Record that an attempt may run from now on, as its claim was granted."""
        found = self._attempts_by_id.get(claim.attempt)
        if found is not None:
            found.claim = claim

    def granted_claims(self) -> list[ClaimRecord]:
        """Return the claims of all attempts that have run, may have run or may still run."""
        return [
            entry.claim
            for entry in self._attempts_by_id.values()
            if entry.claim is not None and entry.state is not AttemptState.NOT_RUN
        ]

    def remove(self, attempt: str) -> None:
        """Remove an attempt whose claim was refused."""
        self._attempts_by_id.pop(attempt, None)

    def finish(self, attempt: str, state: AttemptState) -> None:
        """Set the final state of an attempt that has no answer to cache."""
        found = self._attempts_by_id.get(attempt)
        if found is not None:
            found.state = state

    def store_answer(self, attempt: str, rest: str, answer: CachedAnswer) -> None:
        """Cache the answer of an attempt, and evict the oldest answers if the bound is exceeded."""
        found = self._attempts_by_id.get(attempt)
        if found is None:
            return
        found.state = AttemptState.ANSWERED
        found.rest = rest
        found.answer = answer
        self._answer_bytes += len(answer.body)
        for old in self._attempts_by_id.values():
            if self._answer_bytes <= MAX_CACHED_ANSWER_BYTES:
                break
            self._evict_answer(old)

    def lookup(self, query: AttemptQuery) -> AttemptReply:
        """Return the state of an attempt, with its answer only if the request is the same."""
        found = self._attempts_by_id.get(query.attempt)
        if found is None:
            return AttemptReply(AttemptState.UNKNOWN)
        if found.content != query.content:
            return AttemptReply(found.state, is_other_content=True)
        if found.state is AttemptState.ANSWERED and found.rest != query.rest:
            return AttemptReply(found.state, is_other_content=True)
        return AttemptReply(found.state, found.answer)

    def _evict_answer(self, entry: _Attempt) -> None:
        if entry.answer is not None:
            self._answer_bytes -= len(entry.answer.body)
            entry.answer = None
