"""Adaptive concurrency limit: how many calls one server may run at once.

A newly announced server gets one call at a time.  After a window of answers to calls of which at
least half were admitted at the limit, the limit doubles, unless the server is still warming up: the
median answer time of this window is clearly shorter than that of the window before, or the server
reports that it is cold, in which case the limit can double only after every few windows.  Several
slow answers in a row halve the limit, since a warm server can turn cold without reporting it.
Answers at the usual speed then raise it one by one to the proven limit, the last one reached by
doubling, so that a short stall does not reduce capacity for long.  Several failures in a row reset
a limit above one to one and discard the proven limit.  Slow answers and failures are counted
together; the last of them decides whether the limit is halved or reset.  The server's own reports
can lower the limit, but never raise it above the proven one.

Answer times differ between classes, so each is measured relative to the first answer of its class.

Where servers report for how long they stay cold, and their machines change speed many times a
second, the limit does not adapt in this way: it is the number of slots, or the smaller number that
``kingcuppond.gate.load_curve`` finds, and ``kingcuppond.gate.cold_rate_limiter`` bounds the call
rate of a cold server.
"""

from statistics import median
from typing import Final

import attrs

from kingcuppond.gate.load_curve import LoadCurve

MAX_SLOTS: Final = 1024
INITIAL_LIMIT: Final = 1
WINDOW_ANSWERS: Final = 32
COLD_WINDOWS_PER_INCREASE: Final = 4
WARMING_RATIO: Final = 0.8
SLOW_RATIO: Final = 5.0
SLOW_MARGIN_SECONDS: Final = 0.050
CONSECUTIVE_BAD_TO_LOWER: Final = 4
MAX_CLASSES: Final = 1000


@attrs.define
class ConcurrencyLimit:
    """The limit of one server, and the measurements that it is derived from.

    :param slots: concurrent calls that the server reports it can run
    :param is_reported_cold: whether the server reports that it is cold
    :param is_adaptive: whether the limit grows and shrinks with measured answers; otherwise it
        follows ``curve``
    :param curve: how the server's answers slow down with its load
    """

    slots: int = MAX_SLOTS
    limit: int = INITIAL_LIMIT
    is_reported_cold: bool = False
    is_adaptive: bool = True
    curve: LoadCurve = attrs.field(factory=LoadCurve)
    _first_seconds_by_class: dict[str, float] = attrs.field(factory=dict)
    _average_seconds_by_class: dict[str, float] = attrs.field(factory=dict)
    _window: list[float] = attrs.field(factory=list)
    _at_limit_count: int = 0
    _window_count: int = 0
    _previous_median: float | None = None
    _consecutive_bad: int = 0
    _proven_limit: int = INITIAL_LIMIT

    def reset(self) -> None:
        """Discard all measurements and return to the initial limit."""
        self.limit = INITIAL_LIMIT if self.is_adaptive else self.slots
        self.curve.reset(self.slots)
        self._proven_limit = INITIAL_LIMIT
        self._window_count = 0
        self._consecutive_bad = 0
        self._previous_median = None
        self._first_seconds_by_class.clear()
        self._average_seconds_by_class.clear()
        self._start_window()

    def set_slots(self, slots: int) -> None:
        """Apply the announced number of slots, between 1 and ``MAX_SLOTS``."""
        self.slots = max(1, min(slots, MAX_SLOTS))
        if self.slots != self.curve.slots:
            self.curve.reset(self.slots)
        self.limit = min(self.limit, self.slots) if self.is_adaptive else self.curve.limit
        self._proven_limit = min(self._proven_limit, self.slots)

    def record_answer(self, class_name: str, seconds: float, was_at_limit: bool) -> bool:
        """Update the limit after a successful answer.

        :param seconds: time from admission to the end of the answer
        :param was_at_limit: whether the limit was reached when the call was admitted
        :return: whether the limit was lowered
        """
        if not self.is_adaptive:
            return False
        if len(self._first_seconds_by_class) >= MAX_CLASSES:
            self.reset()
        first = self._first_seconds_by_class.setdefault(class_name, seconds)
        average = self._average_seconds_by_class.setdefault(class_name, seconds)
        if seconds > SLOW_RATIO * average + SLOW_MARGIN_SECONDS:
            return self._record_bad(self.limit // 2)
        self._average_seconds_by_class[class_name] += (seconds - average) / WINDOW_ANSWERS
        self._consecutive_bad = 0
        if self.limit < self._proven_limit:
            self.limit += 1
            return False
        self._window.append(seconds / max(first, 1e-6))
        self._at_limit_count += was_at_limit
        if len(self._window) >= WINDOW_ANSWERS:
            self._end_window()
        return False

    def record_level(self, level: int, ratio: float, now: float) -> None:
        """Update the load curve, if the limit follows it; see ``LoadCurve.record``."""
        if not self.is_adaptive:
            self.curve.record(level, ratio, now)
            self.limit = self.curve.limit

    def record_failure(self) -> bool:
        """Update the limit after a failed call.

        :return: whether the limit was lowered
        """
        is_lowered = self.is_adaptive and self._record_bad(INITIAL_LIMIT)
        if is_lowered:
            self.reset()
        return is_lowered

    def _record_bad(self, lower_limit: int) -> bool:
        self._consecutive_bad += 1
        if self._consecutive_bad < CONSECUTIVE_BAD_TO_LOWER or self.limit == INITIAL_LIMIT:
            return False
        self.limit = max(lower_limit, INITIAL_LIMIT)
        self._consecutive_bad = 0
        self._start_window()
        return True

    def _end_window(self) -> None:
        """Double the limit if the window shows steady answer times at the present limit."""
        current = median(self._window)
        previous = self._previous_median
        self._previous_median = current
        self._window_count += 1
        is_steady = previous is not None and current >= WARMING_RATIO * previous
        is_increase_due = (
            not self.is_reported_cold or self._window_count % COLD_WINDOWS_PER_INCREASE == 0
        )
        was_limit_reached = self._at_limit_count * 2 >= len(self._window)
        if is_steady and is_increase_due and was_limit_reached:
            self.limit = self._proven_limit = min(self.limit * 2, self.slots)
        self._start_window()

    def _start_window(self) -> None:
        self._window.clear()
        self._at_limit_count = 0
