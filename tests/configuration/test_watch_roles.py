"""Whether the fleet follows the store while the store rejects some of its watchers, or all daemons.

Whole fleets run over a simulated network in simulated time.
"""

import asyncio
import math
from random import Random

import pytest

from kingcuppond.configuration.inquiries import GROWING_WAVES, LATER_ASKERS, MAX_WAVE_SECONDS
from kingcuppond.configuration.watch_ranks import MAX_SUBSTITUTES, MAX_WATCH_GAP_MS
from tests.configuration.fleet import (
    CONFIG_DEADLINE_SECONDS,
    MAX_SHARE,
    MAX_STRETCH_SECONDS,
    SETTLED_SECONDS,
    STABLE_WINDOW_SECONDS,
    WATCH_WAIT_MS,
    seconds_until_in_force,
    start,
    watchers_of,
)
from tests.membership.network import Network, run_simulated, wait_until
from tests.membership.store import SimulatedStore

CALM_SECONDS = 200.0
DOWN_SECONDS = 60.0
DRAW_SECONDS = 9.0
FORMER_ASKERS = 14
"""Ten watchers, and the four members that watched in their place."""

MIN_BACKOFF_SECONDS = 1.0
"""Shortest time between two attempts of a daemon once its backoff has grown."""


@pytest.mark.parametrize("rejection", ["refused", "silent"])
def test_a_change_arrives_while_the_store_rejects_all_watchers(rejection: str) -> None:
    """Rejected watchers kept the role, and the others relied on them: an old version for 9 s."""

    async def scenario(network: Network) -> None:
        store = SimulatedStore()
        users = await start(network, store, 27, 3)
        watchers = watchers_of(users)
        assert 0 < len(watchers) <= MAX_SHARE * len(users)
        for user in watchers:
            user.client.reject(rejection)
        await asyncio.sleep(0.2)
        await seconds_until_in_force(
            users, store, "budget/a", CONFIG_DEADLINE_SECONDS + MAX_STRETCH_SECONDS
        )

    run_simulated(scenario)


def test_a_change_arrives_while_the_store_rejects_the_watchers_of_one_data_centre() -> None:
    async def scenario(network: Network) -> None:
        store = SimulatedStore()
        users = await start(network, store, 27, 3)
        for user in watchers_of(users):
            if user.daemon.directory.me.data_centre == "dc-0":
                user.client.reject("refused")
        await asyncio.sleep(0.2)
        await seconds_until_in_force(users, store, "budget/a", CONFIG_DEADLINE_SECONDS)

    run_simulated(scenario)


@pytest.mark.parametrize("seed", range(5))
def test_changes_arrive_while_the_store_rejects_one_share_of_the_fleet_after_another(
    seed: int,
) -> None:
    """Substitutes are rejected in their turn."""

    async def scenario(network: Network) -> None:
        store = SimulatedStore()
        users = await start(network, store, 60, 4)
        rng = Random(seed)
        for number in range(4):
            rejected = rng.sample(users, int(MAX_SHARE * len(users)))
            if number % 2:
                others = [user for user in users if not user.watcher.is_watching]
                chosen = [*watchers_of(users), *rng.sample(others, len(others))]
                rejected = chosen[: len(rejected)]
            for user in users:
                user.client.admit()
            for user in rejected:
                user.client.reject("refused")
            await asyncio.sleep(0.2)
            limit = CONFIG_DEADLINE_SECONDS + MAX_STRETCH_SECONDS
            await seconds_until_in_force(users, store, f"budget/{number}", limit)
            await asyncio.sleep(DRAW_SECONDS)

    run_simulated(scenario)


@pytest.mark.parametrize(
    ("count", "data_centres"),
    [(12, 4), (27, 3), (60, 5), (36, 18), (1, 1), (3, 1), (3, 2), (8, 1), (20, 2)],
)
@pytest.mark.parametrize("after_change_seconds", [0.5, 4.0, 11.0, 19.5])
def test_a_change_arrives_after_all_connections_to_the_store_went_silent(
    count: int, data_centres: int, after_change_seconds: float
) -> None:
    """Nothing asked the store before a watch of 20 s was over, so that no change arrived.

    The fewer watchers a fleet has, the longer that took.
    """

    async def scenario(network: Network) -> None:
        store = SimulatedStore()
        users = await start(network, store, count, data_centres)
        await seconds_until_in_force(users, store, "budget/a", CONFIG_DEADLINE_SECONDS)
        await asyncio.sleep(after_change_seconds)
        for user in users:
            user.client.silence()
        await asyncio.sleep(STABLE_WINDOW_SECONDS)
        await seconds_until_in_force(users, store, "budget/b", CONFIG_DEADLINE_SECONDS)

    run_simulated(scenario)


