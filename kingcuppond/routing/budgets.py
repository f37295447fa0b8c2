"""The budget that limits measurement traffic.

A token bucket that refills at rate r and holds c tokens lets through at most c + r in any second.
A budget of b per second therefore uses c = r = b / 2, so that it holds in every one-second window
and not only on average.
"""

from collections.abc import Callable

import attrs


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
