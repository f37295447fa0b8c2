"""Latency that daemons add to a call, compared with calling the server directly.

``python -m bench.latency``.  Calls are sent at a fixed rate (open loop).  Each takes one of three
paths at random, so that all are measured under the same conditions: directly to the server, through
the daemon beside it (no hop), or through another daemon (one hop).  Latency is counted from the
moment a call was due, so that delays of the sender are included (no coordinated omission).
"""

import argparse
import asyncio
import time
from random import Random
from typing import Final

import aiohttp
from hdrh.histogram import HdrHistogram

from standins.fleet import Fleet, VmPlan, plan_service

PATHS: Final = ("direct", "local", "one hop")
MAX_MICROSECONDS: Final = 60_000_000
WARM_UP_CALLS: Final = 300


async def measure(
    urls: dict[str, str], per_second: float, seconds: float, seed: int
) -> dict[str, HdrHistogram]:
    """Send the calls.

    :param urls: URL of each path, by the name of the path
    :param seconds: duration of the measurement
    :return: a latency histogram in microseconds for each path
    """
    rng = Random(seed)
    histograms = {name: HdrHistogram(1, MAX_MICROSECONDS, 3) for name in urls}
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for url in list(urls.values()) * WARM_UP_CALLS:
            async with session.get(url) as answer:
                await answer.read()
        started = time.perf_counter()

        async def call(name: str, due: float) -> None:
            async with session.get(urls[name]) as answer:
                await answer.read()
                if answer.status != 200:
                    raise RuntimeError(
                        f"call over path '{name}' failed with status {answer.status}"
                    )
            took = time.perf_counter() - started - due
            histograms[name].record_value(int(took * 1_000_000))

        async with asyncio.TaskGroup() as group:
            for i in range(int(per_second * seconds)):
                due = i / per_second
                await asyncio.sleep(max(0.0, started + due - time.perf_counter()))
                group.create_task(call(rng.choice(PATHS), due))
    return histograms


def plan_fleet() -> list[VmPlan]:
    """Return plans for the VM whose server is called and for another one to call it through."""
    return [
        *plan_service("shop", {"dc-1": 1}, "--service-ms", "0"),
        *plan_service("other", {"dc-2": 1}),
    ]


def prepare(fleet: Fleet) -> dict[str, str]:
    """Configure a fleet of ``plan_fleet`` and wait until it is ready.

    :return: URL of each path, by the name of the path
    """
    fleet.apply_class(name="shop", service="shop", path_prefix="/shop", answer_within_ms=5000)
    fleet.wait_until_ready()
    shop, other = fleet.vms_by_name.values()
    addresses = (shop.server, shop.caller, other.caller)
    return {
        name: f"http://{address}/shop/a" for name, address in zip(PATHS, addresses, strict=True)
    }


def main() -> None:
    """Measure all paths and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--per-second", type=float, default=150)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with Fleet(plan_fleet(), log_level="warning") as fleet:
        urls = prepare(fleet)
        histograms = asyncio.run(measure(urls, options.per_second, options.seconds, options.seed))
    print(f"{'path':10}{'calls':>8}{'p50 ms':>9}{'p99 ms':>9}{'added p50':>11}{'added p99':>11}")
    direct = histograms["direct"]
    for name, histogram in histograms.items():
        values = [histogram.get_value_at_percentile(p) / 1000 for p in (50, 99)]
        baseline = [direct.get_value_at_percentile(p) / 1000 for p in (50, 99)]
        added = [value - other for value, other in zip(values, baseline, strict=True)]
        print(
            f"{name:10}{histogram.get_total_count():8}"
            f"{values[0]:9.2f}{values[1]:9.2f}{added[0]:11.2f}{added[1]:11.2f}"
        )


if __name__ == "__main__":
    main()
