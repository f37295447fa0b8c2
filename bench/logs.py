"""What the log costs: lines a second, and the latency that it adds to a call.

``python -m bench.logs``.  One daemon after another serves the same calls, open loop: its log goes
to a file at the level ``error`` (the base), at ``info`` and at ``debug``, and at ``debug`` to a
pipe that nobody reads.  Each kind is measured in every round, so that a machine that becomes busy
meets them all.
"""

import argparse
import asyncio
import os
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import attrs
from hdrh.histogram import HdrHistogram

from bench.latency import MAX_MICROSECONDS, PATHS, measure, plan_fleet, prepare
from standins.fleet import Fleet


class UnreadFleet(Fleet):
    """A fleet whose daemons write to pipes that nobody reads."""

    def _spawn(self, name: str, arguments: Sequence[str]) -> subprocess.Popen[bytes]:
        if "daemon" not in arguments:
            return super()._spawn(name, arguments)
        _, writing_end = os.pipe()
        with (
            open(writing_end, "wb") as pipe,
            (self.folder / f"{name}-errors.log").open("ab") as errors,
        ):
            return subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=pipe,
                stderr=errors,
                stdin=subprocess.DEVNULL,
            )


@attrs.define
class Kind:
    """One way of logging, and what was measured with it."""

    name: str
    level: str
    is_read: bool = True
    lines: int = 0
    seconds: float = 0.0
    histogram: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, MAX_MICROSECONDS, 3))


def make_kinds() -> list[Kind]:
    """Return the ways of logging, the base first."""
    return [
        Kind("error", "error"),
        Kind("info", "info"),
        Kind("debug", "debug"),
        Kind("unread", "debug", is_read=False),
    ]


def run_once(kind: Kind, per_second: float, seconds: float, seed: int) -> None:
    """Serve calls with one way of logging, and add to what was measured."""
    fleet_type = Fleet if kind.is_read else UnreadFleet
    with fleet_type(plan_fleet(), log_level=kind.level) as fleet:
        urls = prepare(fleet)
        before = count_lines(fleet.folder)
        histograms = asyncio.run(measure(urls, per_second, seconds, seed))
        kind.lines += count_lines(fleet.folder) - before
        kind.seconds += seconds
        for name in PATHS[1:]:
            kind.histogram.add(histograms[name])


def count_lines(folder: Path) -> int:
    """Return how many lines the daemons' logs have."""
    return sum(path.read_bytes().count(b"\n") for path in folder.glob("*-daemon.log"))


def main() -> None:
    """Measure and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--per-second", type=float, default=150)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    kinds = make_kinds()
    for seed in range(options.rounds):
        for kind in kinds:
            run_once(kind, options.per_second, options.seconds, seed)
    print(f"{'log':10}{'calls':>8}{'lines/s a daemon':>18}{'p50 ms':>9}{'p99 ms':>9}")
    for kind in kinds:
        p50, p99 = (kind.histogram.get_value_at_percentile(p) / 1000 for p in (50, 99))
        rate = f"{kind.lines / kind.seconds / 2:.1f}" if kind.is_read else "-"
        print(f"{kind.name:10}{kind.histogram.get_total_count():8}{rate:>18}{p50:9.2f}{p99:9.2f}")


if __name__ == "__main__":
    main()
