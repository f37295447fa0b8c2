"""A streamed answer that breaks off does not look complete to the caller."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from kingcuppond.ingress.http_server import listen, make_server
from kingcuppond.ingress.responses import send_answer
from kingcuppond.routing.call import Answer, InvalidAnswerError

PIECE = b"x" * 1000


async def broken_body() -> AsyncIterator[bytes]:
    yield PIECE
    await asyncio.sleep(0.05)
    raise InvalidAnswerError("the answer was truncated")


async def receive(headers: tuple[tuple[str, str], ...], version: str) -> tuple[bytes, bool]:
    """Return what a caller receives of a broken answer, and whether the connection was reset."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await send_answer(
                request, Answer(200, headers, chunks=broken_body()), {}, False, seconds=2.0
            )
        except InvalidAnswerError as exc:
            raise ConnectionResetError(str(exc)) from exc

    runner = (await listen(make_server(handle), "127.0.0.1:0")).ok
    reader, writer = await asyncio.open_connection(*runner.addresses[0])
    writer.write(f"GET / HTTP/{version}\r\nHost: a\r\n\r\n".encode())
    received = b""
    try:
        while piece := await asyncio.wait_for(reader.read(4096), 2.0):
            received += piece
    except ConnectionResetError:
        return received, True
    else:
        return received, False
    finally:
        writer.close()
        await runner.cleanup()


async def test_broken_answer_without_a_length_is_reset() -> None:
    """A caller that knows no chunks takes a close for the end of the body."""
    received, is_reset = await receive((), "1.0")
    assert PIECE in received
    assert is_reset


@pytest.mark.parametrize("headers", [(), (("Content-Length", "3000"),)], ids=["chunks", "length"])
async def test_broken_answer_is_shorter_than_its_framing(
    headers: tuple[tuple[str, str], ...],
) -> None:
    received, _ = await receive(headers, "1.1")
    assert PIECE in received
    assert not received.endswith(b"0\r\n\r\n")
    assert received.count(b"x") == len(PIECE)
