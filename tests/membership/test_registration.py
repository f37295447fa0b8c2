"""Daemons discover each other through the store, despite unreadable objects and lost answers."""

import asyncio
from random import Random
from typing import cast

import attrs
import pytest

from kingcuppond.clock import Clock
from kingcuppond.events.journal import Journal
from kingcuppond.membership import registration as registration_module
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.gossip import Gossip
from kingcuppond.membership.messages import Member, ServerState
from kingcuppond.membership.registration import DAEMON_KIND, Registration
from kingcuppond.store.interface import ABSENT_VERSION, Store, encode_body
from tests.claims.fakes import FakeStore
from tests.membership.network import VirtualTimeLoop


@attrs.define
class FakeGossip:
    """Records the addresses that it is told to join."""

    addresses: list[str] = attrs.field(factory=list)
    is_unanswered: bool = False

    async def join(self, addresses: list[str]) -> bool:
        self.addresses.extend(addresses)
        return not self.is_unanswered


def make_member(vm: str) -> Member:
    return Member(vm, "dc-1", "shop", f"{vm}:1", f"{vm}:2", f"{vm}:3", 1)


@pytest.fixture
def store() -> FakeStore:
    return FakeStore()


@pytest.fixture
def gossip() -> FakeGossip:
    return FakeGossip()


@pytest.fixture
def registration(
    store: FakeStore, gossip: FakeGossip, clock: Clock, journal: Journal, rng: Random
) -> Registration:
    return Registration(
        cast(Store, store),
        Directory(make_member("vm-1"), clock, journal),
        cast(Gossip, gossip),
        clock,
        journal,
        rng,
        [],
        lambda: True,
    )


@pytest.mark.parametrize(
    "odd",
    [
        b"[" * 100_000 + b"]" * 100_000,
        encode_body(make_member("vm-2")).replace(b'"incarnation":1', b'"incarnation":1e999'),
        encode_body(attrs.evolve(make_member("vm-2"), peer_address="10.0.0.2:99999")),
        encode_body(attrs.evolve(make_member("vm-2"), peer_address="10.0.0.2:0")),
    ],
    ids=["nested deeply", "number too large", "port out of range", "port 0"],
)
async def test_an_odd_registration_is_left_out(
    odd: bytes,
    store: FakeStore,
    gossip: FakeGossip,
    registration: Registration,
    journal: Journal,
) -> None:
    """Guards against a daemon that never joins, since its task ends at an odd entry."""
    await store.put(DAEMON_KIND, "vm-2", odd, ABSENT_VERSION)
    await store.put(DAEMON_KIND, "vm-3", encode_body(make_member("vm-3")), ABSENT_VERSION)
    await registration._join_through_store()
    assert gossip.addresses == ["vm-3:2"]
    assert [entry.fields["member"] for entry in journal.entries if entry.number == 209] == ["vm-2"]


async def test_an_unreadable_object_is_logged_and_other_daemons_are_joined(
    store: FakeStore, gossip: FakeGossip, registration: Registration, journal: Journal
) -> None:
    await store.put(DAEMON_KIND, "vm-2", b"[", ABSENT_VERSION)
    await store.put(DAEMON_KIND, "vm-3", encode_body(make_member("vm-3")), ABSENT_VERSION)
    await registration._join_through_store()
    assert gossip.addresses == ["vm-3:2"]
    assert 209 in [entry.number for entry in journal.entries]


async def test_a_registration_is_not_written_twice_after_a_lost_answer(
    store: FakeStore, registration: Registration
) -> None:
    store.faults = ["lost"]
    await registration._join_through_store()
    assert registration.is_registered
    assert store.writes == 1


@pytest.mark.parametrize(
    ("faults", "is_registered", "expected"),
    [([], False, False), (["lost"], False, False), ([], True, True)],
    ids=["no object", "own write whose answer was lost", "object of an earlier process"],
)
async def test_a_restarted_daemon_knows_that_the_fleet_does_not_start_for_the_first_time(
    store: FakeStore,
    registration: Registration,
    faults: list[str],
    is_registered: bool,
    expected: bool,
) -> None:
    """Its settings may still say so; it trusted a stale listing before it had joined."""
    if is_registered:
        await store.put(DAEMON_KIND, "vm-1", encode_body(make_member("vm-1")), ABSENT_VERSION)
    store.faults = faults
    await registration._register_with_backoff()
    assert registration.has_predecessor == expected


def test_a_daemon_that_nobody_answered_asks_others_soon() -> None:
    """Few daemons are registered, and objects of VMs that are gone may outnumber them."""
    store, gossip = FakeStore(), FakeGossip(is_unanswered=True)
    loop = VirtualTimeLoop()
    clock = Clock(loop.time, loop.time)
    registration = Registration(
        cast(Store, store),
        Directory(make_member("vm-1"), clock, Journal("vm-1", clock)),
        cast(Gossip, gossip),
        clock,
        Journal("vm-1", clock),
        Random(1),
        [],
        lambda: False,
    )

    async def scenario() -> None:
        await store.put(DAEMON_KIND, "gone", encode_body(make_member("gone")), ABSENT_VERSION)
        running = asyncio.create_task(registration.run())
        await asyncio.sleep(15.0)
        running.cancel()

    loop.run_until_complete(scenario())
    loop.close()
    assert len(gossip.addresses) >= 3


