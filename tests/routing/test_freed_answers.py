"""What an answer that broke off held is freed at once, and not by the garbage collector.

In a daemon the collector makes a full pass after about a million new objects only.
"""

import asyncio
import gc
import socket
import time
from collections.abc import Callable

import aiohttp
import attrs
import pytest
import uvloop
from multidict import CIMultiDict

from kingcuppond.http_connections import NO_LINGER
from kingcuppond.routing.call import Body, InvalidAnswerError
from kingcuppond.routing.exchange import exchange, open_session
from tests.servers import listening

pytestmark = pytest.mark.usefixtures("no_collector")

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
DEADLINE_SECONDS = 0.4
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n10000\r\n" + bytes(65_536) + b"\r\n"
ANSWERS = {
    "head": OK + b"A: b",
    "no answer": bytes(50_000),
    "invalid field": OK + b"a b: c\r\nContent-Length: 50000\r\n\r\n" + bytes(30_000),
    "short": OK + b"Content-Length: 50000\r\n\r\n" + bytes(30_000),
    "long": OK + b"Content-Length: 5000000\r\n\r\n" + bytes(300_000),
    "chunk": CHUNKED + b"10000\r\n" + bytes(100),
    "invalid chunk": CHUNKED + b"no size\r\n",
    "no length": OK + b"\r\n" + bytes(300_000),
    "no length, short": OK + b"\r\n" + bytes(30_000),
}


@attrs.frozen
class BreakingServer:
    """Sends a part of an answer, and then ends it.

    :param end: ``close`` or ``reset`` the connection, or ``stall``
    """

    answer: bytes
    end: str

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        await writer.drain()
        if self.end == "stall":
            await asyncio.sleep(DEADLINE_SECONDS * 5)
        elif self.end == "reset":
            await asyncio.sleep(0.05)
            connected = writer.get_extra_info("socket")
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.transport.abort()


async def fetch(session: aiohttp.ClientSession, address: str) -> None:
    deadline = time.monotonic() + DEADLINE_SECONDS
    result = await exchange(session, address, "GET", "/", CIMultiDict(), Body(b""), deadline)
    if result.is_error() or result.ok.answer.chunks is None:
        return
    try:
        async for _ in result.ok.answer.chunks:
            pass
    except InvalidAnswerError:
        pass
    finally:
        await result.ok.answer.close()


async def count_kept(server: BreakingServer) -> int:
    """Return how many responses are alive after one was received as far as it went."""
    async with listening(server.serve) as address:
        session = open_session()
        await fetch(session, address)
        await asyncio.sleep(0.05)
        kept = sum(isinstance(item, aiohttp.ClientResponse) for item in gc.get_objects())
        await session.close()
    return kept


@pytest.mark.parametrize("new_loop", LOOPS.values(), ids=LOOPS)
@pytest.mark.parametrize("end", ["close", "reset", "stall"])
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_an_answer_that_broke_off_is_freed(
    answer: bytes, end: str, new_loop: Callable[[], asyncio.AbstractEventLoop]
) -> None:
    """Guards against a faulty server whose truncated answers fill the memory of its callers."""
    with asyncio.Runner(loop_factory=new_loop) as runner:
        assert runner.run(count_kept(BreakingServer(answer, end))) == 0
