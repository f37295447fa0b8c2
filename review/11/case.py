"""A request that crashes servers comes again; the same path and body of another caller does not."""

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
PATH: Final = "/lookup/7"
DOWN_SECONDS: Final = 3.0
STABLE_SECONDS: Final = 3.0
MAX_RETRIES: Final = 3
SECONDS: Final = 45.0
HARMLESS_PER_SECOND: Final = 10
ROUTES: Final = [
    {
        "Name": "lookup",
        "Host": "quotes.example",
        "PathPrefix": "/lookup/",
        "Kind": "safe",
        "Timeout": "1500ms",
        "TargetLatency": "500ms",
        "Priority": 2,
        "Service": "quote-desk",
        "MaxAttempts": 2,
    }
]


def send(rig: Rig, machine: Machine, request_id: str) -> None:
    """Send the request from one machine."""
    head = (
        f"GET {PATH} HTTP/1.1\r\nHost: quotes.example\r\n"
        f"X-Kingcuppond-Attempt-Id: {request_id}\r\nX-Kingcuppond-Deadline-Ms: 3000\r\n"
        "Connection: close\r\n\r\n"
    )
    answer = exchange(machine.outbound, head.encode())
    rig.note(f"{request_id} at {machine.name}: {answer[9:12]!r}")


def restart_crashed(rig: Rig, down_since: dict[str, float]) -> None:
    """Start crashed servers again some seconds later."""
    for machine in rig.machines:
        if machine.server is None or machine.server.poll() is None:
            continue
        since = down_since.setdefault(machine.name, time.monotonic())
        if time.monotonic() - since >= DOWN_SECONDS:
            del down_since[machine.name]
            rig.start_server(machine)


def main() -> int:
    """Run the case and return its exit code."""
    services = ["quote-desk"] * 4 + ["yard-gallery"] * 2
    zones = ["kochi", "thrissur", "kochi", "thrissur", "kochi", "thrissur"]
    with Rig(services, zones, ROUTES, HERE / "record.txt") as rig:
        time.sleep(2.0)
        if TROUBLE:
            rig.harm_file.write_text(json.dumps([PATH, "yard-gallery"]))
        desks, yards = rig.machines[:4], rig.machines[4:]
        down_since: dict[str, float] = {}
        began = time.monotonic()
        with ThreadPoolExecutor(64) as pool:
            for index in range(int(SECONDS * HARMLESS_PER_SECOND)):
                time.sleep(max(0.0, began + index / HARMLESS_PER_SECOND - time.monotonic()))
                restart_crashed(rig, down_since)
                pool.submit(send, rig, desks[index % 4], f"d{index:015x}")
                if index % HARMLESS_PER_SECOND == 0:
                    number = index // HARMLESS_PER_SECOND
                    pool.submit(send, rig, yards[number % 2], f"a{number:015x}")
        lines = sorted(rig.runs(), key=lambda line: float(line["at"]))
        for line in lines:
            rig.note(json.dumps(line))
        crashes = [line["at"] for line in lines if "crashed" in line]
        runs = [line for line in lines if "server" in line]
        harmful = [line for line in runs if line["caller"] == "yard-gallery"]
        answered = len(runs) - len(harmful)
        late: list[str] = []
        if len(crashes) >= 3:
            end = crashes[2] + STABLE_SECONDS
            late = sorted({line["id"] for line in harmful if line["at"] > end})
        rig.note(f"{len(crashes)} crashes, {answered} runs for the other caller")
        rig.note(f"retries that reached a server later than {STABLE_SECONDS} s after the third:")
        rig.note(" ".join(late) or "none")
        print(f"{len(crashes)} crashes; {len(late)} late retries reached servers")
        if answered < HARMLESS_PER_SECOND * SECONDS / 4:
            return 2
        return 1 if len(late) > MAX_RETRIES else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)
