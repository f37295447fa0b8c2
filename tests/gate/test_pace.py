"""A cold server never gets more calls in a second than it bears."""

from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppond.gate.pace import ColdPace
from tests.conftest import FakeTime

PER_SECOND = 7


def make_pace(time: FakeTime) -> ColdPace:
    return ColdPace(lambda: float(PER_SECOND), time.read)


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.floats(0, 0.3), max_size=80))
def test_no_second_holds_more(waits: list[float]) -> None:
    time = FakeTime()
    pace = make_pace(time)
    pace.hear(60_000)
    starts = []
    for wait in waits:
        time.move(wait)
        if pace.may_start():
            pace.start()
            starts.append(time.seconds)
    for first in starts:
        assert sum(first <= at < first + 1.0 for at in starts) <= PER_SECOND


def test_a_warm_server_is_not_bounded() -> None:
    pace = make_pace(FakeTime())
    for _ in range(100):
        assert pace.may_start()
        pace.start()


def test_calls_before_it_turned_cold_count() -> None:
    time = FakeTime()
    pace = make_pace(time)
    for _ in range(PER_SECOND):
        pace.start()
    pace.hear(3000)
    assert not pace.may_start()
    time.move(1.1)
    assert pace.may_start()


def test_a_new_process_takes_the_second_for_full() -> None:
    time = FakeTime()
    pace = make_pace(time)
    pace.assume_full()
    pace.is_uncertain = True
    assert not pace.may_start()
    time.move(1.1)
    assert pace.may_start()


def test_the_server_says_when_it_is_warm() -> None:
    time = FakeTime()
    pace = make_pace(time)
    pace.is_uncertain = True
    assert pace.is_cold
    pace.hear(2000)
    time.move(1.9)
    assert pace.is_cold
    time.move(0.2)
    assert not pace.is_cold
