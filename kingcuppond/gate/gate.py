"""The gate of a daemon's own server.

The gate counts the calls in flight, so its view of its server is exact.  The hard limits are
enforced here and nowhere else: the concurrency limit; only as much work as a cold server can take;
and no work once the server is draining or its data centre is out of service, or while this daemon
is leaving or cut off from the fleet.  A refusal by the gate is a reliable "not run", and the sender
tries another server.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
import attrs
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.objects import ServiceProperties
from kingcuppond.configuration.replica import Configuration
from kingcuppond.dialect import Dialect, ServerReport
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.gate.admission import Admission, Ticket
from kingcuppond.gate.announcements import Announcement
from kingcuppond.gate.call_ids import RecentCallIds
from kingcuppond.gate.call_outcomes import CallOutcomes
from kingcuppond.gate.cold_rate_limiter import ColdRateLimiter
from kingcuppond.gate.concurrency_limit import ConcurrencyLimit
from kingcuppond.gate.deadline_check import DeadlineCheck
from kingcuppond.gate.incarnation import Incarnation, IncarnationTracker
from kingcuppond.gate.observer import ServerObserver
from kingcuppond.gate.server_client import ServerClient, track_stream
from kingcuppond.gate.trials import Trials
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import ServerState
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.quarantine.suspects import SuspectTable
from kingcuppond.routing.call import Answer, Call
from kingcuppond.routing.view import GateReport
from kingcuppond.typical_latency import TypicalLatencies


@attrs.define
class Gate:
    """Admits calls to the local server and tracks its state.

    :param session: reuses its connections
    :param fresh_session: opens a connection for each call
    :param server_timeout_seconds: a server that reports nothing for this long is considered absent
    :param suspect_delay_seconds: how long the failure of a call that may have taken the server down
        is delayed, so that all daemons know of the suspect first; 0 disables the delay
    :param is_isolated: returns whether this daemon is cut off from the fleet
    :param is_unconfirmed: the server may have told an earlier process that it is leaving, so it
        gets no calls until it has announced itself and given a healthy answer
    :param is_departure_checked: whether this process has looked up in the store if an earlier one
        recorded a departure
    :param states_version: whether other daemons need to know the version of the server
    """

    directory: Directory
    configuration: Configuration
    suspects: SuspectTable
    session: aiohttp.ClientSession
    fresh_session: aiohttp.ClientSession
    clock: Clock
    journal: Journal
    dialect: Dialect
    server_timeout_seconds: float
    suspect_delay_seconds: float
    is_isolated: Callable[[], bool]
    is_unconfirmed: bool = False
    is_departure_checked: bool = True
    states_version: bool = False
    address: str = ""
    last_heard_at: float = 0.0
    limit: ConcurrencyLimit = attrs.field(factory=ConcurrencyLimit)
    incarnations: IncarnationTracker = attrs.field(factory=IncarnationTracker)
    typical_latencies: TypicalLatencies = attrs.field(factory=TypicalLatencies)
    rate_limiter: ColdRateLimiter = attrs.field(init=False)
    admission: Admission = attrs.field(init=False)
    observer: ServerObserver = attrs.field(init=False)
    deadline_check: DeadlineCheck = attrs.field(init=False)
    trials: Trials = attrs.field(init=False)
    outcomes: CallOutcomes = attrs.field(init=False)
    _version: str = ""
    _announced_version: str = ""
    _was_out_of_service: bool = False
    _call_ids: RecentCallIds = attrs.field(init=False)
    _client: ServerClient = attrs.field(init=False)
    _background_tasks: set["asyncio.Task[Any]"] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        now = self.clock.monotonic
        self.rate_limiter = ColdRateLimiter(
            lambda: self._service_properties().cold_requests_per_second, now
        )
        if self.is_unconfirmed:
            self.rate_limiter.assume_window_full()
            self.rate_limiter.is_assumed_cold = True
        self.admission = Admission(self.limit, self.refusal, now, self.rate_limiter)
        self.observer = ServerObserver(
            self.session,
            self.dialect.parse_server_report,
            lambda: self._service_properties().health_path,
            self.clock,
            self.journal,
            self._apply_self_report,
            self.rate_limiter,
        )
        self._client = ServerClient(
            self.directory.me.vm,
            self.session,
            self.fresh_session,
            self.dialect,
            lambda: self.address,
            lambda: self.incarnations.current.id,
            self.observer.record_report,
        )
        self.trials = Trials(self.suspects)
        self._call_ids = RecentCallIds(now)
        self.deadline_check = DeadlineCheck(
            self.directory.me.vm, self.admission, self.observer, self.typical_latencies
        )
        self.outcomes = CallOutcomes(
            self.admission,
            self.observer,
            self.typical_latencies,
            self.suspects,
            self.configuration,
            self.clock,
            self.journal,
            lambda: self.address,
            lambda: self.suspect_delay_seconds,
            self._mark_server_gone,
            lambda: self._announced_version,
        )

    @property
    def in_flight(self) -> int:
        """Number of calls that the server is running."""
        return self.admission.in_flight

    @property
    def answered(self) -> int:
        """Number of calls that the server answered."""
        return self.outcomes.answered

    @property
    def refused_by_reason(self) -> dict[Reason, int]:
        """Number of calls that the gate refused, by reason."""
        return self.outcomes.refused_by_reason

    def report(self, begun_slowdown: float = 1.0) -> GateReport:
        """Return the load report for other daemons.

        :param begun_slowdown: slowdown at the start of the call whose answer carries the report
        """
        load = (
            self.admission.in_flight
            + self.admission.waiting
            + self.deadline_check.waiting_for_speed
        )
        return GateReport(load, self.limit.limit, self.observer.slowdown, begun_slowdown)

    def refusal(self) -> NotRun | None:
        """Return why no call may run at the server now, or ``None``."""
        me = self.directory.me
        if not self.configuration.is_ready:
            return NotRun(Reason.NOT_READY, "this daemon has not received the configuration yet")
        if me.is_leaving:
            return NotRun(Reason.LEAVING, f"{me.vm} is leaving")
        if me.state is ServerState.DRAINING:
            return NotRun(Reason.LEAVING, f"the server on {me.vm} is draining")
        if me.state is ServerState.ABSENT:
            return NotRun(Reason.NO_SERVER, f"no server is announcing itself on {me.vm}")
        if self.is_unconfirmed:
            return NotRun(Reason.NO_SERVER, f"the server on {me.vm} is not confirmed yet")
        if self.configuration.is_out(me.data_centre):
            return NotRun(Reason.DATA_CENTRE_OUT, f"{me.data_centre} is out of service")
        if self.is_isolated():
            return NotRun(
                Reason.ISOLATED, f"{me.vm} has heard from neither the store nor most members lately"
            )
        return None

    def handle_announcement(self, announcement: Announcement) -> bool:
        """Apply an announcement of the server, unless it is stale.

        :return: false if it may be that of another incarnation, and so binds nobody
        """
        before, old = self.incarnations.current, self.directory.me.state
        if not self.incarnations.accept(announcement, old is ServerState.ABSENT):
            self.journal.record(catalogue.ANNOUNCEMENT_STALE, instance=announcement.instance)
            return not self.incarnations.is_earlier(announcement)
        self.last_heard_at = self.clock.monotonic()
        is_new = (
            announcement.address != self.address
            or self.incarnations.current != before
            or old is ServerState.ABSENT
            or self._version_of(announcement) != self.directory.me.server_version
        )
        self._version = self._version_of(announcement)
        self._announced_version = announcement.version
        self.address = self.observer.address = announcement.address
        new = ServerState(announcement.state)
        if new is ServerState.DRAINING:
            self.incarnations.mark_leaving(self.incarnations.current)
        elif self.incarnations.is_current_leaving:
            new = ServerState.DRAINING
        is_cold = new is ServerState.COLD
        self._apply_announced_capacity(
            announcement, is_new or (is_cold and old is not ServerState.COLD)
        )
        if is_new or self.is_unconfirmed:
            self.observer.clear()
            self._run_in_background(self.observer.refresh())
        if new is not old or is_new:
            self._set_state(new)
        return True

    def _version_of(self, announcement: Announcement) -> str:
        return announcement.version if self.states_version else ""

    def handle_withdrawal(self, instance: str) -> Incarnation:
        """Mark an incarnation of the server as leaving, and return it."""
        leaving = self.incarnations.resolve(instance)
        self.incarnations.mark_leaving(leaving)
        if leaving == self.incarnations.current:
            self._set_state(ServerState.DRAINING)
        return leaving

    def mark_leaving(self, leaving: Incarnation) -> None:
        """Mark an incarnation as leaving that an earlier process of this daemon saw leaving."""
        self.incarnations.mark_leaving(leaving)
        state = self.directory.me.state
        if self.incarnations.is_current_leaving and state in (ServerState.COLD, ServerState.WARM):
            self._set_state(ServerState.DRAINING)

    def expire_silent_server(self) -> None:
        """Mark a server as absent that has sent no announcement or load within the timeout."""
        if self.clock.monotonic() - self.last_heard_at > self.server_timeout_seconds:
            self._mark_server_gone()

    def on_configuration_change(self) -> None:
        """Apply a change of the configuration."""
        is_out = self.configuration.is_out(self.directory.me.data_centre)
        if self._was_out_of_service and not is_out:
            # A server that was idle while its data centre was out may be cold.
            self._run_in_background(self.check_server_again())
        self._was_out_of_service = is_out
        self.confirm_server()
        self.admission.process_queue()

    def confirm_server(self) -> None:
        """Query an unconfirmed server, once what the query needs is known."""
        if self.is_unconfirmed and self.is_departure_checked and self.address:
            self.observer.clear()
            self._run_in_background(self.observer.refresh())

    async def check_server_again(self) -> None:
        """Assume that the server is cold until it has been queried."""
        self.rate_limiter.is_assumed_cold = bool(self._service_properties().health_path)
        self.observer.clear()
        await self.observer.refresh()

    async def run(self, call: Call) -> Result[Answer, Failure]:
        """Run a call at the server.

        The code that receives the answer must call its ``close``.
        """
        if not self._call_ids.remember(call.id):
            return Error(Unknown(Reason.DUPLICATE, f"call {call.id} was already received"))
        return await self.trials.run(call, self.refusal, self._run_unless_refused)

    async def _run_unless_refused(self, call: Call) -> Result[Answer, Failure]:
        refusal = self.refusal()
        if refusal is None:
            await self.observer.refresh()
            refusal = await self.deadline_check.wait_for_speed(
                call
            ) or self.deadline_check.refuse_late(call)
        if refusal is not None:
            return Error(self.outcomes.record_refusal(call, refusal))
        refusal = self.outcomes.share.take()
        if refusal is not None:
            return Error(self.outcomes.record_refusal(call, refusal))
        result = await self._admit(call)
        if result.is_error() and isinstance(result.error, NotRun):
            self.outcomes.share.give_back()
        return result

    async def _admit(self, call: Call) -> Result[Answer, Failure]:
        try:
            admitted = await self.admission.acquire(
                call.class_name,
                call.deadline,
                call.is_on_trial,
                call.priority,
                self.deadline_check.queue_timeout_seconds(call),
                self.deadline_check.standing(call),
            )
        except BaseException:
            self.outcomes.share.give_back()
            raise
        if admitted.is_error():
            return Error(self.outcomes.record_refusal(call, admitted.error))
        return await self._run_admitted(call, admitted.ok)

    async def _run_admitted(self, call: Call, ticket: Ticket) -> Result[Answer, Failure]:
        started = self.clock.monotonic()
        slowdown = self.observer.slowdown
        self.outcomes.share.record_start(call.id, call.class_name, slowdown)
        try:
            result = await self._client.send(call)
        except BaseException:
            self.outcomes.release(call, ticket)
            raise
        if result.is_error():
            await self.outcomes.record_failure(call, ticket, result.error, started)
            return result
        answer = attrs.evolve(result.ok, begun_slowdown=slowdown)
        if answer.chunks is None:
            self.outcomes.record_answer(call, ticket, answer, started)
            self.outcomes.release(call, ticket)
            return Ok(answer)
        # The call stays in flight until its streamed answer has ended.
        return Ok(
            track_stream(
                answer,
                on_end=lambda: self.outcomes.record_answer(call, ticket, answer, started),
                on_lost=lambda failure: self.outcomes.record_failure(
                    call, ticket, failure, started
                ),
                on_close=lambda: self.outcomes.release(call, ticket),
            )
        )

    def _apply_announced_capacity(self, announcement: Announcement, is_reset_needed: bool) -> None:
        self.limit.is_adaptive = announcement.cold_ms is None
        if announcement.load.slots > 0:
            self.limit.set_slots(announcement.load.slots)
        self.limit.is_reported_cold = announcement.state == "cold"
        if announcement.cold_ms is not None:
            self.rate_limiter.set_cold_ms(announcement.cold_ms)
        if is_reset_needed:
            self.limit.reset()

    def _apply_self_report(self, self_report: ServerReport, is_healthy: bool) -> None:
        """Apply the self-report that the server sent with an answer."""
        current = self.incarnations.current.id
        if self_report.instance and current and self_report.instance != current:
            self._mark_server_gone()
            return
        if self_report.load is not None:
            self.last_heard_at = self.clock.monotonic()
        if self_report.cold_ms is not None:
            self.rate_limiter.set_cold_ms(self_report.cold_ms)
        if not (is_healthy and self_report.instance and self_report.instance == current):
            return
        if self.is_unconfirmed and self.is_departure_checked:
            self.is_unconfirmed = False
            self.journal.record(catalogue.SERVER_CONFIRMED, instance=current)
        if self.directory.me.state is ServerState.ABSENT:
            is_current_leaving = self.incarnations.is_current_leaving
            self._set_state(ServerState.DRAINING if is_current_leaving else ServerState.WARM)

    def _set_state(self, state: ServerState) -> None:
        event = catalogue.SERVER_ANNOUNCED
        if state is ServerState.DRAINING:
            event = catalogue.SERVER_DRAINING
        self.journal.record(event, address=self.address, state=state.value)
        current = self.incarnations.current
        self.directory.publish_own_change(
            state=state,
            instance=current.id,
            born_ms=current.born_ms,
            server_version=self._version,
        )
        self.admission.process_queue()

    def _mark_server_gone(self) -> None:
        if self.directory.me.state is ServerState.ABSENT:
            return
        self.journal.record(catalogue.SERVER_SILENT, address=self.address)
        self.directory.publish_own_change(state=ServerState.ABSENT)
        self.limit.reset()
        self.observer.clear()
        self.admission.process_queue()

    def _service_properties(self) -> ServiceProperties:
        service = self.directory.me.service
        return self.configuration.services_by_name.get(service) or ServiceProperties(service)

    def _run_in_background(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
