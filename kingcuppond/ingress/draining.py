"""Draining before a planned stop of the daemon.

The other daemons are told first, and new work from them is refused.  Callers that still connect
are served, and their connections are closed after the answer.  Without a time limit, draining waits
until all calls in progress have ended.  With one, callers are accepted until they had time to
notice that this daemon is not ready; calls in progress may use the time that is left.  A request
that may not end in that time is refused before it is sent to a server, so that its caller can go
elsewhere.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

PROPAGATION_SECONDS: Final = 0.5
"""Time for the other daemons to learn that this one is leaving."""

POLL_SECONDS: Final = 0.05

QUIET_PERIOD_SECONDS: Final = 0.5
"""A connection accepted at the last moment delivers its request within this time."""

UNREADY_NOTICED_SECONDS: Final = 3.3
"""Readiness is probed once a second, and callers stay away after two failed probes."""

SERVED_AS_USUAL_SECONDS: Final = 2.9
"""Time after which callers are assumed to know that this daemon is not ready.

The second failed probe comes within two seconds, on a busy machine somewhat later.
"""

SERVED_AS_USUAL_SHARE: Final = 0.6
"""The largest part of a short grace period in which requests are served as usual."""

STOP_ACCEPTING_BEFORE_CLOSE_SECONDS: Final = 0.6
"""Time before the close without new callers, so that those accepted can be answered."""

CLOSE_BEFORE_LIMIT_SECONDS: Final = 0.4
"""Time before the limit that is reserved for the daemon to close its connections itself."""

HARMLESS_DELAY_SECONDS: Final = 0.5
"""A signal may be handled so late and the process still ends in time, since time is reserved for
its end.  A shorter grace period would only give up calls sooner."""


@attrs.frozen
class GracePeriod:
    """The time in which a leaving daemon still serves callers.

    :param started: monotonic time at which the daemon was told to leave at the earliest, in seconds
    :param ends: monotonic time at which it closes its connections, in seconds, infinite if it waits
        until all calls have ended
    """

    started: float
    ends: float

    def may_serve(self, now: float, deadline: float, typical_seconds: float) -> bool:
        """Return whether a request that has just arrived may be sent to a server.

        It may if its deadline is in time.  At first, when callers have not noticed yet, it is
        enough that requests of its class usually end in time.

        :param deadline: monotonic time at which the request is answered at the latest, in seconds
        :param typical_seconds: typical latency of its class
        """
        usual_seconds = min(
            SERVED_AS_USUAL_SECONDS, (self.ends - self.started) * SERVED_AS_USUAL_SHARE
        )
        is_early = now - self.started < usual_seconds
        return deadline <= self.ends or (is_early and now + typical_seconds <= self.ends)


def start_grace_period(
    now: float, limit_seconds: float, max_signal_age: float = 0.0
) -> GracePeriod:
    """Return the grace period of a daemon that begins to leave now.

    :param limit_seconds: the time limit, 0 for none
    :param max_signal_age: how long ago it was told to leave at most, in seconds
    """
    started = now - max_signal_age
    if not limit_seconds:
        return GracePeriod(started, math.inf)
    harmful_delay = max(0.0, max_signal_age - HARMLESS_DELAY_SECONDS)
    ends = now + limit_seconds - CLOSE_BEFORE_LIMIT_SECONDS - harmful_delay
    return GracePeriod(started, ends)


@attrs.frozen
class StopPlan:
    """The inputs of draining.

    :param ends: monotonic time at which connections are closed, in seconds, infinite if there is no
        time limit
    :param is_idle: whether nothing is in progress
    :param seconds_since_last_request: time since the last request of a caller arrived
    :param stop_accepting: stops accepting connections of callers
    :param now: monotonic clock, in seconds
    """

    ends: float
    is_idle: Callable[[], bool]
    seconds_since_last_request: Callable[[], float]
    stop_accepting: Callable[[], Awaitable[None]]
    now: Callable[[], float]


async def wait_until_drained(plan: StopPlan) -> None:
    """Wait until no caller connects any more and all calls have ended, or the time is over."""
    started = plan.now()
    if not math.isinf(plan.ends):
        await _wait_until(
            lambda: plan.now() - started >= UNREADY_NOTICED_SECONDS
            and plan.is_idle()
            and plan.seconds_since_last_request() >= QUIET_PERIOD_SECONDS,
            plan.ends - STOP_ACCEPTING_BEFORE_CLOSE_SECONDS,
            plan.now,
        )
        await plan.stop_accepting()
        await _wait_until(plan.is_idle, plan.ends, plan.now)
        return
    await asyncio.sleep(PROPAGATION_SECONDS)
    await _wait_until(plan.is_idle, None, plan.now)
    await plan.stop_accepting()
    await asyncio.sleep(QUIET_PERIOD_SECONDS)
    await _wait_until(plan.is_idle, None, plan.now)


async def _wait_until(
    is_reached: Callable[[], bool], end: float | None, now: Callable[[], float]
) -> None:
    while not is_reached() and (end is None or now() < end):
        await asyncio.sleep(POLL_SECONDS)
