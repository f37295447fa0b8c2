"""Limits of accepted connections: what is refused, what is closed, and what is served as before."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from hashlib import sha256
from random import Random

import attrs
import pytest
import uvloop
from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest

from kingcuppond.events.journal import Journal
from kingcuppond.ingress.connection_guard import (
    CloseReason,
    ConnectionGuard,
    make_connection_guard,
)
from kingcuppond.ingress.connection_limits import ConnectionLimits
from kingcuppond.ingress.http_server import listen, make_server, trust_connection

HEAD = b"GET /a HTTP/1.1\r\nHost: a\r\n"
LIMITS = ConnectionLimits(
    max_connections=4, max_head_bytes=20_000, max_head_ms=4000, max_buffered_bytes=200_000
)
LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}


@attrs.frozen
class Client:
    """A connection to the server."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    bodies: list[bytes] = attrs.field(factory=list)

    async def ask(self, data: bytes) -> bytes:
        """Send bytes, and return the status line of the answer, or nothing if there is none."""
        try:
            self.writer.write(data)
            answer = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 5)
            length = int(answer.partition(b"Content-Length: ")[2].partition(b"\r\n")[0])
            self.bodies.append(await self.reader.readexactly(length))
        except (OSError, EOFError):
            return b""
        return answer.partition(b"\r\n")[0]

    async def is_closed(self) -> bool:
        try:
            return await asyncio.wait_for(self.reader.read(1), 0.3) == b""
        except TimeoutError:
            return False
        except OSError:
            return True


@attrs.define
class Server:
    """A server whose requests to ``/held`` wait until they are released."""

    guard: ConnectionGuard
    port: str = ""
    address: tuple[str, int] = ("", 0)
    clients: list[Client] = attrs.field(factory=list)
    released: asyncio.Event = attrs.field(factory=asyncio.Event)
    served: list[str] = attrs.field(factory=list)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.served.append(request.path)
        if request.path == "/daemon":
            trust_connection(request)
        if request.path == "/held":
            await self.released.wait()
        if request.path == "/large":
            return web.Response(body=b"x" * 10_000_000)
        body = b"".join([piece async for piece in request.content.iter_any()])
        return web.Response(text=f"{request.path} {sha256(body).hexdigest()}")

    async def connect(self) -> Client:
        client = Client(*await asyncio.open_connection(*self.address))
        self.clients.append(client)
        await asyncio.sleep(0.05)
        return client

    def tick(self, count: int = 1) -> None:
        for _ in range(count):
            self.guard._tick()


@asynccontextmanager
async def serving(limits: ConnectionLimits = LIMITS, port: str = "") -> AsyncIterator[Server]:
    server = Server(ConnectionGuard(limits), port)
    runner = (await listen(make_server(server.handle, server.guard, port), "127.0.0.1:0")).ok
    server.address = runner.addresses[0]
    try:
        yield server
    finally:
        for client in server.clients:
            client.writer.transport.abort()
        await runner.cleanup()


