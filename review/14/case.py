"""The store turns away the machines that watch it, and those that would replace them."""

import json
import os
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Final

from kingcuppond.configuration.watch_ranks import MAX_SUBSTITUTES, rank_watchers
from kingcuppond.membership.contacts import rendezvous_hash
from kingcuppond.membership.messages import Member
from review.rig3.rig import Machine, Rig, exchange

HERE: Final = Path(__file__).parent
TROUBLE: Final = os.environ.get("TROUBLE", "1") != "0"
ZONES: Final = ("kochi", "thrissur", "kozhikode", "tvm", "kannur")
MACHINES: Final = 43
LARGEST_SHARE: Final = 0.33
REFUSED_SECONDS: Final = 9.0
CHANGE_AFTER_SECONDS: Final = 0.2
BOUND_SECONDS: Final = 7.5
WATCHED_SECONDS: Final = 11.0
SETTLE_SECONDS: Final = 30.0
ROUNDS_PER_SECOND: Final = 10
OLD: Final = "offer-ledger"
NEW: Final = "quote-desk"


def route_to(service: str) -> dict[str, Any]:
    """Return the route for offers."""
    return {
        "Name": "offer",
        "Host": "offers.example",
        "PathPrefix": "/offer/",
        "Kind": "unsafe",
        "Timeout": "2000ms",
        "TargetLatency": "600ms",
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
    }


def find_watchers(machines: list[Machine]) -> list[Machine]:
    """Return the machines that watch the store, and those that would replace them."""
    members = [
        Member(machine.name, machine.zone, machine.service, "", "", "", 1) for machine in machines
    ]
    names: set[str] = set()
    for zone in ZONES:
        names |= set(rank_watchers(zone, members).acting)
    ranked = sorted(machines, key=lambda machine: rendezvous_hash("watch", machine.name))
    others = [machine.name for machine in ranked if machine.name not in names]
    names |= set(others[:MAX_SUBSTITUTES])
    return [machine for machine in machines if machine.name in names]


def send(machine: Machine, request_id: str, sent: dict[str, tuple[float, str]]) -> None:
    """Send one offer."""
    head = (
        f"POST /offer/{request_id} HTTP/1.1\r\nHost: offers.example\r\n"
        f"X-Kingcuppond-Attempt-Id: {request_id}\r\nX-Kingcuppond-Deadline-Ms: 4000\r\n"
        "Content-Length: 2\r\nConnection: close\r\n\r\nab"
    )
    sent[request_id] = (time.time(), machine.name)
    exchange(machine.outbound, head.encode())


def main() -> int:
    """Run the case and return its exit code."""
    services = [(OLD, NEW)[number // len(ZONES) % 2] for number in range(MACHINES)]
    zones = [ZONES[number % len(ZONES)] for number in range(MACHINES)]
    with Rig(services, zones, [route_to(OLD)], HERE / "record.txt", has_front=True) as rig:
        # Daemons that watched the store at their start do so until their watches end.
        time.sleep(SETTLE_SECONDS)
        refused = find_watchers(rig.machines)
        calm = [machine for machine in rig.machines if machine not in refused]
        names = " ".join(machine.name for machine in refused)
        rig.note(f"{len(refused)} of {MACHINES} machines are turned away: {names}")
        if len(refused) > LARGEST_SHARE * MACHINES:
            return 2
        sent: dict[str, tuple[float, str]] = {}
        for number, machine in enumerate(calm):
            send(machine, f"{number:016x}", sent)
        if TROUBLE:
            rig.front_file.write_text(json.dumps([machine.ip for machine in refused]))
        refused_at = time.time()
        time.sleep(CHANGE_AFTER_SECONDS)
        rig.routes[:] = [route_to(NEW)]
        rig.put_config(2)
        acknowledged = time.time()
        with ThreadPoolExecutor(128) as pool:
            for index in range(int(WATCHED_SECONDS * ROUNDS_PER_SECOND)):
                time.sleep(max(0.0, acknowledged + index / ROUNDS_PER_SECOND - time.time()))
                if time.time() > refused_at + REFUSED_SECONDS:
                    rig.front_file.unlink(missing_ok=True)
                for place, machine in enumerate(calm):
                    pool.submit(send, machine, f"{index + 1:08x}{place:08x}", sent)
        runs = [run for run in rig.runs() if "id" in run]
        service_by_server = {f"i-{machine.name}": machine.service for machine in rig.machines}
        late: set[str] = set()
        last_old = 0.0
        for run in sorted(runs, key=lambda run: sent[run["id"]]):
            sent_at, name = sent[run["id"]]
            seconds = sent_at - acknowledged
            service = service_by_server[run["server"]]
            rig.note(f"{run['id']} sent to {name} {seconds:.3f} s after it, run by {service}")
            if service == OLD:
                last_old = max(last_old, seconds)
                if seconds > BOUND_SECONDS:
                    late.add(run["id"])
        text = (
            f"{len(late)} requests sent later than {BOUND_SECONDS} s were run by the old"
            f" service; the last one that was, {last_old:.2f} s after the acknowledgement"
        )
        rig.note(text)
        print(text)
        is_new_seen = any(service_by_server[run["server"]] == NEW for run in runs)
        if len(runs) < len(calm) or not is_new_seen:
            return 2
        return 1 if late else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)
