"""From which moment on a call may have run, as far as its sender knows."""

import asyncio
import time

import pytest

from kingcuppond.routing.call import Body, Call
from kingcuppond.routing.choice import Candidate
from kingcuppond.routing.view import ServerView
from tests.gate.test_stale_refusals import ScriptedServer, gate_of, serving
from tests.routing.test_stale_relayed_answers import refusal, sender_to

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
SETTLING_SECONDS = 0.1


def make_call(body: bytes = b"", at_most_once: bool = True) -> Call:
    deadline = time.monotonic() + 10.0
    content = Body(body, length=len(body))
    return Call(
        *("vm-1/1/1", "read", "shop", "POST", "/", (), content, deadline, 0, 0, at_most_once, "f"),
        target_at=deadline,
        is_last_resort=True,
    )


async def cancel_relayed(server: ScriptedServer, call: Call) -> None:
    """Relay a call to a daemon that does not answer, and give it up."""
    async with sender_to(server) as sender:
        attempt = asyncio.create_task(sender.attempt(call, Candidate("vm-2", ServerView())))
        await asyncio.sleep(SETTLING_SECONDS)
        assert server.requests == 1
        attempt.cancel()
        await asyncio.wait({attempt})


async def test_a_relayed_call_whose_body_the_gate_has_not_asked_for_has_not_run() -> None:
    call = make_call(b"body")
    async with serving([]) as server:
        await cancel_relayed(server, call)
    assert not call.delivery.may_have_run


@pytest.mark.parametrize(
    ("pieces", "body", "at_most_once"),
    [([CONTINUE], b"body", True), ([], b"", True), ([], b"body", False)],
    ids=["body asked for", "no body", "body sent at once"],
)
async def test_a_relayed_call_that_was_sent_whole_may_have_run(
    pieces: list[bytes], body: bytes, at_most_once: bool
) -> None:
    call = make_call(body, at_most_once)
    async with serving(pieces) as server:
        await cancel_relayed(server, call)
    assert call.delivery.may_have_run


async def test_a_call_that_a_gate_refused_has_not_run() -> None:
    call = make_call()
    async with serving([refusal(call.id)]) as server, sender_to(server) as sender:
        assert (await sender.attempt(call, Candidate("vm-2", ServerView()))).is_error()
    assert not call.delivery.may_have_run


async def test_a_call_that_waits_at_the_gate_has_not_run_until_it_is_sent() -> None:
    async with serving([], []) as server, gate_of(server) as gate:
        gate.limit.set_slots(1)
        first, second = make_call(), make_call()
        calls = [asyncio.create_task(gate.run(call)) for call in (first, second)]
        await asyncio.sleep(SETTLING_SECONDS)
        for task in calls:
            task.cancel()
        await asyncio.wait(calls)
    assert (first.delivery.may_have_run, second.delivery.may_have_run) == (True, False)
