"""The state that all daemons share, divided into parts that are compared by digest.

There is one part for the members of each data centre, one for the configuration and one for the
quarantine notes.  Two daemons whose digests differ exchange only the parts that do, and of these
first the versions and then what the other end lacks.  Suspicions are not compared, since they soon
end; those of the members in the exchanged parts are sent along, so that they can be refuted.
"""

from typing import Final

import attrs

from kingcuppond.configuration.replica import Configuration, ObjectHead, VersionedObject
from kingcuppond.membership.contacts import rank_bridges
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import (
    IntroductionReply,
    Member,
    MemberHead,
    Pong,
    Rumours,
    StateReply,
    StateRequest,
)
from kingcuppond.quarantine.suspects import SuspectTable

MEMBERS_PART: Final = "members/"
OBJECTS_PART: Final = "objects"
NOTES_PART: Final = "notes"

COMPLETING_PARTS: Final = (OBJECTS_PART, NOTES_PART)
"""What a daemon must have before it routes requests; without the notes it would run held ones."""


@attrs.define
class SharedState:
    """The parts of one daemon."""

    directory: Directory
    configuration: Configuration
    suspect_requests: SuspectTable

    @property
    def digest(self) -> int:
        """The digest of all parts."""
        return self.directory.digest ^ self.configuration.digest ^ self.suspect_requests.digest

    def digests_by_part(self) -> dict[str, int]:
        """Return the digest of each part."""
        members = self.directory.digests_by_data_centre.items()
        return {
            OBJECTS_PART: self.configuration.digest,
            NOTES_PART: self.suspect_requests.digest,
            **{f"{MEMBERS_PART}{data_centre}": digest for data_centre, digest in members},
        }

    def differing_parts(self, pong: Pong) -> tuple[str, ...]:
        """Return the parts whose digest at the other end of a ping differs from this one.

        There are none if the other end found its state equal to that in the ping.
        """
        if not pong.digests_by_part:
            return ()
        own = self.digests_by_part()
        theirs = pong.digests_by_part
        return tuple(sorted(part for part in {*own, *theirs} if own.get(part) != theirs.get(part)))

    def merge(self, rumours: Rumours) -> Rumours:
        """Merge all but the heads, whose objects arrive separately, and return what was new."""
        return Rumours(
            members=tuple(m for m in rumours.members if self.directory.merge(m)),
            suspicions=tuple(s for s in rumours.suspicions if self.directory.suspect(s)),
            notes=tuple(n for n in rumours.notes if self.suspect_requests.merge(n)),
        )

    def make_request(self, parts: tuple[str, ...] | None) -> StateRequest:
        """Make the request that compares some parts, or all if ``parts`` is ``None``.

        While the configuration is incomplete, it also compares what the reply may complete.
        """
        if parts is not None and not self.configuration.is_complete:
            parts = tuple(sorted({*parts, *COMPLETING_PARTS}))
        return StateRequest(
            me=self.directory.me,
            parts=parts,
            members=tuple(
                MemberHead(m.vm, m.incarnation, m.seq) for m in self._members_of(parts).values()
            ),
            objects=self.object_heads() if _includes(parts, OBJECTS_PART) else (),
            news=self._unversioned(parts),
        )

    def answer_request(self, request: StateRequest) -> StateReply:
        """Return what the sender of a request lacks, and name what it has newer."""
        parts = request.parts
        versions = {head.vm: (head.incarnation, head.seq) for head in request.members}
        own = self._members_of(parts)
        unversioned = self._unversioned(parts)
        known_notes = {note.fingerprint: note.stamp for note in request.news.notes}
        has_objects = _includes(parts, OBJECTS_PART)
        return StateReply(
            news=Rumours(
                members=tuple(m for m in own.values() if versions.get(m.vm, (0, 0)) < m.version),
                suspicions=unversioned.suspicions,
                notes=tuple(
                    n for n in unversioned.notes if known_notes.get(n.fingerprint) != n.stamp
                ),
            ),
            objects=self.objects_newer_than(request.objects) if has_objects else (),
            is_complete=self.configuration.is_complete
            and all(_includes(parts, part) for part in COMPLETING_PARTS),
            wanted=tuple(vm for vm, version in versions.items() if self._is_older(vm, version)),
        )

    def introduce(self, joining: Member) -> IntroductionReply:
        """Return the members that a joining daemon should know first.

        If an earlier process on its VM had a server that was draining, that entry is among them.
        """
        living_by_data_centre: dict[str, list[Member]] = {}
        for member in self.directory.living():
            if member.vm != joining.vm:
                living_by_data_centre.setdefault(member.data_centre, []).append(member)
        chosen = {self.directory.me.vm: self.directory.me}
        for data_centre, members in living_by_data_centre.items():
            is_own = data_centre == joining.data_centre
            introduced = members if is_own else rank_bridges(members, joining.data_centre)
            chosen.update({member.vm: member for member in introduced})
        earlier = self.directory.draining_by_vm.get(joining.vm)
        if earlier is not None:
            chosen[joining.vm] = earlier
        return IntroductionReply(tuple(chosen.values()))

    def object_heads(self) -> tuple[ObjectHead, ...]:
        """Return the heads of all configuration objects."""
        return tuple(item.head for item in self.configuration.objects_by_key.values())

    def objects_newer_than(self, heads: tuple[ObjectHead, ...]) -> tuple[VersionedObject, ...]:
        """Return the configuration objects that are newer than the given heads."""
        known = {(head.kind, head.name): head.order for head in heads}
        own = self.configuration.objects_by_key.values()
        return tuple(
            item for item in own if item.key not in known or known[item.key] < item.head.order
        )

    def _members_of(self, parts: tuple[str, ...] | None) -> dict[str, Member]:
        members = self.directory.members_by_vm
        if parts is None:
            return members
        return {vm: m for vm, m in members.items() if f"{MEMBERS_PART}{m.data_centre}" in parts}

    def _unversioned(self, parts: tuple[str, ...] | None) -> Rumours:
        """Return the suspicions and the quarantine notes in some parts."""
        members = self._members_of(parts)
        has_notes = _includes(parts, NOTES_PART)
        return Rumours(
            suspicions=tuple(s for s in self.directory.suspicions() if s.vm in members),
            notes=tuple(self.suspect_requests.notes()) if has_notes else (),
        )

    def _is_older(self, vm: str, version: tuple[int, int]) -> bool:
        known = self.directory.members_by_vm.get(vm)
        return known is None or known.version < version


def _includes(parts: tuple[str, ...] | None, part: str) -> bool:
    return parts is None or part in parts
