"""The planned stop of a daemon, up to the point at which it may close its connections.

The daemon tells the others, refuses new work from them, waits for all calls in progress, and stops
accepting connections.  ``ingress/draining.py`` holds the time limits.
"""

import asyncio
from typing import TYPE_CHECKING

from kingcuppond.events import catalogue
from kingcuppond.ingress.draining import (
    GracePeriod,
    StopPlan,
    start_grace_period,
    wait_until_drained,
)
from kingcuppond.ingress.http_server import STALL_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from kingcuppond.daemon import Daemon


def begin_grace_period(daemon: "Daemon") -> GracePeriod:
    """Return the grace period, which begins now if this is the first call."""
    if daemon.port.grace is None:
        daemon.port.grace = start_grace_period(
            daemon.clock.monotonic(),
            daemon.settings.stop_limit_seconds,
            daemon.pause_guard.max_signal_age(),
        )
    return daemon.port.grace


async def leave_fleet(daemon: "Daemon") -> None:
    """Refuse new work from other daemons, and wait for the calls in progress.

    Each call ends, since it has a deadline.  Only the settings bound the whole wait: without a
    limit, callers that keep sending calls are served for as long as they do.
    """
    grace = begin_grace_period(daemon)
    daemon.journal.record(
        catalogue.DAEMON_LEAVING,
        vm=daemon.settings.vm,
        in_flight=daemon.requests.count,
        leaving_ms=round((daemon.clock.monotonic() - grace.started) * 1000),
    )
    daemon.directory.publish_own_change(is_leaving=True)
    daemon.gate.admission.process_queue()
    deregistration = asyncio.create_task(daemon.registration.deregister())
    plan = StopPlan(
        ends=grace.ends,
        is_idle=lambda: _has_ended_calls(daemon) and deregistration.done(),
        seconds_since_last_request=lambda: daemon.clock.monotonic() - daemon.port.last_request_at,
        stop_accepting=daemon.listeners.stop_accepting_callers,
        now=daemon.clock.monotonic,
    )
    # Nothing may be awaited after this: a call that arrived meanwhile would be given up.
    await wait_until_drained(plan)
    deregistration.cancel()


def _has_ended_calls(daemon: "Daemon") -> bool:
    """Return whether all calls have ended, and their callers have got the answers.

    A caller that stops reading delays a stop no longer than it delays a streamed answer.
    """
    if not daemon.port.is_idle:
        return False
    ended_seconds = daemon.clock.monotonic() - daemon.requests.last_ended_at
    return ended_seconds > STALL_TIMEOUT_SECONDS or not daemon.listeners.has_unsent_bytes
