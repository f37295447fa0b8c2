"""Token buckets that limit measurement traffic, retries and hedges.

A token bucket that refills at rate r and holds c tokens lets through at most c + r in any second.
A budget of b per second therefore uses c = r = b / 2, so that it holds in every one-second window
and not only on average.
"""

from collections.abc import Callable
from typing import Final

import attrs

RETRY_SHARE: Final = 0.1
HEDGE_SHARE: Final = 0.05
RETRY_CAPACITY: Final = 10.0
HEDGE_CAPACITY: Final = 10.0
"""Covers the calls that reach a hanging server before a daemon notices: about one for each slot."""


@attrs.define
class WindowBudget:
    """A limit on the amount that is spent in any one-second window.

    :param per_second: returns the amount that is currently allowed in a second
    :param now: returns the monotonic time in seconds
    :param spent: the total amount spent so far
    """

    per_second: Callable[[], float]
    now: Callable[[], float]
    spent: float = 0.0
    _tokens: float = 0.0
    _refilled_at: float = float("-inf")

    def take(self, amount: float) -> bool:
        """Spend an amount if the budget allows it now.

        :return: whether the amount was spent
        """
        half = self.per_second() / 2
        now = self.now()
        if self._refilled_at == float("-inf"):
            self._tokens = half
        else:
            self._tokens = min(half, self._tokens + half * (now - self._refilled_at))
        self._refilled_at = now
        if amount > self._tokens:
            return False
        self._tokens -= amount
        self.spent += amount
        return True


@attrs.define
class ShareBudget:
    """A token bucket that each call refills by a share, and from which a retry or hedge takes one.

    In an outage the attempts of a daemon are at most ``1 + share`` times its calls, plus the
    capacity of the bucket.

    :param share: tokens that each call adds
    :param capacity: most tokens that the bucket holds; it starts full
    """

    share: float
    capacity: float = RETRY_CAPACITY
    tokens: float = attrs.field(default=attrs.Factory(lambda self: self.capacity, takes_self=True))

    def record_call(self) -> None:
        """Add the share of one call."""
        self.tokens = min(self.capacity, self.tokens + self.share)

    def take(self) -> bool:
        """Take one token.

        :return: whether a token was left
        """
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
