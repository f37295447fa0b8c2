"""The protocol of the users' platform from end to end, with real processes and stand-ins."""

import asyncio
import itertools
import signal
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from typing import Any

import aiohttp
import attrs
import pytest

from standins.fleet import Fleet, plan_service
from standins.http_client import get_json, put_json

HOST = "shop.example"
PLANS = plan_service("shop", {"dc-1": 2, "dc-2": 1})
VM_NAMES = [plan.name for plan in PLANS]
DRAIN_SECONDS = 2.0
RECOVERY_SECONDS = 15.0
_IDS = itertools.count(1)


@attrs.frozen
class Reply:
    """The answer that a caller received.

    :param id: attempt id
    :param status: HTTP status, or 0 if the connection broke or timed out
    :param seconds: time until the whole answer was read or the connection broke
    """

    id: str
    status: int
    headers: dict[str, str]
    seconds: float


def configure(fleet: Fleet, version: int = 1, **changes: Any) -> None:
    """Write the operators' configuration into the store."""
    route = {
        "Host": HOST,
        "Kind": "safe",
        "Timeout": "2000ms",
        "TargetLatency": "500ms",
        "Priority": 1,
        "Service": "shop",
        "MaxAttempts": 2,
    }
    routes = [
        {**route, "Name": "read", "PathPrefix": "/read/", **changes},
        {**route, "Name": "book", "PathPrefix": "/book/", "Kind": "unsafe"},
    ]
    columns = list(routes[0])
    rows = [[entry[name] for name in columns] for entry in routes]
    services = {
        "Columns": ["Name", "HealthPath", "ColdPerS"],
        "Rows": [["shop", "/health", 10.0]],
    }
    spec = {"Version": version, "Routes": {"Columns": columns, "Rows": rows}, "Services": services}
    put_object(fleet, "config", "main", spec)


def put_object(fleet: Fleet, kind: str, name: str, spec: Any) -> None:
    """Create an object, or replace it whatever its version."""
    body = {"Metadata": {"Name": name}, "Spec": spec}
    url = f"http://{fleet.platform}/objects/{kind}"
    try:
        put_json(f"{url}/{name}", body)
    except OSError:
        put_json(url, body, "POST")


async def send(
    address: str, path: str, method: str = "GET", deadline_ms: int = 2000, key: str = ""
) -> Reply:
    attempt_id = f"a{next(_IDS)}"
    headers = {
        "Host": HOST,
        "X-Kingcuppond-Attempt-Id": attempt_id,
        "X-Kingcuppond-Deadline-Ms": str(deadline_ms),
        "X-Kingcuppond-Caller-Service": "forged",
    }
    if key:
        headers["Idempotency-Key"] = key
    started = time.monotonic()
    data = b"body" if method == "POST" else None
    try:
        async with (
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=10)) as session,
            session.request(
                method, f"http://{address}{path}", headers=headers, data=data
            ) as response,
        ):
            await response.read()
            status, response_headers = response.status, dict(response.headers)
    except (aiohttp.ClientError, OSError, TimeoutError):
        status, response_headers = 0, {}
    return Reply(attempt_id, status, response_headers, time.monotonic() - started)


def runs_of(fleet: Fleet, attempt_id: str) -> int:
    return sum(fleet.runs(name)["runs_by_id"].get(attempt_id, 0) for name in VM_NAMES)


async def wait_until(condition: Callable[[], bool], seconds: float = 15.0) -> float:
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        if await asyncio.to_thread(condition):
            return time.monotonic() - started
        await asyncio.sleep(0.05)
    raise TimeoutError("condition not met in time")


def is_ready(fleet: Fleet, name: str) -> bool:
    try:
        get_json(f"http://{fleet.vms_by_name[name].ready}/ready")
    except ValueError:
        # /ready answers with a status and an empty body, which is not valid JSON.
        return True
    except OSError:
        return False
    return True


def has_acknowledged_heartbeat(fleet: Fleet, name: str) -> bool:
    """Return whether a heartbeat of a server was acknowledged; the server may not be up yet."""
    try:
        return fleet.runs(name)["acknowledged"] != []
    except OSError:
        return False


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with ExitStack() as stack:
        running = stack.enter_context(Fleet(PLANS, is_on_platform=True))
        configure(running)
        running.wait_until_ready()
        yield running


def caller_address(fleet: Fleet, index: int = 0) -> str:
    return fleet.vms_by_name[VM_NAMES[index]].caller


async def test_a_request_is_served_from_end_to_end(fleet: Fleet) -> None:
    for method, path in [("GET", "/read/1"), ("POST", "/book/1")]:
        reply = await send(caller_address(fleet), path, method)
        assert (reply.status, reply.headers["X-Kingcuppond-Attempt-Id"]) == (200, reply.id)
        callers = [fleet.runs(name)["callers_by_id"].get(reply.id) for name in VM_NAMES]
        assert [caller for caller in callers if caller is not None] == [
            "shop"
        ], "not the forged service"
    assert (await send(caller_address(fleet), "/none/")).status == 404


