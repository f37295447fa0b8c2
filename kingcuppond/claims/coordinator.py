"""The claim coordinator: commits the claims of a shard to the store in groups.

The living member that ranks first for a shard is its coordinator.  All claims that arrive while a
write is in flight share the next write, so the number of writes grows with the number of shards
and not with the number of claims.  Two daemons may both act as coordinator of a shard; the log's
conditional write then fails for one of them, which reloads the log.
"""

import asyncio
from typing import Final

import attrs
from expression import Result

from kingcuppond.claims.log import ShardLog
from kingcuppond.claims.messages import ClaimRecord, ClaimReply, ClaimRequest, Verdict
from kingcuppond.clock import Clock
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.contacts import rendezvous_hash
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member
from kingcuppond.store.interface import Store, StoreError

SHARD_COUNT: Final = 64
COMMITS_PER_SECOND: Final = 5.0
COMMIT_BURST: Final = 4.0
MAX_COMMIT_ATTEMPTS: Final = 5
RETRY_DELAY_SECONDS: Final = 0.02
MAX_GROUP_RECORDS: Final = 500
SHARD_IDLE_SECONDS: Final = 600.0
EXPIRY_INTERVAL_SECONDS: Final = 600.0
UNAVAILABLE: Final = ClaimReply(Verdict.UNAVAILABLE)


def shard_of(key: bytes) -> int:
    """Return the shard number for the digest of a key."""
    return int.from_bytes(key[:2]) % SHARD_COUNT


def coordinators_of(shard: int, directory: Directory) -> list[Member]:
    """Return the members that may coordinate a shard, in order of rank."""
    living = [
        member
        for member in directory.living()
        if not member.is_leaving and not directory.is_suspected(member.vm)
    ]
    return sorted(living, key=lambda member: rendezvous_hash(f"claims-{shard}", member.vm))


@attrs.define
class _PendingRecord:
    record: ClaimRecord
    reply: "asyncio.Future[ClaimReply]"


@attrs.define
class _Shard:
    log: ShardLog
    wake: asyncio.Event
    last_used: float
    pending: list[_PendingRecord] = attrs.field(factory=list)
    task: asyncio.Task[None] | None = None
    tokens: float = COMMIT_BURST
    refilled_at: float = 0.0
    last_expiry_at: float = 0.0


class ClaimCoordinator:
    """The shards that this daemon coordinates."""

    def __init__(self, store: Store, clock: Clock, journal: Journal) -> None:
        self.commits = 0
        self._store = store
        self._clock = clock
        self._journal = journal
        self._shards_by_number: dict[int, _Shard] = {}

    async def on_claim_request(self, _sender: str, request: ClaimRequest) -> ClaimReply:
        """Handle a claim request from another daemon."""
        if not 0 <= request.shard < SHARD_COUNT:
            return UNAVAILABLE
        return await self.submit(request.shard, request.record)

    async def submit(self, shard_number: int, record: ClaimRecord) -> ClaimReply:
        """Write a record with the next group and return the result."""
        shard = self._open_shard(shard_number)
        reply: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        shard.pending.append(_PendingRecord(record, reply))
        shard.last_used = self._clock.monotonic()
        shard.wake.set()
        return await reply

    def stop(self) -> None:
        """Cancel the tasks of all shards; pending records are answered as unavailable."""
        for shard in self._shards_by_number.values():
            if shard.task is not None:
                shard.task.cancel()
            _reply_all(shard.pending, UNAVAILABLE)
        self._shards_by_number.clear()

    def _open_shard(self, number: int) -> _Shard:
        shard = self._shards_by_number.get(number)
        if shard is None:
            now = self._clock.monotonic()
            shard = _Shard(ShardLog(number, self._store), asyncio.Event(), now, last_expiry_at=now)
            shard.task = asyncio.create_task(self._run_shard(number, shard))
            self._shards_by_number[number] = shard
        return shard

    async def _run_shard(self, number: int, shard: _Shard) -> None:
        while True:
            try:
                async with asyncio.timeout(SHARD_IDLE_SECONDS):
                    await shard.wake.wait()
            except TimeoutError:
                if not shard.pending:
                    del self._shards_by_number[number]
                    return
            shard.wake.clear()
            while shard.pending:
                await self._wait_for_token(shard)
                group = shard.pending[:MAX_GROUP_RECORDS]
                del shard.pending[:MAX_GROUP_RECORDS]
                await self._commit_or_reset(shard, group)
            await self._drop_expired(shard)

    async def _wait_for_token(self, shard: _Shard) -> None:
        now = self._clock.monotonic()
        refill = (now - shard.refilled_at) * COMMITS_PER_SECOND
        shard.tokens = min(COMMIT_BURST, shard.tokens + refill)
        shard.refilled_at = now
        if shard.tokens < 1.0:
            await asyncio.sleep((1.0 - shard.tokens) / COMMITS_PER_SECOND)
        shard.tokens -= 1.0

    async def _commit_or_reset(self, shard: _Shard, group: list[_PendingRecord]) -> None:
        try:
            await self._commit(shard, group)
        except Exception as exc:
            shard.log = ShardLog(shard.log.shard, self._store)
            self._journal.record(catalogue.TASK_FAILED, task="claims", error=repr(exc))
        finally:
            _reply_all(group, UNAVAILABLE)

    async def _commit(self, shard: _Shard, group: list[_PendingRecord]) -> None:
        for _ in range(MAX_COMMIT_ATTEMPTS):
            if not shard.log.is_loaded:
                loaded = await shard.log.load(self._clock.fleet_ms())
                if loaded.is_error():
                    await self._wait_before_retry(loaded)
                    continue
            group, records = self._reject_held(shard.log, group)
            if not records:
                _reply_all(group, ClaimReply(Verdict.GRANTED))
                return
            self.commits += 1
            written = await shard.log.append(records)
            if written.is_ok():
                _reply_all(group, ClaimReply(Verdict.GRANTED))
                return
            self._journal.record(
                catalogue.CLAIMS_RELOADED, shard=shard.log.shard, why=written.error.message
            )
            await self._wait_before_retry(written)

    def _reject_held(
        self, log: ShardLog, group: list[_PendingRecord]
    ) -> tuple[list[_PendingRecord], list[ClaimRecord]]:
        """Refuse the claims whose keys other attempts hold.

        :return: the group without the refused claims, and those of its records that need a write
        """
        accepted = []
        records: list[ClaimRecord] = []
        claimed_by_key: dict[bytes, ClaimRecord] = {}
        for pending in group:
            record = pending.record
            holder = log.holder(record) or claimed_by_key.get(record.key)
            if not record.is_release and holder is not None and holder.attempt != record.attempt:
                _reply_all([pending], ClaimReply(Verdict.HELD, holder))
                continue
            accepted.append(pending)
            if not log.is_redundant(record) and record not in records:
                records.append(record)
                if not record.is_release:
                    claimed_by_key[record.key] = record
        return accepted, records

    async def _wait_before_retry(self, result: Result[None, StoreError]) -> None:
        """Wait after a failure of the store; after a conflict, reading the log again suffices."""
        if not result.error.is_conflict:
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _drop_expired(self, shard: _Shard) -> None:
        now = self._clock.monotonic()
        if now - shard.last_expiry_at > EXPIRY_INTERVAL_SECONDS:
            shard.last_expiry_at = now
            await shard.log.drop_expired(self._clock.fleet_ms())


def _reply_all(group: list[_PendingRecord], reply: ClaimReply) -> None:
    """Reply to all records of a group that have no reply yet."""
    for pending in group:
        if not pending.reply.done():
            pending.reply.set_result(reply)
