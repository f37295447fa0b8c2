"""The guard of requests that may run at most once.

1. The daemon that a caller reached makes an attempt with an id of its own and asks the home of the
   key's shard for a claim.  Only a claim that is in the store lets the attempt run.
2. If another attempt holds the key, its owner is asked what became of it.  An answer that is still
   known is given again, to the same request only.  "Not run" frees the key: the owner has decided
   that this attempt never runs, and the release is written to the log before the new claim.
3. If the owner does not know or can't be asked, the caller is told that the key may have run.

An attempt that was not granted in time is abandoned: its owner will never run it and says so when
it is asked, so a claim that reaches the store late blocks nobody for good.
"""

import asyncio
from collections.abc import Awaitable, Callable
from hashlib import blake2b
from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.claims.home import UNAVAILABLE, ClaimHome, homes_of, shard_of
from kingcuppond.claims.ledger import Ledger
from kingcuppond.claims.messages import (
    AttemptState,
    ClaimAsk,
    ClaimReply,
    KnownAnswer,
    RecallAsk,
    RecallReply,
    Record,
    Verdict,
)
from kingcuppond.clock import Clock
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.peers.transport import PeerTransport
from kingcuppond.routing.call import Answer, Call

HOMES_ASKED: Final = 3
ROUNDS: Final = 4
ASK_SECONDS: Final = 1.0
KEY_BYTES: Final = 16

Run = Callable[[Call], Awaitable[Result[Answer, Failure]]]


def key_digest(class_name: str, key: str) -> bytes:
    """Return the digest of a caller's key within its class."""
    text = f"{class_name}\0{key}".encode("utf-8", "surrogateescape")
    return blake2b(text, digest_size=KEY_BYTES).digest()


