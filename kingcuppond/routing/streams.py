"""Streams that end with their call.

A body may come without end, from a caller or from a server, and always have bytes ready.  A timeout
on each read does not bound it then, since a read that finds bytes succeeds at once.  Whatever reads
a body piece by piece reads it through ``read_until``, which also checks the clock before each read.
"""

import asyncio
import math
from collections.abc import AsyncIterator, Awaitable, Callable


async def read_until(
    deadline: float,
    now: Callable[[], float],
    read: Callable[[], Awaitable[bytes]],
    stall_seconds: float = math.inf,
) -> AsyncIterator[bytes]:
    """Yield the pieces of a stream until it ends.

    :param deadline: time of the clock ``now``, in seconds, after which nothing is read
    :param read: returns the next piece, empty at the end of the stream
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
