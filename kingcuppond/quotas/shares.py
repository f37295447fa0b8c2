"""Which share of an organisation's requests is admitted, alike at all daemons.

The load is demand of several times the quota, spread over daemons of which most see less than one
request of the organisation in a second, and moving between them.  One share that applies everywhere
is fair to each request, needs no tokens at a daemon, and is right wherever the next one arrives.
"""

from typing import Final

import attrs

from kingcuppond.quotas.bucket import Limits

HORIZON_SECONDS: Final = 0.4
"""Demand that would empty the bucket sooner is limited; a share takes nearly as long to act."""

DEBT_SECONDS: Final = 1.0
"""Time in which a debt is paid back."""

CHANGE_PART: Final = 0.2
"""Smaller changes of a share are not sent: they are within the noise of the demand."""

FIRST_SHARE: Final = 0.8
"""A larger share does not begin a limit: the noise of a small organisation's demand would.

If the demand stays as high, the debt lowers the share.
"""

LEAST_CHANGE: Final = 0.005
BIN_COUNT: Final = 10
ENOUGH_REQUESTS: Final = 20
"""Demand is measured over the shortest time with as many requests."""

SHORTEST_BINS: Final = 3
SMALL_FLEET: Final = 100
SECONDS_PER_DAEMON: Final = 0.0015
"""By how much more daemons than in a small fleet lengthen the report interval.

At 2,000 daemons with 115 calls per second each, 2 s gave 1,166 bytes per second and daemon; 1,024
are allowed.
"""

INTERVAL_SECONDS: Final = 0.1


def report_interval_seconds(known: int) -> float:
    """Return the time over which a daemon combines its counts before it reports them.

    :param known: the number of members of the fleet
    """
    return INTERVAL_SECONDS + SECONDS_PER_DAEMON * max(0, known - SMALL_FLEET)


def target_rate(level: float, limits: Limits) -> float:
    """Return how many requests per second may be admitted now.

    :param level: tokens of the fleet's bucket, negative for a debt
    """
    if level < 0:
        noise = max(0.0, limits.noise + level)
        return max(0.0, limits.rate + level / DEBT_SECONDS + noise)
    return limits.rate + level / HORIZON_SECONDS + limits.noise


def admitted_share(level: float, limits: Limits, demand: float) -> float:
    """Return the share of the requests to be admitted, from 0 to 1.

    :param level: tokens of the fleet's bucket, negative for a debt
    :param demand: requests per second that arrive, admitted or not
    """
    target = target_rate(level, limits)
    return 1.0 if demand <= target else target / demand


def is_new_share(known: float, share: float) -> bool:
    """Return whether a share differs enough from the known one to be sent."""
    if known == 1.0:
        return share < FIRST_SHARE
    if share == 1.0:
        return True
    return abs(share - known) > max(LEAST_CHANGE, CHANGE_PART * known)


@attrs.define
class DemandMeter:
    """Measures the demand of an organisation over up to ten report intervals.

    :param bin_seconds: the report interval
    """

    bin_seconds: float = INTERVAL_SECONDS
    _counts: list[int] = attrs.field(factory=lambda: [0] * BIN_COUNT)
    _newest: int = 0

    def record(self, now: float, requests: int) -> None:
        """Count requests."""
        self._advance(now)
        self._counts[self._newest % BIN_COUNT] += requests

    def rate(self, now: float) -> float:
        """Return the requests per second."""
        self._advance(now)
        # The newest bin is incomplete.
        elapsed = now - self._newest * self.bin_seconds
        total = 0
        for age in range(BIN_COUNT):
            total += self._counts[(self._newest - age) % BIN_COUNT]
            if age + 1 >= SHORTEST_BINS and total >= ENOUGH_REQUESTS:
                break
        return total / (age * self.bin_seconds + elapsed)

    def _advance(self, now: float) -> None:
        newest = int(now // self.bin_seconds)
        for number in range(max(self._newest, newest - BIN_COUNT) + 1, newest + 1):
            self._counts[number % BIN_COUNT] = 0
        self._newest = max(self._newest, newest)
