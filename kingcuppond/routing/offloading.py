"""Which share of a service's calls leaves this data centre, and where to.

The load pattern is a data centre whose servers are too few for its demand while others have spare
ones; demand that moves; and all of them short at once.  Bytes between data centres are charged, so
that calls leave only as far as the local servers can't serve them.

The share is changed once for each new summary of the local load, by a part of what is missing or
to spare.  Between two thresholds it stays as it is.  What is added goes to the other data centres
by their spare capacity, and takes only a part of it at a time, since others may send there too.  A
data centre that becomes short gets less, whatever the local load is; so when all are short, nothing
leaves.
"""

import math
from collections.abc import Mapping
from random import Random
from typing import Final

import attrs

SHORT_PRESSURE: Final = 0.95
"""From here on, calls find no free slot."""

GOAL_PRESSURE: Final = 0.9
"""A lower goal sends calls away that a free slot here would serve."""

ROOM_PRESSURE: Final = 0.8
"""Below it, calls return."""

SPARE_PRESSURE: Final = 0.75
"""Up to which another data centre is filled, so that it stays below the threshold of returns."""

SLOTS_PER_REFUSED_CALL: Final = 0.1
"""Slots that one refused call per second would use.  Calls run for 60 to 250 ms, and a call that
finds no slot is refused by up to four gates."""

FULL_FROM: Final = 0.8
"""Part of the slots in use from which refusals count as demand."""

GAIN: Final = 0.2
"""A change shows in the summaries two or three summaries later; with 0.5 the share oscillated."""

MIN_STEP: Final = 0.01
MAX_STEP: Final = 0.1
SPARE_PART: Final = 0.5
CUT_FACTOR: Final = 0.6
MIN_SHARE: Final = 0.001

SLOWEST_LINK_BYTES_PER_SECOND: Final = 625_000
"""The slowest links carry 5 Mbit/s."""

LARGE_BODY_BYTES: Final = 16_384
"""Half as many calls with such a body leave as without one, at a share of a half."""

MAX_BODY_EXPONENT: Final = 4.0


@attrs.frozen
class Load:
    """The load of a service in one data centre.

    :param slots: calls that may run at once, at least one
    :param calls: calls that run or wait there
    :param refused: calls that gates refused as full in the last second
    """

    slots: int
    calls: int
    refused: int = 0

    @property
    def demand(self) -> float:
        """The slots that the calls would use if none were refused.

        Refusals count only as far as no slots are free: otherwise a single gate was full, and
        another one took the call.
        """
        fullness = (self.calls / self.slots - FULL_FROM) / (1.0 - FULL_FROM)
        return self.calls + self.refused * SLOTS_PER_REFUSED_CALL * min(max(fullness, 0.0), 1.0)

    @property
    def pressure(self) -> float:
        """The demand as a part of the slots."""
        return self.demand / self.slots

    @property
    def spare(self) -> float:
        """The calls that can be added before it is filled up."""
        return max(0.0, SPARE_PRESSURE * self.slots - self.demand)


@attrs.frozen
class Neighbour:
    """Another data centre as a destination.

    :param round_trip_seconds: measured from this data centre
    """

    load: Load
    round_trip_seconds: float


@attrs.frozen
class Shares:
    """The shares of a service's calls that leave.

    :param by_data_centre: share that goes to each other data centre
    :param is_short: whether the local servers were too few by the last summary
    """

    by_data_centre: Mapping[str, float] = attrs.field(factory=dict)
    is_short: bool = False

    @property
    def total(self) -> float:
        """The share that leaves."""
        return sum(self.by_data_centre.values())


@attrs.frozen
class CallSize:
    """What the decision needs to know of one call.

    :param seconds_left: until its target
    :param typical_seconds: typical latency of its class
    """

    body_bytes: int
    seconds_left: float
    typical_seconds: float


