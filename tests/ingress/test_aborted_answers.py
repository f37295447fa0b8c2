"""What an aborted answer holds is freed at once, and not at the next pass of the garbage collector.

In a daemon the collector makes a full pass after about a million new objects only, and each aborted
answer may hold some hundred kilobytes.
"""

import asyncio
import socket
import weakref
from collections.abc import AsyncIterator, Callable

import pytest
import uvloop
from aiohttp import web

from kingcuppond.http_connections import NO_LINGER
from kingcuppond.ingress.http_server import listen, make_server
from kingcuppond.ingress.responses import send_answer
from kingcuppond.routing.call import Answer, InvalidAnswerError

pytestmark = pytest.mark.usefixtures("no_collector")

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
PIECE_BYTES = 100_000
PIECES_BEFORE_BREAK = 2
SECONDS = 0.5
MAX_FREE_SECONDS = 2.0
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


async def endless() -> AsyncIterator[bytes]:
    while True:
        yield bytes(PIECE_BYTES)


async def breaking_off() -> AsyncIterator[bytes]:
    for _ in range(PIECES_BEFORE_BREAK):
        yield bytes(PIECE_BYTES)
    raise InvalidAnswerError("the answer was truncated")


async def is_freed(chunks: AsyncIterator[bytes], close: str) -> bool:
    """Return whether an answer is freed after it was aborted.

    :param close: how its client closes the connection meanwhile, empty if it stays and doesn't read
    """
    answers: list[weakref.ref[Answer]] = []
    ended = asyncio.Event()

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        answer = Answer(200, [], chunks=chunks)
        answers.append(weakref.ref(answer))
        try:
            return await send_answer(request, answer, {}, False, SECONDS)
        except InvalidAnswerError as exc:
            raise ConnectionResetError(str(exc)) from exc
        finally:
            ended.set()

    runner = (await listen(make_server(handle), "127.0.0.1:0")).ok
    loop = asyncio.get_running_loop()
    with socket.socket() as client:
        client.setblocking(False)
        await loop.sock_connect(client, runner.addresses[0])
        await loop.sock_sendall(client, REQUEST)
        await loop.sock_recv(client, 1000)
        if close:
            if close == "reset":
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            client.close()
        await asyncio.wait_for(ended.wait(), 5.0)
        end = loop.time() + MAX_FREE_SECONDS
        while answers[0]() is not None and loop.time() < end:
            await asyncio.sleep(0.02)
    await runner.cleanup()
    return answers[0]() is None


@pytest.mark.parametrize("new_loop", LOOPS.values(), ids=LOOPS)
@pytest.mark.parametrize(
    ("make_chunks", "close"),
    [(endless, ""), (endless, "closed"), (endless, "reset"), (breaking_off, "")],
    ids=["not read in time", "client closes", "client resets", "answer breaks off"],
)
def test_an_aborted_answer_is_freed(
    make_chunks: Callable[[], AsyncIterator[bytes]],
    close: str,
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """Guards against a daemon that runs out of memory as clients give up long answers."""
    with asyncio.Runner(loop_factory=new_loop) as runner:
        assert runner.run(is_freed(make_chunks(), close))
