"""Bounds on streams that others send.

A body may come without end, from a caller, a server, another daemon or the store, and always have
bytes ready.  A timeout on each read does not bound it then, since a read that finds bytes succeeds
at once.  Bodies that are passed on piece by piece are read through ``read_until``, which also
checks the clock before each read.  Bodies that are read as a whole are read through
``read_limited``, within a timeout, so that they do not fill the memory meanwhile; if several are
read at a time, they share a ``MemoryBudget``.
"""

import asyncio
import math
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

ReadPiece = Callable[[], Awaitable[bytes]]
"""Returns the next piece of a stream, empty at its end."""


class StreamTooLongError(Exception):
    """A stream is longer than what may be held in memory."""


async def read_until(
    deadline: float,
    now: Callable[[], float],
    read: ReadPiece,
    stall_seconds: float = math.inf,
) -> AsyncIterator[bytes]:
    """Yield the pieces of a stream until it ends.

    :param deadline: time of the clock ``now``, in seconds, after which nothing is read
    :param stall_seconds: longest wait for one piece
    :raises TimeoutError: the stream has not ended by the deadline, or it has stalled
    """
    while True:
        left = deadline - now()
        if left <= 0:
            raise TimeoutError("the stream has not ended by the deadline")
        async with asyncio.timeout(min(left, stall_seconds)):
            piece = await read()
        if not piece:
            return
        yield piece


@attrs.define
class MemoryBudget:
    """What several reads together may hold in memory.

    :param held_bytes: what they hold now
    """

    max_bytes: int
    held_bytes: int = 0


async def read_limited(
    max_bytes: int, read: ReadPiece, budget: MemoryBudget | None = None
) -> bytes:
    """Read a stream to its end.

    :param budget: shared with other reads; this one counts until it returns
    :raises StreamTooLongError: it is longer than ``max_bytes``, or exceeds the budget
    """
    budget = budget or MemoryBudget(max_bytes)
    pieces: list[bytes] = []
    size = 0
    try:
        while piece := await read():
            size += len(piece)
            budget.held_bytes += len(piece)
            if size > max_bytes:
                raise StreamTooLongError(f"it is longer than {max_bytes} bytes")
            if budget.held_bytes > budget.max_bytes:
                raise StreamTooLongError(f"over {budget.max_bytes} bytes are read at a time")
            pieces.append(piece)
        return b"".join(pieces)
    finally:
        budget.held_bytes -= size
