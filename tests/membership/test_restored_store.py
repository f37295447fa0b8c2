"""A whole fleet through a restore of its store: time, and calls against the store's rates.

Simulated network and store; watchers, registrations, departures and claims are the product's own.
``python -m tests.membership.test_restored_store 2000 18`` measures a larger fleet.
"""

import asyncio
import sys
import time
from random import Random
from typing import cast

import attrs

from kingcuppond.claims.attempts import AttemptTable
from kingcuppond.claims.confirmation import make_confirmed_era
from kingcuppond.claims.coordinator import CONFIRMATION_WAIT_SECONDS, ClaimCoordinator
from kingcuppond.claims.messages import ClaimRecord, Verdict
from kingcuppond.claims.peers import ClaimPeers
from kingcuppond.claims.renewal import ClaimRenewal
from kingcuppond.clock import Clock
from kingcuppond.configuration.objects import CONFIGURATION_KIND
from kingcuppond.configuration.watcher import Watcher
from kingcuppond.events.journal import Journal
from kingcuppond.gate.departures import DEPARTURES_KIND, DepartureStore
from kingcuppond.gate.incarnation import Incarnation
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.gossip import Gossip
from kingcuppond.membership.messages import Member
from kingcuppond.membership.registration import DAEMON_KIND, Registration
from kingcuppond.peers.transport import PeerTransport
from kingcuppond.store.era import EraTracker
from tests.membership.network import (
    Network,
    SimulatedDaemon,
    VirtualTimeLoop,
    run_simulated,
    wait_until,
)
from tests.membership.store import SimulatedStore, as_client

NEW_ERA = 2
DOWN_SECONDS = 2.0
CHANGE_SECONDS = 0.5
"""Time from the restore until an operator changes the configuration."""

IN_FORCE_SECONDS = 2.0
"""The shortest time within which the platform wants a change in force everywhere."""

WATCH_WAIT_MS = 20_000
LEAVING_EVERY = 3
"""In a release, one server in so many is leaving."""

CLAIMS_PER_DAEMON = 2
SETTLED_SECONDS = 3.0
"""Time until watchers have taken their roles and connections are established."""


@attrs.define
class StoreUser:
    """The parts of a daemon that use the store."""

    daemon: SimulatedDaemon
    registration: Registration
    departures: DepartureStore
    watcher: Watcher
    coordinator: ClaimCoordinator
    peers: ClaimPeers
    renewal: ClaimRenewal

    def start(self) -> None:
        loops = [
            *self.daemon.gossip.loops(),
            *self.watcher.loops().values(),
            self.registration._keep_registered,
            self.departures.run,
            self.renewal.run,
        ]
        self.daemon.tasks += [asyncio.create_task(loop()) for loop in loops]

    async def claim(self, count: int) -> None:
        """Have attempts of this daemon granted, as for requests that ran at once."""
        loop = asyncio.get_running_loop()
        for number in range(count):
            attempt = f"{self.daemon.vm}/{number}"
            key = Random(attempt).randbytes(16)
            record = ClaimRecord(key, attempt, "content", int(1e12 + loop.time() * 1000))
            self.peers.attempts.start(attempt, "content")
            reply = await self.peers.submit(record, loop.time() + 30)
            assert reply.verdict is Verdict.GRANTED
            self.peers.attempts.record_grant(record)


@attrs.frozen
class Measured:
    """What a fleet did after a restore; times are in seconds from the end of the outage.

    :param heard_seconds: until the first daemon knows the new era
    :param era_seconds: until all daemons know it
    :param confirmed_seconds: until each coordinator may grant new claims
    :param change_seconds: from a change after the restore until all daemons have it
    :param rewritten_seconds: until the store has all registrations and departures again
    :param peak_reads: most calls in a second
    :param process_seconds: processor time a daemon until all eras are confirmed
    """

    heard_seconds: float
    era_seconds: float
    confirmed_seconds: float
    change_seconds: float
    rewritten_seconds: float
    peak_reads: int
    peak_writes: int
    reads: int
    writes: int
    refused_reads: int
    refused_writes: int
    process_seconds: float


