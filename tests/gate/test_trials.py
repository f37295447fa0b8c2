"""A request that takes servers down is told from others, and stopped before it reaches a server."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest
from expression import Result

from kingcuppond.clock import Clock
from kingcuppond.events.journal import Journal
from kingcuppond.gate.gate import Gate
from kingcuppond.gate.trials import MAX_READ_AHEAD_BYTES, Trials
from kingcuppond.outcomes import Failure, NotRun, Reason
from kingcuppond.quarantine.fingerprints import fingerprint
from kingcuppond.quarantine.messages import QuarantineLevel
from kingcuppond.quarantine.suspects import SuspectTable
from kingcuppond.routing.call import BODY_MEMORY_BYTES, Answer, Body, Call
from tests.gate.test_stale_refusals import ID, make_gate

LONG_BODY = b"x" * 300_000
HARMFUL_BODY = LONG_BODY[:-1] + b"!"
ROUNDS = 8


@attrs.define
class CrashingServer:
    """Stops listening, as if it had crashed, when it has read a harmful request.

    :param harmful_caller: the service whose requests are harmful, empty for any
    :param harmful_body: the body of harmful requests
    :param status: status line of all answers
    """

    harmful_caller: str = ""
    harmful_body: bytes = b""
    status: str = "200 OK"
    address: str = ""
    requests: int = 0
    crashes: int = 0
    _listener: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listen at the same address as before."""
        host, _, port = (self.address or "127.0.0.1:0").rpartition(":")
        self._listener = await asyncio.start_server(self.serve, host, int(port))
        self.address = f"{host}:{self._listener.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Close all sockets."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self._writers.add(writer)
        try:
            while True:
                await self._serve_one(reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        body = b""
        if "transfer-encoding: chunked" in head:
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        elif "content-length: " in head:
            length = head.partition("content-length: ")[2].partition("\r")[0]
            body = await reader.readexactly(int(length))
        self.requests += 1
        is_harmful_caller = f"caller-service: {self.harmful_caller}" in head
        if is_harmful_caller and body == self.harmful_body:
            self.crashes += 1
            self.stop()
            raise ConnectionResetError
        request_id = head.partition(f"{ID.lower()}: ")[2].partition("\r")[0]
        writer.write(
            f"HTTP/1.1 {self.status}\r\n{ID}: {request_id}\r\n"
            "X-Kingcuppond-Server-Seal: 3e1b\r\nContent-Length: 2\r\n\r\nok".encode()
        )


@asynccontextmanager
async def gate_beside(server: CrashingServer) -> AsyncIterator[Gate]:
    await server.start()
    async with make_gate(server.address) as gate:
        # Calls fail only once it is known whether the server is gone.
        gate.suspect_delay_seconds = 0.01
        yield gate
    server.stop()


async def pieces_of(body: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(body), 50_000):
        yield body[start : start + 50_000]


def make_call(number: int, caller: str, body: bytes, is_relayed: bool) -> Call:
    """Make a call as it is read from its caller, or from the daemon that relays it."""
    is_long = len(body) > BODY_MEMORY_BYTES
    start = body[:BODY_MEMORY_BYTES]
    content = Body(body, None, len(body))
    if is_long:
        held = b"" if is_relayed else start
        content = Body(held, pieces_of(body[len(held) :]), len(body))
    return Call(
        id=f"vm-1/1/{number}",
        class_name="read",
        service="shop",
        method="POST",
        target="/",
        headers=((ID, f"r{number}"),),
        body=content,
        deadline=time.monotonic() + 5.0,
        depth=0,
        retry_budget=0,
        at_most_once=False,
        fingerprint=fingerprint(caller, "a", "POST", "/", start, is_partial=is_long),
        request_id=f"r{number}",
        caller_service=caller,
    )


async def run_beside_others(
    server: CrashingServer, harmful: tuple[str, bytes], harmless: tuple[str, bytes]
) -> list[Result[Answer, Failure]]:
    """Send a harmful and two harmless requests in turn; return the results of the harmful ones."""
    results = []
    async with gate_beside(server) as gate:
        for number in range(ROUNDS):
            if server._listener is None:
                await server.start()
            is_relayed = number % 2 == 1
            results.append(await gate.run(make_call(3 * number, *harmful, is_relayed)))
            if server._listener is None:
                await server.start()
            for other in (1, 2):
                answered = await gate.run(
                    make_call(3 * number + other, *harmless, is_relayed=other == 1)
                )
                assert answered.is_ok() and answered.ok.status == int(server.status[:3])
    return results


def is_held(result: Result[Answer, Failure]) -> bool:
    return result.is_error() and result.error.reason is Reason.HARMFUL


async def test_answers_to_another_caller_do_not_clear_a_request() -> None:
    """The same path and body of another caller cleared it each time, so that it was never held."""
    server = CrashingServer("yard")
    results = await run_beside_others(server, ("yard", b""), ("desk", b""))
    assert server.crashes == 2
    assert all(map(is_held, results[2:]))


async def test_answers_to_another_long_body_do_not_clear_a_request() -> None:
    """Bodies that differed after their first part shared a state, and cleared each other."""
    server = CrashingServer(harmful_body=HARMFUL_BODY)
    results = await run_beside_others(server, ("yard", HARMFUL_BODY), ("yard", LONG_BODY))
    assert server.crashes == 2
    assert all(map(is_held, results[2:]))


async def test_failures_do_not_clear_a_request() -> None:
    """A server may fail requests that it hasn't run."""
    server = CrashingServer("yard")
    async with gate_beside(server) as gate:
        await gate.run(make_call(1, "yard", b"", False))
        server.harmful_caller, server.status = "none", "500 Internal Server Error"
        await server.start()
        call = make_call(2, "yard", b"", False)
        assert (await gate.run(call)).ok.status == 500
        assert gate.suspects.level(call.fingerprint) is QuarantineLevel.SUSPECTED
        server.status = "200 OK"
        assert (await gate.run(make_call(3, "yard", b"", False))).is_ok()
        assert gate.suspects.level(call.fingerprint) is QuarantineLevel.CLEARED


async def test_a_held_long_body_does_not_reach_the_server(suspects: SuspectTable) -> None:
    whole = make_call(1, "yard", HARMFUL_BODY, False)
    await whole.body.buffer_whole(lambda _size: True)
    suspects.record_server_loss(f"{whole.fingerprint}{whole.body.tail_digest}", is_on_trial=True)
    sent: list[Call] = []

    async def send(call: Call) -> Result[Answer, Failure]:
        sent.append(call)
        return Result.Ok(Answer(200, ()))

    trials = Trials(suspects)
    for is_relayed in (False, True):
        held = await trials.run(make_call(2, "yard", HARMFUL_BODY, is_relayed), lambda: None, send)
        assert is_held(held)
        innocent = make_call(3, "yard", LONG_BODY, is_relayed)
        assert (
            await trials.run(attrs.evolve(innocent, is_on_trial=True), lambda: None, send)
        ).is_ok()
    assert [call.body.buffered for call in sent] == [LONG_BODY] * 2
    assert not any(call.is_on_trial for call in sent), "the whole request is not suspected"
    assert trials.free_bytes == MAX_READ_AHEAD_BYTES


@pytest.mark.parametrize("is_length_known", [False, True], ids=["chunks", "length"])
async def test_bodies_read_ahead_share_a_bound(
    suspects: SuspectTable, is_length_known: bool
) -> None:
    """A crowd of long bodies that start like a suspected one must not fill the memory."""
    suspects.record_server_loss(make_call(1, "yard", LONG_BODY, False).fingerprint, False)
    release = asyncio.Event()

    async def send(_call: Call) -> Result[Answer, Failure]:
        await release.wait()
        return Result.Ok(Answer(200, ()))

    trials = Trials(suspects)
    count = MAX_READ_AHEAD_BYTES // len(LONG_BODY) + 5
    calls = [make_call(number, "yard", LONG_BODY, True) for number in range(count)]
    if not is_length_known:
        for call in calls:
            call.body.length = None
    tasks = [asyncio.create_task(trials.run(call, lambda: None, send)) for call in calls]
    await asyncio.sleep(0.05)
    assert 0 <= trials.free_bytes < len(LONG_BODY)
    release.set()
    results = await asyncio.gather(*tasks)
    refused = [result.error for result in results if result.is_error()]
    assert len(refused) == 5
    assert all(isinstance(it, NotRun) and it.reason is Reason.FULL for it in refused)
    assert trials.free_bytes == MAX_READ_AHEAD_BYTES


@pytest.fixture
def suspects() -> SuspectTable:
    clock = Clock()
    return SuspectTable("vm-1", clock, Journal("vm-1", clock))
