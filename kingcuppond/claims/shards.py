"""The shards of the claims: which one a key belongs to, and which members may coordinate it."""

from typing import Final

from kingcuppond.membership.contacts import rendezvous_hash
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member

SHARD_COUNT: Final = 64


def shard_of(key: bytes) -> int:
    """Return the shard number for the digest of a key."""
    return int.from_bytes(key[:2]) % SHARD_COUNT


def coordinators_of(shard: int, directory: Directory) -> list[Member]:
    """Return the members that may coordinate a shard, in order of rank."""
    living = [
        member
        for member in directory.living()
        if not member.is_leaving and not directory.is_suspected(member.vm)
    ]
    return sorted(living, key=lambda member: rendezvous_hash(f"claims-{shard}", member.vm))
