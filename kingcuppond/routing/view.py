"""A daemon's estimate of the latency and the load of one server.

Any load report is stale when it arrives.  The estimate therefore combines the daemon's own calls in
flight there, which are known exactly, the results of its own calls, and the report that the gate
adds to its answers, which costs no extra message.  Unanswered calls count too: the age of the
oldest one is a lower bound of the latency, and reveals a straggler before any answer or report.

Latencies differ between classes, so the view averages the ratio of a latency to the typical one of
its class.  The average decays to 1 while a server is not used, so that an old good result does not
make it look fast.
"""

import math
from typing import Final

import attrs

LATENCY_WEIGHT: Final = 0.2

SLOW_MACHINE_LATENCY_RATIO: Final = 8.0
"""A call that starts on a slow machine can take seven times the typical latency."""

MAX_LATENCY_RATIO: Final = 4.0
"""Upper bound for the ratio of a single answer, whose machine may have been slow at the start."""

ERROR_WEIGHT: Final = 0.2

ERROR_FACTOR: Final = 100
"""Multiplied by the third power of the error rate: one error nearly doubles the expected latency of
a server, and several in a row keep all calls away from it."""

MAX_LOAD_REPORT_AGE_SECONDS: Final = 0.5
MAX_SLOWDOWN_AGE_SECONDS: Final = 0.25
"""Half of the time for which the speed of a machine typically stays constant."""

PER_CENT: Final = 100
MAX_REPORT_CHARS: Final = 16
DECAY_SECONDS: Final = 5.0
INITIAL_BACKOFF_SECONDS: Final = 0.005
MAX_FULL_BACKOFF_SECONDS: Final = 0.080
MAX_UNREACHABLE_BACKOFF_SECONDS: Final = 1.0
DEFAULT_LATENCY_SECONDS: Final = 0.005


@attrs.frozen
class GateReport:
    """The load report that a gate adds to its answers.

    :param load: calls that run or wait there
    :param limit: calls that may run concurrently
    :param slowdown: duration of work that starts there now, as a multiple of the typical one
    :param begun_slowdown: the slowdown when the answered call started
    """

    load: int
    limit: int
    slowdown: float = 1.0
    begun_slowdown: float = 1.0

    def encode(self) -> str:
        """Return the value of the header."""
        if self.slowdown == self.begun_slowdown == 1.0:
            return f"{self.load}/{self.limit}"
        slowdowns = [round(it * PER_CENT) for it in (self.slowdown, self.begun_slowdown)]
        return f"{self.load}/{self.limit}/{slowdowns[0]}/{slowdowns[1]}"


def parse_report(text: str) -> GateReport | None:
    """Parse the value of the header; return ``None`` if it is malformed."""
    parts = text.split("/")
    if len(text) > MAX_REPORT_CHARS or not all(part.isdecimal() for part in parts):
        return None
    if len(parts) not in (2, 4):
        return None
    slowdowns = [int(part) / PER_CENT for part in parts[2:]] or [1.0, 1.0]
    return GateReport(int(parts[0]), max(1, int(parts[1])), *slowdowns)


