"""Demo: a lens rental company whose services are called through kingcuppond on this machine.

Three data centres, two services and nine VMs, each VM as separate processes.  Callers browse and
book through any daemon.  During the run one data centre is taken out of service and brought back.
Every answer is checked: it must belong to the caller's own request, and no booking may run twice.
The exit code is 1 if an answer was wrong or missing, if a booking ran twice or never, or if the
data centre received requests later than 3 s after it was taken out.
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

RUN_SECONDS: Final = 12.0
OUT_AT_SECONDS: Final = 4.0
BACK_IN_AT_SECONDS: Final = 8.0
CALLS_PER_SECOND: Final = 150.0
BOOKING_SHARE: Final = 0.2
DRAIN_SECONDS: Final = 3.0
OUT_DATA_CENTRE: Final = "montevideo-2"
PHASES: Final = ("before", "data centre out", "back in")


@attrs.define
class Tally:
    """Results of the requests that callers sent in one phase."""

    right: int = 0
    wrong: int = 0
    missing: int = 0
    seconds: list[float] = attrs.field(factory=list)


async def send_request(
    session: aiohttp.ClientSession, address: str, number: int, is_booking: bool, tally: Tally
) -> None:
    """Send one request and check that the answer belongs to it."""
    request_id = f"request-{number}"
    method, path = ("POST", "/booking/charge") if is_booking else ("GET", "/storefront/lenses")
    headers = {"X-Id": request_id}
    if is_booking:
        headers["Idempotency-Key"] = request_id
    started = time.monotonic()
    try:
        async with session.request(
            method,
            f"http://{address}{path}",
            headers=headers,
            data=request_id if is_booking else None,
        ) as answer:
            body = await answer.json(content_type=None)
    except (aiohttp.ClientError, json.JSONDecodeError):
        tally.missing += 1
        return
    tally.seconds.append(time.monotonic() - started)
    if answer.status == 200 and body.get("id") == request_id and body.get("path") == path:
        tally.right += 1
    elif answer.status == 200:
        tally.wrong += 1
    else:
        tally.missing += 1


async def send_calls(fleet: Fleet) -> tuple[list[Tally], int]:
    """Send calls at a fixed rate, without waiting for answers (open loop).

    :return: the results of each phase, and how many bookings were sent
    """
    rng = Random(1)
    tallies = [Tally() for _ in PHASES]
    addresses = [vm.caller for vm in fleet.vms_by_name.values()]
    bookings = 0
    started = time.monotonic()
    commands_by_due_time = {
        OUT_AT_SECONDS: ("data-centre", "out", OUT_DATA_CENTRE),
        BACK_IN_AT_SECONDS: ("data-centre", "in", OUT_DATA_CENTRE),
    }
    async with (
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
        asyncio.TaskGroup() as group,
    ):
        for number in range(int(RUN_SECONDS * CALLS_PER_SECOND)):
            due = number / CALLS_PER_SECOND
            await asyncio.sleep(max(0.0, started + due - time.monotonic()))
            for due_time in [due_time for due_time in commands_by_due_time if due_time <= due]:
                command = commands_by_due_time.pop(due_time)
                print(f"  {due:4.1f} s  kingcuppond {' '.join(command)}", flush=True)
                group.create_task(asyncio.to_thread(fleet.operate, *command))
            phase = (due >= OUT_AT_SECONDS) + (due >= BACK_IN_AT_SECONDS)
            is_booking = rng.random() < BOOKING_SHARE
            bookings += is_booking
            address = rng.choice(addresses)
            group.create_task(send_request(session, address, number, is_booking, tallies[phase]))
    return tallies, bookings


def count_runs(fleet: Fleet) -> Counter[str]:
    """Count how often each request ran on the servers of the booking service."""
    runs: Counter[str] = Counter()
    for name, vm in fleet.vms_by_name.items():
        if vm.plan.service == "booking":
            runs.update(fleet.runs(name)["runs_by_id"])
    return runs


def print_results(
    tallies: list[Tally], bookings: int, runs: Counter[str], requests_while_out: int
) -> bool:
    """Print the results.

    :param bookings: bookings that were sent
    :param runs: how often each booking ran
    :param requests_while_out: requests that reached the data centre while it was out of service,
        after the first 3 s
    :return: whether every answer was right, every booking ran exactly once and
        ``requests_while_out`` is 0
    """
    count_headings = f"{'phase':16}{'calls':>7}{'right':>7}{'wrong':>7}{'missing':>9}"
    print(f"\n{count_headings}{'p50 ms':>8}{'p99 ms':>8}")
    for phase, tally in zip(PHASES, tallies, strict=True):
        ordered = sorted(tally.seconds) or [0.0]
        p50 = 1000 * ordered[len(ordered) // 2]
        p99 = 1000 * ordered[int(len(ordered) * 0.99)]
        total = tally.right + tally.wrong + tally.missing
        counts = f"{total:7}{tally.right:7}{tally.wrong:7}{tally.missing:9}"
        print(f"{phase:16}{counts}{p50:8.1f}{p99:8.1f}")
    duplicates = sum(1 for count in runs.values() if count > 1)
    print(f"\nbookings sent: {bookings}, run: {len(runs)}, run twice: {duplicates}")
    print(
        f"requests that reached {OUT_DATA_CENTRE} from 3 s after it was out until it was back: "
        f"{requests_while_out}"
    )
    failures = sum(tally.wrong + tally.missing for tally in tallies)
    return not failures and not duplicates and not requests_while_out and len(runs) == bookings


async def count_requests_while_out(fleet: Fleet) -> int:
    """Count requests that reach the data centre later than ``DRAIN_SECONDS`` after its removal."""
    names = [
        name for name, vm in fleet.vms_by_name.items() if vm.plan.data_centre == OUT_DATA_CENTRE
    ]

    def total() -> int:
        return sum(sum(fleet.runs(name)["runs_by_id"].values()) for name in names)

    await asyncio.sleep(OUT_AT_SECONDS + DRAIN_SECONDS)
    before = await asyncio.to_thread(total)
    await asyncio.sleep(BACK_IN_AT_SECONDS - OUT_AT_SECONDS - DRAIN_SECONDS - 0.1)
    return await asyncio.to_thread(total) - before


async def run(fleet: Fleet) -> bool:
    """Run the demo on a running fleet.

    :return: whether the results are correct
    """
    requests_while_out = asyncio.create_task(count_requests_while_out(fleet))
    tallies, bookings = await send_calls(fleet)
    return print_results(tallies, bookings, count_runs(fleet), await requests_while_out)


def main() -> None:
    """Start a fleet, run the demo on it and stop it."""
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
        print(f"sending {CALLS_PER_SECOND:.0f} calls a second for {RUN_SECONDS:.0f} s", flush=True)
        is_good = asyncio.run(run(fleet))
        print("\nkingcuppond report")
        print(fleet.operate("report"))
    print(
        "all answers right, none double, none missing"
        if is_good
        else "failed: the figures above show what went wrong"
    )
    sys.exit(0 if is_good else 1)


if __name__ == "__main__":
    main()
