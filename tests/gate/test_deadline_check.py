"""A call that would be late is refused at once, waits for the machine's speed, or is admitted."""

import asyncio
from typing import cast

import attrs
import pytest

from kingcuppond.dialect import ServerLoad
from kingcuppond.gate.admission import Admission
from kingcuppond.gate.cold_rate_limiter import ColdRateLimiter
from kingcuppond.gate.concurrency_limit import ConcurrencyLimit
from kingcuppond.gate.deadline_check import DeadlineCheck
from kingcuppond.gate.observer import ServerObserver
from kingcuppond.outcomes import NotRun, Reason
from kingcuppond.routing.call import Body, Call
from kingcuppond.typical_latency import TypicalLatencies
from tests.conftest import FakeTime

SLOTS = 2
TYPICAL_SECONDS = 0.1


@attrs.define
class FakeObserver:
    """A server whose machine returns to its usual speed after a few queries."""

    load: ServerLoad | None
    slow_queries: int = 0

    @property
    def slowdown(self) -> float:
        return 1.0 if self.load is None else self.load.slowdown

    async def refresh(self) -> None:
        self.slow_queries -= 1
        if self.slow_queries <= 0:
            self.load = ServerLoad(0, 0, SLOTS, 1.0)


def make_deadline_check(
    fake_time: FakeTime, slowdown: float, is_adaptive: bool = False, slow_queries: int = 0
) -> DeadlineCheck:
    limit = ConcurrencyLimit(slots=SLOTS, limit=SLOTS, is_adaptive=is_adaptive)
    rate_limiter = ColdRateLimiter(lambda: None, fake_time.read)

    def refusal() -> NotRun | None:
        return None

    admission = Admission(limit, refusal, fake_time.read, rate_limiter)
    observer = FakeObserver(ServerLoad(0, 0, SLOTS, slowdown), slow_queries)
    typical_latencies = TypicalLatencies({"read": TYPICAL_SECONDS})
    return DeadlineCheck("vm-1", admission, cast(ServerObserver, observer), typical_latencies)


def make_call(
    fake_time: FakeTime, target: float = 0.3, deadline: float = 1.0, is_last_resort: bool = False
) -> Call:
    now = fake_time.read()
    call = Call("c", "read", "shop", "GET", "/", (), Body(), now + deadline, 0, 0, False, "f")
    return attrs.evolve(call, target_at=now + target, is_last_resort=is_last_resort)


@pytest.mark.parametrize(
    ("slowdown", "is_last_resort", "expected"),
    [(1.0, False, None), (2.9, False, None), (3.1, False, Reason.SERVER_SLOW), (3.1, True, None)],
)
def test_a_late_call_is_refused_while_another_server_may_take_it(
    fake_time: FakeTime, slowdown: float, is_last_resort: bool, expected: Reason | None
) -> None:
    deadline_check = make_deadline_check(fake_time, slowdown)
    refusal = deadline_check.refuse_late(make_call(fake_time, is_last_resort=is_last_resort))
    assert (refusal and refusal.reason) == expected


def test_a_last_resort_that_cannot_meet_its_deadline_is_refused(fake_time: FakeTime) -> None:
    refusal = make_deadline_check(fake_time, 11.0).refuse_late(
        make_call(fake_time, is_last_resort=True)
    )
    assert refusal is not None and refusal.reason is Reason.SERVER_SLOW


@pytest.mark.parametrize("is_adaptive", [False, True])
def test_full_slots_refuse_a_call_unless_the_limit_adapts(
    fake_time: FakeTime, is_adaptive: bool
) -> None:
    deadline_check = make_deadline_check(fake_time, 1.0, is_adaptive)
    deadline_check.admission.in_flight = SLOTS
    refusal = deadline_check.refuse_late(make_call(fake_time))
    assert (refusal is None) == is_adaptive


@pytest.mark.parametrize(
    ("is_full", "target", "expected"),
    [
        (True, 0.11, None),
        (True, 0.09, Reason.FULL),
        (True, -1.0, Reason.FULL),
        (False, 0.09, None),
        (False, -1.0, None),
    ],
)
def test_a_last_resort_gets_a_late_answer_only_from_a_free_slot(
    fake_time: FakeTime, is_full: bool, target: float, expected: Reason | None
) -> None:
    """Guards against an overload in which calls that can only be late keep all slots in use."""
    deadline_check = make_deadline_check(fake_time, 1.0)
    deadline_check.admission.in_flight = SLOTS if is_full else SLOTS - 1
    call = make_call(fake_time, target=target, deadline=3.0, is_last_resort=True)
    refusal = deadline_check.refuse_late(call)
    assert (refusal and refusal.reason) == expected


def test_an_adaptive_limit_queues_calls_that_will_be_late(fake_time: FakeTime) -> None:
    """Such a limit may be far below the server's capacity, so it is no reason to refuse a call."""
    deadline_check = make_deadline_check(fake_time, 1.0, is_adaptive=True)
    deadline_check.admission.in_flight = SLOTS
    assert deadline_check.refuse_late(make_call(fake_time, 0.09, is_last_resort=True)) is None


async def test_a_last_resort_waits_for_the_end_of_the_slow_period(fake_time: FakeTime) -> None:
    deadline_check = make_deadline_check(fake_time, 7.0, slow_queries=2)
    assert await deadline_check.wait_for_speed(make_call(fake_time, is_last_resort=True)) is None
    assert deadline_check.observer.slowdown == 1.0
    assert deadline_check.waiting_for_speed == 0


async def test_no_more_calls_wait_than_can_start_after_the_slow_period(fake_time: FakeTime) -> None:
    deadline_check = make_deadline_check(fake_time, 7.0, slow_queries=100)
    call = make_call(fake_time, is_last_resort=True)
    waiting = [asyncio.create_task(deadline_check.wait_for_speed(call)) for _ in range(SLOTS)]
    await asyncio.sleep(0)
    refusal = await deadline_check.wait_for_speed(call)
    assert refusal is not None and refusal.reason is Reason.FULL
    fake_time.advance(1.0)
    assert await asyncio.gather(*waiting) == [None] * SLOTS


def test_the_queue_timeout_is_finite_only_with_an_adaptive_limit(fake_time: FakeTime) -> None:
    call = make_call(fake_time)
    assert make_deadline_check(fake_time, 1.0, is_adaptive=True).queue_timeout_seconds(
        call
    ) == pytest.approx(4 * TYPICAL_SECONDS)
    assert make_deadline_check(fake_time, 1.0).queue_timeout_seconds(call) == float("inf")
