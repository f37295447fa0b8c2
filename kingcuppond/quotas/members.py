"""The members as the quotas see them: who coordinates a shard, and who passes shares on to whom.

Organisations are grouped into shards, so that a daemon's counts for many of them travel in one
message.  Shares spread along a tree in each data centre; one message goes to each other data
centre.
"""

from hashlib import blake2b
from typing import Final, Protocol

import attrs

from kingcuppond.membership.contacts import rendezvous_hash
from kingcuppond.membership.directory import Directory

SHARD_COUNT: Final = 8
ID_BYTES: Final = 5
"""Two of 10,000 organisations have the same id with a probability of 5 in 100,000."""

FAN_OUT: Final = 4


def organisation_id(name: str) -> bytes:
    """Return the id by which messages name an organisation."""
    return blake2b(name.encode(), digest_size=ID_BYTES).digest()


def shard_of(id_: bytes) -> int:
    """Return the shard of an organisation."""
    return id_[0] % SHARD_COUNT


class Members(Protocol):
    """The members as one daemon sees them.

    :param generation: changes whenever the members do
    :param known: number of all members, dead ones included
    """

    @property
    def generation(self) -> int: ...
    @property
    def known(self) -> int: ...
    def reachable(self) -> dict[str, str]:
        """Return the data centre of each member that is thought to be reachable, by VM."""
        ...

    def leaving(self) -> frozenset[str]:
        """Return the VMs that are about to stop."""
        ...


@attrs.define
class DirectoryMembers:
    """The members of a directory."""

    directory: Directory

    @property
    def generation(self) -> int:
        """Changes whenever the members do."""
        return self.directory.generation

    @property
    def known(self) -> int:
        """Number of all members, dead ones included."""
        return len(self.directory.members_by_vm)

    def reachable(self) -> dict[str, str]:
        """Return the data centre of each member that is thought to be reachable, by VM."""
        members = self.directory.members_by_vm.values()
        return {m.vm: m.data_centre for m in members if not self.directory.is_suspected(m.vm)}

    def leaving(self) -> frozenset[str]:
        """Return the VMs that are about to stop."""
        members = self.directory.members_by_vm.values()
        return frozenset(member.vm for member in members if member.is_leaving)


@attrs.define
class Roles:
    """The coordinators and the trees, worked out once for each change of the members.

    :param vm: name of this daemon's VM
    :param reachable: number of members that are thought to be reachable
    """

    vm: str
    members: Members
    reachable: int = 1
    known: int = 1
    _generation: int | None = None
    _coordinators: list[str] = attrs.field(factory=list)
    _rings: dict[str, list[str]] = attrs.field(factory=dict)
    _data_centres: dict[str, str] = attrs.field(factory=dict)
    _leaving: frozenset[str] = frozenset()

    def refresh(self) -> bool:
        """Follow the members; return whether they have changed."""
        if self.members.generation == self._generation:
            return False
        self._generation = self.members.generation
        self.known = self.members.known
        reachable, leaving = self.members.reachable(), self.members.leaving()
        if self._coordinators and (reachable, leaving) == (self._data_centres, self._leaving):
            # Most changes concern the servers of members only.
            return True
        self._data_centres, self._leaving = reachable, leaving
        self.reachable = len(reachable)
        candidates = [vm for vm in self._data_centres if vm not in leaving] or [self.vm]
        self._coordinators = [
            max(candidates, key=lambda vm: rendezvous_hash(f"quota-{shard}", vm))
            for shard in range(SHARD_COUNT)
        ]
        self._rings = {}
        for vm in sorted(self._data_centres):
            self._rings.setdefault(self._data_centres[vm], []).append(vm)
        return True

    def coordinator(self, shard: int) -> str:
        """Return the VM that coordinates a shard."""
        return self._coordinators[shard]

    def receivers(self, coordinator: str) -> list[str]:
        """Return the VMs to which this daemon passes on the shares of a coordinator."""
        receivers = []
        own = self._data_centres.get(self.vm)
        for data_centre, ring in self._rings.items():
            root = self._root(coordinator, data_centre, ring)
            if data_centre != own:
                if self.vm == coordinator:
                    receivers.append(root)
                continue
            start = ring.index(root)
            position = (ring.index(self.vm) - start) % len(ring)
            first = position * FAN_OUT + 1
            for child in range(first, min(first + FAN_OUT, len(ring))):
                receivers.append(ring[(start + child) % len(ring)])
        return receivers

    def _root(self, coordinator: str, data_centre: str, ring: list[str]) -> str:
        if self._data_centres.get(coordinator) == data_centre:
            return coordinator
        return max(ring, key=lambda vm: rendezvous_hash(f"quota-root/{coordinator}", vm))
