"""Counts of the answers of a server, by class of work, as gates report them.

Latencies are counted in bins whose bounds grow by the square root of two, so that a tally has a few
dozen numbers however many answers it counts.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

BINS_PER_OCTAVE: Final = 2
MAX_BIN: Final = 45
"""About 90 minutes; longer than any request may take."""

MAX_CLASSES: Final = 64
OTHER_CLASSES: Final = "other"
"""Further classes are counted together, so that a report stays small."""


@attrs.define
class Tally:
    """The answers of one class.

    :param count: calls that ended, failures included
    :param failures: answers with a 5xx status, and calls without an answer
    :param latencies: number of good answers by bin
    :param normal_latencies: the same with each latency divided by the slowdown that the server had
        reported when the call started, which takes out most of the noise of the machines
    """

    count: int = 0
    failures: int = 0
    latencies: dict[int, int] = attrs.field(factory=dict)
    normal_latencies: dict[int, int] = attrs.field(factory=dict)

    def record(self, seconds: float, is_failure: bool, slowdown: float = 1.0) -> None:
        """Count one call."""
        self.count += 1
        if is_failure:
            self.failures += 1
            return
        index = bin_of(seconds)
        self.latencies[index] = self.latencies.get(index, 0) + 1
        index = bin_of(seconds / max(1.0, slowdown))
        self.normal_latencies[index] = self.normal_latencies.get(index, 0) + 1

    def add(self, other: "Tally", sign: int = 1) -> None:
        """Add the counts of another tally, or subtract them."""
        self.count += sign * other.count
        self.failures += sign * other.failures
        for own, others in (
            (self.latencies, other.latencies),
            (self.normal_latencies, other.normal_latencies),
        ):
            for index, count in others.items():
                own[index] = own.get(index, 0) + sign * count


Tallies = dict[str, Tally]


def bin_of(seconds: float) -> int:
    """Return the bin of a latency; bin 0 ends at a millisecond."""
    if seconds <= 0.001:
        return 0
    return min(MAX_BIN, math.ceil(BINS_PER_OCTAVE * math.log2(seconds * 1000)))


def slower_than(latencies: Mapping[int, int], limit: int) -> int:
    """Return the number of answers in higher bins than one."""
    return sum(count for index, count in latencies.items() if index > limit)


def slow_part(tally: Tally, limit: int) -> Tally:
    """Return the answers that are in higher bins than one, at the usual speed of the machines."""
    normal = {index: count for index, count in tally.normal_latencies.items() if index > limit}
    count = sum(normal.values())
    slowest: dict[int, int] = {}
    left = count
    for index in sorted(tally.latencies, reverse=True):
        taken = min(left, tally.latencies[index])
        if taken:
            slowest[index] = taken
        left -= taken
    return Tally(count, 0, slowest, normal)


def median_bin(latencies: Mapping[int, int]) -> int | None:
    """Return the bin of the median, or ``None`` without answers."""
    half = sum(latencies.values()) / 2
    passed = 0
    for index in sorted(latencies):
        passed += latencies[index]
        if passed >= half > 0:
            return index
    return None


def tally_for(tallies: Tallies, class_name: str) -> Tally:
    """Return the tally of a class, or of all other classes once there are many."""
    if class_name not in tallies and len(tallies) >= MAX_CLASSES:
        class_name = OTHER_CLASSES
    return tallies.setdefault(class_name, Tally())


def total_of(parts: Iterable[Mapping[str, Tally]]) -> Tallies:
    """Return the sum of several servers' tallies."""
    total: Tallies = {}
    for tallies in parts:
        for class_name, tally in tallies.items():
            tally_for(total, class_name).add(tally)
    return total


def difference(later: Mapping[str, Tally], earlier: Mapping[str, Tally]) -> Tallies:
    """Return what was counted between two totals."""
    result = total_of([later])
    for class_name, tally in earlier.items():
        if class_name in result:
            result[class_name].add(tally, -1)
    return result


def count_of(tallies: Mapping[str, Tally]) -> int:
    """Return the number of calls in all classes."""
    return sum(tally.count for tally in tallies.values())
