"""A leaving daemon serves callers as long as their requests can end in its grace period."""

import math

import pytest

from kingcuppond.ingress.draining import (
    CLOSE_BEFORE_LIMIT_SECONDS,
    HARMLESS_DELAY_SECONDS,
    SERVED_AS_USUAL_SECONDS,
    SERVED_AS_USUAL_SHARE,
    start_grace_period,
)

LIMIT_SECONDS = 5.5
TYPICAL_SECONDS = 0.2
GRACE = start_grace_period(0.0, LIMIT_SECONDS)


def test_a_request_is_served_as_usual_until_callers_have_noticed() -> None:
    for ms in range(int(SERVED_AS_USUAL_SECONDS * 1000)):
        assert GRACE.may_serve(ms / 1000, ms / 1000 + 10.0, TYPICAL_SECONDS)


def test_a_request_that_would_usually_take_too_long_is_refused_at_once() -> None:
    assert GRACE.may_serve(0.1, 10.0, typical_seconds=4.5)
    assert not GRACE.may_serve(0.1, 10.0, typical_seconds=5.5)
    assert GRACE.may_serve(0.1, 2.0, typical_seconds=5.5), "it is answered at its deadline"


def test_a_late_request_is_served_only_if_its_deadline_is_in_the_grace_period() -> None:
    last = LIMIT_SECONDS - CLOSE_BEFORE_LIMIT_SECONDS - 2.0
    assert GRACE.may_serve(last - 0.001, last + 1.999, TYPICAL_SECONDS)
    assert not GRACE.may_serve(last + 0.001, last + 2.001, TYPICAL_SECONDS)


@pytest.mark.parametrize("limit_seconds", [0.5, 1.0, 2.0, 5.5, 30.0])
def test_no_late_request_outlasts_a_grace_period_of_any_length(limit_seconds: float) -> None:
    grace = start_grace_period(100.0, limit_seconds)
    late = (grace.ends - grace.started) * SERVED_AS_USUAL_SHARE
    for i in range(100):
        now = grace.started + max(late, SERVED_AS_USUAL_SECONDS) + limit_seconds * i / 100
        assert grace.may_serve(now, now + 0.1, 0.01) == (now + 0.1 <= grace.ends)


def test_without_a_time_limit_every_request_is_served() -> None:
    grace = start_grace_period(0.0, 0.0)
    assert grace.may_serve(1e6, math.inf, 3600.0)


@pytest.mark.parametrize("age", [0.0, 0.1, 0.5, 0.9, 5.0])
def test_requests_are_served_as_usual_from_the_earliest_time_of_the_signal_on(age: float) -> None:
    """The time was counted from when the signal was handled, however late that was."""
    handled_at = 100.0
    grace = start_grace_period(handled_at, LIMIT_SECONDS, age)
    last = handled_at - age + SERVED_AS_USUAL_SECONDS
    assert not grace.may_serve(last, last + 10.0, TYPICAL_SECONDS)
    if last - 0.1 >= handled_at:
        assert grace.may_serve(last - 0.1, last + 10.0, TYPICAL_SECONDS)


@pytest.mark.parametrize("age", [0.0, 0.1, 0.5, 0.9, 5.0])
def test_a_grace_period_ends_in_time_even_if_the_signal_was_handled_late(age: float) -> None:
    handled_at = 100.0
    grace = start_grace_period(handled_at, LIMIT_SECONDS, age)
    limit = LIMIT_SECONDS - CLOSE_BEFORE_LIMIT_SECONDS
    assert grace.ends <= handled_at - age + limit + HARMLESS_DELAY_SECONDS
    if age <= HARMLESS_DELAY_SECONDS:
        assert grace.ends == handled_at + limit, "calls in progress are not given up sooner"
