"""The log of one shard of claims, kept in the store as a sequence of segments.

A segment is one object.  A record is appended by rewriting the last segment on the condition that
its version is the one that was read.  A full segment never changes again, and the next one is
created on the condition that it does not exist yet.  So a writer that appends has seen every
earlier record: the store's conditional update puts all claims of a shard into one order, no matter
how many daemons act as coordinator, how long a writer was paused, or which reads were stale.  The
ordering depends on no lease and no clock.

After a write whose answer was lost, the log is read again, and its content decides.

A store that was restored from a copy has lost records, and may still execute writes that were sent
before.  So each era of the store has segments of its own, and the order holds within an era.  The
segments of earlier eras are read too, and their claims hold their keys, but only a record in a
segment of the present era grants one: a late write may still replace an earlier segment, and
another one may replace it once more without the records of the first.  So neither what the last
earlier segments hold nor a recent claim in any of them is taken for settled: a claim that has run
is then written again.  A key may be held by several attempts, and is free when all of them are
released.
"""

from collections.abc import Iterable
from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.claims.keys import is_of_organisation, stem_of
from kingcuppond.claims.messages import ClaimRecord
from kingcuppond.claims.segments import Segment, SegmentId, read_segments
from kingcuppond.store.era import era_of
from kingcuppond.store.interface import ABSENT_VERSION, Store, StoreError, encode_body

SEGMENT_BYTES: Final = 8192
"""A segment of at least this size is full; its last write may take it beyond."""

MAX_APPENDED_RECORDS: Final = 500
"""Most records in one write: about 70 kB, far below the store's limit for an object."""

UNSETTLED_SEGMENTS: Final = 2
"""Of each earlier era, the last segments: late writes change that of the copy or add the next."""

UNSETTLED_MS: Final = 60_000
"""Age of the claims that late writes may add; these are executed within seconds."""

RETENTION_MS: Final = 86_400_000


