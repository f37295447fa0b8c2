"""A daemon's answer to a relayed call names the call that it belongs to."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
from multidict import CIMultiDict

from kingcuppond.gate.gate import Gate
from kingcuppond.ingress.http_server import listen, make_server
from kingcuppond.ingress.in_progress import RequestsInProgress
from kingcuppond.ingress.relayed_calls import RelayedCallPort
from kingcuppond.outcomes import NotRun
from kingcuppond.routing.budgets import WindowBudget
from kingcuppond.routing.call import Body
from kingcuppond.routing.exchange import exchange, open_session
from kingcuppond.routing.headers import CALL_HEADER, RELAY_HEADER
from tests.gate.test_stale_refusals import ID, answer, gate_of, refusal, serving
from tests.routing.test_stale_relayed_answers import send, sender_to


async def do_nothing() -> None:
    return


@attrs.define
class RelayPort:
    """The address of a daemon for relayed calls."""

    address: str


@asynccontextmanager
async def relay_port_of(gate: Gate) -> AsyncIterator[RelayPort]:
    gate.directory.me = attrs.evolve(gate.directory.me, vm="vm-2")
    report_budget = WindowBudget(lambda: 0, gate.clock.monotonic)
    requests = RequestsInProgress("vm-2", gate.clock, do_nothing)
    port = RelayedCallPort("vm-2", gate, b"", report_budget, gate.clock, requests)
    runner = (await listen(make_server(port.handle), "127.0.0.1:0")).ok
    host, number = runner.addresses[0]
    try:
        yield RelayPort(f"{host}:{number}")
    finally:
        await runner.cleanup()


async def test_refusal_of_a_relayed_call_on_a_used_connection_is_not_run() -> None:
    async with (
        serving([answer("a")]) as server,
        gate_of(server) as gate,
        relay_port_of(gate) as port,
        sender_to(port) as sender,
    ):
        assert (await send(sender, "vm-1/1/1", "a")).is_ok()
        server.pieces_by_request = [[refusal("503 Full", "b")]]
        assert isinstance((await send(sender, "vm-1/1/2", "b")).error, NotRun)
        server.pieces_by_request = [[answer("c")]]
        assert (await send(sender, "vm-1/1/3", "c")).is_ok()


async def test_call_that_fails_the_check_of_its_sender_gets_no_id_and_a_closed_connection() -> None:
    async with serving() as server, gate_of(server) as gate, relay_port_of(gate) as port:
        session = open_session()
        headers = CIMultiDict({RELAY_HEADER: "{}", ID: "a"})
        deadline = gate.clock.monotonic() + 2.0
        result = await exchange(session, port.address, "GET", "/", headers, Body(), deadline)
        assert result.ok.headers["Connection"] == "close"
        assert CALL_HEADER not in result.ok.headers
        await session.close()
