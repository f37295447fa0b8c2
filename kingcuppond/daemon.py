"""The daemon: one process beside each server, made of its duties.

The order of the start is: bind all addresses, so that a wrong one is refused at once; then
register and join; serve calls from the first moment, with a truthful "not run" until the
configuration is heard.

The order of a planned stop is: tell the others and refuse new work, let all that is in progress
end, stop accepting, close.
"""

import asyncio
from random import Random
from typing import Final

import attrs
import zmq
from aiohttp import web
from expression import Error, Ok, Result
from mode import Service
from prometheus_client import CollectorRegistry, Gauge

from kingcuppond.claims.guard import ClaimGuard
from kingcuppond.claims.home import ClaimHome
from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.configuration.watcher import Watcher
from kingcuppond.entry.counts import CallCounts
from kingcuppond.entry.http_server import (
    listen,
    make_server,
    problem_response,
    stop_accepting,
)
from kingcuppond.entry.port import CallPort
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.gate import announcements
from kingcuppond.gate.gate import Gate
from kingcuppond.harmful.suspects import SuspectTable
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.gossip import Gossip
from kingcuppond.membership.messages import Member
from kingcuppond.membership.registration import Registration
from kingcuppond.operators.messages import CountsPage, DaemonStatus, EventsPage, MemberStatus
from kingcuppond.operators.port import cpu_seconds, make_handler, resident_bytes
from kingcuppond.outcomes import NotRun, Reason
from kingcuppond.peers.registry import TYPES_BY_TAG
from kingcuppond.peers.transport import PeerTransport, derive_keys
from kingcuppond.routing.budgets import WindowBudget
from kingcuppond.routing.choice import POLICY_FACTORIES_BY_NAME
from kingcuppond.routing.exchange import open_session
from kingcuppond.routing.router import Router
from kingcuppond.service import LoopService
from kingcuppond.settings.daemon import DaemonSettings
from kingcuppond.store.client import Store

TOLD_SECONDS: Final = 0.5
DRAIN_CHECK_SECONDS: Final = 0.05
QUIET_SECONDS: Final = 0.5
SILENCE_CHECK_SECONDS: Final = 0.2


@attrs.frozen
class BindError:
    """An address of the settings can't be used."""

    key: str
    address: str
    message: str


