"""The platform's store comes back from a copy: what was acknowledged stays in force."""

import asyncio
import json
import signal
import time
from collections.abc import Iterator

import pytest

from standins.fleet import Fleet
from standins.http_client import get_json, put_json
from tests.failures.conftest import StartFleet
from tests.failures.test_platform import (
    HOST,
    PLANS,
    VM_NAMES,
    caller_address,
    configure,
    is_ready,
    put_object,
    send,
    wait_until,
)

DOWN_SECONDS = 0.5
LISTED_SECONDS = 3.0
"""Longer than the longest backoff of a watcher, so that all have listed the restored store."""

IN_FORCE_SECONDS = 2.0
"""The platform's bound from the store's acknowledgement."""

HOLD_SECONDS = 3.0

KNOWN_SECONDS = 1.0
"""Long enough for the other daemons to hear of a change."""


def configure_routes(fleet: Fleet, version: int, *prefixes: str) -> None:
    """Write a configuration with one route for each path prefix."""
    columns = ["Name", "PathPrefix", "Host", "Kind", "Timeout", "TargetLatency", "Service"]
    rows = [[it.strip("/"), it, HOST, "safe", "2000ms", "500ms", "shop"] for it in prefixes]
    services = {
        "Columns": ["Name", "HealthPath", "ColdPerS"],
        "Rows": [["shop", "/health", 10.0]],
    }
    spec = {"Version": version, "Routes": {"Columns": columns, "Rows": rows}, "Services": services}
    put_object(fleet, "config", "main", spec)


def delete_object(fleet: Fleet, kind: str, name: str) -> None:
    put_json(f"http://{fleet.platform}/objects/{kind}/{name}", None, "DELETE")


async def statuses(fleet: Fleet, path: str) -> list[int]:
    """Return the status that each daemon answers."""
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    replies = await asyncio.gather(*(send(address, path) for address in addresses))
    return [reply.status for reply in replies]


async def wait_for_status(fleet: Fleet, path: str, status: int) -> None:
    """Fail unless all daemons answer with this status in time."""
    end = time.monotonic() + IN_FORCE_SECONDS
    seen: list[int] = []
    while time.monotonic() < end:
        seen = await statuses(fleet, path)
        if set(seen) == {status}:
            return
        await asyncio.sleep(0.05)
    pytest.fail(f"{path} is answered with {seen}")


async def check_statuses_hold(fleet: Fleet, expected: dict[str, int], seconds: float) -> None:
    """Fail if a daemon gives another answer than expected for a path."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for path, status in expected.items():
            assert set(await statuses(fleet, path)) == {status}, path
        await asyncio.sleep(0.1)


async def wait_for_data_centres_out(fleet: Fleet, *expected: str) -> None:
    """Fail unless each daemon takes exactly these data centres as out of service in time."""
    names = list(fleet.vms_by_name)
    await wait_until(
        lambda: all(fleet.status(it)["data_centres_out"] == list(expected) for it in names),
        IN_FORCE_SECONDS,
    )


async def check_data_centres_out_hold(fleet: Fleet, *expected: str) -> None:
    """Fail if a daemon takes other data centres as out of service."""
    end = time.monotonic() + HOLD_SECONDS
    while time.monotonic() < end:
        for name in fleet.vms_by_name:
            seen = (await asyncio.to_thread(fleet.status, name))["data_centres_out"]
            assert seen == list(expected), name
        await asyncio.sleep(0.1)


async def restore(fleet: Fleet) -> None:
    """Return the store to the last copy, and wait until the watchers have listed it."""
    await asyncio.to_thread(fleet.restore_platform, down_seconds=DOWN_SECONDS)
    await asyncio.sleep(LISTED_SECONDS)


def restart_daemon(fleet: Fleet, name: str) -> None:
    """Start a killed daemon again, not as the first start of its fleet."""
    settings = fleet.vms_by_name[name].settings
    settings.write_text(settings.read_text().replace('start": true', 'start": false'))
    fleet.start_daemon(name)


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with Fleet(PLANS, is_on_platform=True, linked_stores=(VM_NAMES[0],)) as running:
        configure_routes(running, 1, "/read/", "/old/")
        running.wait_until_ready()
        running.copy_platform()
        yield running


async def change_twice(fleet: Fleet) -> None:
    """Make two changes that the copy lacks: a route is added and another one is withdrawn."""
    configure_routes(fleet, 3, "/read/", "/old/", "/lost/")
    await wait_for_status(fleet, "/lost/1", 200)
    configure_routes(fleet, 4, "/read/", "/lost/")
    await wait_for_status(fleet, "/old/1", 404)


@pytest.mark.parametrize("is_rewritten", [True, False], ids=["rewritten", "not rewritten"])
async def test_a_route_added_after_a_restore_is_served(fleet: Fleet, is_rewritten: bool) -> None:
    """Guards against versions that are ordered by the store's revision alone."""
    await change_twice(fleet)
    await restore(fleet)
    if is_rewritten:
        configure_routes(fleet, 4, "/read/", "/lost/")
    configure_routes(fleet, 7, "/read/", "/lost/", "/new/")
    await wait_for_status(fleet, "/new/1", 200)
    configure_routes(fleet, 8, "/read/", "/new/")
    await wait_for_status(fleet, "/lost/1", 404)


