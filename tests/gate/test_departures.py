"""A departure is remembered across restarts of the daemon, also when the store fails."""

from typing import cast

import pytest

from kingcuppond.events.journal import Journal
from kingcuppond.gate.departures import DepartureStore
from kingcuppond.gate.incarnation import Incarnation
from kingcuppond.store.interface import ABSENT_VERSION, Store
from tests.claims.fakes import FakeStore

LEAVING = Incarnation("i-1", 100)


def make_departure_store(store: FakeStore, journal: Journal) -> DepartureStore:
    return DepartureStore("vm-1", cast(Store, store), journal)


async def test_a_later_process_loads_the_departure(journal: Journal) -> None:
    store = FakeStore()
    await make_departure_store(store, journal).record(LEAVING)
    assert (await make_departure_store(store, journal).load()).ok == LEAVING


async def test_a_first_departure_costs_one_call(journal: Journal) -> None:
    """A release takes a third of the servers away within seconds."""
    store = FakeStore()
    await make_departure_store(store, journal).record(LEAVING)
    assert (store.writes, store.reads) == (1, 0)


async def test_a_departure_replaces_one_that_this_process_did_not_read(journal: Journal) -> None:
    store = FakeStore()
    await make_departure_store(store, journal).record(LEAVING)
    await make_departure_store(store, journal).record(Incarnation("i-2", 200))
    loaded = await make_departure_store(store, journal).load()
    assert loaded.ok == Incarnation("i-2", 200)


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
