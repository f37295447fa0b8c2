"""Dead, frozen and unreachable processes are detected and avoided, and used again on return."""

import asyncio
import signal
import time

from standins.fleet import Fleet, plan_service
from standins.http_client import get_json
from tests.failures.callers import failed_or_mismatched, send, send_steadily
from tests.failures.conftest import StartFleet

PLANS = plan_service("shop", {"dc-1": 2, "dc-2": 2})
FIRST, SECOND, THIRD, FOURTH = (plan.name for plan in PLANS)
REJOIN_SECONDS = 6.0


def wait_for_condition(fleet: Fleet, observer: str, name: str, condition: str) -> float:
    """Wait up to 30 s until a daemon sees a member in a condition; return the seconds waited."""
    started = time.monotonic()
    while time.monotonic() - started < 30:
        members = fleet.status(observer)["members"]
        conditions_by_vm = {m["member"]["vm"]: m["condition"] for m in members}
        if conditions_by_vm.get(name) == condition:
            break
        time.sleep(0.05)
    return time.monotonic() - started


async def test_a_frozen_daemon_is_routed_around(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS, is_warm=True)
    others = [vm.caller for name, vm in fleet.vms_by_name.items() if name != FIRST]
    fleet.signal(FIRST, "daemon", signal.SIGSTOP)
    replies = await send_steadily(others, "/shop/a?ms=10", 50, 4.0, deadline_ms=8000)
    assert await asyncio.to_thread(wait_for_condition, fleet, SECOND, FIRST, "dead") < 10
    fleet.signal(FIRST, "daemon", signal.SIGCONT)
    waited_seconds = await asyncio.to_thread(wait_for_condition, fleet, SECOND, FIRST, "alive")
    assert waited_seconds < REJOIN_SECONDS
    assert failed_or_mismatched(replies) == {}


async def test_calls_are_served_when_half_of_a_service_is_lost_at_once(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(PLANS, is_warm=True)
    others = [fleet.vms_by_name[name].caller for name in (THIRD, FOURTH)]
    load = asyncio.create_task(send_steadily(others, "/shop/a?ms=10", 80, 5.0, deadline_ms=8000))
    await asyncio.sleep(1)
    for name in (FIRST, SECOND):
        for role in ("server", "daemon"):
            fleet.kill(name, role)
    replies = await load
    assert failed_or_mismatched(replies) == {}


async def test_a_daemon_on_a_new_vm_rejoins(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS)
    for role in ("server", "daemon"):
        fleet.kill(FIRST, role)
    await asyncio.to_thread(wait_for_condition, fleet, THIRD, FIRST, "dead")
    fleet.start(FIRST)
    await asyncio.to_thread(fleet.wait_until_ready)
    assert (await send(fleet.vms_by_name[FIRST].caller, "/shop/a", "r")).is_success


async def test_a_silent_connection_to_the_server_costs_one_attempt(start_fleet: StartFleet) -> None:
    """Open connections stop passing data while new ones work: the server is not taken for dead."""
    fleet = start_fleet(PLANS[:1], linked_servers=(FIRST,))
    address = fleet.vms_by_name[FIRST].caller
    for i in range(3):
        assert (await send(address, "/shop/a", f"before-{i}")).is_success
    fleet.server_links_by_name[FIRST].silence()
    await send(address, "/shop/a", "silent", deadline_ms=700)
    for i in range(5):
        assert (await send(address, "/shop/a", f"after-{i}", deadline_ms=3000)).is_success


async def test_a_blackholed_server_is_routed_around(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS, is_warm=True, linked_servers=(FIRST,))
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    fleet.server_links_by_name[FIRST].blackhole()
    replies = await send_steadily(addresses, "/shop/a?ms=10", 50, 4.0, deadline_ms=4000)
    late_failures = {
        name: r
        for name, r in failed_or_mismatched(replies).items()
        if int(name.split("-")[1]) > 100
    }
    assert late_failures == {}


async def test_calls_are_served_during_a_long_store_outage(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS, is_warm=True)
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    fleet.set_platform_faults(down=True)
    replies = await send_steadily(addresses, "/shop/a?ms=10", 50, 12.0)
    assert failed_or_mismatched(replies) == {}, "calls without a key must not depend on the store"
    fleet.set_platform_faults()
    before = await asyncio.to_thread(_store_calls, fleet)
    await asyncio.sleep(5)
    calls = await asyncio.to_thread(_store_calls, fleet) - before
    assert calls < 5 * 4 * len(PLANS), "the daemons must not flood the store when it comes back"
    completed = await asyncio.to_thread(fleet.command, "data-centre", "out", "dc-1")
    assert completed.returncode == 0
    await asyncio.sleep(3)
    assert all(fleet.status(name)["data_centres_out"] == ["dc-1"] for name in fleet.vms_by_name)


async def test_a_daemon_that_is_cut_off_refuses_new_work(start_fleet: StartFleet) -> None:
    """Cut off from the store and most of the fleet, it cannot know which data centres are out."""
    fleet = start_fleet(PLANS, linked_stores=(FIRST,))
    fleet.store_links_by_name[FIRST].blackhole()
    for name in (SECOND, THIRD, FOURTH):
        fleet.signal(name, "daemon", signal.SIGSTOP)
    await asyncio.sleep(5)
    reply = await send(fleet.vms_by_name[FIRST].caller, "/shop/a", "r", deadline_ms=2000)
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert fleet.runs_of("r") == 0
    for name in (SECOND, THIRD, FOURTH):
        fleet.signal(name, "daemon", signal.SIGCONT)
    await asyncio.sleep(5)
    assert (await send(fleet.vms_by_name[FIRST].caller, "/shop/a", "again")).is_success


def _store_calls(fleet: Fleet) -> int:
    return sum(get_json(f"http://{fleet.platform}/counts").values())
