"""Quarantine of requests that may take servers down.

When a server goes away, every request in flight there becomes *suspected*, although all but one are
harmless.  A suspected request may run again, but only on trial: at one server, with no other call
on trial in flight there.  If it is answered, it is *cleared*.  If the server goes away during the
trial, only the request on trial is to blame, and it is *held*: no daemon runs it until the hold
expires.  So a harmful request is stopped after two servers, and the harmless ones in flight beside
it run again.

The state belongs to a request (see ``kingcuppond.quarantine.fingerprints``), whatever its key.
Only an answer to the same request clears it, and only one of the same version of the server that
went away.  A request of which only the start is known is suspected if any request is that starts in
the same way; it is identified before it runs (see ``kingcuppond.gate.trials``).

Notes spread by gossip; holds are also kept in the store (see ``kingcuppond.quarantine.holds``).
"""

from collections.abc import Callable, Iterable
from typing import Final

import attrs

from kingcuppond.clock import COUNTER_BITS, Clock
from kingcuppond.digest import digest_of
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.quarantine.fingerprints import is_partial
from kingcuppond.quarantine.messages import QuarantineLevel, QuarantineNote

HELD_TTL_MS: Final = 600_000
SUSPECTED_TTL_MS: Final = 60_000
CLEARED_TTL_MS: Final = 60_000
MAX_NOTES: Final = 2000
TTL_MS_BY_LEVEL: Final = {
    QuarantineLevel.CLEARED: CLEARED_TTL_MS,
    QuarantineLevel.SUSPECTED: SUSPECTED_TTL_MS,
    QuarantineLevel.HELD: HELD_TTL_MS,
}


@attrs.define
class SuspectTable:
    """The quarantine states that this daemon knows of."""

    vm: str
    clock: Clock
    journal: Journal
    digest: int = 0
    on_change: list[Callable[[QuarantineNote], None]] = attrs.field(factory=list)
    _notes_by_fingerprint: dict[str, QuarantineNote] = attrs.field(factory=dict)

    def level(self, fingerprint_: str) -> QuarantineLevel:
        """Return the state of a request; an unknown or expired one is cleared."""
        if is_partial(fingerprint_):
            return self._level_of_start(fingerprint_)
        note = self._notes_by_fingerprint.get(fingerprint_)
        if note is None or self.is_expired(note):
            return QuarantineLevel.CLEARED
        return note.level

    def _level_of_start(self, start: str) -> QuarantineLevel:
        """Return whether any request that starts in this way is suspected or held."""
        is_suspected = any(
            fingerprint_.startswith(start)
            and note.level is not QuarantineLevel.CLEARED
            and not self.is_expired(note)
            for fingerprint_, note in self._notes_by_fingerprint.items()
        )
        return QuarantineLevel.SUSPECTED if is_suspected else QuarantineLevel.CLEARED

    def record_server_loss(
        self, fingerprint_: str, is_on_trial: bool, server_version: str = ""
    ) -> None:
        """Record that the local server went away while it ran a request."""
        known = self._notes_by_fingerprint.get(fingerprint_)
        servers = () if known is None else known.servers
        level = QuarantineLevel.HELD if is_on_trial else QuarantineLevel.SUSPECTED
        note = QuarantineNote(
            fingerprint_, level, self.clock.stamp(), (*servers, self.vm), server_version
        )
        self.publish(note)

    def record_answer(self, fingerprint_: str, server_version: str = "") -> None:
        """Record that a request was answered, which clears a suspected request.

        The answer to a request of which only the start is known clears nothing.
        """
        note = self._notes_by_fingerprint.get(fingerprint_)
        if note is None or is_partial(fingerprint_) or self.is_expired(note):
            return
        is_other_version = note.server_version and note.server_version != server_version
        if note.level is not QuarantineLevel.SUSPECTED or is_other_version:
            return
        self.publish(QuarantineNote(fingerprint_, QuarantineLevel.CLEARED, self.clock.stamp()))

    def merge(self, note: QuarantineNote) -> bool:
        """Store a note if it supersedes the known one.

        Until a hold expires, only a newer hold supersedes it, since another daemon may clear a
        request that it ran at the same time as the trial.

        :return: whether the note was stored
        """
        known = self._notes_by_fingerprint.get(note.fingerprint)
        if known is not None and not self._supersedes(note, known):
            return False
        if self.is_expired(note):
            return False
        if known is None and len(self._notes_by_fingerprint) >= MAX_NOTES:
            weakest = min(self._notes_by_fingerprint.values(), key=_strength)
            if _strength(weakest) > _strength(note):
                return False
            self._remove(weakest)
        self._store(note, known)
        self._record_event(note)
        return True

    def notes(self) -> Iterable[QuarantineNote]:
        """Return all notes."""
        return self._notes_by_fingerprint.values()

    def held(self) -> list[QuarantineNote]:
        """Return the notes of requests that are held at present."""
        notes = self._notes_by_fingerprint.values()
        return [
            note
            for note in notes
            if note.level is QuarantineLevel.HELD and not self.is_expired(note)
        ]

    def expire(self) -> None:
        """Drop expired notes."""
        for note in list(self._notes_by_fingerprint.values()):
            if self.is_expired(note):
                self._remove(note)

    def publish(self, note: QuarantineNote) -> None:
        """Store a note if it supersedes the known one, and tell the other daemons of it."""
        if self.merge(note):
            for callback in self.on_change:
                callback(note)

    def _supersedes(self, note: QuarantineNote, known: QuarantineNote) -> bool:
        if self.is_expired(known):
            return note.stamp > known.stamp
        # A total order, so that all daemons converge on one note whatever order notes arrive in.
        return (note.level is QuarantineLevel.HELD, note.stamp) > (
            known.level is QuarantineLevel.HELD,
            known.stamp,
        )

    def is_expired(self, note: QuarantineNote) -> bool:
        """Return whether a note no longer counts."""
        age_ms = self.clock.fleet_ms() - (note.stamp >> COUNTER_BITS)
        return age_ms > TTL_MS_BY_LEVEL[note.level]

    def _store(self, note: QuarantineNote, known: QuarantineNote | None) -> None:
        self.digest ^= _hash(note) ^ (0 if known is None else _hash(known))
        self._notes_by_fingerprint[note.fingerprint] = note

    def _remove(self, note: QuarantineNote) -> None:
        del self._notes_by_fingerprint[note.fingerprint]
        self.digest ^= _hash(note)

    def _record_event(self, note: QuarantineNote) -> None:
        server = note.servers[-1] if note.servers else ""
        event = {
            QuarantineLevel.CLEARED: catalogue.REQUEST_CLEARED,
            QuarantineLevel.SUSPECTED: catalogue.REQUEST_SUSPECTED,
            QuarantineLevel.HELD: catalogue.REQUEST_HELD,
        }[note.level]
        self.journal.record(event, fingerprint=note.fingerprint, server=server)


def _strength(note: QuarantineNote) -> tuple[QuarantineLevel, int]:
    """Order notes by what is lost without them: a hold is dropped only for a newer hold."""
    return note.level, note.stamp


def _hash(note: QuarantineNote) -> int:
    return digest_of(note.fingerprint, note.stamp)