async def test_a_lost_configuration_stays_in_force_until_it_is_written_again(
    fleet: Fleet,
) -> None:
    """Guards against the older configuration of the copy, also at a daemon that restarts."""
    await change_twice(fleet)
    in_force = {"/read/1": 200, "/lost/1": 200, "/old/1": 404}
    fleet.kill(VM_NAMES[1], "daemon")
    await asyncio.to_thread(fleet.restore_platform, down_seconds=DOWN_SECONDS)
    restart_daemon(fleet, VM_NAMES[1])
    await wait_until(lambda: is_ready(fleet, VM_NAMES[1]))
    await check_statuses_hold(fleet, in_force, HOLD_SECONDS)
    configure_routes(fleet, 4, "/read/", "/lost/")
    await check_statuses_hold(fleet, in_force, 1.0)


async def test_a_data_centre_taken_out_in_the_lost_seconds_stays_out(fleet: Fleet) -> None:
    """Guards against a listing of the copy that counts as the end of the evacuation."""
    put_object(fleet, "evacuations", "dc-2", {})
    await wait_for_data_centres_out(fleet, "dc-2")
    await restore(fleet)
    await check_data_centres_out_hold(fleet, "dc-2")
    put_object(fleet, "evacuations", "dc-2", {})
    await check_data_centres_out_hold(fleet, "dc-2")


async def test_a_data_centre_taken_back_in_the_lost_seconds_does_not_go_out(
    fleet: Fleet,
) -> None:
    """Guards against an evacuation of the copy that its removal had ended."""
    put_object(fleet, "evacuations", "dc-2", {})
    await wait_for_data_centres_out(fleet, "dc-2")
    fleet.copy_platform()
    delete_object(fleet, "evacuations", "dc-2")
    await wait_for_data_centres_out(fleet)
    await restore(fleet)
    await check_data_centres_out_hold(fleet)
    delete_object(fleet, "evacuations", "dc-2")
    await check_data_centres_out_hold(fleet)


async def test_evacuations_after_a_restore_are_in_force(fleet: Fleet) -> None:
    """Guards against changes that count as old, of an object that was written again."""
    put_object(fleet, "evacuations", "dc-1", {})
    await wait_for_data_centres_out(fleet, "dc-1")
    put_object(fleet, "evacuations", "dc-2", {})
    await wait_for_data_centres_out(fleet, "dc-1", "dc-2")
    await restore(fleet)
    put_object(fleet, "evacuations", "dc-2", {})
    delete_object(fleet, "evacuations", "dc-2")
    await wait_for_data_centres_out(fleet, "dc-1")
    put_object(fleet, "evacuations", "dc-1", {})
    delete_object(fleet, "evacuations", "dc-1")
    await wait_for_data_centres_out(fleet)


