"""The claim log grants a key to one attempt only, under store faults and competing writers."""

import asyncio
from typing import Any, cast

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from kingcuppond.claims.coordinator import ClaimCoordinator
from kingcuppond.claims.log import SEGMENT_BYTES, ShardLog
from kingcuppond.claims.messages import ClaimRecord, ClaimReply, Verdict
from kingcuppond.clock import Clock
from kingcuppond.events.journal import Journal
from kingcuppond.store.era import EraTracker
from kingcuppond.store.interface import Store
from tests.claims.fakes import FakeStore

KEYS = [bytes([i]) * 16 for i in range(3)]
NOW_MS = 1_000_000
FAULTS = st.lists(st.sampled_from(["ok", "lost", "dropped", "late", "refused"]), max_size=4)


def make_record(key: int, attempt: int, is_release: bool = False) -> ClaimRecord:
    return ClaimRecord(KEYS[key], "content", f"vm/1/{attempt}", NOW_MS, is_release)


def make_log(store: FakeStore) -> ShardLog:
    return ShardLog(0, cast(Store, store))


def make_coordinator(store: FakeStore, clock: Clock) -> ClaimCoordinator:
    return ClaimCoordinator(
        cast(Store, store), EraTracker(), lambda: 0, clock, Journal("vm", clock)
    )


class Coordinators(RuleBasedStateMachine):
    """Two daemons that both act as coordinator of a shard, over a store with faults.

    An attempt counts as running once it was granted.  It is released only if its owner never runs
    it.
    """

    @initialize()
    def start(self) -> None:
        self.store = FakeStore()
        self.logs = [make_log(self.store), make_log(self.store)]
        self.attempts = 0
        self.granted: dict[int, set[str]] = {key: set() for key in range(3)}
        self.abandoned: list[tuple[int, int]] = []

    @rule(daemon=st.integers(0, 1), key=st.integers(0, 2), faults=FAULTS)
    def claim(self, daemon: int, key: int, faults: list[str]) -> None:
        self.attempts += 1
        reply = self._submit(daemon, make_record(key, self.attempts), faults)
        if reply.verdict is Verdict.GRANTED:
            self.granted[key].add(f"vm/1/{self.attempts}")
        else:
            self.abandoned.append((key, self.attempts))

    @rule(daemon=st.integers(0, 1), index=st.integers(0, 20), faults=FAULTS)
    def release_abandoned(self, daemon: int, index: int, faults: list[str]) -> None:
        if self.abandoned:
            key, attempt = self.abandoned[index % len(self.abandoned)]
            self._submit(daemon, make_record(key, attempt, is_release=True), faults)

    @rule()
    def late_writes_arrive(self) -> None:
        self.store.apply_late_writes()

    @rule(daemon=st.integers(0, 1))
    def restart(self, daemon: int) -> None:
        self.logs[daemon] = make_log(self.store)

    @invariant()
    def no_key_is_granted_twice(self) -> None:
        assert all(len(attempts) <= 1 for attempts in getattr(self, "granted", {}).values())

    def _submit(self, daemon: int, record: ClaimRecord, faults: list[str]) -> ClaimReply:
        self.store.faults = list(faults)
        return asyncio.run(self._commit(daemon, record))

    async def _commit(self, daemon: int, record: ClaimRecord) -> ClaimReply:
        clock = Clock(lambda: NOW_MS / 1000, lambda: NOW_MS / 1000)
        coordinator = make_coordinator(self.store, clock)
        shard = coordinator._open_shard(0)
        shard.log = self.logs[daemon]
        reply = await coordinator.submit(0, record)
        self.logs[daemon] = shard.log
        coordinator.stop()
        return reply


TestCoordinators = Coordinators.TestCase
TestCoordinators.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)


async def test_a_paused_coordinator_is_fenced_by_the_log() -> None:
    store = FakeStore()
    old, new = make_log(store), make_log(store)
    await old.load(NOW_MS)
    await new.load(NOW_MS)
    assert (await new.append([make_record(0, 1)])).is_ok()
    refused = await old.append([make_record(0, 2)])
    assert refused.error.is_conflict
    await old.load(NOW_MS)
    holder = old.holder(make_record(0, 2))
    assert holder is not None
    assert holder.attempt == "vm/1/1"


async def test_segments_fill_and_all_are_read_again() -> None:
    store = FakeStore()
    log = make_log(store)
    await log.load(NOW_MS)
    for i in range(400):
        key = i.to_bytes(16)
        assert (await log.append([ClaimRecord(key, "content", f"vm/1/{i}", NOW_MS)])).is_ok()
    sizes = [len(stored.body) for stored in store.objects.values()]
    assert len(sizes) > 2
    assert max(sizes) < 2 * SEGMENT_BYTES
    fresh = make_log(store)
    await fresh.load(NOW_MS)
    assert fresh.claims_by_key == log.claims_by_key


async def test_many_claims_share_a_write() -> None:
    store = FakeStore()
    clock = Clock(lambda: NOW_MS / 1000, lambda: NOW_MS / 1000)
    coordinator = make_coordinator(store, clock)
    records = [ClaimRecord(i.to_bytes(16), "content", f"vm/1/{i}", NOW_MS) for i in range(100)]
    replies: list[Any] = await asyncio.gather(
        *(coordinator.submit(0, record) for record in records)
    )
    coordinator.stop()
    assert {reply.verdict for reply in replies} == {Verdict.GRANTED}
    assert store.writes <= 3
