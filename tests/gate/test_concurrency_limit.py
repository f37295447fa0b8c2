"""The limit grows only on evidence of spare capacity and falls on a few bad answers in a row."""

import pytest

from kingcuppond.gate.concurrency_limit import (
    COLD_WINDOWS_PER_INCREASE,
    CONSECUTIVE_BAD_TO_LOWER,
    WINDOW_ANSWERS,
    ConcurrencyLimit,
)


def feed(limit: ConcurrencyLimit, seconds: float, windows: int, was_at_limit: bool = True) -> None:
    for _ in range(windows * WINDOW_ANSWERS):
        limit.record_answer("browse", seconds, was_at_limit)


def make_limit(slots: int = 6) -> ConcurrencyLimit:
    limit = ConcurrencyLimit()
    limit.set_slots(slots)
    return limit


@pytest.mark.parametrize(
    ("windows", "expected"),
    [(1, 1), (2, 2), (3, 4), (4, 6), (9, 6)],
    ids=["first window", "steady", "doubled", "up to the slots", "never above the slots"],
)
def test_steady_windows_double_the_limit(windows: int, expected: int) -> None:
    limit = make_limit()
    feed(limit, 0.01, windows)
    assert limit.limit == expected


def test_the_limit_stays_while_answers_become_faster() -> None:
    limit = make_limit()
    for seconds in (0.100, 0.070, 0.048, 0.030, 0.020):
        feed(limit, seconds, 1)
    assert limit.limit == 1


def test_the_limit_stays_when_it_was_not_reached() -> None:
    limit = make_limit()
    feed(limit, 0.01, 10, was_at_limit=False)
    assert limit.limit == 1


def test_the_limit_grows_more_slowly_while_the_server_reports_cold() -> None:
    limit = make_limit()
    limit.is_reported_cold = True
    feed(limit, 0.01, COLD_WINDOWS_PER_INCREASE - 1)
    assert limit.limit == 1
    feed(limit, 0.01, 1)
    assert limit.limit == 2


def test_failures_in_a_row_reset_the_limit_to_one() -> None:
    limit = make_limit()
    feed(limit, 0.01, 5)
    lowered = [limit.record_failure() for _ in range(CONSECUTIVE_BAD_TO_LOWER)]
    assert lowered == [False] * (CONSECUTIVE_BAD_TO_LOWER - 1) + [True]
    assert limit.limit == 1


def test_slow_answers_in_a_row_halve_the_limit_and_usual_ones_restore_the_proven_limit() -> None:
    limit = make_limit()
    feed(limit, 0.01, 5)
    for expected in (3, 1):
        for _ in range(CONSECUTIVE_BAD_TO_LOWER):
            limit.record_answer("browse", 1.0, True)
        assert limit.limit == expected
    limits = []
    for _ in range(7):
        limit.record_answer("browse", 0.01, True)
        limits.append(limit.limit)
    assert limits == [2, 3, 4, 5, 6, 6, 6]


def test_failures_discard_the_proven_limit() -> None:
    limit = make_limit()
    feed(limit, 0.01, 5)
    for _ in range(CONSECUTIVE_BAD_TO_LOWER):
        limit.record_failure()
    for _ in range(WINDOW_ANSWERS):
        limit.record_answer("browse", 0.01, True)
    assert limit.limit == 1


def test_fewer_slots_lower_the_limit_at_once_and_more_do_not_raise_it() -> None:
    limit = make_limit()
    feed(limit, 0.01, 5)
    limit.set_slots(2)
    assert limit.limit == 2
    limit.set_slots(100)
    assert limit.limit == 2
