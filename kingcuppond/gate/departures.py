"""Persists which incarnation of the local server is leaving, across restarts of the daemon.

A server that announced that it is leaving gets no further calls, but may go on serving for many
seconds.  A daemon that restarts meanwhile must not send it calls again, so the departure is written
to the store before the server's notice is acknowledged.  There is one object for each VM; the next
departure overwrites it.  If the store does not answer in time, a restarted daemon relies on the
other daemons, which are notified at once, and on the server's own health answer.

A store that is restored from a copy may have lost the departure, so it is then written again.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.gate.incarnation import Incarnation
from kingcuppond.store.interface import ABSENT_VERSION, Store, StoreError, decode_body, encode_body

DEPARTURES_KIND: Final = "departures"

RECORD_TIMEOUT_SECONDS: Final = 0.6
"""Less than the second after which the server stops waiting and asks another daemon."""

REWRITE_SPREAD_SECONDS_PER_MEMBER: Final = 0.001
"""In a release a third of the servers may be leaving; the store takes 400 writes a second."""

INITIAL_BACKOFF_SECONDS: Final = 0.2
MAX_BACKOFF_SECONDS: Final = 5.0


@attrs.define
class DepartureStore:
    """Reads and writes the departure object of this VM in the store.

    :param vm: name of this VM
    :param is_superseded: returns whether a later incarnation of the server has announced itself
    :param count_members: returns the number of living members of the fleet
    """

    vm: str
    store: Store
    journal: Journal
    rng: Random
    is_superseded: Callable[[Incarnation], bool]
    count_members: Callable[[], int]
    # Most VMs have no object yet; if this one has, the first write fails and it is read.
    _version: int | None = ABSENT_VERSION
    _recorded: Incarnation | None = None
    _leaving: Incarnation | None = None
    _is_rewrite_due: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def load(self) -> Result[Incarnation | None, StoreError]:
        """Return the incarnation whose departure an earlier process of this daemon recorded."""
        found = await self.store.get(DEPARTURES_KIND, self.vm)
        if found.is_error():
            return Error(found.error)
        if found.ok is None:
            self._version = ABSENT_VERSION
            self._recorded = None
            return Ok(None)
        self._version = found.ok.version
        decoded = decode_body(found.ok.body, Incarnation)
        if decoded.is_error():
            # The object is unusable, so it is treated as empty; the next departure overwrites it.
            error = decoded.error.message
            self.journal.record(catalogue.DEPARTURE_UNREADABLE, error=error)
            return Ok(None)
        self._recorded = decoded.ok
        if self._leaving is None or 0 < self._leaving.born_ms < decoded.ok.born_ms:
            self._leaving = decoded.ok
        return Ok(decoded.ok)

    def remember(self, incarnation: Incarnation) -> None:
        """Have a departure of an earlier process written that the store may have lost since.

        The store may still have that of an earlier incarnation.
        """
        if self._leaving is None or 0 < self._leaving.born_ms < incarnation.born_ms:
            self._leaving = incarnation
            self._version = None
            self._is_rewrite_due.set()

    async def record(self, incarnation: Incarnation) -> None:
        """Write that an incarnation is leaving; log an event if the store fails or times out."""
        if self._leaving is not None and 0 < incarnation.born_ms < self._leaving.born_ms:
            # A late notice: the object must keep the departure of the later incarnation.
            return
        self._leaving = incarnation
        if self._recorded == incarnation:
            return
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_SECONDS):
                written = await self._write(incarnation)
        except TimeoutError:
            written = Error(StoreError("the store did not answer in time", is_outcome_unknown=True))
        if written.is_error():
            message = written.error.message
            self.journal.record(
                catalogue.DEPARTURE_NOT_RECORDED, instance=incarnation.id, error=message
            )
            return
        self._recorded = incarnation

    def on_new_era(self, _era: int) -> None:
        """Have the departure written again: the store was restored and may have lost it."""
        if self._version or self._recorded is not None:
            # The store has answered before, in an earlier era.
            self._version = None
            self._recorded = None
        self._is_rewrite_due.set()

    async def run(self) -> None:
        """Write the departure again after each restore of the store; never returns."""
        while True:
            await self._is_rewrite_due.wait()
            self._is_rewrite_due.clear()
            spread_seconds = REWRITE_SPREAD_SECONDS_PER_MEMBER * self.count_members()
            await asyncio.sleep(spread_seconds * self.rng.random())
            await self._rewrite()

    async def _rewrite(self) -> None:
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        while self._leaving is not None and self._leaving != self._recorded:
            if self.is_superseded(self._leaving):
                return
            await self.record(self._leaving)
            if self._leaving == self._recorded:
                self.journal.record(catalogue.DEPARTURE_REWRITTEN, instance=self._leaving.id)
                return
            await asyncio.sleep(backoff_seconds * self.rng.uniform(0.5, 1.0))
            backoff_seconds = min(backoff_seconds * 2, MAX_BACKOFF_SECONDS)

    async def _write(self, incarnation: Incarnation) -> Result[None, StoreError]:
        if self._version is None:
            loaded = await self.load()
            if loaded.is_error():
                return Error(loaded.error)
            if loaded.ok == incarnation:
                return Ok(None)
        written = await self._put(incarnation)
        if written.is_error() and written.error.is_conflict:
            loaded = await self.load()
            if loaded.is_error():
                return Error(loaded.error)
            written = await self._put(incarnation)
        return written

    async def _put(self, incarnation: Incarnation) -> Result[None, StoreError]:
        assert self._version is not None
        body = encode_body(incarnation)
        written = await self.store.put(DEPARTURES_KIND, self.vm, body, self._version)
        if written.is_error():
            # A write whose answer was lost may still have changed the version.
            self._version = None
            return Error(written.error)
        self._version = written.ok
        return Ok(None)
