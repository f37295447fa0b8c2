"""What a daemon has counted for each organisation, and what the coordinators know of it.

Counts are cumulative within an epoch, so a report replaces all earlier ones and may be lost, or
arrive twice or out of order.  If a shard gets another coordinator, a new epoch begins with what the
one before it has not acknowledged.
"""

from random import Random
from typing import Final

import attrs
from expression import Ok, Result

from kingcuppond.outcomes import NotRun
from kingcuppond.quotas.bucket import Bucket, Limits
from kingcuppond.quotas.messages import NOTHING, Counts, QuotaAck, QuotaReport, pack_counts

SILENT_SECONDS: Final = 0.4
"""A coordinator is silent if it has not acknowledged a report for as long.

An acknowledgement takes 0.05 s and the delay of two messages.
"""

SILENT_INTERVALS: Final = 2.0
RESEND_PART: Final = 0.5
"""Counts are reported again after this part of the time after which a coordinator is silent."""

EARLIER_VERSION: Final = 1
"""Reported by a daemon that still has the shares of an earlier coordinator."""

NO_LIMITS: Final = Limits(0.0, 0.0)


@attrs.frozen
class QuotaPass:
    """The admission of a request; without counts if its organisation is not limited."""

    count: "OrganisationCount | None"


@attrs.define(eq=False)
class OrganisationCount:
    """The counts of one organisation at this daemon since its start.

    :param acked: the part that a coordinator has acknowledged
    :param base: the counts at the start of the shard's epoch
    :param is_dirty: whether the counts have changed since the latest report
    :param passed: the result for all requests that are admitted, the same for each
    :param due: part of the next admission that earlier requests have saved up while a share applies
    :param local: bucket that applies while the coordinator is silent, ``None`` at other times
    :param local_limits: limits of this bucket
    :param local_basis: what they were made from
    :param arrived_at: time of the latest request while limited, monotonic, in seconds
    :param spacing: typical time between requests while limited, in seconds
    :param next_room: when the next refused request may return, monotonic time in seconds
    """

    id: bytes
    link: "ShardLink"
    due: float
    admitted: int = 0
    credited: int = 0
    refused: int = 0
    acked: Counts = NOTHING
    base: Counts = NOTHING
    local: Bucket | None = None
    arrived_at: float | None = None
    spacing: float = 0.0
    next_room: float = 0.0
    is_dirty: bool = False
    local_limits: Limits = NO_LIMITS
    local_basis: object = None
    passed: Result[QuotaPass, NotRun] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.passed = Ok(QuotaPass(self))

    @property
    def total(self) -> Counts:
        """The counts since the daemon's start."""
        return self.admitted, self.credited, self.refused

    @property
    def unacked(self) -> int:
        """Requests that were admitted and not credited, and that no coordinator knows of."""
        return (self.admitted - self.acked[0]) - (self.credited - self.acked[1])

    def since_base(self) -> Counts:
        """Return the counts of the epoch."""
        return (
            self.admitted - self.base[0],
            self.credited - self.base[1],
            self.refused - self.base[2],
        )


@attrs.define
class _Sent:
    at: float
    totals: list[tuple[OrganisationCount, Counts]]


