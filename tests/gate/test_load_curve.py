"""Loads that fill a server: one that slows down when it is nearly full, and one that does not."""

import heapq
from collections.abc import Callable
from random import Random

import attrs
import pytest

from kingcuppond.gate.load_curve import LoadCurve

SLOTS = 6
WORK_SECONDS = 0.1
KNEE_SHARE = 0.8
KNEE_FACTOR = 1.7
TARGET_SECONDS = 0.3
QUEUE = 3
DAY_SECONDS = 60.0


@attrs.define
class Load:
    """One gate and its server, in simulated time.

    :param slowdown: returns the factor on work that starts with so many calls in flight
    :param shared_factor: returns a factor on all work that starts at a time, which no gate causes
    """

    per_second: Callable[[float], float]
    slowdown: Callable[[int], float]
    shared_factor: Callable[[float], float]
    is_learning: bool
    rng: Random = attrs.field(factory=lambda: Random(7))
    curve: LoadCurve = attrs.field(factory=LoadCurve)
    limits: list[int] = attrs.field(factory=list)
    arrivals: int = 0
    in_time: int = 0
    _running: list[tuple[float, float, int, float]] = attrs.field(factory=list)
    _queue: list[float] = attrs.field(factory=list)

    def play(self) -> float:
        """Play a day; return the share of its calls that were answered in time."""
        self.curve.reset(SLOTS)
        now = 0.0
        while now < DAY_SECONDS:
            now += self.rng.expovariate(self.per_second(now))
            self._end_until(now)
            self.arrivals += 1
            if len(self._running) < self._limit():
                self._start(now, now)
            elif len(self._queue) < QUEUE:
                self._queue.append(now)
        return self.in_time / self.arrivals

    def _limit(self) -> int:
        limit = self.curve.limit if self.is_learning else SLOTS
        self.limits.append(limit)
        return limit

    def _start(self, now: float, arrived: float) -> None:
        level = len(self._running) + 1
        seconds = WORK_SECONDS * self.rng.lognormvariate(0, 0.3)
        seconds *= self.slowdown(level) * self.shared_factor(now)
        heapq.heappush(self._running, (now + seconds, now, level, arrived))

    def _end_until(self, now: float) -> None:
        while self._running and self._running[0][0] <= now:
            ended, started, level, arrived = heapq.heappop(self._running)
            self.in_time += ended - arrived <= TARGET_SECONDS
            self.curve.record(level, (ended - started) / WORK_SECONDS, ended)
            while self._queue and len(self._running) < self._limit():
                self._start(ended, self._queue.pop(0))


def rising(now: float) -> float:
    """From a calm minute's start to more than the server bears."""
    return 15.0 if now < 10.0 else 55.0


def full_at_once(now: float) -> float:
    """As after a restart of the daemon while the load is high."""
    return 55.0


def knee(level: int) -> float:
    return KNEE_FACTOR if level / SLOTS > KNEE_SHARE else 1.0


def no_knee(level: int) -> float:
    return 1.0


def constant(now: float) -> float:
    return 1.0


def called_service_slow(now: float) -> float:
    """A service that all calls wait for slows down while the load is high."""
    return 1.0 if now < 10.0 else 1.6


def play(
    rate: Callable[[float], float],
    slowdown: Callable[[int], float],
    shared: Callable[[float], float],
    is_learning: bool,
) -> tuple[float, Load]:
    load = Load(rate, slowdown, shared, is_learning)
    return load.play(), load


@pytest.mark.parametrize("rate", [rising, full_at_once])
def test_a_server_that_slows_down_when_full_serves_more_in_time(
    rate: Callable[[float], float],
) -> None:
    learning, load = play(rate, knee, constant, True)
    fixed, _ = play(rate, knee, constant, False)
    assert learning > 1.1 * fixed
    assert load.limits.count(4) > 0.8 * len(load.limits)


@pytest.mark.parametrize("rate", [rising, full_at_once])
@pytest.mark.parametrize("shared", [constant, called_service_slow])
def test_a_server_that_does_not_slow_down_keeps_its_slots(
    shared: Callable[[float], float], rate: Callable[[float], float]
) -> None:
    learning, load = play(rate, no_knee, shared, True)
    fixed, _ = play(rate, no_knee, shared, False)
    assert learning > 0.97 * fixed
    assert load.limits.count(SLOTS) > 0.9 * len(load.limits)
