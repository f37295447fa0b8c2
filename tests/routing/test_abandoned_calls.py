"""A server learns at once that nobody waits for its answer any more.

Callers leave, deadlines pass and hedges lose while a request waits in a server's queue.
"""

import asyncio
import time
from collections.abc import Callable

import pytest
import uvloop
from multidict import CIMultiDict

from kingcuppond.routing.call import Body
from kingcuppond.routing.exchange import exchange, open_session
from tests.servers import listening

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
STREAM_START = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nx"


async def end_of_connection(answer: bytes, deadline_seconds: float, leaves: bool) -> str:
    """Return how a server sees the end of a call that gets no complete answer.

    :param answer: what the server answers
    :param leaves: whether the caller leaves before the deadline
    """
    end: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        try:
            end.set_result("closed" if await reader.read(1) == b"" else "more bytes")
        except ConnectionResetError:
            end.set_result("reset")

    async def call(address: str) -> None:
        deadline = time.monotonic() + deadline_seconds
        result = await exchange(session, address, "GET", "/", CIMultiDict(), Body(), deadline)
        if result.is_ok():
            # The caller leaves while the answer is passed on.
            await result.ok.answer.close()

    session = open_session()
    async with listening(serve) as address:
        calling = asyncio.create_task(call(address))
        await asyncio.sleep(0.1)
        if leaves:
            calling.cancel()
        seen = await asyncio.wait_for(end, 1.0)
        await asyncio.wait({calling})
        await session.close()
    return seen


@pytest.mark.parametrize("new_loop", LOOPS.values(), ids=LOOPS)
@pytest.mark.parametrize(
    ("answer", "deadline_seconds", "leaves"),
    [(b"", 5.0, True), (b"", 0.2, False), (STREAM_START, 5.0, False)],
    ids=["the caller leaves", "the deadline passes", "the caller leaves during the answer"],
)
def test_an_abandoned_call_resets_its_connection(
    answer: bytes,
    deadline_seconds: float,
    leaves: bool,
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """Guards against a call that a server runs later, as its connection was only half closed."""
    with asyncio.Runner(loop_factory=new_loop) as runner:
        assert runner.run(end_of_connection(answer, deadline_seconds, leaves)) == "reset"