@pytest.mark.parametrize("new_loop", LOOPS.values(), ids=LOOPS)
def test_pipelined_requests_are_answered_in_order(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """Guards against requests that are lost between the queue, the parser and the connection."""

    async def run() -> None:
        async with serving() as server:
            client = await server.connect()
            paths = [f"/{index}" for index in range(3000)]
            data = b"".join(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode() for path in paths)
            client.writer.write(data + HEAD + b"Connection: close\r\n\r\n")
            await asyncio.wait_for(client.reader.read(), 30)
            assert server.served == [*paths, "/a"]

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(run())


@pytest.mark.parametrize("new_loop", LOOPS.values(), ids=LOOPS)
def test_a_long_body_arrives_whole(new_loop: Callable[[], asyncio.AbstractEventLoop]) -> None:
    """Guards against bytes that are lost or changed in the buffer that all connections share."""

    async def run() -> None:
        async with serving(ConnectionLimits()) as server:
            clients = [await server.connect() for _ in range(3)]
            bodies = [Random(index).randbytes(2_000_000) for index in range(3)]
            head = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n"
            await asyncio.gather(
                *(client.ask(head + body) for client, body in zip(clients, bodies, strict=True))
            )
            answers = [client.bodies for client in clients]
            assert answers == [[f"/a {sha256(body).hexdigest()}".encode()] for body in bodies]

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(run())


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"".join(b"X-%d: %s\r\n" % (i, b"a" * 5000) for i in range(5)) + b"\r\n",
        HEAD + b"".join(b"X-%d: %s\r\n" % (i, b"a" * 5000) for i in range(20)),
        b"\r\n" * 30_000,
    ],
    ids=["whole head", "head without end", "empty lines"],
)
async def test_a_head_over_the_limit_is_refused(data: bytes) -> None:
    """Guards against heads of many fields, each of which is within its own limit."""
    async with serving() as server:
        client = await server.connect()
        assert (await client.ask(data)).endswith(b" 400 Bad Request")
        assert await client.is_closed()
        assert server.served == []
        assert server.guard.closed == {("", CloseReason.HEAD_BYTES): 1}


async def test_a_head_of_the_platform_s_longest_is_served() -> None:
    """Guards against a limit that ordinary clients reach."""
    async with serving() as server:
        client = await server.connect()
        field = b"X-A: " + b"a" * 16_000 + b"\r\n"
        assert await client.ask(b"\r\n" * 10 + HEAD + field + b"\r\n") == b"HTTP/1.1 200 OK"


async def test_a_request_before_a_head_over_the_limit_is_answered() -> None:
    """Guards against an error behind a request that takes the request's answer away."""
    async with serving() as server:
        client = await server.connect()
        client.writer.write(b"GET /held HTTP/1.1\r\nHost: a\r\n\r\n" + b"\r\n" * 60_000)
        await asyncio.sleep(0.1)
        server.released.set()
        assert await client.ask(b"") == b"HTTP/1.1 200 OK"
        assert (await client.ask(b"")).endswith(b" 400 Bad Request")
        assert await client.is_closed()


