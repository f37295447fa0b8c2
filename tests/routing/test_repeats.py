"""The fleet's budget of repeats holds at any size, and is not lost when split into small parts."""

from random import Random

import pytest

from kingcuppond.routing.repeats import (
    RECENT_SECONDS,
    REPEAT_SHARE,
    RERUN_SHARE,
    RepeatBudget,
    allowance_of_daemon,
    make_repeat_budget,
)

ALLOWANCE = 100.0
CALLS = 20_000
PLATFORM_SHARE = 0.2
"""Repeats for each call that the platform allows, beside its fixed allowance."""

ATTEMPTS_PER_CALL = 3


def spend(
    budgets: list[RepeatBudget],
    may_have_run: bool,
    rng: Random,
    failing_share: float = 1.0,
    calls: int = CALLS,
) -> int:
    """Send calls within one window, some of which always fail; return how often they repeat."""
    spent = 0
    for i in range(calls):
        budget = rng.choice(budgets)
        budget.record_call(ALLOWANCE / len(budgets), RECENT_SECONDS * i / calls)
        if rng.random() < failing_share:
            for _ in range(ATTEMPTS_PER_CALL):
                spent += budget.take(may_have_run, rng)
    return spent


@pytest.mark.parametrize("daemons", [1, 30, 194, 2033])
def test_an_outage_spends_the_budget_of_the_fleet_and_no_more(daemons: int) -> None:
    rng = Random(daemons)
    budgets = [make_repeat_budget(ALLOWANCE / daemons, is_full=True) for _ in range(daemons)]
    spent = spend(budgets, False, rng)
    assert 0.9 * REPEAT_SHARE * CALLS <= spent <= REPEAT_SHARE * CALLS + ALLOWANCE


@pytest.mark.parametrize("daemons", [30, 194, 2033])
def test_the_share_of_calls_that_go_well_serves_those_that_fail(daemons: int) -> None:
    rng = Random(daemons)
    budgets = [make_repeat_budget(0.0, is_full=False) for _ in range(daemons)]
    calls = 100 * daemons
    spend(budgets, False, rng, failing_share=0.0, calls=calls)
    spent = spend(budgets, False, rng, failing_share=0.05, calls=calls)
    assert spent >= 0.5 * REPEAT_SHARE * calls


@pytest.mark.parametrize("daemons", [30, 194, 2033])
def test_a_window_of_failures_after_a_calm_one_keeps_the_platforms_bound(daemons: int) -> None:
    rng = Random(daemons)
    budgets = [make_repeat_budget(ALLOWANCE / daemons, is_full=True) for _ in range(daemons)]
    spend(budgets, False, rng, failing_share=0.0)
    assert spend(budgets, False, rng) <= PLATFORM_SHARE * CALLS + ALLOWANCE


@pytest.mark.parametrize("daemons", [30, 2033])
def test_calls_that_may_have_run_are_repeated_less(daemons: int) -> None:
    rng = Random(daemons)
    budgets = [make_repeat_budget(ALLOWANCE / daemons, is_full=True) for _ in range(daemons)]
    assert spend(budgets, True, rng) <= RERUN_SHARE * CALLS + ALLOWANCE


def test_a_slowdown_of_all_servers_at_once_keeps_the_allowance() -> None:
    """All daemons hedge all calls in flight, before any new call refills the budgets."""
    daemons = 194
    rng = Random(3)
    budgets = [make_repeat_budget(ALLOWANCE / daemons, is_full=True) for _ in range(daemons)]
    spent = sum(budget.take(True, rng) for budget in budgets for _ in range(10))
    assert 0 < spent <= ALLOWANCE


def test_a_restarted_daemon_has_no_allowance_of_its_own() -> None:
    budget = make_repeat_budget(ALLOWANCE, is_full=False)
    assert not any(budget.take(False, Random(1)) for _ in range(100))


NESTED_CALLS = 1.4
"""Calls of another service that a run makes, on average."""


@pytest.mark.parametrize("daemons", [17, 194])
@pytest.mark.parametrize("calls", [500, 5000])
def test_nested_calls_of_repeats_keep_the_bound_of_the_called_service(
    daemons: int, calls: int
) -> None:
    """Both services answer with errors for a whole window, after a calm one."""
    rng = Random(daemons)
    allowance = allowance_of_daemon(ALLOWANCE, daemons)
    callers, called = (
        [make_repeat_budget(allowance, is_full=True) for _ in range(daemons)] for _ in range(2)
    )
    requests = repeats = 0

    def call_nested(now: float, is_repeat: bool, is_failing: bool) -> None:
        nonlocal requests, repeats
        for _ in range(1 + (rng.random() < NESTED_CALLS - 1)):
            budget = rng.choice(called)
            budget.record_call(allowance, now)
            requests += not is_repeat and is_failing
            repeats += is_repeat
            if is_failing:
                repeats += sum(budget.take(False, rng) for _ in range(ATTEMPTS_PER_CALL))

    for is_failing in (False, True):
        for i in range(calls):
            now = RECENT_SECONDS * (is_failing + i / calls)
            budget = rng.choice(callers)
            budget.record_call(allowance, now)
            call_nested(now, False, is_failing)
            if is_failing and budget.take(True, rng):
                call_nested(now, True, is_failing)
    assert repeats <= PLATFORM_SHARE * requests + ALLOWANCE
