"""Tracks the current incarnation of the local server and which incarnations are leaving.

Each start of a server is a new incarnation, usually with a new id.  Announcements may arrive late,
even after the next incarnation has announced itself.  An announcement is therefore ignored if its
incarnation started earlier than the current one, or if it is from the current one and its sequence
number, if it has one, is not larger than the last.  An incarnation that announced once that it is
leaving stays so, whatever arrives later.
"""

from typing import Final

import attrs

from kingcuppond.decoding import MessageInt
from kingcuppond.gate.announcements import Announcement

MAX_LEAVING: Final = 1000
"""Leaving incarnations to remember; the server of a VM is replaced a few times a day."""


@attrs.frozen
class Incarnation:
    """One start of a server.

    :param id: empty if servers do not report one
    :param born_ms: start time in Unix milliseconds, 0 if unknown
    """

    id: str = ""
    born_ms: MessageInt = 0


@attrs.define
class IncarnationTracker:
    """The current incarnation, and those that announced that they are leaving."""

    current: Incarnation = Incarnation()
    _sequence: int = 0
    _leaving: dict[Incarnation, None] = attrs.field(factory=dict)

    def accept(self, announcement: Announcement) -> bool:
        """Make the announced incarnation the current one, unless the announcement is stale.

        :return: whether the announcement was accepted; a stale one must be ignored
        """
        announced = Incarnation(announcement.instance, announcement.born_ms)
        if announced.born_ms < self.current.born_ms:
            return False
        if announced == self.current:
            if announcement.sequence and announcement.sequence <= self._sequence:
                return False
        else:
            self.current = announced
        self._sequence = announcement.sequence
        return True

    def mark_leaving(self, incarnation: Incarnation) -> None:
        """Remember that an incarnation is leaving; one without an id is ignored."""
        if not incarnation.id:
            return
        self._leaving[incarnation] = None
        while len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]

    def resolve(self, instance: str) -> Incarnation:
        """Return the current incarnation if it has this id, else one with an unknown start time."""
        return self.current if self.current.id == instance else Incarnation(instance)

    def is_superseded(self, incarnation: Incarnation) -> bool:
        """Return whether the current incarnation certainly started after another one."""
        return 0 < incarnation.born_ms < self.current.born_ms

    @property
    def is_current_leaving(self) -> bool:
        """Whether the current incarnation announced that it is leaving.

        Its departure may have been recorded without a start time, by :meth:`resolve`.
        """
        current = self.current
        return current in self._leaving or Incarnation(current.id) in self._leaving
