"""The ledger: what this daemon knows of its own attempts that hold a key.

It is memory only, with a bound.  Losing it (the daemon stops, or the bound drops the oldest) never
lets a request run twice: a re-send is then told that its key may have run.
"""

from collections import OrderedDict
from typing import Final

import attrs

from kingcuppond.claims.messages import AttemptState, KnownAnswer, RecallAsk, RecallReply

MAX_ATTEMPTS: Final = 10_000
MAX_ANSWER_BYTES: Final = 4_000_000


@attrs.define
class _Attempt:
    content: str
    rest: str = ""
    state: AttemptState = AttemptState.RUNNING
    answer: KnownAnswer | None = None


@attrs.define
class Ledger:
    """The attempts of this daemon, the latest ones."""

    _attempts_by_id: OrderedDict[str, _Attempt] = attrs.field(factory=OrderedDict)
    _answer_bytes: int = 0

    def start(self, attempt: str, content: str) -> None:
        """Note an attempt before its claim is asked for."""
        self._attempts_by_id[attempt] = _Attempt(content)
        while len(self._attempts_by_id) > MAX_ATTEMPTS:
            self._drop_answer(self._attempts_by_id.popitem(last=False)[1])

    def drop(self, attempt: str) -> None:
        """Forget an attempt whose claim was refused."""
        self._attempts_by_id.pop(attempt, None)

    def finish(self, attempt: str, state: AttemptState) -> None:
        """Note how an attempt ended, without an answer to keep."""
        found = self._attempts_by_id.get(attempt)
        if found is not None:
            found.state = state

    def keep(self, attempt: str, rest: str, answer: KnownAnswer) -> None:
        """Note an attempt's answer."""
        found = self._attempts_by_id.get(attempt)
        if found is None:
            return
        found.state = AttemptState.ANSWERED
        found.rest = rest
        found.answer = answer
        self._answer_bytes += len(answer.body)
        for old in self._attempts_by_id.values():
            if self._answer_bytes <= MAX_ANSWER_BYTES:
                break
            self._drop_answer(old)

    def recall(self, ask: RecallAsk) -> RecallReply:
        """Tell what became of an attempt; its answer goes only to the same request."""
        found = self._attempts_by_id.get(ask.attempt)
        if found is None:
            return RecallReply(AttemptState.UNKNOWN)
        if found.content != ask.content:
            return RecallReply(found.state, is_other_content=True)
        if found.state is AttemptState.ANSWERED and found.rest != ask.rest:
            return RecallReply(found.state, is_other_content=True)
        return RecallReply(found.state, found.answer)

    def _drop_answer(self, attempt: _Attempt) -> None:
        if attempt.answer is not None:
            self._answer_bytes -= len(attempt.answer.body)
            attempt.answer = None
