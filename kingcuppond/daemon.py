"""The daemon: one process beside each server, composed of its components.

Startup: bind all addresses first, so that an invalid one fails at once; then register and join the
fleet.  Calls are accepted from the first moment, and answered with "not run" until the
configuration has been received.

Planned stop: ``drain`` leaves the fleet (see ``planned_stop.py``), ``on_stop`` closes everything.
"""

import asyncio
from random import Random
from typing import Final

import zmq
from expression import Error, Ok, Result
from mode import Service
from prometheus_client import CollectorRegistry

from kingcuppond.addresses import BindError, make_handlers, make_listeners
from kingcuppond.assembly import (
    assemble_gate,
    assemble_ingress,
    assemble_membership,
    assemble_routing,
)
from kingcuppond.claims.coordinator import ClaimCoordinator
from kingcuppond.claims.guard import ClaimGuard
from kingcuppond.claims.peers import ClaimPeers
from kingcuppond.claims.renewal import ClaimRenewal
from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.configuration.watcher import Watcher
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.events.log import make_log_writer
from kingcuppond.gate.announcements import ConfiguredServer
from kingcuppond.gate.departures import DepartureStore
from kingcuppond.gate.gate import Gate
from kingcuppond.gate.incarnation import Incarnation
from kingcuppond.gate.server_port import ServerPort
from kingcuppond.ingress.in_progress import RequestsInProgress
from kingcuppond.ingress.port import CallPort
from kingcuppond.loops import make_loops
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.gossip import Gossip
from kingcuppond.membership.messages import Member, ServerState
from kingcuppond.membership.registration import Registration
from kingcuppond.operators.status import register_gauges
from kingcuppond.organisations.guard import OrganisationGuard
from kingcuppond.organisations.identification import KeyPolicy
from kingcuppond.pause import PauseGuard
from kingcuppond.peers.transport import PeerTransport
from kingcuppond.planned_stop import begin_grace_period, leave_fleet
from kingcuppond.platform.store import PlatformStore
from kingcuppond.protocol import PROTOCOLS_BY_NAME, format_of
from kingcuppond.quarantine.holds import HoldStore
from kingcuppond.quarantine.suspects import SuspectTable
from kingcuppond.quotas.guard import QuotaGuard
from kingcuppond.quotas.loop import QuotaLoop
from kingcuppond.rollouts.factory import Rollouts
from kingcuppond.routing.budgets import WindowBudget
from kingcuppond.routing.exchange import open_session
from kingcuppond.routing.router import Router
from kingcuppond.routing.sender import Sender
from kingcuppond.service import LoopService
from kingcuppond.settings.checks import split_address
from kingcuppond.settings.daemon import DaemonSettings
from kingcuppond.settings_change import apply_settings
from kingcuppond.store.era import EraTracker

LONE_START_SECONDS: Final = 6.0
"""Longer than others take to register again after a restore, and this daemon to find them."""


