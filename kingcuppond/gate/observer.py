"""What the server beside this daemon says of itself, as fresh as decisions need it.

Servers share their machines, and their speed changes within milliseconds.  The load that comes with
each answer is free; before a call is let in on an older word, the health path is asked, which a
server answers at once.  All calls that wait for a word share one question.  A slow repetition keeps
the word from growing old while no calls come, so that others hear in time of a server that turned
slow or cold.
"""

import asyncio
from collections.abc import Callable
from typing import Final

import aiohttp
import attrs
from yarl import URL

from kingcuppond.clock import Clock
from kingcuppond.dialect import Headers, ServerLoad, ServerWord
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal

FRESH_SECONDS: Final = 0.03
"""A sixteenth of the half second for which a machine's speed usually stays the same."""

REPEAT_SECONDS: Final = 0.5
"""Time between two questions while nothing else is heard; 2 of the 60 a second that are allowed."""

ASK_SECONDS: Final = 0.1
"""Longest wait for an answer from the same machine; some hundred times the usual one."""


@attrs.define
class ServerObserver:
    """The newest word of the server.

    :param health_path: returns the path to ask, empty if there is none
    :param on_word: called with each word, and whether it came with a good health answer
    """

    session: aiohttp.ClientSession
    read_word: Callable[[Headers], ServerWord]
    health_path: Callable[[], str]
    clock: Clock
    journal: Journal
    on_word: Callable[[ServerWord, bool], None]
    address: str = ""
    load: ServerLoad | None = None
    heard_at: float = float("-inf")
    questions: int = 0
    _asking: "asyncio.Task[None] | None" = None

    @property
    def slowdown(self) -> float:
        """How long work takes there, as a multiple of the usual."""
        return 1.0 if self.load is None else self.load.slowdown

    @property
    def age(self) -> float:
        """Seconds since the newest word."""
        return self.clock.monotonic() - self.heard_at

    def hear(self, headers: Headers, is_healthy: bool = False) -> None:
        """Take the word that came with an answer.

        :param is_healthy: whether it is the health path's, and good
        """
        word = self.read_word(headers)
        if is_healthy and word.cold_ms is None:
            word = attrs.evolve(word, cold_ms=0)
        if word.load is not None:
            self.load = word.load
            self.heard_at = self.clock.monotonic()
        self.on_word(word, is_healthy)

    async def freshen(self) -> None:
        """Ask the server, unless its word is fresh or nothing can be asked."""
        if self.age <= FRESH_SECONDS or not self.address or not self.health_path():
            return
        if self._asking is None or self._asking.done():
            self._asking = asyncio.create_task(self._ask())
        await asyncio.shield(self._asking)

    def forget(self) -> None:
        """Drop the word of a server that is gone."""
        self.load = None
        self.heard_at = float("-inf")

    async def run(self) -> None:
        """Ask now and then, for ever."""
        while True:
            await asyncio.sleep(REPEAT_SECONDS)
            if self.age > REPEAT_SECONDS:
                await self.freshen()

    async def _ask(self) -> None:
        self.questions += 1
        url = URL(f"http://{self.address}{self.health_path()}", encoded=True)
        try:
            async with (
                asyncio.timeout(ASK_SECONDS),
                self.session.get(url, allow_redirects=False) as answer,
            ):
                await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            # No answer is no word: the calls themselves show whether the server can be reached.
            self.journal.record(catalogue.SERVER_UNHEARD, address=self.address, error=repr(exc))
            return
        self.hear(answer.headers, answer.status == 200)
