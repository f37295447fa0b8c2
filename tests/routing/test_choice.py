"""Servers with an unproven limit are found, but only for calls with time for a slow answer."""

from collections.abc import Sequence

import pytest

from kingcuppond.routing.choice import UNPROVEN_RATIO, Candidate, Moment, find_unproven
from kingcuppond.routing.view import GateReport, ServerView

MOMENT = Moment(100.0, 0.01)
LATE_TARGET = MOMENT.now + UNPROVEN_RATIO * MOMENT.usual


def make_candidates(limits: Sequence[int | None]) -> list[Candidate]:
    views = [
        ServerView(report=None if limit is None else GateReport(0, limit), reported_at=90.0)
        for limit in limits
    ]
    return [Candidate(f"vm-{i}", view) for i, view in enumerate(views)]


@pytest.mark.parametrize(
    ("limits", "expected"),
    [
        ([6, 6, 6], []),
        ([1, 6, 2], ["vm-0", "vm-2"]),
        ([4, 6], []),
        ([None, 6], []),
        ([None, None], []),
        ([1, 1], []),
    ],
    ids=str,
)
def test_a_limit_far_below_the_others_is_unproven(
    limits: list[int | None], expected: list[str]
) -> None:
    found = find_unproven(make_candidates(limits), MOMENT, LATE_TARGET)
    assert [candidate.vm for candidate in found] == expected


def test_a_call_without_time_for_a_slow_answer_finds_none() -> None:
    candidates = make_candidates([1, 6])
    assert find_unproven(candidates, MOMENT, LATE_TARGET - 0.001) == []


def test_an_unproven_server_gets_one_call_of_a_daemon_at_a_time() -> None:
    candidates = make_candidates([1, 6])
    candidates[0].view.start("call", MOMENT.now)
    assert find_unproven(candidates, MOMENT, LATE_TARGET) == []
