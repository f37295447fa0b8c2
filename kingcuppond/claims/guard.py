"""At-most-once execution of requests that carry an idempotency key.

1. The daemon that received the request creates an attempt with a unique id and asks the
   coordinator of the key's shard for a claim.  The attempt runs only after its claim is in the
   store.
2. If another attempt holds the key, the daemon that owns that attempt is asked for its state.  A
   cached answer is returned again, but only to the same request.  The state "not run" frees the
   key: the owner has decided never to run that attempt, and the release is written to the log
   before the new claim.
3. If the owner does not know the attempt or can't be reached, the caller is told that a request
   with this key may have run.

An attempt that was not granted in time is abandoned: its owner never runs it and reports it as not
run.  So a claim that reaches the store late does not block its key for good, as long as the owner
remembers the attempt.
"""

from collections.abc import Awaitable, Callable
from hashlib import blake2b
from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.claims.keys import key_digest
from kingcuppond.claims.messages import (
    AttemptQuery,
    AttemptState,
    CachedAnswer,
    ClaimRecord,
    Verdict,
)
from kingcuppond.claims.peers import REPLY_TIMEOUT_SECONDS, ClaimPeers
from kingcuppond.clock import Clock
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.routing.call import BODY_MEMORY_BYTES, Answer, Call
from kingcuppond.store.era import EraTracker

MAX_CLAIM_ROUNDS: Final = 4
CONTENT_DIGEST_BYTES: Final = 12

RunCall = Callable[[Call], Awaitable[Result[Answer, Failure]]]


def content_digest(call: Call) -> str:
    """Return the digest of a call's method, target and the part of its body that is in memory."""
    digest = blake2b(digest_size=CONTENT_DIGEST_BYTES)
    start = call.body.buffered[:BODY_MEMORY_BYTES]
    for part in (call.method.encode(), call.target.encode("utf-8", "surrogateescape"), start):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


