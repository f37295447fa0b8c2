"""Cost of logging: lines a second, and the latency that it adds to a call.

``python -m bench.logs``.  The same calls (open loop) are served with one log mode after another: to
a file at the level ``error`` (the baseline), ``info`` or ``debug``, and at ``debug`` to a pipe that
nobody reads.  Every round measures each mode once, so that load from other processes affects all of
them alike.
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


class UnreadPipeFleet(Fleet):
    """A fleet whose daemons write their logs to pipes that nobody reads."""

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
class LogMode:
    """A log mode and its results, added up over all rounds.

    :param level: log level of the daemons
    :param is_read: whether the log goes to a file; otherwise to a pipe that nobody reads
    :param lines: log lines written
    :param seconds: time measured
    :param histogram: latency of calls through daemons, in microseconds
    """

    name: str
    level: str
    is_read: bool = True
    lines: int = 0
    seconds: float = 0.0
    histogram: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, MAX_MICROSECONDS, 3))


def make_modes() -> list[LogMode]:
    """Return all log modes, the baseline first."""
    return [
        LogMode("error", "error"),
        LogMode("info", "info"),
        LogMode("debug", "debug"),
        LogMode("unread", "debug", is_read=False),
    ]


def measure_mode(mode: LogMode, per_second: float, seconds: float, seed: int) -> None:
    """Serve calls in one log mode and add to its results.

    :param seconds: duration of the measurement
    """
    fleet_class = Fleet if mode.is_read else UnreadPipeFleet
    with fleet_class(plan_fleet(), log_level=mode.level) as fleet:
        urls = prepare(fleet)
        before = count_lines(fleet.folder)
        histograms = asyncio.run(measure(urls, per_second, seconds, seed))
        mode.lines += count_lines(fleet.folder) - before
        mode.seconds += seconds
        for name in PATHS[1:]:
            mode.histogram.add(histograms[name])


def count_lines(folder: Path) -> int:
    """Return the number of lines in the log files of the daemons."""
    return sum(path.read_bytes().count(b"\n") for path in folder.glob("*-daemon.log"))


def main() -> None:
    """Measure all log modes and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--per-second", type=float, default=150)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    modes = make_modes()
    for seed in range(options.rounds):
        for mode in modes:
            measure_mode(mode, options.per_second, options.seconds, seed)
    print(f"{'log':10}{'calls':>8}{'lines/s a daemon':>18}{'p50 ms':>9}{'p99 ms':>9}")
    for mode in modes:
        p50, p99 = (mode.histogram.get_value_at_percentile(p) / 1000 for p in (50, 99))
        rate = f"{mode.lines / mode.seconds / 2:.1f}" if mode.is_read else "-"
        print(f"{mode.name:10}{mode.histogram.get_total_count():8}{rate:>18}{p50:9.2f}{p99:9.2f}")


if __name__ == "__main__":
    main()
