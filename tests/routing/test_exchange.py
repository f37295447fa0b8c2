"""An answer is accepted only if it is complete and belongs to the request."""

import asyncio
import socket
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from multidict import CIMultiDict

from kingcuppond.outcomes import NotRun, Unknown
from kingcuppond.routing.call import Body
from kingcuppond.routing.exchange import exchange, open_session
from tests.servers import listening

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
UNFRAMED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
FRAMED = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@asynccontextmanager
async def serving(answer: bytes, end: str, wait: float = 0.0) -> AsyncIterator[str]:
    """Serve a fixed answer to each request.

    :param end: what happens to the connection afterwards: ``close``, ``reset`` or ``stay``
    :param wait: seconds between the answer and the end
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(wait)
            if end == "reset":
                reset(writer)
                return
            if end == "close":
                writer.close()
                return

    async with listening(serve) as address:
        yield address


async def fetch(address: str, seconds: float = 1.0, reuses_connections: bool = True) -> object:
    session = open_session(reuses_connections)
    try:
        result = await exchange(
            session, address, "GET", "/", CIMultiDict(), Body(), time.monotonic() + seconds
        )
        return result.ok.answer.body if result.is_ok() else result.error
    finally:
        await session.close()


@pytest.mark.parametrize("wait", [0.0, 0.05], ids=["at once", "later"])
async def test_close_completes_an_answer_without_a_length(wait: float) -> None:
    async with serving(UNFRAMED + b"hello", "close", wait) as address:
        assert await fetch(address) == b"hello"


@pytest.mark.parametrize("wait", [0.0, 0.05], ids=["at once", "later"])
async def test_reset_truncates_an_answer_without_a_length(wait: float) -> None:
    async with serving(UNFRAMED + b"hel", "reset", wait) as address:
        assert isinstance(await fetch(address), Unknown)


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
@pytest.mark.parametrize("framing", [b"", b"Content-Length: 5\r\n"], ids=["no length", "length"])
@pytest.mark.parametrize("end", ["stay", "close"])
async def test_answer_that_has_no_body_is_whole(status: bytes, framing: bytes, end: str) -> None:
    """It ends with its head, and not with its connection."""
    async with serving(b"HTTP/1.1 " + status + b"\r\n" + framing + b"\r\n", end) as address:
        assert await fetch(address) == b""


@pytest.mark.parametrize("end", ["reset", "close"])
async def test_answer_shorter_than_its_content_length_is_truncated(end: str) -> None:
    async with serving(FRAMED[:-2], end) as address:
        assert isinstance(await fetch(address), Unknown)


async def test_refused_connection_is_not_run() -> None:
    async with serving(FRAMED, "stay") as address:
        pass
    assert isinstance(await fetch(address), NotRun)


async def test_rejected_answer_leaves_the_outcome_unknown() -> None:
    async with serving(FRAMED, "stay") as address:
        session = open_session()
        result = await exchange(
            session,
            address,
            "GET",
            "/",
            CIMultiDict(),
            Body(),
            time.monotonic() + 1,
            accept=lambda status, headers, is_first_on_connection: False,
        )
        await session.close()
        assert isinstance(result.error, Unknown)


async def test_surplus_answer_is_not_used_for_the_next_request() -> None:
    """Bytes that a server sends after its answer belong to no request."""
    async with serving(FRAMED + FRAMED.replace(b"hello", b"other"), "stay") as address:
        session = open_session()
        for _ in range(3):
            result = await exchange(
                session, address, "GET", "/", CIMultiDict(), Body(), time.monotonic() + 1
            )
            assert result.ok.answer.body == b"hello"
        await session.close()


async def send_body(address: str) -> object:
    session = open_session()
    try:
        headers = CIMultiDict({"Content-Length": "4"})
        end = time.monotonic() + 20
        result = await exchange(
            session, address, "POST", "/", headers, Body(b"body"), end, continue_seconds=0.2
        )
        return result.ok.answer.body if result.is_ok() else result.error
    finally:
        await session.close()


@pytest.mark.parametrize("end", ["reset", "close", "stay"])
async def test_request_is_not_run_before_100_continue(end: str) -> None:
    """Even if the connection breaks or the other end stays silent."""
    async with serving(b"", end) as address:
        started = time.monotonic()
        assert isinstance(await send_body(address), NotRun)
        assert time.monotonic() - started < 10, "waited for half of the deadline or longer"


@pytest.mark.parametrize("end", ["reset", "close"])
async def test_outcome_is_unknown_after_100_continue(end: str) -> None:
    async with serving(b"HTTP/1.1 100 Continue\r\n\r\n", end, wait=0.05) as address:
        assert isinstance(await send_body(address), Unknown)


async def test_final_answer_instead_of_100_continue_is_returned() -> None:
    async with serving(FRAMED.replace(b"200 OK", b"503 No"), "stay") as address:
        assert await send_body(address) == b"hello"


@pytest.mark.parametrize(
    "target",
    [
        "/a",
        "/a?",
        "/a?b",
        "/a?b=1&c=%2F+",
        "/a#",
        "/a#b?c",
        "/a?b#c",
        "//a//b",
        "/a%23%3f?",
        "/a;b=c?d?",
    ],
)
async def test_the_target_is_sent_as_it_is(target: str) -> None:
    """An empty query and a raw number sign were dropped on the way to the server."""
    received: list[str] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            received.append(head.split(b" ")[1].decode())
            writer.write(FRAMED)

    session = open_session()
    try:
        async with listening(serve) as address:
            result = await exchange(
                session, address, "GET", target, CIMultiDict(), Body(), time.monotonic() + 1.0
            )
            assert result.is_ok()
    finally:
        await session.close()
    assert received == [target]
