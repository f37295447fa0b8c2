"""What a restarted daemon finds out before its server may be confirmed.

The server may have told an earlier process of this daemon that it is leaving.  The store and the
other daemons know that, so both are asked first.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from kingcuppond.clock import Clock
from kingcuppond.gate.departures import DepartureStore
from kingcuppond.gate.gate import Gate
from kingcuppond.service import LoopFunction

MAX_DEPARTURE_LOADS: Final = 3
DEPARTURE_RETRY_DELAY_SECONDS: Final = 0.2

INTRODUCTION_WAIT_SECONDS: Final = 3.0
"""Longer than a join through seeds, and then through the store, takes while both answer."""

INTRODUCTION_POLL_SECONDS: Final = 0.02


def make_departure_check(
    gate: Gate, departures: DepartureStore, clock: Clock, has_been_introduced: Callable[[], bool]
) -> LoopFunction:
    """Make the background loop that looks up the departure, and then lets the gate go on.

    :param has_been_introduced: returns whether other daemons have told this one what they know
    """

    async def run() -> None:
        await _load_departure(gate, departures)
        await _wait_for_introduction(clock, has_been_introduced)
        gate.is_departure_checked = True
        gate.confirm_server()
        # The loop must not return: its service would start it again.
        await asyncio.Event().wait()

    return run


async def _load_departure(gate: Gate, departures: DepartureStore) -> None:
    for _ in range(MAX_DEPARTURE_LOADS):
        loaded = await departures.load()
        if loaded.is_ok():
            if loaded.ok is not None:
                gate.mark_leaving(loaded.ok)
            return
        await asyncio.sleep(DEPARTURE_RETRY_DELAY_SECONDS)


async def _wait_for_introduction(clock: Clock, has_been_introduced: Callable[[], bool]) -> None:
    # The store may have lost the departure, and the others know it.  Their configuration can
    # arrive before the reply to the introduction.
    end = clock.monotonic() + INTRODUCTION_WAIT_SECONDS
    while not has_been_introduced() and clock.monotonic() < end:
        await asyncio.sleep(INTRODUCTION_POLL_SECONDS)
