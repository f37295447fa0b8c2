"""Cost of the control plane as the fleet grows, one row for each number of daemons.

``python -m bench.control --daemons 10 30 100``.  Real daemons, without servers or calls, are spread
over six data centres.  For each size the table shows control bytes and messages, processor time and
resident memory of a daemon, calls to the store by the whole fleet, and the seconds until a change
of the configuration has reached every daemon.
"""

import argparse
import json
import time
from typing import Final

import attrs

from standins.fleet import Fleet, VmPlan
from standins.http_client import get_json

DATA_CENTRES: Final = 6
MEASURE_SECONDS: Final = 10.0
SETTLE_SECONDS: Final = 5.0
CHANGE_COUNT: Final = 5
READY_TIMEOUT_SECONDS: Final = 120.0


@attrs.define
class DaemonFleet(Fleet):
    """A fleet that starts daemons but no servers."""

    def start(self, name: str) -> None:
        """Start the daemon of a VM but not its server."""
        self.start_daemon(name)


@attrs.frozen
class Row:
    """Results for one fleet size.

    Bytes, messages, processor time and memory are means per daemon.

    :param core_percent: processor time in percent of one core
    :param store_calls_per_second: calls to the store by the whole fleet
    :param propagation_seconds: longest time until a change has reached every daemon
    """

    daemons: int
    bytes_per_second: float
    messages_per_second: float
    core_percent: float
    resident_mb: float
    store_calls_per_second: float
    propagation_seconds: float


def measure(count: int) -> Row:
    """Start a fleet of ``count`` daemons, let it settle, and measure it."""
    plans = [VmPlan(f"vm-{i}", f"dc-{i % DATA_CENTRES}", "shop") for i in range(count)]
    with DaemonFleet(plans, log_level="error") as fleet:
        wait_until_all_known(fleet, count)
        time.sleep(SETTLE_SECONDS)
        before, calls_before, started = (
            read_counters(fleet),
            count_store_calls(fleet),
            time.monotonic(),
        )
        time.sleep(MEASURE_SECONDS)
        after, calls_after = read_counters(fleet), count_store_calls(fleet)
        took = time.monotonic() - started
        change = max(measure_propagation(fleet, i) for i in range(CHANGE_COUNT))

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


def wait_until_all_known(fleet: Fleet, count: int) -> None:
    """Wait until every daemon knows all others and has a configuration.

    :raises TimeoutError: after ``READY_TIMEOUT_SECONDS``
    """
    fleet.apply_class(name="browse", service="shop", path_prefix="/shop", answer_within_ms=1000)
    end = time.monotonic() + READY_TIMEOUT_SECONDS
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
            raise TimeoutError(f"{name} did not discover all other daemons in time")


def read_counters(fleet: Fleet) -> dict[str, list[float]]:
    """Return the resource counters of all daemons, by name of the counter."""
    pages = [fleet.status(name) for name in fleet.vms_by_name]
    keys = ("control_bytes", "control_messages", "cpu_seconds", "resident_bytes")
    return {key: [page[key] for page in pages] for key in keys}


def count_store_calls(fleet: Fleet) -> int:
    """Return the number of calls that the store has received."""
    return sum(get_json(f"http://{fleet.platform}/counts").values())


def measure_propagation(fleet: Fleet, number: int) -> float:
    """Change the configuration.

    :param number: makes the change differ from the others
    :return: seconds from acceptance until the last daemon has applied the change
    """
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
    """Measure each fleet size and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--daemons", type=int, nargs="+", default=[10, 30, 100])
    options = parser.parse_args()
    print("daemons  bytes/s  messages/s  % of a core  MB    store calls/s  in force s")
    for count in options.daemons:
        row = measure(count)
        print(
            f"{row.daemons:7}{row.bytes_per_second:9.0f}{row.messages_per_second:12.1f}"
            f"{row.core_percent:13.2f}{row.resident_mb:6.1f}"
            f"{row.store_calls_per_second:15.1f}{row.propagation_seconds:12.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
