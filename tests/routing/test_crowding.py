"""A call asks again while room turns up, and is rejected at once while the service is full."""

import pytest

from kingcuppond.routing.crowding import MEMORY_SECONDS, GateAnswers

GATES = 4


def make_answers(full: int, total: int, seconds: float = 0.2) -> GateAnswers:
    answers = GateAnswers()
    for i in range(total):
        answers.record(i * full // total != (i + 1) * full // total, 100.0 + seconds * i / total)
    return answers


@pytest.mark.parametrize(
    ("full", "total", "expected"),
    [(0, 0, True), (3, 3, True), (20, 20, False), (39, 40, False), (18, 20, True), (0, 20, True)],
    ids=[
        "nothing known",
        "too little known",
        "all full",
        "nearly all full",
        "some room",
        "much room",
    ],
)
def test_round_is_worth_it(full: int, total: int, expected: bool) -> None:
    assert make_answers(full, total).is_round_worth_it(GATES, 100.2) == expected


def test_a_full_service_is_asked_again_soon() -> None:
    answers = make_answers(20, 20)
    assert not answers.is_round_worth_it(GATES, 100.2 + MEMORY_SECONDS / 4)
    assert answers.is_round_worth_it(GATES, 100.2 + 4 * MEMORY_SECONDS)


def test_room_is_noticed_within_a_few_answers() -> None:
    answers = make_answers(40, 40, seconds=2.0)
    for i in range(3):
        answers.record(False, 102.0 + 0.05 * i)
    assert answers.is_round_worth_it(GATES, 102.2)
