"""Every caller gets the complete answer to its own request, or a correct outcome.

The outcome "not-run" is given only for a request that no server has run.
"""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from standins.fleet import Fleet, plan_service
from tests.failures.callers import failed_or_mismatched, send, send_steadily
from tests.failures.conftest import StartFleet

PLANS = plan_service("shop", {"dc-1": 1, "dc-2": 1, "dc-3": 1})
FIRST, SECOND, THIRD = (plan.name for plan in PLANS)
UPLOAD_BYTES = 200_000_000
MAX_MEMORY_GROWTH_BYTES = 16_000_000
CHUNK = b"x" * 250_000


def peak_memory_bytes(fleet: Fleet, name: str) -> int:
    pid = fleet.vms_by_name[name].processes_by_role["daemon"].pid
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) * 1024


async def upload() -> AsyncIterator[bytes]:
    for _ in range(UPLOAD_BYTES // len(CHUNK)):
        yield CHUNK


async def test_a_large_upload_is_whole_and_memory_is_bounded(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:2])
    for vm in fleet.vms_by_name.values():
        await send(vm.caller, "/shop/up", "warm", method="PUT", body=CHUNK * 4)
    before = {name: peak_memory_bytes(fleet, name) for name in fleet.vms_by_name}
    for name, vm in fleet.vms_by_name.items():
        reply = await send(vm.caller, "/shop/up", f"u-{name}", method="PUT", body=upload())
        assert reply.is_success
        assert reply.body["size"] == UPLOAD_BYTES
    for name in fleet.vms_by_name:
        assert peak_memory_bytes(fleet, name) - before[name] < MAX_MEMORY_GROWTH_BYTES


async def test_a_large_answer_is_whole_and_memory_is_bounded(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:2])
    before = {name: peak_memory_bytes(fleet, name) for name in fleet.vms_by_name}
    for name, vm in fleet.vms_by_name.items():
        reply = await send(vm.caller, f"/shop/down?bytes={UPLOAD_BYTES // 4}", f"d-{name}")
        assert reply.is_success
        assert len(reply.body) == UPLOAD_BYTES // 4
    for name in fleet.vms_by_name:
        assert peak_memory_bytes(fleet, name) - before[name] < MAX_MEMORY_GROWTH_BYTES


@pytest.mark.parametrize("path", ["/shop/a", "/shop/a?bytes=1000000"], ids=["short", "streamed"])
async def test_a_truncated_answer_is_never_a_success(start_fleet: StartFleet, path: str) -> None:
    fleet = start_fleet(PLANS)
    for name in fleet.vms_by_name:
        fleet.set_server_faults(name, cut_answers=True)
    for vm in fleet.vms_by_name.values():
        for i in range(4):
            reply = await send(vm.caller, path, f"{vm.plan.name}-{i}", deadline_ms=3000)
            assert not reply.is_success
            assert reply.outcome in ("", "unknown")


async def test_answers_match_their_requests_while_a_server_dies(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS, is_warm=True)
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    load = asyncio.create_task(send_steadily(addresses, "/shop/a?ms=30", 80, 5.0, deadline_ms=3000))
    await asyncio.sleep(1)
    fleet.kill(SECOND, "server")
    await asyncio.sleep(1.5)
    await asyncio.to_thread(fleet.start_server, SECOND)
    replies = await load
    mismatched = [
        reply for name, reply in replies.items() if reply.status == 200 and name != reply.body["id"]
    ]
    assert mismatched == []
    assert failed_or_mismatched(replies) == {}, "retryable calls must be retried on another server"


async def test_not_run_is_correct_under_changing_faults(start_fleet: StartFleet) -> None:
    """A booking that is answered with "not-run" has not run, and none has run twice.

    The faults: a server sheds load, a data centre is taken out, the store is slow, then down.
    """
    fleet = start_fleet(PLANS, is_warm=True)
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    load = asyncio.create_task(
        send_steadily(
            addresses, "/shop/book?ms=30", 60, 6.0, "POST", is_keyed=True, deadline_ms=1500
        )
    )
    await asyncio.sleep(0.5)
    fleet.set_server_faults(FIRST, shed=True)
    await asyncio.sleep(1)
    await asyncio.to_thread(fleet.operate, "data-centre", "out", "dc-2")
    await asyncio.sleep(1)
    fleet.set_platform_faults(delay_ms=400)
    await asyncio.sleep(1)
    fleet.set_platform_faults(down=True)
    await asyncio.sleep(1)
    fleet.set_platform_faults()
    replies = await load
    runs: dict[str, int] = {}
    for name in fleet.vms_by_name:
        for request, count in fleet.runs(name)["runs_by_id"].items():
            runs[request] = runs.get(request, 0) + count
    not_run = [name for name, reply in replies.items() if reply.outcome == "not-run"]
    assert not_run, "the faults must have had an effect"
    assert [name for name in not_run if runs.get(name)] == []
    assert [name for name, count in runs.items() if count > 1 and name.startswith("load")] == []


async def test_a_put_that_crashes_the_server_is_sent_once(start_fleet: StartFleet) -> None:
    """A server that breaks the connection has run the request, so it must not be sent again."""
    fleet = start_fleet(PLANS[:1])
    address = fleet.vms_by_name[FIRST].caller
    await send(address, "/shop/book", key="warm", method="PUT")
    reply = await send(address, "/shop/book?crash=1", key="k", method="PUT")
    assert (reply.status, reply.outcome) == (504, "unknown")
