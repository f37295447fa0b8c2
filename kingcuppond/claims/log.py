"""The log of one shard of claims, kept in the store as a sequence of segments.

A segment is one object.  A record is appended by rewriting the last segment on the condition that
its version is the one that was read.  A full segment never changes again, and the next one is
created on the condition that it does not exist yet.  So a writer that appends has seen every
earlier record: the store's conditional update puts all claims of a shard into one order, no matter
how many daemons act as coordinator, how long a writer was paused, or which reads were stale.  The
ordering depends on no lease and no clock.

After a write whose answer was lost, the log is read again, and its content decides.
"""

from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.claims.messages import ClaimRecord
from kingcuppond.store.interface import ABSENT_VERSION, Store, StoreError, decode_body, encode_body

SEGMENT_BYTES: Final = 8192
"""A segment of at least this size is full; its last write may take it beyond."""

RETENTION_MS: Final = 86_400_000


@attrs.define
class ShardLog:
    """A local copy of one shard's log.

    :param shard: number of the shard
    :param is_loaded: whether all segments have been read; false before the first load, and again
        after a write that conflicted or whose result is unknown
    """

    shard: int
    store: Store
    is_loaded: bool = False
    claims_by_key: dict[bytes, ClaimRecord] = attrs.field(factory=dict)
    _segment_number: int = 0
    _segment_version: int = ABSENT_VERSION
    _segment_records: list[ClaimRecord] = attrs.field(factory=list)
    _segment_bytes: int = 0
    _last_record_ms_by_number: dict[int, int] = attrs.field(factory=dict)

    @property
    def kind(self) -> str:
        """The kind of the shard's objects in the store."""
        return f"claims-{self.shard:02d}"

    async def load(self, now_ms: int) -> Result[None, StoreError]:
        """Read the segments that other writers may have changed since the last load.

        :param now_ms: the fleet's time in milliseconds; claims past their retention are left out
        :return: an error if the store could not be read or a segment could not be decoded
        """
        listing = await self.store.list(self.kind)
        if listing.is_error():
            return Error(listing.error)
        numbers = sorted(int(item.name) for item in listing.ok.items)
        for number in numbers:
            if number >= self._segment_number:
                read = await self._read_segment(number, now_ms)
                if read.is_error():
                    return read
        self.is_loaded = True
        return Ok(None)

    async def append(self, records: list[ClaimRecord]) -> Result[None, StoreError]:
        """Append records for whose keys :meth:`holder` returns no other claim.

        :return: an error with ``is_outcome_unknown`` or ``is_conflict`` does not tell whether the
            records are in the log; the log must then be loaded again
        """
        number = self._segment_number
        version = self._segment_version
        old_records = self._segment_records
        if self._segment_bytes >= SEGMENT_BYTES:
            number, version, old_records = number + 1, ABSENT_VERSION, []
        body = encode_body(old_records + records)
        written = await self.store.put(self.kind, _segment_name(number), body, version)
        if written.is_error():
            if written.error.is_conflict or written.error.is_outcome_unknown:
                self.is_loaded = False
            return Error(written.error)
        self._set_current_segment(number, written.ok, old_records + records, len(body))
        for record in records:
            self._apply(record)
        return Ok(None)

    def holder(self, record: ClaimRecord) -> ClaimRecord | None:
        """Return the claim of another attempt that holds the key of a record, if any."""
        claim = self.claims_by_key.get(record.key)
        return None if claim is None or claim.attempt == record.attempt else claim

    def is_redundant(self, record: ClaimRecord) -> bool:
        """Return whether a record needs no write, as it is in the log or would have no effect."""
        claim = self.claims_by_key.get(record.key)
        if record.is_release:
            return claim is None or claim.attempt != record.attempt
        return claim is not None and claim.attempt == record.attempt

    async def drop_expired(self, now_ms: int) -> None:
        """Delete segments whose records are all past their retention, but never the last one."""
        oldest_ms = now_ms - RETENTION_MS
        for number, last_record_ms in list(self._last_record_ms_by_number.items()):
            if number < self._segment_number and last_record_ms < oldest_ms:
                found = await self.store.get(self.kind, _segment_name(number))
                if found.is_ok() and found.ok is not None:
                    await self.store.delete(self.kind, _segment_name(number), found.ok.version)
                del self._last_record_ms_by_number[number]
        for key, claim in list(self.claims_by_key.items()):
            if claim.at_ms < oldest_ms:
                del self.claims_by_key[key]

    async def _read_segment(self, number: int, now_ms: int) -> Result[None, StoreError]:
        found = await self.store.get(self.kind, _segment_name(number))
        if found.is_error():
            return Error(found.error)
        if found.ok is None:
            return Ok(None)
        decoded = decode_body(found.ok.body, list[ClaimRecord])
        if decoded.is_error():
            message = f"segment {number} of {self.kind}: {decoded.error.message}"
            return Error(StoreError(message))
        records = decoded.ok
        self._set_current_segment(number, found.ok.version, records, len(found.ok.body))
        for record in records:
            if record.at_ms > now_ms - RETENTION_MS:
                self._apply(record)
        return Ok(None)

    def _set_current_segment(
        self, number: int, version: int, records: list[ClaimRecord], size: int
    ) -> None:
        self._segment_number = number
        self._segment_version = version
        self._segment_records = records
        self._segment_bytes = size
        self._last_record_ms_by_number[number] = records[-1].at_ms if records else 0

    def _apply(self, record: ClaimRecord) -> None:
        if not record.is_release:
            self.claims_by_key.setdefault(record.key, record)
            return
        claim = self.claims_by_key.get(record.key)
        if claim is not None and claim.attempt == record.attempt:
            del self.claims_by_key[record.key]


def _segment_name(number: int) -> str:
    return f"{number:08d}"
