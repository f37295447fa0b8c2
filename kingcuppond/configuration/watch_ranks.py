"""Which members of a data centre watch the store.

The members that rank first (rendezvous hashing) act for their data centre.  The ranking is the same
wherever the same members are known, so it needs no election.  A member that ranks first but can't
fill the role, because it is suspected or because the store rejects it, keeps trying, and the next
one in the ranking watches as well.  Their number is bounded, so that a store that is down for all
is not asked by the whole fleet.

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


@attrs.frozen
class WatchRanks:
    """The members of one data centre that act for it.

    :param acting: VMs that rank first
    :param watching: VMs that watch the store: those in ``acting`` and their substitutes
    """

    acting: tuple[str, ...] = ()
    watching: tuple[str, ...] = ()


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
    data_centres = len({member.data_centre for member in members})
    share = math.ceil(FLEET_WATCHERS / max(data_centres, 1))
    wanted = min(share, MAX_WATCHERS_PER_DATA_CENTRE)
    able = 0
    watching: list[str] = []
    for member in ranked[: wanted + MAX_SUBSTITUTES_PER_DATA_CENTRE]:
        if able == wanted:
            break
        watching.append(member.vm)
        able += not (member.is_store_lost or is_suspected(member.vm))
    return WatchRanks(tuple(member.vm for member in ranked[:wanted]), tuple(watching))
