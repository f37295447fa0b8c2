"""Roll-outs over a simulated fleet: exposure, deciding daemons that die, a store that fails."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from kingcuppond.rollouts import steps
from kingcuppond.rollouts.gate_share import GateShare
from kingcuppond.rollouts.order import Phase
from tests.membership.network import Network, run_simulated, wait_until
from tests.rollouts.fleet import BOUNDS, SERVICE, RolloutFleet

PER_SECOND = 150.0
Scenario = Callable[[RolloutFleet], Awaitable[None]]


def run(scenario: Scenario, old: int = 6, new: int = 6, failing: float = 0.0) -> RolloutFleet:
    """Run a scenario on a fleet that is joined and has got no order yet."""
    fleets = []

    async def run_on(network: Network) -> None:
        fleet = RolloutFleet(network)
        fleets.append(fleet)
        for i in range(old):
            fleet.add(f"old-{i}", "v1", data_centre="ab"[i % 2])
        for i in range(new):
            fleet.add(f"new-{i}", "v2", failing, "ab"[i % 2])
        await asyncio.sleep(3.0)
        await scenario(fleet)
        fleet.stop()

    run_simulated(run_on)
    return fleets[0]


def is_in_bounds(fleet: RolloutFleet) -> bool:
    return len(fleet.new_call_times) <= BOUNDS.share * fleet.calls + BOUNDS.slack


def phases_of(fleet: RolloutFleet) -> set[Phase]:
    tables = [node.table.rollouts_by_service for node in fleet.nodes_by_vm.values()]
    return {table[SERVICE].phase if SERVICE in table else Phase.WAITING for table in tables}


async def order_and_call(fleet: RolloutFleet, seconds: float = 13.0) -> None:
    fleet.store.order()
    await fleet.call(PER_SECOND, seconds)


def test_a_good_version_is_completed_in_time_and_carries_everything() -> None:
    times = []

    async def scenario(fleet: RolloutFleet) -> None:
        started = asyncio.get_running_loop().time()
        calls = asyncio.create_task(order_and_call(fleet))
        await wait_until(lambda: fleet.state() == "completed", 12.0)
        ended = asyncio.get_running_loop().time()
        times.append(ended - started)
        # The old servers stop at once, without draining.
        assert [node.in_flight for node in fleet.nodes_by_vm.values() if node.version == "v1"] == [
            0
        ] * 6
        assert ended - max(fleet.old_call_times) > 0.2
        for vm in [vm for vm in fleet.nodes_by_vm if vm.startswith("old")]:
            fleet.kill(vm)
        await calls

    fleet = run(scenario)
    assert fleet.store.statuses == ["running", "completed"]
    assert times[0] < 12.0
    assert fleet.refused == 0


@pytest.mark.parametrize("failing", [0.3, 0.6])
def test_a_bad_version_is_rolled_back_within_its_share(failing: float) -> None:
    fleet = run(order_and_call, failing=failing)
    assert fleet.store.statuses == ["running", "rolled_back"]
    assert len(fleet.new_call_times) > 0
    assert is_in_bounds(fleet)
    assert fleet.refused == 0


def test_no_call_goes_to_a_version_that_was_rolled_back() -> None:
    async def scenario(fleet: RolloutFleet) -> None:
        calls = asyncio.create_task(order_and_call(fleet))
        await wait_until(lambda: fleet.state() == "rolled_back", 12.0)
        await asyncio.sleep(2.0)
        before = len(fleet.new_call_times)
        # A daemon that starts later must know it too.
        fleet.add("late", "v2", failing=0.5)
        await calls
        assert len(fleet.new_call_times) == before

    run(scenario, failing=0.5)


@pytest.mark.parametrize("is_enforced", [True, False])
def test_the_gates_hold_the_bound_whatever_the_routers_do(
    is_enforced: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against daemons that have not heard of a roll-out and send half of the calls."""
    if not is_enforced:
        monkeypatch.setattr(GateShare, "take", lambda share: None)

    async def scenario(fleet: RolloutFleet) -> None:
        fleet.ignores_shares = True
        await order_and_call(fleet, 8.0)

    assert is_in_bounds(run(scenario)) is is_enforced


