"""A server that has run a request fails it with a 503 of its own."""

import json
import os
import re
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

from review.rig3.rig import Rig, exchange

HERE: Final = Path(__file__).parent
TROUBLE: Final = os.environ.get("TROUBLE", "1") != "0"
SERVERS: Final = 16
GREY_SERVERS: Final = 2
TROUBLE_SECONDS: Final = 6.5
FAILED_SHARE: Final = 0.45
ORDERS_PER_SECOND: Final = 100
SECONDS: Final = 9.0
PROMISES: Final = (408, 421, 429, 503)
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


def confirm(rig: Rig, number: int) -> list[tuple[str, int]]:
    """Confirm an offer as the platform's clients do: again only after a promise, at most twice."""
    attempts: list[tuple[str, int]] = []
    body = f"offer {number}".encode()
    for attempt in range(3):
        request_id = f"{number:08x}{attempt:08x}"
        machine = rig.machines[(number + attempt) % len(rig.machines)]
        head = (
            f"POST /confirm/{number} HTTP/1.1\r\nHost: offers.example\r\n"
            f"X-Kingcuppond-Attempt-Id: {request_id}\r\nX-Kingcuppond-Deadline-Ms: 4000\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        answer = exchange(machine.outbound, head.encode() + body)
        status = int(answer[9:12]) if answer[9:12].isdigit() else 0
        attempts.append((request_id, status))
        seal = re.search(rb"(?i)\r\nx-kingcuppond-server-seal: *(\S+)", answer)
        rig.note(
            f"offer {number}: {request_id} sent to {machine.name}, answered {status},"
            f" seal {seal[1].decode() if seal else 'none'}"
        )
        if status not in PROMISES:
            break
        time.sleep(0.05)
    return attempts


def main() -> int:
    """Run the case and return its exit code."""
    zones = ["kochi", "thrissur", "kozhikode"]
    with Rig(
        ["offer-ledger"] * SERVERS,
        [zones[number % 3] for number in range(SERVERS)],
        ROUTES,
        HERE / "record.txt",
    ) as rig:
        time.sleep(2.0)
        troubles = [rig.trouble_file(machine) for machine in rig.machines[:GREY_SERVERS]]
        began = time.monotonic()
        with ThreadPoolExecutor(64) as pool:
            sent = []
            for number in range(int(SECONDS * ORDERS_PER_SECOND)):
                time.sleep(max(0.0, began + number / ORDERS_PER_SECOND - time.monotonic()))
                seconds = time.monotonic() - began
                is_grey = TROUBLE and 1.0 < seconds < 1.0 + TROUBLE_SECONDS
                for trouble in troubles:
                    if is_grey and not trouble.exists():
                        text = {"share": FAILED_SHARE, "status": "503 Service Unavailable"}
                        trouble.write_text(json.dumps(text))
                    elif not is_grey:
                        trouble.unlink(missing_ok=True)
                sent.append(pool.submit(confirm, rig, number))
            orders = [order.result() for order in sent]
        runs = rig.runs()
        for run in runs:
            rig.note(f"run: {json.dumps(run)}")
        run_ids = {run["id"] for run in runs}
        broken = [
            request_id
            for attempts in orders
            for request_id, status in attempts
            if status in PROMISES and request_id in run_ids
        ]
        twice = len(runs) - len({run["body"] for run in runs})
        answered = sum(attempts[-1][1] == 200 for attempts in orders)
        rig.note(f"{len(orders)} offers, {answered} answered 200, {len(runs)} runs")
        rig.note(f"attempts that were answered with a promise and have run: {len(broken)}")
        rig.note(f"runs of an offer beyond its first: {twice}")
        print(f"promised not to run, but has run: {len(broken)}; repeated runs: {twice}")
        if answered < len(orders) // 2:
            return 2
        return 1 if broken else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)
