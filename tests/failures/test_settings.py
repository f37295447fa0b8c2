"""Settings change while a daemon runs: no call is cut off, and a bad file changes nothing."""

import asyncio
import json
import signal
import time
from pathlib import Path

import pytest

from standins.fleet import Fleet, plan_service
from tests.failures.callers import failed_or_mismatched, send_steadily
from tests.failures.conftest import StartFleet

PLANS = plan_service("shop", {"dc-1": 2})
FIRST = PLANS[0].name
RELOAD_SECONDS = 5.0


def read_settings(path: Path) -> dict[str, object]:
    _, _, rest = path.read_text().partition("\n")
    values: dict[str, object] = json.loads(rest)
    return values


def write_settings(path: Path, values: dict[str, object]) -> None:
    path.write_text("// changed while the daemon runs\n" + json.dumps(values))


async def wait_for_event(fleet: Fleet, event: str) -> str:
    """Wait for an event and return its first log line."""
    end = time.monotonic() + RELOAD_SECONDS
    while time.monotonic() < end:
        for line in fleet.log(FIRST, "daemon").splitlines():
            if f'"event":"{event}"' in line:
                return line
        await asyncio.sleep(0.05)
    raise TimeoutError(event)


@pytest.mark.parametrize("is_signalled", [True, False], ids=["signal", "changed file"])
async def test_settings_are_taken_up_without_cutting_a_call(
    start_fleet: StartFleet, is_signalled: bool
) -> None:
    fleet = start_fleet(PLANS, is_warm=True)
    vm = fleet.vms_by_name[FIRST]
    load = asyncio.create_task(send_steadily([vm.caller], "/shop/a?ms=300", 20, 3.0))
    await asyncio.sleep(0.5)
    write_settings(vm.settings, read_settings(vm.settings) | {"server_silent_ms": 4321})
    if is_signalled:
        fleet.signal(FIRST, "daemon", signal.SIGHUP)
    line = await wait_for_event(fleet, "E105")
    assert "server_silent_ms" in line
    assert failed_or_mismatched(await load) == {}


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"server_silent_ms": -1}, "server_silent_ms"),
        ({"no_such_key": 1}, "no_such_key"),
        ({"metrics_address": "nowhere"}, "metrics_address"),
    ],
    ids=["value", "key", "address"],
)
async def test_bad_settings_are_refused_and_the_old_ones_stay(
    start_fleet: StartFleet, change: dict[str, object], named: str
) -> None:
    fleet = start_fleet(PLANS, is_warm=True)
    vm = fleet.vms_by_name[FIRST]
    write_settings(vm.settings, read_settings(vm.settings) | change)
    fleet.signal(FIRST, "daemon", signal.SIGHUP)
    assert named in await wait_for_event(fleet, "E106")
    replies = await send_steadily([vm.caller], "/shop/a?ms=5", 50, 1.0)
    assert failed_or_mismatched(replies) == {}


async def test_a_change_that_needs_a_restart_is_logged(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS[:1], is_warm=True)
    vm = fleet.vms_by_name[FIRST]
    write_settings(vm.settings, read_settings(vm.settings) | {"data_centre": "dc-9"})
    fleet.signal(FIRST, "daemon", signal.SIGHUP)
    assert "data_centre (at the next start)" in await wait_for_event(fleet, "E105")
    assert fleet.status(FIRST)["data_centre"] == "dc-1"
