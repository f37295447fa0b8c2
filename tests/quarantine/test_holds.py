"""Holds outlast all daemons, and the store gets few of them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import cast

import pytest

from kingcuppond.clock import COUNTER_BITS, Clock
from kingcuppond.events.journal import Journal
from kingcuppond.quarantine import holds as holds_module
from kingcuppond.quarantine.holds import HOLDS_KIND, HoldStore
from kingcuppond.quarantine.messages import QuarantineLevel, QuarantineNote
from kingcuppond.quarantine.suspects import HELD_TTL_MS, SuspectTable
from kingcuppond.store.interface import ABSENT_VERSION, Store, encode_body
from tests.claims.fakes import FakeStore
from tests.conftest import FakeTime


@pytest.fixture(autouse=True)
def short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(holds_module, "INITIAL_BACKOFF_SECONDS", 0.001)
    monkeypatch.setattr(holds_module, "MAX_BACKOFF_SECONDS", 0.01)
    monkeypatch.setattr(holds_module, "SWEEP_SECONDS", 0.01)


def make_holds(store: FakeStore, fake_time: FakeTime, vm: str) -> HoldStore:
    clock = Clock(fake_time.read, fake_time.read)
    journal = Journal(vm, clock)
    suspects = SuspectTable(vm, clock, journal)
    return HoldStore(cast(Store, store), suspects, journal, Random(1), lambda: 1)


@asynccontextmanager
async def running(holds: HoldStore) -> AsyncIterator[HoldStore]:
    """Run the loop of a daemon, and give it the time to write what is due."""
    task = asyncio.create_task(holds.run())
    try:
        yield holds
        await asyncio.sleep(0.1)
    finally:
        task.cancel()
        await asyncio.wait({task})


def hold(holds: HoldStore, fingerprint: str) -> None:
    """Have a request take a server down twice, the second time on trial."""
    holds.suspects.record_server_loss(fingerprint, is_on_trial=False)
    holds.suspects.record_server_loss(fingerprint, is_on_trial=True)


async def test_a_hold_is_known_after_all_daemons_have_ended(fake_time: FakeTime) -> None:
    """Guards against a request that takes servers down again, since nobody remembers it."""
    store = FakeStore()
    async with running(make_holds(store, fake_time, "vm-1")) as holds:
        hold(holds, "f")
    restarted = make_holds(store, fake_time, "vm-2")
    spread: list[QuarantineNote] = []
    restarted.suspects.on_change.append(spread.append)
    await restarted.load()
    assert restarted.suspects.level("f") is QuarantineLevel.HELD
    assert [note.fingerprint for note in spread] == ["f"], "the other daemons are told"


async def test_suspected_and_cleared_requests_are_not_written(fake_time: FakeTime) -> None:
    store = FakeStore()
    async with running(make_holds(store, fake_time, "vm-1")) as holds:
        for index in range(50):
            holds.suspects.record_server_loss(f"f{index}", is_on_trial=False)
            holds.suspects.record_answer(f"f{index}")
    assert store.writes == 0


async def test_writes_are_bounded(fake_time: FakeTime) -> None:
    store = FakeStore()
    async with running(make_holds(store, fake_time, "vm-1")) as holds:
        for index in range(holds_module.MAX_HOLDS * 2):
            hold(holds, f"f{index}")
    assert store.writes <= holds_module.MAX_HOLDS


async def test_expired_holds_are_deleted(fake_time: FakeTime) -> None:
    store = FakeStore()
    async with running(make_holds(store, fake_time, "vm-1")) as holds:
        hold(holds, "written here")
        await asyncio.sleep(0.05)
        assert len(store.objects) == 1
        fake_time.advance(HELD_TTL_MS / 1000 + 1)
    assert store.objects == {}


async def test_an_expired_hold_is_deleted_after_an_outage_of_the_store(fake_time: FakeTime) -> None:
    """Guards against objects that nobody deletes, as the first attempt failed."""
    store = FakeStore()
    async with running(make_holds(store, fake_time, "vm-1")) as holds:
        hold(holds, "f")
        await asyncio.sleep(0.05)
        store.is_down = True
        fake_time.advance(HELD_TTL_MS / 1000 + 1)
        await asyncio.sleep(0.05)
        store.is_down = False
    assert store.objects == {}


async def test_holds_that_have_expired_are_deleted_when_they_are_read(fake_time: FakeTime) -> None:
    store = FakeStore()
    async with running(make_holds(store, fake_time, "vm-1")) as holds:
        hold(holds, "f")
    fake_time.advance(HELD_TTL_MS / 1000 + 1)
    async with running(make_holds(store, fake_time, "vm-2")) as restarted:
        await restarted.load()
    assert restarted.suspects.level("f") is QuarantineLevel.CLEARED
    assert store.objects == {}


async def test_a_hold_replaces_an_expired_one_of_another_daemon(fake_time: FakeTime) -> None:
    """Guards against a hold that counts as written, though the store has an older one."""
    store = FakeStore()
    async with running(make_holds(store, fake_time, "vm-1")) as holds:
        hold(holds, "f")
    fake_time.advance(HELD_TTL_MS / 1000 + 1)
    async with running(make_holds(store, fake_time, "vm-2")) as holds:
        hold(holds, "f")
    restarted = make_holds(store, fake_time, "vm-3")
    await restarted.load()
    assert restarted.suspects.level("f") is QuarantineLevel.HELD


async def test_a_second_hold_of_a_request_is_written(fake_time: FakeTime) -> None:
    """Guards against a second hold that begins before the first one's object is deleted."""
    store = FakeStore()
    async with running(make_holds(store, fake_time, "vm-1")) as holds:
        hold(holds, "f")
        await asyncio.sleep(0.05)
        fake_time.advance(HELD_TTL_MS / 1000 + 1)
        hold(holds, "f")
    restarted = make_holds(store, fake_time, "vm-2")
    await restarted.load()
    assert restarted.suspects.level("f") is QuarantineLevel.HELD


