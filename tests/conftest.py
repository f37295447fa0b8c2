"""Shared fixtures: a clock that tests advance, a journal and a seeded random generator."""

import gc
from collections.abc import Iterator
from pathlib import Path
from random import Random

import attrs
import pytest

from kingcuppond.clock import Clock
from kingcuppond.events.journal import Journal

KNOWN_RED_FILE = Path(__file__).parents[1] / "KNOWN-RED.txt"


@attrs.define
class FakeTime:
    """A time source that changes only when a test advances it."""

    seconds: float = 1_000_000.0

    def read(self) -> float:
        return self.seconds

    def advance(self, seconds: float) -> None:
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


@pytest.fixture
def no_collector() -> Iterator[None]:
    """Switch the garbage collector off, so that objects in reference cycles stay alive."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def known_red() -> set[str]:
    """Return the tests that KNOWN-RED.txt names."""
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {line.removeprefix("test: ") for line in lines if line.startswith("test: ")}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run the tests that KNOWN-RED.txt names, but do not let them decide the result."""
    red = known_red()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason="see KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that KNOWN-RED.txt names."""
    for name in sorted(known_red()):
        terminalreporter.write_line(f"known red: {name}")
