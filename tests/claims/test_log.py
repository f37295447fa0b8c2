"""The log gives a key to one attempt only, whatever the store and its writers do."""

import asyncio
from typing import Any, cast

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from kingcuppond.claims.home import ClaimHome
from kingcuppond.claims.log import SEGMENT_BYTES, ShardLog
from kingcuppond.claims.messages import ClaimReply, Record, Verdict
from kingcuppond.clock import Clock
from kingcuppond.events.journal import Journal
from kingcuppond.store.port import Store
from tests.claims.fakes import FakeStore

KEYS = [bytes([i]) * 16 for i in range(3)]
NOW_MS = 1_000_000
FAULTS = st.lists(st.sampled_from(["ok", "lost", "dropped", "late", "refused"]), max_size=4)


def make_record(key: int, attempt: int, is_release: bool = False) -> Record:
    return Record(KEYS[key], "content", f"vm/1/{attempt}", NOW_MS, is_release)


def make_log(store: FakeStore) -> ShardLog:
    return ShardLog(0, cast(Store, store))


class Homes(RuleBasedStateMachine):
    """Two daemons that both believe to be the home, over a store with faults.

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

    @rule(home=st.integers(0, 1), key=st.integers(0, 2), faults=FAULTS)
    def claim(self, home: int, key: int, faults: list[str]) -> None:
        self.attempts += 1
        reply = self._submit(home, make_record(key, self.attempts), faults)
        if reply.verdict is Verdict.GRANTED:
            self.granted[key].add(f"vm/1/{self.attempts}")
        else:
            self.abandoned.append((key, self.attempts))

    @rule(home=st.integers(0, 1), index=st.integers(0, 20), faults=FAULTS)
    def release_abandoned(self, home: int, index: int, faults: list[str]) -> None:
        if self.abandoned:
            key, attempt = self.abandoned[index % len(self.abandoned)]
            self._submit(home, make_record(key, attempt, is_release=True), faults)

    @rule()
    def late_writes_land(self) -> None:
        self.store.land()

    @rule(home=st.integers(0, 1))
    def restart(self, home: int) -> None:
        self.logs[home] = make_log(self.store)

    @invariant()
    def no_key_is_granted_twice(self) -> None:
        assert all(len(attempts) <= 1 for attempts in getattr(self, "granted", {}).values())

    def _submit(self, home: int, record: Record, faults: list[str]) -> ClaimReply:
        self.store.faults = list(faults)
        return asyncio.run(self._commit(home, record))

    async def _commit(self, home: int, record: Record) -> ClaimReply:
        clock = Clock(lambda: NOW_MS / 1000, lambda: NOW_MS / 1000)
        homes = ClaimHome(cast(Store, self.store), clock, Journal("vm", clock))
        shard = homes._open(0)
        shard.log = self.logs[home]
        reply = await homes.submit(0, record)
        self.logs[home] = shard.log
        homes.stop()
        return reply


TestHomes = Homes.TestCase
TestHomes.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)


async def test_a_paused_home_is_fenced_by_the_log() -> None:
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
        assert (await log.append([Record(key, "content", f"vm/1/{i}", NOW_MS)])).is_ok()
    sizes = [len(stored.body) for stored in store.objects.values()]
    assert len(sizes) > 2
    assert max(sizes) < 2 * SEGMENT_BYTES
    fresh = make_log(store)
    await fresh.load(NOW_MS)
    assert fresh.claims_by_key == log.claims_by_key


async def test_many_claims_share_a_write() -> None:
    store = FakeStore()
    clock = Clock(lambda: NOW_MS / 1000, lambda: NOW_MS / 1000)
    home = ClaimHome(cast(Store, store), clock, Journal("vm", clock))
    records = [Record(i.to_bytes(16), "content", f"vm/1/{i}", NOW_MS) for i in range(100)]
    replies: list[Any] = await asyncio.gather(*(home.submit(0, record) for record in records))
    home.stop()
    assert {reply.verdict for reply in replies} == {Verdict.GRANTED}
    assert store.writes <= 3