async def test_an_evacuation_that_ends_before_the_first_listing_is_over(fleet: Fleet) -> None:
    """Guards against a deletion that no daemon watched and that looks like a loss of the store."""
    put_object(fleet, "evacuations", "dc-1", {})
    await wait_for_data_centres_out(fleet, "dc-1")
    await asyncio.to_thread(fleet.restore_platform, seconds=0.0, down_seconds=DOWN_SECONDS)
    delete_object(fleet, "evacuations", "dc-1")
    await asyncio.sleep(LISTED_SECONDS)
    await wait_for_data_centres_out(fleet)


async def test_a_frozen_daemon_does_not_end_an_evacuation_that_the_others_have_listed(
    fleet: Fleet,
) -> None:
    """Guards against what restarted daemons have listed, and count as older than all changes."""
    put_object(fleet, "evacuations", "dc-2", {})
    await wait_for_data_centres_out(fleet, "dc-2")
    delete_object(fleet, "evacuations", "dc-2")
    await wait_for_data_centres_out(fleet)
    frozen, *others = VM_NAMES
    fleet.signal(frozen, "daemon", signal.SIGSTOP)
    fleet.store_links_by_name[frozen].blackhole()
    put_object(fleet, "evacuations", "dc-2", {})
    for name in others:
        fleet.kill(name, "daemon")
    for name in others:
        restart_daemon(fleet, name)
    await wait_until(lambda: all(is_ready(fleet, it) for it in others))
    await asyncio.sleep(LISTED_SECONDS)
    fleet.signal(frozen, "daemon", signal.SIGCONT)
    await asyncio.sleep(IN_FORCE_SECONDS)
    await check_data_centres_out_hold(fleet, "dc-2")


@pytest.mark.parametrize("fault", ["frozen", "cut off"])
async def test_a_daemon_that_missed_the_restore_does_not_bring_old_objects_back(
    fleet: Fleet, fault: str
) -> None:
    """Guards against old versions that spread again, over those of the restored store."""
    await change_twice(fleet)
    name = VM_NAMES[0]
    link = fleet.store_links_by_name[name]
    if fault == "frozen":
        fleet.signal(name, "daemon", signal.SIGSTOP)
    else:
        link.blackhole()
    await restore(fleet)
    configure_routes(fleet, 7, "/read/", "/new/")
    await asyncio.sleep(IN_FORCE_SECONDS)
    in_force = {"/read/1": 200, "/new/1": 200, "/lost/1": 404, "/old/1": 404}
    if fault == "frozen":
        fleet.signal(name, "daemon", signal.SIGCONT)
        await asyncio.sleep(IN_FORCE_SECONDS)
    else:
        await check_statuses_hold(fleet, in_force, 1.0)
        link.cut()
        link.restore()
    await check_statuses_hold(fleet, in_force, HOLD_SECONDS)


async def test_changes_after_two_restores_in_a_row_are_in_force(fleet: Fleet) -> None:
    """Guards against an order of the first two eras only."""
    await change_twice(fleet)
    await restore(fleet)
    configure_routes(fleet, 5, "/read/", "/second/")
    await wait_for_status(fleet, "/second/1", 200)
    await restore(fleet)
    await check_statuses_hold(fleet, {"/second/1": 200, "/old/1": 404}, 1.0)
    configure_routes(fleet, 6, "/read/", "/third/")
    await wait_for_status(fleet, "/third/1", 200)
    await wait_for_status(fleet, "/second/1", 404)