def make_user(daemon: SimulatedDaemon, store: SimulatedStore) -> StoreUser:
    directory, journal, rng = daemon.directory, daemon.directory.journal, Random(daemon.vm)
    clock, client = directory.clock, as_client(store, daemon.eras)
    watcher = Watcher(
        client,
        daemon.configuration,
        daemon.gossip,
        directory,
        clock,
        journal,
        rng,
        lambda: True,
        lambda: True,
        False,
        WATCH_WAIT_MS,
    )
    registration = Registration(
        client, directory, daemon.gossip, clock, journal, rng, [], watcher.has_rank
    )
    departures = DepartureStore(
        daemon.vm, client, journal, rng, lambda _it: False, lambda: directory.living_count
    )
    coordinator = ClaimCoordinator(
        client, daemon.eras, make_confirmed_era(directory, lambda: True), clock, journal
    )
    peers = ClaimPeers(
        directory,
        cast(PeerTransport, daemon.transport),
        coordinator,
        AttemptTable(),
        daemon.eras,
        clock,
    )
    renewal = ClaimRenewal(directory, peers, coordinator, daemon.eras, clock, journal)
    daemon.eras.on_new_era += [registration.on_new_era, departures.on_new_era]
    return StoreUser(daemon, registration, departures, watcher, coordinator, peers, renewal)


async def start(
    network: Network, store: SimulatedStore, count: int, data_centres: int
) -> list[StoreUser]:
    """Start a fleet whose daemons know each other and the store's era."""
    for i in range(count):
        network.add(f"vm-{i:04}", f"dc-{i % data_centres}")
    daemons = list(network.daemons_by_vm.values())
    for daemon in daemons:
        daemon.eras.observe(store.era)
    members = [daemon.directory.publish_own_change(store_era=store.era) for daemon in daemons]
    users = [make_user(daemon, store) for daemon in daemons]
    for user in users:
        for member in members:
            user.daemon.directory.merge(member)
        user.start()
    await asyncio.sleep(SETTLED_SECONDS)
    return users


async def write_before_restore(users: list[StoreUser], store: SimulatedStore) -> int:
    """Write what the restore takes back, a part of it before the copy; return its revision."""
    limit, store.writes.limit = store.writes.limit, sys.maxsize
    half = len(users) // 2
    await asyncio.gather(*(it.registration._register_with_backoff() for it in users[:half]))
    revision = store.revision
    await asyncio.gather(*(it.registration._register_with_backoff() for it in users[half:]))
    leaving = users[::LEAVING_EVERY]
    await asyncio.gather(*(it.departures.record(_incarnation(it)) for it in leaving))
    await asyncio.gather(*(it.claim(CLAIMS_PER_DAEMON) for it in users))
    store.writes.limit = limit
    return revision


async def restore(users: list[StoreUser], store: SimulatedStore, revision: int) -> Measured:
    loop = asyncio.get_running_loop()
    store.go_down()
    await asyncio.sleep(DOWN_SECONDS)
    store.restore(revision)
    store.reads.clear()
    store.writes.clear()
    started, processed = loop.time(), time.process_time()
    loop.call_later(CHANGE_SECONDS, store.write, (CONFIGURATION_KIND, "budget/measuring"), b"{}")
    heard = asyncio.create_task(
        wait_until(lambda: any(it.daemon.eras.era == NEW_ERA for it in users), 30)
    )
    era = asyncio.create_task(
        wait_until(lambda: all(it.daemon.eras.era == NEW_ERA for it in users), 30)
    )
    change = asyncio.create_task(
        wait_until(lambda: all(it.daemon.configuration.objects_by_key for it in users), 30)
    )
    confirmed_seconds = await wait_until(lambda: all(map(_is_confirmed, users)), 60)
    process_seconds = (time.process_time() - processed) / len(users)
    await wait_until(lambda: _has_all(users, store), 60)
    return Measured(
        await heard,
        await era,
        confirmed_seconds,
        await change - CHANGE_SECONDS,
        loop.time() - started,
        store.reads.peak,
        store.writes.peak,
        store.reads.total,
        store.writes.total,
        store.reads.refused,
        store.writes.refused,
        process_seconds,
    )


