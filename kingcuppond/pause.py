"""Notices that this process did not run for a while, and lets it catch up before it acts.

A process that was paused wakes with what it knew before: a configuration that has changed, a data
centre that was taken out of service, a server that is leaving or cold.  Calls that arrived
meanwhile wait in the sockets and would be decided first.  So each call compares the time with that
of the last sign of running, and after a pause waits for a moment until others were asked.  As long
as nobody has answered, the process is stale, and its gate refuses new work.

A suspended VM counts too: the clock goes on while it is suspended.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from kingcuppond.clock import Clock
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal

TICK_SECONDS: Final = 0.2

PAUSE_SECONDS: Final = 1.0
"""A longer time without a tick is a pause; a busy VM delays ticks by less."""

DELAY_SECONDS: Final = 0.05
"""A longer time without a sign of running is remembered for a moment."""

DELAY_MEMORY_SECONDS: Final = 0.1
"""Other events may be handled between the end of a delay and a signal that was sent during it."""

CATCH_UP_TIMEOUT_SECONDS: Final = 1.0
RETRY_SECONDS: Final = 0.2


@attrs.define
class PauseGuard:
    """Detects pauses.

    :param catch_up: brings this daemon up to date, and returns whether anybody answered it
    :param is_stale: whether this process was paused and has not caught up yet
    """

    clock: Clock
    journal: Journal
    catch_up: Callable[[], Awaitable[bool]]
    is_stale: bool = False
    _ran_at: float = attrs.field(init=False)
    _delay_began_at: float = attrs.field(init=False)
    _delay_ended_at: float = attrs.field(init=False)
    _pauses: int = 0
    _catching_up: "asyncio.Task[None] | None" = None

    def __attrs_post_init__(self) -> None:
        self._ran_at = self._delay_began_at = self._delay_ended_at = self.clock.boot()

    async def run(self) -> None:
        """Detect pauses while no calls arrive, forever."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self._detect()

    def max_signal_age(self) -> float:
        """Return how long ago, in seconds, a signal that is handled now was sent at most.

        One that was sent before an earlier sign of running has been handled then.
        """
        now = self.clock.boot()
        is_after_delay = now - self._delay_ended_at <= DELAY_MEMORY_SECONDS
        return now - (self._delay_began_at if is_after_delay else self._ran_at)

    async def wait_until_current(self) -> bool:
        """Wait until this daemon is up to date, for ``CATCH_UP_TIMEOUT_SECONDS`` at most.

        :return: whether it is
        """
        self._detect()
        if self._catching_up is not None:
            await asyncio.wait({self._catching_up}, timeout=CATCH_UP_TIMEOUT_SECONDS)
        return not self.is_stale

    def _detect(self) -> None:
        now = self.clock.boot()
        paused_seconds = now - self._ran_at
        if paused_seconds > DELAY_SECONDS:
            self._delay_began_at, self._delay_ended_at = self._ran_at, now
        self._ran_at = now
        if paused_seconds > PAUSE_SECONDS:
            self.journal.record(catalogue.PAUSED, seconds=round(paused_seconds, 1))
            self.is_stale = True
            self._pauses += 1
            if self._catching_up is None:
                self._catching_up = asyncio.create_task(self._catch_up())

    async def _catch_up(self) -> None:
        attempts = 0
        try:
            while self.is_stale:
                if attempts == 1:
                    self.journal.record(catalogue.CATCH_UP_FAILED)
                if attempts:
                    await asyncio.sleep(RETRY_SECONDS)
                attempts += 1
                pauses = self._pauses
                is_answered = await self._ask()
                # An answer from before another pause is too old.
                self.is_stale = not is_answered or pauses != self._pauses
        finally:
            self._catching_up = None

    async def _ask(self) -> bool:
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_SECONDS):
                return await self.catch_up()
        except TimeoutError:
            return False
