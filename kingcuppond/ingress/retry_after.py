"""When a caller whose request was not run may come back.

The load patterns are bursts and servers that are slow or full for a moment: all requests that were
refused together would otherwise return together, to be refused again.  Their returns are spread
over the time in which room is expected, the more urgent classes in its first part.  A caller
returns while it still has time for an answer, or at once if there is no such time.
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
    Reason.LEAVING,
)
"""Reasons that last longer than a lack of room does."""

LAST_URGENT_PRIORITY: Final = 1
"""Classes with a larger priority number return after the urgent ones."""

URGENT_PART: Final = (0.1, 0.5)
OTHER_PART: Final = (0.3, 1.0)
OUTAGE_PART: Final = (0.5, 1.0)
"""Start and end of the part of the time in which callers return."""

TYPICAL_LATENCIES_LEFT: Final = 2.0
"""Time that a caller must have left when it returns, in typical latencies of its class."""

MIN_SECONDS: Final = 0.005


def retry_after_seconds(
    reason: Reason, left_seconds: float, typical_seconds: float, priority: int, rng: Random
) -> float:
    """Choose the delay after which a refused caller may return.

    :param left_seconds: time until the caller's deadline
    :param typical_seconds: typical latency of the request's class
    :param priority: priority of its class; smaller numbers are more urgent
    """
    latest = max(0.0, left_seconds - TYPICAL_LATENCIES_LEFT * typical_seconds)
    window = min(latest, max(0.0, left_seconds) * LONGEST_SHARE_OF_TIME_LEFT)
    if reason in OUTAGE_REASONS:
        part = OUTAGE_PART
    else:
        window = min(window, ROOM_SECONDS)
        part = URGENT_PART if priority <= LAST_URGENT_PRIORITY else OTHER_PART
    return max(MIN_SECONDS, window * rng.uniform(*part))
