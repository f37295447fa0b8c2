"""The home of claims: writes the claims of a shard in groups.

The living member that ranks first for a shard is its home.  All claims that arrive while a write
is on its way share the next one, so the store's writes follow the number of shards and not the
claims.  Two daemons may both believe to be the home; the log's conditional write then makes one of
them read again.
"""

import asyncio
from typing import Final

import attrs
from expression import Result

from kingcuppond.claims.log import ShardLog
from kingcuppond.claims.messages import ClaimAsk, ClaimReply, Record, Verdict
from kingcuppond.clock import Clock
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.contacts import rank
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member
from kingcuppond.store.port import Store, StoreError

SHARDS: Final = 64
COMMITS_PER_SECOND: Final = 5.0
COMMIT_BURST: Final = 4.0
COMMIT_TRIES: Final = 5
RETRY_SECONDS: Final = 0.02
MAX_GROUP: Final = 500
IDLE_SECONDS: Final = 600.0
EXPIRE_SECONDS: Final = 600.0
UNAVAILABLE: Final = ClaimReply(Verdict.UNAVAILABLE)


def shard_of(key: bytes) -> int:
    """Return the shard of a key's digest."""
    return int.from_bytes(key[:2]) % SHARDS


def homes_of(shard: int, directory: Directory) -> list[Member]:
    """Return the members that may be a shard's home, the best first."""
    living = [
        member
        for member in directory.living()
        if not member.is_leaving and not directory.is_suspected(member.vm)
    ]
    return sorted(living, key=lambda member: rank(f"claims-{shard}", member.vm))


@attrs.define
class _Pending:
    record: Record
    reply: "asyncio.Future[ClaimReply]"


@attrs.define
class _Shard:
    log: ShardLog
    wake: asyncio.Event
    last_used: float
    pending: list[_Pending] = attrs.field(factory=list)
    task: asyncio.Task[None] | None = None
    tokens: float = COMMIT_BURST
    filled_at: float = 0.0
    expired_at: float = 0.0


class ClaimHome:
    """The shards that this daemon serves as a home."""

    def __init__(self, store: Store, clock: Clock, journal: Journal) -> None:
        self.commits = 0
        self._store = store
        self._clock = clock
        self._journal = journal
        self._shards_by_number: dict[int, _Shard] = {}

    async def on_ask(self, _sender: str, ask: ClaimAsk) -> ClaimReply:
        """Answer another daemon's question."""
        if not 0 <= ask.shard < SHARDS:
            return UNAVAILABLE
        return await self.submit(ask.shard, ask.record)

    async def submit(self, shard_number: int, record: Record) -> ClaimReply:
        """Write a record with the next group and tell what became of it."""
        shard = self._open(shard_number)
        reply: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        shard.pending.append(_Pending(record, reply))
        shard.last_used = self._clock.monotonic()
        shard.wake.set()
        return await reply

    def stop(self) -> None:
        """End all shards' tasks; unanswered records count as unavailable."""
        for shard in self._shards_by_number.values():
            if shard.task is not None:
                shard.task.cancel()
            _reply_all(shard.pending, UNAVAILABLE)
        self._shards_by_number.clear()

    def _open(self, number: int) -> _Shard:
        shard = self._shards_by_number.get(number)
        if shard is None:
            now = self._clock.monotonic()
            shard = _Shard(ShardLog(number, self._store), asyncio.Event(), now, expired_at=now)
            shard.task = asyncio.create_task(self._serve(number, shard))
            self._shards_by_number[number] = shard
        return shard

    async def _serve(self, number: int, shard: _Shard) -> None:
        while True:
            try:
                async with asyncio.timeout(IDLE_SECONDS):
                    await shard.wake.wait()
            except TimeoutError:
                if not shard.pending:
                    del self._shards_by_number[number]
                    return
            shard.wake.clear()
            while shard.pending:
                await self._pace(shard)
                group = shard.pending[:MAX_GROUP]
                del shard.pending[:MAX_GROUP]
                await self._commit_safely(shard, group)
            await self._expire(shard)

    async def _pace(self, shard: _Shard) -> None:
        now = self._clock.monotonic()
        refill = (now - shard.filled_at) * COMMITS_PER_SECOND
        shard.tokens = min(COMMIT_BURST, shard.tokens + refill)
        shard.filled_at = now
        if shard.tokens < 1.0:
            await asyncio.sleep((1.0 - shard.tokens) / COMMITS_PER_SECOND)
        shard.tokens -= 1.0

    async def _commit_safely(self, shard: _Shard, group: list[_Pending]) -> None:
        try:
            await self._commit(shard, group)
        except Exception as exc:
            shard.log = ShardLog(shard.log.shard, self._store)
            self._journal.record(catalogue.TASK_FAILED, task="claims", error=repr(exc))
        finally:
            _reply_all(group, UNAVAILABLE)

    async def _commit(self, shard: _Shard, group: list[_Pending]) -> None:
        for _ in range(COMMIT_TRIES):
            if not shard.log.is_loaded:
                loaded = await shard.log.load(self._clock.fleet_ms())
                if loaded.is_error():
                    await self._wait_after(loaded)
                    continue
            group, records = self._sift(shard.log, group)
            if not records:
                _reply_all(group, ClaimReply(Verdict.GRANTED))
                return
            self.commits += 1
            written = await shard.log.append(records)
            if written.is_ok():
                _reply_all(group, ClaimReply(Verdict.GRANTED))
                return
            self._journal.record(
                catalogue.CLAIM_RELOADED, shard=shard.log.shard, why=written.error.message
            )
            await self._wait_after(written)

    def _sift(self, log: ShardLog, group: list[_Pending]) -> tuple[list[_Pending], list[Record]]:
        """Answer what the log speaks against; return the rest and the records to write."""
        rest = []
        records: list[Record] = []
        taken_by_key: dict[bytes, Record] = {}
        for pending in group:
            record = pending.record
            holder = log.holder(record) or taken_by_key.get(record.key)
            if not record.is_release and holder is not None and holder.attempt != record.attempt:
                _reply_all([pending], ClaimReply(Verdict.HELD, holder))
                continue
            rest.append(pending)
            if not log.has(record) and record not in records:
                records.append(record)
                if not record.is_release:
                    taken_by_key[record.key] = record
        return rest, records

    async def _wait_after(self, result: Result[None, StoreError]) -> None:
        if not result.error.is_conflict:
            await asyncio.sleep(RETRY_SECONDS)

    async def _expire(self, shard: _Shard) -> None:
        now = self._clock.monotonic()
        if now - shard.expired_at > EXPIRE_SECONDS:
            shard.expired_at = now
            await shard.log.drop_expired(self._clock.fleet_ms())


def _reply_all(group: list[_Pending], reply: ClaimReply) -> None:
    for pending in group:
        if not pending.reply.done():
            pending.reply.set_result(reply)