class Daemon(Service):
    """All duties of one daemon.

    :param policy: name of the routing policy; others than the default are for the bench
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
        self.journal = Journal(settings.vm, self.clock)
        self.registry = CollectorRegistry()
        self.configuration = Configuration(self.journal)
        self.suspects = SuspectTable(settings.vm, self.clock, self.journal)
        self.directory = Directory(self._make_member(), self.clock, self.journal)
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
            self.clock,
            self.journal,
            self.rng,
        )
        self.store = Store(settings.platform_address)
        self.watcher = Watcher(
            self.store,
            self.configuration,
            self.gossip,
            self.directory,
            self.clock,
            self.journal,
            self.rng,
            lambda: self.registration.has_asked_others,
        )
        self.registration = Registration(
            self.store,
            self.directory,
            self.gossip,
            self.clock,
            self.journal,
            self.rng,
            lambda: self.watcher.is_watching,
        )
        self.session = open_session()
        self.gate = Gate(
            self.directory,
            self.configuration,
            self.suspects,
            self.session,
            self.clock,
            self.journal,
            self.watcher.is_isolated,
        )
        self.configuration.on_change.append(self.gate.admission.wake)
        self.router = Router(
            self.directory,
            self.configuration,
            self.gate,
            self.session,
            fleet_key,
            self.clock,
            self.journal,
            self.rng,
            self.next_id,
            policy=POLICY_FACTORIES_BY_NAME[policy](),
            is_hedging=is_hedging,
        )
        self.home = ClaimHome(self.store, self.clock, self.journal)
        self.guard = ClaimGuard(
            self.directory,
            self.transport,
            self.home,
            self.clock,
            self.journal,
            self.router.run,
            self.next_id,
        )
        self.measuring = WindowBudget(
            lambda: self.configuration.budget.bytes_per_second, self.clock.monotonic
        )
        self.port = CallPort(
            settings.vm,
            self.configuration,
            self.gate,
            self.router,
            self.guard,
            self.suspects,
            CallCounts(self.registry),
            self.measuring,
            fleet_key,
            self.clock,
            self.journal,
            self.next_id,
        )
        self._last_id = 0
        self._runners: list[web.ServerRunner] = []
        self._make_gauges()

    def next_id(self) -> str:
        """Make the id of a new attempt: unique over the fleet and for all time."""
        self._last_id += 1
        return f"{self.settings.vm}/{self.directory.me.incarnation}/{self._last_id}"

    async def bind(self) -> Result[None, BindError]:
        """Bind all addresses of the settings."""
        settings = self.settings
        try:
            await self.transport.start()
        except zmq.ZMQError as exc:
            return Error(BindError("peer_address", settings.peer_address, str(exc)))
        pages = {
            "/v1/status": self.status,
            "/v1/events": lambda: EventsPage(settings.vm, list(self.journal.entries)),
            "/v1/counts": lambda: CountsPage(settings.vm, self.port.counts.read()),
        }
        handlers = {
            "server_address": self._serve_server,
            "metrics_address": make_handler(pages, self.registry),
            "caller_address": self.port.handle,
        }
        for key, handler in handlers.items():
            address = getattr(settings, key)
            listening = await listen(make_server(handler), address)
            if listening.is_error():
                return Error(BindError(key, address, listening.error.strerror or "in use"))
            self._runners.append(listening.ok)
        return Ok(None)

    async def on_start(self) -> None:
        """Start all loops; the addresses must be bound."""
        loops = {
            "registration": self.registration.run,
            "watcher": self.watcher.run,
            "silence": self._check_silence,
        }
        loops.update({loop.__name__: loop for loop in self.gossip.tasks()})
        for name, loop in loops.items():
            await self.add_runtime_dependency(LoopService(name, loop, self.journal))
        self.journal.record(
            catalogue.DAEMON_STARTED,
            vm=self.settings.vm,
            data_centre=self.settings.data_centre,
        )

    async def drain(self) -> None:
        """Leave: take no new work, and wait until all that is in progress has ended.

        The wait is bounded, since every call has a deadline.
        """
        self.journal.record(
            catalogue.DAEMON_LEAVING, vm=self.settings.vm, in_flight=self.port.in_progress
        )
        self.directory.update_me(is_leaving=True)
        self.gate.admission.wake()
        await asyncio.sleep(TOLD_SECONDS)
        await self._wait_until_idle()
        await stop_accepting(self._runners[-1])
        # A connection that was accepted in the last moment may still bring a request.
        await asyncio.sleep(QUIET_SECONDS)
        await self._wait_until_idle()
        await self.registration.withdraw()

    async def on_stop(self) -> None:
        """Close everything."""
        for runner in reversed(self._runners):
            await runner.cleanup()
        self.home.stop()
        self.gossip.stop()
        await self.transport.close()
        await self.session.close()
        await self.store.close()
        self.journal.record(catalogue.DAEMON_STOPPED, vm=self.settings.vm)

    def status(self) -> DaemonStatus:
        """Return what this daemon sees."""
        me = self.directory.me
        admission = self.gate.admission
        return DaemonStatus(
            vm=me.vm,
            data_centre=me.data_centre,
            service=me.service,
            configuration_version=self.configuration.version,
            data_centres_out=sorted(self.configuration.data_centres_out),
            is_watching=self.watcher.is_watching,
            is_isolated=self.watcher.is_isolated(),
            server_state="leaving" if me.is_leaving else me.state.value,
            in_flight=admission.in_flight,
            waiting=admission.waiting,
            limit=self.gate.limit.limit,
            slots=self.gate.limit.slots,
            attempts=self.router.attempts,
            claim_commits=self.home.commits,
            control_bytes=self.transport.bytes_sent,
            control_messages=self.transport.messages_sent,
            measuring_bytes=int(self.measuring.spent),
            resident_bytes=resident_bytes(),
            cpu_seconds=cpu_seconds(),
            members=[
                MemberStatus(member, self._condition(member))
                for _, member in sorted(self.directory.members_by_vm.items())
            ],
            held=self.suspects.held(),
        )

    def _condition(self, member: Member) -> str:
        if self.directory.is_dead(member.vm):
            return "dead"
        return "suspected" if self.directory.is_suspected(member.vm) else "alive"

    def _make_member(self) -> Member:
        settings = self.settings
        return Member(
            vm=settings.vm,
            data_centre=settings.data_centre,
            service=settings.service,
            caller_address=settings.caller_address,
            peer_address=settings.peer_address,
            metrics_address=settings.metrics_address,
            incarnation=self.clock.wall_ms(),
        )

    async def _serve_server(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "PUT" or request.path != announcements.PATH:
            return announcements.problem(
                NotRun(Reason.BAD_REQUEST, f"only PUT {announcements.PATH} is answered here")
            )
        if (request.content_length or 0) > announcements.MAX_BYTES:
            return problem_response(NotRun(Reason.TOO_LARGE, "the announcement is too large"))
        body = await request.content.read(announcements.MAX_BYTES)
        parsed = announcements.parse(body, self.settings.service)
        if parsed.is_error():
            return announcements.problem(parsed.error)
        self.gate.announce(parsed.ok)
        return web.Response()

    async def _check_silence(self) -> None:
        while True:
            await asyncio.sleep(SILENCE_CHECK_SECONDS)
            self.gate.check_silence()

    async def _wait_until_idle(self) -> None:
        while not self.port.is_idle:
            await asyncio.sleep(DRAIN_CHECK_SECONDS)

    def _make_gauges(self) -> None:
        readings = {
            "gate_in_flight": ("Calls that the server runs now", lambda: self.gate.in_flight),
            "gate_limit": ("Calls that may run at once", lambda: self.gate.limit.limit),
            "gate_answered": ("Calls that the server answered", lambda: self.gate.answered),
            "gate_refused": ("Calls that the gate refused", lambda: self.gate.refused),
            "attempts": ("Attempts sent to servers", lambda: self.router.attempts),
            "claim_commits": ("Writes of claims to the store", lambda: self.home.commits),
            "control_bytes": ("Bytes of control sent", lambda: self.transport.bytes_sent),
            "measuring_bytes": ("Bytes of load reports sent", lambda: self.measuring.spent),
            "members": ("Members known", lambda: len(self.directory.members_by_vm)),
            "configuration_version": (
                "Newest version of the store heard of",
                lambda: self.configuration.version,
            ),
        }
        for name, (text, reading) in readings.items():
            gauge = Gauge(f"kingcuppond_{name}", text, registry=self.registry)
            gauge.set_function(reading)
