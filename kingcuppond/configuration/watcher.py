"""Hearing of changes from the store, by a few daemons for all.

In each data centre, the two living members that rank first watch the store; all others hear of a
change as a rumour.  So the store's watches follow the number of data centres and not the fleet.  A
daemon that does not hear most of the fleet watches too, for itself.

A watch that is silent for longer than it may be is dropped, its connection with it, and everything
is listed again.  After a failure the next try waits with jitter, so that a store that comes back
after an hour is not met by all watchers at once.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.objects import KIND
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.contacts import rank
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.gossip import Gossip
from kingcuppond.store.client import Changes, Listing, Store, StoreError, watch_forever

WATCHERS_PER_DATA_CENTRE: Final = 2
WATCH_WAIT_MS: Final = 1000
CHECK_SECONDS: Final = 0.2
FIRST_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 3.0
ISOLATED_SECONDS: Final = 2.0


class Watcher:
    """A daemon's share in watching the store.

    :param has_asked_others: tells whether this daemon has asked the others that the store names.
        Until then a listing, which may be stale, does not make it ready: a daemon that starts anew
        must not go back to what the others know to be over.
    """

    def __init__(
        self,
        store: Store,
        configuration: Configuration,
        gossip: Gossip,
        directory: Directory,
        clock: Clock,
        journal: Journal,
        rng: Random,
        has_asked_others: Callable[[], bool],
    ) -> None:
        self.is_watching = False
        self._store = store
        self._configuration = configuration
        self._gossip = gossip
        self._directory = directory
        self._clock = clock
        self._journal = journal
        self._rng = rng
        self._has_asked_others = has_asked_others
        self._heard_at = clock.monotonic()
        self._is_down = False
        self._was_isolated = False

    def is_isolated(self) -> bool:
        """Tell whether neither the store nor most of the fleet was heard lately.

        Such a daemon can't know whether its data centre was taken out, so its gate refuses new
        work.
        """
        if self._gossip.hears_majority():
            isolated = False
        else:
            isolated = self._clock.monotonic() - self._heard_at > ISOLATED_SECONDS
        if isolated != self._was_isolated:
            self._was_isolated = isolated
            self._journal.record(catalogue.ISOLATED if isolated else catalogue.REJOINED)
        return isolated

    def should_watch(self) -> bool:
        """Tell whether this daemon is one of those that watch the store."""
        me = self._directory.me
        if not self._configuration.is_ready or not self._gossip.hears_majority():
            return True
        living = [
            member.vm
            for member in self._directory.living()
            if member.data_centre == me.data_centre and not member.is_leaving
        ]
        ranked = sorted(living, key=lambda vm: rank("watch", vm))
        return me.vm in ranked[:WATCHERS_PER_DATA_CENTRE]

    async def run(self) -> None:
        """Watch whenever it is this daemon's turn, for ever."""
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            if not self.should_watch():
                self.is_watching = False
                await asyncio.sleep(CHECK_SECONDS)
                continue
            if not self.is_watching:
                self.is_watching = True
                self._journal.record(catalogue.WATCHING)
            failure = await self._watch_once()
            if failure is None:
                backoff = FIRST_BACKOFF_SECONDS
                continue
            self._note_failure(failure)
            await asyncio.sleep(backoff * self._rng.uniform(0.5, 1.0))
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    async def _watch_once(self) -> StoreError | None:
        """List, then watch until it fails or is no longer this daemon's turn."""
        listed = await self.refresh()
        if listed.is_error():
            return listed.error
        version = listed.ok.version
        async for answer in watch_forever(self._store, KIND, version, WATCH_WAIT_MS):
            if answer.is_error():
                return None if answer.error.is_gone else answer.error
            self._note_ready()
            self._note_heard()
            self._take_changes(answer.ok)
            if not self.should_watch():
                return None
        return None

    async def refresh(self) -> Result[Listing, StoreError]:
        """Read all objects that are newer in the store than here."""
        listed = await self._store.list(KIND)
        if listed.is_error():
            return Error(listed.error)
        known = self._configuration.objects_by_name
        objects = []
        for item in listed.ok.items:
            if item.name in known and known[item.name].version >= item.version:
                continue
            read = await self._store.get(KIND, item.name)
            if read.is_error():
                return Error(read.error)
            if read.ok is not None:
                objects.append(VersionedObject(item.name, read.ok.version, read.ok.body))
        objects.extend(self._find_deleted(listed.ok))
        self._gossip.spread_objects(objects)
        self._note_ready()
        self._note_heard()
        return Ok(listed.ok)

    def _find_deleted(self, listing: Listing) -> list[VersionedObject]:
        # The listing may be stale; its version tells up to which change it can speak.
        names = {item.name for item in listing.items}
        return [
            VersionedObject(name, listing.version, None)
            for name, item in self._configuration.objects_by_name.items()
            if name not in names and item.body is not None and item.version < listing.version
        ]

    def _take_changes(self, changes: Changes) -> None:
        self._gossip.spread_objects(
            [
                VersionedObject(change.name, change.version, change.content())
                for change in changes.changes
            ]
        )

    def _note_ready(self) -> None:
        if self._has_asked_others():
            self._configuration.is_ready = True

    def _note_heard(self) -> None:
        self._heard_at = self._clock.monotonic()
        if self._is_down:
            self._is_down = False
            self._journal.record(catalogue.STORE_BACK)

    def _note_failure(self, error: StoreError) -> None:
        if not self._is_down:
            self._is_down = True
            self._journal.record(catalogue.WATCH_LOST, error=error.message)
