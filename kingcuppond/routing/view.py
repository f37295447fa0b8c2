"""What this daemon sees of a server beside another daemon.

Every report of load is stale when it arrives.  So the view is made from what the daemon itself has
in flight there, which is exact, from how its own calls went, and from what the gate wrote on its
last answer, which is free.  A call that is still unanswered is evidence too: the age of the oldest
one is a lower bound of the latency, and shows a straggler before any answer or report can.

Classes take different times, so the view keeps how much longer than usual for its class an answer
took.  A server that was not used for a while counts as usual, and not as fast.
"""

import math
from typing import Final

import attrs

LATENCY_WEIGHT: Final = 0.2

BEGUN_SLOW_RATIO: Final = 8.0
"""A call that begins on a slow machine was seen to take seven times as long as usual."""

MOST_RATIO: Final = 4.0
"""No single answer counts as slower: its machine may have been slow when the call began."""

ERROR_WEIGHT: Final = 0.2

ERROR_FACTOR: Final = 100
"""With the third power of the error rate: one error nearly doubles a server's expected time, and a
row of them keeps all calls away."""

REPORT_SECONDS: Final = 0.5
SLOWDOWN_SECONDS: Final = 0.25
"""Half of the time for which a machine's speed usually stays the same."""

PER_CENT: Final = 100
MAX_REPORT: Final = 16
FORGET_SECONDS: Final = 5.0
PAUSE_SECONDS: Final = 0.005
FULL_PAUSE_SECONDS: Final = 0.080
BROKEN_PAUSE_SECONDS: Final = 1.0
DEFAULT_LATENCY_SECONDS: Final = 0.005


@attrs.frozen
class GateReport:
    """What a gate writes on its answers.

    :param in_flight: calls that run or wait there
    :param limit: calls that may run at once
    :param slowdown: how long work that begins now takes there, as a multiple of the usual
    :param begun_slowdown: what the slowdown was when the answered call began
    """

    in_flight: int
    limit: int
    slowdown: float = 1.0
    begun_slowdown: float = 1.0

    def encode(self) -> str:
        """Return the header's value."""
        if self.slowdown == self.begun_slowdown == 1.0:
            return f"{self.in_flight}/{self.limit}"
        speeds = [round(it * PER_CENT) for it in (self.slowdown, self.begun_slowdown)]
        return f"{self.in_flight}/{self.limit}/{speeds[0]}/{speeds[1]}"


def parse_report(text: str) -> GateReport | None:
    """Read a header's value; ``None`` if it is not a report."""
    parts = text.split("/")
    if len(text) > MAX_REPORT or not all(part.isdecimal() for part in parts):
        return None
    if len(parts) not in (2, 4):
        return None
    speeds = [int(part) / PER_CENT for part in parts[2:]] or [1.0, 1.0]
    return GateReport(int(parts[0]), max(1, int(parts[1])), *speeds)


