"""A fake store with injected write faults, which can be restored from a copy."""

from collections.abc import Callable

import attrs
from expression import Error, Ok, Result

from kingcuppond.store.era import EraTracker, era_of, make_version, revision_of
from kingcuppond.store.interface import (
    ABSENT_VERSION,
    ListedObject,
    Listing,
    StoredObject,
    StoreError,
)

LateWrite = tuple[str, str, bytes, int]


@attrs.define
class FakeStore:
    """A store in memory; ``faults`` lists the faults of the next writes.

    ``ok``: no fault; ``lost``: takes effect, but the answer is lost; ``dropped``: no effect and
    no answer; ``late``: takes effect only when ``apply_late_writes`` is called, and has no
    answer; ``refused``: rejected by the rate limit; ``restored``: the store is restored while the
    write is on its way, and it takes effect afterwards if its condition holds; ``answered``: it
    takes effect and is answered, and the store is restored then.

    :param objects: their versions are revisions, without the era
    :param copies: the states of the store before each write
    :param lost_writes: number of writes that the next restore takes back
    """

    objects: dict[tuple[str, str], StoredObject] = attrs.field(factory=dict)
    eras: EraTracker = attrs.field(factory=EraTracker)
    version: int = 0
    era: int = 0
    faults: list[str] = attrs.field(factory=list)
    late: list[LateWrite] = attrs.field(factory=list)
    copies: list[dict[tuple[str, str], StoredObject]] = attrs.field(factory=list)
    lost_writes: int = 0
    on_restore: list[Callable[[], None]] = attrs.field(factory=list)
    is_down: bool = False
    writes: int = 0
    reads: int = 0
    lists: int = 0

    async def get(self, kind: str, name: str) -> Result[StoredObject | None, StoreError]:
        self.reads += 1
        if self.is_down:
            return Error(StoreError("down"))
        found = self.objects.get((kind, name))
        return Ok(found and StoredObject(make_version(self.era, found.version), found.body))

    async def list(self, kind: str) -> Result[Listing, StoreError]:
        self.lists += 1
        if self.is_down:
            return Error(StoreError("down"))
        items = [
            ListedObject(n, make_version(self.era, s.version), s.body)
            for (k, n), s in sorted(self.objects.items())
            if k == kind
        ]
        return Ok(Listing(items, make_version(self.era, self.version)))

    async def put(
        self, kind: str, name: str, body: bytes, expected: int
    ) -> Result[int, StoreError]:
        if self.is_down:
            return Error(StoreError("down"))
        self.writes += 1
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "refused":
            return Error(StoreError("store answered 429"))
        if fault == "dropped":
            return Error(StoreError("no answer", is_outcome_unknown=True))
        if fault == "late":
            self.late.append((kind, name, body, expected))
            return Error(StoreError("no answer", is_outcome_unknown=True))
        if fault == "restored":
            self.restore(self.lost_writes)
        written = self._write(kind, name, body, expected)
        if fault == "answered":
            self.restore(self.lost_writes)
        if fault == "lost":
            return Error(StoreError("no answer", is_outcome_unknown=True))
        if fault == "restored" and expected != ABSENT_VERSION:
            return Error(StoreError("restored before the write", is_outcome_unknown=True))
        return written

    async def delete(self, kind: str, name: str, expected: int) -> Result[int, StoreError]:
        if self.is_down:
            return Error(StoreError("down"))
        found = self.objects.get((kind, name))
        if found is None or found.version != revision_of(expected):
            return Error(StoreError("another version", is_conflict=True))
        del self.objects[kind, name]
        return Ok(expected)

    def apply_late_writes(self) -> None:
        """Apply the delayed writes."""
        for kind, name, body, expected in self.late:
            self._write(kind, name, body, expected)
        self.late.clear()

    def restore(self, lost_writes: int) -> None:
        """Take back the last writes, whose revisions are given out again, and begin a new era."""
        for _ in range(min(lost_writes, len(self.copies))):
            self.objects = self.copies.pop()
            self.version -= 1
        self.era += 1
        for callback in self.on_restore:
            callback()

    def _write(self, kind: str, name: str, body: bytes, expected: int) -> Result[int, StoreError]:
        found = self.objects.get((kind, name))
        if (ABSENT_VERSION if found is None else found.version) != revision_of(expected):
            return Error(StoreError("another version", is_conflict=True))
        self.copies.append(dict(self.objects))
        self.version += 1
        self.objects[kind, name] = StoredObject(self.version, body)
        return Ok(make_version(self.era, self.version))


@attrs.define
class FakeClient:
    """A daemon's client of a fake store, which refuses versions of earlier eras."""

    store: FakeStore
    eras: EraTracker = attrs.field(factory=EraTracker)

    async def list(self, kind: str) -> Result[Listing, StoreError]:
        listing = await self.store.list(kind)
        if listing.is_ok():
            self.eras.observe(era_of(listing.ok.version))
        return listing

    async def put(
        self, kind: str, name: str, body: bytes, expected: int
    ) -> Result[int, StoreError]:
        if expected != ABSENT_VERSION and era_of(expected) < self.eras.era:
            return Error(StoreError("the store was restored since the read", is_conflict=True))
        sent_in = self.store.era
        written = await self.store.put(kind, name, body, expected)
        if self.store.era != sent_in and not self._is_answered_before(written):
            self.eras.observe(self.store.era)
        if (
            expected != ABSENT_VERSION
            and written.is_ok()
            and era_of(written.ok) != era_of(expected)
        ):
            return Error(StoreError("restored before the write", is_outcome_unknown=True))
        return written

    def _is_answered_before(self, written: Result[int, StoreError]) -> bool:
        return written.is_ok() and era_of(written.ok) < self.store.era
