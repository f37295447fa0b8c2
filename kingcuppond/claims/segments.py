"""Names and contents of the segments in which a shard's log is kept.

The name carries the era of the store in which the segment was begun.  A writer changes only
segments of the era in which it has read the log, so one that has not heard of a restore never
changes what is appended after it.
"""

from collections.abc import Iterable
from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.claims.messages import ClaimRecord
from kingcuppond.store.interface import ListedObject, StoreError, decode_body

ERA_SEPARATOR: Final = "-"


@attrs.frozen(order=True)
class SegmentId:
    """Era and number of a segment; the order is that in which segments are written."""

    era: int
    number: int

    @property
    def name(self) -> str:
        """The name of the segment's object in the store."""
        if self.era == 0:
            return f"{self.number:08d}"
        return f"{self.era:08d}{ERA_SEPARATOR}{self.number:08d}"


@attrs.frozen
class Segment:
    """A segment as read.

    :param size: of its body in bytes
    """

    id: SegmentId
    version: int
    records: list[ClaimRecord]
    size: int


def parse_name(name: str) -> Result[SegmentId, StoreError]:
    """Parse the name of a segment's object."""
    era, _, number = name.rpartition(ERA_SEPARATOR)
    if not number.isdecimal() or not (era.isdecimal() or era == ""):
        return Error(StoreError(f"{name!r} is not the name of a segment"))
    return Ok(SegmentId(int(era or 0), int(number)))


def read_segments(
    items: Iterable[ListedObject], first: SegmentId | None
) -> Result[list[Segment], StoreError]:
    """Decode the listed segments in order.

    :param first: leave out the segments before this one
    :return: an error if a segment can't be decoded
    """
    segments = []
    for item in items:
        parsed = parse_name(item.name)
        if parsed.is_error():
            return Error(parsed.error)
        if first is not None and parsed.ok < first:
            continue
        decoded = decode_body(item.body, list[ClaimRecord])
        if decoded.is_error():
            return Error(StoreError(f"segment {item.name}: {decoded.error.message}"))
        segments.append(Segment(parsed.ok, item.version, decoded.ok, len(item.body)))
    return Ok(sorted(segments, key=lambda segment: segment.id))
