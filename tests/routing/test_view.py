"""The expected time of a server rises early with slow, hung and failing calls."""

import pytest

from kingcuppond.routing.view import GateReport, ServerView, parse_report


def make_view(answers: int = 50) -> ServerView:
    view = ServerView()
    for i in range(answers):
        view.start(f"{i}", i * 0.01)
        view.end(f"{i}", i * 0.01 + 0.005, True)
    return view


def test_an_unanswered_call_raises_the_expected_time() -> None:
    view = make_view()
    before = view.expected_seconds(0.5)
    view.start("late", 0.5)
    assert view.expected_seconds(0.7) > 20 * before


def test_a_hung_call_raises_the_expected_time_although_the_gate_reports() -> None:
    """A VM that was slow when the call began explains a short wait, but not a long one."""
    view = make_view()
    before = view.expected_seconds(0.5)
    view.start("stuck", 0.5)
    view.hear(GateReport(1, 6), 0.51)
    assert view.expected_seconds(0.53) < 2 * before
    assert view.expected_seconds(1.5) > 10 * before


def test_an_abandoned_call_raises_the_expected_time() -> None:
    """A hedge that wins cancels the slow attempt, which must still count against its server."""
    view = make_view()
    before = view.expected_seconds(0.5)
    view.start("slow", 0.5)
    view.abandon("slow", 0.6, 0.005)
    assert view.expected_seconds(0.6) > 1.5 * before
    assert view.in_flight == 0


def test_a_call_abandoned_early_leaves_the_expected_time() -> None:
    view = make_view()
    before = view.expected_seconds(0.5)
    view.start("left", 0.5)
    view.abandon("left", 0.5001, 0.005)
    assert view.expected_seconds(0.5001) == pytest.approx(before, rel=0.01)


def test_fast_failures_raise_the_expected_time() -> None:
    good, bad = make_view(), make_view()
    for i in range(5):
        bad.start(f"e{i}", 0.5)
        bad.end(f"e{i}", 0.5001, False)
    assert bad.expected_seconds(0.51) > 10 * good.expected_seconds(0.51)


@pytest.mark.parametrize(("is_full", "longest"), [(True, 0.08), (False, 1.0)])
def test_each_refusal_lengthens_the_pause(is_full: bool, longest: float) -> None:
    view = make_view()
    pauses = []
    for i in range(12):
        now = 1.0 + 2 * i
        view.refuse(f"r{i}", now, is_full)
        pauses.append(round(view.paused_until - now, 6))
        until = view.paused_until
        view.refuse(f"beside-{i}", now, is_full)
        assert view.paused_until == until, "refusals of calls in flight together must count once"
    assert pauses == sorted(pauses)
    assert pauses[-1] > pauses[0]
    assert pauses[-1] == pytest.approx(longest)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("3/6", GateReport(3, 6)),
        ("0/0", GateReport(0, 1)),
        ("", None),
        ("a/b", None),
        ("-1/6", None),
        ("9" * 20 + "/1", None),
    ],
)
def test_parse_report(text: str, expected: GateReport | None) -> None:
    assert parse_report(text) == expected