class ClaimGuard:
    """Lets a request with a key run at most once.

    :param run: sends a call to a server
    :param next_id: makes the id of a new attempt
    """

    def __init__(
        self,
        directory: Directory,
        transport: PeerTransport,
        home: ClaimHome,
        clock: Clock,
        journal: Journal,
        run: Run,
        next_id: Callable[[], str],
    ) -> None:
        self._directory = directory
        self._transport = transport
        self._home = home
        self._clock = clock
        self._journal = journal
        self._run = run
        self._next_id = next_id
        self._ledger = Ledger()
        transport.handlers_by_type[ClaimAsk] = home.on_ask
        transport.handlers_by_type[RecallAsk] = self._on_recall

    async def run_once(self, call: Call, key: str) -> Result[Answer, Failure]:
        """Run a call unless its key has run, or give its first answer again."""
        digest = key_digest(call.class_name, key)
        for _ in range(ROUNDS):
            record = self._make_record(call, digest)
            self._ledger.start(call.id, call.fingerprint)
            reply = await self._submit(record, call.deadline)
            if reply.verdict is Verdict.GRANTED:
                return await self._run_granted(call, record)
            if reply.verdict is Verdict.UNAVAILABLE or reply.holder is None:
                self._ledger.finish(call.id, AttemptState.NOT_RUN)
                return Error(NotRun(Reason.STORE_DOWN, "the key could not be claimed in time"))
            self._ledger.drop(call.id)
            self._journal.record(
                catalogue.CLAIM_REFUSED, key=digest.hex(), attempt=reply.holder.attempt
            )
            ended = await self._meet_holder(call, reply.holder)
            if ended is not None:
                return ended
            call = attrs.evolve(call, id=self._next_id())
        return Error(Unknown(Reason.KEY_RUNNING, "other attempts with this key came first"))

    def _make_record(self, call: Call, digest: bytes) -> Record:
        return Record(digest, call.fingerprint, call.id, self._clock.fleet_ms())

    async def _run_granted(self, call: Call, record: Record) -> Result[Answer, Failure]:
        self._journal.record(catalogue.CLAIM_GRANTED, key=record.key.hex(), attempt=call.id)
        try:
            got = await self._run(call)
        except BaseException:
            self._ledger.finish(call.id, AttemptState.UNKNOWN)
            raise
        if got.is_ok():
            await self._keep_answer(call, got.ok)
        elif isinstance(got.error, NotRun):
            self._ledger.finish(call.id, AttemptState.NOT_RUN)
            await self._release(record)
        else:
            self._ledger.finish(call.id, AttemptState.UNKNOWN)
        return got

    async def _keep_answer(self, call: Call, answer: Answer) -> None:
        if answer.whole is None:
            # A long answer streams to the caller and is not kept.
            self._ledger.finish(call.id, AttemptState.ANSWERED)
            return
        known = KnownAnswer(answer.status, answer.headers, answer.whole)
        self._ledger.keep(call.id, await call.body.digest(), known)

    async def _meet_holder(self, call: Call, holder: Record) -> Result[Answer, Failure] | None:
        """Decide what a held key means for a call; ``None`` if the key is free now."""
        if holder.content != call.fingerprint:
            return Error(NotRun(Reason.CONTENT_DIFFERS, "the key came with another request"))
        recalled = await self._recall(call, holder)
        if recalled.is_other_content:
            return Error(NotRun(Reason.CONTENT_DIFFERS, "the key came with another request"))
        if recalled.answer is not None:
            answer = recalled.answer
            return Ok(Answer(answer.status, answer.headers, answer.body))
        if recalled.state is AttemptState.NOT_RUN:
            await self._release(holder)
            return None
        if recalled.state is AttemptState.RUNNING:
            return Error(Unknown(Reason.KEY_RUNNING, "a request with this key is running"))
        return Error(Unknown(Reason.KEY_RAN, "a request with this key has run or may have run"))

    async def _recall(self, call: Call, holder: Record) -> RecallReply:
        ask = RecallAsk(holder.attempt, holder.content, await call.body.digest())
        owner = self._directory.members_by_vm.get(holder.attempt.partition("/")[0])
        if owner is None:
            return RecallReply(AttemptState.UNKNOWN)
        if owner.vm == self._directory.me.vm:
            return self._ledger.recall(ask)
        timeout = self._time_to_ask(call.deadline)
        reply = await self._transport.ask(owner.peer_address, ask, RecallReply, timeout)
        return reply.default_value(RecallReply(AttemptState.UNKNOWN))

    async def _on_recall(self, _sender: str, ask: RecallAsk) -> RecallReply:
        return self._ledger.recall(ask)

    async def _release(self, record: Record) -> None:
        release = attrs.evolve(record, is_release=True, at_ms=self._clock.fleet_ms())
        reply = await self._submit(release, self._clock.monotonic() + ASK_SECONDS)
        if reply.verdict is Verdict.GRANTED:
            self._journal.record(
                catalogue.CLAIM_RELEASED, key=record.key.hex(), attempt=record.attempt
            )

    async def _submit(self, record: Record, deadline: float) -> ClaimReply:
        """Have a record written, by the home or by the next one if it does not answer.

        The same record may be given to several homes: the log takes it once.
        """
        shard = shard_of(record.key)
        for member in homes_of(shard, self._directory)[:HOMES_ASKED]:
            timeout = self._time_to_ask(deadline)
            if timeout <= 0:
                return UNAVAILABLE
            if member.vm == self._directory.me.vm:
                reply = await self._submit_here(shard, record, timeout)
            else:
                ask = ClaimAsk(shard, record)
                asked = await self._transport.ask(member.peer_address, ask, ClaimReply, timeout)
                reply = asked.default_value(UNAVAILABLE)
            if reply.verdict is not Verdict.UNAVAILABLE:
                return reply
        return UNAVAILABLE

    async def _submit_here(self, shard: int, record: Record, timeout: float) -> ClaimReply:
        try:
            async with asyncio.timeout(timeout):
                return await self._home.submit(shard, record)
        except TimeoutError:
            return UNAVAILABLE

    def _time_to_ask(self, deadline: float) -> float:
        # Half of what is left, so that a second home can still be asked and the call still run.
        return min(ASK_SECONDS, (deadline - self._clock.monotonic()) / 2)
