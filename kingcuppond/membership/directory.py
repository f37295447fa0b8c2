"""The directory: all known members, and which of them are considered dead.

There is no configured list of servers.  Each daemon publishes a description of itself and its
server, which spreads as rumours and is merged here by version.  A member that does not
answer the pings of another is suspected; if it does not refute the suspicion in time with a newer
version, it is considered dead and gets no work.  A dead member stays in the directory for a while,
so that it is found again after a partition heals.
"""

from collections.abc import Callable, Iterable
from typing import Any, Final

import attrs

from kingcuppond.clock import Clock
from kingcuppond.digest import digest_of
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.messages import Member, ServerState, Suspicion

DEAD_AFTER_SECONDS: Final = 2.0
"""Time from a suspicion until its member is considered dead."""

REMOVE_AFTER_SECONDS: Final = 3600.0
"""Time from a suspicion until its dead member is removed."""


@attrs.define
class _Suspected:
    version: tuple[int, int]
    suspected_at: float
    is_dead: bool = False


@attrs.define
class Directory:
    """The members of the fleet as this daemon sees them.

    :param me: this daemon's own entry, always at the newest version
    :param digest: of all entries
    :param digests_by_data_centre: of the entries of each data centre
    :param generation: increases when an entry or the set of suspected members changes
    :param on_own_change: called with the new version after each change of ``me``
    :param draining_by_vm: the latest entry of each member with a draining server, also if a later
        process on that VM has published another state
    :param on_earlier_incarnation: called with an entry of an earlier process on this VM
    """

    me: Member
    clock: Clock
    journal: Journal
    members_by_vm: dict[str, Member] = attrs.field(factory=dict)
    members_by_service: dict[str, dict[str, Member]] = attrs.field(factory=dict)
    draining_by_vm: dict[str, Member] = attrs.field(factory=dict)
    digest: int = 0
    digests_by_data_centre: dict[str, int] = attrs.field(factory=dict)
    generation: int = 0
    on_own_change: list[Callable[[Member], None]] = attrs.field(factory=list)
    on_earlier_incarnation: list[Callable[[Member], None]] = attrs.field(factory=list)
    _suspected_by_vm: dict[str, _Suspected] = attrs.field(factory=dict)
    _dead_count: int = 0

    def __attrs_post_init__(self) -> None:
        self._put(self.me)

    def merge(self, member: Member) -> bool:
        """Store a member's description of itself if it is newer than the known one.

        :return: whether it was newer
        """
        if member.vm == self.me.vm:
            if member.version > self.me.version:
                self._supersede_earlier_incarnation(member)
            elif member.incarnation < self.me.incarnation:
                self._report_earlier_incarnation(member)
            return False
        known = self.members_by_vm.get(member.vm)
        if known is not None and known.version >= member.version:
            return False
        self._forget_suspicion(member.vm)
        self._put(member)
        if known is None:
            self.journal.record(
                catalogue.MEMBER_JOINED, member=member.vm, data_centre=member.data_centre
            )
        elif (known.state, known.is_leaving) != (member.state, member.is_leaving):
            state = "leaving" if member.is_leaving else member.state.value
            self.journal.record(catalogue.MEMBER_CHANGED, member=member.vm, state=state)
        return True

    def publish_own_change(self, **changes: Any) -> Member:
        """Publish a new version of this daemon's own entry.

        :param changes: fields of :class:`Member` with their new values
        :return: the new version
        """
        self.me = attrs.evolve(self.me, seq=self.me.seq + 1, **changes)
        self._put(self.me)
        for callback in self.on_own_change:
            callback(self.me)
        return self.me

    def suspect(self, suspicion: Suspicion) -> bool:
        """Record a suspicion, or refute it if it concerns this daemon.

        :return: whether it was recorded
        """
        version = (suspicion.incarnation, suspicion.seq)
        if suspicion.vm == self.me.vm:
            if version >= self.me.version:
                self.journal.record(catalogue.SUSPICION_REFUTED)
                self.publish_own_change()
            return False
        known = self.members_by_vm.get(suspicion.vm)
        if known is None or version < known.version or suspicion.vm in self._suspected_by_vm:
            return False
        self._suspected_by_vm[suspicion.vm] = _Suspected(version, self.clock.monotonic())
        self.generation += 1
        self.journal.record(catalogue.MEMBER_SUSPECTED, member=suspicion.vm)
        return True

    def expire_suspicions(self) -> list[Member]:
        """Mark members dead that did not refute in time, and remove those dead for long.

        :return: the members that were removed
        """
        now = self.clock.monotonic()
        removed = []
        for vm, suspected in list(self._suspected_by_vm.items()):
            if not suspected.is_dead and now - suspected.suspected_at > DEAD_AFTER_SECONDS:
                suspected.is_dead = True
                self._dead_count += 1
                self.generation += 1
                self.journal.record(catalogue.MEMBER_DEAD, member=vm)
            elif suspected.is_dead and now - suspected.suspected_at > REMOVE_AFTER_SECONDS:
                removed.append(self._remove(vm))
        return removed

    def clear_suspicion(self, vm: str) -> None:
        """Drop the suspicion of a member that answered this daemon, unless it is already dead."""
        suspected = self._suspected_by_vm.get(vm)
        if suspected is not None and not suspected.is_dead:
            self._forget_suspicion(vm)

    def is_suspected(self, vm: str) -> bool:
        """Return whether a member is suspected or considered dead."""
        return vm in self._suspected_by_vm

    def is_dead(self, vm: str) -> bool:
        """Return whether a member is considered dead."""
        suspected = self._suspected_by_vm.get(vm)
        return suspected is not None and suspected.is_dead

    def living(self) -> list[Member]:
        """Return all members that are not considered dead, including this daemon."""
        return [member for vm, member in self.members_by_vm.items() if not self.is_dead(vm)]

    def dead(self) -> list[Member]:
        """Return the members that are considered dead."""
        return [member for vm, member in self.members_by_vm.items() if self.is_dead(vm)]

    @property
    def living_count(self) -> int:
        """Number of members that are not considered dead, including this daemon."""
        return len(self.members_by_vm) - self._dead_count

    def suspicions(self) -> Iterable[Suspicion]:
        """Yield all suspicions, so that a suspected member that receives them can refute them."""
        for vm in self._suspected_by_vm:
            suspicion = self.suspicion_of(vm)
            if suspicion is not None:
                yield suspicion

    def suspicion_of(self, vm: str) -> Suspicion | None:
        """Return the suspicion of a member, or ``None`` if it is not suspected."""
        suspected = self._suspected_by_vm.get(vm)
        return None if suspected is None else Suspicion(vm, *suspected.version)

    def suspected(self) -> frozenset[str]:
        """Return the VMs of the members that are suspected or considered dead."""
        return frozenset(self._suspected_by_vm)

    def _forget_suspicion(self, vm: str) -> None:
        suspected = self._suspected_by_vm.pop(vm, None)
        if suspected is not None:
            self._dead_count -= suspected.is_dead
            self.generation += 1

    def _supersede_earlier_incarnation(self, member: Member) -> None:
        # The entry is from an earlier process on this VM, perhaps one with a faster wall clock.
        # Without a larger incarnation, other members would ignore what this process publishes.
        self._report_earlier_incarnation(member)
        self.me = attrs.evolve(
            self.me, incarnation=max(self.me.incarnation, member.incarnation + 1), seq=0
        )
        self.publish_own_change()

    def _report_earlier_incarnation(self, member: Member) -> None:
        for callback in self.on_earlier_incarnation:
            callback(member)

    def _put(self, member: Member) -> None:
        known = self.members_by_vm.get(member.vm)
        if known is not None:
            self._toggle_digest(known)
            self.members_by_service[known.service].pop(member.vm, None)
        self.members_by_vm[member.vm] = member
        if member.state is ServerState.DRAINING:
            self.draining_by_vm[member.vm] = member
        self.members_by_service.setdefault(member.service, {})[member.vm] = member
        self._toggle_digest(member)
        self.generation += 1

    def _remove(self, vm: str) -> Member:
        member = self.members_by_vm.pop(vm)
        self.draining_by_vm.pop(vm, None)
        self._forget_suspicion(vm)
        self.members_by_service[member.service].pop(vm, None)
        self._toggle_digest(member)
        self.generation += 1
        self.journal.record(catalogue.MEMBER_REMOVED, member=vm)
        return member

    def _toggle_digest(self, member: Member) -> None:
        # Adding and removing an entry are the same operation on an exclusive or.
        digest = digest_of(member.vm, member.incarnation, member.seq)
        self.digest ^= digest
        known = self.digests_by_data_centre.get(member.data_centre, 0)
        self.digests_by_data_centre[member.data_centre] = known ^ digest
