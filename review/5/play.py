"""The operator adds a route; requests on it are sent after the deadline of the configuration."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

from review.rig.deployment import (
    Deployment,
    Vm,
    check_is_serving,
    has_trouble,
    make_config,
    route,
    run_case,
    send,
)

SERVICE = "quote-desk"
MACHINES = 3
CONFIG_DEADLINE_S = 2.0
REQUESTS = 12
OLD = route("price-lookup", "/lookup/", "safe", SERVICE)
ENCODED = route("returns", "/devoluci%C3%B3n/", "safe", SERVICE)
NAMED = route("Price-Archive", "/archive/", "safe", SERVICE)
LONG = route("photo-import", "/import/", "upload", SERVICE, Timeout="900s")


def play(case: Path) -> bool:
    """Return whether the rule was broken."""
    with Deployment(case, [SERVICE] * MACHINES) as running:
        running.start(make_config(1, [SERVICE], [OLD]))
        return asyncio.run(change(running))


async def change(running: Deployment) -> bool:
    """Write the configurations, and send requests on the routes that they allow."""
    refused = 0
    await ask(running, running.vms, "/lookup/", "GET", "version 1, its route")
    if not has_trouble():
        return False
    for version, added, method in ((2, ENCODED, "GET"), (3, NAMED, "GET"), (4, LONG, "POST")):
        running.put("config", "main", make_config(version, [SERVICE], [OLD, added]))
        await asyncio.sleep(2 * CONFIG_DEADLINE_S)
        text = f"version {version}, the new route {added['Name']}"
        refused += await ask(running, running.vms, added["PathPrefix"], method, text)
    await kill_all(running)
    text = "after all daemons were killed, the route of all versions"
    await ask(running, running.vms, "/lookup/", "GET", text)
    return refused > 0


async def ask(running: Deployment, vms: list[Vm], prefix: str, method: str, what: str) -> int:
    """Send some requests on a route; return how many got 404."""
    replies = []
    for index in range(REQUESTS):
        attempt_id, target = f"{prefix.strip('/')}-{time.time()}", f"{prefix}{index}/20"
        address = vms[index % len(vms)].callers
        body = b"x" * 100 if method == "POST" else b""
        reply = await send(address, attempt_id, target, method=method, body=body)
        replies.append(reply)
    running.record_requests(replies)
    if what.startswith("version 1"):
        check_is_serving(replies)
    statuses = Counter(it.status for it in replies)
    running.record(f"{what}: answers by status {dict(statuses)}")
    return statuses[404]


async def kill_all(running: Deployment) -> None:
    """Kill all daemons and start them again."""
    for vm in running.vms:
        assert vm.daemon is not None
        vm.daemon.kill()
    await asyncio.sleep(1.0)
    for vm in running.vms:
        running.start_daemon(vm)
    await asyncio.sleep(8.0)
    ready = [running.is_ready(vm) for vm in running.vms]
    running.record(f"all daemons were killed and started again, ready: {ready}")


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
