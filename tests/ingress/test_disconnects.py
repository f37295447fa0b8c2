"""A request is given up when its client closes the connection, also while nothing reads from it."""

import asyncio
import socket
import time
from collections.abc import Callable

import pytest
import uvloop
from aiohttp import web

from kingcuppond.http_connections import NO_LINGER
from kingcuppond.ingress.http_server import listen, make_server

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
BODY_BYTES = 400_000
LATE_SECONDS = 0.5


async def seconds_until_given_up(is_reset: bool) -> float | None:
    """Return how long after a close its request is given up, or ``None`` if it is not.

    The handler has read the start of a long body and waits, as one does whose call waits for a
    slot.
    """
    started = asyncio.Event()
    given_up: asyncio.Future[float] = asyncio.get_running_loop().create_future()

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        await request.content.read(1000)
        started.set()
        try:
            await asyncio.sleep(3.0)
        except asyncio.CancelledError:
            given_up.set_result(time.monotonic())
            raise
        return web.Response()

    runner = (await listen(make_server(handle), "127.0.0.1:0")).ok
    _, writer = await asyncio.open_connection(*runner.addresses[0])
    writer.write(f"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode())
    writer.write(bytes(BODY_BYTES))
    await started.wait()
    await asyncio.sleep(0.2)
    assert writer.transport.get_write_buffer_size() == 0, "the client has sent everything"
    if is_reset:
        connected = writer.get_extra_info("socket")
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    closed_at = time.monotonic()
    writer.close()
    try:
        return await asyncio.wait_for(given_up, 2.0) - closed_at
    except TimeoutError:
        return None
    finally:
        await runner.cleanup()


@pytest.mark.parametrize("new_loop", LOOPS.values(), ids=LOOPS)
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
def test_a_close_is_noticed_while_a_long_body_waits(
    is_reset: bool, new_loop: Callable[[], asyncio.AbstractEventLoop]
) -> None:
    """Guards against an upload that is sent to a server long after its client has left."""
    with asyncio.Runner(loop_factory=new_loop) as runner:
        seconds = runner.run(seconds_until_given_up(is_reset))
    assert seconds is not None
    assert seconds < LATE_SECONDS
