"""Call counters by class of work, for the metrics and for ``kingcuppond report``."""

from typing import Final

import attrs
from prometheus_client import CollectorRegistry, Counter, Histogram

from kingcuppond.outcomes import Failure, Outcome, outcome_of

DURATION_BUCKETS_SECONDS: Final = (
    *(0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075),
    *(0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0),
)


@attrs.frozen
class ClassCounts:
    """The counters of one class of work at one daemon.

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
    """Counts the calls that this daemon received from callers.

    :param failed: calls that a server answered with 5xx
    :param failures: calls that got no answer of a server, by reason
    """

    registry: CollectorRegistry
    calls: Counter = attrs.field(init=False)
    within_target: Counter = attrs.field(init=False)
    failed: Counter = attrs.field(init=False)
    failures: Counter = attrs.field(init=False)
    seconds: Histogram = attrs.field(init=False)
    _class_names: set[str] = attrs.field(factory=set)

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
        self.failures = Counter(
            "kingcuppond_call_failures",
            "Calls that got no answer of a server, by class, service and reason",
            ["class_of_work", "service", "reason"],
            registry=self.registry,
        )
        self.seconds = Histogram(
            "kingcuppond_call_seconds",
            "Seconds from a call's arrival to its answer",
            ["class_of_work"],
            buckets=DURATION_BUCKETS_SECONDS,
            registry=self.registry,
        )

    def count_answer(self, class_name: str, status: int, seconds: float, target_ms: int) -> None:
        """Count an answered call.

        :param status: HTTP status of the answer
        :param seconds: time from the call's arrival to its answer
        :param target_ms: the class's target for that time
        """
        self._class_names.add(class_name)
        self.calls.labels(class_name, Outcome.ANSWERED.value).inc()
        self.seconds.labels(class_name).observe(seconds)
        if status >= 500:
            self.failed.labels(class_name).inc()
        elif seconds * 1000 <= target_ms:
            self.within_target.labels(class_name).inc()

    def count_failure(self, class_name: str, service: str, failure: Failure) -> None:
        """Count a call that was not run or whose outcome is unknown."""
        self._class_names.add(class_name)
        self.failures.labels(class_name, service, failure.reason.value).inc()
        self.calls.labels(class_name, outcome_of(failure).value).inc()

    def read(self) -> list[ClassCounts]:
        """Return the counters of all classes, ordered by name."""
        return [self._read_class(name) for name in sorted(self._class_names)]

    def _read_class(self, name: str) -> ClassCounts:
        def value(metric: str, **labels: str) -> int:
            labels["class_of_work"] = name
            return int(self.registry.get_sample_value(metric, labels) or 0)

        outcomes = {
            outcome: value("kingcuppond_calls_total", outcome=outcome.value) for outcome in Outcome
        }
        bounds = [str(bound) for bound in DURATION_BUCKETS_SECONDS] + ["+Inf"]
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
