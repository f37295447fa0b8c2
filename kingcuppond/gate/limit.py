"""How many calls the server may run at once, learnt from evidence.

A server that has just appeared, or says that it is cold, gets one call at a time.  The limit grows
by one after a full round of answers at the present limit, as long as they are not much slower than
the best known for their class; so it doubles no faster than the server proves that it can bear
it.  It falls to one at once when several answers in a row are far slower than the best known or
fail: a warm server can turn cold without a word.  What the server says of itself can lower the
limit and never raise it above what was proved.
"""

from typing import Final

import attrs

MAX_SLOTS: Final = 1024
COLD_LIMIT: Final = 1
GROWTH_RATIO: Final = 2.0
COLD_RATIO: Final = 5.0
COLD_MARGIN_SECONDS: Final = 0.020
BAD_IN_A_ROW: Final = 4
LATENCY_WEIGHT: Final = 0.2
BEST_RISE_WEIGHT: Final = 0.01
ERROR_WEIGHT: Final = 0.2
MAX_CLASSES: Final = 1000


@attrs.define
class ConcurrencyLimit:
    """The limit of one server, and what it was learnt from.

    :param slots: how many calls the server says that it runs at once
    """

    slots: int = MAX_SLOTS
    limit: int = COLD_LIMIT
    latency: float = 0.0
    error_rate: float = 0.0
    _best_by_class: dict[str, float] = attrs.field(factory=dict)
    _good: int = 0
    _bad: int = 0

    @property
    def is_cold(self) -> bool:
        """Whether the limit is still below what the server says that it has."""
        return self.limit < self.slots

    def reset(self, why_slots: int | None = None) -> None:
        """Start again from almost nothing.

        :param why_slots: the number of slots that the server announced, if it did
        """
        if why_slots is not None:
            self.slots = max(1, min(why_slots, MAX_SLOTS))
        self.limit = COLD_LIMIT
        self._good = 0
        self._bad = 0

    def set_slots(self, slots: int) -> None:
        """Take the number of slots that the server announces."""
        self.slots = max(1, min(slots, MAX_SLOTS))
        self.limit = min(self.limit, self.slots)

    def answered(self, class_name: str, seconds: float, was_full: bool) -> bool:
        """Take a good answer as evidence.

        :param seconds: from the moment the server got the call
        :param was_full: whether the limit was reached while the call ran
        :return: whether the server is now taken for cold again
        """
        self.error_rate -= ERROR_WEIGHT * self.error_rate
        self.latency += LATENCY_WEIGHT * (seconds - self.latency)
        best = self._learn_best(class_name, seconds)
        if seconds > COLD_RATIO * best + COLD_MARGIN_SECONDS:
            return self._note_bad()
        self._bad = 0
        if was_full and seconds <= GROWTH_RATIO * best + COLD_MARGIN_SECONDS:
            self._good += 1
            if self._good >= self.limit and self.limit < self.slots:
                self.limit += 1
                self._good = 0
        return False

    def failed(self) -> bool:
        """Take a failed call as evidence.

        :return: whether the server is now taken for cold again
        """
        self.error_rate += ERROR_WEIGHT * (1.0 - self.error_rate)
        return self._note_bad()

    def _note_bad(self) -> bool:
        self._bad += 1
        if self._bad < BAD_IN_A_ROW or self.limit == COLD_LIMIT:
            return False
        self.reset()
        return True

    def _learn_best(self, class_name: str, seconds: float) -> float:
        best = self._best_by_class.get(class_name)
        if best is None:
            if len(self._best_by_class) >= MAX_CLASSES:
                self._best_by_class.clear()
            best = seconds
        elif seconds < best:
            best = (best + seconds) / 2
        else:
            best += BEST_RISE_WEIGHT * (min(seconds, COLD_RATIO * best) - best)
        self._best_by_class[class_name] = best
        return best
