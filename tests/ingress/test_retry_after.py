"""Refused callers return spread over time, urgent ones first, and never too late for an answer."""

from random import Random
from statistics import mean

import pytest

from kingcuppond.ingress.retry_after import ROOM_SECONDS, retry_after_seconds
from kingcuppond.outcomes import Reason

TYPICAL_SECONDS = 0.1
SAMPLES = 2000


def sample(reason: Reason, left_seconds: float, priority: int) -> list[float]:
    rng = Random(1)
    return [
        retry_after_seconds(reason, left_seconds, TYPICAL_SECONDS, priority, rng)
        for _ in range(SAMPLES)
    ]


@pytest.mark.parametrize("reason", [Reason.FULL, Reason.SERVER_SLOW, Reason.NO_SERVER])
@pytest.mark.parametrize("left_seconds", [0.0, 0.2, 0.9, 3.0])
def test_no_return_after_a_third_of_the_time_left(reason: Reason, left_seconds: float) -> None:
    assert max(sample(reason, left_seconds, 1)) <= max(left_seconds / 3, 0.01)


def test_returns_after_a_burst_are_spread() -> None:
    """No tenth of the time takes more than a quarter of the returns."""
    delays = sample(Reason.FULL, 3.0, 2)
    for i in range(10):
        start = ROOM_SECONDS * i / 10
        inside = [delay for delay in delays if start <= delay < start + ROOM_SECONDS / 10]
        assert len(inside) < SAMPLES / 4


def test_urgent_classes_return_first() -> None:
    assert mean(sample(Reason.FULL, 3.0, 0)) < mean(sample(Reason.FULL, 3.0, 2)) / 1.5


@pytest.mark.parametrize("reason", [Reason.FULL, Reason.NO_SERVER])
def test_a_return_leaves_time_for_an_answer(reason: Reason) -> None:
    for left_seconds in (0.25, 0.5, 1.0):
        assert max(sample(reason, left_seconds, 2)) <= left_seconds - 2 * TYPICAL_SECONDS


def test_an_outage_is_given_more_time_than_a_lack_of_room() -> None:
    assert mean(sample(Reason.NOT_READY, 3.0, 1)) > mean(sample(Reason.FULL, 3.0, 1))