@attrs.define(eq=False)
class ShardLink:
    """One daemon's reports to the coordinator of a shard.

    :param coordinator: VM of the coordinator
    :param shares_by_id: admitted share of each organisation that is limited
    :param version: the version of its shares, 0 if it has not set any
    :param shares_until: monotonic time in seconds until which the shares apply
    :param unacked_since: time of the first report without an acknowledgement, ``None`` if all have
        one; the coordinator is silent if that is more than ``silent_seconds`` ago
    """

    shard: int
    coordinator: str
    silent_seconds: float = SILENT_SECONDS
    shares_by_id: dict[bytes, float] = attrs.field(factory=dict)
    version: int = 0
    shares_until: float = 0.0
    unacked_since: float | None = None
    counts_by_id: dict[bytes, OrganisationCount] = attrs.field(factory=dict)
    _epoch: int = 0
    _seq: int = 0
    _is_first: bool = True
    _dirty: set[OrganisationCount] = attrs.field(factory=set)
    _sent_by_seq: dict[int, _Sent] = attrs.field(factory=dict)

    def count(self, id_: bytes, rng: Random) -> OrganisationCount:
        """Return the counts of an organisation."""
        count = self.counts_by_id.get(id_)
        if count is None:
            count = self.counts_by_id[id_] = OrganisationCount(id_, self, rng.random())
        return count

    def mark_changed(self, count: OrganisationCount) -> None:
        """Have an organisation's counts reported."""
        count.is_dirty = True
        self._dirty.add(count)

    @property
    def has_news(self) -> bool:
        """Whether there is something to report or to wait for."""
        return bool(self._dirty or self._sent_by_seq)

    def begin_epoch(self, coordinator: str, epoch: int) -> None:
        """Start again with what has not been acknowledged.

        A silence of the earlier coordinator goes on until the new one has answered.

        :param epoch: a number larger than all earlier ones
        """
        if coordinator != self.coordinator:
            self.version = 0
        self.coordinator = coordinator
        self._epoch = max(epoch, self._epoch + 1)
        self._seq = 0
        self._is_first = True
        self._sent_by_seq.clear()
        for count in self.counts_by_id.values():
            count.base = count.acked
            if count.total != count.acked:
                self.mark_changed(count)
        if not self._dirty:
            self.unacked_since = None

    def make_report(self, now: float) -> QuotaReport | None:
        """Return the next report, or ``None`` if there is nothing to say."""
        resent_before = now - self.silent_seconds * RESEND_PART
        for seq, sent in list(self._sent_by_seq.items()):
            if sent.at < resent_before:
                del self._sent_by_seq[seq]
                for count, total in sent.totals:
                    if count.acked != total:
                        self.mark_changed(count)
        if not self._dirty:
            return None
        self._seq += 1
        totals = [(count, count.total) for count in self._dirty]
        counts = {count.id: pack_counts(count.since_base()) for count in self._dirty}
        for count in self._dirty:
            count.is_dirty = False
        self._dirty.clear()
        self._sent_by_seq[self._seq] = _Sent(now, totals)
        if self.unacked_since is None:
            self.unacked_since = now
        version = self.version
        if not version and self.shares_by_id and now < self.shares_until:
            version = EARLIER_VERSION
        return QuotaReport(self.shard, self._epoch, self._seq, self._is_first, version, counts)

    def on_ack(self, sender: str, ack: QuotaAck, now: float, shares_until: float) -> None:
        """Take over an acknowledgement.

        :param shares_until: time until which the shares apply that it confirms
        """
        if sender != self.coordinator or ack.epoch != self._epoch:
            return
        if not ack.seqs:
            self.begin_epoch(self.coordinator, self._epoch + 1)
            return
        self._is_first = False
        for seq in ack.seqs:
            sent = self._sent_by_seq.pop(seq, None)
            for count, total in () if sent is None else sent.totals:
                count.acked = (
                    max(count.acked[0], total[0]),
                    max(count.acked[1], total[1]),
                    max(count.acked[2], total[2]),
                )
        self.unacked_since = min((sent.at for sent in self._sent_by_seq.values()), default=None)
        if ack.permille_by_id is not None:
            self.set_shares(sender, ack.version, ack.permille_by_id, shares_until)
        elif ack.version == self.version:
            self.shares_until = max(self.shares_until, shares_until)

    def set_shares(
        self, coordinator: str, version: int, permille_by_id: dict[bytes, int], until: float
    ) -> bool:
        """Replace the shares by newer ones.

        :return: whether they were newer
        """
        if coordinator != self.coordinator or version <= self.version:
            return False
        self.version = version
        self.shares_by_id = {id_: permille / 1000 for id_, permille in permille_by_id.items()}
        self.shares_until = until
        return True
