"""Which members a daemon keeps contact with.

A small fleet is a full mesh.  In a larger one, the living members stand on a ring, ordered by a
digest of their names, and a daemon contacts those at distances 1, 4, 16, ... behind it and one
member of each other data centre.  So the contacts grow with the logarithm of the fleet and the
number of data centres, a rumour still reaches everyone in a few hops, and every member has several
contacts that notice its death.
"""

from collections.abc import Sequence
from hashlib import blake2b
from typing import Final

from kingcuppond.membership.messages import Member

FULL_MESH_MAX_MEMBERS: Final = 6
RING_DISTANCE_FACTOR: Final = 4
MIN_PING_INTERVAL_SECONDS: Final = 0.5
MAX_PINGS_PER_SECOND: Final = 20.0


def choose_contacts(me: Member, living: Sequence[Member]) -> dict[str, Member]:
    """Choose the contacts of a member.

    :param me: the member whose contacts are wanted
    :param living: all living members, in any order
    :return: the contacts by the name of their VM
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
    """Return the seconds between two pings of the same contact, for a bounded rate in all."""
    return max(MIN_PING_INTERVAL_SECONDS, contact_count / MAX_PINGS_PER_SECOND)


def rank(salt: str, vm: str) -> bytes:
    """Return a member's place in an order that depends on a salt (rendezvous hashing)."""
    return blake2b(f"{salt}/{vm}".encode(), digest_size=8).digest()


def _ring_distance(me: Member, member: Member) -> int:
    own_position = int.from_bytes(rank("ring", me.vm))
    position = int.from_bytes(rank("ring", member.vm))
    return (position - own_position) % (1 << 64)
