"""The claim coordinator: commits the claims of a shard to the store in groups.

The living member that ranks first for a shard is its coordinator.  All claims that arrive while a
write is in flight share the next write, so the number of writes grows with the number of shards
and not with the number of claims.  Two daemons may both act as coordinator of a shard; the log's
conditional write then fails for one of them, which reloads the log.

After the store was restored from a copy, claims may be missing from the log, so a new claim is
granted only once all living members have published that theirs are in the log of the present era
(see ``renewal.py``).  Until then a coordinator writes only releases and such older claims.
"""

import asyncio
from collections.abc import Callable
from typing import Final

import attrs
from expression import Result

from kingcuppond.claims.keys import is_of_organisation, stem_of
from kingcuppond.claims.log import MAX_APPENDED_RECORDS, ShardLog
from kingcuppond.claims.messages import (
    ClaimRecord,
    ClaimReply,
    ClaimRequest,
    RenewalReply,
    RenewalRequest,
    Verdict,
)
from kingcuppond.claims.shards import SHARD_COUNT
from kingcuppond.clock import Clock
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.store.era import EraTracker
from kingcuppond.store.interface import Store, StoreError

COMMITS_PER_SECOND: Final = 5.0
COMMIT_BURST: Final = 4.0
MAX_COMMIT_ATTEMPTS: Final = 5
RETRY_DELAY_SECONDS: Final = 0.02
SHARD_IDLE_SECONDS: Final = 600.0
EXPIRY_INTERVAL_SECONDS: Final = 600.0
CONFIRMATION_WAIT_SECONDS: Final = 0.5
"""How long a new claim waits for the other members; a rumour crosses the fleet in about 0.3 s."""

CONFIRMATION_POLL_SECONDS: Final = 0.02
UNAVAILABLE: Final = ClaimReply(Verdict.UNAVAILABLE)


@attrs.define
class _PendingRecord:
    """A record that waits to be written.

    :param record: ``None`` if only the log is to be brought to the present era
    :param is_renewal: the record is a claim that was granted before
    """

    record: ClaimRecord | None
    reply: "asyncio.Future[ClaimReply]"
    is_renewal: bool = False


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
    is_confirmed: bool = True


