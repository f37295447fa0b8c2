"""Rate limit for calls that start at a cold server.

A cold server handles calls at the configured rate and fails at a much higher one.  All calls to the
server pass this gate, so the sliding window of starts here is exact.  Two things are unknown at
first.  A new process does not know what an earlier process of this daemon sent in the last second
before its own start, so it assumes that the window was full then.  A server that was kept idle may
have become cold, so it is assumed to be until it has been queried.

A server may also become cold while it is busy, and its answers to calls don't say so.  Its health
is therefore queried again before more calls have started than a cold server handles in a second.
Queries are at least ``MIN_CHECK_INTERVAL_SECONDS`` apart, whatever the load, so that they cost a
busy server no more than the reports of its load cost a server with few calls.
"""

from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

WINDOW_SECONDS: Final = 1.0

ARRIVAL_MARGIN_SECONDS: Final = 0.05
"""The server counts a call when it arrives there, up to this much later than it starts here."""

MIN_CALLS_PER_SECOND: Final = 1.0

DUE_SHARE: Final = 0.5
"""A check is due after this share of the calls that a cold server handles in a second.

The rest may start while its health is being queried.
"""

MIN_CHECK_INTERVAL_SECONDS: Final = 0.03
"""About 33 queries a second at most; the users' platform allows 60 for each server."""


@attrs.define
class ColdRateLimiter:
    """Sliding window of the calls that started, and whether their rate is limited.

    :param per_second: returns the calls a second that a cold server handles, ``None`` if unknown
    :param now: monotonic clock
    """

    per_second: Callable[[], float | None]
    now: Callable[[], float]
    is_assumed_cold: bool = False
    _unchecked_starts: int = 0
    _checked_at: float = float("-inf")
    _cold_until: float = 0.0
    _blocked_until: float = 0.0
    _starts: deque[float] = attrs.field(factory=deque)

    @property
    def is_cold(self) -> bool:
        """Whether the server is cold, or is assumed to be, so that the rate is limited."""
        return self.is_assumed_cold or self.now() < self._cold_until

    @property
    def is_check_due(self) -> bool:
        """Whether the server's health is to be queried, while calls go on starting."""
        return self._has_unchecked_starts(DUE_SHARE)

    @property
    def is_check_overdue(self) -> bool:
        """Whether calls must wait for the query, as too many have started since the last one."""
        return self._has_unchecked_starts(1.0)

    def record_check(self) -> None:
        """Restart the count when a check begins.

        One that fails counts too: no call waits for another check right after it.
        """
        self._unchecked_starts = 0
        self._checked_at = self.now()

    def set_cold_ms(self, cold_ms: int) -> None:
        """Store for how many more milliseconds the server reports to be cold.

        The report replaces the assumption that the server is cold.
        """
        self.is_assumed_cold = False
        self._cold_until = self.now() + cold_ms / 1000

    def assume_window_full(self, since: float | None = None) -> None:
        """Allow no start at a cold server for one window, since earlier starts are unknown.

        :param since: monotonic time after which there were certainly none; now by default
        """
        begin = self.now() if since is None else since
        self._blocked_until = begin + WINDOW_SECONDS + ARRIVAL_MARGIN_SECONDS

    def may_start(self) -> bool:
        """Return whether a call may start now."""
        per_second = self.per_second()
        if per_second is None or not self.is_cold:
            return True
        now = self.now()
        if now < self._blocked_until:
            return False
        self._drop_expired(now)
        return len(self._starts) < max(per_second, MIN_CALLS_PER_SECOND)

    def record_start(self) -> None:
        """Count a call that starts, also while the server is warm, since it may turn cold later."""
        now = self.now()
        self._drop_expired(now)
        self._starts.append(now)
        self._unchecked_starts += 1

    def _has_unchecked_starts(self, share: float) -> bool:
        """Return whether this share of a cold server's rate has started since the last check."""
        per_second = self.per_second()
        if per_second is None or self.now() - self._checked_at < MIN_CHECK_INTERVAL_SECONDS:
            return False
        return self._unchecked_starts >= max(per_second, MIN_CALLS_PER_SECOND) * share

    def _drop_expired(self, now: float) -> None:
        while self._starts and self._starts[0] < now - WINDOW_SECONDS - ARRIVAL_MARGIN_SECONDS:
            self._starts.popleft()
