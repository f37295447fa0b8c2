"""Quarantine of requests that may take servers down.

When a server goes away, every request in flight there becomes *suspected*, although all but one are
harmless.  A suspected request may run again, but only on trial: at one server, with no other call
on trial in flight there.  If it is answered, it is *cleared*.  If the server goes away during the
trial, only the request on trial is to blame, and it is *held*: no daemon runs it until the hold
expires.  So a harmful request is stopped after two servers, and the harmless ones in flight beside
it run again.

The state belongs to the content of a request, not to its key or sender.  Notes spread by gossip;
holds are also kept in the store (see ``kingcuppond.quarantine.holds``).
"""

from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Final

import attrs

from kingcuppond.clock import COUNTER_BITS, Clock
from kingcuppond.digest import digest_of
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
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
    """The quarantine states that this daemon knows of."""

    vm: str
    clock: Clock
    journal: Journal
    digest: int = 0
    on_change: list[Callable[[QuarantineNote], None]] = attrs.field(factory=list)
    _notes_by_fingerprint: dict[str, QuarantineNote] = attrs.field(factory=dict)

    def level(self, fingerprint_: str) -> QuarantineLevel:
        """Return the state of a request; an unknown or expired one is cleared."""
        note = self._notes_by_fingerprint.get(fingerprint_)
        if note is None or self.is_expired(note):
            return QuarantineLevel.CLEARED
        return note.level

    def record_server_loss(self, fingerprint_: str, is_on_trial: bool) -> None:
        """Record that the local server went away while it ran a request."""
        known = self._notes_by_fingerprint.get(fingerprint_)
        servers = () if known is None else known.servers
        level = QuarantineLevel.HELD if is_on_trial else QuarantineLevel.SUSPECTED
        note = QuarantineNote(fingerprint_, level, self.clock.stamp(), (*servers, self.vm))
        self.publish(note)

    def record_answer(self, fingerprint_: str) -> None:
        """Record that a request was answered, which clears a suspected request."""
        if (
            not self._notes_by_fingerprint
            or self.level(fingerprint_) is not QuarantineLevel.SUSPECTED
        ):
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
            self._evict_weakest()
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
                del self._notes_by_fingerprint[note.fingerprint]
                self.digest ^= _hash(note)

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

    def _evict_weakest(self) -> None:
        weakest = min(
            self._notes_by_fingerprint.values(), key=lambda note: (note.level, note.stamp)
        )
        del self._notes_by_fingerprint[weakest.fingerprint]
        self.digest ^= _hash(weakest)

    def _record_event(self, note: QuarantineNote) -> None:
        server = note.servers[-1] if note.servers else ""
        event = {
            QuarantineLevel.CLEARED: catalogue.REQUEST_CLEARED,
            QuarantineLevel.SUSPECTED: catalogue.REQUEST_SUSPECTED,
            QuarantineLevel.HELD: catalogue.REQUEST_HELD,
        }[note.level]
        self.journal.record(event, fingerprint=note.fingerprint, server=server)


def _hash(note: QuarantineNote) -> int:
    return digest_of(note.fingerprint, note.stamp)
