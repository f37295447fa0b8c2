"""Turns of pipelined requests.

A client may send many requests without waiting for answers.  Each is due as soon as the one before
it on the connection is answered, so that a crowd of such clients would take up every round of the
event loop, and a request of anyone else would wait for all of theirs in each of its steps.
Requests that were read before the one in front of them was answered are therefore begun a few at a
time, in the order in which they became due.  All others are begun at once.
"""

import asyncio
from collections import deque
from typing import Final

import attrs

TURNS_PER_ROUND: Final = 8
"""Pipelined requests that are begun in a round of the event loop."""


@attrs.define
class PipelineTurns:
    """The pipelined requests of a server that are due and have not begun."""

    _waiting: deque["asyncio.Future[None]"] = attrs.field(factory=deque)
    _is_scheduled: bool = False

    async def take(self) -> None:
        """Wait until a request may begin."""
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        self._schedule()
        await turn

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._grant)

    def _grant(self) -> None:
        self._is_scheduled = False
        granted = 0
        while self._waiting and granted < TURNS_PER_ROUND:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                granted += 1
        self._schedule()