@attrs.define
class ShardLog:
    """A local copy of one shard's log.

    :param shard: number of the shard
    :param is_loaded: whether all segments have been read; false before the first load, and again
        after a write that conflicted or whose result is unknown
    :param era: era of the store in which the copy was read
    :param claims_by_key: claims that hold a key; of several, that of the newest era comes first
    :param lost_claims: claims of the copy that a restored store lacks; see :meth:`append_lost`
    """

    shard: int
    store: Store
    is_loaded: bool = False
    era: int = 0
    claims_by_key: dict[bytes, tuple[ClaimRecord, ...]] = attrs.field(factory=dict)
    lost_claims: list[ClaimRecord] = attrs.field(factory=list)
    _keys_by_stem: dict[bytes, set[bytes]] = attrs.field(factory=dict)
    _has_read_all: bool = False
    _segment: Segment = attrs.field(factory=lambda: _first_segment(0))
    _last_record_ms_by_id: dict[SegmentId, int] = attrs.field(factory=dict)
    _unsettled_attempts: set[str] = attrs.field(factory=set)

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
        era = era_of(listing.ok.version)
        if era < self.era:
            return Error(StoreError(f"the listing is of era {era}, but the log of {self.era}"))
        is_partial = self._has_read_all and era == self.era
        read = read_segments(listing.ok.items, self._segment.id if is_partial else None)
        if read.is_error():
            return Error(read.error)
        if not is_partial:
            self._start_again(era)
        last_numbers_by_era = {segment.id.era: segment.id.number for segment in read.ok}
        for segment in read.ok:
            self._take(segment, now_ms)
            if segment.id.era < self.era:
                is_last = (
                    segment.id.number > last_numbers_by_era[segment.id.era] - UNSETTLED_SEGMENTS
                )
                self._mark_unsettled(segment, 0 if is_last else now_ms - UNSETTLED_MS)
        self._hold_lost_claims(now_ms)
        self.is_loaded = True
        return Ok(None)

    async def append(self, records: list[ClaimRecord]) -> Result[None, StoreError]:
        """Append records for whose keys :meth:`holder` returns no other claim.

        :return: an error with ``is_outcome_unknown`` or ``is_conflict`` does not tell whether the
            records are in the log; the log must then be loaded again
        """
        dated = [attrs.evolve(record, era=self.era) for record in records]
        last = self._segment
        if last.size >= SEGMENT_BYTES:
            last = Segment(SegmentId(self.era, last.id.number + 1), ABSENT_VERSION, [], 0)
        body = encode_body(last.records + dated)
        written = await self.store.put(self.kind, last.id.name, body, last.version)
        if written.is_ok() and era_of(written.ok) != self.era:
            message = "the store was restored before the write"
            written = Error(StoreError(message, is_outcome_unknown=True))
        if written.is_error():
            if written.error.is_conflict or written.error.is_outcome_unknown:
                self.is_loaded = False
            return Error(written.error)
        self._set_current(Segment(last.id, written.ok, last.records + dated, len(body)))
        for record in dated:
            self._apply(record)
        return Ok(None)

    async def append_lost(self) -> Result[None, StoreError]:
        """Append the claims that this copy holds and the restored store lacks."""
        while self.lost_claims:
            appended = await self.append(self.lost_claims[:MAX_APPENDED_RECORDS])
            if appended.is_error():
                return appended
            del self.lost_claims[:MAX_APPENDED_RECORDS]
        return Ok(None)

    def unload(self) -> None:
        """Have the next load read all segments; the claims are kept in case the store lost them."""
        self.is_loaded = False
        self._has_read_all = False

    def claim_of(self, record: ClaimRecord) -> ClaimRecord | None:
        """Return the claim in the log of a record's own attempt, if any."""
        claims = self.claims_by_key.get(record.key, ())
        return next((claim for claim in claims if claim.attempt == record.attempt), None)

    def holder(self, record: ClaimRecord) -> ClaimRecord | None:
        """Return the claim of another attempt that holds the key of a record, if any."""
        claims = self.claims_by_key.get(record.key, ())
        own = next((claim for claim in claims if claim.attempt != record.attempt), None)
        return own or self._holder_of_unknown_organisation(record)

    def _holder_of_unknown_organisation(self, record: ClaimRecord) -> ClaimRecord | None:
        """Return a claim that may be one of the same key, if either does not tell whose it is."""
        stem = stem_of(record.key)
        rivals = {stem} if is_of_organisation(record.key) else self._keys_by_stem.get(stem, set())
        claims = (claim for key in rivals for claim in self.claims_by_key.get(key, ()))
        return next((claim for claim in claims if claim.attempt != record.attempt), None)

    def is_redundant(self, record: ClaimRecord) -> bool:
        """Return whether a record needs no write, as it is in the log or would have no effect."""
        claim = self.claim_of(record)
        if record.is_release:
            return claim is None
        return claim is not None and self._is_settled(claim)

    async def drop_expired(self, now_ms: int) -> None:
        """Delete segments whose records are all past their retention, but never the last one."""
        oldest_ms = now_ms - RETENTION_MS
        for id_, last_record_ms in list(self._last_record_ms_by_id.items()):
            if id_ < self._segment.id and last_record_ms < oldest_ms:
                found = await self.store.get(self.kind, id_.name)
                if found.is_ok() and found.ok is not None:
                    await self.store.delete(self.kind, id_.name, found.ok.version)
                del self._last_record_ms_by_id[id_]
        for key, claims in list(self.claims_by_key.items()):
            self._set_claims(key, (claim for claim in claims if claim.at_ms >= oldest_ms))

    def _start_again(self, era: int) -> None:
        if era > self.era:
            known = [claim for claims in self.claims_by_key.values() for claim in claims]
            self.lost_claims = known + self.lost_claims
        self.era = era
        self.claims_by_key = {}
        self._keys_by_stem = {}
        self._segment = _first_segment(era)
        self._last_record_ms_by_id = {}
        self._unsettled_attempts = set()
        self._has_read_all = True

    def _take(self, segment: Segment, now_ms: int) -> None:
        if segment.id.era == self.era:
            self._set_current(segment)
        self._date(segment)
        for record in segment.records:
            if record.at_ms > now_ms - RETENTION_MS:
                self._apply(record)

    def _hold_lost_claims(self, now_ms: int) -> None:
        oldest_ms = now_ms - RETENTION_MS
        still_lost = []
        for claim in self.lost_claims:
            known = self.claim_of(claim)
            # A lost claim that is held since an earlier load is not in the store yet.
            is_lost = known is None or known is claim or not self._is_settled(known)
            if claim.at_ms > oldest_ms and is_lost:
                still_lost.append(claim)
                self._apply(claim)
        self.lost_claims = still_lost

    def _mark_unsettled(self, segment: Segment, oldest_ms: int) -> None:
        self._unsettled_attempts.update(
            record.attempt for record in segment.records if record.at_ms >= oldest_ms
        )

    def _is_settled(self, claim: ClaimRecord) -> bool:
        """Return whether no late write can remove a claim that was read from the store."""
        return claim.era == self.era or claim.attempt not in self._unsettled_attempts

    def _set_current(self, segment: Segment) -> None:
        self._segment = segment
        self._date(segment)

    def _date(self, segment: Segment) -> None:
        # Claims that were written again after a restore are older than the records before them.
        newest_ms = max((record.at_ms for record in segment.records), default=0)
        self._last_record_ms_by_id[segment.id] = newest_ms

    def _apply(self, record: ClaimRecord) -> None:
        others = [
            claim
            for claim in self.claims_by_key.get(record.key, ())
            if claim.attempt != record.attempt
        ]
        claims = others if record.is_release else [*others, record]
        self._set_claims(record.key, sorted(claims, key=lambda claim: -claim.era))

    def _set_claims(self, key: bytes, claims: Iterable[ClaimRecord]) -> None:
        remaining = tuple(claims)
        if remaining:
            self.claims_by_key[key] = remaining
            if is_of_organisation(key):
                self._keys_by_stem.setdefault(stem_of(key), set()).add(key)
        elif self.claims_by_key.pop(key, None) is not None and is_of_organisation(key):
            keys = self._keys_by_stem[stem_of(key)]
            keys.discard(key)
            if not keys:
                del self._keys_by_stem[stem_of(key)]


def _first_segment(era: int) -> Segment:
    return Segment(SegmentId(era, 0), ABSENT_VERSION, [], 0)
