"""A refusal that a server wrote for an earlier request says nothing about a later one."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import attrs
import pytest
from expression import Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events.journal import Journal
from kingcuppond.gate.gate import Gate
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member, ServerState
from kingcuppond.outcomes import Failure, NotRun, Unknown
from kingcuppond.platform.calls import PLATFORM_DIALECT
from kingcuppond.quarantine.suspects import SuspectTable
from kingcuppond.routing.call import Answer, Body, Call
from kingcuppond.routing.exchange import open_session
from tests.servers import listening

ID = "X-Kingcuppond-Attempt-Id"
ANSWER_PAUSE_SECONDS = 0.05
"""Time between two pieces of what a server writes, so that they arrive one after the other."""


def answer(request_id: str) -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\n{ID}: {request_id}\r\nX-Kingcuppond-Server-Seal: 3e1b\r\n"
        "Content-Length: 2\r\n\r\nok"
    ).encode()


def refusal(status: str, request_id: str) -> bytes:
    identity = f"{ID}: {request_id}\r\n" if request_id else ""
    marker = "" if status.startswith("421") else "X-Kingcuppond-Not-Executed: 1\r\n"
    return f"HTTP/1.1 {status}\r\n{identity}{marker}Content-Length: 0\r\n\r\n".encode()


@attrs.define
class ScriptedServer:
    """Writes fixed pieces after each request of a connection, with a pause between them.

    :param pieces_by_request: what is written after the first request, the second, and so on
    :param requests: number of requests read on all connections
    :param written: set when all that follows some request has been written
    """

    pieces_by_request: list[list[bytes]]
    address: str = ""
    connections: int = 0
    requests: int = 0
    written: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            for pieces in self.pieces_by_request:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(ANSWER_PAUSE_SECONDS)
                self.written.set()
            await reader.read()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


@asynccontextmanager
async def serving(*pieces_by_request: list[bytes]) -> AsyncIterator[ScriptedServer]:
    scripted = ScriptedServer(list(pieces_by_request))
    async with listening(scripted.serve) as scripted.address:
        yield scripted


def gate_of(server: ScriptedServer) -> AbstractAsyncContextManager[Gate]:
    return make_gate(server.address)


@asynccontextmanager
async def make_gate(address: str) -> AsyncIterator[Gate]:
    clock = Clock()
    journal = Journal("vm-1", clock)
    me = Member("vm-1", "a", "shop", "1:1", "1:2", "1:3", 1, state=ServerState.WARM)
    sessions = open_session(), open_session(reuses_connections=False)
    gate = Gate(
        Directory(me, clock, journal),
        Configuration(journal, is_complete=True),
        SuspectTable("vm-1", clock, journal),
        *sessions,
        clock,
        journal,
        PLATFORM_DIALECT,
        server_timeout_seconds=60.0,
        suspect_delay_seconds=0.0,
        is_isolated=lambda: False,
    )
    gate.address = address
    try:
        yield gate
    finally:
        for session in sessions:
            await session.close()


async def run(
    gate: Gate, request_id: str, at_most_once: bool = False, seconds: float = 10.0
) -> Result[Answer, Failure]:
    call = Call(
        id=f"vm-1/1/{request_id}",
        class_name="read",
        service="shop",
        method="GET",
        target="/",
        headers=((ID, request_id),) if request_id else (),
        body=Body(),
        deadline=time.monotonic() + seconds,
        depth=0,
        retry_budget=0,
        at_most_once=at_most_once,
        fingerprint="f",
        request_id=request_id,
    )
    return await gate.run(call)


REFUSALS = {
    f"{status} {name}": refusal(status, request_id)
    for status in ("503 Full", "429 Too Many", "421 Misdirected")
    for name, request_id in (("without an id", ""), ("of the earlier request", "a"))
}


@pytest.mark.parametrize("stale", REFUSALS.values(), ids=REFUSALS)
async def test_refusal_read_instead_of_the_answer_leaves_the_outcome_unknown(stale: bytes) -> None:
    """It comes after the next request was written, before the true answer."""
    async with serving([answer("a")], [stale, answer("b")]) as server, gate_of(server) as gate:
        assert (await run(gate, "a")).is_ok()
        result = await run(gate, "b")
        assert isinstance(result.error, Unknown)
        assert (server.connections, server.requests) == (1, 2)


@pytest.mark.parametrize("stale", REFUSALS.values(), ids=REFUSALS)
async def test_connection_is_not_used_after_an_answer_of_another_request(stale: bytes) -> None:
    """Each further call would get the answer to the one before."""
    async with serving([answer("a")], [stale, answer("b")]) as server, gate_of(server) as gate:
        assert (await run(gate, "a")).is_ok()
        server.pieces_by_request = [[answer("c")]]
        assert isinstance((await run(gate, "b")).error, Unknown)
        assert (await run(gate, "c")).is_ok()
        assert server.connections == 2


@pytest.mark.parametrize("stale", REFUSALS.values(), ids=REFUSALS)
async def test_refusal_after_an_answer_is_not_used(stale: bytes) -> None:
    """It comes in one segment with the answer."""
    async with serving([answer("a") + stale], [answer("b")]) as server, gate_of(server) as gate:
        assert (await run(gate, "a")).is_ok()
        server.pieces_by_request = [[answer("b")]]
        assert (await run(gate, "b")).is_ok()
        assert server.connections == 2


@pytest.mark.parametrize("stale", REFUSALS.values(), ids=REFUSALS)
async def test_refusal_on_an_idle_connection_is_not_used(stale: bytes) -> None:
    async with serving([answer("a"), stale], [answer("b")]) as server, gate_of(server) as gate:
        assert (await run(gate, "a")).is_ok()
        await server.written.wait()
        server.pieces_by_request = [[answer("b")]]
        assert (await run(gate, "b")).is_ok()
        assert server.connections == 2


@pytest.mark.parametrize("start", [1, 2, 9, 20])
async def test_start_of_a_refusal_on_an_idle_connection_closes_it(start: int) -> None:
    """The rest would be read as the answer to the next request."""
    stale = b"\r\n" + refusal("503 Full", "")
    script = [[answer("a"), stale[:start]], [stale[start:], answer("b")]]
    async with serving(*script) as server, gate_of(server) as gate:
        assert (await run(gate, "a")).is_ok()
        await server.written.wait()
        server.pieces_by_request = [[answer("b")]]
        assert (await run(gate, "b")).is_ok()
        assert server.connections == 2


async def test_rest_of_a_refusal_is_not_the_answer_to_the_next_request() -> None:
    """Its start comes in one segment with an answer, where it can't be noticed."""
    stale = b"\r\n" + refusal("503 Full", "")
    for start in range(1, len(stale)):
        script = [[answer("a") + stale[:start]], [stale[start:] + answer("b")]]
        async with serving(*script) as server, gate_of(server) as gate:
            assert (await run(gate, "a")).is_ok()
            result = await run(gate, "b")
            assert result.is_ok() or isinstance(result.error, Unknown)


