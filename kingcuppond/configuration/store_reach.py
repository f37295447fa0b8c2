"""Whether the store answers this daemon's watches, and how long to wait after a failure."""

from collections.abc import Callable
from typing import Final

import attrs

INITIAL_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 2.0
LOST_AFTER_SECONDS: Final = 1.5
"""Several attempts have failed by then, so that neither a lost answer nor a short outage of the
store adds calls; a change has some seconds to arrive in such a time."""


@attrs.define
class StoreReach:
    """The kinds of objects whose listings and watches fail, and since when.

    :param now: the monotonic clock, in seconds
    """

    now: Callable[[], float]
    _failing_since_by_kind: dict[str, float] = attrs.field(factory=dict)

    def record_failure(self, kind: str) -> None:
        """Record that a listing or a watch has failed."""
        self._failing_since_by_kind.setdefault(kind, self.now())

    def forget_failure(self, kind: str) -> None:
        """Record that a call was answered, or that the kind isn't watched any more."""
        self._failing_since_by_kind.pop(kind, None)

    def is_lost(self) -> bool:
        """Return whether a kind has been failing for some time."""
        since = min(self._failing_since_by_kind.values(), default=self.now())
        return self.now() - since > LOST_AFTER_SECONDS
