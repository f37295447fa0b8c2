"""When a caller whose request was not run may come back.

The load patterns are bursts and servers that are slow or full for a moment: all requests that were
refused together would otherwise return together, to be refused again.  Their returns are spread
over the time in which room is expected, the more urgent classes in its first part.  A caller that
returns must still have time for an answer, so that nobody is asked back in vain.
"""

from random import Random
from typing import Final

from kingcuppond.outcomes import Reason

LONGEST_SHARE_OF_TIME_LEFT: Final = 0.3
"""Callers honour at most a third of their time left."""

ROOM_SECONDS: Final = 0.5
"""For as long the speed of a machine usually stays the same, and a short burst lasts."""

OUTAGE_REASONS: Final = (
    Reason.NOT_READY,
    Reason.NO_SERVER,
    Reason.ISOLATED,
    Reason.DATA_CENTRE_OUT,
    Reason.UNREACHABLE,
)
"""Reasons that last longer than a lack of room does."""

URGENT_PRIORITIES: Final = 1
"""Classes up to this priority return in the first half of the time."""

MIN_SECONDS: Final = 0.005


def retry_after_seconds(
    reason: Reason, left_seconds: float, typical_seconds: float, priority: int, rng: Random
) -> float:
    """Choose the delay after which a refused caller may return.

    :param left_seconds: time until the caller's deadline
    :param typical_seconds: typical latency of the request's class
    :param priority: priority of its class; smaller numbers are more urgent
    """
    longest = max(0.0, left_seconds) * LONGEST_SHARE_OF_TIME_LEFT
    if reason in OUTAGE_REASONS:
        return max(MIN_SECONDS, longest * rng.uniform(0.5, 1.0))
    window = min(longest, ROOM_SECONDS, max(0.0, left_seconds - 2 * typical_seconds))
    is_urgent = priority <= URGENT_PRIORITIES
    share = rng.uniform(0.1, 0.5) if is_urgent else rng.uniform(0.3, 1.0)
    return max(MIN_SECONDS, window * share)