@pytest.mark.parametrize(("count", "data_centres"), [(15, 3), (27, 3), (60, 5), (36, 18)])
@pytest.mark.parametrize("after_kill_seconds", [0.1, 1.0, 2.0])
def test_a_change_arrives_after_all_watchers_were_killed_at_once(
    count: int, data_centres: int, after_kill_seconds: float
) -> None:
    """The others relied on them until they counted as dead, 2 s after they were suspected."""

    async def scenario(network: Network) -> None:
        store = SimulatedStore()
        users = await start(network, store, count, data_centres)
        watchers = watchers_of(users)
        others = [user for user in users if user not in watchers]
        for user in watchers:
            user.daemon.stop()
        await asyncio.sleep(after_kill_seconds)
        await seconds_until_in_force(others, store, "budget/a", CONFIG_DEADLINE_SECONDS)

    run_simulated(scenario)


def test_calm_costs_one_watch_of_the_fleet_in_the_longest_gap() -> None:
    """Each further watcher cost a watch of its own in the time that the store holds one."""

    async def scenario(network: Network) -> None:
        store = SimulatedStore()
        users = await start(network, store, 27, 3)
        store.reads.clear()
        await asyncio.sleep(CALM_SECONDS)
        kinds = len(users[0].daemon.configuration.format.kinds)
        watches = math.ceil(CALM_SECONDS * 1000 / MAX_WATCH_GAP_MS)
        assert store.reads.total <= kinds * watches

    run_simulated(scenario)


@pytest.mark.parametrize("count", [100, 200])
def test_a_store_that_rejects_all_is_asked_seldom(count: int) -> None:
    """The fleet must not ask as a whole, and the role must return when the store does."""
    later_waves = math.log2(MAX_WAVE_SECONDS / 0.2) + DOWN_SECONDS / MAX_WAVE_SECONDS
    waves = MAX_SUBSTITUTES * (2 ** (GROWING_WAVES + 1) - 1) + LATER_ASKERS * later_waves

    async def scenario(network: Network) -> None:
        store = SimulatedStore()
        users = await start(network, store, count, 5)
        watchers = watchers_of(users)
        calls_before = {user.daemon.vm: user.client.calls for user in users}
        for user in users:
            user.client.reject("refused")
        await asyncio.sleep(DOWN_SECONDS)
        made = {user.daemon.vm: user.client.calls - calls_before[user.daemon.vm] for user in users}
        by_others = sum(made.values()) - sum(made[user.daemon.vm] for user in watchers)
        assert MAX_SUBSTITUTES <= by_others <= 2 * waves
        # Fourteen daemons that try again with the longest backoff, as many as asked once.
        assert sum(made.values()) <= FORMER_ASKERS * DOWN_SECONDS / MIN_BACKOFF_SECONDS
        store.reads.clear()
        for user in users:
            user.client.admit()
        await seconds_until_in_force(users, store, "budget/a", CONFIG_DEADLINE_SECONDS)
        await asyncio.sleep(WATCH_WAIT_MS / 1000 + SETTLED_SECONDS)
        assert store.reads.refused == 0
        assert watchers_of(users) == watchers

    run_simulated(scenario)


def test_a_watcher_states_that_the_store_is_lost_and_withdraws_it() -> None:
    async def scenario(network: Network) -> None:
        store = SimulatedStore()
        users = await start(network, store, 9, 3)
        user = watchers_of(users)[0]
        user.client.reject("refused")
        others = [it.daemon.directory for it in users]
        vm = user.daemon.vm
        await wait_until(
            lambda: all(it.members_by_vm[vm].is_store_lost for it in others), MAX_STRETCH_SECONDS
        )
        user.client.admit()
        await wait_until(
            lambda: not any(it.members_by_vm[vm].is_store_lost for it in others),
            MAX_STRETCH_SECONDS,
        )

    run_simulated(scenario)


def test_watchers_are_replaced_only_while_none_of_them_answers() -> None:
    """Replacing each one that fails cost calls to the store whenever a few machines had trouble."""

    async def scenario(network: Network) -> None:
        store = SimulatedStore()
        users = await start(network, store, 27, 3)
        watchers = watchers_of(users)
        last = watchers.pop()
        network.is_cut = lambda sender, receiver: any(
            user.daemon.vm in (sender.vm, receiver.vm) for user in watchers
        )
        others = [user for user in users if user not in watchers and user is not last]
        await asyncio.sleep(1.5)
        assert not any(user.watcher.is_watching for user in others)
        last.daemon.stop()
        await wait_until(
            lambda: any(user.watcher.is_watching for user in others), CONFIG_DEADLINE_SECONDS
        )

    run_simulated(scenario)
