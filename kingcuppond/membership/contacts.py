"""Selection of the members that a daemon pings and exchanges rumours with.

A small fleet is a full mesh.  In a larger one, the living members of each data centre form a ring,
ordered by a hash of their names.  A daemon pings those at distances 1, 2, 8, 32, ... after it, and
also sends rumours to the one before it.  The number of contacts therefore grows with the logarithm
of the size of the data centre, a rumour reaches all its members in a few hops, and every member is
pinged by several others, which detect its failure.

Data centres are connected by bridges: for each other data centre, the few members that rank first
under a hash of its name.  Each is connected to one of the bridges on the other side.  The control
traffic between two data centres therefore doesn't grow with their members.  A suspected bridge is
replaced by the next in rank.
"""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b
from typing import Final

import attrs

from kingcuppond.membership.messages import Member

FULL_MESH_MAX_MEMBERS: Final = 6
"""Largest fleet that is a full mesh, counting the daemon itself."""

FIRST_RING_DISTANCES: Final = (1, 2)
RING_DISTANCE_FACTOR: Final = 4

BRIDGES_PER_DATA_CENTRE: Final = 2
"""A rumour still crosses at once while one bridge of a pair of data centres has failed."""

PING_INTERVAL_SECONDS: Final = 0.5

DISTANT_PING_INTERVAL_SECONDS: Final = 1.0
"""For members further along the ring, whose failure their neighbours there detect sooner."""

HASH_CACHE_ENTRIES: Final = 65_536


@attrs.frozen
class Contacts:
    """The contacts of one daemon.

    :param pinged_by_vm: members that the daemon pings
    :param informed_by_vm: members that it sends rumours to
    :param near: VMs whose failure this daemon should detect soon
    """

    pinged_by_vm: dict[str, Member] = attrs.field(factory=dict)
    informed_by_vm: dict[str, Member] = attrs.field(factory=dict)
    near: frozenset[str] = frozenset()

    def ping_interval_seconds(self, vm: str) -> float:
        """Return the seconds between two pings of a contact."""
        return PING_INTERVAL_SECONDS if vm in self.near else DISTANT_PING_INTERVAL_SECONDS


def choose_contacts(
    me: Member, living: Sequence[Member], suspected: frozenset[str] = frozenset()
) -> Contacts:
    """Choose the contacts of a member.

    :param me: the member whose contacts are wanted
    :param living: all living members, in any order
    :param suspected: VMs of the members that are suspected, and so can't be bridges
    """
    others = [member for member in living if member.vm != me.vm]
    if len(others) < FULL_MESH_MAX_MEMBERS:
        mesh = {member.vm: member for member in others}
        return Contacts(mesh, mesh, frozenset(mesh))
    near: dict[str, Member] = {}
    distant: dict[str, Member] = {}
    neighbours = [member for member in others if member.data_centre == me.data_centre]
    ring = sorted(neighbours, key=lambda member: _ring_distance(me.vm, member.vm))
    for distance in _ring_distances(len(ring)):
        member = ring[distance - 1]
        (near if distance in FIRST_RING_DISTANCES else distant)[member.vm] = member
    counterparts = _choose_counterparts(me, [m for m in living if m.vm not in suspected])
    near.update({member.vm: member for member in counterparts})
    pinged = {**near, **distant}
    informed = dict(pinged)
    if ring:
        informed[ring[-1].vm] = ring[-1]
    return Contacts(pinged, informed, frozenset(near))


def rank_bridges(candidates: Iterable[Member], to_data_centre: str) -> list[Member]:
    """Return the members of a data centre that are its bridges to another one, first rank first."""
    salt = f"bridge/{to_data_centre}"
    ranked = sorted(candidates, key=lambda member: rendezvous_hash(salt, member.vm))
    return ranked[:BRIDGES_PER_DATA_CENTRE]


@lru_cache(HASH_CACHE_ENTRIES)
def rendezvous_hash(salt: str, vm: str) -> bytes:
    """Return the sort key of a VM under a salt (rendezvous hashing)."""
    return blake2b(f"{salt}/{vm}".encode(), digest_size=8).digest()


def _choose_counterparts(me: Member, candidates: list[Member]) -> list[Member]:
    """Return the bridge that this daemon is connected to in each data centre it is a bridge to."""
    members_by_data_centre: dict[str, list[Member]] = {me.data_centre: [me]}
    for member in candidates:
        if member.vm != me.vm and not member.is_leaving:
            members_by_data_centre.setdefault(member.data_centre, []).append(member)
    own = members_by_data_centre.pop(me.data_centre)
    counterparts = []
    for data_centre, members in members_by_data_centre.items():
        ranked = [member.vm for member in rank_bridges(own, data_centre)]
        if me.vm in ranked:
            remote = rank_bridges(members, me.data_centre)
            counterparts.append(remote[ranked.index(me.vm) % len(remote)])
    return counterparts


def _ring_distances(ring_size: int) -> list[int]:
    distances = [distance for distance in FIRST_RING_DISTANCES if distance <= ring_size]
    distance = FIRST_RING_DISTANCES[-1] * RING_DISTANCE_FACTOR
    while distance <= ring_size:
        distances.append(distance)
        distance *= RING_DISTANCE_FACTOR
    return distances


def _ring_distance(own_vm: str, vm: str) -> int:
    return (_ring_position(vm) - _ring_position(own_vm)) % (1 << 64)


@lru_cache(HASH_CACHE_ENTRIES)
def _ring_position(vm: str) -> int:
    return int.from_bytes(rendezvous_hash("ring", vm))
