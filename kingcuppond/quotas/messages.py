"""Messages about quotas, encoded as arrays, since they also cross data centres.

They are ``msgspec`` structures and not ``attrs`` classes, of which the names of the fields would be
sent.
"""

from typing import Final

import msgspec

Counts = tuple[int, int, int]
"""Requests that were admitted, credited back and refused; none of them ever falls."""

PackedCounts = int | Counts
"""Counts of which the last two are 0 are sent as the first alone: 3 of 12 bytes less."""

NOTHING: Final[Counts] = (0, 0, 0)


def pack_counts(counts: Counts) -> PackedCounts:
    """Return the short form of counts."""
    return counts if counts[1] or counts[2] else counts[0]


def unpack_counts(packed: PackedCounts) -> Counts:
    """Return counts in full."""
    return (packed, 0, 0) if isinstance(packed, int) else packed


class QuotaReport(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon has counted for the organisations of a shard.

    :param epoch: start of the counts; a newer epoch has a larger number
    :param seq: number of the report within the epoch
    :param is_first: no report of the epoch has been acknowledged yet
    :param version: newest version of the coordinator's shares that the daemon has
    :param counts_by_id: counts since the start of the epoch, by the organisation's id
    """

    shard: int
    epoch: int
    seq: int
    is_first: bool
    version: int
    counts_by_id: dict[bytes, PackedCounts]


class QuotaAck(msgspec.Struct, frozen=True, array_like=True):
    """Acknowledges reports.

    :param epoch: epoch of the reports
    :param seqs: their numbers; none if the coordinator does not know the earlier counts of the
        epoch, so that the daemon has to begin a new one
    :param version: version of the shares
    :param permille_by_id: admitted share of each organisation that is limited, if the daemon did
        not have this version
    """

    shard: int
    epoch: int
    seqs: tuple[int, ...]
    version: int
    permille_by_id: dict[bytes, int] | None = None


class QuotaShares(msgspec.Struct, frozen=True, array_like=True):
    """The shares of a shard, passed on from daemon to daemon.

    :param coordinator: VM of the coordinator that has set them
    :param version: increases with each change of this coordinator, also across its restarts
    :param permille_by_id: admitted share of each organisation that is limited; all others are not
    """

    shard: int
    coordinator: str
    version: int
    permille_by_id: dict[bytes, int]
