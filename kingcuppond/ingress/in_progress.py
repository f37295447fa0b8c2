"""The requests that a daemon is serving, and how they end when it closes its connections.

A request that is still waiting at the close, for its body or for the result of its call, is
answered without a result of a server.  Its caller then knows whether the call may have run; from a
closed connection it could not tell.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

import attrs
from expression import Result

from kingcuppond.clock import Clock
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.routing.call import Call

ANSWER_SECONDS: Final = 0.1
"""How long the close waits for the requests in progress to be answered."""

POLL_SECONDS: Final = 0.01
"""Interval at which the close checks whether all requests are answered."""

T = TypeVar("T")


@attrs.define
class RequestsInProgress:
    """Counts the requests that are being served, and ends their waits at the close.

    :param vm: name of this daemon's VM
    :param wait_until_current: waits, if this process was paused, until it is up to date
    :param count: number of requests that are being served
    :param last_ended_at: monotonic time at which the last request ended, in seconds
    :param is_closing: whether this daemon is closing its connections
    """

    vm: str
    clock: Clock
    wait_until_current: Callable[[], Awaitable[bool]]
    count: int = 0
    last_ended_at: float = float("-inf")
    is_closing: bool = False
    _is_ending_waits: bool = False
    _waiting_tasks: set["asyncio.Task[Any]"] = attrs.field(factory=set)

    def begin(self) -> None:
        """Count a request that has arrived."""
        self.count += 1

    def end(self) -> None:
        """Count a request that has ended."""
        self.count -= 1
        self.last_ended_at = self.clock.monotonic()

    async def close(self) -> None:
        """Refuse further requests, and answer those in progress without a result of a server."""
        self.is_closing = True
        # After a delay of the process, timers run before the event loop reads what has arrived.
        await asyncio.sleep(POLL_SECONDS)
        # From now on a wait is cancelled by the close, and not by a caller that disconnects.
        self._is_ending_waits = True
        for task in self._waiting_tasks:
            task.cancel()
        end = self.clock.monotonic() + ANSWER_SECONDS
        while self.count and self.clock.monotonic() < end:
            await asyncio.sleep(POLL_SECONDS)

    async def until_close(
        self, result: Awaitable[Result[T, Failure]], failure: Callable[[], Failure]
    ) -> Result[T, Failure]:
        """Wait for a result until this daemon closes its connections.

        :param failure: returns the result if there is none by then
        """
        task = asyncio.current_task()
        assert task is not None
        self._waiting_tasks.add(task)
        try:
            return await result
        except asyncio.CancelledError:
            if not self._is_ending_waits or task.uncancel():
                raise
            return Result.Error(failure())
        finally:
            self._waiting_tasks.discard(task)

    async def until_current(self) -> None:
        """Wait until this daemon is up to date or closes its connections.

        At the close it returns normally, and the next check of the request refuses it.
        """

        async def wait() -> Result[None, Failure]:
            await self.wait_until_current()
            return Result.Ok(None)

        await self.until_close(wait(), lambda: NotRun(Reason.LEAVING, f"{self.vm} stops"))


def stopped_during(call: Call, vm: str) -> Failure:
    """Return the outcome of a call that has no result when the daemon of a VM closes."""
    if call.delivery.may_have_run:
        return Unknown(Reason.LEAVING, f"{vm} stops during the call")
    return NotRun(Reason.LEAVING, f"{vm} stops before the call is sent to a server")
