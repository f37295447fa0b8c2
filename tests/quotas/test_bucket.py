"""The bucket of an organisation, and what the parts of a divided fleet may use of it."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kingcuppond.quotas.bucket import (
    Bucket,
    Limits,
    QuotaBound,
    first_local_level,
    fleet_limits,
    local_limits,
)

BOUND = QuotaBound()


def test_the_bound_is_that_of_the_specification() -> None:
    assert BOUND.most(5, 0) == pytest.approx(47.5)
    assert BOUND.most(125, 50) == pytest.approx((5 * 125 + 50) * 1.1 + 20)


def test_a_debt_is_paid_back_before_there_are_tokens() -> None:
    """Guards against excess that is forgotten, and so admitted again and again."""
    bucket = Bucket(0.0)
    limits = Limits(10.0, 5.0)
    bucket.advance(1.0, limits)
    assert bucket.level == 5.0
    bucket.take(25)
    bucket.advance(2.0, limits)
    assert bucket.level == -10.0
    bucket.advance(1.5, limits)
    assert (bucket.level, bucket.updated_at) == (-10.0, 2.0), "time does not go back"


def test_a_smaller_capacity_takes_effect_at_once() -> None:
    """Guards against the old burst of an organisation whose limit was lowered."""
    bucket = Bucket(0.0, 100.0)
    bucket.advance(0.0, Limits(10.0, 5.0))
    assert bucket.level == 5.0


@given(
    parts=st.lists(st.integers(1, 40), min_size=1, max_size=30),
    dead=st.integers(0, 40),
    rate=st.floats(1, 1000),
    burst=st.floats(0, 1000),
)
def test_all_parts_together_stay_within_the_window(
    parts: list[int], dead: int, rate: float, burst: float
) -> None:
    """Guards against parts that together admit more than the quota, for any partition."""
    known = sum(parts) + dead
    limits = [fleet_limits(rate, burst, BOUND, part, known) for part in parts]
    total = sum(BOUND.window_seconds * it.rate + it.capacity for it in limits)
    # What is left of the tolerance is for requests that are admitted before they are counted.
    spared = 0.5 * BOUND.tolerance(rate, burst)
    assert total <= BOUND.most(rate, burst) - spared + 1e-6


def test_a_few_dead_daemons_do_not_lower_the_rate() -> None:
    """Guards against refusals within the quota after the loss of one VM."""
    assert fleet_limits(5.0, 5.0, BOUND, 82, 86).rate == 5.0
    assert fleet_limits(125.0, 0.0, BOUND, 85, 86).rate == 125.0
    assert fleet_limits(5.0, 5.0, BOUND, 43, 86).rate == 2.5


def test_a_fraction_of_a_token_wins_as_often_as_it_says() -> None:
    """Guards against daemons that never admit anything, since none ever holds a whole token."""
    rng = Random(1)
    limits = local_limits(5.0, 0.0, BOUND, 86)
    admitted = 0
    bucket = Bucket(0.0)
    for number in range(86 * 200):
        bucket.advance(number * 1.0, limits)
        admitted += bucket.gamble(rng.random())
    assert admitted / 200 == pytest.approx(5.0, rel=0.15)


def test_a_daemon_alone_pays_first_what_nobody_knows_of() -> None:
    """Guards against a coordinator on the other side of a cut that goes on beside this daemon."""
    limits = local_limits(86.0, 0.0, BOUND, 86)
    bucket = Bucket(0.0, first_local_level(2, limits))
    bucket.advance(2.9, limits)
    assert not bucket.gamble(0.0)
    bucket.advance(3.1, limits)
    assert bucket.gamble(0.0)
