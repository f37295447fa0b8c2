"""The background loops of a daemon."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final

from kingcuppond.gate.departure_check import make_departure_check

if TYPE_CHECKING:
    from kingcuppond.daemon import Daemon

SILENCE_CHECK_INTERVAL_SECONDS: Final = 0.5

Loop = Callable[[], Coroutine[Any, Any, None]]


def make_loops(daemon: "Daemon") -> dict[str, Loop]:
    """Return the loops that run for the lifetime of a daemon, by name."""
    loops: dict[str, Loop] = {
        "registration": daemon.registration.run,
        "departure after a restore": daemon.departures.run,
        "holds": daemon.holds.run,
        "silence": lambda: _check_silence(daemon),
        "pause": daemon.pause_guard.run,
        "observer": daemon.gate.observer.run,
        "log": daemon.log_writer.run,
        "claims": daemon.claim_renewal.run,
        **daemon.watcher.loops(),
        **({} if daemon.rollouts is None else daemon.rollouts.loops()),
    }
    loops.update({loop.__name__: loop for loop in daemon.gossip.loops()})
    if daemon.gate.is_unconfirmed:
        loops["departures"] = make_departure_check(
            daemon.gate,
            daemon.departures,
            daemon.clock,
            lambda: daemon.registration.has_contacted_members,
        )
    return loops


async def _check_silence(daemon: "Daemon") -> None:
    while True:
        await asyncio.sleep(SILENCE_CHECK_INTERVAL_SECONDS)
        daemon.gate.expire_silent_server()
