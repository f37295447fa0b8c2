"""The measurement budget holds in every one-second window."""

from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppond.routing.budgets import WindowBudget
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
