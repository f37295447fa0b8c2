"""How long ago a caller first sent a request that it sends again after a refusal.

The load pattern is an overload: callers that were refused return, and most of what arrives has
spent its target already, but looks as urgent as new requests do.  If it is served first, all
answers are late.  Callers state the time that is left until their deadline, and those of one class
start with the same time.  So a request that has less time left than the longest stated lately is
one that returns.
"""

from typing import Final

import attrs

WINDOW_SECONDS: Final = 10.0
"""The longest deadline is that of the current window and the one before."""

MIN_SECONDS: Final = 0.02
"""A request sent a moment after its deadline was set is not one that returns."""


@attrs.define
class FirstRequests:
    """The longest time left that requests of each class have stated lately, in seconds."""

    _longest: dict[str, float] = attrs.field(factory=dict)
    _longest_before: dict[str, float] = attrs.field(factory=dict)
    _window_ends: float = 0.0

    def seconds_since(self, class_name: str, left_seconds: float, now: float) -> float:
        """Return how long ago the caller first sent the request.

        :param left_seconds: time until the deadline that the request states
        :param now: monotonic time in seconds
        """
        if now >= self._window_ends:
            is_recent = now < self._window_ends + WINDOW_SECONDS
            self._longest_before = self._longest if is_recent else {}
            self._longest = {}
            self._window_ends = now + WINDOW_SECONDS
        longest = max(self._longest.get(class_name, 0.0), left_seconds)
        self._longest[class_name] = longest
        since = max(longest, self._longest_before.get(class_name, 0.0)) - left_seconds
        return since if since >= MIN_SECONDS else 0.0
