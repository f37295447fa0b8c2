"""Hearing of changes from the store, by a few daemons for all.

In each data centre, the few living members that rank first watch the store; all others hear of a
change as a rumour.  So the store's watches follow the number of data centres and not the fleet.  A
daemon that does not hear most of the fleet watches too, for itself.

A watch that is silent for longer than it may be is dropped, its connection with it, and everything
is listed again.  After a failure the next try waits with jitter, so that a store that comes back
after an hour is not met by all watchers at once.
"""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Final

from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.contacts import rank
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.gossip import Gossip
from kingcuppond.store.port import Changes, Listing, Store, StoreError, watch_until_error

WATCHERS_PER_DATA_CENTRE: Final = 3
"""So that a change is heard at once while two watchers of a data centre are down or cut off."""

CHECK_INTERVAL_SECONDS: Final = 0.2
INITIAL_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 2.0
ISOLATED_AFTER_SECONDS: Final = 2.0


class Watcher:
    """A daemon's share in watching the store.

    :param has_asked_others: tells whether this daemon has asked the others that the store names.
        Until then a listing, which may be stale, does not make it ready: a daemon that starts anew
        must not go back to what the others know to be over.
    :param wait_ms: how long the store holds a watch that has nothing to tell
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
        wait_ms: int,
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
        self.wait_ms = wait_ms
        self._store_heard_at = clock.monotonic()
        self._listed_kinds: set[str] = set()
        self._is_store_down = False
        self._was_isolated = False

    def is_isolated(self) -> bool:
        """Tell whether neither the store nor most of the fleet was heard lately.

        Such a daemon can't know whether its data centre was taken out, so its gate refuses new
        work.
        """
        return self._was_isolated

    def loops(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Return the loops that run as long as the daemon, by name."""
        watches = {
            f"watch {kind}": self._make_watch_loop(kind)
            for kind in self._configuration.format.kinds
        }
        return {**watches, "isolation": self._check_isolation}

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

    async def run(self, kind: str) -> None:
        """Watch a kind whenever it is this daemon's turn, for ever."""
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        while True:
            if not self.should_watch():
                self.is_watching = False
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
                continue
            if not self.is_watching:
                self.is_watching = True
                self._journal.record(catalogue.WATCHING)
            failure = await self._watch_once(kind)
            if failure is None:
                backoff_seconds = INITIAL_BACKOFF_SECONDS
                continue
            self._record_store_failure(failure)
            await asyncio.sleep(backoff_seconds * self._rng.uniform(0.5, 1.0))
            backoff_seconds = min(backoff_seconds * 2, MAX_BACKOFF_SECONDS)

    async def refresh(self, kind: str) -> Result[Listing, StoreError]:
        """Read all objects of a kind."""
        listed = await self._store.list(kind)
        if listed.is_error():
            return Error(listed.error)
        objects = [
            VersionedObject(item.name, item.version, item.body, kind) for item in listed.ok.items
        ]
        objects.extend(self._find_deleted(kind, listed.ok))
        self._gossip.spread_objects(objects)
        self._listed_kinds.add(kind)
        self._update_is_complete()
        self._record_store_answer()
        return Ok(listed.ok)

    def _make_watch_loop(self, kind: str) -> Callable[[], Coroutine[Any, Any, None]]:
        return lambda: self.run(kind)

    async def _watch_once(self, kind: str) -> StoreError | None:
        """List, then watch until it fails or is no longer this daemon's turn."""
        listed = await self.refresh(kind)
        if listed.is_error():
            return listed.error
        version = listed.ok.version
        async for answer in watch_until_error(self._store, kind, version, self.wait_ms):
            if answer.is_error():
                return None if answer.error.is_gone else answer.error
            self._update_is_complete()
            self._record_store_answer()
            self._merge_changes(kind, answer.ok)
            if not self.should_watch():
                return None
        return None

    def _find_deleted(self, kind: str, listing: Listing) -> list[VersionedObject]:
        # The listing may be stale; its version tells up to which change it can speak.
        names = {item.name for item in listing.items}
        return [
            VersionedObject(item.name, listing.version, None, kind)
            for item in self._configuration.objects_by_key.values()
            if item.kind == kind
            and item.name not in names
            and item.body is not None
            and item.version < listing.version
        ]

    def _merge_changes(self, kind: str, changes: Changes) -> None:
        self._gossip.spread_objects(
            [
                VersionedObject(change.name, change.version, change.body, kind)
                for change in changes.changes
            ]
        )

    def _update_is_complete(self) -> None:
        if self._has_asked_others() and self._listed_kinds.issuperset(
            self._configuration.format.kinds
        ):
            self._configuration.is_complete = True

    def _record_store_answer(self) -> None:
        self._store_heard_at = self._clock.monotonic()
        if self._is_store_down:
            self._is_store_down = False
            self._journal.record(catalogue.STORE_BACK)

    def _record_store_failure(self, error: StoreError) -> None:
        if not self._is_store_down:
            self._is_store_down = True
            self._journal.record(catalogue.WATCH_LOST, error=error.message)

    async def _check_isolation(self) -> None:
        # Worked out a few times a second and not for each call, since it walks all members.
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self._update_isolation()
            # The others may have been asked after the last answer of the store.
            self._update_is_complete()

    def _update_isolation(self) -> None:
        # A watch that waits tells nothing meanwhile; only one that failed shows an outage earlier.
        allowed_silence_seconds = ISOLATED_AFTER_SECONDS + (
            0.0 if self._is_store_down else self.wait_ms / 1000
        )
        isolated = (
            not self._gossip.hears_majority()
            and self._clock.monotonic() - self._store_heard_at > allowed_silence_seconds
        )
        if isolated != self._was_isolated:
            self._was_isolated = isolated
            self._journal.record(catalogue.ISOLATED if isolated else catalogue.REJOINED)
            self._configuration.notify_changed()
