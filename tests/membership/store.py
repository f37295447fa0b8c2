"""A store in simulated time, with rates, pages and watches, which can be restored from a copy.

Calls beyond a rate are refused; every call takes ``CALL_SECONDS``, and a listing one for each page.
"""

import asyncio
from bisect import bisect_right
from collections import deque
from operator import itemgetter
from typing import Any

import attrs
from expression import Error, Ok, Result

from kingcuppond.store.era import EraTracker, era_of, make_version, revision_of
from kingcuppond.store.interface import (
    ABSENT_VERSION,
    ListedObject,
    Listing,
    ObjectChange,
    StoredObject,
    StoreError,
    WatchResult,
)

CALL_SECONDS = 0.002
PAGE_ITEMS = 500
RATE_WINDOW_SECONDS = 1.0

TIMER_RESOLUTION_SECONDS = 1e-6
"""The event loop runs a timer that is due within its resolution, without a step of the time."""

Key = tuple[str, str]


@attrs.define
class CallRate:
    """The calls of one sort: how many the store takes a second, and how many came.

    :param peak: most calls in any second, including the refused ones
    """

    limit: int
    peak: int = 0
    total: int = 0
    refused: int = 0
    _all: deque[float] = attrs.field(factory=deque)
    _taken: deque[float] = attrs.field(factory=deque)

    def take(self) -> bool:
        """Count a call, and return whether the rate allows it."""
        now = asyncio.get_running_loop().time()
        for times in (self._all, self._taken):
            while times and times[0] <= now - RATE_WINDOW_SECONDS:
                times.popleft()
        self._all.append(now)
        self.total += 1
        self.peak = max(self.peak, len(self._all))
        if len(self._taken) >= self.limit:
            self.refused += 1
            return False
        self._taken.append(now)
        return True

    def clear(self) -> None:
        self.peak = self.total = self.refused = 0


@attrs.define
class SimulatedStore:
    """The state of the store.

    :param changes: revision, key and body, which is ``None`` after a deletion
    """

    writes: CallRate = attrs.field(factory=lambda: CallRate(400))
    reads: CallRate = attrs.field(factory=lambda: CallRate(2000))
    era: int = 1
    revision: int = 0
    is_down: bool = False
    objects_by_key: dict[Key, tuple[int, bytes]] = attrs.field(factory=dict)
    changes: list[tuple[int, Key, bytes | None]] = attrs.field(factory=list)
    cuts: int = 0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def write(self, key: Key, body: bytes | None) -> int:
        """Change an object, also as an operator does: at no cost for the fleet's rates."""
        self.revision += 1
        self.changes.append((self.revision, key, body))
        if body is None:
            self.objects_by_key.pop(key, None)
        else:
            self.objects_by_key[key] = (self.revision, body)
        self._wake()
        return self.revision

    def go_down(self) -> None:
        """Cut all watches, and refuse all calls until the restore."""
        self.is_down = True
        self.cuts += 1
        self._wake()

    def restore(self, revision: int) -> None:
        """Come back as of a revision, in a new era."""
        self.changes = [change for change in self.changes if change[0] <= revision]
        self.objects_by_key = {}
        for changed_at, key, body in self.changes:
            self.objects_by_key.pop(key, None)
            if body is not None:
                self.objects_by_key[key] = (changed_at, body)
        self.revision = revision
        self.era += 1
        self.is_down = False

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


@attrs.define
class SimulatedClient:
    """A daemon's client of the store."""

    store: SimulatedStore
    eras: EraTracker

    async def get(self, kind: str, name: str) -> Result[StoredObject | None, StoreError]:
        if not await self._call(self.store.reads):
            return Error(StoreError("refused"))
        found = self.store.objects_by_key.get((kind, name))
        return Ok(found and StoredObject(self._version(found[0]), found[1]))

    async def list(self, kind: str) -> Result[Listing, StoreError]:
        if not await self._call(self.store.reads):
            return Error(StoreError("refused"))
        names = sorted(
            name for listed_kind, name in self.store.objects_by_key if listed_kind == kind
        )
        items = []
        for name in names:
            revision, body = self.store.objects_by_key[kind, name]
            items.append(ListedObject(name, self._version(revision), body))
        listing = Listing(items, self._version(self.store.revision))
        for _ in range(PAGE_ITEMS, len(items), PAGE_ITEMS):
            if not await self._call(self.store.reads):
                return Error(StoreError("refused"))
        return Ok(listing)

    async def put(
        self, kind: str, name: str, body: bytes, expected: int
    ) -> Result[int, StoreError]:
        return await self._change((kind, name), body, expected)

    async def delete(self, kind: str, name: str, expected: int) -> Result[int, StoreError]:
        return await self._change((kind, name), None, expected)

    async def watch(self, kind: str, after: int, wait_ms: int) -> Result[WatchResult, StoreError]:
        if not await self._call(self.store.reads):
            return Error(StoreError("refused"))
        loop = asyncio.get_running_loop()
        cuts, end = self.store.cuts, loop.time() + wait_ms / 1000
        while self.store.cuts == cuts:
            if era_of(after) != self.store.era:
                return Error(StoreError("of another era", is_version_expired=True))
            first = bisect_right(self.store.changes, revision_of(after), key=itemgetter(0))
            changes = [
                ObjectChange(key[1], self._version(revision), body)
                for revision, key, body in self.store.changes[first:]
                if key[0] == kind
            ]
            if changes or end - loop.time() < TIMER_RESOLUTION_SECONDS:
                return Ok(WatchResult(changes, self._version(self.store.revision)))
            try:
                await asyncio.wait_for(self.store.changed.wait(), end - loop.time())
            except TimeoutError:
                continue
        return Error(StoreError("cut off"))

    async def _change(self, key: Key, body: bytes | None, expected: int) -> Result[int, StoreError]:
        if expected != ABSENT_VERSION and era_of(expected) < self.eras.era:
            return Error(StoreError("restored since the read", is_conflict=True))
        if not await self._call(self.store.writes):
            return Error(StoreError("refused"))
        found = self.store.objects_by_key.get(key)
        known = ABSENT_VERSION if found is None else self._version(found[0])
        if known != expected:
            return Error(StoreError("another version", is_conflict=True))
        return Ok(self._version(self.store.write(key, body)))

    async def _call(self, rate: CallRate) -> bool:
        """Make a call, and return whether it is executed."""
        await asyncio.sleep(CALL_SECONDS)
        if self.store.is_down or not rate.take():
            return False
        self.eras.observe(self.store.era)
        return True

    def _version(self, revision: int) -> int:
        return make_version(self.store.era, revision)


def as_client(store: SimulatedStore, eras: EraTracker) -> Any:
    """Return a client under the type of the product's store."""
    return SimulatedClient(store, eras)
