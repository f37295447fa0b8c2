"""Counts of calls by class: the metrics, and the raw figures of ``kingcuppond report``."""

from typing import Final

import attrs
from prometheus_client import CollectorRegistry, Counter, Histogram

from kingcuppond.outcomes import Failure, Outcome, outcome_of

SECONDS_BUCKETS: Final = (
    *(0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075),
    *(0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0),
)


@attrs.frozen
class ClassCounts:
    """The raw counts of one class at one daemon.

    :param within_target: calls answered (not with 5xx) within the class's target
    :param failed: calls that a server answered with 5xx
    :param seconds_by_bucket: answered calls by the upper bound of their duration in seconds
    """

    name: str
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    failed: int = 0
    within_target: int = 0
    seconds_by_bucket: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class CallCounts:
    """Counts the calls that callers made to this daemon."""

    registry: CollectorRegistry
    calls: Counter = attrs.field(init=False)
    within_target: Counter = attrs.field(init=False)
    failed: Counter = attrs.field(init=False)
    reasons: Counter = attrs.field(init=False)
    seconds: Histogram = attrs.field(init=False)
    _names: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.calls = Counter(
            "kingcuppond_calls",
            "Calls of callers by class and outcome",
            ["class_of_work", "outcome"],
            registry=self.registry,
        )
        self.within_target = Counter(
            "kingcuppond_calls_within_target",
            "Calls answered, not with 5xx, within their class's target",
            ["class_of_work"],
            registry=self.registry,
        )
        self.failed = Counter(
            "kingcuppond_calls_failed",
            "Calls that a server answered with 5xx",
            ["class_of_work"],
            registry=self.registry,
        )
        self.reasons = Counter(
            "kingcuppond_call_failures",
            "Calls that got no answer of a server, by class, service and reason",
            ["class_of_work", "service", "reason"],
            registry=self.registry,
        )
        self.seconds = Histogram(
            "kingcuppond_call_seconds",
            "Seconds from a call's arrival to its answer",
            ["class_of_work"],
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )

    def count_answer(self, name: str, status: int, seconds: float, target_ms: int) -> None:
        """Count an answered call."""
        self._names.add(name)
        self.calls.labels(name, Outcome.ANSWERED.value).inc()
        self.seconds.labels(name).observe(seconds)
        if status >= 500:
            self.failed.labels(name).inc()
        elif seconds * 1000 <= target_ms:
            self.within_target.labels(name).inc()

    def count_failure(self, name: str, service: str, failure: Failure) -> None:
        """Count a call that was not run or whose outcome is unknown."""
        self._names.add(name)
        self.reasons.labels(name, service, failure.reason.value).inc()
        self.calls.labels(name, outcome_of(failure).value).inc()

    def read(self) -> list[ClassCounts]:
        """Return the raw counts of all classes."""
        return [self._read_class(name) for name in sorted(self._names)]

    def _read_class(self, name: str) -> ClassCounts:
        def value(metric: str, **labels: str) -> int:
            labels["class_of_work"] = name
            return int(self.registry.get_sample_value(metric, labels) or 0)

        outcomes = {
            outcome: value("kingcuppond_calls_total", outcome=outcome.value) for outcome in Outcome
        }
        bounds = [str(bound) for bound in SECONDS_BUCKETS] + ["+Inf"]
        return ClassCounts(
            name=name,
            answered=outcomes[Outcome.ANSWERED],
            not_run=outcomes[Outcome.NOT_RUN],
            unknown=outcomes[Outcome.UNKNOWN],
            failed=value("kingcuppond_calls_failed_total"),
            within_target=value("kingcuppond_calls_within_target_total"),
            seconds_by_bucket={
                bound: value("kingcuppond_call_seconds_bucket", le=bound) for bound in bounds
            },
        )
