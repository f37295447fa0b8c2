"""Budgets hold in every one-second window, and retries stay a bounded share of the calls."""

from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppond.routing.budgets import RETRY_CAPACITY, ShareBudget, WindowBudget
from tests.conftest import FakeTime

TAKES = st.lists(st.tuples(st.floats(0, 0.5), st.floats(1, 400)), max_size=60)


@settings(derandomize=True, max_examples=300)
@given(TAKES)
def test_no_one_second_window_exceeds_the_budget(takes: list[tuple[float, float]]) -> None:
    time = FakeTime()
    budget = WindowBudget(lambda: 1000.0, time.read)
    spent: list[tuple[float, float]] = []
    for wait, amount in takes:
        time.advance(wait)
        if budget.take(amount):
            spent.append((time.seconds, amount))
    for start, _ in spent:
        window = sum(amount for at, amount in spent if start <= at < start + 1.0)
        assert window <= 1000.0 + 1e-6


def test_retries_in_an_outage_are_bounded_by_a_share_of_the_calls() -> None:
    budget = ShareBudget(share=0.1)
    retries = 0
    for _ in range(10_000):
        budget.record_call()
        retries += budget.take()
    assert retries <= 10_000 * 0.1 + RETRY_CAPACITY
