"""A planned stop of the daemon.

Others are told first and new work from them is refused.  Callers may still come for a while: those
that come are served, and their connections are closed after the answer.  Without a time limit the
stop waits until all work in progress has ended.  With one, new callers are served until they had
time to notice that this daemon is not ready, and what is in progress may take the time that is
left.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

TOLD_SECONDS: Final = 0.5
CHECK_SECONDS: Final = 0.05

QUIET_SECONDS: Final = 0.5
"""A connection accepted in the last moment brings its request within this time."""

NOTICED_SECONDS: Final = 3.3
"""Readiness is asked for once a second, and callers stay away after two misses."""

ACCEPTING_LEFT_SECONDS: Final = 1.0
"""Before the limit, callers are no longer accepted, so that those accepted can be answered."""

CLOSING_SECONDS: Final = 0.4
"""Before the limit, everything is closed by ourselves."""


@attrs.frozen
class StopPlan:
    """What a stop needs to know and do.

    :param seconds: the time limit, 0 for none
    :param is_idle: whether nothing is in progress
    :param idle_seconds: how long ago the last caller's request came
    :param stop_accepting: ends accepting connections of callers
    """

    seconds: float
    is_idle: Callable[[], bool]
    idle_seconds: Callable[[], float]
    stop_accepting: Callable[[], Awaitable[None]]
    now: Callable[[], float]


async def wait_for_end(plan: StopPlan) -> None:
    """Serve until no caller comes any more and all work has ended, or the time is over."""
    started = plan.now()
    if plan.seconds:
        await _wait_until(
            lambda: plan.now() - started >= NOTICED_SECONDS
            and plan.is_idle()
            and plan.idle_seconds() >= QUIET_SECONDS,
            started + plan.seconds - ACCEPTING_LEFT_SECONDS,
            plan.now,
        )
        await plan.stop_accepting()
        await _wait_until(plan.is_idle, started + plan.seconds - CLOSING_SECONDS, plan.now)
        return
    await asyncio.sleep(TOLD_SECONDS)
    await _wait_until(plan.is_idle, None, plan.now)
    await plan.stop_accepting()
    await asyncio.sleep(QUIET_SECONDS)
    await _wait_until(plan.is_idle, None, plan.now)


async def _wait_until(
    is_reached: Callable[[], bool], end: float | None, now: Callable[[], float]
) -> None:
    while not is_reached() and (end is None or now() < end):
        await asyncio.sleep(CHECK_SECONDS)