async def test_restores_at_once_one_after_the_other(fleet: Fleet) -> None:
    """Guards against a second restore while the watchers still list the first one."""
    await change_twice(fleet)
    await asyncio.to_thread(fleet.restore_platform, down_seconds=DOWN_SECONDS)
    await asyncio.sleep(0.1)
    await restore(fleet)
    await check_statuses_hold(fleet, {"/lost/1": 200, "/old/1": 404}, 1.0)
    configure_routes(fleet, 5, "/read/", "/new/")
    await wait_for_status(fleet, "/new/1", 200)


async def test_a_departure_that_the_copy_lacks_outlives_its_daemon(fleet: Fleet) -> None:
    """Guards against an acknowledged leaving that nobody writes again.

    All daemons are killed, so that only the store knows of it; afterwards a late heartbeat
    arrives and the health path answers that all is well.
    """
    leaving_vm = VM_NAMES[0]
    await asyncio.to_thread(fleet.set_server_faults, leaving_vm, is_withdrawn=True)
    assert "withdrawn" in fleet.runs(leaving_vm)["acknowledged"]
    await restore(fleet)
    for name in VM_NAMES:
        fleet.kill(name, "daemon")
    for name in VM_NAMES:
        restart_daemon(fleet, name)
    await wait_until(lambda: all(is_ready(fleet, name) for name in VM_NAMES))
    await asyncio.to_thread(fleet.set_server_faults, leaving_vm)
    before = sum(fleet.runs(leaving_vm)["runs_by_id"].values())
    end = time.monotonic() + HOLD_SECONDS
    while time.monotonic() < end:
        await send(caller_address(fleet), "/read/1")
    assert sum(fleet.runs(leaving_vm)["runs_by_id"].values()) == before
    assert fleet.runs(VM_NAMES[1])["runs_by_id"], "the other servers are called"


async def test_a_departure_lost_while_its_daemon_is_down_is_known_from_the_others(
    fleet: Fleet,
) -> None:
    """Guards against a daemon that restarts and asks only the store whether its server leaves."""
    leaving_vm = VM_NAMES[0]
    await asyncio.to_thread(fleet.set_server_faults, leaving_vm, is_withdrawn=True)
    assert "withdrawn" in fleet.runs(leaving_vm)["acknowledged"]
    await asyncio.sleep(KNOWN_SECONDS)
    fleet.kill(leaving_vm, "daemon")
    await asyncio.to_thread(fleet.restore_platform, down_seconds=DOWN_SECONDS)
    await asyncio.sleep(LISTED_SECONDS)
    before = sum(fleet.runs(leaving_vm)["runs_by_id"].values())
    restart_daemon(fleet, leaving_vm)
    await wait_until(lambda: is_ready(fleet, leaving_vm))
    await asyncio.to_thread(fleet.set_server_faults, leaving_vm)
    end = time.monotonic() + HOLD_SECONDS
    while time.monotonic() < end:
        await send(caller_address(fleet), "/read/1")
    assert sum(fleet.runs(leaving_vm)["runs_by_id"].values()) == before


async def test_a_daemon_that_finds_no_other_one_after_a_restore_runs_no_key_again(
    fleet: Fleet,
) -> None:
    """Guards against a daemon that takes itself for the whole fleet, since registrations are lost.

    The others are paused for a moment, so that they neither register again nor contact it.
    """
    configure(fleet, 2)
    for name in VM_NAMES:
        delete_object(fleet, "daemon", name)
    fleet.copy_platform()
    restarted, *others = VM_NAMES
    await asyncio.sleep(KNOWN_SECONDS)
    first = await send(fleet.vms_by_name[others[0]].caller, "/book/1", "POST", key="k")
    assert first.status == 200
    fleet.kill(restarted, "daemon")
    for name in others:
        fleet.signal(name, "daemon", signal.SIGSTOP)
    await asyncio.to_thread(fleet.restore_platform)
    restart_daemon(fleet, restarted)
    await wait_until(lambda: is_ready(fleet, restarted))
    again = await send(fleet.vms_by_name[restarted].caller, "/book/1", "POST", key="k")
    for name in others:
        fleet.signal(name, "daemon", signal.SIGCONT)
    assert again.status != 200