@attrs.define
class ServerView:
    """The view of one server."""

    latency_ratio: float = 1.0
    error_rate: float = 0.0
    report: GateReport | None = None
    reported_at: float = 0.0
    paused_until: float = 0.0
    refusals: int = 0
    last_used: float = 0.0
    started_by_call: dict[str, float] = attrs.field(factory=dict)

    @property
    def in_flight(self) -> int:
        """How many calls this daemon has in flight there."""
        return len(self.started_by_call)

    def start(self, call_id: str, now: float) -> None:
        """Note that a call goes there."""
        self.started_by_call[call_id] = now
        self.last_used = now

    def end(
        self,
        call_id: str,
        now: float,
        is_good: bool,
        usual: float = DEFAULT_LATENCY_SECONDS,
        begun_slowdown: float = 1.0,
    ) -> None:
        """Note that a call ended there.

        :param usual: seconds that a good answer of its class usually takes
        :param begun_slowdown: the slowdown there when the call began

        The latency of an error teaches nothing about speed: a server that fails fast is not a fast
        one.
        """
        started = self.started_by_call.pop(call_id, now)
        if is_good:
            self.error_rate -= ERROR_WEIGHT * self.error_rate
            self.latency_ratio = self._ratio_after(now - started, begun_slowdown, usual)
            self.refusals = 0
        else:
            self.error_rate += ERROR_WEIGHT * (1.0 - self.error_rate)

    def abandon(self, call_id: str, now: float, usual: float) -> None:
        """Note that this daemon gave up a call before its answer.

        How long it went without one is a lower bound of the latency; were it forgotten, the next
        call would go to the same hanging server.  A call that was given up early proves nothing.

        :param usual: seconds that a good answer of its class usually takes
        """
        started = self.started_by_call.pop(call_id, now)
        ratio = self._ratio_after(now - started, self.slowdown(now), usual)
        self.latency_ratio = max(self.latency_ratio, ratio)

    def refuse(self, call_id: str, now: float, is_full: bool) -> None:
        """Note that the gate refused a call: leave it alone for a moment, longer each time.

        :param is_full: a full gate soon has room again; one that could not be reached, or whose
            server could not, is left alone for longer
        """
        self.started_by_call.pop(call_id, None)
        if now < self.paused_until:
            # Calls that were on their way together are one refusal.
            return
        longest = FULL_PAUSE_SECONDS if is_full else BROKEN_PAUSE_SECONDS
        pause = min(PAUSE_SECONDS * 2**self.refusals, longest)
        self.refusals = min(self.refusals + 1, 10)
        self.paused_until = now + pause

    def hear(self, report: GateReport | None, now: float) -> None:
        """Take what the gate wrote on an answer."""
        if report is not None:
            self.report = report
            self.reported_at = now

    def expected_seconds(
        self,
        now: float,
        usual: float = DEFAULT_LATENCY_SECONDS,
        trusted_seconds: float = math.inf,
    ) -> float:
        """Estimate how long one more call would take there.

        :param usual: seconds that a good answer of its class usually takes
        :param trusted_seconds: an older report says nothing
        """
        latency = self._current_latency(now, usual) * self.slowdown(now, trusted_seconds)
        errors = self._fading(self.error_rate, now)
        load = self.load_share(now, trusted_seconds)
        return latency * (1 + load) * (1 + ERROR_FACTOR * errors**3)

    def load_share(self, now: float, trusted_seconds: float = math.inf) -> float:
        """Return the calls that are known to run or wait there, as a share of its limit."""
        limit = 1 if self.report is None else self.report.limit
        others = self.in_flight
        if self.report is not None and now - self.reported_at < min(
            REPORT_SECONDS, trusted_seconds
        ):
            others = max(others, self.report.in_flight)
        return others / limit

    def slowdown(self, now: float, trusted_seconds: float = math.inf) -> float:
        """Return how long work takes there now, as a multiple of the usual; 1 if unknown."""
        trusted_seconds = min(SLOWDOWN_SECONDS, trusted_seconds)
        if self.report is None or now - self.reported_at > trusted_seconds:
            return 1.0
        return max(1.0, self.report.slowdown)

    def _ratio_after(self, seconds: float, slowdown: float, usual: float) -> float:
        """Return the ratio with one more latency in it."""
        ratio = min(seconds / max(1.0, slowdown) / usual, MOST_RATIO)
        return self.latency_ratio + LATENCY_WEIGHT * (ratio - self.latency_ratio)

    def _current_latency(self, now: float, usual: float) -> float:
        latency = usual * (1.0 + self._fading(self.latency_ratio - 1.0, now))
        if not self.started_by_call:
            return latency
        # Calls are kept in the order of their start, so the first one is the oldest.  If the gate
        # has spoken since, that call may only have begun while the machine was slow.
        age = now - next(iter(self.started_by_call.values()))
        has_spoken = now - age < self.reported_at
        return max(latency, age / BEGUN_SLOW_RATIO if has_spoken else age)

    def _fading(self, value: float, now: float) -> float:
        idle = now - self.last_used
        return value * max(0.0, 1.0 - idle / FORGET_SECONDS)
