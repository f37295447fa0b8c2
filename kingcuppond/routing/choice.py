"""Choosing a server for a call.

Policies are plain functions from a few candidates to one, so that the bench can put baselines
beside ours.  Ours draws a few candidates at random and takes the one with the least expected time;
drawing keeps many daemons from running to the same server on the same news.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import Final

import attrs

from kingcuppond.routing.view import ServerView

DRAWN: Final = 3
UNPROVEN_RATIO: Final = 20.0
"""Usual times that a call must have left; a cold server was seen to take five."""

HOP_SECONDS: Final = 0.0008


@attrs.frozen
class Candidate:
    """A server that could run the call.

    :param vm: name of its VM
    :param is_local: whether it stands beside this daemon, so that no second hop is needed
    :param detour_seconds: how much longer an answer may take in this daemon's own data centre
        before another one is worth its traffic; 0 there
    """

    vm: str
    view: ServerView
    is_local: bool = False
    detour_seconds: float = 0.0


@attrs.frozen
class Moment:
    """What a choice is made for.

    :param now: monotonic time
    :param usual: seconds that a good answer of the call's class usually takes
    """

    now: float
    usual: float


Policy = Callable[[Sequence[Candidate], Moment, Random], Candidate]


def least_expected(candidates: Sequence[Candidate], moment: Moment, rng: Random) -> Candidate:
    """Draw a few and take the one with the least expected time.

    The local one is always among them, and so are as many of this data centre as are drawn of all.
    """
    drawn = list(candidates)
    if len(drawn) > DRAWN:
        near = [c for c in candidates if c.detour_seconds == 0.0]
        drawn = rng.sample(drawn, DRAWN)
        drawn.extend(c for c in rng.sample(near, min(DRAWN, len(near))) if c not in drawn)
        drawn.extend(c for c in candidates if c.is_local and c not in drawn)
    rng.shuffle(drawn)
    return min(drawn, key=lambda c: _expected(c, moment))


def find_unproven(
    candidates: Sequence[Candidate], moment: Moment, target_at: float
) -> list[Candidate]:
    """Return the idle servers whose gates let in far fewer calls than others do.

    Such a server is new or cold, and only calls make it warm; by its times alone it would get next
    to none.  It is given a call only if the call has time enough for a slow answer.
    """
    limits = [c.view.report.limit for c in candidates if c.view.report is not None]
    if not limits or moment.now + UNPROVEN_RATIO * moment.usual > target_at:
        return []
    return [
        c
        for c in candidates
        if c.view.report is not None
        and c.view.report.limit * 2 <= max(limits)
        and not c.view.in_flight
    ]


def random_choice(candidates: Sequence[Candidate], moment: Moment, rng: Random) -> Candidate:
    """Baseline: any."""
    return rng.choice(candidates)


def make_round_robin() -> Policy:
    """Baseline: one after another."""
    count = 0

    def choose(candidates: Sequence[Candidate], moment: Moment, rng: Random) -> Candidate:
        nonlocal count
        count += 1
        ordered = sorted(candidates, key=lambda c: c.vm)
        return ordered[count % len(ordered)]

    return choose


def least_in_flight(candidates: Sequence[Candidate], moment: Moment, rng: Random) -> Candidate:
    """Baseline: the fewest calls of this daemon's own in flight."""
    return min(candidates, key=lambda c: (c.view.in_flight, rng.random()))


def least_reported(candidates: Sequence[Candidate], moment: Moment, rng: Random) -> Candidate:
    """Baseline: the least load by the last report, however old."""
    return min(candidates, key=lambda c: (_reported(c), rng.random()))


def power_of_two(candidates: Sequence[Candidate], moment: Moment, rng: Random) -> Candidate:
    """Baseline: the better of two by own calls in flight."""
    drawn = rng.sample(list(candidates), min(2, len(candidates)))
    return min(drawn, key=lambda c: c.view.in_flight)


POLICY_FACTORIES_BY_NAME: Final[dict[str, Callable[[], Policy]]] = {
    "least-expected": lambda: least_expected,
    "random": lambda: random_choice,
    "round-robin": make_round_robin,
    "least-in-flight": lambda: least_in_flight,
    "least-reported": lambda: least_reported,
    "power-of-two": lambda: power_of_two,
}


def _expected(candidate: Candidate, moment: Moment) -> float:
    hop = 0.0 if candidate.is_local else HOP_SECONDS
    return (
        candidate.view.expected_seconds(moment.now, moment.usual) + hop + candidate.detour_seconds
    )


def _reported(candidate: Candidate) -> float:
    report = candidate.view.report
    return 0.0 if report is None else report.in_flight / report.limit
