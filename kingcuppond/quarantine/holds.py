"""Persists which requests are held, for the case that all daemons end at the same time.

The notes on suspected and held requests are spread among the daemons.  If all of them are killed,
or lose power, a request that takes servers down would be tried again from the start.  So a hold is
also written to the store, and a daemon that reads the configuration from the store after a restart
reads the holds first.  The others hear of them from that daemon.

Only holds are written, as there are few: each one took two servers down.  A daemon that knows of
``MAX_HOLDS`` objects writes no further one.  Each is deleted once its hold has expired, by a daemon
that wrote or read it.  Without the store, holds are spread as before.
"""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

import attrs

from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.quarantine.messages import QuarantineLevel, QuarantineNote
from kingcuppond.quarantine.suspects import SuspectTable
from kingcuppond.store.interface import (
    ABSENT_VERSION,
    ListedObject,
    Store,
    decode_body,
    encode_body,
)

HOLDS_KIND: Final = "holds"

MAX_HOLDS: Final = 100
"""Bounds the objects in the store; further holds are only spread among the daemons."""

SWEEP_SECONDS: Final = 60.0
"""Interval at which a daemon that has written holds looks for expired ones."""

SPREAD_SECONDS_PER_MEMBER: Final = 0.001
RETRY_SECONDS: Final = 1.0
MAX_WRITE_ATTEMPTS: Final = 10


@attrs.define
class HoldStore:
    """Reads and writes the holds in the store.

    :param count_members: returns the number of living members of the fleet
    """

    store: Store
    suspects: SuspectTable
    journal: Journal
    rng: Random
    count_members: Callable[[], int]
    _is_loaded: bool = False
    _load_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _versions_by_fingerprint: dict[str, int] = attrs.field(factory=dict)
    _notes_by_fingerprint: dict[str, QuarantineNote] = attrs.field(factory=dict)
    _due: "asyncio.Queue[QuarantineNote]" = attrs.field(factory=asyncio.Queue)

    def __attrs_post_init__(self) -> None:
        self.suspects.on_change.append(self._on_note)

    async def load(self) -> None:
        """Take over the holds that the store has, once; after a failure the next call tries again.

        Expired ones are deleted.
        """
        async with self._load_lock:
            if self._is_loaded:
                return
            listed = await self.store.list(HOLDS_KIND)
            if listed.is_error():
                self.journal.record(catalogue.HOLDS_NOT_READ, error=listed.error.message)
                return
            self._is_loaded = True
            self._merge(listed.ok.items)
        await self._delete_expired()

    def _merge(self, items: Iterable[ListedObject]) -> None:
        for item in items:
            decoded = decode_body(item.body, QuarantineNote)
            if decoded.is_error() or decoded.ok.fingerprint != item.name:
                self.journal.record(
                    catalogue.HOLDS_NOT_READ, error=f"{item.name[:60]} is no hold of a request"
                )
                continue
            self._versions_by_fingerprint[item.name] = item.version
            self._notes_by_fingerprint[item.name] = decoded.ok
            if decoded.ok.level is QuarantineLevel.HELD:
                self.suspects.publish(decoded.ok)

    def on_new_era(self, _era: int) -> None:
        """Have the holds written again: the store was restored and may have lost them."""
        self._versions_by_fingerprint.clear()
        for note in self._notes_by_fingerprint.values():
            self._due.put_nowait(note)

    async def run(self) -> None:
        """Write new holds and delete expired ones; never returns."""
        while True:
            try:
                async with asyncio.timeout(SWEEP_SECONDS if self._notes_by_fingerprint else None):
                    note = await self._due.get()
            except TimeoutError:
                await self._delete_expired()
                continue
            await self._write(note)

    def _on_note(self, note: QuarantineNote) -> None:
        is_new = note.fingerprint not in self._notes_by_fingerprint
        if note.level is not QuarantineLevel.HELD or not is_new:
            return
        if len(self._notes_by_fingerprint) >= MAX_HOLDS:
            return
        self._notes_by_fingerprint[note.fingerprint] = note
        self._due.put_nowait(note)

    async def _write(self, note: QuarantineNote) -> None:
        for _ in range(MAX_WRITE_ATTEMPTS):
            # All daemons may write at the same time once a store has come back or was restored.
            await asyncio.sleep(
                SPREAD_SECONDS_PER_MEMBER * self.count_members() * self.rng.random()
            )
            written = await self.store.put(
                HOLDS_KIND, note.fingerprint, encode_body(note), ABSENT_VERSION
            )
            if written.is_ok():
                self._versions_by_fingerprint[note.fingerprint] = written.ok
                return
            if written.error.is_conflict:
                # Another daemon has written it, or an earlier attempt whose answer was lost.
                return
            await asyncio.sleep(RETRY_SECONDS)
        self.journal.record(catalogue.HOLD_NOT_RECORDED, fingerprint=note.fingerprint)

    async def _delete_expired(self) -> None:
        for fingerprint, note in list(self._notes_by_fingerprint.items()):
            if not self.suspects.is_expired(note):
                continue
            del self._notes_by_fingerprint[fingerprint]
            version = self._versions_by_fingerprint.pop(fingerprint, None)
            if version is not None:
                await self.store.delete(HOLDS_KIND, fingerprint, version)
