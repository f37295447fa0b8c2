"""Bodies without end, and callers that read slowly, do not hold a call past its deadline."""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress

import pytest
from aiohttp import web

from kingcuppond.configuration.objects import ClassOfWork, encode
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.dialect import DEADLINE_HEADER, NATIVE_DIALECT
from kingcuppond.events.journal import Journal
from kingcuppond.ingress.http_server import listen, make_server
from kingcuppond.ingress.requests import read_relayed_body, read_request
from kingcuppond.ingress.responses import send_answer
from kingcuppond.organisations.guard import make_organisation_guard
from kingcuppond.organisations.identification import KeyPolicy
from kingcuppond.routing.call import Answer, Body, InvalidAnswerError

DEADLINE_SECONDS = 0.5
LATE_SECONDS = 0.5
PIECE = b"x" * 65_536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"

Serve = Callable[[web.BaseRequest], Awaitable[None]]


@asynccontextmanager
async def connected(
    serve: Serve,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Connect a caller to a port whose requests are served by a function."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        await serve(request)
        return web.Response()

    runner = (await listen(make_server(handle), "127.0.0.1:0")).ok
    reader, writer = await asyncio.open_connection(*runner.addresses[0])
    yield reader, writer
    writer.transport.abort()
    await runner.cleanup()


async def send_without_end(writer: asyncio.StreamWriter) -> None:
    with suppress(OSError):
        while True:
            writer.write(CHUNK)
            await writer.drain()


async def read_caller_body(request: web.BaseRequest, configuration: Configuration) -> Body:
    parsed = await read_request(
        request,
        configuration,
        NATIVE_DIALECT,
        "shop",
        lambda class_of_work: class_of_work.service,
        time.monotonic(),
        time.monotonic,
        lambda: "id",
        make_organisation_guard(configuration, KeyPolicy(), lambda: False, lambda: 0.0),
    )
    return parsed.ok.call.body


@pytest.mark.parametrize("is_relayed", [False, True], ids=["of a caller", "of another daemon"])
async def test_request_body_without_end_stops_at_the_deadline(
    journal: Journal, is_relayed: bool
) -> None:
    """It was passed on for as long as its caller went on sending."""
    configuration = Configuration(journal)
    shop = ClassOfWork("book", "shop", "/shop", 500, timeout_ms=2000)
    configuration.merge([VersionedObject("class/book", 1, encode(shop))])
    configuration.is_complete = True
    stopped_after: asyncio.Future[float] = asyncio.get_running_loop().create_future()

    async def serve(request: web.BaseRequest) -> None:
        started = time.monotonic()
        if is_relayed:
            body = read_relayed_body(request, started + DEADLINE_SECONDS, time.monotonic)
        else:
            body = await read_caller_body(request, configuration)
        with suppress(TimeoutError):
            async for _ in body.stream():
                pass
            raise AssertionError("a body without end was read to its end")
        stopped_after.set_result(time.monotonic() - started)

    async with connected(serve) as (_, writer):
        head = f"POST /shop HTTP/1.1\r\nHost: a\r\n{DEADLINE_HEADER}: 500\r\n"
        writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        sending = asyncio.create_task(send_without_end(writer))
        seconds = await asyncio.wait_for(stopped_after, DEADLINE_SECONDS + LATE_SECONDS + 1)
        assert seconds < DEADLINE_SECONDS + LATE_SECONDS
        sending.cancel()


async def test_relayed_body_that_stalls_is_given_up_at_the_deadline() -> None:
    """The gate waited 30 s for the body of a call that it had admitted, and held a slot."""
    stopped_after: asyncio.Future[float] = asyncio.get_running_loop().create_future()

    async def serve(request: web.BaseRequest) -> None:
        started = time.monotonic()
        body = read_relayed_body(request, started + DEADLINE_SECONDS, time.monotonic)
        with pytest.raises(TimeoutError):
            await body.buffer()
        stopped_after.set_result(time.monotonic() - started)

    async with connected(serve) as (_, writer):
        writer.write(b"POST /shop HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nx")
        seconds = await asyncio.wait_for(stopped_after, DEADLINE_SECONDS + LATE_SECONDS + 1)
        assert seconds < DEADLINE_SECONDS + LATE_SECONDS


async def test_caller_that_reads_slowly_is_cut_off_at_the_deadline() -> None:
    """Each of its reads let the daemon write on, past the deadline."""
    stopped_after: asyncio.Future[float] = asyncio.get_running_loop().create_future()

    async def pieces() -> AsyncIterator[bytes]:
        while True:
            yield PIECE

    async def serve(request: web.BaseRequest) -> None:
        started = time.monotonic()
        with pytest.raises(InvalidAnswerError):
            await send_answer(
                request, Answer(200, (), chunks=pieces()), {}, False, DEADLINE_SECONDS
            )
        stopped_after.set_result(time.monotonic() - started)
        raise ConnectionResetError

    async with connected(serve) as (reader, writer):
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        end = time.monotonic() + DEADLINE_SECONDS + LATE_SECONDS + 1
        with suppress(ConnectionResetError):
            while time.monotonic() < end and await reader.read(200_000):
                await asyncio.sleep(0.02)
        assert stopped_after.done()
        assert stopped_after.result() < DEADLINE_SECONDS + LATE_SECONDS
