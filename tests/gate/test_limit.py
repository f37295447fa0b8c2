"""The limit grows only on evidence and falls at once."""

import pytest

from kingcuppond.gate.limit import BAD_IN_A_ROW, COLD_WINDOWS, WINDOW_ANSWERS, ConcurrencyLimit


def feed(limit: ConcurrencyLimit, seconds: float, windows: int, was_full: bool = True) -> None:
    for _ in range(windows * WINDOW_ANSWERS):
        limit.answered("browse", seconds, was_full)


def make_limit(slots: int = 6) -> ConcurrencyLimit:
    limit = ConcurrencyLimit()
    limit.set_slots(slots)
    return limit


@pytest.mark.parametrize(
    ("windows", "expected"),
    [(1, 1), (2, 2), (3, 4), (4, 6), (9, 6)],
    ids=["first window", "steady", "doubled", "up to the slots", "never above them"],
)
def test_grows_by_steady_windows(windows: int, expected: int) -> None:
    limit = make_limit()
    feed(limit, 0.01, windows)
    assert limit.limit == expected


def test_does_not_grow_while_answers_still_become_faster() -> None:
    limit = make_limit()
    for seconds in (0.100, 0.070, 0.048, 0.030, 0.020):
        feed(limit, seconds, 1)
    assert limit.limit == 1


def test_does_not_grow_without_having_been_used() -> None:
    limit = make_limit()
    feed(limit, 0.01, 10, was_full=False)
    assert limit.limit == 1


def test_a_server_that_says_it_is_cold_grows_slower() -> None:
    limit = make_limit()
    limit.is_said_cold = True
    feed(limit, 0.01, COLD_WINDOWS - 1)
    assert limit.limit == 1
    feed(limit, 0.01, 1)
    assert limit.limit == 2


def test_failures_in_a_row_set_it_back_to_one() -> None:
    limit = make_limit()
    feed(limit, 0.01, 5)
    lowered = [limit.failed() for _ in range(BAD_IN_A_ROW)]
    assert lowered == [False] * (BAD_IN_A_ROW - 1) + [True]
    assert limit.limit == 1


def test_slow_answers_in_a_row_halve_it_and_usual_ones_restore_what_was_proved() -> None:
    limit = make_limit()
    feed(limit, 0.01, 5)
    for expected in (3, 1):
        for _ in range(BAD_IN_A_ROW):
            limit.answered("browse", 1.0, True)
        assert limit.limit == expected
    limits = []
    for _ in range(7):
        limit.answered("browse", 0.01, True)
        limits.append(limit.limit)
    assert limits == [2, 3, 4, 5, 6, 6, 6]


def test_after_failures_nothing_is_proved_any_more() -> None:
    limit = make_limit()
    feed(limit, 0.01, 5)
    for _ in range(BAD_IN_A_ROW):
        limit.failed()
    for _ in range(WINDOW_ANSWERS):
        limit.answered("browse", 0.01, True)
    assert limit.limit == 1


def test_fewer_slots_lower_it_at_once_and_more_do_not_raise_it() -> None:
    limit = make_limit()
    feed(limit, 0.01, 5)
    limit.set_slots(2)
    assert limit.limit == 2
    limit.set_slots(100)
    assert limit.limit == 2
