"""How many calls may start in a second at a server that is cold.

A cold server bears a rate that the configuration names, and falls over well above it.  All calls to
it pass this gate, so the window of starts here is exact.  Two things are not known at first: what
an earlier process of this daemon sent in the last second, so that a new one takes the window for
full; and whether a server that was kept idle has become cold, which holds until it was asked.
"""

from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

WINDOW_SECONDS: Final = 1.0

MARGIN_SECONDS: Final = 0.05
"""Calls are counted where they arrive; so much later than here they may arrive there."""

LEAST_PER_SECOND: Final = 1.0


@attrs.define
class ColdPace:
    """The starts of the last second, and whether they are bounded.

    :param per_second: returns how many calls a second a cold server bears, ``None`` if unknown
    :param now: monotonic clock
    """

    per_second: Callable[[], float | None]
    now: Callable[[], float]
    is_uncertain: bool = False
    _cold_until: float = 0.0
    _blocked_until: float = 0.0
    _starts: deque[float] = attrs.field(factory=deque)

    @property
    def is_cold(self) -> bool:
        """Whether the rate is bounded now."""
        return self.is_uncertain or self.now() < self._cold_until

    def hear(self, cold_ms: int) -> None:
        """Take how much longer the server says that it is cold."""
        self.is_uncertain = False
        self._cold_until = self.now() + cold_ms / 1000

    def assume_full(self) -> None:
        """Take the window for full, since its past is not known."""
        self._blocked_until = self.now() + WINDOW_SECONDS + MARGIN_SECONDS

    def may_start(self) -> bool:
        """Tell whether a call may start now."""
        per_second = self.per_second()
        if per_second is None or not self.is_cold:
            return True
        now = self.now()
        if now < self._blocked_until:
            return False
        self._forget(now)
        return len(self._starts) < max(per_second, LEAST_PER_SECOND)

    def start(self) -> None:
        """Count a call that starts; also while warm, since the server may turn cold in between."""
        now = self.now()
        self._forget(now)
        self._starts.append(now)

    def _forget(self, now: float) -> None:
        while self._starts and self._starts[0] < now - WINDOW_SECONDS - MARGIN_SECONDS:
            self._starts.popleft()
