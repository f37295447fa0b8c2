"""Sends and receives the messages about quotas, from the first organisation with a rate on."""

import asyncio
from random import Random
from typing import Any, Final

import attrs
from prometheus_client import CollectorRegistry, Counter, Gauge

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.peers.transport import PeerTransport
from kingcuppond.quotas.bucket import QuotaBound
from kingcuppond.quotas.guard import QuotaGuard
from kingcuppond.quotas.members import DirectoryMembers
from kingcuppond.quotas.messages import QuotaAck, QuotaReport, QuotaShares
from kingcuppond.quotas.peers import QuotaPeers

LOOP_SECONDS: Final = 0.05
"""A surge is noticed sooner if coordinators act between two reports of a daemon."""

RESTART_DELAY_SECONDS: Final = 0.5
MAX_LABELS: Final = 256
OTHER_LABEL: Final = "other"


@attrs.define
class QuotaCounts:
    """The metrics of the quotas.

    :param refused: requests that were refused, by organisation
    :param limited: organisations that this daemon limits as their coordinator
    """

    registry: CollectorRegistry
    refused: Counter = attrs.field(init=False)
    limited: Gauge = attrs.field(init=False)
    _counters_by_name: dict[str, Counter] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.refused = Counter(
            "kingcuppond_quota_refused",
            "Requests over the quota of their organisation",
            ["organisation"],
            registry=self.registry,
        )
        self.limited = Gauge(
            "kingcuppond_quota_limited",
            "Organisations over their quota that this daemon coordinates",
            registry=self.registry,
        )

    def count_refused(self, name: str) -> None:
        """Count a refused request; organisations beyond the first ones share a label."""
        counter = self._counters_by_name.get(name)
        if counter is None:
            is_full = len(self._counters_by_name) >= MAX_LABELS - 1
            label = OTHER_LABEL if is_full else name
            counter = self.refused.labels(label)
            if not is_full:
                self._counters_by_name[name] = counter
        counter.inc()


@attrs.define
class QuotaLoop:
    """Runs the quotas of a daemon; there is no task before an organisation has a rate."""

    peers: QuotaPeers
    clock: Clock
    journal: Journal
    _task: "asyncio.Task[None] | None" = None

    def start(self) -> None:
        """Start the loop if it does not run yet."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop the loop."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def on_message(self, sender: str, message: Any) -> None:
        """Handle a message of another daemon."""
        self.peers.on_message(sender, message, self.clock.monotonic())

    async def _run(self) -> None:
        while self.peers.organisations_by_id:
            try:
                self.peers.tick(self.clock.monotonic())
                await asyncio.sleep(LOOP_SECONDS)
            except Exception as exc:
                self.journal.record(catalogue.TASK_FAILED, task="quotas", error=repr(exc))
                await asyncio.sleep(RESTART_DELAY_SECONDS)
        self._task = None


def make_quotas(
    bound: QuotaBound,
    configuration: Configuration,
    directory: Directory,
    transport: PeerTransport,
    clock: Clock,
    journal: Journal,
    rng: Random,
    registry: CollectorRegistry,
) -> tuple[QuotaGuard, QuotaLoop]:
    """Make the guard that admits requests, and the loop that connects it to other daemons."""
    counts = QuotaCounts(registry)

    def send(vm: str, message: Any) -> None:
        member = directory.members_by_vm.get(vm)
        if member is not None:
            transport.tell(member.peer_address, message)

    def on_share(name: str, share: float) -> None:
        if share < 1.0:
            event = catalogue.ORGANISATION_LIMITED
            journal.record(event, organisation=name, percent=round(share * 100))
        else:
            journal.record(catalogue.ORGANISATION_UNLIMITED, organisation=name)

    peers = QuotaPeers(
        directory.me.vm, DirectoryMembers(directory), bound, send, clock.fleet_ms, on_share
    )
    loop = QuotaLoop(peers, clock, journal)
    guard = QuotaGuard(configuration, peers, clock.monotonic, rng, counts.count_refused, loop.start)
    counts.limited.set_function(peers.limited_count)
    configuration.on_change.append(guard.on_configuration_change)
    for type_ in (QuotaReport, QuotaAck, QuotaShares):
        transport.handlers_by_type[type_] = loop.on_message
    return guard, loop
