"""Whether the store answers this daemon's watches."""

from collections.abc import Callable
from typing import Final

import attrs

LOST_AFTER_SECONDS: Final = 0.5
"""Several attempts have failed by then, so that a single lost answer does not move the role."""


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