class ClaimCoordinator:
    """The shards that this daemon coordinates.

    :param eras: the newest era of the store that this daemon knows
    :param confirmed_era: returns the newest era in whose log the claims of all living members are
    :param on_granted: called with a shard's number, records that are about to be granted, and the
        era of the log that holds them
    """

    def __init__(
        self,
        store: Store,
        eras: EraTracker,
        confirmed_era: Callable[[], int],
        clock: Clock,
        journal: Journal,
    ) -> None:
        self.commits = 0
        self.on_granted: list[Callable[[int, list[ClaimRecord], int], None]] = []
        self._store = store
        self._eras = eras
        self._confirmed_era = confirmed_era
        self._clock = clock
        self._journal = journal
        self._shards_by_number: dict[int, _Shard] = {}

    @property
    def is_confirmed(self) -> bool:
        """Whether the claims of all living members are in the log of the present era."""
        return self._confirmed_era() >= self._eras.era

    async def on_claim_request(self, _sender: str, request: ClaimRequest) -> ClaimReply:
        """Handle a claim request from another daemon."""
        if not 0 <= request.shard < SHARD_COUNT:
            return UNAVAILABLE
        self._eras.observe(request.era)
        return await self.submit(request.shard, request.record)

    async def on_renewal_request(self, _sender: str, request: RenewalRequest) -> RenewalReply:
        """Handle a renewal request from another daemon."""
        if not 0 <= request.shard < SHARD_COUNT:
            return RenewalReply(is_done=False)
        self._eras.observe(request.era)
        return await self.renew(request)

    async def submit(self, shard_number: int, record: ClaimRecord) -> ClaimReply:
        """Write a record with the next group and return the result."""
        if not record.is_release and not await self._wait_for_confirmation():
            return UNAVAILABLE
        return await self._enqueue(shard_number, record)

    async def renew(self, request: RenewalRequest) -> RenewalReply:
        """Write claims again that were granted in an earlier era."""
        shard = self._open_shard(request.shard)
        if not self._is_current(shard):
            await self._enqueue(request.shard, None, is_renewal=True)
        log = shard.log
        if not self._is_current(shard) or log.era < request.era:
            return RenewalReply(is_done=False)
        lacking = [record for record in request.records if not log.is_redundant(record)]
        replies = await asyncio.gather(
            *(self._enqueue(request.shard, record, is_renewal=True) for record in lacking)
        )
        holders = map(log.holder, request.records)
        return RenewalReply(
            is_done=all(_is_granted_in(reply, request.era) for reply in replies),
            holders=tuple(holder for holder in holders if holder is not None),
        )

    async def renew_own(self, era: int) -> bool:
        """Write the claims of this daemon's copies of the logs that the restored store lacks.

        :return: whether all copies are of the given era or a newer one
        """
        requests = [RenewalRequest(number, (), era) for number in self._shards_by_number]
        replies = await asyncio.gather(*(self.renew(request) for request in requests))
        return all(reply.is_done for reply in replies)

    async def _enqueue(
        self, shard_number: int, record: ClaimRecord | None, is_renewal: bool = False
    ) -> ClaimReply:
        shard = self._open_shard(shard_number)
        reply: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        shard.pending.append(_PendingRecord(record, reply, is_renewal))
        shard.last_used = self._clock.monotonic()
        shard.wake.set()
        return await reply

    async def _wait_for_confirmation(self) -> bool:
        """Wait until the present era is confirmed, and return whether it is."""
        end = self._clock.monotonic() + CONFIRMATION_WAIT_SECONDS
        while not self.is_confirmed:
            if self._clock.monotonic() >= end:
                self._journal.record(
                    catalogue.CLAIM_UNCONFIRMED,
                    confirmed=self._confirmed_era(),
                    era=self._eras.era,
                )
                return False
            await asyncio.sleep(CONFIRMATION_POLL_SECONDS)
        return True

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
            while self._reply_to_redundant(shard):
                await self._wait_for_token(shard)
                group = shard.pending[:MAX_APPENDED_RECORDS]
                del shard.pending[:MAX_APPENDED_RECORDS]
                await self._commit_or_reset(shard, group)
            await self._drop_expired(shard)

    def _reply_to_redundant(self, shard: _Shard) -> bool:
        """Grant the claims to be written again that need no write, at no cost for the store.

        After a restore each daemon has thousands of claims written again, most of which the log
        holds.

        :return: whether other records are pending
        """
        if self._is_current(shard):
            redundant, shard.pending = _partition(shard.log, shard.pending)
            _grant_all(shard.log, redundant)
        return bool(shard.pending)

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
            shard.log.unload()
            self._journal.record(catalogue.TASK_FAILED, task="claims", error=repr(exc))
        finally:
            _reply_all(group, UNAVAILABLE)

    async def _commit(self, shard: _Shard, group: list[_PendingRecord]) -> None:
        log = shard.log
        for _ in range(MAX_COMMIT_ATTEMPTS):
            prepared = await self._prepare(shard)
            if prepared.is_error():
                await self._wait_before_retry(prepared)
                continue
            group, records = self._select(shard, group)
            if not records:
                self._grant(log, group)
                return
            self.commits += 1
            written = await log.append(records)
            if written.is_ok():
                self._grant(log, group)
                return
            self._journal.record(
                catalogue.CLAIMS_RELOADED, shard=log.shard, why=written.error.message
            )
            await self._wait_before_retry(written)

    def _grant(self, log: ShardLog, group: list[_PendingRecord]) -> None:
        new = [it.record for it in group if it.record is not None and not it.is_renewal]
        for callback in self.on_granted:
            callback(log.shard, new, log.era)
        _grant_all(log, group)

    async def _prepare(self, shard: _Shard) -> Result[None, StoreError]:
        """Bring the copy of a log up to date, and append the claims that the store has lost."""
        log = shard.log
        confirmed_era = self._confirmed_era()
        if self._is_confirmed_since_load(shard):
            # A late write may have changed earlier segments since they were read, so that a claim
            # that was to be written again was already there.
            log.unload()
        if not log.is_loaded or log.era < self._eras.era:
            loaded = await log.load(self._clock.fleet_ms())
            if loaded.is_error():
                return loaded
            shard.is_confirmed = confirmed_era >= log.era
        return await log.append_lost()

    def _is_confirmed_since_load(self, shard: _Shard) -> bool:
        return not shard.is_confirmed and self._confirmed_era() >= shard.log.era

    def _is_current(self, shard: _Shard) -> bool:
        """Return whether the copy of a log is that of the present era, and all of it is stored."""
        log = shard.log
        return (
            log.is_loaded
            and not log.lost_claims
            and log.era >= self._eras.era
            and not self._is_confirmed_since_load(shard)
        )

    def _select(
        self, shard: _Shard, group: list[_PendingRecord]
    ) -> tuple[list[_PendingRecord], list[ClaimRecord]]:
        """Refuse the claims whose keys other attempts hold, and those that can't be granted yet.

        :return: the group without the refused claims, and those of its records that need a write
        """
        log = shard.log
        accepted = []
        records: list[ClaimRecord] = []
        claimed_by_key = {
            pending.record.key: pending.record
            for pending in group
            if pending.is_renewal and pending.record is not None
        }
        claimed_by_stem = {
            stem_of(key): record
            for key, record in claimed_by_key.items()
            if is_of_organisation(key)
        }
        for pending in group:
            record = pending.record
            if record is None or record.is_release or pending.is_renewal:
                accepted.append(pending)
                if record is not None and not log.is_redundant(record) and record not in records:
                    records.append(record)
                continue
            if not shard.is_confirmed:
                _reply_all([pending], UNAVAILABLE)
                continue
            holder = log.holder(record) or _find_rival(record.key, claimed_by_key, claimed_by_stem)
            if holder is not None and holder.attempt != record.attempt:
                _reply_all([pending], ClaimReply(Verdict.HELD, holder))
                continue
            accepted.append(pending)
            own = log.claim_of(record)
            is_written = own is not None and own.era == log.era
            if not is_written and record not in records:
                records.append(record)
                claimed_by_key[record.key] = record
                if is_of_organisation(record.key):
                    claimed_by_stem[stem_of(record.key)] = record
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


