"""The report: for each class its target, and what came of it, in plain words.

All figures come from the raw counts that the daemons keep, which ``report --json`` shows, so that a
second reader can do the sums again.  A duration "at most" is the upper bound of its bucket.
"""

from collections.abc import Iterable
from typing import Final

import attrs

from kingcuppond.configuration.objects import ClassOfWork
from kingcuppond.entry.counts import ClassCounts

TAIL_SHARE: Final = 0.99


@attrs.frozen
class ClassReport:
    """One class: its target, its counts over all daemons, and what they come to.

    :param share_within_target: of all calls, in percent with one decimal
    :param p99_at_most_seconds: 99 of 100 answers took at most so long, as text
    """

    class_of_work: ClassOfWork
    counts: ClassCounts
    calls: int
    share_within_target: float
    p99_at_most_seconds: str


def add_counts(name: str, counts: Iterable[ClassCounts]) -> ClassCounts:
    """Add the counts of one class over all daemons."""
    total = ClassCounts(name)
    buckets: dict[str, int] = {}
    for item in counts:
        for bound, count in item.seconds_by_bucket.items():
            buckets[bound] = buckets.get(bound, 0) + count
        total = ClassCounts(
            name=name,
            answered=total.answered + item.answered,
            not_run=total.not_run + item.not_run,
            unknown=total.unknown + item.unknown,
            failed=total.failed + item.failed,
            within_target=total.within_target + item.within_target,
            seconds_by_bucket=buckets,
        )
    return total


def make_report(class_of_work: ClassOfWork, counts: ClassCounts) -> ClassReport:
    """Work out the report of one class."""
    calls = counts.answered + counts.not_run + counts.unknown
    share = 100.0 * counts.within_target / calls if calls else 100.0
    return ClassReport(class_of_work, counts, calls, round(share, 1), _tail(counts))


def describe(report: ClassReport) -> str:
    """Say a class's report in plain words."""
    item = report.class_of_work
    counts = report.counts
    target = f"{item.name}: answer within {item.answer_within_ms} ms"
    if item.at_most_once:
        target += ", never twice"
    if not report.calls:
        return f"{target}\n  no calls yet"
    lines = [
        target,
        f"  {report.calls} calls, {counts.within_target} answered in time"
        f" ({report.share_within_target:.1f} of 100)",
        f"  99 of 100 answers took at most {report.p99_at_most_seconds} s",
        f"  not run, caller was told so: {counts.not_run}",
        f"  outcome unknown, caller was told so: {counts.unknown}",
        f"  answered with a server's error: {counts.failed}",
    ]
    return "\n".join(lines)


def _tail(counts: ClassCounts) -> str:
    wanted = TAIL_SHARE * counts.answered
    for bound, count in counts.seconds_by_bucket.items():
        if count >= wanted:
            return bound
    return "+Inf"
