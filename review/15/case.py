"""A request whose query is empty reaches its server without the question mark."""

import json
import os
import sys
import time
from pathlib import Path
from typing import Final

from review.rig3.rig import Rig, exchange

HERE: Final = Path(__file__).parent
TROUBLE: Final = os.environ.get("TROUBLE", "1") != "0"
ROUTES: Final = [
    {
        "Name": name,
        "Host": "quotes.example",
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "Timeout": "2000ms",
        "TargetLatency": "600ms",
        "Priority": 1,
        "Service": "quote-desk",
        "MaxAttempts": 2,
    }
    for name, kind in (("lookup", "safe"), ("confirm", "unsafe"))
]


def main() -> int:
    """Run the case and return its exit code."""
    sent: dict[str, str] = {}
    with Rig(
        ["quote-desk", "quote-desk", "other"],
        ["kochi", "thrissur", "kochi"],
        ROUTES,
        HERE / "record.txt",
    ) as rig:
        time.sleep(2.0)
        for number in range(30):
            method, path = (("GET", "/lookup/"), ("POST", "/confirm/"))[number % 2]
            target = f"{path}{number}" + ("?" if TROUBLE else "?car=7")
            request_id = f"{number:016x}"
            machine = rig.machines[number % 3]
            length = "Content-Length: 0\r\n" if method == "POST" else ""
            head = (
                f"{method} {target} HTTP/1.1\r\nHost: quotes.example\r\n"
                f"X-Kingcuppond-Attempt-Id: {request_id}\r\nX-Kingcuppond-Deadline-Ms: 3000\r\n"
                f"{length}Connection: close\r\n\r\n"
            )
            answer = exchange(machine.outbound, head.encode())
            sent[request_id] = target
            rig.note(f"{method} {target} as {request_id} at {machine.name}: {answer[9:12]!r}")
        runs = rig.runs()
        for run in runs:
            rig.note(f"run: {json.dumps(run)}")
        changed = [run for run in runs if run["target"] != sent[run["id"]]]
        rig.note(f"{len(runs)} runs, {len(changed)} of them with another target than was sent")
        print(f"{len(runs)} runs, {len(changed)} with a changed query")
        if len(runs) < len(sent) // 2:
            return 2
        return 1 if changed else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)
