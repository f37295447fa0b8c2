"""The coordinator of a shard's quotas: keeps the buckets of the fleet and sets the shares.

Every daemon can become one.  The state is soft: a new coordinator starts with empty buckets and
with what the daemons have not yet had acknowledged.
"""

from collections.abc import Callable
from typing import Final

import attrs

from kingcuppond.organisations.organisation import Organisation
from kingcuppond.quotas.bucket import Bucket, Limits, QuotaBound, fleet_limits
from kingcuppond.quotas.messages import NOTHING, Counts, QuotaAck, QuotaReport, unpack_counts
from kingcuppond.quotas.shares import DemandMeter, admitted_share, is_new_share

REPORTER_SECONDS: Final = 60.0
"""Counts of a daemon that has reported nothing for as long are forgotten."""

RENEWAL_SECONDS: Final = 2.5
"""Interval at which shares are sent again while there are any."""

SHARES_SECONDS: Final = 6.0
"""For as long shares apply after they were last confirmed."""

SETTLING_SECONDS: Final = 1.0
"""Time after which a new coordinator knows the demand."""

PERMILLE: Final = 1000


@attrs.define
class _Reporter:
    epoch: int
    heard_at: float
    counts_by_id: dict[bytes, Counts] = attrs.field(factory=dict)
    seqs: list[int] = attrs.field(factory=list)
    is_unknown: bool = False
    version: int = 0


@attrs.define
class _Quota:
    name: str
    rate: float
    burst: float
    bucket: Bucket
    demand: DemandMeter
    share: float = 1.0


@attrs.define
class ShardCoordinator:
    """Coordinates the organisations of one shard.

    :param bound: what may run in a window
    :param find: returns an organisation with a rate by its id
    :param fleet: returns the number of reachable and of all known members
    :param on_share: called with an organisation's name when it becomes limited or unlimited, and
        with the share
    :param since: when this daemon took over; a bucket fills from then on
    :param version: version of the shares; starts at the time in milliseconds, so that it increases
        across restarts of the daemon
    """

    shard: int
    bound: QuotaBound
    find: Callable[[bytes], Organisation | None]
    fleet: Callable[[], tuple[int, int]]
    on_share: Callable[[str, float], None]
    interval_seconds: float
    since: float
    version: int
    _quotas_by_id: dict[bytes, _Quota] = attrs.field(factory=dict)
    _reporters_by_vm: dict[str, _Reporter] = attrs.field(factory=dict)
    _pushed_at: float = float("-inf")
    _is_changed: bool = False

    @property
    def has_reporters(self) -> bool:
        """Whether daemons have reported lately."""
        return bool(self._reporters_by_vm)

    def on_report(self, sender: str, report: QuotaReport, now: float) -> None:
        """Count what a daemon reports."""
        reporter = self._reporters_by_vm.get(sender)
        if reporter is not None and report.epoch < reporter.epoch:
            return
        if reporter is None or report.epoch > reporter.epoch:
            reporter = self._reporters_by_vm[sender] = _Reporter(report.epoch, now)
            # Without the earlier reports of the epoch, all that it has ever counted would be taken
            # for new.
            reporter.is_unknown = not report.is_first
        reporter.heard_at = now
        if reporter.is_unknown:
            return
        reporter.seqs.append(report.seq)
        reporter.version = report.version
        for id_, counts in report.counts_by_id.items():
            self._count(reporter, id_, unpack_counts(counts), now)

    def update(self, now: float) -> None:
        """Set the shares anew, and forget what is no longer needed."""
        for id_, quota in list(self._quotas_by_id.items()):
            organisation = self.find(id_)
            if organisation is None:
                del self._quotas_by_id[id_]
                self._is_changed |= quota.share < 1.0
                continue
            quota.rate, quota.burst = organisation.rate_per_second, organisation.burst
            limits = self._limits(quota)
            quota.bucket.advance(now, limits)
            demand = quota.demand.rate(now)
            share = admitted_share(quota.bucket.level, limits, demand)
            if is_new_share(quota.share, share):
                if (share == 1.0) != (quota.share == 1.0):
                    self.on_share(quota.name, share)
                quota.share = share
                self._is_changed = True
            if not demand and quota.bucket.level >= limits.capacity:
                del self._quotas_by_id[id_]
        oldest = now - REPORTER_SECONDS
        for vm, reporter in list(self._reporters_by_vm.items()):
            if reporter.heard_at < oldest:
                del self._reporters_by_vm[vm]

    def permille_by_id(self) -> dict[bytes, int]:
        """Return the share of each organisation that is limited."""
        return {
            id_: min(PERMILLE - 1, int(quota.share * PERMILLE))
            for id_, quota in self._quotas_by_id.items()
            if quota.share < 1.0
        }

    def take_shares(self, now: float, renewal_seconds: float) -> dict[bytes, int] | None:
        """Return the shares if they have to be sent to all members now."""
        shares = self.permille_by_id()
        is_due = bool(shares) and now - self._pushed_at >= renewal_seconds
        if not self._is_changed and not is_due:
            return None
        self._is_changed = False
        self._pushed_at = now
        self.version += 1
        return shares

    def take_acks(self, now: float) -> list[tuple[str, QuotaAck]]:
        """Return the acknowledgements that are due, with their receivers."""
        acks = []
        for vm, reporter in list(self._reporters_by_vm.items()):
            if reporter.is_unknown:
                del self._reporters_by_vm[vm]
                acks.append((vm, QuotaAck(self.shard, reporter.epoch, (), self.version)))
            elif reporter.seqs:
                shares = None if reporter.version == self.version else self.permille_by_id()
                # A daemon that knows of no shares has nothing to learn from none.  One that has
                # those of an earlier coordinator keeps them until the demand is known here.
                is_settled = now - self.since >= SETTLING_SECONDS
                if not shares and not (reporter.version and is_settled):
                    shares = None
                ack = QuotaAck(
                    self.shard, reporter.epoch, tuple(reporter.seqs), self.version, shares
                )
                reporter.seqs = []
                acks.append((vm, ack))
        return acks

    def _count(self, reporter: _Reporter, id_: bytes, counts: Counts, now: float) -> None:
        known = reporter.counts_by_id.get(id_, NOTHING)
        newer = tuple(max(pair) for pair in zip(known, counts, strict=True))
        admitted, credited, refused = (new - old for new, old in zip(newer, known, strict=True))
        reporter.counts_by_id[id_] = (newer[0], newer[1], newer[2])
        quota = self._quotas_by_id.get(id_)
        if quota is None:
            organisation = self.find(id_)
            if organisation is None:
                return
            quota = self._quotas_by_id[id_] = _Quota(
                organisation.name,
                organisation.rate_per_second,
                organisation.burst,
                Bucket(self.since),
                DemandMeter(self.interval_seconds),
            )
        quota.bucket.advance(now, self._limits(quota))
        quota.bucket.take(admitted - credited)
        quota.demand.record(now, admitted + refused)

    def _limits(self, quota: _Quota) -> Limits:
        reachable, known = self.fleet()
        return fleet_limits(quota.rate, quota.burst, self.bound, reachable, known)
