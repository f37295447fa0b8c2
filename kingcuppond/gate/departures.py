"""Remembering that the server beside this daemon leaves, across a restart of the daemon.

A server that said that it leaves gets no further call, but it may go on serving for many seconds.
A daemon that starts anew meanwhile must not take it for an ordinary one.  So the departure is
written to the store before the server is told that it was heard: one object a VM, written again at
the next departure.  If the store does not answer in time, the other daemons, which are told at
once, and the server's own health answer are what a new process goes by.
"""

import asyncio
from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.gate.incarnation import Incarnation
from kingcuppond.store.port import ABSENT, Store, StoreError, decode_body, encode_body

KIND: Final = "departures"

RECORD_SECONDS: Final = 0.6
"""The server waits a second for its answer, and asks another daemon after that."""


@attrs.define
class Departures:
    """The object of this VM in the store.

    :param vm: name of this VM
    """

    vm: str
    store: Store
    journal: Journal
    _version: int | None = None
    _recorded: Incarnation | None = None

    async def load(self) -> Result[Incarnation | None, StoreError]:
        """Read which incarnation an earlier process of this daemon saw leaving."""
        found = await self.store.get(KIND, self.vm)
        if found.is_error():
            return Error(found.error)
        if found.ok is None:
            self._version = ABSENT
            return Ok(None)
        self._version = found.ok.version
        decoded = decode_body(found.ok.body, Incarnation)
        if decoded.is_error():
            # It says nothing, so the next departure replaces it.
            error = decoded.error.message
            self.journal.record(catalogue.DEPARTURE_UNREADABLE, error=error)
            return Ok(None)
        self._recorded = decoded.ok
        return Ok(decoded.ok)

    async def record(self, incarnation: Incarnation) -> None:
        """Write that an incarnation leaves, or give up after a short time and say so."""
        if self._recorded == incarnation:
            return
        try:
            async with asyncio.timeout(RECORD_SECONDS):
                written = await self._write(incarnation)
        except TimeoutError:
            written = Error(StoreError("store gave no answer in time", is_unknown=True))
        if written.is_error():
            message = written.error.message
            self.journal.record(
                catalogue.DEPARTURE_NOT_RECORDED, instance=incarnation.id, error=message
            )
            return
        self._recorded = incarnation

    async def _write(self, incarnation: Incarnation) -> Result[None, StoreError]:
        if self._version is None:
            loaded = await self.load()
            if loaded.is_error():
                return Error(loaded.error)
        assert self._version is not None
        written = await self.store.put(KIND, self.vm, encode_body(incarnation), self._version)
        if written.is_error():
            # Also a write that was lost may have changed the version.
            self._version = None
            return Error(written.error)
        self._version = written.ok
        return Ok(None)
