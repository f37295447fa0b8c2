"""The log of one shard of claims, kept in the store as a row of segments.

A segment is one object; a record is appended by writing the segment again on the condition that it
has the version that was read.  A full segment is left for good and the next one is created on the
condition that there is none.  So whoever appends has seen every record before: the store's
conditional update puts all claims of a shard into one order, whoever believes to be its home,
however long a writer was paused, and whichever reads were stale.  No lease and no clock is part of
the argument.

After a write whose answer was lost, the log is read again, and what it holds decides.
"""

from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.claims.messages import Record
from kingcuppond.store.port import ABSENT, Store, StoreError, decode_body, encode_body

SEGMENT_BYTES: Final = 8192
RETENTION_MS: Final = 86_400_000


@attrs.define
class ShardLog:
    """What is known of one shard's log.

    :param shard: number of the shard
    :param is_loaded: whether all segments were read; false also after an unknown write
    """

    shard: int
    store: Store
    is_loaded: bool = False
    claims_by_key: dict[bytes, Record] = attrs.field(factory=dict)
    _number: int = 0
    _version: int = ABSENT
    _records: list[Record] = attrs.field(factory=list)
    _size: int = 0
    _last_at_by_number: dict[int, int] = attrs.field(factory=dict)

    @property
    def kind(self) -> str:
        """The kind of the shard's objects in the store."""
        return f"claims-{self.shard:02d}"

    async def load(self, now_ms: int) -> Result[None, StoreError]:
        """Read what others may have written since the last time.

        :param now_ms: the fleet's time; claims past their retention are left out
        """
        listing = await self.store.list(self.kind)
        if listing.is_error():
            return Error(listing.error)
        numbers = sorted(int(item.name) for item in listing.ok.items)
        for number in numbers:
            if number >= self._number:
                read = await self._read_segment(number, now_ms)
                if read.is_error():
                    return read
        self.is_loaded = True
        return Ok(None)

    async def append(self, records: list[Record]) -> Result[None, StoreError]:
        """Write records that :meth:`holder` does not speak against.

        :return: an error leaves it open whether they were written, if ``is_unknown`` or
            ``is_conflict`` is set; then the log must be loaded again
        """
        number = self._number
        version = self._version
        old = self._records
        if self._size >= SEGMENT_BYTES:
            number, version, old = number + 1, ABSENT, []
        body = encode_body(old + records)
        written = await self.store.put(self.kind, _name(number), body, version)
        if written.is_error():
            if written.error.is_conflict or written.error.is_unknown:
                self.is_loaded = False
            return Error(written.error)
        self._take_segment(number, written.ok, old + records, len(body))
        for record in records:
            self._apply(record)
        return Ok(None)

    def holder(self, record: Record) -> Record | None:
        """Return the claim of another attempt that holds the record's key, if any."""
        claim = self.claims_by_key.get(record.key)
        return None if claim is None or claim.attempt == record.attempt else claim

    def has(self, record: Record) -> bool:
        """Tell whether a record needs no write, because it is in the log or has no effect."""
        claim = self.claims_by_key.get(record.key)
        if record.is_release:
            return claim is None or claim.attempt != record.attempt
        return claim is not None and claim.attempt == record.attempt

    async def drop_expired(self, now_ms: int) -> None:
        """Delete segments all of whose claims are past their retention, never the last one."""
        oldest = now_ms - RETENTION_MS
        for number, last_at in list(self._last_at_by_number.items()):
            if number < self._number and last_at < oldest:
                found = await self.store.get(self.kind, _name(number))
                if found.is_ok() and found.ok is not None:
                    await self.store.delete(self.kind, _name(number), found.ok.version)
                del self._last_at_by_number[number]
        for key, claim in list(self.claims_by_key.items()):
            if claim.at_ms < oldest:
                del self.claims_by_key[key]

    async def _read_segment(self, number: int, now_ms: int) -> Result[None, StoreError]:
        found = await self.store.get(self.kind, _name(number))
        if found.is_error():
            return Error(found.error)
        if found.ok is None:
            return Ok(None)
        decoded = decode_body(found.ok.body, list[Record])
        if decoded.is_error():
            message = f"segment {number} of {self.kind}: {decoded.error.message}"
            return Error(StoreError(message))
        records = decoded.ok
        self._take_segment(number, found.ok.version, records, len(found.ok.body))
        for record in records:
            if record.at_ms > now_ms - RETENTION_MS:
                self._apply(record)
        return Ok(None)

    def _take_segment(self, number: int, version: int, records: list[Record], size: int) -> None:
        self._number = number
        self._version = version
        self._records = records
        self._size = size
        self._last_at_by_number[number] = records[-1].at_ms if records else 0

    def _apply(self, record: Record) -> None:
        if not record.is_release:
            self.claims_by_key.setdefault(record.key, record)
            return
        claim = self.claims_by_key.get(record.key)
        if claim is not None and claim.attempt == record.attempt:
            del self.claims_by_key[record.key]


def _name(number: int) -> str:
    return f"{number:08d}"
