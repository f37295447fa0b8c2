"""The demo: a lens rental house on this machine, served through its daemons.

Three data centres, two services, nine VMs as separate processes.  Callers browse and book through
any daemon; in the middle a data centre is taken out and brought back.  Every answer is checked: it
must be the caller's own, and no booking may run twice.  The exit code is 1 if one was wrong,
double or missing.
"""

import asyncio
import json
import sys
import time
from collections import Counter
from random import Random
from typing import Final

import aiohttp
import attrs

from standins.fleet import Fleet, plan_service

SECONDS: Final = 12.0
OUT_AT: Final = 4.0
IN_AT: Final = 8.0
CALLS_PER_SECOND: Final = 150.0
BOOKING_SHARE: Final = 0.2
SETTLE_SECONDS: Final = 3.0
OUT: Final = "montevideo-2"
PHASES: Final = ("before", "data centre out", "back in")


@attrs.define
class Tally:
    """What callers saw in one phase."""

    right: int = 0
    wrong: int = 0
    missing: int = 0
    seconds: list[float] = attrs.field(factory=list)


async def call_once(
    session: aiohttp.ClientSession, address: str, number: int, is_booking: bool, tally: Tally
) -> None:
    """Send one request and check that the answer is its own."""
    name = f"request-{number}"
    method, path = ("POST", "/booking/charge") if is_booking else ("GET", "/storefront/lenses")
    headers = {"X-Id": name}
    if is_booking:
        headers["Idempotency-Key"] = name
    started = time.monotonic()
    try:
        async with session.request(
            method, f"http://{address}{path}", headers=headers, data=name if is_booking else None
        ) as answer:
            body = await answer.json(content_type=None)
    except (aiohttp.ClientError, json.JSONDecodeError):
        tally.missing += 1
        return
    tally.seconds.append(time.monotonic() - started)
    if answer.status == 200 and body.get("id") == name and body.get("path") == path:
        tally.right += 1
    elif answer.status == 200:
        tally.wrong += 1
    else:
        tally.missing += 1


async def send_calls(fleet: Fleet) -> tuple[list[Tally], int]:
    """Send calls at a steady rate, whatever the answers do."""
    rng = Random(1)
    tallies = [Tally() for _ in PHASES]
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    bookings = 0
    started = time.monotonic()
    steps = {OUT_AT: ("data-centre", "out", OUT), IN_AT: ("data-centre", "in", OUT)}
    async with (
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
        asyncio.TaskGroup() as group,
    ):
        for number in range(int(SECONDS * CALLS_PER_SECOND)):
            due = number / CALLS_PER_SECOND
            await asyncio.sleep(max(0.0, started + due - time.monotonic()))
            for at in [at for at in steps if at <= due]:
                command = steps.pop(at)
                print(f"  {due:4.1f} s  kingcuppond {' '.join(command)}", flush=True)
                group.create_task(asyncio.to_thread(fleet.operate, *command))
            phase = (due >= OUT_AT) + (due >= IN_AT)
            is_booking = rng.random() < BOOKING_SHARE
            bookings += is_booking
            address = rng.choice(addresses)
            group.create_task(call_once(session, address, number, is_booking, tallies[phase]))
    return tallies, bookings


def count_runs(fleet: Fleet) -> Counter[str]:
    """Count how often each request ran at servers of the booking service."""
    runs: Counter[str] = Counter()
    for name, vm in fleet.vms_by_name.items():
        if vm.plan.service == "booking":
            runs.update(fleet.runs(name)["runs_by_id"])
    return runs


def show(tallies: list[Tally], bookings: int, runs: Counter[str], late: int) -> bool:
    """Print the results; return whether all is as it must be."""
    counted = f"{'phase':16}{'calls':>7}{'right':>7}{'wrong':>7}{'missing':>9}"
    print(f"\n{counted}{'p50 ms':>8}{'p99 ms':>8}")
    for phase, tally in zip(PHASES, tallies, strict=True):
        ordered = sorted(tally.seconds) or [0.0]
        p50 = 1000 * ordered[len(ordered) // 2]
        p99 = 1000 * ordered[int(len(ordered) * 0.99)]
        total = tally.right + tally.wrong + tally.missing
        counts = f"{total:7}{tally.right:7}{tally.wrong:7}{tally.missing:9}"
        print(f"{phase:16}{counts}{p50:8.1f}{p99:8.1f}")
    doubles = sum(1 for count in runs.values() if count > 1)
    print(f"\nbookings sent: {bookings}, run: {len(runs)}, run twice: {doubles}")
    print(f"requests that reached {OUT} from 3 s after it was out until it was back: {late}")
    bad = sum(tally.wrong + tally.missing for tally in tallies)
    return not bad and not doubles and not late and len(runs) == bookings


async def watch_out(fleet: Fleet) -> int:
    """Count the requests that reach the data centre after it has been out for a while."""
    names = [name for name, vm in fleet.vms_by_name.items() if vm.plan.data_centre == OUT]

    def total() -> int:
        return sum(sum(fleet.runs(name)["runs_by_id"].values()) for name in names)

    await asyncio.sleep(OUT_AT + SETTLE_SECONDS)
    before = await asyncio.to_thread(total)
    await asyncio.sleep(IN_AT - OUT_AT - SETTLE_SECONDS - 0.1)
    return await asyncio.to_thread(total) - before


async def run(fleet: Fleet) -> bool:
    """Run the demo on a fleet that is up."""
    late = asyncio.create_task(watch_out(fleet))
    tallies, bookings = await send_calls(fleet)
    return show(tallies, bookings, count_runs(fleet), await late)


def main() -> None:
    """Start the fleet, run the demo, end the fleet."""
    data_centres = ("montevideo-1", "montevideo-2", "montevideo-3")
    plans = plan_service("storefront", dict.fromkeys(data_centres, 2))
    plans += plan_service("booking", dict.fromkeys(data_centres, 1))
    print(f"starting {len(plans)} VMs (a daemon and a server each) and the platform", flush=True)
    with Fleet(plans) as fleet:
        fleet.apply_class(
            name="browse", service="storefront", path_prefix="/storefront", answer_within_ms=500
        )
        fleet.apply_class(
            name="booking",
            service="booking",
            method="POST",
            path_prefix="/booking",
            answer_within_ms=3000,
            at_most_once=True,
        )
        fleet.wait_until_ready()
        print(f"sending {CALLS_PER_SECOND:.0f} calls a second for {SECONDS:.0f} s", flush=True)
        is_good = asyncio.run(run(fleet))
        print("\nkingcuppond report")
        print(fleet.operate("report"))
    print("all answers right, none double, none missing" if is_good else "NOT as promised")
    sys.exit(0 if is_good else 1)


if __name__ == "__main__":
    main()