async def test_chunk_extensions_without_end_close_the_connection() -> None:
    async with serving() as server:
        client = await server.connect()
        client.writer.write(b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;")
        client.writer.write(b"a" * 200_000)
        assert await client.is_closed()
        assert server.guard.closed == {("", CloseReason.HEAD_BYTES): 1}


async def test_a_head_that_takes_too_long_closes_the_connection() -> None:
    """Guards against clients that send a byte now and then."""
    async with serving() as server:
        client = await server.connect()
        for byte in HEAD[:6]:
            client.writer.write(bytes([byte]))
            await asyncio.sleep(0.02)
            server.tick()
        assert await client.is_closed()
        assert server.guard.closed == {("", CloseReason.HEAD_TIME): 1}


async def test_time_that_the_daemon_lost_closes_no_connection() -> None:
    """A daemon that was paused wakes with heads half read, whose clients were in time."""
    async with serving() as server:
        client = await server.connect()
        client.writer.write(HEAD)
        await asyncio.sleep(0.05)
        # One tick, however long the pause was.
        server.tick()
        assert await client.ask(b"\r\n") == b"HTTP/1.1 200 OK"
        server.tick(100)
        assert await client.ask(HEAD + b"\r\n") == b"HTTP/1.1 200 OK", "it was idle"


async def test_requests_behind_an_upload_are_all_answered() -> None:
    """Guards against pipelined requests that wait in the parser, which nothing resumes."""
    for size, count in ((10, 6), (300_000, 40)):
        async with serving() as server:
            client = await server.connect()
            head = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size
            client.writer.write(head + b"x" * 4)
            await asyncio.sleep(0.05)
            rest = b"x" * (size - 4) + (HEAD + b"\r\n") * count
            assert b"200" in await client.ask(rest)
            for _ in range(count):
                assert b"200" in await client.ask(b"")


async def test_an_idle_connection_is_kept_after_a_body_in_chunks() -> None:
    """Guards against a close for a head that never began, as a caller sends its next request."""
    async with serving() as server:
        client = await server.connect()
        head = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        for piece in (head, b"5\r\nhello\r\n"):
            client.writer.write(piece)
            await asyncio.sleep(0.05)
        assert b"200" in await client.ask(b"0\r\n\r\n")
        client.writer.write(b"\r\n")
        await asyncio.sleep(0.05)
        server.tick(server.guard.limits.head_ticks + 3)
        assert b"200" in await client.ask(HEAD + b"\r\n")


async def test_ordinary_clients_are_served_beside_a_flood_of_connections() -> None:
    """Guards against connections that use up all that there may be."""
    async with serving() as server:
        held = await server.connect()
        held.writer.write(b"GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
        daemon = await server.connect()
        assert await daemon.ask(b"GET /daemon HTTP/1.1\r\nHost: a\r\n\r\n") == b"HTTP/1.1 200 OK"
        for _ in range(10):
            await server.connect()
        server.tick()
        assert server.guard.count == 5, "that of the daemon isn't counted"
        client = await server.connect()
        assert await client.ask(HEAD + b"\r\n") == b"HTTP/1.1 200 OK"
        server.released.set()
        assert await held.ask(b"") == b"HTTP/1.1 200 OK"
        assert await daemon.ask(HEAD + b"\r\n") == b"HTTP/1.1 200 OK"


async def test_a_connection_is_refused_if_all_others_have_requests_in_progress() -> None:
    async with serving() as server:
        for _ in range(4):
            client = await server.connect()
            client.writer.write(b"GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.05)
        assert await (await server.connect()).is_closed()
        assert server.guard.closed == {("", CloseReason.COUNT): 1}


async def test_a_port_for_few_clients_has_a_part_of_the_connections() -> None:
    """Guards against one port whose clients take all connections of the others."""
    async with serving(attrs.evolve(LIMITS, max_connections=16), "metrics_address") as server:
        for _ in range(5):
            await server.connect()
        assert server.guard.count == 2


async def test_answers_that_are_not_read_are_bounded_in_total() -> None:
    """Guards against clients that let their answers fill the memory."""
    async with serving() as server:
        readers = [await server.connect() for _ in range(4)]
        for client in readers:
            client.reader._transport.pause_reading()  # type: ignore[attr-defined]
            client.writer.write(b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.5)
        assert server.guard.buffered_bytes <= LIMITS.max_buffered_bytes
        assert server.guard.closed == {("", CloseReason.BYTES): 4}


async def test_a_client_that_reads_nothing_is_cut_off() -> None:
    limits = attrs.evolve(LIMITS, max_buffered_bytes=100_000_000)
    async with serving(limits) as server:
        client = await server.connect()
        client.reader._transport.pause_reading()  # type: ignore[attr-defined]
        client.writer.write(b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.2)
        server.tick(31)
        assert server.guard.count == 1
        server.tick()
        assert server.guard.count == 0
        assert server.guard.closed == {("", CloseReason.UNREAD): 1}


async def test_closed_connections_are_reported_together(journal: Journal) -> None:
    """Guards against a log line for each connection of an attack."""
    registry = CollectorRegistry()
    guard = make_connection_guard(LIMITS, journal, registry)
    for _ in range(100):
        guard.count_closed("caller_address", CloseReason.COUNT)
    for _ in range(20):
        guard._tick()
    assert [entry.number for entry in journal.entries] == [520]
    assert "100 connections at caller_address" in journal.entries[0].text
    metrics = generate_latest(registry).decode()
    assert 'closed_total{port="caller_address",reason="connections"} 100.0' in metrics
