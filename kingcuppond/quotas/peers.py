"""What daemons tell each other about quotas: reports, acknowledgements and shares.

No message goes to all members, and none is sent while no organisation with a rate sends requests.
"""

from collections.abc import Callable
from typing import Any

from kingcuppond.membership.contacts import rendezvous_hash
from kingcuppond.organisations.organisation import Organisation
from kingcuppond.quotas.bucket import QuotaBound, fleet_limits
from kingcuppond.quotas.coordinator import RENEWAL_SECONDS, SHARES_SECONDS, ShardCoordinator
from kingcuppond.quotas.ledger import SILENT_INTERVALS, SILENT_SECONDS, ShardLink
from kingcuppond.quotas.members import SHARD_COUNT, Members, Roles
from kingcuppond.quotas.messages import QuotaAck, QuotaReport, QuotaShares
from kingcuppond.quotas.shares import INTERVAL_SECONDS, report_interval_seconds

Send = Callable[[str, Any], None]


class QuotaPeers:
    """One daemon's part in the quotas: its reports, and the shards that it coordinates.

    :param vm: name of this daemon's VM
    :param send: sends a message to another VM; it may be lost
    :param stamp_ms: returns a time in milliseconds that is larger after a restart of the daemon
    :param on_share: called with an organisation's name and share when it becomes limited or
        unlimited
    """

    def __init__(
        self,
        vm: str,
        members: Members,
        bound: QuotaBound,
        send: Send,
        stamp_ms: Callable[[], int],
        on_share: Callable[[str, float], None],
    ) -> None:
        self.bound = bound
        self.organisations_by_id: dict[bytes, Organisation] = {}
        self.links: list[ShardLink] = []
        self.coordinators_by_shard: dict[int, ShardCoordinator] = {}
        self._vm = vm
        self._roles = Roles(vm, members)
        self._send_remote = send
        self._stamp_ms = stamp_ms
        self._on_share = on_share
        self._next_report = 0.0
        self._is_divided = False
        self._scale = 1.0

    @property
    def known(self) -> int:
        """Number of members that this daemon knows, dead ones included."""
        return self._roles.known

    def set_bound(self, bound: QuotaBound) -> None:
        """Use another bound."""
        self.bound = bound
        for coordinator in self.coordinators_by_shard.values():
            coordinator.bound = bound

    def limited_count(self) -> int:
        """Return how many organisations this daemon limits as their coordinator."""
        return sum(len(it.permille_by_id()) for it in self.coordinators_by_shard.values())

    def is_tiny_part(self, organisation: Organisation) -> bool:
        """Return whether so few of the known members are reachable that all share no whole token.

        The first request at each of many such parts would be too many, so none is admitted before
        it is counted.
        """
        if not self._is_divided:
            return False
        limits = fleet_limits(
            organisation.rate_per_second,
            organisation.burst,
            self.bound,
            self._roles.reachable,
            self._roles.known,
        )
        return limits.capacity < 1.0

    def refresh(self, now: float) -> None:
        """Follow changes of the members."""
        if not self._roles.refresh():
            return
        self._is_divided = self._roles.reachable < self._roles.known
        self._scale = report_interval_seconds(self._roles.known) / INTERVAL_SECONDS
        if not self.links:
            # All daemons get the first rate at the same time; reports that all arrive together
            # would look like a surge.
            phase = rendezvous_hash("quota-phase", self._vm)[0] / 256
            self._next_report = now + INTERVAL_SECONDS * self._scale * phase
        for shard in range(SHARD_COUNT):
            coordinator = self._roles.coordinator(shard)
            if len(self.links) == shard:
                self.links.append(ShardLink(shard, coordinator))
                self.links[shard].begin_epoch(coordinator, self._stamp_ms())
                is_new = True
            else:
                is_new = self.links[shard].coordinator != coordinator
                if is_new:
                    self.links[shard].begin_epoch(coordinator, self._stamp_ms())
            self.links[shard].silent_seconds = max(
                SILENT_SECONDS, SILENT_INTERVALS * INTERVAL_SECONDS * self._scale
            )
            if is_new and coordinator == self._vm:
                self.coordinators_by_shard[shard] = self._make_coordinator(shard, now)

    def tick(self, now: float) -> None:
        """Send what is due."""
        self.refresh(now)
        if now >= self._next_report:
            self._next_report = now + INTERVAL_SECONDS * self._scale
            for link in self.links:
                report = link.make_report(now) if link.has_news else None
                if report is not None:
                    self._send(link.coordinator, report, now)
        for shard, coordinator in list(self.coordinators_by_shard.items()):
            self._coordinate(shard, coordinator, now)

    def on_message(self, sender: str, message: Any, now: float) -> None:
        """Handle a message of another daemon, or of this one."""
        if not 0 <= message.shard < SHARD_COUNT:
            return
        self.refresh(now)
        link = self.links[message.shard]
        match message:
            case QuotaReport(shard=shard):
                coordinator = self.coordinators_by_shard.get(shard)
                if coordinator is None:
                    # The sender sees other members than this daemon.
                    coordinator = self._make_coordinator(shard, now)
                    self.coordinators_by_shard[shard] = coordinator
                coordinator.on_report(sender, message, now)
            case QuotaAck():
                link.on_ack(sender, message, now, self._shares_until(now))
            case QuotaShares():
                self._on_shares(link, message, now)

    def _coordinate(self, shard: int, coordinator: ShardCoordinator, now: float) -> None:
        coordinator.update(now)
        if self.links[shard].coordinator == self._vm:
            shares = coordinator.take_shares(now, RENEWAL_SECONDS * self._scale)
            if shares is not None:
                message = QuotaShares(shard, self._vm, coordinator.version, shares)
                self._on_shares(self.links[shard], message, now)
        elif not coordinator.has_reporters:
            del self.coordinators_by_shard[shard]
        for vm, ack in coordinator.take_acks(now):
            self._send(vm, ack, now)

    def _on_shares(self, link: ShardLink, message: QuotaShares, now: float) -> None:
        is_newer = link.set_shares(
            message.coordinator, message.version, message.permille_by_id, self._shares_until(now)
        )
        if is_newer:
            for vm in self._roles.receivers(message.coordinator):
                self._send(vm, message, now)

    def _shares_until(self, now: float) -> float:
        return now + SHARES_SECONDS * self._scale

    def _send(self, vm: str, message: Any, now: float) -> None:
        if vm == self._vm:
            self.on_message(vm, message, now)
        else:
            self._send_remote(vm, message)

    def _make_coordinator(self, shard: int, now: float) -> ShardCoordinator:
        return ShardCoordinator(
            shard,
            self.bound,
            self.organisations_by_id.get,
            lambda: (self._roles.reachable, self._roles.known),
            self._on_share,
            INTERVAL_SECONDS * self._scale,
            since=now,
            version=self._stamp_ms(),
        )
