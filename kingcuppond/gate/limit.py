"""How many calls the server may run at once, learnt from evidence.

A server that has just appeared gets one call at a time.  The limit doubles after a window of
answers that used the present limit, unless the server is still warming up: its typical answer of
this window is clearly faster than that of the window before, or it says itself that it is cold and
the evidence is not yet long.  Several slow answers in a row halve the limit, since a warm server
can turn cold without a word; answers at the usual speed raise it again, one by one, to what was
proved before, so that a short stall does not cost capacity for long.  Several failures in a row
set it back to one, and nothing counts as proved any more.  What the server says of itself can
lower the limit and never raise it above what was proved.

Answers of different classes take different times, so each is measured against the first one of its
class.

Where servers tell themselves for how long they are cold, and their machines change their speed many
times a second, nothing is learnt: the limit is the number of slots, and the rate of a cold server
is bounded by ``kingcuppond.gate.pace``.
"""

from statistics import median
from typing import Final

import attrs

MAX_SLOTS: Final = 1024
COLD_LIMIT: Final = 1
WINDOW_ANSWERS: Final = 32
COLD_WINDOWS: Final = 4
WARMING_RATIO: Final = 0.8
SLOW_RATIO: Final = 5.0
SLOW_MARGIN_SECONDS: Final = 0.050
BAD_IN_A_ROW: Final = 4
MAX_CLASSES: Final = 1000


@attrs.define
class ConcurrencyLimit:
    """The limit of one server, and what it was learnt from.

    :param slots: how many calls the server says that it runs at once
    :param is_said_cold: whether the server says that it is cold
    :param is_learning: whether the limit is learnt from evidence, and is not the number of slots
    """

    slots: int = MAX_SLOTS
    limit: int = COLD_LIMIT
    is_said_cold: bool = False
    is_learning: bool = True
    _first_by_class: dict[str, float] = attrs.field(factory=dict)
    _typical_by_class: dict[str, float] = attrs.field(factory=dict)
    _window: list[float] = attrs.field(factory=list)
    _full: int = 0
    _windows: int = 0
    _median_before: float | None = None
    _bad: int = 0
    _proved: int = COLD_LIMIT

    def reset(self) -> None:
        """Start again from almost nothing."""
        self.limit = COLD_LIMIT if self.is_learning else self.slots
        self._proved = COLD_LIMIT
        self._windows = 0
        self._bad = 0
        self._median_before = None
        self._first_by_class.clear()
        self._typical_by_class.clear()
        self._start_window()

    def set_slots(self, slots: int) -> None:
        """Take the number of slots that the server announces."""
        self.slots = max(1, min(slots, MAX_SLOTS))
        self.limit = min(self.limit, self.slots) if self.is_learning else self.slots
        self._proved = min(self._proved, self.slots)

    def answered(self, class_name: str, seconds: float, was_full: bool) -> bool:
        """Take a good answer as evidence.

        :param seconds: from the moment the server got the call
        :param was_full: whether the limit was reached while the call ran
        :return: whether the limit was lowered
        """
        if not self.is_learning:
            return False
        if len(self._first_by_class) >= MAX_CLASSES:
            self.reset()
        first = self._first_by_class.setdefault(class_name, seconds)
        typical = self._typical_by_class.setdefault(class_name, seconds)
        if seconds > SLOW_RATIO * typical + SLOW_MARGIN_SECONDS:
            return self._note_bad(self.limit // 2)
        self._typical_by_class[class_name] += (seconds - typical) / WINDOW_ANSWERS
        self._bad = 0
        if self.limit < self._proved:
            self.limit += 1
            return False
        self._window.append(seconds / max(first, 1e-6))
        self._full += was_full
        if len(self._window) >= WINDOW_ANSWERS:
            self._end_window()
        return False

    def failed(self) -> bool:
        """Take a failed call as evidence.

        :return: whether the limit was lowered
        """
        is_lowered = self.is_learning and self._note_bad(COLD_LIMIT)
        if is_lowered:
            self.reset()
        return is_lowered

    def _note_bad(self, lower: int) -> bool:
        self._bad += 1
        if self._bad < BAD_IN_A_ROW or self.limit == COLD_LIMIT:
            return False
        self.limit = max(lower, COLD_LIMIT)
        self._bad = 0
        self._start_window()
        return True

    def _end_window(self) -> None:
        """Decide after a window of good answers whether the server proved that it bears more."""
        now = median(self._window)
        before = self._median_before
        self._median_before = now
        self._windows += 1
        is_steady = before is not None and now >= WARMING_RATIO * before
        is_long = not self.is_said_cold or self._windows % COLD_WINDOWS == 0
        was_used = self._full * 2 >= len(self._window)
        if is_steady and is_long and was_used:
            self.limit = self._proved = min(self.limit * 2, self.slots)
        self._start_window()

    def _start_window(self) -> None:
        self._window.clear()
        self._full = 0