async def test_keys_outlast_a_planned_restart_of_all_daemons_and_a_restore(fleet: Fleet) -> None:
    """Guards against claims that are lost with the memory of each daemon that knows them."""
    configure(fleet, 2)
    await asyncio.sleep(KNOWN_SECONDS)
    fleet.copy_platform()
    addresses = [fleet.vms_by_name[name].caller for name in VM_NAMES]
    keys = [f"k{i}" for i in range(12)]
    first = [
        await send(addresses[i % len(addresses)], "/book/1", "POST", key=key)
        for i, key in enumerate(keys)
    ]
    assert {reply.status for reply in first} == {200}
    for name in VM_NAMES:
        fleet.signal(name, "daemon", signal.SIGTERM)
        await asyncio.to_thread(fleet.wait_exit, name, "daemon")
        restart_daemon(fleet, name)
        await asyncio.to_thread(fleet.wait_until_ready)
    await restore(fleet)
    again = [
        await send(addresses[i % len(addresses)], "/book/1", "POST", key=key)
        for i, key in enumerate(keys)
    ]
    assert 200 not in {reply.status for reply in again}


async def test_daemons_whose_registration_the_copy_lacks_can_be_found(fleet: Fleet) -> None:
    """Guards against a fleet that a starting daemon can't join, since nobody registers again."""
    url = f"http://{fleet.platform}/objects/daemon"
    await asyncio.to_thread(fleet.restore_platform, seconds=60.0, down_seconds=DOWN_SECONDS)
    assert get_json(url)["items"] == []
    await wait_until(
        lambda: {it["Metadata"]["Name"] for it in get_json(url)["items"]} == set(VM_NAMES)
    )


def apply_browse(fleet: Fleet, within_ms: int, *options: str) -> tuple[int, str]:
    """Change the class ``browse``; return the exit code and the output of the command."""
    file = fleet.folder / f"apply-{within_ms}.json"
    class_of_work = {"name": "browse", "service": "shop", "path_prefix": "/shop"}
    file.write_text(json.dumps({**class_of_work, "answer_within_ms": within_ms}))
    completed = fleet.command("class", "apply", str(file), "--json", *options)
    return completed.returncode, completed.stdout + completed.stderr


def test_a_command_with_a_version_that_was_given_out_again_gets_a_conflict(
    start_fleet: StartFleet,
) -> None:
    """Guards against a change that overwrites another one, which its operator has not seen."""
    fleet = start_fleet(PLANS[:1])
    fleet.copy_platform()
    _, text = apply_browse(fleet, 601)
    version = json.loads(text)["version"]
    fleet.restore_platform()
    assert apply_browse(fleet, 602)[0] == 0
    code, text = apply_browse(fleet, 603, "--if-version", str(version))
    assert code == 1
    assert "was changed by someone else" in text
    assert "602" in fleet.operate("class", "show", "browse")


async def test_a_command_does_not_report_success_for_the_content_of_the_copy(
    start_fleet: StartFleet,
) -> None:
    """Guards against a read-back that takes the copy's older state for the change it made."""
    fleet = start_fleet(PLANS[:1])
    assert apply_browse(fleet, 601)[0] == 0
    fleet.copy_platform()
    assert apply_browse(fleet, 602)[0] == 0
    url = f"http://{fleet.platform}/counts"
    before = get_json(url)
    fleet.set_platform_faults(late_writes_ms=60_000)
    pending = asyncio.create_task(asyncio.to_thread(apply_browse, fleet, 601))
    await wait_until(lambda: get_json(url)["PUT objects"] > before.get("PUT objects", 0))
    await asyncio.sleep(0.2)
    await asyncio.to_thread(fleet.restore_platform)
    code, text = await pending
    assert code == 4, text
    assert "unknown" in text
