"""The estimate of a server shows failures and slowness early."""

import pytest

from kingcuppond.routing.view import GateReport, ServerView, parse_report


def make_view(answers: int = 50) -> ServerView:
    view = ServerView()
    for i in range(answers):
        view.start(f"{i}", i * 0.01)
        view.end(f"{i}", i * 0.01 + 0.005, True)
    return view


def test_unanswered_call_reveals_a_straggler_before_any_answer() -> None:
    view = make_view()
    before = view.expected_seconds(0.5)
    view.start("late", 0.5)
    assert view.expected_seconds(0.7) > 20 * before


def test_hanging_server_is_avoided_although_its_gate_reports() -> None:
    """A slow machine at the start of the call explains a short delay only."""
    view = make_view()
    before = view.expected_seconds(0.5)
    view.start("stuck", 0.5)
    view.update_report(GateReport(1, 6), 0.51)
    assert view.expected_seconds(0.53) < 2 * before
    assert view.expected_seconds(1.5) > 10 * before


def test_cancelled_call_raises_the_expected_latency() -> None:
    """A winning hedge cancels the slow attempt, whose server must not look as fast as before."""
    view = make_view()
    before = view.expected_seconds(0.5)
    view.start("slow", 0.5)
    view.abandon("slow", 0.6, 0.005)
    assert view.expected_seconds(0.6) > 1.5 * before
    assert view.in_flight == 0


def test_call_cancelled_early_changes_nothing() -> None:
    view = make_view()
    before = view.expected_seconds(0.5)
    view.start("left", 0.5)
    view.abandon("left", 0.5001, 0.005)
    assert view.expected_seconds(0.5001) == pytest.approx(before, rel=0.01)


def test_fast_failures_do_not_make_a_server_look_fast() -> None:
    good, bad = make_view(), make_view()
    for i in range(5):
        bad.start(f"e{i}", 0.5)
        bad.end(f"e{i}", 0.5001, False)
    assert bad.expected_seconds(0.51) > 10 * good.expected_seconds(0.51)


@pytest.mark.parametrize(("is_full", "longest"), [(True, 0.08), (False, 1.0)])
def test_backoff_grows_with_each_refusal(is_full: bool, longest: float) -> None:
    view = make_view()
    backoffs = []
    for i in range(12):
        now = 1.0 + 2 * i
        view.record_refusal(f"r{i}", now, is_full)
        backoffs.append(round(view.backoff_until - now, 6))
        until = view.backoff_until
        view.record_refusal(f"beside-{i}", now, is_full)
        assert view.backoff_until == until, "concurrent refusals must count once"
    assert backoffs == sorted(backoffs)
    assert backoffs[-1] > backoffs[0]
    assert backoffs[-1] == pytest.approx(longest)


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
