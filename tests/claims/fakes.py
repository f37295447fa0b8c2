"""A fake store with injected write faults."""

import attrs
from expression import Error, Ok, Result

from kingcuppond.store.era import EraTracker
from kingcuppond.store.interface import (
    ABSENT_VERSION,
    ListedObject,
    Listing,
    StoredObject,
    StoreError,
)


@attrs.define
class FakeStore:
    """A store in memory; ``faults`` lists the faults of the next writes.

    ``ok``: no fault; ``lost``: takes effect, but the answer is lost; ``dropped``: no effect and
    no answer; ``late``: takes effect only when ``apply_late_writes`` is called, and has no
    answer; ``refused``: rejected by the rate limit.
    """

    objects: dict[tuple[str, str], StoredObject] = attrs.field(factory=dict)
    eras: EraTracker = attrs.field(factory=EraTracker)
    version: int = 0
    faults: list[str] = attrs.field(factory=list)
    late: list[tuple[str, str, bytes, int]] = attrs.field(factory=list)
    is_down: bool = False
    writes: int = 0
    reads: int = 0
    lists: int = 0

    async def get(self, kind: str, name: str) -> Result[StoredObject | None, StoreError]:
        self.reads += 1
        if self.is_down:
            return Error(StoreError("down"))
        return Ok(self.objects.get((kind, name)))

    async def list(self, kind: str) -> Result[Listing, StoreError]:
        self.lists += 1
        if self.is_down:
            return Error(StoreError("down"))
        items = [
            ListedObject(n, s.version, s.body)
            for (k, n), s in sorted(self.objects.items())
            if k == kind
        ]
        return Ok(Listing(items, self.version))

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
        written = self._write(kind, name, body, expected)
        if fault == "lost":
            return Error(StoreError("no answer", is_outcome_unknown=True))
        return written

    def apply_late_writes(self) -> None:
        """Apply the delayed writes."""
        for kind, name, body, expected in self.late:
            self._write(kind, name, body, expected)
        self.late.clear()

    def _write(self, kind: str, name: str, body: bytes, expected: int) -> Result[int, StoreError]:
        found = self.objects.get((kind, name))
        if (ABSENT_VERSION if found is None else found.version) != expected:
            return Error(StoreError("another version", is_conflict=True))
        self.version += 1
        self.objects[kind, name] = StoredObject(self.version, body)
        return Ok(self.version)
