"""The share of a new version by time, and what its gates may admit.

The load pattern is a version that turns bad late.  So the new version has a small share for three
quarters of the duration; the rest is for the ramp, for some time with everything, and for the write
of ``completed``.  The shares are chosen so that a version that turns bad during the ramp has had
less than the allowed share of the whole duration's requests until it carries everything.

Before the ramp the gates of the new version hold the bound exactly: together they admit what the
deciding daemon has granted them, which is a part of the requests that the gates have reported.
"""

from collections.abc import Collection, Mapping
from typing import Final

import attrs

from kingcuppond.rollouts.order import Phase

CANARY_USE: Final = 0.5
"""Part of the allowed share that the canary uses; the ramp needs the rest."""

SLACK_USE: Final = 0.4
"""Part of the slack that the gates are granted.  Two daemons that both decide for a moment grant
twice of it together."""

CANARY_END: Final = 0.74
FULL_AT: Final = 0.82
COMPLETE_AT: Final = 0.92
DEADLINE_DOUBT_AT: Final = 0.97
"""Fractions of the duration: the end of the canary, everything, ``completed``, and the last moment
at which a version that may be bad is waited for."""

RAMP: Final = ((CANARY_END, 0.2), (0.78, 0.5), (FULL_AT, 1.0))
"""Shares of the ramp by fraction of the duration."""

MAX_CANARY_SHARE: Final = 0.5

RATE_KNOWN_AT: Final = 0.15
"""Fraction of the duration after which the rate of calls is known; the first reports lag behind."""

MIN_RAMP_SAMPLES: Final = 8
"""Answers of the new version before the ramp, whose first step then gives more."""

MIN_SAMPLES: Final = 20
"""Answers of the new version before ``completed``."""

MIN_FULL_SECONDS: Final = 0.8
"""How long the new servers carry everything before ``completed``."""

MIN_STEP_SECONDS: Final = 0.35
"""Time between two steps of the ramp: a step reaches the fleet sooner."""

GRANT_AHEAD_SECONDS: Final = 1.0
"""Calls that a gate is granted ahead: those of a few reports."""


@attrs.frozen
class Bounds:
    """What may go to a version that proves bad, from the settings.

    :param share: of the requests of the service
    :param slack: requests beyond the share
    """

    share: float
    slack: float


@attrs.frozen
class Situation:
    """What the next step depends on.

    :param age: seconds since the order
    :param duration: of the order, in seconds
    :param step_age: seconds since the last change of the share
    :param share: in force
    :param calls: calls that the gates of the service have run since the order
    :param samples: answers of the new version
    :param is_wide: whether all new servers carry the canary's share
    :param is_suspicious: whether the version may be bad
    :param is_doubtful: whether there is any sign that it may be bad
    :param is_store_up: whether the store has answered lately
    """

    phase: Phase
    age: float
    duration: float
    step_age: float
    share: float
    calls: int
    samples: int
    is_wide: bool
    is_suspicious: bool
    is_doubtful: bool
    is_store_up: bool


@attrs.frozen
class Plan:
    """What to do next.

    :param is_complete: whether ``completed`` is due
    :param is_in_doubt: the deadline is near, and the version may still be bad
    """

    phase: Phase
    share: float
    is_complete: bool = False
    is_in_doubt: bool = False


def plan(now: Situation, bounds: Bounds) -> Plan:
    """Return the phase and the share of a roll-out that has shown nothing bad so far."""
    keep = Plan(now.phase, now.share)
    if now.phase is Phase.FINISHING:
        return _plan_end(now)
    if not now.is_store_up:
        return keep
    if now.phase is Phase.CANARY and (
        now.age < CANARY_END * now.duration or now.samples < MIN_RAMP_SAMPLES
    ):
        return Plan(Phase.CANARY, max(now.share, canary_share(now, bounds)))
    if now.phase is Phase.RAMP and now.step_age < MIN_STEP_SECONDS:
        return keep
    if now.is_doubtful:
        # More answers decide whether it is bad before it gets more traffic.
        is_late = now.age >= DEADLINE_DOUBT_AT * now.duration
        return attrs.evolve(keep, is_in_doubt=is_late and now.is_suspicious)
    # One step at a time, also where the samples were late, so that each is judged by itself.
    for start, share in RAMP:
        if share > now.share:
            if now.age < start * now.duration:
                return keep
            is_last = share >= 1.0
            return Plan(Phase.FINISHING if is_last else Phase.RAMP, share)
    return keep


def _plan_end(now: Situation) -> Plan:
    is_due = now.age >= COMPLETE_AT * now.duration and now.step_age >= MIN_FULL_SECONDS
    is_late = now.age >= DEADLINE_DOUBT_AT * now.duration and now.step_age >= MIN_FULL_SECONDS
    return Plan(
        Phase.FINISHING,
        1.0,
        is_complete=is_due and not now.is_suspicious and now.samples >= MIN_SAMPLES,
        is_in_doubt=is_late and now.is_suspicious,
    )


def canary_share(now: Situation, bounds: Bounds) -> float:
    """Return the share before the ramp: a part of the allowed one, more for a service of few calls.

    A service with few calls uses the slack too, since it would otherwise not be judged in time.
    """
    share = CANARY_USE * bounds.share
    if now.age >= RATE_KNOWN_AT * now.duration and now.calls:
        expected = now.calls * max(1.0, now.duration * CANARY_END / now.age)
        share += SLACK_USE * bounds.slack / expected
    return min(share, MAX_CANARY_SHARE)


def needs_wide_canary(now: Situation, is_noise_explained: bool) -> bool:
    """Return whether all new servers should carry the canary's share from now on.

    Noise that the servers don't report hits all answers of a server together.  From a few servers
    there would then be too few answers that are independent.
    """
    is_known = now.age >= RATE_KNOWN_AT * now.duration
    return now.phase is Phase.CANARY and not now.is_wide and is_known and not is_noise_explained


def canary_servers(share: float, servers: int) -> int:
    """Return how many servers of the new version carry the canary's share.

    They are so few that each has about the load that it will have, since a version may be bad under
    load only.
    """
    return max(1, round(share * servers))


def allowance(calls: int, bounds: Bounds) -> int:
    """Return how many calls the new version may have run so far, over the whole fleet."""
    return int(2 * CANARY_USE * bounds.share * calls + SLACK_USE * bounds.slack)


@attrs.frozen
class GateUse:
    """What one gate of the new version was granted since the order, and has used."""

    granted: int
    used: int


def divide(
    allowed: int, uses_by_vm: Mapping[str, GateUse], carrying: Collection[str], ahead: float
) -> dict[str, int]:
    """Return what each gate of the new version may have run, beginning with those that have least.

    No grant is taken back, so the sum never exceeds the largest allowance that was divided.

    :param carrying: VMs whose gates need grants now
    :param ahead: unused calls that a gate should have
    """
    granted_by_vm = {vm: use.granted for vm, use in uses_by_vm.items()}
    left = allowed - sum(granted_by_vm.values())
    target = max(1, round(ahead))
    waiting = sorted(carrying, key=lambda vm: (granted_by_vm[vm] - uses_by_vm[vm].used, vm))
    while left > 0 and waiting:
        still_waiting = []
        for vm in waiting:
            if left > 0 and granted_by_vm[vm] - uses_by_vm[vm].used < target:
                granted_by_vm[vm] += 1
                left -= 1
                still_waiting.append(vm)
        waiting = still_waiting
    return granted_by_vm
