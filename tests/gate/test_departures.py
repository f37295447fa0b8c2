"""A departure is remembered across restarts of the daemon, also when the store fails."""

import asyncio
from random import Random
from typing import cast

import pytest

from kingcuppond.events.journal import Journal
from kingcuppond.gate import departures as departures_module
from kingcuppond.gate.departures import DepartureStore
from kingcuppond.gate.incarnation import Incarnation, IncarnationTracker
from kingcuppond.store.interface import ABSENT_VERSION, Store
from tests.claims.fakes import FakeStore

LEAVING = Incarnation("i-1", 100)
NEXT = Incarnation("i-2", 200)


def make_departure_store(
    store: FakeStore, journal: Journal, incarnations: IncarnationTracker | None = None
) -> DepartureStore:
    tracker = incarnations or IncarnationTracker()
    return DepartureStore(
        "vm-1", cast(Store, store), journal, Random(1), tracker.is_superseded, lambda: 1
    )


async def restore_and_rewrite(
    store: FakeStore,
    departures: DepartureStore,
    monkeypatch: pytest.MonkeyPatch,
    is_lost: bool = True,
) -> None:
    """Restore the store from a copy, and let the departure be written again if need be.

    :param is_lost: whether the copy lacks all objects, or else none
    """
    monkeypatch.setattr(departures_module, "INITIAL_BACKOFF_SECONDS", 0.01)
    if is_lost:
        store.objects.clear()
        store.version = 0
    for era in (1, 2):
        departures.on_new_era(era)
    running = asyncio.create_task(departures.run())
    await asyncio.sleep(0.1)
    running.cancel()


async def test_a_later_process_loads_the_departure(journal: Journal) -> None:
    store = FakeStore()
    await make_departure_store(store, journal).record(LEAVING)
    assert (await make_departure_store(store, journal).load()).ok == LEAVING


async def test_a_first_departure_costs_one_call(journal: Journal) -> None:
    """A release takes a third of the servers away within seconds."""
    store = FakeStore()
    await make_departure_store(store, journal).record(LEAVING)
    assert (store.writes, store.reads) == (1, 0)


async def test_the_first_answer_of_the_store_costs_no_further_call(journal: Journal) -> None:
    """It tells the era, which is new to the daemon though nothing was lost."""
    store = FakeStore()
    departures = make_departure_store(store, journal)
    departures.on_new_era(1)
    await departures.record(LEAVING)
    assert (store.writes, store.reads) == (1, 0)


async def test_a_departure_replaces_one_that_this_process_did_not_read(journal: Journal) -> None:
    store = FakeStore()
    await make_departure_store(store, journal).record(LEAVING)
    await make_departure_store(store, journal).record(NEXT)
    loaded = await make_departure_store(store, journal).load()
    assert loaded.ok == NEXT


async def test_a_repeated_departure_is_written_once(journal: Journal) -> None:
    store = FakeStore()
    departures = make_departure_store(store, journal)
    for _ in range(5):
        await departures.record(LEAVING)
    assert store.writes == 1


async def test_the_next_departure_replaces_the_last_one(journal: Journal) -> None:
    store = FakeStore()
    departures = make_departure_store(store, journal)
    await departures.record(LEAVING)
    await departures.record(Incarnation("i-2", 200))
    assert (await departures.load()).ok == Incarnation("i-2", 200)


async def test_a_damaged_object_is_logged_and_replaced(journal: Journal) -> None:
    store = FakeStore()
    departures = make_departure_store(store, journal)
    await store.put("departures", "vm-1", b'{"id": 7', ABSENT_VERSION)
    assert (await departures.load()).ok is None
    assert journal.entries[-1].number == 411
    await departures.record(LEAVING)
    assert (await make_departure_store(store, journal).load()).ok == LEAVING


@pytest.mark.parametrize("fault", ["lost", "dropped", "refused"])
async def test_a_failed_write_is_retried(fault: str, journal: Journal) -> None:
    store = FakeStore(faults=[fault])
    departures = make_departure_store(store, journal)
    await departures.record(LEAVING)
    assert journal.entries[-1].number == 407
    await departures.record(LEAVING)
    assert (await make_departure_store(store, journal).load()).ok == LEAVING


