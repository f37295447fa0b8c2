"""A call that would be late here is refused at once, waits for the speed, or is let in as it is."""

import asyncio
from typing import cast

import attrs
import pytest

from kingcuppond.dialect import ServerLoad
from kingcuppond.gate.admission import Admission
from kingcuppond.gate.limit import ConcurrencyLimit
from kingcuppond.gate.observer import ServerObserver
from kingcuppond.gate.pace import ColdPace
from kingcuppond.gate.timing import Timing
from kingcuppond.outcomes import NotRun, Reason
from kingcuppond.routing.call import Body, Call
from kingcuppond.usual import UsualTimes
from tests.conftest import FakeTime

SLOTS = 2
USUAL = 0.1


@attrs.define
class FakeObserver:
    """A server whose machine becomes fast again when it was asked a few times."""

    load: ServerLoad | None
    slow_questions: int = 0

    @property
    def slowdown(self) -> float:
        return 1.0 if self.load is None else self.load.slowdown

    async def freshen(self) -> None:
        self.slow_questions -= 1
        if self.slow_questions <= 0:
            self.load = ServerLoad(0, 0, SLOTS, 1.0)


def make_timing(
    fake_time: FakeTime, slowdown: float, is_learning: bool = False, slow_questions: int = 0
) -> Timing:
    limit = ConcurrencyLimit(slots=SLOTS, limit=SLOTS, is_learning=is_learning)
    pace = ColdPace(lambda: None, fake_time.read)

    def refusal() -> NotRun | None:
        return None

    admission = Admission(limit, refusal, fake_time.read, pace)
    observer = FakeObserver(ServerLoad(0, 0, SLOTS, slowdown), slow_questions)
    usual = UsualTimes({"read": USUAL})
    return Timing("vm-1", admission, cast(ServerObserver, observer), usual)


def make_call(
    fake_time: FakeTime, target: float = 0.3, deadline: float = 1.0, is_last_resort: bool = False
) -> Call:
    now = fake_time.read()
    call = Call("c", "read", "shop", "GET", "/", (), Body(), now + deadline, 0, 0, False, "f")
    return attrs.evolve(call, target_at=now + target, is_last_resort=is_last_resort)


@pytest.mark.parametrize(
    ("slowdown", "is_last_resort", "expected"),
    [(1.0, False, None), (2.9, False, None), (3.1, False, Reason.SLOW), (3.1, True, None)],
)
def test_what_would_be_late_is_refused_while_others_may_take_it(
    fake_time: FakeTime, slowdown: float, is_last_resort: bool, expected: Reason | None
) -> None:
    timing = make_timing(fake_time, slowdown)
    refusal = timing.find_late(make_call(fake_time, is_last_resort=is_last_resort))
    assert (refusal and refusal.reason) == expected


def test_a_last_resort_that_can_not_meet_its_deadline_is_refused(fake_time: FakeTime) -> None:
    refusal = make_timing(fake_time, 11.0).find_late(make_call(fake_time, is_last_resort=True))
    assert refusal is not None and refusal.reason is Reason.SLOW


@pytest.mark.parametrize("is_learning", [False, True])
def test_full_slots_refuse_unless_they_are_learnt(fake_time: FakeTime, is_learning: bool) -> None:
    timing = make_timing(fake_time, 1.0, is_learning)
    timing.admission.in_flight = SLOTS
    refusal = timing.find_late(make_call(fake_time))
    assert (refusal is None) == is_learning


async def test_a_last_resort_waits_for_the_end_of_the_spell(fake_time: FakeTime) -> None:
    timing = make_timing(fake_time, 7.0, slow_questions=2)
    assert await timing.wait_for_speed(make_call(fake_time, is_last_resort=True)) is None
    assert timing.observer.slowdown == 1.0
    assert timing.waiting == 0


async def test_no_more_calls_wait_than_can_begin_after_it(fake_time: FakeTime) -> None:
    timing = make_timing(fake_time, 7.0, slow_questions=100)
    call = make_call(fake_time, is_last_resort=True)
    waiting = [asyncio.create_task(timing.wait_for_speed(call)) for _ in range(SLOTS)]
    await asyncio.sleep(0)
    refusal = await timing.wait_for_speed(call)
    assert refusal is not None and refusal.reason is Reason.FULL
    fake_time.move(1.0)
    assert await asyncio.gather(*waiting) == [None] * SLOTS


def test_patience_is_bounded_where_the_limit_is_learnt(fake_time: FakeTime) -> None:
    call = make_call(fake_time)
    assert make_timing(fake_time, 1.0, is_learning=True).patience(call) == pytest.approx(4 * USUAL)
    assert make_timing(fake_time, 1.0).patience(call) == float("inf")
