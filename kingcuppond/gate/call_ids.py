"""Remembers the ids of recent calls, so that a duplicate or replayed message runs no call again."""

from collections.abc import Callable
from typing import Final

import attrs

CALL_ID_RETENTION_SECONDS: Final = 60.0
"""Longer than any call may take, so that a duplicate message is still recognised."""

MAX_CALL_IDS: Final = 50_000


@attrs.define
class RecentCallIds:
    """The ids of the calls that a gate received lately, the oldest first.

    :param now: monotonic clock, in seconds
    """

    now: Callable[[], float]
    _seen_at_by_call_id: dict[str, float] = attrs.field(factory=dict)

    def remember(self, call_id: str) -> bool:
        """Remember the id of a call, and return whether it is new."""
        now = self.now()
        if call_id in self._seen_at_by_call_id:
            return False
        self._seen_at_by_call_id[call_id] = now
        while (
            len(self._seen_at_by_call_id) > MAX_CALL_IDS
            or self._oldest_seen_at() < now - CALL_ID_RETENTION_SECONDS
        ):
            self._seen_at_by_call_id.pop(next(iter(self._seen_at_by_call_id)))
        return True

    def _oldest_seen_at(self) -> float:
        return next(iter(self._seen_at_by_call_id.values()))
