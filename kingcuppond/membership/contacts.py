"""Selection of the members that a daemon pings and exchanges rumours with.

A small fleet is a full mesh.  In a larger one, the living members form a ring, ordered by a hash of
their names, and a daemon contacts those at distances 1, 4, 16, ... after it on the ring and one
member of each other data centre.  The number of contacts therefore grows with the logarithm of the
fleet size and with the number of data centres, a rumour reaches all members in a few hops, and
every member is pinged by several others, which detect its failure.
"""

from collections.abc import Sequence
from hashlib import blake2b
from typing import Final

from kingcuppond.membership.messages import Member

FULL_MESH_MAX_MEMBERS: Final = 6
"""Largest fleet that is a full mesh, counting the daemon itself."""

RING_DISTANCE_FACTOR: Final = 4
MIN_PING_INTERVAL_SECONDS: Final = 0.5
MAX_PINGS_PER_SECOND: Final = 20.0


def choose_contacts(me: Member, living: Sequence[Member]) -> dict[str, Member]:
    """Choose the contacts of a member.

    :param me: the member whose contacts are wanted
    :param living: all living members, in any order
    :return: the contacts by VM name
    """
    others = [member for member in living if member.vm != me.vm]
    if len(others) < FULL_MESH_MAX_MEMBERS:
        return {member.vm: member for member in others}
    ring = sorted(others, key=lambda member: _ring_distance(me, member))
    contacts = {}
    distance = 1
    while distance <= len(ring):
        member = ring[distance - 1]
        contacts[member.vm] = member
        distance *= RING_DISTANCE_FACTOR
    covered_data_centres = {me.data_centre}
    for member in ring:
        if member.data_centre not in covered_data_centres:
            covered_data_centres.add(member.data_centre)
            contacts[member.vm] = member
    return contacts


def ping_interval_seconds(contact_count: int) -> float:
    """Return the seconds between two pings of the same contact.

    The interval grows with the number of contacts, so that the total ping rate stays bounded.
    """
    return max(MIN_PING_INTERVAL_SECONDS, contact_count / MAX_PINGS_PER_SECOND)


def rendezvous_hash(salt: str, vm: str) -> bytes:
    """Return the sort key of a VM under a salt (rendezvous hashing)."""
    return blake2b(f"{salt}/{vm}".encode(), digest_size=8).digest()


def _ring_distance(me: Member, member: Member) -> int:
    own_position = int.from_bytes(rendezvous_hash("ring", me.vm))
    position = int.from_bytes(rendezvous_hash("ring", member.vm))
    return (position - own_position) % (1 << 64)
