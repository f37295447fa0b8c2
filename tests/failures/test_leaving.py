"""A data centre, a server and a daemon leave: no new work after 3 s, and nothing is cut."""

import asyncio
import signal

import pytest

from standins.fleet import Fleet, plan_service
from tests.failures.callers import Reply, failed_or_mismatched, send, send_steadily
from tests.failures.conftest import StartFleet

NO_NEW_WORK_SECONDS = 3.0
PLANS = plan_service("shop", {"dc-1": 2, "dc-2": 1, "dc-3": 1})
DC_1 = [plan.name for plan in PLANS if plan.data_centre == "dc-1"]
CUT_OFF = DC_1[0]


def total_runs(fleet: Fleet, names: list[str]) -> int:
    return sum(sum(fleet.runs(name)["runs_by_id"].values()) for name in names)


async def load_while(
    fleet: Fleet, addresses: list[str], names: list[str], seconds: float = 8.0
) -> tuple[dict[str, Reply], int]:
    """Send calls, and count those that reach some servers later than 3 s from now."""
    load = asyncio.create_task(
        send_steadily(addresses, "/shop/a?ms=20", per_second=60, seconds=seconds)
    )
    await asyncio.sleep(NO_NEW_WORK_SECONDS)
    before = await asyncio.to_thread(total_runs, fleet, names)
    replies = await load
    return replies, await asyncio.to_thread(total_runs, fleet, names) - before


@pytest.mark.parametrize("fault", ["none", "store goes down", "watches stall", "one cut off"])
async def test_data_centre_out(start_fleet: StartFleet, fault: str) -> None:
    fleet = start_fleet(PLANS, is_warm=True, linked_stores=(CUT_OFF,))
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    if fault == "one cut off":
        fleet.store_links_by_name[CUT_OFF].blackhole()
    if fault == "watches stall":
        fleet.set_platform_faults(stall_watches=True)
    await asyncio.to_thread(fleet.operate, "data-centre", "out", "dc-1")
    if fault == "store goes down":
        await asyncio.sleep(0.5)
        fleet.set_platform_faults(down=True)
    replies, late = await load_while(fleet, addresses, DC_1)
    assert late == 0
    assert failed_or_mismatched(replies) == {}
    if fault == "none":
        await asyncio.to_thread(fleet.operate, "data-centre", "in", "dc-1")
        replies, back = await load_while(fleet, addresses, DC_1)
        assert back > 0
        assert failed_or_mismatched(replies) == {}


async def test_long_calls_end_in_a_data_centre_that_goes_out(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:3], is_warm=True)
    names = [DC_1[0], DC_1[1]]
    calls = [
        asyncio.create_task(send(fleet.vms_by_name[name].caller, "/shop/a?ms=4000", f"long-{name}"))
        for name in names
    ]
    await asyncio.sleep(0.5)
    await asyncio.to_thread(fleet.operate, "data-centre", "out", "dc-1")
    replies = await asyncio.gather(*calls)
    assert all(reply.is_success for reply in replies)


async def test_server_drains(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:3], is_warm=True)
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    long = asyncio.create_task(send(fleet.vms_by_name[CUT_OFF].caller, "/shop/a?ms=4000", "long"))
    await asyncio.sleep(0.5)
    fleet.set_server_faults(CUT_OFF, state="draining")
    replies, late = await load_while(fleet, addresses, [CUT_OFF], 5.0)
    assert late == 0
    assert failed_or_mismatched(replies) == {}
    assert (await long).is_success


async def test_daemon_stops_as_planned(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:3], is_warm=True)
    leaver = fleet.vms_by_name[CUT_OFF]
    others = [vm.caller for name, vm in fleet.vms_by_name.items() if name != CUT_OFF]
    load = asyncio.create_task(send_steadily(others, "/shop/a?ms=50", 60, 6.0))
    long = [
        asyncio.create_task(send(leaver.caller, f"/shop/a?ms={ms}", f"long-{ms}"))
        for ms in (2000, 6000)
    ]
    await asyncio.sleep(1)
    fleet.signal(CUT_OFF, "daemon", signal.SIGTERM)
    await asyncio.sleep(NO_NEW_WORK_SECONDS)
    before = await asyncio.to_thread(total_runs, fleet, [CUT_OFF])
    replies = await load
    assert await asyncio.to_thread(total_runs, fleet, [CUT_OFF]) == before
    assert failed_or_mismatched(replies) == {}
    answers = await asyncio.gather(*long)
    assert [reply for reply in answers if not reply.is_success] == []
    assert await asyncio.to_thread(fleet.wait_exit, CUT_OFF, "daemon") == 0


async def test_callers_of_a_stopping_daemon_are_served(start_fleet: StartFleet) -> None:
    """Callers that keep their connections open get whole answers until the daemon closes them."""
    fleet = start_fleet(PLANS[:3], is_warm=True)
    leaver = fleet.vms_by_name[CUT_OFF].caller
    load = asyncio.create_task(send_steadily([leaver], "/shop/a?ms=20", 40, 1.3))
    await asyncio.sleep(1)
    fleet.signal(CUT_OFF, "daemon", signal.SIGTERM)
    replies = await load
    assert failed_or_mismatched(replies) == {}


async def test_a_silent_server_is_dropped(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:3], is_warm=True)
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    fleet.set_server_faults(CUT_OFF, is_silent=True)
    replies, late = await load_while(fleet, addresses, [CUT_OFF], 5.0)
    assert late == 0
    assert failed_or_mismatched(replies) == {}


@pytest.mark.parametrize("announced", ["", "warm"], ids=["says so", "says that it is warm"])
async def test_cold_servers_return_without_a_herd(start_fleet: StartFleet, announced: str) -> None:
    """Cold servers of a returning data centre are never given more than they bear."""
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
