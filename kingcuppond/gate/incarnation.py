"""Tracks the current incarnation of the local server and which incarnations are leaving.

Each start of a server is a new incarnation, usually with a new id.  Announcements may arrive late,
even after the next incarnation has announced itself.  An announcement is therefore ignored if its
incarnation started earlier than the current one, or if it is from the current one and its sequence
number, if it has one, is not larger than the last.  An incarnation that announced once that it is
leaving stays so, whatever arrives later.

Start times are those of the VM's clock, which may have been set back in between.  So an earlier
start time is accepted once the current incarnation is gone, or hasn't announced itself for a while.
"""

import time
from collections.abc import Callable
from typing import Final

import attrs

from kingcuppond.decoding import MessageInt
from kingcuppond.gate.announcements import Announcement

SILENT_SECONDS: Final = 3.0
"""Two announcements are missing by then.  One of an earlier incarnation that comes so late does
little harm: the next one of the current incarnation replaces it."""

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
    """The current incarnation, and those that announced that they are leaving.

    :param now: monotonic clock, in seconds
    """

    current: Incarnation = Incarnation()
    now: Callable[[], float] = time.monotonic
    _accepted_at: float = float("-inf")
    _sequence: int = 0
    _leaving: dict[Incarnation, None] = attrs.field(factory=dict)

    def accept(self, announcement: Announcement, is_gone: bool = False) -> bool:
        """Make the announced incarnation the current one, unless the announcement is stale.

        :param is_gone: whether the current incarnation is known to have ended
        :return: whether the announcement was accepted; a stale one must be ignored
        """
        announced = Incarnation(announcement.instance, announcement.born_ms)
        is_silent = self.now() - self._accepted_at > SILENT_SECONDS
        if self.is_earlier(announcement) and not (is_gone or is_silent):
            return False
        if announced == self.current:
            if announcement.sequence and announcement.sequence <= self._sequence:
                return False
        else:
            self.current = announced
        self._sequence = announcement.sequence
        self._accepted_at = self.now()
        return True

    def is_earlier(self, announcement: Announcement) -> bool:
        """Return whether an announcement states an earlier start than that of the current one."""
        return announcement.born_ms < self.current.born_ms

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