async def test_without_a_configuration_a_daemon_is_not_ready_and_answers_503() -> None:
    with Fleet(PLANS[:1], is_on_platform=True) as fleet:
        await wait_until(lambda: has_acknowledged_heartbeat(fleet, VM_NAMES[0]))
        assert not is_ready(fleet, VM_NAMES[0])
        assert (await send(caller_address(fleet), "/read/1")).status == 503
        configure(fleet)
        await wait_until(lambda: is_ready(fleet, VM_NAMES[0]), 2.0)


@pytest.mark.parametrize("fault", ["lose_seal", "late_id"])
async def test_an_answer_without_seal_or_with_another_id_is_no_success(
    fleet: Fleet, fault: str
) -> None:
    for name in VM_NAMES:
        fleet.set_server_faults(name, **{fault: True})
    reply = await send(caller_address(fleet), "/book/1", "POST")
    assert reply.status == 502
    assert "X-Kingcuppond-Server-Seal" not in reply.headers
    assert await asyncio.to_thread(runs_of, fleet, reply.id) == 1


@pytest.mark.parametrize("faults", [{"state": "draining"}, {"is_withdrawn": True}], ids=str)
async def test_a_leaving_server_gets_no_calls_even_after_its_daemon_restarts(
    fleet: Fleet, faults: dict[str, object]
) -> None:
    """A leaving server either keeps sending heartbeats or announces its departure only once."""
    leaving_vm = VM_NAMES[0]
    await asyncio.to_thread(fleet.set_server_faults, leaving_vm, **faults)
    announced_state = "draining" if "state" in faults else "withdrawn"
    assert announced_state in fleet.runs(leaving_vm)["acknowledged"]
    fleet.kill(leaving_vm, "daemon")
    fleet.first_start = False
    settings = fleet.vms_by_name[leaving_vm].settings
    settings.write_text(settings.read_text().replace('first_start": true', 'first_start": false'))
    fleet.start_daemon(leaving_vm)
    await wait_until(lambda: is_ready(fleet, leaving_vm))
    before = sum(fleet.runs(leaving_vm)["runs_by_id"].values())
    end = time.monotonic() + 3
    while time.monotonic() < end:
        assert (await send(caller_address(fleet), "/read/1")).status == 200
    assert sum(fleet.runs(leaving_vm)["runs_by_id"].values()) == before


async def test_a_late_heartbeat_of_an_earlier_incarnation_changes_nothing(fleet: Fleet) -> None:
    for name in VM_NAMES:
        await asyncio.to_thread(fleet.set_server_faults, name, old_heartbeat=True)
    end = time.monotonic() + 2
    while time.monotonic() < end:
        assert (await send(caller_address(fleet), "/read/1")).status == 200


async def test_a_slow_vm_is_detected_before_a_call_is_sent_there(fleet: Fleet) -> None:
    for i in range(30):
        await send(caller_address(fleet, i % 3), "/read/1?ms=80")
    await asyncio.to_thread(fleet.set_server_faults, VM_NAMES[0], slowdown_percent=900)
    before = sum(fleet.runs(VM_NAMES[0])["runs_by_id"].values())
    for _ in range(10):
        assert (await send(caller_address(fleet), "/read/1?ms=80")).status == 200
    assert sum(fleet.runs(VM_NAMES[0])["runs_by_id"].values()) == before


async def test_an_evacuated_data_centre_gets_no_calls(fleet: Fleet) -> None:
    put_object(fleet, "evacuations", "dc-1", {})
    await asyncio.sleep(2.0)
    before = [sum(fleet.runs(name)["runs_by_id"].values()) for name in VM_NAMES[:2]]
    for _ in range(20):
        assert (await send(caller_address(fleet), "/read/1")).status == 200
    assert [sum(fleet.runs(name)["runs_by_id"].values()) for name in VM_NAMES[:2]] == before


async def test_a_paused_daemon_does_not_act_on_what_ended_meanwhile(fleet: Fleet) -> None:
    """Its data centre is evacuated while it is paused; calls wait in its sockets when it wakes."""
    paused = fleet.vms_by_name[VM_NAMES[0]]
    # Otherwise its server counts as silent when it wakes, and gets no calls for that reason.
    patient = paused.settings.read_text().replace("{", '{"server_silent_ms": 60000,', 1)
    paused.settings.write_text(patient)
    fleet.signal(VM_NAMES[0], "daemon", signal.SIGHUP)
    await asyncio.sleep(0.5)
    fleet.signal(VM_NAMES[0], "daemon", signal.SIGSTOP)
    put_object(fleet, "evacuations", "dc-1", {})
    await asyncio.sleep(3.0)
    before = sum(fleet.runs(VM_NAMES[0])["runs_by_id"].values())
    calls = [asyncio.create_task(send(paused.caller, "/read/1")) for _ in range(4)]
    await asyncio.sleep(0.5)
    fleet.signal(VM_NAMES[0], "daemon", signal.SIGCONT)
    replies = await asyncio.gather(*calls)
    assert sum(fleet.runs(VM_NAMES[0])["runs_by_id"].values()) == before
    assert {reply.status for reply in replies} == {200}


