"""Server selection: policies that choose one of several candidates for a call.

Policies are plain functions, so that the bench can compare the default with baselines.  The default
samples a few candidates at random and takes the one with the least expected latency.  Sampling
keeps many daemons from sending their calls to the same server after the same load report.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import Final

import attrs

from kingcuppond.routing.view import ServerView

SAMPLE_SIZE: Final = 3
WARMUP_LATENCY_RATIO: Final = 20.0
"""Multiple of the typical latency that must be left until a call's target; a cold server can take
five times the typical latency."""

HOP_SECONDS: Final = 0.0008


@attrs.frozen
class Candidate:
    """A server that could run the call.

    :param vm: name of its VM
    :param view: this daemon's estimate of the server
    :param is_local: whether it runs on this daemon's VM, so that no second hop is needed
    :param detour_seconds: latency penalty that makes up for the cost of traffic to another data
        centre; 0 in this daemon's own data centre
    """

    vm: str
    view: ServerView
    is_local: bool = False
    detour_seconds: float = 0.0


@attrs.frozen
class SelectionContext:
    """The inputs of a policy that concern the call.

    :param now: monotonic time in seconds
    :param typical_seconds: typical latency of successful calls of the class
    """

    now: float
    typical_seconds: float


Policy = Callable[[Sequence[Candidate], SelectionContext, Random], Candidate]


def least_expected(
    candidates: Sequence[Candidate], context: SelectionContext, rng: Random
) -> Candidate:
    """Sample a few candidates and take the one with the least expected latency.

    The sample is ``SAMPLE_SIZE`` of all candidates, as many of those in this data centre, and the
    local server.
    """
    sampled = list(candidates)
    if len(sampled) > SAMPLE_SIZE:
        nearby = [c for c in candidates if c.detour_seconds == 0.0]
        sampled = rng.sample(sampled, SAMPLE_SIZE)
        sampled.extend(
            c for c in rng.sample(nearby, min(SAMPLE_SIZE, len(nearby))) if c not in sampled
        )
        sampled.extend(c for c in candidates if c.is_local and c not in sampled)
    rng.shuffle(sampled)
    return min(sampled, key=lambda c: _expected_seconds(c, context))


def find_warmup_candidates(
    candidates: Sequence[Candidate], context: SelectionContext, target_at: float
) -> list[Candidate]:
    """Return the servers whose concurrency limit is at most half of the largest one.

    Such a server is new or cold, and only calls warm it up; by its latency alone it would get next
    to none.  It is a candidate only if this daemon has no call in flight there and the call has
    enough time left for a slow answer.

    :param target_at: when the call's latency target expires, on the monotonic clock, in seconds
    """
    limits = [c.view.report.limit for c in candidates if c.view.report is not None]
    if not limits or context.now + WARMUP_LATENCY_RATIO * context.typical_seconds > target_at:
        return []
    return [
        c
        for c in candidates
        if c.view.report is not None
        and c.view.report.limit * 2 <= max(limits)
        and not c.view.in_flight
    ]


def random_choice(
    candidates: Sequence[Candidate], context: SelectionContext, rng: Random
) -> Candidate:
    """Baseline: uniformly random."""
    return rng.choice(candidates)


def make_round_robin() -> Policy:
    """Baseline: round robin."""
    count = 0

    def choose(
        candidates: Sequence[Candidate], context: SelectionContext, rng: Random
    ) -> Candidate:
        nonlocal count
        count += 1
        ordered = sorted(candidates, key=lambda c: c.vm)
        return ordered[count % len(ordered)]

    return choose


def least_in_flight(
    candidates: Sequence[Candidate], context: SelectionContext, rng: Random
) -> Candidate:
    """Baseline: the fewest calls in flight from this daemon."""
    return min(candidates, key=lambda c: (c.view.in_flight, rng.random()))


def least_reported(
    candidates: Sequence[Candidate], context: SelectionContext, rng: Random
) -> Candidate:
    """Baseline: the least load in the last report, regardless of its age."""
    return min(candidates, key=lambda c: (_reported_load(c), rng.random()))


def power_of_two(
    candidates: Sequence[Candidate], context: SelectionContext, rng: Random
) -> Candidate:
    """Baseline: the one of two random candidates with fewer calls in flight from this daemon."""
    sampled = rng.sample(list(candidates), min(2, len(candidates)))
    return min(sampled, key=lambda c: c.view.in_flight)


POLICY_FACTORIES_BY_NAME: Final[dict[str, Callable[[], Policy]]] = {
    "least-expected": lambda: least_expected,
    "random": lambda: random_choice,
    "round-robin": make_round_robin,
    "least-in-flight": lambda: least_in_flight,
    "least-reported": lambda: least_reported,
    "power-of-two": lambda: power_of_two,
}


def _expected_seconds(candidate: Candidate, context: SelectionContext) -> float:
    hop_seconds = 0.0 if candidate.is_local else HOP_SECONDS
    return (
        candidate.view.expected_seconds(context.now, context.typical_seconds)
        + hop_seconds
        + candidate.detour_seconds
    )


def _reported_load(candidate: Candidate) -> float:
    report = candidate.view.report
    return 0.0 if report is None else report.load / report.limit
