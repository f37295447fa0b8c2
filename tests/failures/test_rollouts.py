"""Roll-outs of a good and of a bad version, with real processes and stand-ins."""

import asyncio
import time
from collections.abc import Iterator
from contextlib import ExitStack

import attrs
import pytest

from standins.fleet import Fleet, VmPlan, plan_service
from standins.http_client import get_json
from tests.failures.test_platform import configure, put_object, send, wait_until

OLD_PLANS = plan_service("shop", {"dc-1": 3})
CALLERS = 12
DURATION_SECONDS = 12.0
CANARY_SHARE = 0.1
CANARY_SLACK = 50


@attrs.define
class Load:
    """Calls that go to all daemons of old servers in turn until the load is stopped."""

    fleet: Fleet
    statuses: list[int] = attrs.field(factory=list)
    is_stopped: bool = False

    async def run(self) -> None:
        await asyncio.gather(*(self._call(index) for index in range(CALLERS)))

    async def _call(self, index: int) -> None:
        while not self.is_stopped:
            name = OLD_PLANS[index % len(OLD_PLANS)].name
            address = self.fleet.vms_by_name[name].caller
            self.statuses.append((await send(address, "/read/1?ms=20")).status)
            await asyncio.sleep(0.05)


def new_plans(*options: str) -> list[VmPlan]:
    return [
        VmPlan(f"dc-1-new-{i + 1}", "dc-1", "shop", ("--version", "v2", *options)) for i in range(3)
    ]


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as opened:
        yield opened


async def start(stack: ExitStack, plans: list[VmPlan]) -> Fleet:
    fleet = Fleet(
        [*OLD_PLANS, *plans], is_on_platform=True, further_settings={"has_rollouts": True}
    )
    await asyncio.to_thread(stack.enter_context, fleet)
    duration = f"{DURATION_SECONDS:g}s"
    spec = {"Service": "shop", "TargetVersion": "v2", "Duration": duration}
    await asyncio.to_thread(put_object, fleet, "rollouts", "shop", spec)
    await asyncio.to_thread(configure, fleet)
    await asyncio.to_thread(fleet.wait_until_ready)
    return fleet


def status_of(fleet: Fleet) -> dict[str, str]:
    return dict(get_json(f"http://{fleet.platform}/objects/rollouts/shop")["Status"] or {})


def runs_on(fleet: Fleet, plans: list[VmPlan]) -> int:
    return sum(sum(fleet.runs(plan.name)["runs_by_id"].values()) for plan in plans)


async def test_a_bad_version_is_rolled_back_within_its_share(stack: ExitStack) -> None:
    """Guards against a version that fails and still gets a part of the traffic."""
    plans = new_plans("--failing-percent", "50")
    fleet = await start(stack, plans)
    load = Load(fleet)
    calls = asyncio.create_task(load.run())
    await wait_until(lambda: status_of(fleet).get("State") == "rolled_back", DURATION_SECONDS + 5)
    assert status_of(fleet) == {"State": "rolled_back", "TargetVersion": "v2"}
    await asyncio.sleep(1.0)
    before = await asyncio.to_thread(runs_on, fleet, plans)
    await asyncio.sleep(2.0)
    load.is_stopped = True
    await calls
    after = await asyncio.to_thread(runs_on, fleet, plans)
    assert after == before
    assert 0 < after <= CANARY_SHARE * len(load.statuses) + CANARY_SLACK


async def test_a_good_version_is_completed_and_carries_everything(stack: ExitStack) -> None:
    """Guards against a roll-out that ends late, or before no call needs the old servers."""
    plans = new_plans()
    fleet = await start(stack, plans)
    load = Load(fleet)
    calls = asyncio.create_task(load.run())
    started = time.monotonic()
    await wait_until(lambda: status_of(fleet).get("State") == "completed", DURATION_SECONDS + 5)
    assert time.monotonic() - started < DURATION_SECONDS
    for plan in OLD_PLANS:
        assert fleet.runs(plan.name)["in_flight"] == 0
        fleet.kill(plan.name, "server")
    at_completion = len(load.statuses)
    await asyncio.sleep(2.0)
    load.is_stopped = True
    await calls
    assert len(load.statuses) > at_completion
    assert set(load.statuses) == {200}
