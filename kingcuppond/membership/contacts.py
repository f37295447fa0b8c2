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

MESH_MEMBERS: Final = 6
RING_BASE: Final = 4
PING_SECONDS: Final = 0.5
PINGS_PER_SECOND: Final = 20.0


def choose_contacts(me: Member, living: Sequence[Member]) -> dict[str, Member]:
    """Choose the contacts of a member.

    :param me: the member whose contacts are wanted
    :param living: all living members, in any order
    :return: the contacts by the name of their VM
    """
    others = [member for member in living if member.vm != me.vm]
    if len(others) < MESH_MEMBERS:
        return {member.vm: member for member in others}
    ring = sorted(others, key=lambda member: _place(me, member))
    contacts = {}
    distance = 1
    while distance <= len(ring):
        member = ring[distance - 1]
        contacts[member.vm] = member
        distance *= RING_BASE
    covered = {me.data_centre}
    for member in ring:
        if member.data_centre not in covered:
            covered.add(member.data_centre)
            contacts[member.vm] = member
    return contacts


def ping_interval(contacts: int) -> float:
    """Return the seconds between two pings of the same contact, for a bounded rate in all."""
    return max(PING_SECONDS, contacts / PINGS_PER_SECOND)


def rank(salt: str, vm: str) -> bytes:
    """Return a member's place in an order that depends on a salt (rendezvous hashing)."""
    return blake2b(f"{salt}/{vm}".encode(), digest_size=8).digest()


def _place(me: Member, member: Member) -> int:
    start = int.from_bytes(rank("ring", me.vm))
    place = int.from_bytes(rank("ring", member.vm))
    return (place - start) % (1 << 64)