def _find_rival(
    key: bytes,
    claimed_by_key: dict[bytes, ClaimRecord],
    claimed_by_stem: dict[bytes, ClaimRecord],
) -> ClaimRecord | None:
    """Return a claim of a group that may be one of the same key.

    :param claimed_by_stem: claims of organisations' keys
    """
    if is_of_organisation(key):
        return claimed_by_key.get(key) or claimed_by_key.get(stem_of(key))
    return claimed_by_key.get(key) or claimed_by_stem.get(key)


def _partition(
    log: ShardLog, pending: list[_PendingRecord]
) -> tuple[list[_PendingRecord], list[_PendingRecord]]:
    """Separate the claims to be written again that the log holds from all other records."""
    redundant: list[_PendingRecord] = []
    others: list[_PendingRecord] = []
    for it in pending:
        is_redundant = it.is_renewal and (it.record is None or log.is_redundant(it.record))
        (redundant if is_redundant else others).append(it)
    return redundant, others


def _grant_all(log: ShardLog, group: list[_PendingRecord]) -> None:
    """Confirm all records of a group, which are in the log."""
    for pending in group:
        record = pending.record if pending.is_renewal else None
        holder = None if record is None else log.holder(record)
        _reply_all([pending], ClaimReply(Verdict.GRANTED, holder, log.era))


def _is_granted_in(reply: ClaimReply, era: int) -> bool:
    return reply.verdict is Verdict.GRANTED and reply.era >= era


def _reply_all(group: list[_PendingRecord], reply: ClaimReply) -> None:
    """Reply to all records of a group that have no reply yet."""
    for pending in group:
        if not pending.reply.done():
            pending.reply.set_result(reply)
