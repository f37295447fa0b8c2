"""The number of calls in flight stays within the limit, and every call ends in exactly one way."""

import asyncio

import attrs
import pytest
from expression import Result
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppond.gate.admission import Admission, Ticket
from kingcuppond.gate.cold_rate_limiter import ColdRateLimiter
from kingcuppond.gate.concurrency_limit import ConcurrencyLimit
from kingcuppond.gate.queueing import Standing
from kingcuppond.outcomes import NotRun, Reason


@attrs.define
class Refusal:
    """A refusal that a test can set and clear."""

    reason: NotRun | None = None

    def read(self) -> NotRun | None:
        return self.reason


def make_admission(
    limit: int, refusal: Refusal | None = None, is_adaptive: bool = True
) -> Admission:
    now = asyncio.get_running_loop().time
    rate_limiter = ColdRateLimiter(lambda: None, now)
    concurrency = ConcurrencyLimit(slots=limit, limit=limit, is_adaptive=is_adaptive)
    return Admission(concurrency, (refusal or Refusal()).read, now, rate_limiter)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("enter"), st.sampled_from("ab"), st.booleans()),
        st.tuples(st.just("leave"), st.integers(0, 9), st.none()),
        st.tuples(st.just("cancel"), st.integers(0, 9), st.none()),
        st.tuples(st.just("limit"), st.integers(1, 4), st.none()),
    ),
    max_size=40,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(STEPS)
def test_in_flight_stays_within_the_limit_and_nothing_leaks(
    steps: list[tuple[str, object, object]],
) -> None:
    asyncio.run(_run_steps(steps))


async def _run_steps(steps: list[tuple[str, object, object]]) -> None:
    admission = make_admission(3)
    tasks: list[asyncio.Task[Result[Ticket, NotRun]]] = []
    running: list[Ticket] = []
    taken: set[int] = set()
    for action, value, trial in steps:
        in_flight_before = admission.in_flight
        if action == "enter":
            end = asyncio.get_running_loop().time() + 60
            tasks.append(asyncio.create_task(admission.acquire(str(value), end, bool(trial))))
        elif action == "leave" and running:
            assert isinstance(value, int)
            admission.release(running.pop(value % len(running)))
        elif action == "cancel" and tasks:
            assert isinstance(value, int)
            tasks[value % len(tasks)].cancel()
        elif action == "limit":
            assert isinstance(value, int)
            admission.limit.limit = value
            admission.process_queue()
        for _ in range(3):
            await asyncio.sleep(0)
        for i, task in enumerate(tasks):
            if i not in taken and task.done():
                taken.add(i)
                if not task.cancelled() and task.result().is_ok():
                    running.append(task.result().ok)
        assert admission.in_flight <= max(admission.limit.limit, in_flight_before)
        assert admission.in_flight == len(running)
        assert admission.trials_in_flight == sum(t.is_on_trial for t in running) <= 1
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    while running:
        admission.release(running.pop())
    assert (admission.in_flight, admission.waiting) == (0, 0)


async def test_a_call_of_the_class_with_most_waiting_is_shed() -> None:
    admission = make_admission(1, is_adaptive=False)
    end = asyncio.get_running_loop().time() + 60
    first = await admission.acquire("a", end, False)
    waiting_a = asyncio.create_task(admission.acquire("a", end, False))
    await asyncio.sleep(0)
    later_a = asyncio.create_task(admission.acquire("a", end + 1, False))
    await asyncio.sleep(0)
    assert (await later_a).error.reason is Reason.FULL
    admission.release(first.ok)
    assert (await waiting_a).is_ok()


async def test_a_call_waits_no_longer_than_its_queue_timeout() -> None:
    """Guards against a deadlock: the call in the slot may itself wait for the queued call."""
    admission = make_admission(1)
    end = asyncio.get_running_loop().time() + 60
    first = await admission.acquire("a", end, False)
    refused = await admission.acquire("a", end, False, queue_timeout_seconds=0.01)
    assert refused.error.reason is Reason.FULL
    assert (admission.in_flight, admission.waiting) == (1, 0)
    admission.release(first.ok)
    assert admission.in_flight == 0


async def test_a_burst_is_queued_while_the_limit_is_adaptive() -> None:
    """A little-used server has a limit far below its capacity, so a burst must not be refused."""
    admission = make_admission(1)
    end = asyncio.get_running_loop().time() + 60
    first = await admission.acquire("a", end, False)
    burst = [asyncio.create_task(admission.acquire("a", end, False)) for _ in range(5)]
    for _ in range(3):
        await asyncio.sleep(0)
    assert [task.done() for task in burst].count(True) == 1, "four calls may wait for each slot"
    admission.release(first.ok)
    served = 0
    for task in burst:
        result = await task
        if result.is_ok():
            admission.release(result.ok)
            served += 1
    assert served == 4


async def test_waiting_calls_are_refused_when_the_server_leaves() -> None:
    refusal = Refusal()
    admission = make_admission(1, refusal)
    end = asyncio.get_running_loop().time() + 60
    await admission.acquire("a", end, False)
    waiting = asyncio.create_task(admission.acquire("a", end, False))
    await asyncio.sleep(0)
    refusal.reason = NotRun(Reason.LEAVING, "leaving")
    admission.process_queue()
    assert (await waiting).error.reason is Reason.LEAVING


@pytest.mark.parametrize("is_leaving", [False, True])
async def test_a_slot_that_becomes_free_as_a_wait_is_cancelled_goes_to_the_next(
    is_leaving: bool,
) -> None:
    """Guards against a decision on a call that was cancelled and has not yet left the queue."""
    refusal = Refusal()
    admission = make_admission(1, refusal)
    end = asyncio.get_running_loop().time() + 60
    first = await admission.acquire("a", end, False)
    cancelled, waiting = [asyncio.create_task(admission.acquire("a", end, False)) for _ in range(2)]
    await asyncio.sleep(0)
    cancelled.cancel()
    if is_leaving:
        refusal.reason = NotRun(Reason.LEAVING, "leaving")
    admission.release(first.ok)
    await asyncio.wait({cancelled, waiting})
    assert cancelled.cancelled()
    assert (await waiting).is_error() == is_leaving
    assert (admission.in_flight, admission.waiting) == (int(not is_leaving), 0)


async def test_a_call_is_refused_as_soon_as_it_cannot_meet_its_deadline() -> None:
    """Guards against a refusal at the deadline, which leaves the caller no time to try again."""
    admission = make_admission(1)
    loop = asyncio.get_running_loop()
    end = loop.time() + 60
    await admission.acquire("a", end, False)
    refused = await admission.acquire("a", end, False, standing=Standing(run_seconds=59.98))
    assert refused.error.reason is Reason.DEADLINE
    assert loop.time() < end - 59
    assert admission.waiting == 0