async def restore(
    store: FakeStore,
    registration: Registration,
    monkeypatch: pytest.MonkeyPatch,
    is_lost: bool = True,
) -> None:
    """Restore the store from a copy, and let the daemon register again if need be.

    :param is_lost: whether the copy lacks all objects, or else none
    """
    monkeypatch.setattr(registration_module, "ROLE_CHECK_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(registration_module, "INITIAL_BACKOFF_SECONDS", 0.01)
    if is_lost:
        store.objects.clear()
        store.version = 0
    registration.on_new_era(2)
    running = asyncio.create_task(registration._keep_registered())
    await asyncio.sleep(0.2)
    running.cancel()


@pytest.mark.parametrize("faults", [[], ["lost"], ["dropped", "refused"]], ids=str)
async def test_a_registration_lost_in_a_restore_is_written_again(
    faults: list[str],
    store: FakeStore,
    registration: Registration,
    journal: Journal,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    registration.on_new_era(1)
    await registration._join_through_store()
    store.faults = list(faults)
    await restore(store, registration, monkeypatch)
    assert (DAEMON_KIND, "vm-1") in store.objects
    assert registration.is_registered
    assert 211 in [entry.number for entry in journal.entries]


async def test_a_registration_that_the_copy_has_is_not_written_again(
    store: FakeStore, registration: Registration, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also if the description has changed since, as that of each daemon has after a restore."""
    registration.on_new_era(1)
    await registration._join_through_store()
    registration._directory.publish_own_change(state=ServerState.WARM, store_era=2)
    await restore(store, registration, monkeypatch, is_lost=False)
    assert store.writes == 1


async def test_a_registration_at_another_address_is_replaced(
    store: FakeStore, registration: Registration
) -> None:
    """An earlier process of this VM has written it."""
    moved = attrs.evolve(make_member("vm-1"), peer_address="vm-1:9")
    await store.put(DAEMON_KIND, "vm-1", encode_body(moved), ABSENT_VERSION)
    await registration._register_with_backoff()
    (stored,) = store.objects.values()
    assert stored.body == encode_body(registration._directory.me)


async def test_a_leaving_daemon_does_not_register_again(
    store: FakeStore, registration: Registration, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its object would outlive it."""
    registration.on_new_era(1)
    await registration._join_through_store()
    registration._directory.publish_own_change(is_leaving=True)
    await restore(store, registration, monkeypatch)
    assert store.objects == {}


async def test_a_daemon_that_was_not_registered_makes_no_call_after_a_restore(
    store: FakeStore, registration: Registration, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All daemons of the fleet hear of the restore at once."""
    registration._has_rank = lambda: False
    registration.on_new_era(1)
    await restore(store, registration, monkeypatch)
    assert (store.reads, store.writes) == (0, 0)


async def test_a_listing_is_not_trusted_while_a_listed_daemon_answers_late(
    store: FakeStore,
    gossip: FakeGossip,
    registration: Registration,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One unanswered join counted as having asked; the listing of a restored store was older."""
    monkeypatch.setattr(registration_module, "INITIAL_BACKOFF_SECONDS", 0.05)
    await store.put(DAEMON_KIND, "busy", encode_body(make_member("busy")), ABSENT_VERSION)
    gossip.is_unanswered = True
    joining = asyncio.create_task(registration._join_through_store())
    await asyncio.sleep(0.03)
    assert gossip.addresses == ["busy:2"]
    assert not registration.has_contacted_members
    gossip.is_unanswered = False
    await joining
    assert registration.has_contacted_members
    assert len(gossip.addresses) == 2


async def test_a_seed_joins_through_the_daemons_that_contact_it(
    store: FakeStore, clock: Clock, journal: Journal, rng: Random
) -> None:
    """Guards against a seed that serves a second later than others after a loss of all power."""
    directory = Directory(make_member("vm-1"), clock, journal)
    gossip = SelectiveGossip("vm-2:2")
    joining = Registration(
        cast(Store, store),
        directory,
        cast(Gossip, gossip),
        clock,
        journal,
        rng,
        ["vm-3:2"],
        lambda: True,
    )
    task = asyncio.create_task(joining._join_through_contacts())
    await asyncio.sleep(0.1)
    assert not joining.has_contacted_members
    directory.merge(make_member("vm-2"))
    await asyncio.wait_for(task, 1.0)
    assert joining.has_contacted_members


@attrs.define
class SelectiveGossip:
    """Reaches one daemon only."""

    reachable: str

    async def join(self, addresses: list[str]) -> bool:
        return self.reachable in addresses