@pytest.mark.parametrize("stale", REFUSALS.values(), ids=REFUSALS)
async def test_refusal_of_an_earlier_request_is_not_read_by_a_call_at_most_once(
    stale: bytes,
) -> None:
    async with serving([answer("a"), stale]) as server, gate_of(server) as gate:
        assert (await run(gate, "a")).is_ok()
        server.pieces_by_request = [[answer("b"), stale]]
        assert (await run(gate, "b", at_most_once=True)).is_ok()
        server.pieces_by_request = [[answer("c")]]
        assert (await run(gate, "c", at_most_once=True)).is_ok()
        assert server.connections == 3


@pytest.mark.parametrize("at_most_once", [False, True], ids=["repeatable", "at most once"])
@pytest.mark.parametrize("request_id", ["", "a"], ids=["without an id", "with its id"])
async def test_refusal_on_a_new_connection_is_not_run(request_id: str, at_most_once: bool) -> None:
    """It can only be the answer to this request, even if it is written twice."""
    twice = 2 * refusal("503 Full", request_id)
    async with serving([twice]) as server, gate_of(server) as gate:
        assert isinstance((await run(gate, "a", at_most_once)).error, NotRun)


async def test_refusal_with_its_id_on_a_used_connection_is_not_run() -> None:
    script = [[answer("a")], [refusal("503 Full", "b")], [answer("c")]]
    async with serving(*script) as server, gate_of(server) as gate:
        assert (await run(gate, "a")).is_ok()
        assert isinstance((await run(gate, "b")).error, NotRun)
        assert (await run(gate, "c")).is_ok()
        assert server.connections == 1


async def test_request_without_an_id_gets_a_connection_of_its_own() -> None:
    """No other answer can be told from the one to such a request."""
    async with serving([answer("a")], [answer("b")]) as server, gate_of(server) as gate:
        assert (await run(gate, "a")).is_ok()
        server.pieces_by_request = [[refusal("503 Full", "")]]
        assert isinstance((await run(gate, "")).error, NotRun)
        assert server.connections == 2
