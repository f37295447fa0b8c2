"""What control costs as the fleet grows: one row for each number of daemons.

``python -m bench.control --daemons 10 30 100``.  Real daemons, without servers or calls, spread
over six data centres.  For each size: resident memory, processor time, control messages and bytes
of a daemon, calls of the store for the whole fleet, and the seconds until a change is in force
everywhere.
"""

import argparse
import json
import time
from typing import Final

import attrs

from standins.fleet import Fleet, VmPlan, get_json

DATA_CENTRES: Final = 6
QUIET_SECONDS: Final = 10.0
SETTLE_SECONDS: Final = 5.0
CHANGES: Final = 5
READY_SECONDS: Final = 120.0


@attrs.define
class DaemonFleet(Fleet):
    """A fleet of daemons without servers."""

    def start(self, name: str) -> None:
        """Start the daemon of a VM only."""
        self.start_daemon(name)


@attrs.frozen
class Row:
    """The figures of one fleet; those of a daemon are means over all of them."""

    daemons: int
    contacts_bytes_per_second: float
    messages_per_second: float
    core_percent: float
    resident_mb: float
    store_calls_per_second: float
    in_force_seconds: float


def measure(count: int) -> Row:
    """Start a fleet, let it settle, and measure it."""
    plans = [VmPlan(f"vm-{i}", f"dc-{i % DATA_CENTRES}", "shop") for i in range(count)]
    with DaemonFleet(plans, log_level="error") as fleet:
        wait_until_known(fleet, count)
        time.sleep(SETTLE_SECONDS)
        before, calls_before, started = snapshot(fleet), store_calls(fleet), time.monotonic()
        time.sleep(QUIET_SECONDS)
        after, calls_after = snapshot(fleet), store_calls(fleet)
        took = time.monotonic() - started
        change = max(time_change(fleet, i) for i in range(CHANGES))

    def rate(key: str) -> float:
        return (sum(after[key]) - sum(before[key])) / count / took

    return Row(
        count,
        rate("control_bytes"),
        rate("control_messages"),
        100 * rate("cpu_seconds"),
        sum(after["resident_bytes"]) / count / 1e6,
        (calls_after - calls_before) / took,
        change,
    )


def wait_until_known(fleet: Fleet, count: int) -> None:
    """Wait until every daemon knows all others."""
    fleet.apply_class(name="browse", service="shop", path_prefix="/shop", answer_within_ms=1000)
    end = time.monotonic() + READY_SECONDS
    for name in fleet.vms_by_name:
        while time.monotonic() < end:
            try:
                status = fleet.status(name)
            except OSError:
                time.sleep(0.2)
                continue
            alive = [m for m in status["members"] if m["condition"] == "alive"]
            if len(alive) == count and status["configuration_version"]:
                break
            time.sleep(0.2)
        else:
            raise TimeoutError(f"{name} does not know all others")


def snapshot(fleet: Fleet) -> dict[str, list[float]]:
    """Read the counters of all daemons."""
    pages = [fleet.status(name) for name in fleet.vms_by_name]
    keys = ("control_bytes", "control_messages", "cpu_seconds", "resident_bytes")
    return {key: [page[key] for page in pages] for key in keys}


def store_calls(fleet: Fleet) -> int:
    """Return the calls that the store has counted."""
    return sum(get_json(f"http://{fleet.platform}/counts").values())


def time_change(fleet: Fleet, number: int) -> float:
    """Make a change and return the seconds until the last daemon has it in force."""
    values = {"name": "browse", "service": "shop", "path_prefix": "/shop"}
    path = fleet.folder / "change.json"
    path.write_text(json.dumps({**values, "answer_within_ms": 2000 + number}))
    version = json.loads(fleet.operate("class", "apply", str(path), "--json"))["version"]
    accepted = time.monotonic()
    for name in fleet.vms_by_name:
        while fleet.status(name)["configuration_version"] < version:
            time.sleep(0.01)
    return time.monotonic() - accepted


def main() -> None:
    """Measure each size and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--daemons", type=int, nargs="+", default=[10, 30, 100])
    options = parser.parse_args()
    print("daemons  bytes/s  messages/s  % of a core  MB    store calls/s  in force s")
    for count in options.daemons:
        row = measure(count)
        print(
            f"{row.daemons:7}{row.contacts_bytes_per_second:9.0f}{row.messages_per_second:12.1f}"
            f"{row.core_percent:13.2f}{row.resident_mb:6.1f}"
            f"{row.store_calls_per_second:15.1f}{row.in_force_seconds:12.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
