"""Quotas of organisations from end to end, with real processes."""

import asyncio
import itertools
import time
from collections.abc import Iterator
from typing import Any

import aiohttp
import attrs
import pytest

from standins.fleet import Fleet
from tests.failures.test_platform import HOST, PLANS, VM_NAMES, put_object

RATE, BURST = 10.0, 5.0
WINDOW_SECONDS = 5.0
MOST = (WINDOW_SECONDS * RATE + BURST) * 1.1 + 20
_IDS = itertools.count()


@attrs.frozen
class Reply:
    attempt: str
    status: int
    retry_after: str
    at: float


def configure(fleet: Fleet) -> None:
    columns = ["Name", "Host", "PathPrefix", "Kind", "Timeout", "TargetLatency", "Service"]
    rows = [["read", HOST, "/read/", "safe", "2000ms", "500ms", "shop"]]
    tenants = [["limited", ["k1"], RATE, BURST], ["calm", ["k2"], RATE, BURST]]
    tenants.append(["free", ["k3"], None, None])
    spec: dict[str, Any] = {
        "Version": 1,
        "Routes": {"Columns": columns, "Rows": rows},
        "Services": {"Columns": ["Name", "HealthPath"], "Rows": [["shop", "/health"]]},
        "Tenants": {"Columns": ["Name", "ApiKeys", "RatePerS", "Burst"], "Rows": tenants},
    }
    put_object(fleet, "config", "main", spec)


async def send_for(
    fleet: Fleet, session: aiohttp.ClientSession, key: str, rate: float, seconds: float
) -> list[Reply]:
    """Send requests to all daemons in turn."""
    addresses = itertools.cycle(vm.caller for vm in fleet.vms_by_name.values())

    async def send() -> Reply:
        attempt = f"{key}-{next(_IDS)}"
        headers = {"Host": HOST, "X-Kingcuppond-Attempt-Id": attempt, "Api-Key": key}
        headers["X-Kingcuppond-Deadline-Ms"] = "2000"
        at = time.monotonic()
        async with session.get(f"http://{next(addresses)}/read/1", headers=headers) as response:
            await response.read()
            return Reply(attempt, response.status, response.headers.get("Retry-After", ""), at)

    tasks = []
    started = time.monotonic()
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, started + number / rate - time.monotonic()))
        tasks.append(asyncio.create_task(send()))
    return await asyncio.gather(*tasks)


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with Fleet(PLANS, is_on_platform=True) as running:
        configure(running)
        running.wait_until_ready()
        yield running


async def test_one_organisation_over_its_quota_is_refused_and_the_others_are_not(
    fleet: Fleet,
) -> None:
    """Guards against an organisation that takes the capacity of all others."""
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=10)) as session:
        limited, calm, free = await asyncio.gather(
            send_for(fleet, session, "k1", 4.7 * RATE, 8.0),
            send_for(fleet, session, "k2", 0.5 * RATE, 8.0),
            send_for(fleet, session, "k3", 2 * RATE, 8.0),
        )
    assert {reply.status for reply in calm + free} == {200}
    refused = [reply for reply in limited if reply.status == 429]
    assert {reply.status for reply in limited} == {200, 429}
    assert all(0 < float(reply.retry_after) <= WINDOW_SECONDS for reply in refused)
    times = [reply.at for reply in limited if reply.status == 200]
    most = max(sum(at <= other < at + WINDOW_SECONDS for other in times) for at in times)
    assert most <= MOST
    assert len(times) >= 6 * RATE, "what the quota allows is served"
    runs = [await asyncio.to_thread(fleet.runs, name) for name in VM_NAMES]
    ran = {attempt for run in runs for attempt in run["runs_by_id"]}
    assert not ran & {reply.attempt for reply in refused}, "a refused request never runs"
