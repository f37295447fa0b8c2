"""Servers send bodies without end; requests must end at the timeout of their route."""

import asyncio
import sys
from pathlib import Path

from review.rig.deployment import (
    Deployment,
    Reply,
    check_is_serving,
    has_trouble,
    make_config,
    route,
    run_case,
    send,
)

SERVICE = "quote-desk"
TIMEOUT_S = 1.5
LATE_S = 0.5
DEADLINE_MS = 3000
REQUESTS = 16
MIN_REQUESTS = 8


def play(case: Path) -> bool:
    """Return whether the rule was broken."""
    with Deployment(case, [SERVICE] * 3) as running:
        routes = [route("lookup", "/lookup/", "safe", SERVICE, Timeout="1500ms")]
        running.start(make_config(1, [SERVICE], routes))
        if has_trouble():
            running.switch.touch()
            running.record("from now on the servers send the bodies of /lookup/endless without end")
        replies = asyncio.run(send_all(running))
        for index, reply in enumerate(replies):
            running.record(
                f"request e{index}: status {reply.status}, {reply.taken >> 20} MB of body, "
                f"{reply.end} after {reply.ended:.2f} s"
            )
        for line in running.runs():
            running.record(f"server {line['server']}: {line['id']} {line['what']}")
        running.record_requests(replies)
        check_is_serving(replies)
        lasting = [it for it in replies if it.ended > TIMEOUT_S]
        late = [it for it in lasting if it.ended > TIMEOUT_S + LATE_S]
        running.record(
            f"{len(replies)} requests, unanswered at the timeout {len(lasting)}, "
            f"still without a final answer {LATE_S} s later {len(late)}"
        )
        return len(late) >= MIN_REQUESTS and len(late) > len(lasting) / 2


async def send_all(running: Deployment) -> list[Reply]:
    """Send the requests, a few at a time to each machine."""

    async def send_one(index: int) -> Reply:
        await asyncio.sleep(0.3 * index)
        vm = running.vms[index % len(running.vms)]
        return await send(vm.callers, f"e{index}", "/lookup/endless", deadline_ms=DEADLINE_MS)

    return list(await asyncio.gather(*(send_one(index) for index in range(REQUESTS))))


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