async def test_a_configuration_is_in_force_on_every_daemon_in_time(fleet: Fleet) -> None:
    configure(fleet, 5, PathPrefix="/other/")
    await asyncio.sleep(2.0)
    replies = [await send(caller_address(fleet, i), "/other/1") for i in range(len(VM_NAMES))]
    assert [reply.status for reply in replies] == [200] * len(VM_NAMES)
    replies = [await send(caller_address(fleet, i), "/read/1") for i in range(len(VM_NAMES))]
    assert [reply.status for reply in replies] == [404] * len(VM_NAMES)


def kill_and_restart_daemons(fleet: Fleet) -> None:
    """Kill all daemons at once, and start them again."""
    for name in VM_NAMES:
        fleet.kill(name, "daemon")
        settings = fleet.vms_by_name[name].settings
        settings.write_text(settings.read_text().replace('start": true', 'start": false'))
    for name in VM_NAMES:
        fleet.start_daemon(name)


async def test_the_fleet_recovers_when_all_daemons_are_killed_at_once(fleet: Fleet) -> None:
    """Guards against a recovery that waits for the answer of a pending watch.

    The daemons list the store before they can ask each other for changes.
    """
    kill_and_restart_daemons(fleet)
    waited_seconds = await wait_until(lambda: all(is_ready(fleet, name) for name in VM_NAMES))
    assert waited_seconds < RECOVERY_SECONDS
    await wait_until(lambda: fleet.status(VM_NAMES[0])["server_state"] == "warm")
    statuses = [(await send(caller_address(fleet), "/read/1")).status for _ in range(10)]
    assert statuses.count(200) >= 5


async def test_a_held_request_stays_held_after_all_daemons_were_killed(fleet: Fleet) -> None:
    """Guards against a request that takes servers down again, since nobody remembers it."""

    async def send_harmful(index: int) -> int:
        return (await send(caller_address(fleet, index), "/read/1?crash=1")).status

    for index in range(6):
        await send_harmful(index % len(VM_NAMES))
        for name in VM_NAMES:
            if fleet.vms_by_name[name].processes_by_role["server"].poll() is not None:
                fleet.start_server(name)
        if fleet.status(VM_NAMES[0])["held"]:
            break
        await asyncio.sleep(0.5)
    assert fleet.status(VM_NAMES[0])["held"]
    await asyncio.sleep(1.0)
    kill_and_restart_daemons(fleet)
    await wait_until(lambda: all(is_ready(fleet, name) for name in VM_NAMES))
    await wait_until(lambda: all(fleet.status(name)["server_state"] == "warm" for name in VM_NAMES))
    statuses = [await send_harmful(index) for index in range(len(VM_NAMES))]
    assert statuses == [503] * len(VM_NAMES)
    servers = [fleet.vms_by_name[name].processes_by_role["server"] for name in VM_NAMES]
    assert [server.poll() for server in servers] == [None] * len(VM_NAMES)


async def test_a_planned_stop_cuts_off_no_call(fleet: Fleet) -> None:
    long_call = asyncio.create_task(send(caller_address(fleet), "/read/1?ms=1500"))
    await asyncio.sleep(0.3)
    fleet.signal(VM_NAMES[0], "daemon", signal.SIGTERM)
    await wait_until(lambda: not is_ready(fleet, VM_NAMES[0]), 1.0)
    replies = []
    end = time.monotonic() + 2.5
    while time.monotonic() < end:
        replies.append(await send(caller_address(fleet), "/read/1"))
    assert {reply.status for reply in replies} == {200}
    assert (await long_call).status == 200
    assert await asyncio.to_thread(fleet.wait_exit, VM_NAMES[0], "daemon") == 0


async def test_a_booking_on_a_killed_server_has_an_unknown_outcome(fleet: Fleet) -> None:
    for name in VM_NAMES:
        await asyncio.to_thread(fleet.set_server_faults, name)
    pending = asyncio.create_task(send(caller_address(fleet), "/book/1?ms=1000", "POST"))
    await asyncio.sleep(0.4)
    for name in VM_NAMES:
        fleet.kill(name, "server")
    assert (await pending).status in (502, 504), "it may have run: the outcome is unknown"
