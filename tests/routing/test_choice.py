"""New and cold servers are selected for warm-up, and only by calls with enough time left."""

from collections.abc import Sequence

import pytest

from kingcuppond.routing.choice import (
    WARMUP_LATENCY_RATIO,
    Candidate,
    SelectionContext,
    find_warmup_candidates,
)
from kingcuppond.routing.view import GateReport, ServerView

CONTEXT = SelectionContext(100.0, 0.01)
EARLIEST_TARGET_AT = CONTEXT.now + WARMUP_LATENCY_RATIO * CONTEXT.typical_seconds


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
def test_server_with_a_far_lower_limit_is_a_warmup_candidate(
    limits: list[int | None], expected: list[str]
) -> None:
    found = find_warmup_candidates(make_candidates(limits), CONTEXT, EARLIEST_TARGET_AT)
    assert [candidate.vm for candidate in found] == expected


def test_no_warmup_for_a_call_without_time_for_a_slow_answer() -> None:
    candidates = make_candidates([1, 6])
    assert find_warmup_candidates(candidates, CONTEXT, EARLIEST_TARGET_AT - 0.001) == []


def test_busy_server_is_no_warmup_candidate() -> None:
    candidates = make_candidates([1, 6])
    candidates[0].view.start("call", CONTEXT.now)
    assert find_warmup_candidates(candidates, CONTEXT, EARLIEST_TARGET_AT) == []
