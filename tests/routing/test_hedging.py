"""An answer that nobody takes is closed, so that it does not hold a slot of a gate for good."""

import asyncio

import attrs
import pytest
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import ServerState
from kingcuppond.outcomes import Failure, NotRun, Reason
from kingcuppond.routing.call import Answer, Body, Call
from kingcuppond.routing.choice import Candidate
from kingcuppond.routing.hedging import cancel_attempts, close_when_done, first_answer
from kingcuppond.routing.router import HEDGE_LATENCY_RATIO, HEDGE_MIN_SECONDS
from tests.routing.test_router import FakeSender, make_member, make_router

ROUNDS = 5
"""Rounds of the event loop in which a closing takes effect."""


@attrs.define
class Attempt:
    """An attempt that ends when a test wants, and its answer.

    :ivar may_end: set when the attempt may end
    :ivar closes: how often its answer was closed
    """

    may_end: asyncio.Event = attrs.field(factory=asyncio.Event)
    closes: int = 0

    async def run(self) -> Result[Answer, Failure]:
        await self.may_end.wait()
        return Ok(Answer(200, (), close=self._close))

    async def _close(self) -> None:
        self.closes += 1


async def run_rounds() -> None:
    for _ in range(ROUNDS):
        await asyncio.sleep(0)


@pytest.mark.parametrize("rounds_before", range(ROUNDS))
@pytest.mark.parametrize("others", [0, 1])
async def test_answer_is_closed_if_the_caller_leaves_as_it_comes(
    rounds_before: int, others: int
) -> None:
    attempt = Attempt()
    tasks = {asyncio.create_task(it.run()) for it in [attempt, *(Attempt() for _ in range(others))]}
    waiting = asyncio.create_task(first_answer(tasks))
    await run_rounds()
    attempt.may_end.set()
    for _ in range(rounds_before):
        await asyncio.sleep(0)
    is_taken = waiting.done()
    waiting.cancel()
    await run_rounds()
    assert attempt.closes == (0 if is_taken else 1)


async def test_answers_that_come_second_are_closed() -> None:
    first, second = Attempt(), Attempt()
    tasks = {asyncio.create_task(it.run()) for it in (first, second)}
    first.may_end.set()
    second.may_end.set()
    assert (await first_answer(tasks)).is_ok()
    await run_rounds()
    assert first.closes + second.closes == 1


async def test_attempts_that_fail_or_are_cancelled_have_nothing_to_close() -> None:
    async def fail() -> Result[Answer, Failure]:
        return Error(NotRun(Reason.FULL, "all slots are in use"))

    async def crash() -> Result[Answer, Failure]:
        raise RuntimeError("a bug")

    tasks = [asyncio.create_task(work()) for work in (fail, crash, Attempt().run)]
    await run_rounds()
    cancel_attempts(tasks)
    await run_rounds()
    assert all(task.done() for task in tasks)


async def test_closing_waits_for_the_end_of_a_task_that_goes_on() -> None:
    attempt = Attempt()
    close_when_done(asyncio.create_task(attempt.run()))
    await run_rounds()
    assert attempt.closes == 0
    attempt.may_end.set()
    await run_rounds()
    assert attempt.closes == 1


@attrs.define
class SlowSender(FakeSender):
    """A sender whose only attempt ends when a test wants."""

    slow: Attempt = attrs.field(factory=Attempt)

    async def attempt(self, call: Call, candidate: Candidate) -> Result[Answer, Failure]:
        return await self.slow.run()


@pytest.mark.parametrize("rounds_before", range(ROUNDS))
async def test_answer_is_closed_if_the_caller_leaves_where_no_hedge_is_made(
    clock: Clock, journal: Journal, rounds_before: int
) -> None:
    """Guards against slots of a gate that are lost for good when a paused process goes on.

    The end of the attempt and the caller's leaving are due in the same round of the loop then.
    """
    directory = Directory(make_member("me"), clock, journal)
    directory.merge(attrs.evolve(make_member("vm-0"), state=ServerState.WARM))
    sender = SlowSender(lambda _call, _attempts: None)
    sender.typical_latencies.update("read", HEDGE_MIN_SECONDS / HEDGE_LATENCY_RATIO, 1.0)
    router = make_router(directory, clock, journal, sender)
    deadline = clock.monotonic() + 4.0
    call = Call("c", "read", "shop", "GET", "/", (), Body(), deadline, 1, 3, False, "f")
    waiting = asyncio.create_task(router.run(call))
    await asyncio.sleep(HEDGE_MIN_SECONDS * 3)
    sender.slow.may_end.set()
    for _ in range(rounds_before):
        await asyncio.sleep(0)
    is_taken = waiting.done()
    waiting.cancel()
    await run_rounds()
    assert sender.slow.closes == (0 if is_taken else 1)
