"""Which members of a data centre watch the store.

The members that rank first (rendezvous hashing) act for their data centre.  The ranking is the same
wherever the same members are known, so it needs no election.  A member that ranks first but can't
fill the role, because it is suspected or because the store rejects it, keeps trying, and the next
one in the ranking watches as well.  Their number is bounded, so that a store that is down for all
is not asked by the whole fleet.

The watches of a kind end at different moments, spread over the time that the store holds one.  If
all connections to the store go silent at once, the first watcher whose watch is due notices it, and
what it then reads reaches the others as rumours.  A change ends all watches at once, so that the
moments follow from the ranks and the fleet's time and not from the start of a watch.

The load is a walk over the members after a change in the directory.
"""

import math
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from kingcuppond.membership.contacts import rendezvous_hash
from kingcuppond.membership.messages import Member

MAX_WATCHERS_PER_DATA_CENTRE: Final = 3
"""A change still arrives at once while two watchers of a data centre are down or unreachable."""

FLEET_WATCHERS: Final = 10
"""With so many in all, each data centre needs fewer: what one hears crosses to the others."""

MAX_SUBSTITUTES_PER_DATA_CENTRE: Final = 3
"""All watchers of a data centre can be replaced at once."""

MIN_WATCH_SHARE: Final = 0.05
"""A watch that would end sooner, as a part of the interval, waits for the next end."""


@attrs.frozen
class WatchRanks:
    """The members of one data centre that act for it.

    :param acting: VMs that rank first
    :param watching: VMs that watch the store: those in ``acting`` and their substitutes
    :param phases_by_vm: when the watches of each of them end, as a part of the time between two
    """

    acting: tuple[str, ...] = ()
    watching: tuple[str, ...] = ()
    phases_by_vm: dict[str, float] = attrs.field(factory=dict)


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
    data_centre: str, living: Iterable[Member], is_suspected: Callable[[str], bool]
) -> WatchRanks:
    """Rank the members of a data centre.

    :param living: the living members of all data centres
    :param is_suspected: whether a member is suspected not to run
    """
    members = list(living)
    candidates = [it for it in members if it.data_centre == data_centre and not it.is_leaving]
    ranked = sorted(candidates, key=lambda member: rendezvous_hash("watch", member.vm))
    data_centres = sorted({member.data_centre for member in members})
    share = math.ceil(FLEET_WATCHERS / max(len(data_centres), 1))
    wanted = min(share, MAX_WATCHERS_PER_DATA_CENTRE)
    able = 0
    watching: list[str] = []
    for member in ranked[: wanted + MAX_SUBSTITUTES_PER_DATA_CENTRE]:
        if able == wanted:
            break
        watching.append(member.vm)
        able += not (member.is_store_lost or is_suspected(member.vm))
    phases = {
        vm: (rank + data_centres.index(data_centre) / len(data_centres)) / wanted % 1.0
        for rank, vm in enumerate(watching)
    }
    return WatchRanks(tuple(member.vm for member in ranked[:wanted]), tuple(watching), phases)
