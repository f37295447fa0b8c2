"""Which members watch the store.

The members that rank first (rendezvous hashing) act for their data centre.  The ranking is the same
wherever the same members are known, so it needs no election.  A member that ranks first but that
the store rejects keeps trying.  If all of them fail at once, members that rank behind them ask the
store, and others by chance (see ``kingcuppond.configuration.inquiries``); those next in rank act
once the first count as dead.

The watches of one kind end at different moments, spread over the time that the store holds one.
If all connections to the store go silent at once, the first watcher whose watch is due notices it,
and what it then reads reaches the others as rumours.  A change ends all watches of its kind at
once, so that the moments follow from the ranks and the fleet's time and not from the start of a
watch.

With few watchers each one asks more often, so that the time between two of these moments stays
bounded.

The load is a walk over the members after a change in the directory.
"""

import math
from collections import Counter
from collections.abc import Iterable
from typing import Final

import attrs

from kingcuppond.membership.contacts import rendezvous_hash
from kingcuppond.membership.messages import Member

MAX_WATCHERS_PER_DATA_CENTRE: Final = 3

FLEET_WATCHERS: Final = 4
"""With so many in all, each data centre needs fewer: what one hears crosses to the others, and
others ask the store within a second if all of them fail."""

MAX_SUBSTITUTES: Final = 4
"""Members of the whole fleet that ask the store first while no watcher is known to follow it."""

MAX_WATCH_GAP_MS: Final = 2_250
"""Longest time between the ends of two watches of a kind anywhere in the fleet."""

MIN_WATCH_SHARE: Final = 0.005
"""A watch that would end sooner, as a part of the interval, waits for the next end."""


@attrs.frozen
class WatchRanks:
    """The members that watch the store.

    :param acting: VMs that rank first in this data centre
    :param next_in_rank: as many VMs of this data centre that rank after them
    :param phases_by_vm: when the watches of those in ``acting`` end, as a part of the time between
        two of them
    :param watchers: number of members that rank first in all data centres, at least 1
    """

    acting: tuple[str, ...] = ()
    next_in_rank: tuple[str, ...] = ()
    phases_by_vm: dict[str, float] = attrs.field(factory=dict)
    watchers: int = 1

    def interval_ms(self, wait_ms: int) -> int:
        """Return the time between the ends of two watches of one watcher.

        :param wait_ms: how long the store may hold a watch
        """
        return min(wait_ms, self.watchers * MAX_WATCH_GAP_MS)


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


def rank_watchers(data_centre: str, living: Iterable[Member]) -> WatchRanks:
    """Rank the members of the fleet.

    :param data_centre: the data centre whose acting members are wanted
    :param living: the living members of all data centres
    """
    members = list(living)
    counts_by_data_centre = Counter(it.data_centre for it in members if not it.is_leaving)
    wanted = _wanted_watchers(len(counts_by_data_centre))
    ranked = _rank(it for it in members if it.data_centre == data_centre)
    acting, following = ranked[:wanted], ranked[wanted : 2 * wanted]
    turns = sorted(
        (rank, name)
        for name, count in counts_by_data_centre.items()
        for rank in range(min(count, wanted))
    )
    return WatchRanks(
        acting=tuple(member.vm for member in acting),
        next_in_rank=tuple(member.vm for member in following),
        phases_by_vm={
            member.vm: turns.index((rank, data_centre)) / len(turns)
            for rank, member in enumerate(acting)
        },
        watchers=max(len(turns), 1),
    )


def find_watchers(living: Iterable[Member]) -> list[Member]:
    """Return the members that rank first in each data centre."""
    members = list(living)
    data_centres = {member.data_centre for member in members if not member.is_leaving}
    wanted = _wanted_watchers(len(data_centres))
    watchers: list[Member] = []
    for name in sorted(data_centres):
        watchers += _rank(it for it in members if it.data_centre == name)[:wanted]
    return watchers


def rank_substitutes(living: Iterable[Member]) -> list[str]:
    """Return the VMs of the fleet that ask the store first if no watcher follows it."""
    members = list(living)
    watchers = {member.vm for member in find_watchers(members)}
    others = [member.vm for member in _rank(members) if member.vm not in watchers]
    return others[:MAX_SUBSTITUTES]


def _wanted_watchers(data_centres: int) -> int:
    """Return the number of watchers wanted in each data centre."""
    share = math.ceil(FLEET_WATCHERS / max(data_centres, 1))
    return min(share, MAX_WATCHERS_PER_DATA_CENTRE)


def _rank(members: Iterable[Member]) -> list[Member]:
    staying = [member for member in members if not member.is_leaving]
    return sorted(staying, key=lambda member: rendezvous_hash("watch", member.vm))
