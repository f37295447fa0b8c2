"""Keeps held requests in the store, so that they stay held if all daemons end at the same time.

Notes on suspected and held requests spread among the daemons.  If all of them are killed or lose
power, a request that takes servers down would be tried again from the start.  A hold is therefore
also an object of the store, and a daemon that reads the configuration from the store after a
restart reads the holds with it.  The other daemons hear of them from that daemon.

Load: only holds are written, each of which took two servers down, and a daemon keeps at most
``MAX_HOLDS``.  The daemon that made a hold writes it; those that read the configuration from the
store list the holds once, and after the store was restored they list them before they write what it
lacks.  An object is deleted once its hold has expired.  While the store does not answer, one call
is made in each backoff, and holds are spread as before.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.quarantine.messages import QuarantineLevel, QuarantineNote
from kingcuppond.quarantine.suspects import SuspectTable
from kingcuppond.store.interface import (
    ABSENT_VERSION,
    ListedObject,
    Store,
    StoredObject,
    StoreError,
    decode_body,
    encode_body,
)

HOLDS_KIND: Final = "holds"

MAX_HOLDS: Final = 100
"""Bounds the objects in the store; further holds are only spread among the daemons."""

SWEEP_SECONDS: Final = 60.0
"""Interval at which a daemon that knows of holds looks for expired ones."""

SPREAD_SECONDS_PER_MEMBER: Final = 0.001
"""All daemons may write once the store has come back; it takes 400 writes a second."""

INITIAL_BACKOFF_SECONDS: Final = 0.5
MAX_BACKOFF_SECONDS: Final = 30.0


@attrs.define
class _Hold:
    """A hold, and what is known of its object in the store.

    :param version: the object's version, or ``ABSENT_VERSION`` if it is not known to exist
    :param is_written: whether the object has this note
    """

    note: QuarantineNote
    version: int = ABSENT_VERSION
    is_written: bool = False


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
    _is_load_due: bool = False
    _load_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _holds_by_fingerprint: dict[str, _Hold] = attrs.field(factory=dict)
    _work_due: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.suspects.on_change.append(self._on_note)

    async def load(self) -> None:
        """Take over the holds that the store has, once; ``run`` tries again after a failure."""
        async with self._load_lock:
            if self._is_loaded:
                return
            listed = await self.store.list(HOLDS_KIND)
            if listed.is_error():
                self.journal.record(catalogue.HOLDS_NOT_READ, error=listed.error.message)
                self._is_load_due = True
                self._work_due.set()
                return
            self._is_loaded = True
            self._is_load_due = False
            for item in listed.ok.items:
                self._merge(item)
            self._work_due.set()

    def on_new_era(self, _era: int) -> None:
        """Have the holds read again, and those written that the restored store has lost."""
        if not self._holds_by_fingerprint:
            return
        for hold in self._holds_by_fingerprint.values():
            hold.version, hold.is_written = ABSENT_VERSION, False
        self._is_loaded = False
        self._is_load_due = True
        self._work_due.set()

    async def run(self) -> None:
        """Bring the store up to date whenever a hold begins or expires; never returns."""
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        while True:
            await self._wait_for_work()
            self._work_due.clear()
            await asyncio.sleep(
                SPREAD_SECONDS_PER_MEMBER * self.count_members() * self.rng.random()
            )
            if await self._update_store():
                backoff_seconds = INITIAL_BACKOFF_SECONDS
                continue
            self._work_due.set()
            await asyncio.sleep(backoff_seconds * self.rng.uniform(0.5, 1.0))
            backoff_seconds = min(backoff_seconds * 2, MAX_BACKOFF_SECONDS)

    async def _wait_for_work(self) -> None:
        try:
            async with asyncio.timeout(SWEEP_SECONDS if self._holds_by_fingerprint else None):
                await self._work_due.wait()
        except TimeoutError:
            return

    def _merge(self, item: ListedObject) -> None:
        note = _decode_hold(item.name, item.body)
        if note is None:
            error = f"{item.name[:60]} is no hold of a request"
            self.journal.record(catalogue.HOLDS_NOT_READ, error=error)
            return
        known = self._holds_by_fingerprint.get(item.name)
        if known is None or known.note.stamp <= note.stamp:
            self._holds_by_fingerprint[item.name] = _Hold(note, item.version, is_written=True)
            self.suspects.publish(note)
        else:
            known.version = item.version

    def _on_note(self, note: QuarantineNote) -> None:
        if note.level is not QuarantineLevel.HELD:
            return
        known = self._holds_by_fingerprint.get(note.fingerprint)
        if known is not None:
            if known.note.stamp < note.stamp:
                known.note, known.is_written = note, False
                self._work_due.set()
            return
        if len(self._holds_by_fingerprint) >= MAX_HOLDS:
            self._record_not_written(note, "too many requests are held")
            return
        self._holds_by_fingerprint[note.fingerprint] = _Hold(note)
        self._work_due.set()

    async def _update_store(self) -> bool:
        """Load if that is due, write what is missing and delete what has expired.

        :return: false if the store failed, so that something is left to do
        """
        if self._is_load_due:
            await self.load()
            if self._is_load_due:
                return False
        for hold in list(self._holds_by_fingerprint.values()):
            if self.suspects.is_expired(hold.note):
                updated = await self._delete(hold)
            elif not hold.is_written:
                updated = await self._write(hold)
            else:
                continue
            if updated.is_error():
                self._record_not_written(hold.note, updated.error.message)
                return False
        return True

    async def _write(self, hold: _Hold) -> Result[None, StoreError]:
        """Write a hold, or take over a newer one that another daemon has written."""
        name = hold.note.fingerprint
        written = await self._put(hold)
        if written.is_ok() or not written.error.is_conflict:
            return written
        found = await self.store.get(HOLDS_KIND, name)
        if found.is_error():
            return Error(found.error)
        hold.version = ABSENT_VERSION if found.ok is None else found.ok.version
        if found.ok is not None and self._take_over(hold, found.ok):
            return Ok(None)
        return await self._put(hold)

    async def _put(self, hold: _Hold) -> Result[None, StoreError]:
        note = hold.note
        written = await self.store.put(
            HOLDS_KIND, note.fingerprint, encode_body(note), hold.version
        )
        if written.is_error():
            return Error(written.error)
        hold.version = written.ok
        hold.is_written = hold.note is note
        return Ok(None)

    def _take_over(self, hold: _Hold, found: StoredObject) -> bool:
        """Return whether the store has the hold or a newer one, which is then taken over."""
        note = _decode_hold(hold.note.fingerprint, found.body)
        if note is None or note.stamp < hold.note.stamp:
            return False
        hold.note, hold.is_written = note, True
        return True

    async def _delete(self, hold: _Hold) -> Result[None, StoreError]:
        name = hold.note.fingerprint
        if hold.version != ABSENT_VERSION:
            deleted = await self.store.delete(HOLDS_KIND, name, hold.version)
            # After a conflict the object belongs to a later hold, or is gone.
            if deleted.is_error() and not deleted.error.is_conflict:
                return Error(deleted.error)
        if self.suspects.is_expired(hold.note):
            self._holds_by_fingerprint.pop(name, None)
        return Ok(None)

    def _record_not_written(self, note: QuarantineNote, error: str) -> None:
        self.journal.record(catalogue.HOLD_NOT_RECORDED, fingerprint=note.fingerprint, error=error)


def _decode_hold(name: str, body: bytes) -> QuarantineNote | None:
    decoded = decode_body(body, QuarantineNote)
    if decoded.is_error():
        return None
    note = decoded.ok
    is_hold = note.fingerprint == name and note.level is QuarantineLevel.HELD
    return note if is_hold else None
