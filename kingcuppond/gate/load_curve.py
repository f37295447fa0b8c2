"""How many calls a server runs best at once, from how its answers slow down with its load.

The load pattern is a server that becomes slow when it is nearly full: it then answers fewer calls a
second with all slots in use than with some of them free, and each of them later.  The curve holds
the mean answer time at each level, the number of calls in flight when a call started.  If fewer
calls at once than slots give about as many answers a second, and sooner, the gate keeps to them.

What changes all answers at once, such as a slow service that they all call, is not the load of this
server.  Each answer time is therefore compared with those just before it.  Levels that are no
longer used are forgotten after some time, and so are tried again.  A server that has been full ever
since it is known shows nothing about a lower level, so one is tried, by turns with all slots.
"""

import math
from typing import Final

import attrs

DECAY_SECONDS: Final = 40.0
"""Time in which the weight of an answer falls to about a third."""

MIN_ANSWERS: Final = 25.0
"""Least weight of the answers on each side of a comparison."""

MIN_THROUGHPUT: Final = 0.9
"""Answers a second that a lower limit must give, relative to all slots: nearly as many, sooner."""

MIN_SLOWDOWN: Final = 1.3
"""Least answer time above a lower limit, relative to that at it."""

MIN_SHARE_OF_SLOTS: Final = 0.5
TRIED_SHARE_OF_SLOTS: Final = 0.7
ANSWERS_PER_TURN: Final = 10
"""Length of a turn of a try; both sides of it are within the mean of the answers just before."""

RECENT_WEIGHT: Final = 0.05
"""Weight of an answer in the mean of those just before; about twenty of them count."""

MAX_RATIO: Final = 4.0
"""Upper bound of a single answer time, whose machine may have been slow at the start."""


@attrs.define
class _Level:
    """The answers to calls that started at one level.

    :param weight: their number, older ones counted less
    :param total: sum of their answer times, relative to those just before, with the same weights
    """

    weight: float = 0.0
    total: float = 0.0

    @property
    def mean(self) -> float | None:
        """The mean answer time, or ``None`` if too few answers are known."""
        return self.total / self.weight if self.weight >= MIN_ANSWERS else None

    def add(self, other: "_Level") -> None:
        """Add the answers of another level."""
        self.weight += other.weight
        self.total += other.total


@attrs.define
class LoadCurve:
    """The answer times of one server by level.

    :param limit: how many calls the server runs best at once, as of the last answer
    """

    slots: int = 1
    limit: int = 1
    _levels: dict[int, _Level] = attrs.field(factory=dict)
    _recent_ratio: float = 0.0
    _answers: int = 0
    _recorded_at: float = -math.inf

    def reset(self, slots: int) -> None:
        """Forget all answers, of a server that was replaced."""
        self.slots = self.limit = slots
        self._levels.clear()
        self._recent_ratio = 0.0

    def record(self, level: int, ratio: float, now: float) -> None:
        """Record an answer and update the limit.

        :param level: calls in flight when the call started, including it
        :param ratio: answer time, relative to the typical one of its class at the machine's speed
        :param now: monotonic time in seconds
        """
        ratio = min(ratio, MAX_RATIO)
        if self._recent_ratio == 0.0:
            self._recent_ratio = ratio
        self._answers += 1
        decay = math.exp((self._recorded_at - now) / DECAY_SECONDS)
        self._recorded_at = now
        for known in self._levels.values():
            known.weight *= decay
            known.total *= decay
        answers = self._levels.setdefault(min(level, self.slots), _Level())
        answers.weight += 1.0
        answers.total += ratio / self._recent_ratio
        self._recent_ratio += RECENT_WEIGHT * (ratio - self._recent_ratio)
        self.limit = self._find_limit()

    def _find_limit(self) -> int:
        trial_limit = max(1, int(self.slots * TRIED_SHARE_OF_SLOTS))
        if self._is_trial_due(trial_limit):
            return trial_limit if self._answers // ANSWERS_PER_TURN % 2 else self.slots
        lowest_limit = math.ceil(self.slots * MIN_SHARE_OF_SLOTS)
        best_limit, best_throughput = self.slots, MIN_THROUGHPUT
        above = _Level()
        for limit in sorted(self._levels, reverse=True):
            if limit < lowest_limit:
                break
            at_limit = self._levels[limit]
            if limit < self.slots and at_limit.mean is not None and above.mean is not None:
                slowdown = above.mean / at_limit.mean
                throughput = slowdown * limit / self.slots
                if slowdown >= MIN_SLOWDOWN and throughput > best_throughput:
                    best_limit, best_throughput = limit, throughput
            above.add(at_limit)
        return best_limit

    def _is_trial_due(self, trial_limit: int) -> bool:
        """Return whether only answers from above a limit are known, so that it must be tried."""
        above = _Level()
        for level, answers in self._levels.items():
            if level > trial_limit:
                above.add(answers)
        at_limit = self._levels.get(trial_limit, _Level())
        return at_limit.mean is None and above.mean is not None