class Daemon(Service):
    """The components of one daemon.

    :param policy: name of the routing policy; policies other than the default are for the bench
    :param is_hedging: whether the router may hedge calls
    :param process_started_at: start of the process on the monotonic clock; now by default
    """

    transport: PeerTransport
    gossip: Gossip
    holds: HoldStore
    watcher: Watcher
    registration: Registration
    gate: Gate
    departures: DepartureStore
    server_port: ServerPort
    sender: Sender
    router: Router
    rollouts: Rollouts | None
    claim_coordinator: ClaimCoordinator
    claim_peers: ClaimPeers
    claim_renewal: ClaimRenewal
    guard: ClaimGuard
    report_budget: WindowBudget
    organisations: OrganisationGuard
    quotas: QuotaGuard
    quota_loop: QuotaLoop
    requests: RequestsInProgress
    port: CallPort

    def __init__(
        self,
        settings: DaemonSettings,
        fleet_key: bytes,
        clock: Clock | None = None,
        rng: Random | None = None,
        policy: str = "least-expected",
        is_hedging: bool = True,
        process_started_at: float | None = None,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock or Clock()
        self._created_at = self.clock.monotonic()
        self.process_started_at = process_started_at
        self.rng = rng or Random()
        self.protocol = PROTOCOLS_BY_NAME[settings.protocol]
        self.journal = Journal(settings.vm, self.clock)
        self.log_writer = make_log_writer(self.clock.monotonic, self._record_dropped_lines)
        self.journal.log = self.log_writer.log
        self.registry = CollectorRegistry()
        self.configuration = Configuration(
            self.journal, format_of(self.protocol, settings.has_rollouts)
        )
        self.suspects = SuspectTable(settings.vm, self.clock, self.journal)
        self.directory = Directory(self._make_member(), self.clock, self.journal)
        self.eras = EraTracker()
        self.eras.on_new_era.append(self._record_era)
        self.store = PlatformStore(settings.platform_address, self.eras)
        assemble_membership(self, fleet_key)
        self.session = open_session()
        self.fresh_session = open_session(reuses_connections=False)
        assemble_gate(self)
        assemble_routing(self, fleet_key, policy, is_hedging)
        self.pause_guard = PauseGuard(self.clock, self.journal, self._catch_up)
        assemble_ingress(self, fleet_key)
        self.stop_requested = asyncio.Event()
        self._last_id = 0
        self.listeners = make_listeners(self)
        register_gauges(self)

    def next_id(self) -> str:
        """Generate the id of a new attempt, unique in the fleet and across restarts."""
        self._last_id += 1
        return f"{self.settings.vm}/{self.directory.me.incarnation}/{self._last_id}"

    async def bind(self) -> Result[None, BindError]:
        """Bind all addresses of the settings."""
        settings = self.settings
        try:
            await self.transport.start()
        except zmq.ZMQError as exc:
            return Error(BindError("peer_address", settings.peer_address, str(exc)))
        for key, handler in make_handlers(self).items():
            bound = await self.listeners.bind(key, getattr(settings, key), handler)
            if bound.is_error():
                return bound
        return Ok(None)

    async def on_start(self) -> None:
        """Start all background loops; the addresses must be bound."""
        for name, loop in make_loops(self).items():
            await self.add_runtime_dependency(LoopService(name, loop, self.journal))
        self.journal.record(
            catalogue.DAEMON_STARTED,
            vm=self.settings.vm,
            data_centre=self.settings.data_centre,
        )

    def request_stop(self) -> None:
        """Begin the grace period, and have ``stop_requested`` tell that the daemon is to stop."""
        begin_grace_period(self)
        self.stop_requested.set()

    async def drain(self) -> None:
        """Leave the fleet, and wait for the calls in progress."""
        await leave_fleet(self)

    async def on_stop(self) -> None:
        """Close everything."""
        self.journal.record(
            catalogue.DAEMON_DRAINED, vm=self.settings.vm, in_flight=self.requests.count
        )
        self.claim_peers.hand_over()
        await self.requests.close()
        await self.listeners.close()
        self.claim_coordinator.stop()
        self.quota_loop.stop()
        self.gossip.stop()
        if self.rollouts is not None:
            self.rollouts.decider.stop()
        await self.transport.close()
        await self.session.close()
        await self.fresh_session.close()
        await self.store.close()
        self.journal.record(catalogue.DAEMON_STOPPED, vm=self.settings.vm)
        self.log_writer.stream.flush_lines()

    def apply_settings(self, settings: DaemonSettings) -> None:
        """Apply the settings that can change while the daemon runs."""
        apply_settings(self, settings)

    def is_first_start(self) -> bool:
        """Return whether the settings state the first start of the fleet, and the store agrees."""
        return self.settings.is_first_start and not self.registration.has_predecessor

    async def read_holds(self) -> None:
        """Read the held requests from the store, unless there can't be any yet."""
        if not self.is_first_start():
            await self.holds.load()

    def _make_member(self) -> Member:
        settings = self.settings
        return Member(
            vm=settings.vm,
            data_centre=settings.data_centre,
            service=settings.service,
            relay_address=settings.relay_address or settings.caller_address,
            peer_address=settings.peer_address,
            metrics_address=settings.metrics_address,
            incarnation=self.clock.wall_ms(),
        )

    def configured_server(self) -> ConfiguredServer:
        """Return the server that the settings name."""
        return ConfiguredServer(self.settings.service, self.settings.application_address)

    def key_policy(self) -> KeyPolicy:
        """Return the settings that concern keys while this daemon is isolated."""
        return KeyPolicy(self.settings.fail_closed, self.settings.revoke_seconds)

    def seed_addresses(self) -> list[str]:
        """Return the peer addresses of the seeds' daemons; all VMs use the same peer port."""
        own_host, port = split_address(self.settings.peer_address)
        hosts = [split_address(seed)[0] for seed in self.settings.seeds]
        return [f"{host}:{port}" for host in hosts if host != own_host]

    async def _catch_up(self) -> bool:
        """Ask other daemons, or else the store, what changed; return whether any answered."""
        self.gate.rate_limiter.assume_window_full()
        is_answered, _ = await asyncio.gather(
            self.gossip.catch_up(), self.gate.check_server_again()
        )
        return is_answered or await self.watcher.read_all()

    def knows_members(self) -> bool:
        """Return whether the directory holds the other members, if there are any.

        A daemon that was restarted and finds no other one may only not see them: the store may have
        lost their registrations, or they are slow to answer.
        """
        if not self.registration.has_contacted_members:
            return False
        return (
            self.settings.is_first_start
            or self.directory.living_count > 1
            or self.clock.monotonic() - self._created_at > LONE_START_SECONDS
        )

    def is_isolated(self) -> bool:
        """Return whether this daemon is cut off from the fleet or has just been paused."""
        return self.watcher.is_isolated() or self.pause_guard.is_stale

    def _record_era(self, era: int) -> None:
        self.journal.record(catalogue.STORE_ERA, era=era)

    def _record_dropped_lines(self, count: int, kinds: str) -> None:
        self.journal.record(catalogue.LINES_DROPPED, count=count, kinds=kinds)

    def on_earlier_incarnation(self, member: Member) -> None:
        """Remember the departure that an earlier process of this daemon acknowledged."""
        if member.state is ServerState.DRAINING and member.instance:
            leaving = Incarnation(member.instance, member.born_ms)
            self.gate.mark_leaving(leaving)
            self.departures.remember(leaving)
