"""A cold server gets no more calls in any second than it can handle."""

from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppond.gate.cold_rate_limiter import ColdRateLimiter
from tests.conftest import FakeTime

PER_SECOND = 7


def make_rate_limiter(time: FakeTime) -> ColdRateLimiter:
    return ColdRateLimiter(lambda: float(PER_SECOND), time.read)


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.floats(0, 0.3), max_size=80))
def test_no_second_exceeds_the_rate(waits: list[float]) -> None:
    time = FakeTime()
    rate_limiter = make_rate_limiter(time)
    rate_limiter.set_cold_ms(60_000)
    starts = []
    for wait in waits:
        time.advance(wait)
        if rate_limiter.may_start():
            rate_limiter.record_start()
            starts.append(time.seconds)
    for first in starts:
        assert sum(first <= at < first + 1.0 for at in starts) <= PER_SECOND


def test_a_warm_server_is_not_rate_limited() -> None:
    rate_limiter = make_rate_limiter(FakeTime())
    for _ in range(100):
        assert rate_limiter.may_start()
        rate_limiter.record_start()


def test_calls_before_the_server_turned_cold_count() -> None:
    time = FakeTime()
    rate_limiter = make_rate_limiter(time)
    for _ in range(PER_SECOND):
        rate_limiter.record_start()
    rate_limiter.set_cold_ms(3000)
    assert not rate_limiter.may_start()
    time.advance(1.1)
    assert rate_limiter.may_start()


def test_a_new_process_assumes_a_full_window() -> None:
    time = FakeTime()
    rate_limiter = make_rate_limiter(time)
    rate_limiter.assume_window_full()
    rate_limiter.is_assumed_cold = True
    assert not rate_limiter.may_start()
    time.advance(1.1)
    assert rate_limiter.may_start()


def test_the_window_counts_from_the_start_of_the_process() -> None:
    """Guards against a fleet that waits a second longer after a power loss than it needs to."""
    time = FakeTime()
    rate_limiter = make_rate_limiter(time)
    rate_limiter.is_assumed_cold = True
    started_at = time.seconds
    time.advance(0.9)
    rate_limiter.assume_window_full(started_at)
    assert not rate_limiter.may_start()
    time.advance(0.2)
    assert rate_limiter.may_start()


def test_the_report_of_the_server_ends_the_assumption() -> None:
    time = FakeTime()
    rate_limiter = make_rate_limiter(time)
    rate_limiter.is_assumed_cold = True
    assert rate_limiter.is_cold
    rate_limiter.set_cold_ms(2000)
    time.advance(1.9)
    assert rate_limiter.is_cold
    time.advance(0.2)
    assert not rate_limiter.is_cold
