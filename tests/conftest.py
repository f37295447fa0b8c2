"""Fixtures shared by all tests: a clock that tests move, and a fixed seed."""

from random import Random

import attrs
import pytest

from kingcuppond.clock import Clock
from kingcuppond.events.journal import Journal


@attrs.define
class FakeTime:
    """Time that stands still until a test moves it."""

    seconds: float = 1_000_000.0

    def read(self) -> float:
        return self.seconds

    def move(self, seconds: float) -> None:
        self.seconds += seconds


@pytest.fixture
def fake_time() -> FakeTime:
    return FakeTime()


@pytest.fixture
def clock(fake_time: FakeTime) -> Clock:
    return Clock(fake_time.read, fake_time.read)


@pytest.fixture
def journal(clock: Clock) -> Journal:
    return Journal("vm-1", clock)


@pytest.fixture
def rng() -> Random:
    return Random(1)
