"""The daemon: one process beside each server, composed of its components.

Startup: bind all addresses first, so that an invalid one fails at once; then register and join the
fleet.  Calls are accepted from the first moment, and answered with "not run" until the
configuration has been received.

Planned stop: tell the other daemons and refuse new work, let all calls in progress end, stop
accepting connections, close.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, Final

import attrs
import zmq
from aiohttp import web
from expression import Error, Ok, Result
from mode import Service
from prometheus_client import CollectorRegistry

from kingcuppond.claims.attempts import AttemptTable
from kingcuppond.claims.coordinator import ClaimCoordinator, make_confirmed_era
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
from kingcuppond.ingress.counts import CallCounts
from kingcuppond.ingress.draining import StopPlan, start_grace_period, wait_until_drained
from kingcuppond.ingress.http_server import (
    STALL_TIMEOUT_SECONDS,
    has_unsent_bytes,
    listen,
    make_server,
    stop_accepting,
)
from kingcuppond.ingress.port import CallPort
from kingcuppond.ingress.ready import make_ready_handler
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.gossip import Gossip
from kingcuppond.membership.messages import Member, ServerState
from kingcuppond.membership.registration import Registration
from kingcuppond.operators.http_handler import make_handler
from kingcuppond.operators.messages import CountsPage, EventsPage
from kingcuppond.operators.status import read_status, register_gauges
from kingcuppond.pause import PauseGuard
from kingcuppond.peers.registry import TYPES_BY_TAG
from kingcuppond.peers.transport import PeerTransport, derive_keys
from kingcuppond.platform.store import PlatformStore
from kingcuppond.protocol import PROTOCOLS_BY_NAME
from kingcuppond.quarantine.suspects import SuspectTable
from kingcuppond.routing.budgets import WindowBudget
from kingcuppond.routing.choice import POLICY_FACTORIES_BY_NAME
from kingcuppond.routing.exchange import open_session
from kingcuppond.routing.router import Router
from kingcuppond.routing.sender import Sender
from kingcuppond.routing.split import TrafficSplitter
from kingcuppond.service import LoopService
from kingcuppond.settings.checks import split_address
from kingcuppond.settings.daemon import DaemonSettings
from kingcuppond.store.era import EraTracker

SILENCE_CHECK_INTERVAL_SECONDS: Final = 0.5
MAX_DEPARTURE_LOADS: Final = 3
DEPARTURE_RETRY_DELAY_SECONDS: Final = 0.2

INTRODUCTION_WAIT_SECONDS: Final = 3.0
"""Longer than a join through seeds, and then through the store, takes while both answer."""

INTRODUCTION_POLL_SECONDS: Final = 0.02


@attrs.frozen
class BindError:
    """An address of the settings can't be bound.

    :param key: key of the address in the settings
    """

    key: str
    address: str
    message: str


class Daemon(Service):
    """The components of one daemon.

    :param policy: name of the routing policy; policies other than the default are for the bench
    :param is_hedging: whether the router may hedge calls
    """

    def __init__(
        self,
        settings: DaemonSettings,
        fleet_key: bytes,
        clock: Clock | None = None,
        rng: Random | None = None,
        policy: str = "least-expected",
        is_hedging: bool = True,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock or Clock()
        self.rng = rng or Random()
        self.protocol = PROTOCOLS_BY_NAME[settings.protocol]
        self.journal = Journal(settings.vm, self.clock)
        self.log_writer = make_log_writer(self.clock.monotonic, self._record_dropped_lines)
        self.journal.log = self.log_writer.log
        self.registry = CollectorRegistry()
        self.configuration = Configuration(self.journal, self.protocol.format)
        self.suspects = SuspectTable(settings.vm, self.clock, self.journal)
        self.directory = Directory(self._make_member(), self.clock, self.journal)
        self.eras = EraTracker()
        self.eras.on_new_era.append(self._record_era)
        self.store = PlatformStore(settings.platform_address, self.eras)
        self._make_membership(fleet_key)
        self.session = open_session()
        self.fresh_session = open_session(reuses_connections=False)
        self._make_gate()
        self._make_routing(fleet_key, policy, is_hedging)
        self.pause_guard = PauseGuard(self.clock, self.journal, self._catch_up)
        self._make_ingress(fleet_key)
        self._last_id = 0
        self._caller_runner: web.ServerRunner | None = None
        self._runners: list[web.ServerRunner] = []
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
        for key, handler in self._handlers().items():
            address = getattr(settings, key)
            listening = await listen(make_server(handler), address)
            if listening.is_error():
                return Error(BindError(key, address, listening.error.strerror or "in use"))
            self._runners.append(listening.ok)
            if key == "caller_address":
                self._caller_runner = listening.ok
        return Ok(None)

    async def on_start(self) -> None:
        """Start all background loops; the addresses must be bound."""
        loops = {
            "registration": self.registration.run,
            "departure after a restore": self.departures.run,
            "silence": self._check_silence,
            "pause": self.pause_guard.run,
            "observer": self.gate.observer.run,
            "log": self.log_writer.run,
            "claims": self.claim_renewal.run,
            **self.watcher.loops(),
        }
        loops.update({loop.__name__: loop for loop in self.gossip.loops()})
        if self.gate.is_unconfirmed:
            loops["departures"] = self._load_departure
        for name, loop in loops.items():
            await self.add_runtime_dependency(LoopService(name, loop, self.journal))
        self.journal.record(
            catalogue.DAEMON_STARTED,
            vm=self.settings.vm,
            data_centre=self.settings.data_centre,
        )

    async def drain(self) -> None:
        """Leave the fleet: refuse new work from other daemons, and wait for the calls in progress.

        Each call ends, since it has a deadline.  Only the settings bound the whole wait: without
        a limit, callers that keep sending calls are served for as long as they do.
        """
        self.journal.record(
            catalogue.DAEMON_LEAVING, vm=self.settings.vm, in_flight=self.port.in_progress
        )
        limit_seconds = self.settings.stop_limit_seconds
        self.port.grace = start_grace_period(self.clock.monotonic(), limit_seconds)
        self.directory.publish_own_change(is_leaving=True)
        self.gate.admission.process_queue()
        deregistration = asyncio.create_task(self.registration.deregister())
        plan = StopPlan(
            limit_seconds=limit_seconds,
            is_idle=lambda: self._has_ended_calls() and deregistration.done(),
            seconds_since_last_request=lambda: self.clock.monotonic() - self.port.last_request_at,
            stop_accepting=self._stop_accepting,
            now=self.clock.monotonic,
        )
        # Nothing may be awaited after this: a call that arrived meanwhile would be given up.
        await wait_until_drained(plan)
        deregistration.cancel()

    async def on_stop(self) -> None:
        """Close everything."""
        self.journal.record(
            catalogue.DAEMON_DRAINED, vm=self.settings.vm, in_flight=self.port.in_progress
        )
        await self.port.close()
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))
        self.claim_coordinator.stop()
        self.gossip.stop()
        await self.transport.close()
        await self.session.close()
        await self.fresh_session.close()
        await self.store.close()
        self.journal.record(catalogue.DAEMON_STOPPED, vm=self.settings.vm)
        self.log_writer.stream.flush_lines()

    def apply_settings(self, settings: DaemonSettings) -> None:
        """Apply the settings that can change while the daemon runs."""
        self.settings = settings
        self.gate.server_timeout_seconds = settings.server_silent_ms / 1000
        self.gate.suspect_delay_seconds = settings.suspect_hold_ms / 1000
        self.watcher.wait_ms = settings.watch_wait_ms
        self.router.detour_seconds = settings.detour_ms / 1000
        self.router.fleet_retries = settings.fleet_retries
        self.server_port.configured_server = self._configured_server()
        self.port.service = settings.service
        if settings.service != self.directory.me.service:
            self.directory.publish_own_change(service=settings.service)

    def _make_membership(self, fleet_key: bytes) -> None:
        """Create the components for fleet membership and for access to the store."""
        settings = self.settings
        self.transport = PeerTransport(
            settings.vm,
            settings.peer_address,
            derive_keys(fleet_key),
            TYPES_BY_TAG,
            self.clock,
            self.journal,
        )
        self.gossip = Gossip(
            self.directory,
            self.configuration,
            self.suspects,
            self.transport,
            self.eras,
            self.clock,
            self.journal,
            self.rng,
        )
        self.watcher = Watcher(
            self.store,
            self.configuration,
            self.gossip,
            self.directory,
            self.clock,
            self.journal,
            self.rng,
            lambda: self.registration.has_contacted_members or self._is_first_start(),
            lambda: self.registration.has_contacted_members,
            not settings.is_first_start,
            settings.watch_wait_ms,
        )
        self.registration = Registration(
            self.store,
            self.directory,
            self.gossip,
            self.clock,
            self.journal,
            self.rng,
            self._seed_addresses(),
            self.watcher.has_rank,
        )
        self.eras.on_new_era.append(self.registration.on_new_era)

    def _is_first_start(self) -> bool:
        """Return whether the settings state the first start of the fleet, and the store agrees."""
        return self.settings.is_first_start and not self.registration.has_predecessor

    def _make_gate(self) -> None:
        """Create the gate and the port for the server beside this daemon."""
        may_have_run = not self.settings.is_first_start
        self.gate = Gate(
            self.directory,
            self.configuration,
            self.suspects,
            self.session,
            self.fresh_session,
            self.clock,
            self.journal,
            self.protocol.dialect,
            self.settings.server_silent_ms / 1000,
            self.settings.suspect_hold_ms / 1000,
            self._is_isolated,
            is_unconfirmed=may_have_run,
            is_departure_checked=not may_have_run,
        )
        self.configuration.on_change.append(self.gate.on_configuration_change)
        self.directory.on_earlier_incarnation.append(self._on_earlier_incarnation)
        self.departures = DepartureStore(
            self.settings.vm,
            self.store,
            self.journal,
            self.rng,
            self.gate.incarnations.is_superseded,
            lambda: self.directory.living_count,
        )
        self.eras.on_new_era.append(self.departures.on_new_era)
        self.server_port = ServerPort(
            self.gate, self.departures, self.protocol.decode_message, self._configured_server()
        )

    def _make_routing(self, fleet_key: bytes, policy: str, is_hedging: bool) -> None:
        """Create the components that route and send calls."""
        self.sender = Sender(
            self.directory,
            self.gate,
            self.session,
            fleet_key,
            self.clock,
            self.journal,
        )
        self.router = Router(
            self.directory,
            self.configuration,
            self.sender,
            self.clock,
            self.journal,
            self.rng,
            self.next_id,
            self.settings.detour_ms / 1000,
            self.settings.fleet_retries,
            policy=POLICY_FACTORIES_BY_NAME[policy](),
            is_hedging=is_hedging,
            has_full_budgets=self.settings.is_first_start,
        )

    def _make_ingress(self, fleet_key: bytes) -> None:
        """Create the port for calls and the guard of their idempotency keys."""
        eras = self.eras
        self.claim_coordinator = ClaimCoordinator(
            self.store,
            eras,
            make_confirmed_era(self.directory, lambda: self.registration.has_contacted_members),
            self.clock,
            self.journal,
        )
        claim_peers = ClaimPeers(
            self.directory,
            self.transport,
            self.claim_coordinator,
            AttemptTable(),
            eras,
            self.clock,
        )
        self.claim_renewal = ClaimRenewal(
            self.directory, claim_peers, self.claim_coordinator, eras, self.clock, self.journal
        )
        self.guard = ClaimGuard(
            claim_peers,
            eras,
            self.clock,
            self.journal,
            self.router.run,
            self.next_id,
            self.pause_guard.wait_until_current,
        )
        self.report_budget = WindowBudget(
            lambda: self.configuration.budget.bytes_per_second, self.clock.monotonic
        )
        self.port = CallPort(
            self.settings.vm,
            self.settings.service,
            self.protocol.dialect,
            TrafficSplitter(self.rng).choose,
            self.configuration,
            self.gate,
            self.router,
            self.guard,
            self.suspects,
            CallCounts(self.registry),
            self.report_budget,
            fleet_key,
            self.clock,
            self.journal,
            self.next_id,
            self.pause_guard.wait_until_current,
        )

    def _handlers(self) -> dict[str, Callable[[web.BaseRequest], Any]]:
        """Return the handler of each address, by its key in the settings."""
        settings = self.settings
        pages: dict[str, Callable[[], Any]] = {
            "/v1/status": lambda: read_status(self),
            "/v1/events": lambda: EventsPage(settings.vm, list(self.journal.entries)),
            "/v1/counts": lambda: CountsPage(settings.vm, self.port.counts.read()),
        }
        handlers: dict[str, Callable[[web.BaseRequest], Any]] = {
            "server_address": self.server_port.handle,
            "metrics_address": make_handler(pages, self.registry),
        }
        if settings.ready_address:
            handlers["ready_address"] = make_ready_handler(self._is_ready)
        if settings.relay_address:
            handlers["relay_address"] = self.port.handle_relay
            handlers["caller_address"] = self.port.handle_caller
        else:
            handlers["caller_address"] = self.port.handle
        return handlers

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

    def _configured_server(self) -> ConfiguredServer:
        return ConfiguredServer(self.settings.service, self.settings.application_address)

    def _seed_addresses(self) -> list[str]:
        """Return the peer addresses of the seeds' daemons; all VMs use the same peer port."""
        own_host, port = split_address(self.settings.peer_address)
        hosts = [split_address(seed)[0] for seed in self.settings.seeds]
        return [f"{host}:{port}" for host in hosts if host != own_host]

    def _is_ready(self) -> bool:
        return self.configuration.is_ready and not self.directory.me.is_leaving

    def _has_ended_calls(self) -> bool:
        """Return whether all calls have ended, and their callers have got the answers.

        A caller that stops reading delays a stop no longer than it delays a streamed answer.
        """
        if not self.port.is_idle:
            return False
        ended_seconds = self.clock.monotonic() - self.port.last_ended_at
        return ended_seconds > STALL_TIMEOUT_SECONDS or not any(
            has_unsent_bytes(runner) for runner in self._runners
        )

    async def _stop_accepting(self) -> None:
        if self._caller_runner is not None:
            await stop_accepting(self._caller_runner)

    async def _catch_up(self) -> bool:
        """Ask other daemons, or else the store, what changed; return whether any answered."""
        self.gate.rate_limiter.assume_window_full()
        is_answered, _ = await asyncio.gather(
            self.gossip.catch_up(), self.gate.check_server_again()
        )
        return is_answered or await self.watcher.read_all()

    def _is_isolated(self) -> bool:
        return self.watcher.is_isolated() or self.pause_guard.is_stale

    def _record_era(self, era: int) -> None:
        self.journal.record(catalogue.STORE_ERA, era=era)

    def _record_dropped_lines(self, count: int, kinds: str) -> None:
        self.journal.record(catalogue.LINES_DROPPED, count=count, kinds=kinds)

    def _on_earlier_incarnation(self, member: Member) -> None:
        if member.state is ServerState.DRAINING and member.instance:
            leaving = Incarnation(member.instance, member.born_ms)
            self.gate.mark_leaving(leaving)
            self.departures.remember(leaving)

    async def _load_departure(self) -> None:
        for _ in range(MAX_DEPARTURE_LOADS):
            loaded = await self.departures.load()
            if loaded.is_ok():
                if loaded.ok is not None:
                    self.gate.mark_leaving(loaded.ok)
                break
            await asyncio.sleep(DEPARTURE_RETRY_DELAY_SECONDS)
        await self._wait_for_introduction()
        self.gate.is_departure_checked = True
        self.gate.confirm_server()
        # The loop must not return: its service would start it again.
        await asyncio.Event().wait()

    async def _wait_for_introduction(self) -> None:
        # The store may have lost the departure, and the others know it. Their configuration can
        # arrive before the reply to the introduction.
        end = self.clock.monotonic() + INTRODUCTION_WAIT_SECONDS
        while not self.registration.has_contacted_members and self.clock.monotonic() < end:
            await asyncio.sleep(INTRODUCTION_POLL_SECONDS)

    async def _check_silence(self) -> None:
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_SECONDS)
            self.gate.expire_silent_server()
