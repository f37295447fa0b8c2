"""What another daemon wrote for an earlier call is never taken as the answer to a later one."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Protocol, cast

import pytest
from expression import Result

from kingcuppond.clock import Clock
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown, problem_body
from kingcuppond.routing.call import Answer, Body, Call
from kingcuppond.routing.choice import Candidate
from kingcuppond.routing.exchange import open_session
from kingcuppond.routing.sender import Sender
from kingcuppond.routing.view import ServerView
from tests.gate.test_stale_refusals import ID, serving


class Listener(Protocol):
    """Something that listens at an address."""

    address: str


def reply(outcome: str, call_id: str, body: bytes = b"ok") -> bytes:
    identity = f"Kingcuppond-Call: {call_id}\r\n" if call_id else ""
    status = "200 OK" if outcome == "answered" else "503 No"
    head = (
        f"HTTP/1.1 {status}\r\nKingcuppond-Outcome: {outcome}\r\n{identity}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def refusal(call_id: str) -> bytes:
    return reply("not-run", call_id, problem_body(NotRun(Reason.FULL, "")))


@asynccontextmanager
async def sender_to(server: Listener) -> AsyncIterator[Sender]:
    clock = Clock()
    journal = Journal("vm-1", clock)
    directory = Directory(Member("vm-1", "a", "shop", "1:1", "1:2", "1:3", 1), clock, journal)
    directory.merge(Member("vm-2", "a", "shop", server.address, "1:2", "1:3", 1))
    session = open_session()
    try:
        yield Sender(directory, cast(Any, None), session, b"", clock, journal)
    finally:
        await session.close()


async def send(sender: Sender, call_id: str, request_id: str = "") -> Result[Answer, Failure]:
    deadline = time.monotonic() + 10.0
    call = Call(
        id=call_id,
        class_name="read",
        service="shop",
        method="POST",
        target="/",
        headers=((ID, request_id),) if request_id else (),
        body=Body(),
        deadline=deadline,
        depth=0,
        retry_budget=0,
        at_most_once=True,
        fingerprint="f",
        request_id=request_id,
        target_at=deadline,
    )
    return await sender.attempt(call, Candidate("vm-2", ServerView()))


@pytest.mark.parametrize("stale_id", ["", "vm-1/1/1"], ids=["without an id", "of earlier call"])
async def test_refusal_for_an_earlier_call_leaves_the_outcome_unknown(stale_id: str) -> None:
    """A call at most once that is taken as not run goes to a second server."""
    first, second = reply("answered", "vm-1/1/1"), reply("answered", "vm-1/1/2")
    async with serving([first], [refusal(stale_id), second]) as server, sender_to(server) as sender:
        assert (await send(sender, "vm-1/1/1")).is_ok()
        assert isinstance((await send(sender, "vm-1/1/2")).error, Unknown)
        assert server.connections == 1


async def test_answer_to_an_earlier_call_leaves_the_outcome_unknown() -> None:
    first, second = reply("answered", "vm-1/1/1"), reply("answered", "vm-1/1/2")
    async with serving([first], [first, second]) as server, sender_to(server) as sender:
        assert (await send(sender, "vm-1/1/1")).is_ok()
        assert isinstance((await send(sender, "vm-1/1/2")).error, Unknown)


async def test_answers_with_the_id_of_the_call_are_accepted() -> None:
    script = [[reply("answered", "vm-1/1/1")], [refusal("vm-1/1/2")], [reply("answered", "x")]]
    async with serving(*script) as server, sender_to(server) as sender:
        assert (await send(sender, "vm-1/1/1")).is_ok()
        assert (await send(sender, "vm-1/1/2")).error == NotRun(
            Reason.FULL, "reported by the gate of vm-2"
        )
        assert server.connections == 1


async def test_refusal_without_an_id_on_a_new_connection_is_not_run() -> None:
    """A daemon that can't read the call can't tell its id."""
    async with serving([refusal("")]) as server, sender_to(server) as sender:
        assert isinstance((await send(sender, "vm-1/1/1")).error, NotRun)
