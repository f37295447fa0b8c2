"""When a second attempt starts."""

import math

import pytest

from kingcuppond.routing.hedge_delay import hedge_delay_seconds


@pytest.mark.parametrize(
    ("typical_ms", "target_ms", "delay_ms"),
    [
        (150, 676, 376),
        (60, 313, 193),
        (50, 200, 100),
        (150, 2_000, 900),
        (150, math.inf, 900),
        (1, 2, 10),
    ],
)
def test_the_second_answer_can_arrive_within_the_target(
    typical_ms: float, target_ms: float, delay_ms: float
) -> None:
    """Guards against second attempts that start only after the target has expired."""
    delay = hedge_delay_seconds(typical_ms / 1000, target_ms / 1000)
    assert delay == pytest.approx(delay_ms / 1000)


@pytest.mark.parametrize("target_ms", [550, 400, 0, -50])
def test_a_target_that_is_too_close_starts_no_attempt_early(target_ms: float) -> None:
    """Guards against hedges of ordinary calls of a class with a tight target."""
    assert hedge_delay_seconds(0.150, target_ms / 1000) == pytest.approx(0.9)
