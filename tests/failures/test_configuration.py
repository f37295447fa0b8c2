"""Once accepted, a configuration is in force everywhere within seconds and never reverts."""

import asyncio
import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor

from standins.fleet import Fleet, plan_service
from tests.failures.callers import send
from tests.failures.conftest import StartFleet

PLANS = plan_service("shop", {"dc-1": 2, "dc-2": 2})
FIRST = PLANS[0].name
IN_FORCE_SECONDS = 5.0


def wait_for_version(fleet: Fleet, version: int, names: list[str]) -> float:
    """Wait until daemons have heard of a version; return how long it took."""
    started = time.monotonic()
    while time.monotonic() - started < 20:
        if all(fleet.status(name)["configuration_version"] >= version for name in names):
            break
        time.sleep(0.02)
    return time.monotonic() - started


def apply(fleet: Fleet, within_ms: int, *options: str, path: str = "/shop") -> tuple[int, str]:
    file = fleet.folder / f"apply-{within_ms}.json"
    item = {"name": "browse", "service": "shop", "path_prefix": path}
    file.write_text(json.dumps({**item, "answer_within_ms": within_ms}))
    done = fleet.command("class", "apply", str(file), "--json", *options)
    return done.returncode, done.stdout + done.stderr


def test_in_force_everywhere_within_seconds(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS, linked_stores=(FIRST,))
    fleet.store_links_by_name[FIRST].blackhole()
    code, text = apply(fleet, 777)
    assert code == 0
    version = json.loads(text)["version"]
    assert wait_for_version(fleet, version, list(fleet.vms_by_name)) < IN_FORCE_SECONDS


def test_of_two_operators_one_is_told(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:1])
    shown = fleet.operate("class", "show", "browse")
    version = shown.partition("version: ")[2].strip()
    with ThreadPoolExecutor() as pool:
        done = list(pool.map(lambda ms: apply(fleet, ms, "--if-version", version), (601, 602)))
    assert sorted(code for code, _ in done) == [0, 1]
    loser = next(text for code, text in done if code == 1)
    assert "was changed by someone else" in loser
    assert "Traceback" not in loser


def test_a_lost_answer_is_read_back_and_not_written_again(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:1])
    fleet.set_platform_faults(lose_answers=1)
    code, text = apply(fleet, 888)
    assert code == 0
    version = json.loads(text)["version"]
    shown = fleet.operate("class", "show", "browse")
    assert f"version: {version}" in shown, "one write and no more"
    assert wait_for_version(fleet, version, [FIRST]) < IN_FORCE_SECONDS


def test_platform_down_is_said_with_its_own_exit_code(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:1])
    fleet.set_platform_faults(down=True)
    code, text = apply(fleet, 999)
    assert code in (3, 4)
    assert "Traceback" not in text


async def test_a_restart_against_stale_reads_does_not_revert(start_fleet: StartFleet) -> None:
    """A daemon that starts anew hears the store as it was, and its peers as they are."""
    fleet = start_fleet(PLANS)
    fleet.set_platform_faults(stale_reads=True)
    changed = await asyncio.to_thread(fleet.operate, "data-centre", "out", "dc-2", "--json")
    version = json.loads(changed)["version"]
    await asyncio.to_thread(wait_for_version, fleet, version, list(fleet.vms_by_name))
    await asyncio.sleep(1)
    name = PLANS[2].name
    fleet.kill(name, "daemon")
    fleet.start_daemon(name)
    end = time.monotonic() + 3
    while time.monotonic() < end:
        await send(fleet.vms_by_name[name].caller, "/shop/a", "r")
        await asyncio.sleep(0.02)
    assert fleet.status(name)["data_centres_out"] == ["dc-2"]
    assert fleet.runs(name)["runs_by_id"] == {}, "not one request before it knew"


async def test_a_paused_watcher_does_not_bring_back_the_past(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS)
    watchers = [name for name in fleet.vms_by_name if fleet.status(name)["is_watching"]]
    fleet.signal(watchers[0], "daemon", signal.SIGSTOP)
    others = [name for name in fleet.vms_by_name if name != watchers[0]]
    for within_ms in (501, 502, 503):
        _, text = await asyncio.to_thread(apply, fleet, within_ms)
        version = json.loads(text)["version"]
    assert await asyncio.to_thread(wait_for_version, fleet, version, others) < IN_FORCE_SECONDS
    fleet.signal(watchers[0], "daemon", signal.SIGCONT)
    took = await asyncio.to_thread(wait_for_version, fleet, version, list(fleet.vms_by_name))
    assert took < IN_FORCE_SECONDS
    for name in fleet.vms_by_name:
        assert fleet.status(name)["configuration_version"] == version
