"""Messages of the server are read whole, however they arrive."""

import asyncio
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from expression import Error, Ok, Result

from kingcuppond.gate import announcements
from kingcuppond.gate.announcements import Announcement, ConfiguredServer, ServerMessage
from kingcuppond.gate.server_port import ServerPort
from kingcuppond.ingress.http_server import listen, make_server
from kingcuppond.outcomes import NotRun, Reason

BODY = msgspec.json.encode({"note": "x" * 1000})
UNUSED: Any = None


async def receive(*pieces: bytes, is_chunked: bool = False) -> tuple[list[bytes], bytes]:
    """Send a message in pieces; return the bodies that were decoded, and the response."""
    bodies: list[bytes] = []

    def decode(
        _method: str, _path: str, body: bytes, _server: ConfiguredServer
    ) -> Result[ServerMessage, NotRun]:
        bodies.append(body)
        return Error(NotRun(Reason.BAD_REQUEST, "not needed here"))

    port = ServerPort(UNUSED, UNUSED, decode, ConfiguredServer("shop", "10.0.0.1:80"))
    runner = (await listen(make_server(port.handle), "127.0.0.1:0")).ok
    reader, writer = await asyncio.open_connection(*runner.addresses[0])
    framing = f"Content-Length: {sum(map(len, pieces))}"
    if is_chunked:
        framing = "Transfer-Encoding: chunked"
        chunks = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces]
        pieces = (*chunks, b"0\r\n\r\n")
    head = f"PUT /instances/i HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{framing}\r\n\r\n"
    writer.write(head.encode())
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0.02)
    response = await asyncio.wait_for(reader.read(), 5.0)
    writer.close()
    await runner.cleanup()
    return bodies, response


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
async def test_a_message_may_arrive_in_pieces(is_chunked: bool) -> None:
    """Guards against a heartbeat that is rejected, as only its first packet was read."""
    bodies, _ = await receive(BODY[:100], BODY[100:500], BODY[500:], is_chunked=is_chunked)
    assert bodies == [BODY]


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
async def test_a_message_that_is_too_large_is_rejected(is_chunked: bool) -> None:
    piece = b"x" * announcements.MAX_MESSAGE_BYTES
    bodies, response = await receive(piece, piece, is_chunked=is_chunked)
    assert bodies == []
    assert response.startswith(b"HTTP/1.1 413")


async def test_a_message_that_stalls_is_given_up() -> None:
    """Guards against connections that a writer keeps open with half a message."""
    port = ServerPort(UNUSED, UNUSED, UNUSED, ConfiguredServer("shop", "10.0.0.1:80"))
    runner = (await listen(make_server(port.handle), "127.0.0.1:0")).ok
    reader, writer = await asyncio.open_connection(*runner.addresses[0])
    writer.write(b"PUT /instances/i HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n{")
    assert (await asyncio.wait_for(reader.read(), 5.0)).startswith(b"HTTP/1.1 400")
    writer.close()
    await runner.cleanup()


async def test_an_announcement_that_is_ignored_is_not_acknowledged() -> None:
    """A server whose clock was set back reported that it drains, and got requests all the same."""
    message = Announcement("shop", "10.0.0.1:80", "draining", instance="i", born_ms=1)
    gate: Any = SimpleNamespace(handle_announcement=lambda _message: False)
    port = ServerPort(
        gate, UNUSED, lambda *_request: Ok(message), ConfiguredServer("shop", "10.0.0.1:80")
    )
    runner = (await listen(make_server(port.handle), "127.0.0.1:0")).ok
    reader, writer = await asyncio.open_connection(*runner.addresses[0])
    writer.write(b"PUT /instances/i HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
    assert (await asyncio.wait_for(reader.readline(), 5.0)).startswith(b"HTTP/1.1 503")
    writer.close()
    await runner.cleanup()
