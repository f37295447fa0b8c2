"""Admission never lets more run than the limit, and every call ends in one way."""

import asyncio

import attrs
from expression import Result
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppond.gate.admission import Admission, Ticket
from kingcuppond.gate.limit import ConcurrencyLimit
from kingcuppond.gate.pace import ColdPace
from kingcuppond.outcomes import NotRun, Reason


@attrs.define
class Refusal:
    """What the gate says now."""

    reason: NotRun | None = None

    def read(self) -> NotRun | None:
        return self.reason


def make_admission(
    limit: int, refusal: Refusal | None = None, is_learning: bool = True
) -> Admission:
    now = asyncio.get_running_loop().time
    pace = ColdPace(lambda: None, now)
    concurrency = ConcurrencyLimit(slots=limit, limit=limit, is_learning=is_learning)
    return Admission(concurrency, (refusal or Refusal()).read, now, pace)


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
def test_the_limit_holds_and_nothing_leaks(steps: list[tuple[str, object, object]]) -> None:
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
            tasks.append(asyncio.create_task(admission.enter(str(value), end, bool(trial))))
        elif action == "leave" and running:
            assert isinstance(value, int)
            admission.leave(running.pop(value % len(running)))
        elif action == "cancel" and tasks:
            assert isinstance(value, int)
            tasks[value % len(tasks)].cancel()
        elif action == "limit":
            assert isinstance(value, int)
            admission.limit.limit = value
            admission.wake()
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
        admission.leave(running.pop())
    assert (admission.in_flight, admission.waiting) == (0, 0)


async def test_the_class_with_most_waiting_is_shed() -> None:
    admission = make_admission(1, is_learning=False)
    end = asyncio.get_running_loop().time() + 60
    first = await admission.enter("a", end, False)
    waiting_a = asyncio.create_task(admission.enter("a", end, False))
    await asyncio.sleep(0)
    later_a = asyncio.create_task(admission.enter("a", end + 1, False))
    await asyncio.sleep(0)
    assert (await later_a).error.reason is Reason.FULL
    admission.leave(first.ok)
    assert (await waiting_a).is_ok()


async def test_a_call_waits_no_longer_than_its_patience() -> None:
    """What holds the slot may itself wait for the call that waits for it."""
    admission = make_admission(1)
    end = asyncio.get_running_loop().time() + 60
    first = await admission.enter("a", end, False)
    refused = await admission.enter("a", end, False, patience=0.01)
    assert refused.error.reason is Reason.FULL
    assert (admission.in_flight, admission.waiting) == (1, 0)
    admission.leave(first.ok)
    assert admission.in_flight == 0


async def test_a_burst_waits_for_a_learnt_limit() -> None:
    """The limit of a server that was little used is far below what it bears."""
    admission = make_admission(1)
    end = asyncio.get_running_loop().time() + 60
    first = await admission.enter("a", end, False)
    burst = [asyncio.create_task(admission.enter("a", end, False)) for _ in range(5)]
    for _ in range(3):
        await asyncio.sleep(0)
    assert [task.done() for task in burst].count(True) == 1, "four wait for each slot"
    admission.leave(first.ok)
    served = 0
    for task in burst:
        got = await task
        if got.is_ok():
            admission.leave(got.ok)
            served += 1
    assert served == 4


async def test_leaving_refuses_those_who_wait() -> None:
    refusal = Refusal()
    admission = make_admission(1, refusal)
    end = asyncio.get_running_loop().time() + 60
    await admission.enter("a", end, False)
    waiting = asyncio.create_task(admission.enter("a", end, False))
    await asyncio.sleep(0)
    refusal.reason = NotRun(Reason.LEAVING, "leaving")
    admission.wake()
    assert (await waiting).error.reason is Reason.LEAVING