@pytest.mark.parametrize("faults", [[], ["lost"], ["dropped", "refused"]], ids=str)
async def test_a_departure_lost_in_a_restore_is_written_again(
    faults: list[str], journal: Journal, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = FakeStore()
    departures = make_departure_store(store, journal)
    await departures.record(LEAVING)
    store.faults = list(faults)
    await restore_and_rewrite(store, departures, monkeypatch)
    assert (await make_departure_store(store, journal).load()).ok == LEAVING
    assert journal.entries[-1].number == 412


async def test_a_departure_that_an_outage_left_unrecorded_is_written_after_the_restore(
    journal: Journal, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = FakeStore(is_down=True)
    departures = make_departure_store(store, journal)
    await departures.record(LEAVING)
    store.is_down = False
    await restore_and_rewrite(store, departures, monkeypatch)
    assert (await make_departure_store(store, journal).load()).ok == LEAVING


async def test_a_departure_that_an_earlier_process_recorded_is_written_again(
    journal: Journal, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = FakeStore()
    await make_departure_store(store, journal).record(LEAVING)
    departures = make_departure_store(store, journal)
    await departures.load()
    await restore_and_rewrite(store, departures, monkeypatch)
    assert (await make_departure_store(store, journal).load()).ok == LEAVING


async def test_a_departure_that_the_copy_has_is_not_written_again(
    journal: Journal, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = FakeStore()
    departures = make_departure_store(store, journal)
    await departures.record(LEAVING)
    await restore_and_rewrite(store, departures, monkeypatch, is_lost=False)
    assert store.writes == 1


async def test_the_departure_of_an_earlier_incarnation_is_not_written_again(
    journal: Journal, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = FakeStore()
    incarnations = IncarnationTracker()
    departures = make_departure_store(store, journal, incarnations)
    await departures.record(LEAVING)
    incarnations.current = NEXT
    await restore_and_rewrite(store, departures, monkeypatch)
    assert (store.writes, store.objects) == (1, {})


async def test_a_daemon_without_a_departure_makes_no_call_after_a_restore(
    journal: Journal, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All daemons of the fleet hear of the restore at once."""
    store = FakeStore()
    await restore_and_rewrite(store, make_departure_store(store, journal), monkeypatch)
    assert (store.reads, store.writes) == (0, 0)


async def test_a_late_notice_does_not_replace_the_departure_of_the_next_incarnation(
    journal: Journal,
) -> None:
    store = FakeStore()
    departures = make_departure_store(store, journal)
    await departures.record(NEXT)
    await departures.record(LEAVING)
    assert (await make_departure_store(store, journal).load()).ok == NEXT


async def test_a_departure_lost_in_a_restore_is_written_again_if_eras_start_at_zero(
    journal: Journal, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The era before the first restore looks like an unknown one."""
    monkeypatch.setattr(departures_module, "REWRITE_SPREAD_SECONDS_PER_MEMBER", 0.0)
    store = FakeStore()
    departures = make_departure_store(store, journal)
    await departures.record(LEAVING)
    store.objects.clear()
    departures.on_new_era(1)
    running = asyncio.create_task(departures.run())
    await asyncio.sleep(0.1)
    running.cancel()
    assert (await make_departure_store(store, journal).load()).ok == LEAVING


async def test_a_departure_that_other_daemons_remember_is_written_if_the_store_lacks_it(
    journal: Journal,
) -> None:
    store = FakeStore()
    departures = make_departure_store(store, journal)
    assert (await departures.load()).ok is None
    departures.remember(LEAVING)
    running = asyncio.create_task(departures.run())
    await asyncio.sleep(0.1)
    running.cancel()
    assert (await make_departure_store(store, journal).load()).ok == LEAVING


@pytest.mark.parametrize("recorded", [LEAVING, NEXT], ids=["the same", "a later one"])
async def test_a_departure_that_other_daemons_remember_replaces_no_recorded_one(
    recorded: Incarnation, journal: Journal
) -> None:
    store = FakeStore()
    await make_departure_store(store, journal).record(recorded)
    departures = make_departure_store(store, journal)
    departures.remember(LEAVING)
    await departures.load()
    running = asyncio.create_task(departures.run())
    await asyncio.sleep(0.1)
    running.cancel()
    assert store.writes == 1
    assert (await make_departure_store(store, journal).load()).ok == recorded


@pytest.mark.parametrize("is_loaded_first", [True, False], ids=["store first", "others first"])
async def test_a_departure_that_other_daemons_remember_replaces_an_earlier_one_of_the_copy(
    is_loaded_first: bool, journal: Journal
) -> None:
    store = FakeStore()
    await make_departure_store(store, journal).record(LEAVING)
    departures = make_departure_store(store, journal)
    if is_loaded_first:
        await departures.load()
    departures.remember(NEXT)
    if not is_loaded_first:
        await departures.load()
    running = asyncio.create_task(departures.run())
    await asyncio.sleep(0.1)
    running.cancel()
    assert (await make_departure_store(store, journal).load()).ok == NEXT
