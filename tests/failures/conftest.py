"""Fixtures for tests with real processes."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack
from typing import Any

import pytest

from standins.fleet import Fleet, VmPlan

CLASSES: list[dict[str, Any]] = [
    {"name": "browse", "service": "shop", "path_prefix": "/shop", "answer_within_ms": 10_000},
    {
        "name": "booking",
        "service": "shop",
        "path_prefix": "/shop/book",
        "answer_within_ms": 10_000,
        "at_most_once": True,
    },
    {"name": "upload", "service": "shop", "path_prefix": "/shop/up", "answer_within_ms": 60_000},
]

StartFleet = Callable[..., Fleet]


@pytest.fixture
def start_fleet() -> Iterator[StartFleet]:
    """Return a function that starts fleets, which are stopped when the test ends."""
    with ExitStack() as stack:

        def start(plans: list[VmPlan], is_warm: bool = False, **options: Any) -> Fleet:
            fleet = stack.enter_context(Fleet(plans, **options))
            for class_of_work in CLASSES:
                fleet.apply_class(**class_of_work)
            fleet.wait_until_ready()
            if is_warm:
                fleet.warm_up("/shop/warm?ms=20")
            return fleet

        yield start