def test_a_large_fleet_learns_of_a_roll_back_in_time() -> None:
    """Guards against a roll-back that some daemons hear of more than 5 s after the bad answers."""
    fleet = run(order_and_call, old=38, new=38, failing=0.3)
    assert fleet.store.statuses == ["running", "rolled_back"]
    assert is_in_bounds(fleet)
    if len(fleet.bad_answer_times) >= 50:
        assert max(fleet.new_call_times) <= fleet.bad_answer_times[49] + 5.0


@pytest.mark.parametrize("failing", [0.0, 0.4])
def test_the_next_daemon_continues_when_the_deciding_one_dies_twice(failing: float) -> None:
    killed = []

    async def kill_decider(fleet: RolloutFleet) -> None:
        await wait_until(lambda: len(fleet.deciders()) > 0, 5.0)
        vm = fleet.deciders()[0]
        killed.append(vm)
        fleet.kill(vm)

    async def scenario(fleet: RolloutFleet) -> None:
        calls = asyncio.create_task(order_and_call(fleet, 16.0))
        for _ in range(2):
            await asyncio.sleep(1.5)
            await kill_decider(fleet)
        await calls

    fleet = run(scenario, failing=failing)
    assert len(set(killed)) == 2
    assert fleet.state() == ("rolled_back" if failing else "completed")
    assert is_in_bounds(fleet) or not failing


def test_the_end_comes_from_the_next_daemon_if_the_deciding_one_dies_before_it_writes() -> None:
    async def scenario(fleet: RolloutFleet) -> None:
        calls = asyncio.create_task(order_and_call(fleet))
        await wait_until(lambda: fleet.state() == "running", 3.0)
        fleet.store.is_down = True
        await wait_until(lambda: Phase.ROLLED_BACK in phases_of(fleet), 10.0)
        fleet.kill(fleet.deciders()[0])
        await asyncio.sleep(1.0)
        before = len(fleet.new_call_times)
        await asyncio.sleep(1.0)
        assert len(fleet.new_call_times) == before
        fleet.store.is_down = False
        await wait_until(lambda: fleet.state() == "rolled_back", 8.0)
        await calls

    fleet = run(scenario, failing=0.5)
    assert is_in_bounds(fleet)


def test_a_roll_back_takes_effect_while_the_store_is_down() -> None:
    async def scenario(fleet: RolloutFleet) -> None:
        calls = asyncio.create_task(order_and_call(fleet))
        await wait_until(lambda: fleet.state() == "running", 3.0)
        fleet.store.is_down = True
        await calls
        assert fleet.state() == "running"

    fleet = run(scenario, failing=0.5)
    assert is_in_bounds(fleet)
    assert max(fleet.new_call_times) < max(fleet.old_call_times) - 4.0