class ClaimGuard:
    """Runs a request with an idempotency key at most once.

    :param eras: the newest era of the store that this daemon knows
    :param run: sends a call to a server
    :param next_id: generates the id of a new attempt
    :param wait_until_current: after a pause of this process, waits for a moment until it is up to
        date, and returns whether it is
    """

    def __init__(
        self,
        peers: ClaimPeers,
        eras: EraTracker,
        clock: Clock,
        journal: Journal,
        run: RunCall,
        next_id: Callable[[], str],
        wait_until_current: Callable[[], Awaitable[bool]],
    ) -> None:
        self._peers = peers
        self._attempts = peers.attempts
        self._eras = eras
        self._clock = clock
        self._journal = journal
        self._run = run
        self._next_id = next_id
        self._wait_until_current = wait_until_current

    async def run_once(self, call: Call, key: str) -> Result[Answer, Failure]:
        """Run a call, or return the first answer again if its key has already run.

        If this is cancelled before the call is sent to a server, the attempt never runs, and its
        state is ``NOT_RUN``.  After a later cancellation the state is ``UNKNOWN``.
        """
        digest = key_digest(call.class_name, key, call.organisation)
        content = content_digest(call)
        for _ in range(MAX_CLAIM_ROUNDS):
            record = ClaimRecord(digest, content, call.id, self._clock.fleet_ms())
            self._attempts.start(call.id, content)
            try:
                reply = await self._peers.submit(record, call.deadline)
                self._eras.observe(reply.era)
                # The store may have been restored during a pause between the grant and this line.
                is_current = await self._wait_until_current()
            except BaseException:
                self._attempts.finish(call.id, AttemptState.NOT_RUN)
                raise
            # A claim that was granted before a restore is not used: the store may have lost it, and
            # this daemon has already begun to write its earlier claims again.
            is_usable = is_current and reply.era == self._eras.era
            if reply.verdict is Verdict.GRANTED and is_usable:
                return await self._run_granted(call, record)
            if reply.verdict is not Verdict.HELD or reply.holder is None:
                self._attempts.finish(call.id, AttemptState.NOT_RUN)
                return Error(
                    NotRun(
                        Reason.CLAIM_UNAVAILABLE, "the idempotency key could not be claimed in time"
                    )
                )
            self._attempts.remove(call.id)
            self._journal.record(
                catalogue.CLAIM_REFUSED,
                key=digest.hex(),
                attempt=reply.holder.attempt,
                organisation=call.organisation,
            )
            call.delivery.attempts.add(reply.holder.attempt)
            if reply.holder.key == digest:
                result = await self._resolve_held_key(call, content, reply.holder)
            else:
                result = await self._resolve_unowned_key(call, reply.holder)
            if result is not None:
                return result
            call.delivery.attempts.discard(reply.holder.attempt)
            call = attrs.evolve(call, id=self._next_id())
        return Error(
            Unknown(Reason.KEY_RUNNING, "other attempts claimed this idempotency key first")
        )

    async def _run_granted(self, call: Call, record: ClaimRecord) -> Result[Answer, Failure]:
        self._attempts.record_grant(record)
        self._journal.record(
            catalogue.CLAIM_GRANTED,
            key=record.key.hex(),
            attempt=call.id,
            organisation=call.organisation,
        )
        try:
            result = await self._run(call)
        except BaseException:
            may_have_run = call.delivery.may_have_run
            self._attempts.finish(
                call.id, AttemptState.UNKNOWN if may_have_run else AttemptState.NOT_RUN
            )
            raise
        if result.is_ok():
            try:
                await self._cache_answer(call, result.ok)
            except BaseException:
                self._attempts.finish(call.id, AttemptState.ANSWERED)
                await result.ok.close()
                raise
        elif isinstance(result.error, NotRun):
            self._attempts.finish(call.id, AttemptState.NOT_RUN)
            await self._release(record)
        else:
            self._attempts.finish(call.id, AttemptState.UNKNOWN)
        return result

    async def _cache_answer(self, call: Call, answer: Answer) -> None:
        if answer.body is None:
            # A long answer is streamed to the caller and not held in memory, so it is not cached.
            self._attempts.finish(call.id, AttemptState.ANSWERED)
            return
        try:
            digest = await call.body.digest()
        except TimeoutError:
            # The server answered before the body had arrived, so repeats of it can't be compared.
            self._attempts.finish(call.id, AttemptState.ANSWERED)
            return
        cached = CachedAnswer(answer.status, answer.headers, answer.body)
        self._attempts.store_answer(call.id, digest, cached)

    async def _resolve_held_key(
        self, call: Call, content: str, holder: ClaimRecord
    ) -> Result[Answer, Failure] | None:
        """Return the result of a call whose key is held; ``None`` if the key is free now."""
        if holder.content != content:
            return Error(
                NotRun(Reason.KEY_REUSED, "the idempotency key was used with another request")
            )
        try:
            digest = await call.body.digest()
        except TimeoutError:
            detail = "the request body did not arrive before the deadline"
            return Error(Unknown(Reason.DEADLINE, detail))
        query = AttemptQuery(holder.attempt, holder.content, digest)
        reply = await self._peers.query(query, call.deadline)
        if reply.is_other_content:
            return Error(
                NotRun(Reason.KEY_REUSED, "the idempotency key was used with another request")
            )
        if reply.answer is not None:
            answer = reply.answer
            return Ok(Answer(answer.status, answer.headers, answer.body))
        if reply.state is AttemptState.NOT_RUN:
            await self._release(holder)
            return None
        if reply.state is AttemptState.RUNNING:
            return Error(
                Unknown(Reason.KEY_RUNNING, "a request with this idempotency key is running")
            )
        return Error(
            Unknown(Reason.KEY_RAN, "a request with this idempotency key has run or may have run")
        )

    async def _resolve_unowned_key(
        self, call: Call, holder: ClaimRecord
    ) -> Result[Answer, Failure] | None:
        """Return the result of a call whose key is held, perhaps by another organisation's request.

        The claim doesn't tell whose it is, so that its answer is not returned.
        """
        # Only the answer to the same content is sent, and no request has this one.
        reply = await self._peers.query(AttemptQuery(holder.attempt, "", ""), call.deadline)
        if reply.state is AttemptState.NOT_RUN:
            await self._release(holder)
            return None
        detail = "a request with this idempotency key may have run before keys had organisations"
        return Error(Unknown(Reason.KEY_RAN, detail))

    async def _release(self, record: ClaimRecord) -> None:
        release = attrs.evolve(record, is_release=True, at_ms=self._clock.fleet_ms())
        reply = await self._peers.submit(release, self._clock.monotonic() + REPLY_TIMEOUT_SECONDS)
        if reply.verdict is Verdict.GRANTED:
            self._journal.record(
                catalogue.CLAIM_RELEASED, key=record.key.hex(), attempt=record.attempt
            )
