"""Clients that send requests ahead take their turns, and do not hold up the others."""

import asyncio
from contextlib import ExitStack, suppress
from socket import socket

from aiohttp import web

from kingcuppond.ingress.http_server import listen, make_server
from kingcuppond.ingress.pipelining import TURNS_PER_ROUND, PipelineTurns

CROWD = 300
REQUESTS_AHEAD = 200
ROUNDS = 20
"""Rounds of the event loop that an ordinary request takes."""

AHEAD = b"GET /ahead HTTP/1.1\r\nHost: a\r\n\r\n"
ORDINARY = b"GET /ordinary HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


async def test_turns_are_given_in_order_a_few_in_each_round() -> None:
    turns = PipelineTurns()
    taken: list[int] = []

    async def take(number: int) -> None:
        await turns.take()
        taken.append(number)

    tasks = [asyncio.create_task(take(number)) for number in range(3 * TURNS_PER_ROUND)]
    await asyncio.sleep(0)
    tasks[1].cancel()
    counts = []
    while len(taken) < len(tasks) - 1:
        before = len(taken)
        await asyncio.sleep(0)
        counts.append(len(taken) - before)
    assert taken == [number for number in range(len(tasks)) if number != 1]
    assert max(counts) <= TURNS_PER_ROUND


async def test_an_ordinary_request_waits_for_few_of_those_sent_ahead() -> None:
    """Guards against a crowd whose requests take up each round of the event loop.

    No ordinary request was answered then, for minutes.
    """
    begun: list[str] = []

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        begun.append(request.path)
        if request.path == "/ordinary":
            for _ in range(ROUNDS):
                await asyncio.sleep(0)
            return web.Response(text=str(len(begun)))
        return web.Response(body=bytes(1000))

    runner = (await listen(make_server(handle), "127.0.0.1:0")).ok
    address = runner.addresses[0]
    loop = asyncio.get_running_loop()
    with ExitStack() as stack:
        for _ in range(CROWD):
            client = stack.enter_context(socket())
            client.setblocking(False)
            await loop.sock_connect(client, address)
            await loop.sock_sendall(client, AHEAD * REQUESTS_AHEAD)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(ORDINARY)
        answer = await asyncio.wait_for(reader.read(), 30.0)
        writer.close()
        begun_before = begun.index("/ordinary")
        begun_during = int(answer.rpartition(b"\r\n")[2]) - begun_before
    await runner.cleanup()
    assert begun_during <= 2 * ROUNDS * TURNS_PER_ROUND
    assert begun_before < CROWD * REQUESTS_AHEAD // 2, "the crowd had not been served before"


async def test_requests_sent_ahead_are_all_answered_in_order() -> None:
    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        await asyncio.sleep(0)
        return web.Response(text=request.path)

    runner = (await listen(make_server(handle), "127.0.0.1:0")).ok

    async def send_ahead() -> list[bytes]:
        reader, writer = await asyncio.open_connection(*runner.addresses[0])
        for number in range(50):
            writer.write(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % number)
        received = b""
        with suppress(TimeoutError):
            async with asyncio.timeout(10.0):
                while received.count(b"HTTP/1.1 200") < 50 or not received.endswith(b"/49"):
                    received += await reader.read(65_536)
        writer.close()
        return [line for line in received.split(b"\r\n\r\n")[1:]]

    for bodies in await asyncio.gather(*(send_ahead() for _ in range(20))):
        paths = [body.partition(b"HTTP/1.1")[0] for body in bodies]
        assert paths == [b"/%d" % number for number in range(50)]
    await runner.cleanup()
