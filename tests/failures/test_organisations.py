"""Keys of organisations from end to end, with real processes."""

import asyncio
from collections.abc import Iterator
from typing import Any

import aiohttp
import pytest

from standins.fleet import Fleet
from tests.failures.test_platform import HOST, PLANS, VM_NAMES, put_object, wait_until

ATTEMPT = "X-Kingcuppond-Attempt-Id"


def configure(fleet: Fleet, version: int, keys_by_name: dict[str, list[str]]) -> None:
    columns = ["Name", "Host", "PathPrefix", "Kind", "Timeout", "TargetLatency", "Service"]
    rows = [["read", HOST, "/read/", "safe", "2000ms", "500ms", "shop"]]
    tenants = [[name, keys] for name, keys in keys_by_name.items()]
    spec: dict[str, Any] = {
        "Version": version,
        "Routes": {"Columns": columns, "Rows": rows},
        "Services": {"Columns": ["Name", "HealthPath"], "Rows": [["shop", "/health"]]},
        "Tenants": {"Columns": ["Name", "ApiKeys"], "Rows": tenants},
    }
    put_object(fleet, "config", "main", spec)


async def send(address: str, attempt: str, key: str) -> int:
    headers = {"Host": HOST, ATTEMPT: attempt, "X-Kingcuppond-Deadline-Ms": "2000"}
    headers |= {"Api-Key": key, "X-Kingcuppond-Tenant": "forged"}
    async with (
        aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=10)) as session,
        session.get(f"http://{address}/read/1", headers=headers) as response,
    ):
        return response.status


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with Fleet(PLANS, is_on_platform=True, linked_stores=(VM_NAMES[0],)) as running:
        configure(running, 1, {"first": ["k1"], "second": ["k2"]})
        running.wait_until_ready()
        yield running


async def test_servers_learn_the_organisation_and_never_the_key(fleet: Fleet) -> None:
    """Guards against a key that is passed on, also through another daemon."""
    for index in range(24):
        address = fleet.vms_by_name[VM_NAMES[index % len(VM_NAMES)]].caller
        assert await send(address, f"a{index}", "k2") == 200
    runs = [await asyncio.to_thread(fleet.runs, name) for name in VM_NAMES]
    organisations = {name for run in runs for name in run["organisations_by_id"].values()}
    assert organisations == {"second"}
    assert all(run["organisations_by_id"] for run in runs), "some were relayed"
    assert not any(run["keys"] for run in runs)


async def test_a_removed_key_stops_also_where_the_store_is_out_of_reach(fleet: Fleet) -> None:
    """Guards against a withdrawn key that goes on working at a daemon without the store."""
    fleet.store_links_by_name[VM_NAMES[0]].cut()
    configure(fleet, 5, {"first": ["k3"], "second": ["k2"]})
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]

    def statuses(key: str) -> set[int]:
        async def ask() -> set[int]:
            return {await send(it, f"{key}-{it}", key) for it in addresses}

        return asyncio.run(ask())

    await wait_until(lambda: statuses("k1") == {401}, 10.0)
    assert await asyncio.to_thread(statuses, "k3") == {200}
    assert await asyncio.to_thread(statuses, "k2") == {200}
