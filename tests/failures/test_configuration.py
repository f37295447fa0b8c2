"""An accepted configuration is in force on every daemon within seconds and never reverts."""

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
    """Wait up to 20 s until daemons have a version; return the seconds waited."""
    started = time.monotonic()
    while time.monotonic() - started < 20:
        if all(fleet.status(name)["configuration_version"] >= version for name in names):
            break
        time.sleep(0.02)
    return time.monotonic() - started


def apply_class(
    fleet: Fleet, within_ms: int, *options: str, path: str = "/shop"
) -> tuple[int, str]:
    file = fleet.folder / f"apply-{within_ms}.json"
    class_of_work = {"name": "browse", "service": "shop", "path_prefix": path}
    file.write_text(json.dumps({**class_of_work, "answer_within_ms": within_ms}))
    completed = fleet.command("class", "apply", str(file), "--json", *options)
    return completed.returncode, completed.stdout + completed.stderr


def test_a_change_reaches_a_daemon_that_is_cut_off_from_the_store(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS, linked_stores=(FIRST,))
    fleet.store_links_by_name[FIRST].blackhole()
    code, text = apply_class(fleet, 777)
    assert code == 0
    version = json.loads(text)["version"]
    assert wait_for_version(fleet, version, list(fleet.vms_by_name)) < IN_FORCE_SECONDS


def test_one_of_two_concurrent_changes_is_refused(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:1])
    shown = fleet.operate("class", "show", "browse")
    version = shown.partition("version: ")[2].strip()
    with ThreadPoolExecutor() as pool:
        completed = list(
            pool.map(lambda ms: apply_class(fleet, ms, "--if-version", version), (601, 602))
        )
    assert sorted(code for code, _ in completed) == [0, 1]
    refusal = next(text for code, text in completed if code == 1)
    assert "was changed by someone else" in refusal
    assert "Traceback" not in refusal


def test_a_lost_answer_is_read_back_and_not_written_again(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:1])
    fleet.set_platform_faults(lose_answers=1)
    code, text = apply_class(fleet, 888)
    assert code == 0
    version = json.loads(text)["version"]
    shown = fleet.operate("class", "show", "browse")
    assert f"version: {version}" in shown, "the object must be written only once"
    assert wait_for_version(fleet, version, [FIRST]) < IN_FORCE_SECONDS


def test_an_unavailable_platform_has_its_own_exit_code(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:1])
    fleet.set_platform_faults(down=True)
    code, text = apply_class(fleet, 999)
    assert code in (3, 4)
    assert "Traceback" not in text


async def test_a_restart_against_stale_reads_does_not_revert(start_fleet: StartFleet) -> None:
    """A restarted daemon gets old objects from the store and the current ones from its peers."""
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
    assert fleet.runs(name)["runs_by_id"] == {}, "no request may run before the change is known"


async def test_a_paused_watcher_does_not_restore_an_old_configuration(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(PLANS)
    watchers = [name for name in fleet.vms_by_name if fleet.status(name)["is_watching"]]
    fleet.signal(watchers[0], "daemon", signal.SIGSTOP)
    others = [name for name in fleet.vms_by_name if name != watchers[0]]
    for within_ms in (501, 502, 503):
        _, text = await asyncio.to_thread(apply_class, fleet, within_ms)
        version = json.loads(text)["version"]
    assert await asyncio.to_thread(wait_for_version, fleet, version, others) < IN_FORCE_SECONDS
    fleet.signal(watchers[0], "daemon", signal.SIGCONT)
    waited_seconds = await asyncio.to_thread(
        wait_for_version, fleet, version, list(fleet.vms_by_name)
    )
    assert waited_seconds < IN_FORCE_SECONDS
    for name in fleet.vms_by_name:
        assert fleet.status(name)["configuration_version"] == version
