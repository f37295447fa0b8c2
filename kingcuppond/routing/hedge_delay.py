"""When a second attempt of a repeatable call starts, while the first one has not answered.

The load patterns are single slow answers: work that takes several times as long as usual, and
machines that their neighbours slow down for moments.  A second attempt helps a caller only if its
answer can still arrive within the class's target, so it starts that long before the target expires.
It must not start earlier than ordinary answers arrive, since most of the second attempts would then
be wasted work.
"""

from typing import Final

MIN_SECONDS: Final = 0.010

MAX_LATENCY_RATIO: Final = 6.0
"""Without a target the second attempt starts after this multiple of the typical latency.

The typical latency follows the shorter answers of a class; answers that take half as long again,
and those of busy machines, must not cause hedges.
"""

MIN_LATENCY_RATIO: Final = 2.0
"""Few ordinary answers take longer than this multiple of the typical latency."""

ANSWER_LATENCY_RATIO: Final = 2.0
"""Time left for the answer to the second attempt, in typical latencies."""


def hedge_delay_seconds(typical_seconds: float, target_seconds: float) -> float:
    """Return the time after the start of the first attempt at which the second one starts.

    :param typical_seconds: typical latency of the call's class
    :param target_seconds: time from the start of the first attempt until the target expires
    """
    latest = MAX_LATENCY_RATIO * typical_seconds
    in_time = target_seconds - ANSWER_LATENCY_RATIO * typical_seconds
    if in_time >= MIN_LATENCY_RATIO * typical_seconds:
        latest = min(latest, in_time)
    return max(MIN_SECONDS, latest)
