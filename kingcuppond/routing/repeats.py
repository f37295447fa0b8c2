"""Whether a call may be sent again, or to a second server while the first has not answered.

The load patterns are servers that shed most calls, many servers that become slow at once, and
callers that retry at once and often.  Each repeat adds load when there is already too much, so all
repeats of a service, retries and hedges alike, draw on one budget for the whole fleet.  The daemons
share it without messages: each may spend a share of its own calls, and an equal part of a fixed
allowance.  A part of less than one token is spent by chance, so that the fleet as a whole spends
its allowance whatever its size.

A repeat of a call that may have run is limited further, since the calls that it makes itself count
as repeats at the services that it calls.
"""

import math
from random import Random
from typing import Final

import attrs

ALLOWANCE_SHARE: Final = 0.5
"""Share of the fleet's allowance that is handed out: nested calls of repeats take their part, and
the number of members is not exact."""

REPEAT_SHARE: Final = 0.1
"""Repeats for each call; with ``RERUN_SHARE`` for the nested calls of repeats, and ``SAVED_SHARE``,
they stay within the 0.2 that the platform allows."""

RERUN_SHARE: Final = 0.05
"""Repeats of calls that may have run, for each call."""

RERUN_PART_OF_CAPACITY: Final = 0.3
"""Part of what may be saved up that calls which may have run can use."""

SAVED_SHARE: Final = 0.04
"""Repeats that may be saved up, for each recent call."""

RECENT_SECONDS: Final = 10.0
"""The platform's window for repeats."""


@attrs.define
class TokenShare:
    """A token bucket that each call refills by a share.

    In an outage the repeats of a daemon are on average at most ``share`` times its calls, plus the
    capacity of the bucket.

    :param share: tokens that each call adds
    :param tokens: the tokens left
    """

    share: float
    tokens: float = 0.0

    def record_call(self, capacity: float) -> None:
        """Add the share of one call.

        :param capacity: most tokens that the bucket holds
        """
        self.tokens = min(max(capacity, self.share), self.tokens + self.share)

    def take(self, rng: Random) -> bool:
        """Take one token, or what is left of it.

        :return: whether a whole token was left; for a part, true with a probability equal to it
        """
        taken = min(1.0, self.tokens)
        self.tokens -= taken
        return taken >= 1.0 or rng.random() < taken


@attrs.define
class RepeatBudget:
    """This daemon's part of a service's budget for repeats.

    :param recent_calls: this daemon's calls of the service within about ``RECENT_SECONDS``
    :param last_call_at: monotonic time in seconds
    """

    repeats: TokenShare
    reruns: TokenShare
    recent_calls: float = 0.0
    last_call_at: float = -math.inf

    def record_call(self, allowance: float, now: float) -> None:
        """Add the share of one call.

        :param allowance: this daemon's part of the fleet's allowance, in tokens
        :param now: monotonic time in seconds
        """
        self.recent_calls *= math.exp((self.last_call_at - now) / RECENT_SECONDS)
        self.recent_calls += 1.0
        self.last_call_at = now
        capacity = allowance + SAVED_SHARE * self.recent_calls
        self.repeats.record_call(capacity)
        self.reruns.record_call(capacity * RERUN_PART_OF_CAPACITY)

    def take(self, may_have_run: bool, rng: Random) -> bool:
        """Take what one repeat costs.

        :param may_have_run: whether a server may have run the call already, or still runs it
        :return: whether the call may be repeated
        """
        if may_have_run and not self.reruns.take(rng):
            return False
        return self.repeats.take(rng)

    def give_back(self) -> None:
        """Return what a repeat took that no server has received.

        A whole token is exact also where a part was taken: that was granted with the probability of
        the part.  What exceeds the capacity is lost with the next call.
        """
        self.repeats.tokens += 1.0


def allowance_of_daemon(fleet_allowance: float, members: int) -> float:
    """Return a daemon's part of the fleet's allowance, in tokens.

    :param members: number of members, with the dead ones: to a daemon that is cut off, all others
        look dead, and its part must not grow for that
    """
    return fleet_allowance * ALLOWANCE_SHARE / members


def make_repeat_budget(allowance: float, is_full: bool) -> RepeatBudget:
    """Make the budget of one service.

    :param allowance: this daemon's part of the fleet's allowance, in tokens
    :param is_full: whether the allowance is unspent; an earlier process of a restarted daemon may
        just have spent it
    """
    tokens = allowance if is_full else 0.0
    return RepeatBudget(
        TokenShare(REPEAT_SHARE, tokens), TokenShare(RERUN_SHARE, tokens * RERUN_PART_OF_CAPACITY)
    )
