"""An answer counts only if it is whole and belongs to the request."""

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

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
UNFRAMED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
FRAMED = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@asynccontextmanager
async def serving(answer: bytes, end: str, wait: float = 0.0) -> AsyncIterator[str]:
    """Serve one fixed answer, and end the connection in a way."""

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

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()


async def ask(address: str, seconds: float = 1.0, is_reusing: bool = True) -> object:
    session = open_session(is_reusing)
    try:
        got = await exchange(
            session, address, "GET", "/", CIMultiDict(), Body(), time.monotonic() + seconds
        )
        return got.ok.answer.whole if got.is_ok() else got.error
    finally:
        await session.close()


@pytest.mark.parametrize("wait", [0.0, 0.05], ids=["at once", "later"])
async def test_an_answer_without_a_length_ends_with_its_connection(wait: float) -> None:
    async with serving(UNFRAMED + b"hello", "close", wait) as address:
        assert await ask(address) == b"hello"


@pytest.mark.parametrize("wait", [0.0, 0.05], ids=["at once", "later"])
async def test_a_reset_answer_without_a_length_is_not_whole(wait: float) -> None:
    async with serving(UNFRAMED + b"hel", "reset", wait) as address:
        assert isinstance(await ask(address), Unknown)


@pytest.mark.parametrize("end", ["reset", "close"])
async def test_a_short_answer_is_not_whole(end: str) -> None:
    async with serving(FRAMED[:-2], end) as address:
        assert isinstance(await ask(address), Unknown)


async def test_nothing_listens() -> None:
    async with serving(FRAMED, "stay") as address:
        pass
    assert isinstance(await ask(address), NotRun)


async def test_an_answer_that_does_not_belong_to_the_request_is_dropped() -> None:
    async with serving(FRAMED, "stay") as address:
        session = open_session()
        got = await exchange(
            session,
            address,
            "GET",
            "/",
            CIMultiDict(),
            Body(),
            time.monotonic() + 1,
            accept=lambda status, headers: False,
        )
        await session.close()
        assert isinstance(got.error, Unknown)


async def test_a_second_answer_does_not_meet_the_next_request() -> None:
    """What a server sends after its answer belongs to no request."""
    async with serving(FRAMED + FRAMED.replace(b"hello", b"other"), "stay") as address:
        session = open_session()
        for _ in range(3):
            got = await exchange(
                session, address, "GET", "/", CIMultiDict(), Body(), time.monotonic() + 1
            )
            assert got.ok.answer.whole == b"hello"
        await session.close()


async def send_body(address: str) -> object:
    session = open_session()
    try:
        headers = CIMultiDict({"Content-Length": "4"})
        end = time.monotonic() + 20
        got = await exchange(
            session, address, "POST", "/", headers, Body(b"body"), end, continue_seconds=0.2
        )
        return got.ok.answer.whole if got.is_ok() else got.error
    finally:
        await session.close()


@pytest.mark.parametrize("end", ["reset", "close", "stay"])
async def test_until_the_body_is_asked_for_the_request_is_not_run(end: str) -> None:
    """Also if the connection breaks, or the other end says nothing."""
    async with serving(b"", end) as address:
        started = time.monotonic()
        assert isinstance(await send_body(address), NotRun)
        assert time.monotonic() - started < 10, "half of the deadline: it was not waited for"


@pytest.mark.parametrize("end", ["reset", "close"])
async def test_after_the_body_was_asked_for_the_outcome_is_unknown(end: str) -> None:
    async with serving(b"HTTP/1.1 100 Continue\r\n\r\n", end, wait=0.05) as address:
        assert isinstance(await send_body(address), Unknown)


async def test_a_refusal_needs_no_body() -> None:
    async with serving(FRAMED.replace(b"200 OK", b"503 No"), "stay") as address:
        assert await send_body(address) == b"hello"