def _is_confirmed(user: StoreUser) -> bool:
    return user.coordinator.is_confirmed and user.daemon.eras.era == NEW_ERA


def _has_all(users: list[StoreUser], store: SimulatedStore) -> bool:
    objects = store.objects_by_key
    return all((DAEMON_KIND, it.daemon.vm) in objects for it in users) and all(
        (DEPARTURES_KIND, it.daemon.vm) in objects for it in users[::LEAVING_EVERY]
    )


def _incarnation(user: StoreUser) -> Incarnation:
    return Incarnation(f"i-{user.daemon.vm}", 1)


def measure(count: int, data_centres: int) -> Measured:
    results: list[Measured] = []

    async def scenario(network: Network) -> None:
        store = SimulatedStore()
        users = await start(network, store, count, data_centres)
        revision = await write_before_restore(users, store)
        results.append(await restore(users, store, revision))

    run_simulated(scenario)
    return results[0]


def test_a_restored_fleet_keeps_to_the_rates_and_confirms_the_era_before_claims_are_refused() -> (
    None
):
    measured = measure(200, 5)
    assert measured.refused_reads == measured.refused_writes == 0
    assert measured.change_seconds < IN_FORCE_SECONDS
    assert measured.confirmed_seconds - measured.heard_seconds < CONFIRMATION_WAIT_SECONDS


@attrs.define
class FakeDirectory:
    """Knows how many members there are, and none of them."""

    me: Member
    living_count: int


async def write_again(count: int, store: SimulatedStore) -> None:
    """Lose all registrations and departures of a fleet, and let it write them again."""
    loop = asyncio.get_running_loop()
    clock = Clock(loop.time, loop.time)
    tasks = []
    for i in range(count):
        vm = f"vm-{i:04}"
        eras = EraTracker(store.era)
        client, journal, rng = as_client(store, eras), Journal(vm, clock), Random(vm)
        me = Member(vm, "dc-1", "shop", vm, vm, vm, 1)
        registration = Registration(
            client,
            cast(Directory, FakeDirectory(me, count)),
            cast(Gossip, None),
            clock,
            journal,
            rng,
            [],
            lambda: False,
        )
        registration.is_registered = True
        departures = DepartureStore(vm, client, journal, rng, lambda _it: False, lambda: count)
        if i % LEAVING_EVERY == 0:
            departures.remember(Incarnation(f"i-{vm}", 1))
        eras.on_new_era += [registration.on_new_era, departures.on_new_era]
        eras.observe(store.era + 1)
        tasks += [
            asyncio.create_task(loop()) for loop in (registration._keep_registered, departures.run)
        ]
    store.restore(0)

    def has_all() -> bool:
        kinds = [kind for kind, _ in store.objects_by_key]
        departed = len(range(0, count, LEAVING_EVERY))
        return (kinds.count(DAEMON_KIND), kinds.count(DEPARTURES_KIND)) == (count, departed)

    await wait_until(has_all, 60)
    for task in tasks:
        task.cancel()


def test_what_2000_daemons_write_again_stays_within_the_rates() -> None:
    """Departures were refused while registrations were written."""
    store, loop = SimulatedStore(), VirtualTimeLoop()
    loop.run_until_complete(write_again(2000, store))
    loop.close()
    assert store.writes.refused == store.reads.refused == 0


def main() -> None:
    """Measure a fleet of a size given by daemons and data centres."""
    count, data_centres = map(int, sys.argv[1:3])
    for name, value in attrs.asdict(measure(count, data_centres)).items():
        print(f"{name:20}{value:12.4g}")


if __name__ == "__main__":
    main()
