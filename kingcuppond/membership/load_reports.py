"""Collects the load of the gates of one data centre and service, and adds it up.

The living member with the first rendezvous hash of the service's name adds up, so that the others
send one message to one daemon.  They send less often where there are many of them.  Nothing is sent
for a service that no daemon routes calls to.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

from kingcuppond.clock import Clock
from kingcuppond.membership.contacts import rendezvous_hash
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import ServerLoad
from kingcuppond.membership.summaries import SummaryTable
from kingcuppond.peers.transport import PeerTransport

REPORT_INTERVAL_SECONDS: Final = 0.5
MAX_REPORTS_PER_SECOND: Final = 40
"""Messages that the daemon that adds up receives."""

MISSED_REPORTS: Final = 2.5
"""A report counts for this many intervals, so that one lost message changes no sum."""

REFUSED_WINDOW_SECONDS: Final = 1.0


@attrs.frozen
class GateLoad:
    """The load of one gate.

    :param slots: calls that may run at once, those of a slow server only in part; 0 while none may
    :param load: calls that run or wait
    :param refused: calls refused as full since the start of the process
    """

    slots: float
    load: int
    refused: int


@attrs.define
class LoadCollector:
    """Reports the load of this daemon's gate, or adds up the loads of its data centre.

    :param read_load: reads the load of this daemon's gate
    """

    directory: Directory
    transport: PeerTransport
    table: SummaryTable
    clock: Clock
    read_load: Callable[[], GateLoad]
    _refused: deque[tuple[float, int]] = attrs.field(factory=deque)
    _reports_by_vm: dict[str, tuple[float, ServerLoad]] = attrs.field(factory=dict)
    _collector_key: tuple[int, str] = (-1, "")
    _collector: str = ""
    _servers: int = 1

    def __attrs_post_init__(self) -> None:
        self.transport.handlers_by_type[ServerLoad] = self._on_report

    async def collect_load(self) -> None:
        """Report or add up, forever."""
        while True:
            await asyncio.sleep(self.interval_seconds())
            self.step()

    def interval_seconds(self) -> float:
        """Return the time between two reports of this daemon."""
        self._choose_collector()
        return max(REPORT_INTERVAL_SECONDS, self._servers / MAX_REPORTS_PER_SECOND)

    def step(self) -> None:
        """Report once to the daemon that adds up, or add up if that is this daemon."""
        now = self.clock.monotonic()
        me = self.directory.me
        if not self.table.is_needed(me.service, now):
            return
        self._choose_collector()
        report = self._make_report(now)
        if self._collector != me.vm:
            address = self.directory.members_by_vm[self._collector].peer_address
            self.transport.tell(address, report)
            return
        self._reports_by_vm[me.vm] = (now, report)
        self._add_up(now)

    async def _on_report(self, sender: str, report: ServerLoad) -> None:
        now = self.clock.monotonic()
        if sender in self.directory.members_by_vm:
            self._reports_by_vm[sender] = (now, report)
        # Otherwise a daemon that routes no calls would not know that the service is needed.
        self.table.record_need(report.service, now - report.need_age)

    def _make_report(self, now: float) -> ServerLoad:
        load = self.read_load()
        self._refused.append((now, load.refused))
        # After a pause of the reports, the count from before it would tell nothing of this second.
        oldest = now - REFUSED_WINDOW_SECONDS - self.interval_seconds()
        while self._refused[0][0] < oldest:
            self._refused.popleft()
        counted_since, count = self._refused[0]
        seconds = max(REFUSED_WINDOW_SECONDS, now - counted_since)
        refused = round((load.refused - count) / seconds)
        service = self.directory.me.service
        need_age = self.table.need_age_seconds(service, now)
        return ServerLoad(service, round(load.slots * 10), load.load, refused, need_age)

    def _add_up(self, now: float) -> None:
        oldest = now - MISSED_REPORTS * self.interval_seconds()
        for vm, (received_at, _) in list(self._reports_by_vm.items()):
            if received_at < oldest:
                del self._reports_by_vm[vm]
        service = self.directory.me.service
        reports = [it for _, it in self._reports_by_vm.values() if it.service == service]
        slots = round(sum(it.slots_tenths for it in reports) / 10)
        load, refused = sum(it.load for it in reports), sum(it.refused for it in reports)
        self.table.publish(service, slots, load, refused, now)

    def _choose_collector(self) -> None:
        me = self.directory.me
        if self._collector_key == (self.directory.generation, me.service):
            return
        self._collector_key = (self.directory.generation, me.service)
        living = [
            vm
            for vm, member in self.directory.members_by_service.get(me.service, {}).items()
            if member.data_centre == me.data_centre and not self.directory.is_suspected(vm)
        ]
        self._servers = max(1, len(living))
        salt = f"load/{me.service}"
        self._collector = min(living, key=lambda vm: rendezvous_hash(salt, vm), default=me.vm)