def test_a_roll_back_at_full_share_waits_for_the_store_only_if_it_may_be_completed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a bad version that keeps everything until the store answers."""
    monkeypatch.setattr(steps, "COMPLETE_AT", 9.9)

    async def scenario(fleet: RolloutFleet) -> None:
        calls = asyncio.create_task(order_and_call(fleet, 15.0))
        await wait_until(lambda: phases_of(fleet) == {Phase.FINISHING}, 12.0)
        fleet.store.is_down = True
        for node in fleet.nodes_by_vm.values():
            node.failing = 0.5 if node.version == "v2" else 0.0
        await wait_until(lambda: phases_of(fleet) == {Phase.ROLLED_BACK}, 3.0)
        await calls

    fleet = run(scenario)
    assert fleet.state() == "running"
    assert fleet.refused == 0


def test_a_version_that_is_completed_in_the_store_is_not_rolled_back() -> None:
    """The answer to ``completed`` is lost, and the old servers have stopped."""

    async def scenario(fleet: RolloutFleet) -> None:
        calls = asyncio.create_task(order_and_call(fleet, 16.0))
        await wait_until(lambda: phases_of(fleet) == {Phase.FINISHING}, 12.0)
        fleet.store.lose_answers = 1
        await wait_until(lambda: fleet.state() == "completed", 3.0)
        fleet.store.is_down = True
        for node in fleet.nodes_by_vm.values():
            node.failing = 0.5 if node.version == "v2" else 0.0
        await asyncio.sleep(3.0)
        assert Phase.ROLLED_BACK not in phases_of(fleet)
        fleet.store.is_down = False
        await calls

    fleet = run(scenario)
    assert fleet.store.statuses == ["running", "completed"]


def test_the_share_does_not_grow_while_the_store_is_down() -> None:
    async def scenario(fleet: RolloutFleet) -> None:
        calls = asyncio.create_task(order_and_call(fleet, 20.0))
        await wait_until(lambda: fleet.state() == "running", 3.0)
        await asyncio.sleep(4.0)
        fleet.store.is_down = True
        await asyncio.sleep(10.0)
        shares = {
            node.table.rollouts_by_service[SERVICE].share for node in fleet.nodes_by_vm.values()
        }
        assert max(shares) < 0.2
        assert is_in_bounds(fleet)
        fleet.store.is_down = False
        await wait_until(lambda: fleet.state() == "completed", 6.0)
        await calls

    run(scenario)


def test_completed_takes_effect_only_once_it_is_in_the_store() -> None:
    """The old servers go on until then, so a daemon must not treat them as gone."""

    async def scenario(fleet: RolloutFleet) -> None:
        calls = asyncio.create_task(order_and_call(fleet, 16.0))
        await wait_until(lambda: phases_of(fleet) == {Phase.FINISHING}, 12.0)
        fleet.store.is_down = True
        await asyncio.sleep(3.0)
        assert phases_of(fleet) == {Phase.FINISHING}
        fleet.store.is_down = False
        await wait_until(lambda: fleet.state() == "completed", 3.0)
        await calls

    run(scenario)


@pytest.mark.parametrize("failing", [0.0, 0.5])
def test_a_lost_answer_of_the_store_is_not_taken_for_a_failure(failing: float) -> None:
    async def scenario(fleet: RolloutFleet) -> None:
        fleet.store.lose_answers = 2
        await order_and_call(fleet)

    fleet = run(scenario, failing=failing)
    assert fleet.store.statuses == ["running", "rolled_back" if failing else "completed"]


def test_a_conflict_is_read_again_before_the_next_write() -> None:
    async def scenario(fleet: RolloutFleet) -> None:
        fleet.store.conflicts = 2
        await order_and_call(fleet)

    assert run(scenario).store.statuses == ["running", "completed"]


def test_two_deciding_daemons_write_each_status_once() -> None:
    """Two halves of the fleet that do not hear each other both reach the store."""

    async def scenario(fleet: RolloutFleet) -> None:
        fleet.store.order()
        calls = asyncio.create_task(fleet.call(PER_SECOND, 12.0))
        await asyncio.sleep(1.0)
        fleet.network.is_cut = lambda one, other: one.data_centre != other.data_centre
        await asyncio.sleep(5.0)
        assert len(fleet.deciders()) == 2
        fleet.network.is_cut = lambda one, other: False
        await calls

    fleet = run(scenario, failing=0.4)
    assert fleet.store.statuses == ["running", "rolled_back"]
    assert is_in_bounds(fleet)


def test_a_second_order_of_a_version_begins_anew() -> None:
    """Guards against a roll-back that outlives its order."""

    async def scenario(fleet: RolloutFleet) -> None:
        await order_and_call(fleet, 8.0)
        assert fleet.state() == "rolled_back"
        fleet.store.delete()
        await asyncio.sleep(1.0)
        for node in fleet.nodes_by_vm.values():
            node.failing = 0.0
        await order_and_call(fleet)

    fleet = run(scenario, failing=0.5)
    assert fleet.store.statuses == ["running", "rolled_back", "running", "completed"]


def test_without_an_order_all_versions_are_used() -> None:
    async def scenario(fleet: RolloutFleet) -> None:
        await fleet.call(PER_SECOND, 4.0)

    fleet = run(scenario)
    assert len(fleet.new_call_times) > 0.3 * fleet.calls


def test_a_good_version_survives_the_loss_of_half_of_its_servers() -> None:
    async def scenario(fleet: RolloutFleet) -> None:
        calls = asyncio.create_task(order_and_call(fleet))
        await asyncio.sleep(4.0)
        for i in range(3):
            fleet.kill(f"new-{i}")
            fleet.kill(f"old-{i}")
        await calls

    fleet = run(scenario)
    assert fleet.state() == "completed"
