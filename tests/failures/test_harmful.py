"""A request that crashes servers is quarantined after two crashes.

Other requests that were in flight on those servers are not quarantined and run when sent again.
"""

import asyncio
import json

from standins.fleet import Fleet, plan_service
from tests.failures.callers import send
from tests.failures.conftest import StartFleet

PLANS = plan_service("shop", {"dc-1": 2, "dc-2": 2})
CRASH_PATH = "/shop/bad?crash=1"


def dead_servers(fleet: Fleet) -> list[str]:
    return [
        name
        for name, vm in fleet.vms_by_name.items()
        if vm.processes_by_role["server"].poll() is not None
    ]


async def test_a_crashing_request_is_quarantined_after_two_servers(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS)
    replies = []
    for vm in list(fleet.vms_by_name.values()) * 2:
        replies.append(await send(vm.caller, CRASH_PATH, "bad"))
        await asyncio.sleep(0.2)
    assert 1 <= len(dead_servers(fleet)) <= 2
    assert (replies[-1].status, replies[-1].outcome) == (422, "not-run")
    status = json.loads(await asyncio.to_thread(fleet.operate, "status", "--json"))
    assert all(page["held"] for page in status["pages"])
    assert "held: request" in await asyncio.to_thread(fleet.operate, "status")
    assert "E507" in await asyncio.to_thread(fleet.operate, "timeline")
    assert (await send(fleet.vms_by_name[PLANS[0].name].caller, "/shop/a", "other")).is_success


async def test_crashing_at_most_once_requests_are_quarantined_after_two_servers(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(PLANS)
    address = fleet.vms_by_name[PLANS[0].name].caller
    path = "/shop/book?crash=1"
    replies = [await send(address, path, key=f"k{i}", method="POST") for i in range(5)]
    assert len(dead_servers(fleet)) == 2
    assert [reply.status for reply in replies] == [504, 504, 422, 422, 422]
    assert {reply.outcome for reply in replies[:2]} == {"unknown"}


async def test_innocent_calls_beside_it_still_run(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS, is_warm=True)
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    other_calls = [
        asyncio.create_task(send(addresses[i % 4], f"/shop/innocent-{i}?ms=600", f"i{i}"))
        for i in range(8)
    ]
    await asyncio.sleep(0.2)
    for address in addresses:
        await send(address, CRASH_PATH, "bad")
    replies = await asyncio.gather(*other_calls)
    for ms in (6, 600):
        for i in range(8):
            replies.append(await send(addresses[i % 4], f"/shop/innocent-{i}?ms={ms}", f"i{i}"))
    assert len(dead_servers(fleet)) <= 2
    assert [reply for reply in replies if reply.status == 422] == []
    assert [reply for reply in replies[8:] if not reply.is_success] == []