@attrs.define
class ServerView:
    """The estimate of one server.

    :param latency_ratio: average ratio of latencies to the typical ones of their classes
    :param error_rate: average share of calls that failed, from 0 to 1
    :param refusals: consecutive refusals, of which each doubles the backoff
    :param started_by_call: monotonic start times of the calls in flight, oldest first
    """

    latency_ratio: float = 1.0
    error_rate: float = 0.0
    report: GateReport | None = None
    reported_at: float = 0.0
    backoff_until: float = 0.0
    refusals: int = 0
    last_used_at: float = 0.0
    started_by_call: dict[str, float] = attrs.field(factory=dict)

    @property
    def in_flight(self) -> int:
        """Number of calls that this daemon has in flight there."""
        return len(self.started_by_call)

    def start(self, call_id: str, now: float) -> None:
        """Record that a call is sent there."""
        self.started_by_call[call_id] = now
        self.last_used_at = now

    def end(
        self,
        call_id: str,
        now: float,
        is_good: bool,
        typical_seconds: float = DEFAULT_LATENCY_SECONDS,
        begun_slowdown: float = 1.0,
    ) -> None:
        """Record that a call ended there.

        The latency of a failed call is ignored, since a server that fails fast is not a fast one.

        :param is_good: whether the call succeeded
        :param typical_seconds: typical latency of successful calls of its class
        :param begun_slowdown: the slowdown there when the call started
        """
        started = self.started_by_call.pop(call_id, now)
        if is_good:
            self.error_rate -= ERROR_WEIGHT * self.error_rate
            self.latency_ratio = self._updated_ratio(now - started, begun_slowdown, typical_seconds)
            self.refusals = 0
        else:
            self.error_rate += ERROR_WEIGHT * (1.0 - self.error_rate)

    def abandon(self, call_id: str, now: float, typical_seconds: float) -> None:
        """Record that this daemon cancelled a call before its answer.

        The time that it was in flight is a lower bound of the latency.  If it were ignored, the
        next call would go to the same hanging server.  A call that was cancelled early changes
        nothing.

        :param typical_seconds: typical latency of successful calls of its class
        """
        started = self.started_by_call.pop(call_id, now)
        ratio = self._updated_ratio(now - started, self.slowdown(now), typical_seconds)
        self.latency_ratio = max(self.latency_ratio, ratio)

    def record_refusal(self, call_id: str, now: float, is_full: bool) -> None:
        """Record that the gate refused a call, and back off exponentially.

        :param is_full: whether the gate was full; then it soon has capacity again, so that the
            longest backoff is shorter than for a gate or a server that can't be reached
        """
        self.started_by_call.pop(call_id, None)
        if now < self.backoff_until:
            # Concurrent calls that are refused together count as one refusal.
            return
        max_backoff = MAX_FULL_BACKOFF_SECONDS if is_full else MAX_UNREACHABLE_BACKOFF_SECONDS
        backoff = min(INITIAL_BACKOFF_SECONDS * 2**self.refusals, max_backoff)
        self.refusals = min(self.refusals + 1, 10)
        self.backoff_until = now + backoff

    def update_report(self, report: GateReport | None, now: float) -> None:
        """Store the report that came with an answer, if there is one."""
        if report is not None:
            self.report = report
            self.reported_at = now

    def expected_seconds(
        self,
        now: float,
        typical_seconds: float = DEFAULT_LATENCY_SECONDS,
        max_report_age_seconds: float = math.inf,
    ) -> float:
        """Estimate the latency of one more call there.

        :param typical_seconds: typical latency of successful calls of its class
        :param max_report_age_seconds: older reports are ignored
        """
        latency = self._current_latency(now, typical_seconds) * self.slowdown(
            now, max_report_age_seconds
        )
        errors = self._decayed(self.error_rate, now)
        load = self.load_share(now, max_report_age_seconds)
        return latency * (1 + load) * (1 + ERROR_FACTOR * errors**3)

    def load_share(self, now: float, max_report_age_seconds: float = math.inf) -> float:
        """Return the number of calls known to run or wait there, divided by the gate's limit."""
        limit = 1 if self.report is None else self.report.limit
        calls = self.in_flight
        if self.report is not None and now - self.reported_at < min(
            MAX_LOAD_REPORT_AGE_SECONDS, max_report_age_seconds
        ):
            calls = max(calls, self.report.load)
        return calls / limit

    def slowdown(self, now: float, max_report_age_seconds: float = math.inf) -> float:
        """Return the duration of work there now as a multiple of the typical one; 1 if unknown."""
        max_report_age_seconds = min(MAX_SLOWDOWN_AGE_SECONDS, max_report_age_seconds)
        if self.report is None or now - self.reported_at > max_report_age_seconds:
            return 1.0
        return max(1.0, self.report.slowdown)

    def _updated_ratio(self, seconds: float, slowdown: float, typical_seconds: float) -> float:
        """Return the average latency ratio after one more sample."""
        ratio = min(seconds / max(1.0, slowdown) / typical_seconds, MAX_LATENCY_RATIO)
        return self.latency_ratio + LATENCY_WEIGHT * (ratio - self.latency_ratio)

    def _current_latency(self, now: float, typical_seconds: float) -> float:
        latency = typical_seconds * (1.0 + self._decayed(self.latency_ratio - 1.0, now))
        if not self.started_by_call:
            return latency
        # Calls are kept in the order of their start, so the first one is the oldest.  If the gate
        # has reported since, that call may only be slow because the machine was slow at its start.
        age = now - next(iter(self.started_by_call.values()))
        has_reported_since = now - age < self.reported_at
        return max(latency, age / SLOW_MACHINE_LATENCY_RATIO if has_reported_since else age)

    def _decayed(self, value: float, now: float) -> float:
        idle = now - self.last_used_at
        return value * max(0.0, 1.0 - idle / DECAY_SECONDS)
