"""Clients send requests whose query is empty, as a form without fields does."""

import asyncio
from pathlib import Path

from review.rig2.fleet import Fleet, route
from review.rig2.script import main

ROUNDS = 5
PLANS = [("kochi-1", "kochi", "quote-desk"), ("tvm-1", "tvm", "quote-desk")]
ORDINARY = [("GET", "/lookup/x"), ("GET", "/lookup/x?a=1"), ("POST", "/offer/x?a=1")]
UNUSUAL = [("GET", "/lookup/x?"), ("POST", "/offer/x?")]


async def play(fleet: Fleet, has_trouble: bool) -> list[str]:
    """Return the requests that a server ran with another method, path or query."""
    requests = [*ORDINARY, *(UNUSUAL if has_trouble else [])]
    breaks = []
    for _ in range(ROUNDS):
        for machine in fleet.machines:
            for method, path in requests:
                body = b"offer" if method == "POST" else None
                sent = await fleet.request(machine, method, path, body)
                for run in fleet.runs_of(sent.attempt_id):
                    ran_method, ran_target, _ = run.line.split(" ")
                    if (ran_method, ran_target) != (method, path):
                        breaks.append(
                            f"UNASKED: {sent.attempt_id} was sent to {machine} as {method} {path} "
                            f"and ran at {run.server} as {ran_method} {ran_target}"
                        )
        await asyncio.sleep(0.2)
    return breaks


if __name__ == "__main__":
    routes = [route("lookup", "safe", "quote-desk"), route("offer", "unsafe", "quote-desk")]
    main(Fleet(PLANS, routes), play, Path(__file__).parent)
