"""Bytes without end, in a head or a body, end with the call and take no memory.

A faulty server sends them until its caller closes the connection.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import attrs
import pytest
from expression import Result
from multidict import CIMultiDict

from kingcuppond.outcomes import Failure, Reason, Unknown
from kingcuppond.routing.call import Body, InvalidAnswerError
from kingcuppond.routing.exchange import ReceivedAnswer, exchange, open_session
from tests.servers import listening

DEADLINE_SECONDS = 1.0
MAX_TAKEN_BYTES = 16_777_216
"""What the receiver may take: the kernel's socket buffers hold some MB."""

OK = b"HTTP/1.1 200 OK\r\n"
FRAMED = OK + b"Content-Length: 5\r\n\r\nhello"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

HEADS = {
    "no line end": (b"", b"x" * 65_536),
    "no end of a field": (OK + b"A: ", b"x" * 65_536),
    "fields without end": (OK, b"A: b\r\n" * 8192),
    "interim answers without end": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1024),
    "zeros": (b"", bytes(65_536)),
}
BODIES = {
    "chunk extension without end": (CHUNKED + b"5;", b"x" * 65_536),
    "chunk size without end": (CHUNKED, b"0" * 65_536),
    "trailers without end": (CHUNKED + b"5\r\nhello\r\n0\r\n", b"A: b\r\n" * 8192),
}
STREAMS = {
    "chunks": (CHUNKED, b"10000\r\n" + b"x" * 65_536 + b"\r\n"),
    "no length": (OK + b"Connection: close\r\n\r\n", b"x" * 65_536),
}
AFTER_ANSWER = {
    "answers without end": (FRAMED, FRAMED * 1024),
    "bytes without end": (FRAMED, b"x" * 65_536),
}


@attrs.define
class EndlessServer:
    """Sends some bytes, then others again and again until its caller closes the connection.

    :param pause: seconds between the first bytes and the others
    """

    first: bytes
    repeated: bytes
    pause: float = 0.0
    address: str = ""
    sent: int = 0
    closed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        try:
            writer.write(self.first)
            await asyncio.sleep(self.pause)
            while True:
                writer.write(self.repeated)
                await writer.drain()
                self.sent += len(self.repeated)
        except OSError:
            self.closed.set()


@asynccontextmanager
async def serving(
    first: bytes, repeated: bytes, pause: float = 0.0
) -> AsyncIterator[EndlessServer]:
    endless = EndlessServer(first, repeated, pause)
    async with listening(endless.serve) as endless.address:
        yield endless


async def fetch(
    session: aiohttp.ClientSession, address: str, deadline: float
) -> Result[ReceivedAnswer, Failure]:
    return await exchange(session, address, "GET", "/", CIMultiDict(), Body(), deadline)


async def assert_closed(server: EndlessServer, seconds: float) -> None:
    """Check that the connection was closed before its bytes took much memory."""
    await asyncio.wait_for(server.closed.wait(), seconds)
    assert server.sent < MAX_TAKEN_BYTES


@pytest.mark.parametrize(("first", "repeated"), HEADS.values(), ids=HEADS)
async def test_head_without_end(first: bytes, repeated: bytes) -> None:
    async with serving(first, repeated) as server:
        session = open_session()
        deadline = time.monotonic() + DEADLINE_SECONDS
        result = await fetch(session, server.address, deadline)
        assert isinstance(result.error, Unknown)
        assert time.monotonic() < deadline + 0.5
        await assert_closed(server, 1.0)
        await session.close()


@pytest.mark.parametrize(("first", "repeated"), BODIES.values(), ids=BODIES)
async def test_body_without_end(first: bytes, repeated: bytes) -> None:
    async with serving(first, repeated) as server:
        session = open_session()
        deadline = time.monotonic() + DEADLINE_SECONDS
        result = await fetch(session, server.address, deadline)
        if result.is_ok():
            answer = result.ok.answer
            assert answer.chunks is not None, "an answer that never ended must not look complete"
            with pytest.raises(InvalidAnswerError):
                async for _ in answer.chunks:
                    pass
            await answer.close()
        else:
            assert isinstance(result.error, Unknown)
        assert time.monotonic() < deadline + 0.5
        await assert_closed(server, 1.0)
        await session.close()


@pytest.mark.parametrize(("first", "repeated"), STREAMS.values(), ids=STREAMS)
async def test_stream_without_end_that_nobody_reads(first: bytes, repeated: bytes) -> None:
    """Bytes that the caller does not take stay with the server."""
    async with serving(first, repeated) as server:
        session = open_session()
        answer = (await fetch(session, server.address, time.monotonic() + 60.0)).ok.answer
        assert answer.chunks is not None, "an answer that never ended must not look complete"
        await asyncio.sleep(DEADLINE_SECONDS)
        assert server.sent < MAX_TAKEN_BYTES
        await answer.close()
        await asyncio.wait_for(server.closed.wait(), 1.0)
        await session.close()


@pytest.mark.parametrize(("first", "repeated"), STREAMS.values(), ids=STREAMS)
async def test_stream_without_end_stops_at_the_deadline(first: bytes, repeated: bytes) -> None:
    """It was passed on past the deadline, as a read that finds bytes never times out."""
    async with serving(first, repeated) as server:
        session = open_session()
        deadline = time.monotonic() + DEADLINE_SECONDS
        answer = (await fetch(session, server.address, deadline)).ok.answer
        assert answer.chunks is not None
        with pytest.raises(InvalidAnswerError) as raised:
            async for _ in answer.chunks:
                assert time.monotonic() < deadline + 0.5
        assert raised.value.reason is Reason.DEADLINE
        await answer.close()
        await asyncio.wait_for(server.closed.wait(), 1.0)
        await session.close()


@pytest.mark.parametrize(("first", "repeated"), AFTER_ANSWER.values(), ids=AFTER_ANSWER)
async def test_bytes_without_end_after_an_answer(first: bytes, repeated: bytes) -> None:
    """The connection is back in the pool when they come."""
    async with serving(first, repeated, pause=0.1) as server:
        session = open_session()
        deadline = time.monotonic() + DEADLINE_SECONDS
        result = await fetch(session, server.address, deadline)
        assert result.ok.answer.body == b"hello"
        await assert_closed(server, 2.0)
        await session.close()
