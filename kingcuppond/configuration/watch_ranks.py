"""Which members watch the store.

The members that rank first (rendezvous hashing) act for their data centre.  The ranking is the same
wherever the same members are known, so it needs no election.  A member that ranks first but that
the store rejects keeps trying.  While each of them, in all data centres, is rejected or
unreachable, the next members in the ranking of the fleet watch as well; as long as one is served,
what it reads reaches the others as rumours.  The number of these substitutes is bounded, and they
try seldom, so that a store that is down for all is not asked by the whole fleet.

The watches of one kind end at different moments, spread over the time that the store holds one.
If all connections to the store go silent at once, the first watcher whose watch is due notices it,
and what it then reads reaches the others as rumours.  A change ends all watches of its kind at
once, so that the moments follow from the ranks and the fleet's time and not from the start of a
watch.

With few watchers each one asks more often, so that the time between two of these moments stays
bounded.

The load is a ranking of all members after a change in the directory.
"""

import math
from collections.abc import Iterable
from typing import Final

import attrs

from kingcuppond.membership.contacts import rendezvous_hash
from kingcuppond.membership.messages import Member

MAX_WATCHERS_PER_DATA_CENTRE: Final = 3
"""A change still arrives at once while two watchers of a data centre are down or unreachable."""

FLEET_WATCHERS: Final = 10
"""With so many in all, each data centre needs fewer: what one hears crosses to the others."""

WANTED_SUBSTITUTES: Final = 2
"""Substitutes of the whole fleet that the store should serve while it serves no watcher."""

MAX_SUBSTITUTES: Final = 4
"""Most substitutes of the whole fleet, whether served or not."""

MAX_WATCH_GAP_MS: Final = 2_250
"""Longest time between the ends of two watches of a kind anywhere in the fleet."""

MIN_WATCH_SHARE: Final = 0.005
"""A watch that would end sooner, as a part of the interval, waits for the next end."""


@attrs.frozen
class WatchRanks:
    """The members that watch the store.

    :param acting: VMs that rank first in this data centre
    :param watchers: members that rank first in any data centre
    :param candidates: VMs of the fleet that may become substitutes
    :param substitutes: those of them that watch now, since the store serves no watcher
    :param phases_by_vm: when the watches of those in ``acting`` end, as a part of the time between
        two of them
    """

    acting: tuple[str, ...] = ()
    watchers: tuple[Member, ...] = ()
    candidates: tuple[str, ...] = ()
    substitutes: tuple[str, ...] = ()
    phases_by_vm: dict[str, float] = attrs.field(factory=dict)

    def interval_ms(self, wait_ms: int) -> int:
        """Return the time between the ends of two watches of one watcher.

        :param wait_ms: how long the store may hold a watch
        """
        return min(wait_ms, max(len(self.watchers), 1) * MAX_WATCH_GAP_MS)


def watch_ms(now_ms: int, phase: float, interval_ms: int) -> int:
    """Return how long the store may hold a watch, so that it ends at its phase.

    :param now_ms: the fleet's time in milliseconds
    :param phase: part of the interval at which the watch ends
    :param interval_ms: time between the ends of two watches without a change between them
    """
    left_ms = (round(phase * interval_ms) - now_ms) % interval_ms
    # The store may answer a moment early, and the clocks of two VMs differ.
    is_due_again = left_ms < interval_ms * MIN_WATCH_SHARE
    return left_ms + interval_ms if is_due_again else left_ms


def rank_watchers(
    data_centre: str, living: Iterable[Member], unreachable: frozenset[str] = frozenset()
) -> WatchRanks:
    """Rank the members of the fleet.

    :param data_centre: the data centre whose acting members are wanted
    :param living: the living members of all data centres
    :param unreachable: VMs of the watchers that don't answer
    """
    ranked = _rank(living)
    data_centres = {member.data_centre for member in ranked}
    share = math.ceil(FLEET_WATCHERS / max(len(data_centres), 1))
    wanted = min(share, MAX_WATCHERS_PER_DATA_CENTRE)
    acting_by_data_centre: dict[str, list[Member]] = {name: [] for name in data_centres}
    others: list[Member] = []
    for member in ranked:
        acting = acting_by_data_centre[member.data_centre]
        (acting if len(acting) < wanted else others).append(member)
    turns = sorted(
        (rank, name)
        for name, acting in acting_by_data_centre.items()
        for rank in range(len(acting))
    )
    watchers = tuple(member for acting in acting_by_data_centre.values() for member in acting)
    candidates = others[:MAX_SUBSTITUTES]
    is_any_served = any(
        not member.is_store_lost and member.vm not in unreachable for member in watchers
    )
    vms = tuple(member.vm for member in acting_by_data_centre.get(data_centre, ()))
    return WatchRanks(
        acting=vms,
        watchers=watchers,
        candidates=tuple(member.vm for member in candidates),
        substitutes=() if is_any_served else _choose_substitutes(candidates),
        phases_by_vm={
            vm: turns.index((rank, data_centre)) / len(turns) for rank, vm in enumerate(vms)
        },
    )


def _choose_substitutes(candidates: list[Member]) -> tuple[str, ...]:
    """Return the candidates up to the last of those wanted that the store serves."""
    substitutes: list[str] = []
    served = 0
    for member in candidates:
        if served == WANTED_SUBSTITUTES:
            break
        substitutes.append(member.vm)
        served += not member.is_store_lost
    return tuple(substitutes)


def _rank(members: Iterable[Member]) -> list[Member]:
    staying = [member for member in members if not member.is_leaving]
    return sorted(staying, key=lambda member: rendezvous_hash("watch", member.vm))
