"""A change is in force in time whichever members were killed, cut off or rejected by the store.

The disturbed members are drawn by looking at who watches: first those that watch in calm, then, in
rehearsals of the same moments, those that watched in their place.
"""

import asyncio
import os
from collections.abc import Callable
from random import Random

import pytest

from kingcuppond.configuration.inquiries import (
    GROWING_WAVES,
    LATER_ASKERS,
    MAX_WAVE_SECONDS,
    chance_to_ask,
    wave_seconds,
)
from kingcuppond.events import catalogue
from kingcuppond.membership.currency import Currency
from tests.configuration.fleet import (
    CONFIG_DEADLINE_SECONDS,
    MAX_SHARE,
    MAX_STRETCH_SECONDS,
    StoreUser,
    seconds_until_in_force,
    start,
    watchers_of,
)
from tests.membership.network import Network, run_simulated, wait_until
from tests.membership.store import SimulatedStore

KILLED_SHARE = 0.55
REHEARSALS = 3
OBSERVED_SECONDS = 4.0
MAX_CALLS = 200
"""A tenth of what the store takes in a second, for all calls of the fleet in the time observed."""

SIZES = [(30, 5), (200, 4)]
if os.environ.get("INQUIRY_MEMBERS"):
    SIZES = [(int(os.environ["INQUIRY_MEMBERS"]), 18)]

Disturb = Callable[[Network, list[StoreUser]], None]


class SilentCurrency(Currency):
    """What a daemon of an earlier version knows and tells."""

    def make_report(self) -> None:
        """Tell nothing."""


def kill(_network: Network, users: list[StoreUser]) -> None:
    for user in users:
        user.daemon.stop()


def cut_off(network: Network, users: list[StoreUser]) -> None:
    """Cut them off from all other members, but not from the store."""
    names = {user.daemon.vm for user in users}
    network.is_cut = lambda sender, receiver: bool({sender.vm, receiver.vm} & names)


def refuse(_network: Network, users: list[StoreUser]) -> None:
    for user in users:
        user.client.reject("refused")


def mute(_network: Network, users: list[StoreUser]) -> None:
    """Answer nothing, neither on open connections to the store nor on new ones."""
    for user in users:
        user.client.mute()


def play(
    count: int, data_centres: int, seed: int, names: set[str], share: float, disturb: Disturb
) -> tuple[set[str], float, int]:
    """Disturb the named members and those that watch, up to a share of all, and change an object.

    :return: who watched in calm or afterwards, the seconds until all others have the change, and
        the calls of the fleet to the store
    """
    watched: set[str] = set()
    seconds = float("inf")
    calls = 0

    async def scenario(network: Network) -> None:
        nonlocal seconds, calls
        store = SimulatedStore()
        users = await start(network, store, count, data_centres)
        await asyncio.sleep(3.0 * Random(seed).random())
        watched.update(user.daemon.vm for user in watchers_of(users))
        chosen = [user for user in users if user.daemon.vm in watched]
        chosen += [user for user in users if user.daemon.vm in names - watched]
        disturbed = chosen[: int(share * count)]
        others = [user for user in users if user not in disturbed]
        before = sum(user.client.calls for user in users)
        disturb(network, disturbed)
        observer = asyncio.create_task(_observe(others, watched))
        await asyncio.sleep(0.1)
        limit = CONFIG_DEADLINE_SECONDS + MAX_STRETCH_SECONDS + 1.0
        seconds = await seconds_until_in_force(others, store, "budget/a", limit)
        await asyncio.sleep(max(0.0, OBSERVED_SECONDS - seconds))
        observer.cancel()
        calls = sum(user.client.calls for user in users) - before

    run_simulated(scenario, Network(Random(seed)))
    return watched, seconds, calls


async def _observe(users: list[StoreUser], watched: set[str]) -> None:
    while True:
        await asyncio.sleep(0.02)
        watched.update(user.daemon.vm for user in watchers_of(users))


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(("count", "data_centres"), SIZES)
@pytest.mark.parametrize(
    ("disturb", "share", "bound_seconds"),
    [
        (kill, KILLED_SHARE, CONFIG_DEADLINE_SECONDS),
        (cut_off, KILLED_SHARE, CONFIG_DEADLINE_SECONDS),
        (refuse, MAX_SHARE, CONFIG_DEADLINE_SECONDS + MAX_STRETCH_SECONDS),
        (mute, MAX_SHARE, CONFIG_DEADLINE_SECONDS + MAX_STRETCH_SECONDS),
    ],
    ids=["killed", "cut off", "refused", "muted"],
)
def test_a_change_arrives_whichever_members_are_disturbed(
    disturb: Disturb, share: float, bound_seconds: float, count: int, data_centres: int, seed: int
) -> None:
    """Each fixed set of members that watched or stood in for them could be disturbed at once."""
    names: set[str] = set()
    for _ in range(REHEARSALS):
        watched, seconds, calls = play(count, data_centres, seed, names, share, disturb)
        assert seconds <= bound_seconds
        assert calls <= MAX_CALLS
        names |= watched


