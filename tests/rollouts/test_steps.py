"""The share of a new version by time, and the calls that its gates may admit."""

from random import Random
from typing import Any

import attrs
import pytest

from kingcuppond.rollouts.order import Phase
from kingcuppond.rollouts.steps import (
    CANARY_END,
    MIN_RAMP_SAMPLES,
    MIN_SAMPLES,
    Bounds,
    GateUse,
    Situation,
    allowance,
    canary_servers,
    canary_share,
    divide,
    needs_wide_canary,
    plan,
)

BOUNDS = Bounds(0.1, 50)
CANARY = Situation(
    phase=Phase.CANARY,
    age=3.0,
    duration=12.0,
    step_age=3.0,
    share=0.05,
    calls=1200,
    samples=60,
    is_wide=False,
    is_suspicious=False,
    is_doubtful=False,
    is_store_up=True,
)
FULL = attrs.evolve(CANARY, phase=Phase.FINISHING, age=11.1, step_age=1.0, share=1.0, samples=500)


def after(**changes: Any) -> Any:
    return plan(attrs.evolve(CANARY, **changes), BOUNDS)


def test_the_share_stays_small_for_three_quarters_of_the_duration() -> None:
    """A version may turn bad late."""
    for age in (0.5, 4.0, 8.0, CANARY_END * 12 - 0.01):
        step = after(age=age)
        assert step.phase is Phase.CANARY
        assert step.share <= BOUNDS.share


def test_the_ramp_goes_up_one_step_at_a_time() -> None:
    step = after(age=11.0)
    assert (step.phase, step.share) == (Phase.RAMP, 0.2)
    assert after(phase=Phase.RAMP, share=0.2, age=11.0, step_age=0.1).share == 0.2
    assert after(phase=Phase.RAMP, share=0.2, age=11.0, step_age=1.0).share == 0.5
    step = after(phase=Phase.RAMP, share=0.5, age=11.0, step_age=1.0)
    assert (step.phase, step.share) == (Phase.FINISHING, 1.0)


@pytest.mark.parametrize("phase", [Phase.CANARY, Phase.RAMP])
@pytest.mark.parametrize(
    "change", [{"is_store_up": False}, {"is_doubtful": True}], ids=["store down", "in doubt"]
)
def test_the_share_does_not_grow(phase: Phase, change: dict[str, bool]) -> None:
    step = after(phase=phase, age=10.0, **change)
    assert (step.phase, step.share) == (phase, CANARY.share)


def test_the_ramp_needs_answers() -> None:
    assert after(age=10.0, samples=MIN_RAMP_SAMPLES - 1).phase is Phase.CANARY


def test_completed_is_due_once_the_new_servers_have_carried_everything() -> None:
    assert plan(FULL, BOUNDS).is_complete
    for change in (
        {"age": 10.5},
        {"step_age": 0.2},
        {"samples": MIN_SAMPLES - 1},
        {"is_suspicious": True},
    ):
        assert not plan(attrs.evolve(FULL, **change), BOUNDS).is_complete


def test_a_version_that_may_be_bad_until_the_deadline_is_rolled_back() -> None:
    late = attrs.evolve(FULL, age=11.8, is_suspicious=True, is_doubtful=True)
    assert plan(late, BOUNDS).is_in_doubt
    assert plan(attrs.evolve(late, phase=Phase.RAMP, share=0.2), BOUNDS).is_in_doubt
    assert not plan(attrs.evolve(late, is_suspicious=False), BOUNDS).is_in_doubt


def test_a_service_with_few_calls_uses_the_slack() -> None:
    """Otherwise it would have no answers to judge within the duration."""
    few = attrs.evolve(CANARY, calls=30)
    assert canary_share(few, BOUNDS) > 2 * canary_share(CANARY, BOUNDS)
    assert canary_share(attrs.evolve(few, age=0.5, calls=1), BOUNDS) <= 0.05


def test_the_canary_has_so_few_servers_that_they_have_load() -> None:
    assert [canary_servers(0.05, servers) for servers in (1, 6, 38, 200)] == [1, 1, 2, 10]


def test_noise_that_is_not_explained_takes_all_servers_of_the_canary() -> None:
    assert needs_wide_canary(CANARY, is_noise_explained=False)
    assert not needs_wide_canary(CANARY, is_noise_explained=True)
    for change in ({"age": 0.5}, {"is_wide": True}, {"phase": Phase.RAMP}):
        assert not needs_wide_canary(attrs.evolve(CANARY, **change), is_noise_explained=False)


def test_grants_never_exceed_the_allowance_in_random_histories() -> None:
    """The hard bound of the fleet: the sum of what all gates may admit."""
    rng = Random(1)
    for _ in range(100):
        uses = {f"vm-{i}": GateUse(0, 0) for i in range(rng.randint(1, 20))}
        calls = 0
        for _ in range(40):
            calls += rng.randint(0, 100)
            allowed = allowance(calls, BOUNDS)
            carrying = rng.sample(sorted(uses), rng.randint(1, len(uses)))
            granted = divide(allowed, uses, carrying, rng.uniform(0, 20))
            assert sum(granted.values()) <= allowed
            for vm, use in uses.items():
                assert granted[vm] >= use.granted
                uses[vm] = GateUse(granted[vm], rng.randint(use.used, granted[vm]))


def test_two_deciding_daemons_together_grant_no_more_than_the_bound() -> None:
    """Each of them sees the calls of its half of the fleet."""
    for calls in (0, 10, 1000):
        assert 2 * allowance(calls, BOUNDS) <= BOUNDS.share * 2 * calls + BOUNDS.slack
