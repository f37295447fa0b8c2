"""A request with an idempotency key runs at most once, despite faults and resends."""

import asyncio
import signal

import pytest

from standins.fleet import plan_service
from tests.failures.callers import Reply, send
from tests.failures.conftest import StartFleet

PLANS = plan_service("shop", {"dc-1": 2, "dc-2": 1})
FIRST, SECOND, THIRD = (plan.name for plan in PLANS)
SLOW_PATH = "/shop/book?ms=800"
RETRY_SECONDS = 15.0


async def test_a_key_sent_to_all_daemons_at_once_runs_once(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS)
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    replies = await asyncio.gather(
        *(send(address, SLOW_PATH, key="k", method="POST") for address in addresses * 3)
    )
    assert fleet.runs_of("k") == 1
    assert sum(reply.status == 200 for reply in replies) == 1
    assert {reply.status for reply in replies} == {200, 409}
    assert {reply.outcome for reply in replies if reply.status == 409} == {"unknown"}


async def test_a_resend_gets_the_first_answer_from_any_daemon(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS)
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    replies = [
        await send(address, "/shop/book", key="k", method="POST", body=b"x")
        for address in addresses
    ]
    assert {reply.status for reply in replies} == {200}
    assert {str(reply.body) for reply in replies} == {str(replies[0].body)}
    assert fleet.runs_of("k") == 1


@pytest.mark.parametrize("size", [10, 300_000], ids=["short body", "streamed body"])
async def test_a_key_with_other_content_is_refused(start_fleet: StartFleet, size: int) -> None:
    fleet = start_fleet(PLANS[:2])
    first, second = (vm.caller for vm in fleet.vms_by_name.values())
    body = b"a" * size
    original = await send(first, "/shop/book", key="k", method="POST", body=body)
    other = await send(second, "/shop/book", key="k", method="POST", body=body[:-1] + b"b")
    again = await send(second, "/shop/book", key="k", method="POST", body=body)
    assert (original.status, again.status) == (200, 200)
    assert (other.status, other.outcome) == (409, "not-run")
    assert fleet.runs_of("k") == 1


@pytest.mark.parametrize("role", ["daemon", "server"])
async def test_a_process_killed_while_the_key_runs_leaves_the_outcome_unknown(
    start_fleet: StartFleet, role: str
) -> None:
    fleet = start_fleet(PLANS)
    first_vm = fleet.vms_by_name[FIRST]
    pending = asyncio.create_task(send(first_vm.caller, SLOW_PATH, key="k", method="POST"))
    await asyncio.sleep(0.4)
    executing_vm = next(name for name in fleet.vms_by_name if fleet.runs(name)["in_flight"])
    fleet.kill(FIRST if role == "daemon" else executing_vm, role)
    first = await pending
    assert first.status in (0, 504)
    survivor = THIRD if executing_vm != THIRD or role == "daemon" else SECOND
    again = await send(fleet.vms_by_name[survivor].caller, SLOW_PATH, key="k", method="POST")
    await asyncio.sleep(1)
    assert (again.status, again.outcome) == (409, "unknown")
    assert fleet.runs_of("k") <= 1


async def test_a_key_is_refused_while_the_store_is_down_and_runs_afterwards(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(PLANS)
    address = fleet.vms_by_name[FIRST].caller
    fleet.set_platform_faults(down=True)
    down = await send(address, "/shop/book", key="k", method="POST", deadline_ms=1500)
    assert (down.status, down.outcome) == (503, "not-run")
    assert fleet.runs_of("k") == 0
    browse = await send(address, "/shop/a", "b")
    assert browse.is_success, "other classes of work must be served while the store is down"
    fleet.set_platform_faults()
    for vm in fleet.vms_by_name.values():
        again = await send(vm.caller, "/shop/book", key="k", method="POST")
        assert again.status == 200
    assert fleet.runs_of("k") == 1


async def test_lost_answers_of_the_store_cause_no_second_run(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS)
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    for i in range(6):
        fleet.set_platform_faults(lose_answers=1 + i % 2)
        key = f"k{i}"
        replies = [await send(a, "/shop/book", key=key, method="POST") for a in addresses]
        assert [reply.status for reply in replies] == [200, 200, 200]
        assert fleet.runs_of(key) == 1


async def test_a_store_answer_after_the_deadline_starts_no_run(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS)
    address = fleet.vms_by_name[FIRST].caller
    fleet.set_platform_faults(delay_ms=700)
    slow = await send(address, "/shop/book", key="k", method="POST", deadline_ms=600)
    assert (slow.status, slow.outcome) == (503, "not-run")
    await asyncio.sleep(3)
    assert fleet.runs_of("k") == 0
    fleet.set_platform_faults()
    again = await send(fleet.vms_by_name[THIRD].caller, "/shop/book", key="k", method="POST")
    assert again.status == 200
    assert fleet.runs_of("k") == 1


async def test_keys_run_at_most_once_while_daemons_are_paused_in_turn(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(PLANS)
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    tasks = []
    for name in fleet.vms_by_name:
        for i in range(20):
            key = f"{name}-{i}"
            path = "/shop/book?ms=30"
            for address in addresses:
                tasks.append(
                    asyncio.create_task(
                        send(address, path, key=key, method="POST", deadline_ms=9000)
                    )
                )
        await asyncio.sleep(0.05)
        fleet.signal(name, "daemon", signal.SIGSTOP)
        await asyncio.sleep(4)
        fleet.signal(name, "daemon", signal.SIGCONT)
        await asyncio.sleep(1)
    replies = await asyncio.gather(*tasks)
    runs = {key: fleet.runs_of(key) for key in _keys(list(fleet.vms_by_name))}
    assert max(runs.values()) == 1
    assert sum(reply.status == 200 for reply in replies) >= 1


async def test_a_caller_that_disconnected_gets_the_answer_on_resend(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(PLANS[:2])
    first, second = (vm.caller for vm in fleet.vms_by_name.values())
    abandoned = asyncio.create_task(send(first, SLOW_PATH, key="k", method="POST"))
    await asyncio.sleep(0.3)
    abandoned.cancel()
    await asyncio.sleep(1.2)
    again = await send(second, SLOW_PATH, key="k", method="POST")
    assert again.status == 200
    assert fleet.runs_of("k") == 1


async def test_keys_run_once_though_the_store_lost_their_claims_and_a_coordinator_restarts(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(PLANS)
    first, third = (fleet.vms_by_name[name].caller for name in (FIRST, THIRD))
    keys = [f"k{i}" for i in range(12)]
    await _send_until_run(third, "before")
    fleet.copy_platform()
    original = [await _send_until_run(first, key) for key in keys]
    fleet.restore_platform(down_seconds=0.5)
    fleet.kill(SECOND, "daemon")
    fleet.start_daemon(SECOND)
    fleet.wait_until_ready()
    again = [await _send_until_run(third, key) for key in keys]
    assert {key: fleet.runs_of(key) for key in keys} == dict.fromkeys(keys, 1)
    assert [reply.body for reply in again] == [reply.body for reply in original]


async def _send_until_run(address: str, key: str) -> Reply:
    """Send a booking until it is not refused as "not run" any more."""
    async with asyncio.timeout(RETRY_SECONDS):
        while True:
            reply = await send(address, "/shop/book", key=key, method="POST")
            if reply.status != 503:
                return reply
            await asyncio.sleep(0.1)


def _keys(names: list[str]) -> list[str]:
    return [f"{name}-{i}" for name in names for i in range(20)]
