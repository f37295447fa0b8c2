"""Budgets: what may be spent on measuring, on retries and on hedges.

A token bucket that refills at rate r and holds c tokens lets through at most c + r in any second.
A budget "per second" b is therefore kept with c = r = b / 2, so that it holds in every one-second
window and not only on average.
"""

from collections.abc import Callable
from typing import Final

import attrs

RETRY_SHARE: Final = 0.1
HEDGE_SHARE: Final = 0.05
RETRY_RESERVE: Final = 10.0
HEDGE_RESERVE: Final = 10.0
"""Calls that met a server which hangs before a daemon knew of it; one for each slot or so."""


@attrs.define
class WindowBudget:
    """An amount that no one-second window may exceed.

    :param per_second: returns the amount allowed now
    """

    per_second: Callable[[], float]
    now: Callable[[], float]
    spent: float = 0.0
    _tokens: float = 0.0
    _filled_at: float = float("-inf")

    def take(self, amount: float) -> bool:
        """Spend an amount if the budget allows it now."""
        half = self.per_second() / 2
        now = self.now()
        if self._filled_at == float("-inf"):
            self._tokens = half
        else:
            self._tokens = min(half, self._tokens + half * (now - self._filled_at))
        self._filled_at = now
        if amount > self._tokens:
            return False
        self._tokens -= amount
        self.spent += amount
        return True


@attrs.define
class ShareBudget:
    """A share of the calls: each call adds to it, each retry or hedge takes one.

    In an outage the attempts of a daemon are at most ``1 + share`` times its calls, and a small
    reserve.
    """

    share: float
    reserve: float = RETRY_RESERVE
    tokens: float = attrs.field(default=attrs.Factory(lambda self: self.reserve, takes_self=True))

    def earn(self) -> None:
        """Count a call."""
        self.tokens = min(self.reserve, self.tokens + self.share)

    def take(self) -> bool:
        """Spend one retry, if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
