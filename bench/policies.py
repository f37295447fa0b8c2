"""Comparison of routing policies on fake servers whose speed changes.

``python -m bench.policies --load 0.7``.  The fleet is the storefront of Lentes del Plata: three
data centres and six servers with six slots each.  Calls arrive at a share of the capacity (open
loop).  Every second the seed chooses another server as the straggler, and all servers have noisy
neighbours.  Each policy runs on a new fleet with the same arrivals and stragglers.  Latency is
counted from the moment a call was due.
"""

import argparse
import asyncio
import time
from random import Random
from typing import Final

import aiohttp
import attrs
from hdrh.histogram import HdrHistogram

from kingcuppond.routing.choice import POLICY_FACTORIES_BY_NAME
from standins.fleet import Fleet, plan_service

SLOTS: Final = 6
SERVICE_MS: Final = 60.0
NOISE_MS: Final = 20.0
STRAGGLER_FACTOR: Final = 8.0
STRAGGLER_SECONDS: Final = 1.0
TARGET_MS: Final = 400
WARM_UP_SECONDS: Final = 4.0
DEADLINE_MS: Final = 1000
MAX_MICROSECONDS: Final = 60_000_000
DATA_CENTRES: Final = ("montevideo-1", "montevideo-2", "montevideo-3")


@attrs.define
class Outcome:
    """Results of the calls under one policy.

    :param histogram: latency of answered calls, in microseconds
    """

    histogram: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, MAX_MICROSECONDS, 3))
    within_target: int = 0
    not_run: int = 0
    unknown: int = 0


async def send_calls(
    fleet: Fleet, per_second: float, seconds: float, seed: int, has_stragglers: bool
) -> Outcome:
    """Send calls with random gaps (Poisson arrivals) and wait until all have ended.

    :param per_second: mean rate
    :param seconds: duration of the arrivals
    :return: the results of the calls
    """
    rng = Random(seed)
    outcome = Outcome()
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    started = time.monotonic()
    async with (
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
        asyncio.TaskGroup() as group,
    ):
        if has_stragglers:
            group.create_task(shift_stragglers(fleet, session, started + seconds, seed))
        due = 0.0
        while due < seconds:
            await asyncio.sleep(max(0.0, started + due - time.monotonic()))
            address = rng.choice(addresses)
            group.create_task(send_call(session, address, started + due, outcome))
            due += rng.expovariate(per_second)
    return outcome


async def send_call(
    session: aiohttp.ClientSession, address: str, due: float, outcome: Outcome
) -> None:
    """Send one call and record its result."""
    headers = {"Kingcuppond-Deadline-Ms": str(DEADLINE_MS)}
    async with session.get(f"http://{address}/storefront/a", headers=headers) as answer:
        await answer.read()
        reported_outcome = answer.headers.get("Kingcuppond-Outcome")
    seconds = time.monotonic() - due
    if reported_outcome == "answered" and answer.status == 200:
        outcome.histogram.record_value(int(seconds * 1_000_000))
        outcome.within_target += seconds * 1000 <= TARGET_MS
    elif reported_outcome == "not-run":
        outcome.not_run += 1
    else:
        outcome.unknown += 1


async def shift_stragglers(
    fleet: Fleet, session: aiohttp.ClientSession, end: float, seed: int
) -> None:
    """Choose another slow server every ``STRAGGLER_SECONDS``."""
    rng = Random(seed + 1)
    servers = [vm.server for vm in fleet.vms_by_name.values()]
    while time.monotonic() < end:
        slow = rng.choice(servers)
        for server in servers:
            factor = STRAGGLER_FACTOR if server == slow else 1.0
            faults = {"slow_factor": factor, "noise_ms": NOISE_MS}
            async with session.put(f"http://{server}/_/faults", json=faults) as answer:
                await answer.read()
        await asyncio.sleep(STRAGGLER_SECONDS)


def measure_policy(policy: str, hedging: bool, options: argparse.Namespace) -> str:
    """Measure one policy on a new fleet.

    :return: its row of the table
    """
    flags = ("--policy", policy, "--hedging" if hedging else "--no-hedging")
    plans = plan_service(
        "storefront", dict.fromkeys(DATA_CENTRES, 2), "--service-ms", str(SERVICE_MS)
    )
    with Fleet(plans, daemon_options=flags, log_level="error") as fleet:
        fleet.apply_class(
            name="browse",
            service="storefront",
            path_prefix="/storefront",
            answer_within_ms=TARGET_MS,
        )
        fleet.wait_until_ready()
        fleet.warm_up("/storefront/warm?ms=20")
        capacity = len(plans) * SLOTS * 1000 / (SERVICE_MS + NOISE_MS / 2)
        per_second = options.load * capacity
        asyncio.run(send_calls(fleet, per_second, WARM_UP_SECONDS, options.seed, False))
        before = count_attempts(fleet)
        outcome = asyncio.run(
            send_calls(
                fleet,
                per_second,
                options.seconds,
                options.seed,
                not options.no_stragglers,
            )
        )
        attempts_made = count_attempts(fleet) - before
        measuring_bytes = sum(fleet.status(name)["measuring_bytes"] for name in fleet.vms_by_name)
    answered = outcome.histogram.get_total_count()
    calls = answered + outcome.not_run + outcome.unknown
    times = [outcome.histogram.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)]
    name = policy + ("" if hedging else ", no hedges")
    return (
        f"{name:28}{calls:7}"
        + "".join(f"{value:9.1f}" for value in times)
        + f"{100 * outcome.within_target / calls:10.1f}{outcome.not_run:9}{outcome.unknown:9}"
        + f"{attempts_made / calls:10.2f}{measuring_bytes / len(plans) / options.seconds:10.0f}"
    )


def count_attempts(fleet: Fleet) -> int:
    """Return the number of attempts that all daemons have made."""
    return sum(fleet.status(name)["attempts"] for name in fleet.vms_by_name)


def main() -> None:
    """Measure all policies and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--no-stragglers", action="store_true")
    parser.add_argument("--policies", nargs="+", default=list(POLICY_FACTORIES_BY_NAME))
    options = parser.parse_args()
    print(
        f"{'policy':28}{'calls':>7}{'p50 ms':>9}{'p99':>9}{'p99.9':>9}{'% in time':>10}"
        f"{'not run':>9}{'unknown':>9}{'attempts':>10}{'B/s':>10}"
    )
    print(measure_policy("least-expected", True, options), flush=True)
    for policy in options.policies:
        print(measure_policy(policy, False, options), flush=True)


if __name__ == "__main__":
    main()