async def test_a_hold_is_written_after_a_long_outage_of_the_store(fake_time: FakeTime) -> None:
    """Guards against a hold that is given up after a number of attempts."""
    store = FakeStore(is_down=True)
    async with running(make_holds(store, fake_time, "vm-1")) as holds:
        hold(holds, "f")
        await asyncio.sleep(0.3)
        store.is_down = False
    assert list(store.objects) == [(HOLDS_KIND, "f")]


async def test_holds_are_read_after_a_failure_without_another_listing(
    fake_time: FakeTime,
) -> None:
    """Guards against a daemon that routes requests without the holds, as their listing failed."""
    store = FakeStore()
    async with running(make_holds(store, fake_time, "vm-1")) as holds:
        hold(holds, "f")
    store.is_down = True
    async with running(make_holds(store, fake_time, "vm-2")) as restarted:
        await restarted.load()
        store.is_down = False
    assert restarted.suspects.level("f") is QuarantineLevel.HELD


@pytest.mark.parametrize("fault", ["dropped", "lost", "refused"])
async def test_a_write_that_fails_is_repeated(fake_time: FakeTime, fault: str) -> None:
    store = FakeStore(faults=[fault, fault])
    async with running(make_holds(store, fake_time, "vm-1")) as holds:
        hold(holds, "f")
    assert list(store.objects) == [(HOLDS_KIND, "f")]


async def test_odd_objects_are_left_out(fake_time: FakeTime, clock: Clock) -> None:
    stamp = clock.wall_ms() << COUNTER_BITS
    note = QuarantineNote("g", QuarantineLevel.HELD, stamp)
    store = FakeStore()
    for name, body in {
        "deep": b"[" * 100_000 + b"]" * 100_000,
        "another name": encode_body(note),
        "g": encode_body(note),
    }.items():
        await store.put(HOLDS_KIND, name, body, ABSENT_VERSION)
    holds = make_holds(store, fake_time, "vm-1")
    await holds.load()
    assert [held.fingerprint for held in holds.suspects.held()] == ["g"]


async def test_holds_are_read_once_and_again_after_a_failure(fake_time: FakeTime) -> None:
    store = FakeStore(is_down=True)
    holds = make_holds(store, fake_time, "vm-1")
    await holds.load()
    store.is_down = False
    for _ in range(3):
        await holds.load()
    assert store.lists == 2


async def test_holds_are_written_again_after_a_restore(fake_time: FakeTime) -> None:
    """A store that was restored from a copy may have lost them."""
    store = FakeStore()
    async with running(make_holds(store, fake_time, "vm-1")) as holds:
        hold(holds, "f")
        await asyncio.sleep(0.05)
        store.objects.clear()
        holds.on_new_era(1)
    assert list(store.objects) == [(HOLDS_KIND, "f")]


async def test_holds_that_a_restored_store_still_has_are_not_written_again(
    fake_time: FakeTime,
) -> None:
    """All daemons that know of holds would write all of them at the same time."""
    store = FakeStore()
    async with running(make_holds(store, fake_time, "vm-1")) as holds:
        for index in range(holds_module.MAX_HOLDS):
            hold(holds, f"f{index}")
        await asyncio.sleep(0.2)
        writes = store.writes
        holds.on_new_era(1)
    assert store.writes == writes == holds_module.MAX_HOLDS
