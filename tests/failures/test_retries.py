"""Attempts stay bounded for nine nested calls; deadlines and cancellations reach the server."""

import asyncio
from urllib.parse import quote

import pytest

from standins.fleet import plan_service
from tests.failures.callers import send
from tests.failures.conftest import StartFleet

PLANS = plan_service("shop", {"dc-1": 2, "dc-2": 2})
CHAIN_DEPTH = 9
RETRY_BUDGET = 3


def nested_path(depth: int, last: str) -> str:
    path = last
    for _ in range(depth - 1):
        path = f"/shop/level?ms=1&nested={quote(path, safe='')}"
    return path


async def test_a_chain_of_nine_nested_calls_succeeds(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS, is_warm=True)
    address = fleet.vms_by_name[PLANS[0].name].caller
    reply = await send(address, nested_path(CHAIN_DEPTH, "/shop/leaf?ms=1"), "deep")
    assert reply.is_success
    assert reply.body["nested"] == 200


async def test_a_chain_that_is_too_deep_is_ended(start_fleet: StartFleet) -> None:
    """The depth limit ends calls that go round in a cycle.

    Every level holds a slot until the last one answers, so the fleet has slots for all of them.
    """
    fleet = start_fleet(plan_service("shop", {"dc-1": 3, "dc-2": 3}), is_warm=True)
    address = fleet.vms_by_name[PLANS[0].name].caller
    reply = await send(address, nested_path(20, "/shop/leaf?ms=1"), "deep")
    assert reply.status == 200
    runs = [fleet.runs(name)["runs_by_path"].get("/shop/leaf", 0) for name in fleet.vms_by_name]
    assert sum(runs) == 0


@pytest.mark.parametrize("budget", [0, RETRY_BUDGET])
async def test_attempts_in_a_full_outage_are_bounded(start_fleet: StartFleet, budget: int) -> None:
    """With every server cutting its answers, a chain of nested calls makes bounded attempts.

    A chain of depth d with a retry budget b makes at most d * (1 + b) attempts.
    """
    fleet = start_fleet(PLANS, is_warm=True)
    address = fleet.vms_by_name[PLANS[0].name].caller
    for name in fleet.vms_by_name:
        fleet.set_server_faults(name, cut_answers=True)
    before = sum(sum(fleet.runs(n)["runs_by_path"].values()) for n in fleet.vms_by_name)
    path = nested_path(CHAIN_DEPTH, "/shop/leaf?ms=1")
    await send(address, path, "deep", deadline_ms=8000, retry_budget=budget)
    after = sum(sum(fleet.runs(n)["runs_by_path"].values()) for n in fleet.vms_by_name)
    assert after - before <= CHAIN_DEPTH * (1 + budget)


async def test_a_cancellation_reaches_the_server(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS)
    for vm in fleet.vms_by_name.values():
        task = asyncio.create_task(send(vm.caller, "/shop/a?ms=5000", "c"))
        await asyncio.sleep(0.3)
        task.cancel()
    await asyncio.sleep(1)
    runs = [fleet.runs(name) for name in fleet.vms_by_name]
    assert sum(run["cancelled"] for run in runs) == len(PLANS)
    assert sum(run["in_flight"] for run in runs) == 0
    assert [fleet.status(name)["in_flight"] for name in fleet.vms_by_name] == [0] * len(PLANS)


async def test_a_deadline_ends_the_call_at_the_server(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS)
    for vm in fleet.vms_by_name.values():
        reply = await send(vm.caller, "/shop/book?ms=5000", "d", method="POST", deadline_ms=300)
        assert (reply.status, reply.outcome) == (504, "unknown")
        assert reply.seconds < 3
    await asyncio.sleep(0.5)
    assert sum(fleet.runs(name)["in_flight"] for name in fleet.vms_by_name) == 0


async def test_an_overload_never_exceeds_the_slots(start_fleet: StartFleet) -> None:
    """All daemons at once send far more than the servers can handle."""
    fleet = start_fleet(PLANS, is_warm=True)
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    replies = await asyncio.gather(
        *(send(addresses[i % 4], "/shop/a?ms=200", f"o{i}", deadline_ms=1500) for i in range(400))
    )
    assert max(fleet.runs(name)["max_in_flight"] for name in fleet.vms_by_name) <= 6
    assert {reply.status for reply in replies} <= {200, 503, 504}
    refused = [i for i, reply in enumerate(replies) if reply.outcome == "not-run"]
    assert refused, "calls beyond the capacity must be refused"
    runs = {}
    for name in fleet.vms_by_name:
        runs.update(fleet.runs(name)["runs_by_id"])
    assert [i for i in refused if f"o{i}" in runs] == []
