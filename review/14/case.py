"""A server that started again while its clock jumped back leaves, and still gets work."""

import json
import os
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

from review.rig3.rig import Machine, Rig, exchange

HERE: Final = Path(__file__).parent
TROUBLE: Final = os.environ.get("TROUBLE", "1") != "0"
CLOCK_STEP_MS: Final = 2400
DOWN_SECONDS: Final = 1.0
DRAIN_SECONDS: Final = 2.0
SERVES_ON_SECONDS: Final = 7.0
PER_SECOND: Final = 30
ROUTES: Final = [
    {
        "Name": "confirm",
        "Host": "offers.example",
        "PathPrefix": "/confirm/",
        "Kind": "unsafe",
        "Timeout": "2000ms",
        "TargetLatency": "600ms",
        "Priority": 1,
        "Service": "offer-ledger",
        "MaxAttempts": 2,
    }
]


def send(rig: Rig, machine: Machine, number: int) -> None:
    """Send one request."""
    head = (
        f"POST /confirm/{number} HTTP/1.1\r\nHost: offers.example\r\n"
        f"X-Kingcuppond-Attempt-Id: {number:016x}\r\nX-Kingcuppond-Deadline-Ms: 4000\r\n"
        "Content-Length: 2\r\nConnection: close\r\n\r\nab"
    )
    answer = exchange(machine.outbound, head.encode())
    rig.note(f"{number:016x} at {machine.name}: {answer[9:12]!r}")


def send_for(rig: Rig, seconds: float, first: int) -> int:
    """Send requests to all machines in turn; return the number after the last one."""
    began = time.monotonic()
    count = int(seconds * PER_SECOND)
    with ThreadPoolExecutor(32) as pool:
        for index in range(count):
            time.sleep(max(0.0, began + index / PER_SECOND - time.monotonic()))
            pool.submit(send, rig, rig.machines[index % len(rig.machines)], first + index)
    return first + count


def main() -> int:
    """Run the case and return its exit code."""
    with Rig(
        ["offer-ledger"] * 3,
        ["kochi", "thrissur", "kochi"],
        ROUTES,
        HERE / "record.txt",
        without_server=frozenset({0}),
    ) as rig:
        time.sleep(2.0)
        machine = rig.machines[0]
        # In both runs the server starts while its clock is ahead; it jumps back in one of them.
        first_born = int(time.time() * 1000) + CLOCK_STEP_MS
        rig.start_server(machine, "--born-ms", str(first_born))
        time.sleep(1.0)
        assert machine.server is not None
        machine.server.kill()
        machine.server.wait()
        time.sleep(DOWN_SECONDS)
        second_born = int(time.time() * 1000) + (0 if TROUBLE else CLOCK_STEP_MS)
        rig.start_server(machine, "--born-ms", str(second_born))
        rig.note(f"the server states born {first_born}, then {second_born}")
        after = send_for(rig, 4.0, 0)
        rig.leave_file(machine).touch()
        send_for(rig, SERVES_ON_SECONDS, after)
        lines = rig.runs()
        for line in lines:
            rig.note(json.dumps(line))
        name = f"i-{machine.name}"
        acknowledged = [it["at"] for it in lines if "acknowledged" in it and it["server"] == name]
        runs = [it["at"] for it in lines if "id" in it and it["server"] == name]
        if not acknowledged or not runs:
            return 2
        ack = min(acknowledged)
        late = [at for at in runs if at > ack + DRAIN_SECONDS]
        before = sum(at < ack for at in runs)
        rig.note(f"{before} requests before the acknowledgement, {len(late)} later than Drain")
        print(
            f"{before} requests before the acknowledgement, {len(late)} later than Drain after it"
        )
        return 1 if late else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)