@pytest.mark.parametrize("calm_seconds", [0.0, 3.0])
def test_a_long_outage_does_not_delay_the_next_inquiry(calm_seconds: float) -> None:
    """The waves had become rare, and the next one came up to 16 s later."""

    async def scenario(network: Network) -> None:
        store = SimulatedStore()
        users = await start(network, store, 30, 3)
        for user in users:
            user.client.reject("refused")
        await asyncio.sleep(40.0)
        for user in users:
            user.client.admit()
        await asyncio.sleep(calm_seconds)
        watchers = [user for user in users if user.watcher.should_watch()]
        kill(network, watchers)
        await asyncio.sleep(0.1)
        others = [user for user in users if user not in watchers]
        await seconds_until_in_force(others, store, "budget/a", CONFIG_DEADLINE_SECONDS)

    run_simulated(scenario)


def test_two_halves_of_a_fleet_both_follow_the_store() -> None:
    async def scenario(network: Network) -> None:
        store = SimulatedStore()
        users = await start(network, store, 30, 2)
        network.is_cut = lambda sender, receiver: sender.data_centre != receiver.data_centre
        for user in watchers_of(users):
            if user.daemon.directory.me.data_centre == "dc-1":
                user.daemon.stop()
        living = [user for user in users if user.daemon.transport.is_running]
        await asyncio.sleep(0.1)
        await seconds_until_in_force(living, store, "budget/a", CONFIG_DEADLINE_SECONDS)

    run_simulated(scenario)


def test_whoever_was_answered_stops_once_others_follow_the_store() -> None:
    """Each inquiry would leave watchers behind, each of which costs calls."""

    async def scenario(network: Network) -> None:
        store = SimulatedStore()
        users = await start(network, store, 30, 3)
        watchers = watchers_of(users)
        for user in watchers:
            user.client.reject("refused")
        others = [user for user in users if user not in watchers]
        await wait_until(lambda: bool(watchers_of(others)), CONFIG_DEADLINE_SECONDS + 1.0)
        await asyncio.sleep(30.0)
        assert 1 <= len(watchers_of(others)) <= 3, "somebody goes on while the watchers can't"
        for user in watchers:
            user.client.admit()
        await wait_until(lambda: not watchers_of(others), 25.0)
        assert watchers_of(users) == watchers

    run_simulated(scenario)


def test_calm_causes_no_inquiry() -> None:
    async def scenario(network: Network) -> None:
        store = SimulatedStore()
        users = await start(network, store, 100, 4)
        await asyncio.sleep(30.0)
        journals = (user.daemon.directory.journal for user in users)
        numbers = [entry.number for journal in journals for entry in journal.entries]
        assert catalogue.STORE_INQUIRY.number not in numbers

    run_simulated(scenario)


def test_members_of_an_earlier_version_report_nothing_and_are_not_followed() -> None:
    """During an update the watchers may all be of the earlier version."""

    async def scenario(network: Network) -> None:
        store = SimulatedStore()
        users = await start(network, store, 30, 3)
        for user in watchers_of(users):
            known = user.daemon.gossip.currency
            user.daemon.gossip.pinger.currency = SilentCurrency(
                known.source, known.objects_digest, known.beats, known.follows, known.answers
            )
        await asyncio.sleep(20.0)
        extra = [user for user in watchers_of(users) if user.watcher.has_rank() is False]
        assert 1 <= len(extra) <= 10
        await seconds_until_in_force(users, store, "budget/a", CONFIG_DEADLINE_SECONDS)

    run_simulated(scenario)


def test_waves_grow_and_then_become_rare() -> None:
    assert [chance_to_ask(wave, 1000) for wave in (1, 2, 3, 50)] == [0.008, 0.016, 0.002, 0.002]
    assert chance_to_ask(2, 10) == 1.0
    assert chance_to_ask(GROWING_WAVES + 1, 1) == min(1.0, LATER_ASKERS)
    seconds = [wave_seconds(wave) for wave in range(100)]
    assert seconds == sorted(seconds)
    assert seconds[: GROWING_WAVES + 1] == [seconds[0]] * (GROWING_WAVES + 1)
    assert seconds[-1] == MAX_WAVE_SECONDS
