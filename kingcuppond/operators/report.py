"""The report: the target of each class of work, and how far it was met.

All figures are computed from the raw counts of the daemons.  ``report --json`` shows these counts,
so that the figures can be checked.  A duration "at most" is the upper bound of its bucket.
"""

from collections.abc import Iterable
from typing import Final

import attrs

from kingcuppond.configuration.objects import ClassOfWork
from kingcuppond.ingress.counts import ClassCounts

P99_SHARE: Final = 0.99


@attrs.frozen
class ClassReport:
    """One class: its target, its counts over all daemons, and figures computed from them.

    :param share_within_target: percentage of all calls, with one decimal
    :param p99_at_most_seconds: 99 of 100 answers took at most this long; the upper bound of a
        bucket, as text
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
    """Compute the report of one class."""
    calls = counts.answered + counts.not_run + counts.unknown
    share = 100.0 * counts.within_target / calls if calls else 100.0
    return ClassReport(class_of_work, counts, calls, round(share, 1), _p99_upper_bound(counts))


def describe(report: ClassReport) -> str:
    """Format the report of a class as text."""
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


def _p99_upper_bound(counts: ClassCounts) -> str:
    wanted = P99_SHARE * counts.answered
    for bound, count in counts.seconds_by_bucket.items():
        if count >= wanted:
            return bound
    return "+Inf"
