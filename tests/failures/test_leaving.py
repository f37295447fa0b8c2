"""A data centre, server or daemon that leaves gets no new work after 3 s; no call is cut off."""

import asyncio
import signal

import pytest

from standins.fleet import Fleet, plan_service
from tests.failures.callers import Reply, failed_or_mismatched, send, send_steadily
from tests.failures.conftest import StartFleet

NO_NEW_WORK_SECONDS = 3.0
PLANS = plan_service("shop", {"dc-1": 2, "dc-2": 1, "dc-3": 1})
DC_1_VMS = [plan.name for plan in PLANS if plan.data_centre == "dc-1"]
FIRST = DC_1_VMS[0]


def total_runs(fleet: Fleet, names: list[str]) -> int:
    return sum(sum(fleet.runs(name)["runs_by_id"].values()) for name in names)


async def count_late_runs(
    fleet: Fleet, addresses: list[str], names: list[str], seconds: float = 8.0
) -> tuple[dict[str, Reply], int]:
    """Send calls at a constant rate.

    :param names: VMs whose runs are counted
    :return: all replies, and the number of runs later than 3 s after the start
    """
    load = asyncio.create_task(
        send_steadily(addresses, "/shop/a?ms=20", per_second=60, seconds=seconds)
    )
    await asyncio.sleep(NO_NEW_WORK_SECONDS)
    before = await asyncio.to_thread(total_runs, fleet, names)
    replies = await load
    return replies, await asyncio.to_thread(total_runs, fleet, names) - before


@pytest.mark.parametrize("fault", ["none", "store goes down", "watches stall", "one cut off"])
async def test_a_data_centre_that_is_out_gets_no_new_work(
    start_fleet: StartFleet, fault: str
) -> None:
    fleet = start_fleet(PLANS, is_warm=True, linked_stores=(FIRST,))
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    if fault == "one cut off":
        fleet.store_links_by_name[FIRST].blackhole()
    if fault == "watches stall":
        fleet.set_platform_faults(stall_watches=True)
    await asyncio.to_thread(fleet.operate, "data-centre", "out", "dc-1")
    if fault == "store goes down":
        await asyncio.sleep(0.5)
        fleet.set_platform_faults(down=True)
    replies, late_runs = await count_late_runs(fleet, addresses, DC_1_VMS)
    assert late_runs == 0
    assert failed_or_mismatched(replies) == {}
    if fault == "none":
        await asyncio.to_thread(fleet.operate, "data-centre", "in", "dc-1")
        replies, new_runs = await count_late_runs(fleet, addresses, DC_1_VMS)
        assert new_runs > 0
        assert failed_or_mismatched(replies) == {}


async def test_long_calls_finish_in_a_data_centre_that_is_taken_out(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(PLANS[:3], is_warm=True)
    names = [DC_1_VMS[0], DC_1_VMS[1]]
    calls = [
        asyncio.create_task(send(fleet.vms_by_name[name].caller, "/shop/a?ms=4000", f"long-{name}"))
        for name in names
    ]
    await asyncio.sleep(0.5)
    await asyncio.to_thread(fleet.operate, "data-centre", "out", "dc-1")
    replies = await asyncio.gather(*calls)
    assert all(reply.is_success for reply in replies)


async def test_a_draining_server_gets_no_new_work(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:3], is_warm=True)
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    long_call = asyncio.create_task(
        send(fleet.vms_by_name[FIRST].caller, "/shop/a?ms=4000", "long")
    )
    await asyncio.sleep(0.5)
    fleet.set_server_faults(FIRST, state="draining")
    replies, late_runs = await count_late_runs(fleet, addresses, [FIRST], 5.0)
    assert late_runs == 0
    assert failed_or_mismatched(replies) == {}
    assert (await long_call).is_success


async def test_daemon_stops_as_planned(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:3], is_warm=True)
    leaving_vm = fleet.vms_by_name[FIRST]
    others = [vm.caller for name, vm in fleet.vms_by_name.items() if name != FIRST]
    load = asyncio.create_task(send_steadily(others, "/shop/a?ms=50", 60, 6.0))
    long_calls = [
        asyncio.create_task(send(leaving_vm.caller, f"/shop/a?ms={ms}", f"long-{ms}"))
        for ms in (2000, 6000)
    ]
    await asyncio.sleep(1)
    fleet.signal(FIRST, "daemon", signal.SIGTERM)
    await asyncio.sleep(NO_NEW_WORK_SECONDS)
    before = await asyncio.to_thread(total_runs, fleet, [FIRST])
    replies = await load
    assert await asyncio.to_thread(total_runs, fleet, [FIRST]) == before
    assert failed_or_mismatched(replies) == {}
    long_replies = await asyncio.gather(*long_calls)
    assert [reply for reply in long_replies if not reply.is_success] == []
    assert await asyncio.to_thread(fleet.wait_exit, FIRST, "daemon") == 0


async def test_callers_of_a_stopping_daemon_are_served(start_fleet: StartFleet) -> None:
    """Callers on kept-alive connections get complete answers until the daemon closes them."""
    fleet = start_fleet(PLANS[:3], is_warm=True)
    leaving_address = fleet.vms_by_name[FIRST].caller
    load = asyncio.create_task(send_steadily([leaving_address], "/shop/a?ms=20", 40, 1.3))
    await asyncio.sleep(1)
    fleet.signal(FIRST, "daemon", signal.SIGTERM)
    replies = await load
    assert failed_or_mismatched(replies) == {}


async def test_a_silent_server_gets_no_new_work(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:3], is_warm=True)
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    fleet.set_server_faults(FIRST, is_silent=True)
    replies, late_runs = await count_late_runs(fleet, addresses, [FIRST], 5.0)
    assert late_runs == 0
    assert failed_or_mismatched(replies) == {}


@pytest.mark.parametrize("announced", ["", "warm"], ids=["true state", "always warm"])
async def test_returning_cold_servers_are_not_overloaded(
    start_fleet: StartFleet, announced: str
) -> None:
    """Cold servers of a data centre that is put back into use are never overloaded.

    This holds also for servers that announce themselves as warm while they are cold.
    """
    plans = plan_service("shop", {"dc-1": 2, "dc-2": 3}, "--cold-requests", "60")
    fleet = start_fleet(plans)
    for name in fleet.vms_by_name:
        fleet.set_server_faults(name, state=announced)
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    await asyncio.to_thread(fleet.operate, "data-centre", "out", "dc-1")
    await send_steadily(addresses, "/shop/a?ms=5", 100, 5.0, prefix="warm")
    names = [name for name in fleet.vms_by_name if name.startswith("dc-1")]
    assert total_runs(fleet, names) == 0
    await asyncio.to_thread(fleet.operate, "data-centre", "in", "dc-1")
    replies = await send_steadily(addresses, "/shop/a?ms=5", 300, 12.0)
    assert failed_or_mismatched(replies) == {}
    assert [fleet.runs(name)["falls"] for name in names] == [0, 0]
    assert total_runs(fleet, names) > 100
