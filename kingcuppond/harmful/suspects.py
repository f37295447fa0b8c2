"""Cases against requests that may take servers down.

When a server goes away, every request that was in flight there is *suspected*; all but one are
innocent. A suspected request may run again, but on trial: at one server, with no other suspect in
flight beside it.  If it is answered, it is *cleared*.  If the server goes away during the trial,
only the request on trial is to blame, and it is *held*: no daemon runs it until the hold lapses by
itself.  So a harmful request stops after two servers, and the innocent ones in flight beside it
run again.

The case concerns the content of the request and not its key or sender.  Notes spread as rumours.
"""

from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Final

import attrs

from kingcuppond.clock import COUNTER_BITS, Clock
from kingcuppond.digest import digest_of
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.harmful.messages import HarmNote, Level

HOLD_MS: Final = 600_000
SUSPECT_MS: Final = 60_000
CLEARED_MS: Final = 60_000
MAX_NOTES: Final = 2000
LIFETIME_MS_BY_LEVEL: Final = {
    Level.CLEARED: CLEARED_MS,
    Level.SUSPECTED: SUSPECT_MS,
    Level.HELD: HOLD_MS,
}


def fingerprint(method: str, target: str, body: bytes) -> str:
    """Return the digest of a request's content.

    :param target: path and query
    :param body: the body, or its first part if it is long
    """
    digest = blake2b(digest_size=12)
    for part in (method.encode(), target.encode("utf-8", "surrogateescape"), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


@attrs.define
class SuspectTable:
    """The cases that this daemon knows of."""

    vm: str
    clock: Clock
    journal: Journal
    digest: int = 0
    on_note: list[Callable[[HarmNote], None]] = attrs.field(factory=list)
    _notes_by_fingerprint: dict[str, HarmNote] = attrs.field(factory=dict)

    def level(self, fingerprint_: str) -> Level:
        """Return the level of a request's case; one that is unknown is cleared."""
        note = self._notes_by_fingerprint.get(fingerprint_)
        if note is None or self._is_over(note):
            return Level.CLEARED
        return note.level

    def blame(self, fingerprint_: str, on_trial: bool) -> None:
        """Note that the local server went away with a request in flight."""
        known = self._notes_by_fingerprint.get(fingerprint_)
        servers = () if known is None else known.servers
        level = Level.HELD if on_trial else Level.SUSPECTED
        note = HarmNote(fingerprint_, level, self.clock.stamp(), (*servers, self.vm))
        self._tell(note)

    def answered(self, fingerprint_: str) -> None:
        """Note that a request was answered: if it was suspected, it is cleared."""
        if not self._notes_by_fingerprint or self.level(fingerprint_) is not Level.SUSPECTED:
            return
        self._tell(HarmNote(fingerprint_, Level.CLEARED, self.clock.stamp()))

    def merge(self, note: HarmNote) -> bool:
        """Take a note that another daemon made, if it is news.

        A hold is stronger than any note that does not come after its lapse, since another daemon
        may clear a request that it ran beside the trial.
        """
        known = self._notes_by_fingerprint.get(note.fingerprint)
        if known is not None and not self._replaces(note, known):
            return False
        if self._is_over(note):
            return False
        if known is None and len(self._notes_by_fingerprint) >= MAX_NOTES:
            self._drop_weakest()
        self._set(note, known)
        self._log(note)
        return True

    def notes(self) -> Iterable[HarmNote]:
        """Return all notes."""
        return self._notes_by_fingerprint.values()

    def held(self) -> list[HarmNote]:
        """Return the notes of requests that are held now."""
        notes = self._notes_by_fingerprint.values()
        return [note for note in notes if note.level is Level.HELD and not self._is_over(note)]

    def expire(self) -> None:
        """Drop notes that have lapsed."""
        for note in list(self._notes_by_fingerprint.values()):
            if self._is_over(note):
                del self._notes_by_fingerprint[note.fingerprint]
                self.digest ^= _hash(note)

    def _tell(self, note: HarmNote) -> None:
        if self.merge(note):
            for call in self.on_note:
                call(note)

    def _replaces(self, note: HarmNote, known: HarmNote) -> bool:
        if self._is_over(known):
            return note.stamp > known.stamp
        # A total order, so that all daemons come to the same note in whatever order they hear.
        return (note.level is Level.HELD, note.stamp) > (known.level is Level.HELD, known.stamp)

    def _is_over(self, note: HarmNote) -> bool:
        age_ms = self.clock.fleet_ms() - (note.stamp >> COUNTER_BITS)
        return age_ms > LIFETIME_MS_BY_LEVEL[note.level]

    def _set(self, note: HarmNote, known: HarmNote | None) -> None:
        self.digest ^= _hash(note) ^ (0 if known is None else _hash(known))
        self._notes_by_fingerprint[note.fingerprint] = note

    def _drop_weakest(self) -> None:
        weakest = min(self._notes_by_fingerprint.values(), key=lambda n: (n.level, n.stamp))
        del self._notes_by_fingerprint[weakest.fingerprint]
        self.digest ^= _hash(weakest)

    def _log(self, note: HarmNote) -> None:
        server = note.servers[-1] if note.servers else ""
        event = {
            Level.CLEARED: catalogue.REQUEST_CLEARED,
            Level.SUSPECTED: catalogue.REQUEST_SUSPECTED,
            Level.HELD: catalogue.REQUEST_HELD,
        }[note.level]
        self.journal.record(event, fingerprint=note.fingerprint, server=server)


def _hash(note: HarmNote) -> int:
    return digest_of(note.fingerprint, note.stamp)