def next_shares(shares: Shares, local: Load, neighbours: Mapping[str, Neighbour]) -> Shares:
    """Return the shares that follow from new summaries.

    :param shares: those in force
    :param neighbours: the other data centres whose load and round trip are known
    """
    kept = {
        name: share * (CUT_FACTOR if neighbours[name].load.pressure > SHORT_PRESSURE else 1.0)
        for name, share in shares.by_data_centre.items()
        if name in neighbours
    }
    is_short = local.pressure >= SHORT_PRESSURE
    total = sum(kept.values())
    # The demand of this data centre: its own servers see only what stays.
    demand = max(1.0, local.demand / max(1.0 - total, MIN_STEP))
    if is_short and shares.is_short:
        missing = GAIN * (local.demand - GOAL_PRESSURE * local.slots)
        kept = _added(kept, min(missing / demand, MAX_STEP, 1.0 - total), demand, neighbours)
    elif local.pressure <= ROOM_PRESSURE and total:
        room = GAIN * (GOAL_PRESSURE * local.slots - local.demand)
        step = min(max(room / demand, MIN_STEP), MAX_STEP, total)
        kept = {name: share * (1.0 - step / total) for name, share in kept.items()}
    return Shares({name: it for name, it in kept.items() if it >= MIN_SHARE}, is_short)


def choose_destination(
    shares: Shares,
    call: CallSize,
    local: Load,
    neighbours: Mapping[str, Neighbour],
    rng: Random,
) -> str | None:
    """Return the data centre that a call is sent to, or ``None`` if it stays.

    A call stays if it would be answered later there, or after its target.  Calls with large bodies
    leave last, since their bytes cost most; the share grows until enough of the others leave.
    """
    total = shares.total
    if not total:
        return None
    exponent = min(1.0 + call.body_bytes / LARGE_BODY_BYTES, MAX_BODY_EXPONENT)
    draw = rng.random()
    if draw >= total**exponent:
        return None
    point = draw / total**exponent * total
    for name, share in shares.by_data_centre.items():
        point -= share
        if point < 0:
            return name if _pays(call, local, neighbours.get(name)) else None
    return None


def overflow_destinations(call: CallSize, neighbours: Mapping[str, Neighbour]) -> tuple[str, ...]:
    """Return the data centres that may serve a call which the local gates refused.

    They are those that are not short, for a large body those with spare capacity, and that would
    answer before the target.
    """
    is_large = call.body_bytes >= LARGE_BODY_BYTES
    max_pressure = SPARE_PRESSURE if is_large else SHORT_PRESSURE
    return tuple(
        name
        for name, it in neighbours.items()
        if it.load.pressure < max_pressure and call.seconds_left > _seconds_there(call, it)
    )


def _added(
    kept: Mapping[str, float], step: float, demand: float, neighbours: Mapping[str, Neighbour]
) -> dict[str, float]:
    """Return the shares with a step added, by the part of the spare capacity that may be taken."""
    short = sum(it.load.pressure >= SHORT_PRESSURE for it in neighbours.values())
    # Each data centre that is short as well takes its part of the spare capacity.
    spare = {name: it.load.spare * SPARE_PART / (1 + short) for name, it in neighbours.items()}
    total = sum(spare.values())
    if not total:
        return dict(kept)
    step = min(step, total / demand)
    return {
        name: kept.get(name, 0.0) + step * spare[name] / total
        for name in neighbours
        if name in kept or spare[name]
    }


def _pays(call: CallSize, local: Load, there: Neighbour | None) -> bool:
    if there is None:
        return False
    seconds_there = _seconds_there(call, there)
    seconds_here = call.typical_seconds * (1.0 + local.pressure)
    if local.pressure >= 1.0:
        # The call would wait for a slot, for a time that is not known.
        seconds_here = math.inf
    return seconds_there < min(seconds_here, call.seconds_left)


def _seconds_there(call: CallSize, there: Neighbour) -> float:
    transfer_seconds = call.body_bytes / SLOWEST_LINK_BYTES_PER_SECOND
    run_seconds = call.typical_seconds * (1.0 + there.load.pressure)
    return there.round_trip_seconds + transfer_seconds + run_seconds
