"""How a daemon's planned stop waits for what has to end before its connections are closed."""

import asyncio
import socket
import time

import pytest
from aiohttp import web

from kingcuppond.daemon import Daemon
from kingcuppond.ingress.port import CallPort
from kingcuppond.settings.daemon import DaemonSettings
from standins.addresses import free_addresses

DEREGISTRATION_SECONDS = 1.6
LATE_CALL_SECONDS = 0.8
TIME_LIMIT_SECONDS = 1.0
SOCKET_BUFFER_BYTES = 4096
ANSWER_BYTES = 60_000
NOT_READ_SECONDS = 2.0


def make_daemon(grace_ms: int) -> Daemon:
    """Make a daemon that has not bound its addresses."""
    settings = DaemonSettings("vm-1", "dc-1", "shop", *free_addresses(5), grace_ms=grace_ms)
    return Daemon(settings, b"")


async def deregister_slowly() -> None:
    await asyncio.sleep(DEREGISTRATION_SECONDS)


async def test_a_slow_store_cuts_no_call_that_arrives_during_a_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A call that came after the last check for calls in progress was given up at the close."""
    daemon = make_daemon(grace_ms=0)
    monkeypatch.setattr(daemon.registration, "deregister", deregister_slowly)
    draining = asyncio.create_task(daemon.drain())
    await asyncio.sleep(DEREGISTRATION_SECONDS - LATE_CALL_SECONDS / 4)
    assert not draining.done()
    daemon.requests.count += 1
    await asyncio.sleep(LATE_CALL_SECONDS)
    is_waited_for = not draining.done()
    daemon.requests.count -= 1
    await draining
    await daemon.on_stop()
    assert is_waited_for


async def test_a_slow_store_does_not_delay_a_stop_beyond_its_time_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    daemon = make_daemon(int(TIME_LIMIT_SECONDS * 1000))
    monkeypatch.setattr(daemon.registration, "deregister", deregister_slowly)
    started = time.monotonic()
    await daemon.drain()
    seconds = time.monotonic() - started
    await daemon.on_stop()
    assert seconds < TIME_LIMIT_SECONDS


async def connect_slow_reader(address: str) -> socket.socket:
    host, port = address.split(":")
    connected = socket.socket()
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    connected.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connected, (host, int(port)))
    return connected


async def answer_through_a_small_buffer(
    _port: CallPort, request: web.BaseRequest, _started: float
) -> web.StreamResponse:
    assert request.transport is not None
    sending = request.transport.get_extra_info("socket")
    sending.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    response = web.Response(body=bytes(ANSWER_BYTES))
    response.force_close()
    return response


async def test_a_stop_does_not_cut_an_answer_that_is_read_slowly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The part of an answer that the kernel had not taken yet was lost with the process."""
    monkeypatch.setattr(CallPort, "_serve_caller", answer_through_a_small_buffer)
    daemon = make_daemon(grace_ms=0)
    assert (await daemon.bind()).is_ok()
    loop = asyncio.get_running_loop()
    caller = await connect_slow_reader(daemon.settings.caller_address)
    await loop.sock_sendall(caller, b"GET / HTTP/1.1\r\nHost: shop\r\n\r\n")
    draining = asyncio.create_task(daemon.drain())
    await asyncio.sleep(NOT_READ_SECONDS)
    is_waited_for = not draining.done()
    received = 0
    while data := await loop.sock_recv(caller, ANSWER_BYTES):
        received += len(data)
    caller.close()
    async with asyncio.timeout(NOT_READ_SECONDS):
        await draining
    await daemon.on_stop()
    assert received > ANSWER_BYTES
    assert is_waited_for
