"""Watches on the store, held by a few daemons on behalf of the fleet.

In each data centre, the few living members that rank first (rendezvous hashing) watch the store;
the others receive changes as rumours.  The number of watches therefore grows with the number of
data centres and not with the fleet.  While no watcher is known to follow the store, others ask it
in their place (``inquiries``).  A watcher that the store does not answer says so in its entry as a
member; it goes on trying, and withdraws the statement once it is answered.  A daemon that has had
no complete configuration, or not heard from most of the fleet, for some time watches too, for
itself.  A starting daemon first waits until it knows other members, since all would rank first
among those that they know.  After a restart it reads the store once as soon as it has joined,
unless another daemon has sent it the configuration.

A watch that exceeds its time limit is dropped together with its connection, and all objects are
listed again, as they are after the store was restored from a copy.  The fleet's watches of one kind
end one after another, so that one of them soon finds that all connections have gone silent; it is
the kind that changes least, since each change of it costs a shorter watch.  After a failure the
next attempt is delayed by a backoff with jitter, so that the watchers do not all reconnect at once
to a store that recovers after an hour.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from random import Random
from typing import Any, Final

from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.inquiries import StoreInquiry
from kingcuppond.configuration.listings import ListingReader
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.configuration.store_reach import (
    INITIAL_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
    StoreReach,
)
from kingcuppond.configuration.watch_ranks import watch_ms
from kingcuppond.configuration.watch_roles import WatchRoles
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.gossip import Gossip
from kingcuppond.store.era import era_of, format_version, make_version, revision_of
from kingcuppond.store.interface import Listing, Store, StoreError, WatchResult, watch_until_error

CHECK_INTERVAL_SECONDS: Final = 0.2
ISOLATED_AFTER_SECONDS: Final = 2.0
JOIN_POLL_SECONDS: Final = 0.05

FIRST_READ_SPREAD_SECONDS: Final = 0.3
"""Of many daemons that restart together, the first to read the store inform the others sooner."""

HISTORY_REVISIONS: Final = (256, 32, 4)
"""How far to look back for deletions; the store may have dropped the older part of its history."""

HISTORY_WAIT_MS: Final = 1

WATCH_ALONE_AFTER_SECONDS: Final = 2.0
"""How long a daemon waits for others to send the configuration before it watches for itself."""


async def _read_nothing() -> None:
    return


class Watcher:
    """Watches the store while this daemon is one of the watchers, and detects isolation.

    :param has_contacted_members: returns whether this daemon has asked the other daemons (seeds or
        those registered in the store) for their state, or need not, since the whole fleet starts
        for the first time.  Before that, a listing does not make it ready: the listing may be
        stale, and a restarted daemon must not return to a configuration that the others know to be
        outdated.
    :param is_joined: returns whether this daemon has exchanged its state with another one
    :param is_restart: whether this daemon may be needed at once, and not only once the whole fleet
        has started for the first time
    :param wait_ms: time between the ends of two watches without changes, in milliseconds
    :param read_first: reads what this daemon must know before requests can be routed
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
        has_contacted_members: Callable[[], bool],
        is_joined: Callable[[], bool],
        is_restart: bool,
        wait_ms: int,
        read_first: Callable[[], Awaitable[None]] = _read_nothing,
    ) -> None:
        self.is_watching = False
        self._store = store
        self._configuration = configuration
        self._gossip = gossip
        self._directory = directory
        self._clock = clock
        self._journal = journal
        self._rng = rng
        self._has_contacted_members = has_contacted_members
        self._is_restart = is_restart
        self.wait_ms = wait_ms
        # For a daemon that watches for itself or by an inquiry, and not by its rank.
        self._own_phase = rng.random()
        self._read_first = read_first
        self._store_heard_at = clock.monotonic()
        self._roles = WatchRoles(directory, clock, is_joined)
        self._followed_kinds: set[str] = set()
        self._inquiry = StoreInquiry(
            gossip.currency,
            directory,
            clock,
            journal,
            rng,
            lambda: self._roles.is_settled() and configuration.is_ready,
            self.should_watch,
            lambda: self._followed_kinds.issuperset(configuration.format.kinds),
            gossip.pinger.ping,
        )
        self._informed_at = clock.monotonic()
        self._reach = StoreReach(clock.monotonic)
        self._is_store_lost = False
        self._listed_kinds: set[str] = set()
        self._reader = ListingReader(configuration.format.release_of, clock.monotonic)
        self._held_kinds: set[str] = set()
        configuration.on_change.append(self._restore_listed)
        self._is_store_down = False
        self._is_isolated = False

    def is_isolated(self) -> bool:
        """Return whether neither the store nor most of the fleet was heard recently.

        Such a daemon cannot know whether its data centre was taken out of service, so its gate
        refuses new work.
        """
        return self._is_isolated

    def loops(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Return the loops that run for the lifetime of the daemon, by name."""
        loops: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
            f"watch {kind}": partial(self.run, kind) for kind in self._configuration.format.kinds
        }
        loops["isolation"] = self._check_isolation
        loops["inquiry"] = self._inquiry.run
        if self._is_restart:
            loops["first reading"] = self._read_after_restart
        return loops

    def should_watch(self) -> bool:
        """Return whether this daemon watches the store, by its rank, an inquiry or for itself."""
        return (
            self._roles.has_rank()
            or self._inquiry.is_active
            or self._clock.monotonic() - self._informed_at > WATCH_ALONE_AFTER_SECONDS
        )

    def _may_watch(self, kind: str) -> bool:
        """Return whether this daemon watches a kind now.

        An inquiry first tries the kind that changes least, since the store may reject it too.
        """
        steady_kind = self._configuration.format.steady_kind
        is_tried = kind == steady_kind or steady_kind in self._followed_kinds
        return self.should_watch() and (is_tried or not self._inquiry.is_active)

    def has_rank(self) -> bool:
        """Return whether this daemon is one of the few that act for their data centre."""
        return self._roles.has_rank()

    async def run(self, kind: str) -> None:
        """Watch a kind whenever this daemon is one of the watchers; never returns."""
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        while True:
            if not self._may_watch(kind):
                self.is_watching = self.should_watch()
                self._reach.forget_failure(kind)
                await self._inquiry.wait()
                continue
            if not self.is_watching:
                self.is_watching = True
                self._journal.record(catalogue.WATCHER_ROLE_TAKEN)
            failure = await self._watch_once(kind)
            self._followed_kinds.discard(kind)
            if failure is None:
                self._reach.forget_failure(kind)
                backoff_seconds = INITIAL_BACKOFF_SECONDS
                continue
            if not failure.is_version_expired:
                self._record_store_failure(failure)
                self._reach.record_failure(kind)
            # An inquiry asks once; the next wave asks others.
            self._inquiry.end()
            await asyncio.sleep(backoff_seconds * self._rng.uniform(0.5, 1.0))
            backoff_seconds = min(backoff_seconds * 2, MAX_BACKOFF_SECONDS)

    async def refresh(self, kind: str) -> Result[Listing, StoreError]:
        """List all objects of a kind, merge them and announce those that were newer."""
        listed, _ = await asyncio.gather(self._store.list(kind), self._read_first())
        if listed.is_error():
            return Error(listed.error)
        known = self._configuration.objects_by_key
        result = self._reader.read(kind, listed.ok, known)
        if result.missing:
            deletions = await self._read_deletions(kind, listed.ok.version)
            result = self._reader.read(kind, listed.ok, known, deletions)
        self._record_held(kind, result.older + result.missing)
        self._gossip.spread_objects(result.objects)
        self._configuration.version = max(self._configuration.version, listed.ok.version)
        self._listed_kinds.add(kind)
        self._journal.record(
            catalogue.STORE_LISTED,
            kind=kind,
            count=len(listed.ok.items),
            version=format_version(listed.ok.version),
        )
        self._update_is_complete()
        self._reach.forget_failure(kind)
        self._record_store_answer()
        return Ok(listed.ok)

    async def read_all(self) -> bool:
        """List and merge the objects of all kinds; return whether the store answered each time."""
        listings = [await self.refresh(kind) for kind in self._configuration.format.kinds]
        return all(listing.is_ok() for listing in listings)

    async def _read_deletions(self, kind: str, version: int) -> dict[str, int]:
        """Return the newest deletions before a version by name, as far as the history goes."""
        for revisions in HISTORY_REVISIONS:
            after = make_version(era_of(version), max(revision_of(version) - revisions, 0))
            watched = await self._store.watch(kind, after, HISTORY_WAIT_MS)
            if watched.is_ok():
                changes = watched.ok.changes
                return {it.name: it.version for it in changes if it.body is None}
            if not watched.error.is_version_expired:
                break
        return {}

    async def _watch_once(self, kind: str) -> StoreError | None:
        """List a kind, then watch it until that fails or this daemon is no longer a watcher.

        :return: the error, or ``None`` if the next attempt needs no backoff
        """
        listed = await self.refresh(kind)
        if listed.is_error():
            return listed.error
        self._followed_kinds.add(kind)
        version = listed.ok.version
        is_answered = False
        async for answer in watch_until_error(
            self._store, kind, version, lambda: self._wait_ms_of(kind)
        ):
            if answer.is_error():
                # A store that keeps no history would otherwise be listed without pause.
                needs_no_backoff = is_answered and answer.error.is_version_expired
                return None if needs_no_backoff else answer.error
            is_answered = True
            if self.merge_answer(kind, answer.ok) or not self.should_watch():
                return None
        return None

    def _wait_ms_of(self, kind: str) -> int:
        if kind != self._configuration.format.steady_kind:
            return self.wait_ms
        ranks = self._roles.ranks()
        phase = ranks.phases_by_vm.get(self._directory.me.vm, self._own_phase)
        return watch_ms(self._clock.fleet_ms(), phase, ranks.interval_ms(self.wait_ms))

    def merge_answer(self, kind: str, answer: WatchResult) -> bool:
        """Merge the answer to a watch; return whether the kind is due to be listed again."""
        self._update_is_complete()
        self._record_store_answer()
        self._merge_changes(kind, answer)
        # What another daemon brought after the listing may count as older by now.
        self._restore_listed()
        return kind in self._held_kinds and self._reader.is_settled

    def _merge_changes(self, kind: str, result: WatchResult) -> None:
        release_of = self._configuration.format.release_of
        objects = [
            VersionedObject(
                change.name,
                change.version,
                change.body,
                kind,
                release_of(kind, change.name, change.body),
            )
            for change in result.changes
        ]
        self._record_ignored(objects)
        self._gossip.spread_objects(objects)

    def _restore_listed(self) -> None:
        """Take over what this daemon has listed and another one has replaced by older."""
        newer = self._reader.take_newer(self._configuration.objects_by_key)
        if newer:
            self._gossip.spread_objects(newer)

    def _record_held(self, kind: str, names: list[str]) -> None:
        if not names:
            self._held_kinds.discard(kind)
            return
        self._held_kinds.add(kind)
        self._journal.record(catalogue.CONFIGURATION_HELD, kind=kind, names=" ".join(names))

    def _record_ignored(self, objects: list[VersionedObject]) -> None:
        """Record the changes that are older than what this daemon has, or that can't be used."""
        for item in objects:
            known = self._configuration.objects_by_key.get(item.key)
            if known is None or known.head.order <= item.head.order:
                continue
            decoded = self._configuration.format.decode(item.kind, item.name, item.body)
            if decoded.is_error():
                # An object that can't be decoded has no number of the operators, and looks older.
                self._journal.record(
                    catalogue.CONFIGURATION_REFUSED,
                    name=item.name,
                    version=format_version(item.version),
                    error=decoded.error.message,
                )
                continue
            self._journal.record(
                catalogue.CONFIGURATION_IGNORED,
                name=item.name,
                version=format_version(item.version),
                known=format_version(known.version),
            )

    def _update_is_complete(self) -> None:
        if self._has_contacted_members() and self._listed_kinds.issuperset(
            self._configuration.format.kinds
        ):
            self._configuration.is_complete = True

    def _record_store_answer(self) -> None:
        self._store_heard_at = self._clock.monotonic()
        self._gossip.currency.record_answer()
        if self._is_store_down:
            self._is_store_down = False
            self._journal.record(catalogue.STORE_BACK)

    def _record_store_failure(self, error: StoreError) -> None:
        if not self._is_store_down:
            self._is_store_down = True
            self._journal.record(catalogue.WATCH_FAILED, error=error.message)

    async def _read_after_restart(self) -> None:
        while not self._roles.is_joined() and not self._roles.is_settled():
            await asyncio.sleep(JOIN_POLL_SECONDS)
        await asyncio.sleep(self._rng.uniform(0.0, FIRST_READ_SPREAD_SECONDS))
        if not self._configuration.is_ready:
            await self.read_all()
        # The loop must not return: its service would start it again.
        await asyncio.Event().wait()

    async def _check_isolation(self) -> None:
        # Computed a few times per second and not for each call, since it iterates over all members.
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self._roles.update_settled()
            self._update_isolation()
            self._publish_reach()
            # The other daemons may have been asked after the last answer of the store.
            self._update_is_complete()

    def _publish_reach(self) -> None:
        is_lost = self._reach.is_lost()
        if is_lost != self._is_store_lost:
            self._is_store_lost = is_lost
            self._directory.publish_own_change(is_store_lost=is_lost)
            event = catalogue.WATCHER_ROLE_UNFILLED if is_lost else catalogue.WATCHER_ROLE_FILLED
            self._journal.record(event)

    def _update_isolation(self) -> None:
        hears_majority = self._gossip.hearing.hears_majority()
        if self._configuration.is_ready and hears_majority:
            self._informed_at = self._clock.monotonic()
        # While a watch is pending, the store may be silent for the whole wait time without being
        # down.  After a failed watch there is no such time to add.
        allowed_silence_seconds = ISOLATED_AFTER_SECONDS + (
            0.0 if self._is_store_down else self.wait_ms / 1000
        )
        isolated = (
            not hears_majority
            and self._clock.monotonic() - self._store_heard_at > allowed_silence_seconds
        )
        if isolated != self._is_isolated:
            self._is_isolated = isolated
            self._journal.record(catalogue.ISOLATED if isolated else catalogue.ISOLATION_ENDED)
            self._configuration.notify_changed()
