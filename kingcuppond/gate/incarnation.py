"""Which start of the server beside this daemon is the present one, and whether it is leaving.

A server that starts again is another incarnation, mostly with another id.  What it says may arrive
late, also after its successor has registered.  So an announcement counts only if it is newer than
what was heard: of a later birth, or of the same one with a larger sequence.  An incarnation that
said once that it leaves never comes back, whatever arrives later.
"""

from typing import Final

import attrs

from kingcuppond.gate.announcements import Announcement

MAX_LEFT: Final = 1000
"""Incarnations that are remembered as leaving; a VM's server is replaced a few times a day."""


@attrs.frozen
class Incarnation:
    """One start of a server.

    :param id: empty if servers have none
    :param born_ms: Unix milliseconds of its start, 0 if unknown
    """

    id: str = ""
    born_ms: int = 0


@attrs.define
class IncarnationLog:
    """The present incarnation, and those that left."""

    present: Incarnation = Incarnation()
    _sequence: int = 0
    _left: dict[Incarnation, None] = attrs.field(factory=dict)

    def take(self, announcement: Announcement) -> bool:
        """Take an announcement.

        :return: whether it is newer than what was heard; if not, it says nothing
        """
        told = Incarnation(announcement.instance, announcement.born_ms)
        if told.born_ms < self.present.born_ms:
            return False
        if told == self.present:
            if announcement.sequence and announcement.sequence <= self._sequence:
                return False
        else:
            self.present = told
        self._sequence = announcement.sequence
        return True

    def leave(self, incarnation: Incarnation) -> None:
        """Note that an incarnation leaves."""
        if not incarnation.id:
            return
        self._left[incarnation] = None
        while len(self._left) > MAX_LEFT:
            del self._left[next(iter(self._left))]

    def find(self, instance: str) -> Incarnation:
        """Return the incarnation that an id without a birth stands for."""
        return self.present if self.present.id == instance else Incarnation(instance)

    @property
    def has_left(self) -> bool:
        """Whether the present incarnation said that it leaves."""
        present = self.present
        return present in self._left or Incarnation(present.id) in self._left
