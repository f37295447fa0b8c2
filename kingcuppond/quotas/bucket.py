"""A token bucket for all requests of an organisation, which may go into debt.

The load is organisations that send several times their quota, at all daemons at once.  Requests are
counted after they were admitted, so a surge takes more than the bucket holds; the excess is a debt
that is paid back before more is admitted.
"""

from math import sqrt
from typing import Final

import attrs

CAPACITY_PART: Final = 0.25
"""Part of the tolerance of the window by which the bucket is larger than the burst.

Demand just below the rate would otherwise be refused for its randomness.
"""

PARTITION_PART: Final = 0.15
"""Part of the tolerance that parts of a divided fleet may use in addition to their shares.

The rest is for what is admitted before a surge has been noticed.
"""

NOISE_DEVIATIONS: Final = 2.0
"""Standard deviations of a second's requests that are not taken for excess without a debt."""

OVERLAP_SECONDS: Final = 1.0
"""Time for which others may still use the part of a daemon that its coordinator does not answer.

The coordinator may be alive on the other side of a partition, and takes a while to notice it.
"""


@attrs.frozen
class QuotaBound:
    """How many requests of an organisation may run in any window.

    :param over: part of the quota that may run in addition
    :param slack: requests that may run in addition
    """

    window_seconds: float = 5.0
    over: float = 0.1
    slack: float = 20.0

    def tolerance(self, rate: float, burst: float) -> float:
        """Return how many requests beyond the quota may run in a window."""
        return self.over * (self.window_seconds * rate + burst) + self.slack

    def most(self, rate: float, burst: float) -> float:
        """Return how many requests may run in a window."""
        return self.window_seconds * rate + burst + self.tolerance(rate, burst)


@attrs.frozen
class Limits:
    """The parameters of a bucket.

    :param rate: tokens per second
    :param capacity: the most tokens that it holds
    :param noise: requests per second above the rate that may be chance
    """

    rate: float
    capacity: float
    noise: float = 0.0


def fleet_limits(rate: float, burst: float, bound: QuotaBound, living: int, known: int) -> Limits:
    """Return the limits for the part of the fleet that this daemon sees.

    The rates of all parts of a divided fleet add up to no more than ``rate`` and the tolerance
    allow, and so do their capacities, whatever the partition: only one part can hold more than half
    of the known members.

    :param living: members that this daemon considers reachable
    :param known: all members that it knows, dead ones included
    """
    tolerance = bound.tolerance(rate, burst)
    capacity = burst + CAPACITY_PART * tolerance
    noise = NOISE_DEVIATIONS * sqrt(rate)
    if living >= known:
        return Limits(rate, capacity, noise)
    share = living / known
    part = share
    if share > 0.5:
        part = min(1.0, share + PARTITION_PART * tolerance / (bound.window_seconds * rate))
    return Limits(rate * part, capacity * share, noise * share)


def local_limits(rate: float, burst: float, bound: QuotaBound, known: int) -> Limits:
    """Return the limits of a daemon that no coordinator answers."""
    capacity = burst + CAPACITY_PART * bound.tolerance(rate, burst)
    return Limits(rate / known, capacity / known)


def first_local_level(unacked: int, limits: Limits) -> float:
    """Return the level of a local bucket when the coordinator falls silent.

    :param unacked: admitted requests that no coordinator knows of
    """
    return -unacked - OVERLAP_SECONDS * limits.rate


@attrs.define
class Bucket:
    """Tokens, or a debt if negative.

    :param updated_at: time up to which tokens were added, in seconds
    """

    updated_at: float
    level: float = 0.0

    def advance(self, now: float, limits: Limits) -> None:
        """Add the tokens of the time that has passed."""
        passed = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.level = min(limits.capacity, self.level + passed * limits.rate)

    def take(self, tokens: float) -> None:
        """Take tokens, or give them back if negative; the bucket may go into debt."""
        self.level -= tokens

    def gamble(self, draw: float) -> bool:
        """Take a token if there is one; a fraction of a token wins with this probability.

        The fraction is lost in either case, so that on average no more is admitted than the bucket
        received, although most daemons never hold a whole token.

        :param draw: a random number from 0 to 1
        """
        if self.level >= 1:
            self.level -= 1
            return True
        is_won = draw < self.level
        self.level = min(self.level, 0.0)
        return is_won
