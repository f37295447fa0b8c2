"""The gate of a daemon's own server.

The gate counts the calls in flight, so its view of its server is exact.  The hard limits are
enforced here and nowhere else: the concurrency limit; only as much work as a cold server can take;
and no work once the server is draining or its data centre is out of service, or while this daemon
is leaving or cut off from the fleet.  A refusal by the gate is a reliable "not run", and the sender
tries another server.
"""

import asyncio
import math
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
from kingcuppond.gate.cold_rate_limiter import ColdRateLimiter
from kingcuppond.gate.concurrency_limit import ConcurrencyLimit
from kingcuppond.gate.deadline_check import DeadlineCheck
from kingcuppond.gate.incarnation import Incarnation, IncarnationTracker
from kingcuppond.gate.observer import ServerObserver
from kingcuppond.gate.server_client import ServerClient, track_stream
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import ServerState
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.quarantine.messages import QuarantineLevel
from kingcuppond.quarantine.suspects import SuspectTable
from kingcuppond.routing.call import Answer, Call
from kingcuppond.routing.exchange import is_not_listening
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
    address: str = ""
    last_heard_at: float = 0.0
    answered: int = 0
    refused_by_reason: dict[Reason, int] = attrs.field(factory=dict)
    limit: ConcurrencyLimit = attrs.field(factory=ConcurrencyLimit)
    incarnations: IncarnationTracker = attrs.field(factory=IncarnationTracker)
    typical_latencies: TypicalLatencies = attrs.field(factory=TypicalLatencies)
    rate_limiter: ColdRateLimiter = attrs.field(init=False)
    admission: Admission = attrs.field(init=False)
    observer: ServerObserver = attrs.field(init=False)
    deadline_check: DeadlineCheck = attrs.field(init=False)
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
        self._call_ids = RecentCallIds(now)
        self.deadline_check = DeadlineCheck(
            self.directory.me.vm, self.admission, self.observer, self.typical_latencies
        )

    @property
    def in_flight(self) -> int:
        """Number of calls that the server is running."""
        return self.admission.in_flight

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

    def handle_announcement(self, announcement: Announcement) -> None:
        """Apply an announcement of the server, unless it is stale."""
        before = self.incarnations.current
        if not self.incarnations.accept(announcement):
            self.journal.record(catalogue.ANNOUNCEMENT_STALE, instance=announcement.instance)
            return
        self.last_heard_at = self.clock.monotonic()
        old = self.directory.me.state
        is_new = (
            announcement.address != self.address
            or self.incarnations.current != before
            or old is ServerState.ABSENT
        )
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
        if self.directory.me.state is ServerState.ABSENT:
            return
        if self.clock.monotonic() - self.last_heard_at > self.server_timeout_seconds:
            self._mark_server_absent()

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
        level = self.suspects.level(call.fingerprint)
        if level is QuarantineLevel.HELD:
            return Error(
                NotRun(
                    Reason.HARMFUL,
                    f"request {call.fingerprint} is held because it takes servers down",
                )
            )
        refusal = self.refusal()
        if refusal is None:
            await self.observer.refresh()
            refusal = await self.deadline_check.wait_for_speed(
                call
            ) or self.deadline_check.refuse_late(call)
        if refusal is not None:
            return Error(self._record_refusal(call, refusal))
        is_on_trial = call.is_on_trial or level is QuarantineLevel.SUSPECTED
        admitted = await self.admission.acquire(
            call.class_name,
            call.deadline,
            is_on_trial,
            call.priority,
            self.deadline_check.queue_timeout_seconds(call),
        )
        if admitted.is_error():
            return Error(self._record_refusal(call, admitted.error))
        return await self._run_admitted(call, admitted.ok)

    async def _run_admitted(self, call: Call, ticket: Ticket) -> Result[Answer, Failure]:
        started = self.clock.monotonic()
        slowdown = self.observer.slowdown
        try:
            result = await self._client.send(call)
        except BaseException:
            self.admission.release(ticket)
            raise
        if result.is_error():
            await self._record_failure(call, ticket, result.error)
            return result
        answer = attrs.evolve(result.ok, begun_slowdown=slowdown)
        if answer.chunks is None:
            self._record_answer(call, ticket, answer, started)
            self.admission.release(ticket)
            return Ok(answer)
        # The call stays in flight until its streamed answer has ended.
        return Ok(
            track_stream(
                answer,
                on_end=lambda: self._record_answer(call, ticket, answer, started),
                on_lost=lambda failure: self._record_failure(call, ticket, failure),
                on_close=lambda: self.admission.release(ticket),
            )
        )

    def _record_answer(self, call: Call, ticket: Ticket, answer: Answer, started: float) -> None:
        self.answered += 1
        self.journal.record(
            catalogue.CALL_COMPLETED,
            call=call.id,
            request=call.request_id,
            status=answer.status,
            ms=round((self.clock.monotonic() - started) * 1000),
            begun_slowdown=answer.begun_slowdown,
            **self._decision_inputs(),
        )
        self.suspects.record_answer(call.fingerprint)
        if answer.status >= 500:
            self._record_limit_lowered(self.limit.record_failure(), "it answers with errors")
            return
        now = self.clock.monotonic()
        seconds = now - started
        self._record_level(call, ticket, answer, seconds, now)
        self.typical_latencies.update(call.class_name, seconds, answer.begun_slowdown)
        is_lowered = self.limit.record_answer(call.class_name, seconds, ticket.was_at_limit)
        self._record_limit_lowered(is_lowered, "its answers became slow")

    def _record_level(
        self, call: Call, ticket: Ticket, answer: Answer, seconds: float, now: float
    ) -> None:
        typical_seconds = self.typical_latencies.seconds_by_class.get(call.class_name)
        if typical_seconds is not None:
            ratio = seconds / (typical_seconds * max(1.0, answer.begun_slowdown))
            self.limit.record_level(ticket.level, ratio, now)

    async def _record_failure(self, call: Call, ticket: Ticket, failure: Failure) -> None:
        no_trial_in_flight = not self.admission.trials_in_flight
        if failure.reason is not Reason.SHED_BY_SERVER:
            self._record_limit_lowered(self.limit.record_failure(), failure.reason.value)
        self.admission.release(ticket)
        if failure.reason is Reason.UNREACHABLE:
            self._run_in_background(self._check_server_gone())
        # While a call on trial is in flight, the calls beside it are not to blame for the loss.
        if failure.reason is not Reason.CONNECTION_LOST or not (
            ticket.is_on_trial or no_trial_in_flight
        ):
            return
        suspecting = asyncio.ensure_future(self._suspect_if_server_gone(call, ticket))
        self._run_in_background(suspecting)
        if self.suspect_delay_seconds:
            await asyncio.shield(suspecting)

    async def _suspect_if_server_gone(self, call: Call, ticket: Ticket) -> None:
        if await is_not_listening(self.address):
            self.suspects.record_server_loss(call.fingerprint, ticket.is_on_trial)
            # The caller may retry at once; by then all daemons must know of the suspect.
            await asyncio.sleep(self.suspect_delay_seconds)

    async def _check_server_gone(self) -> None:
        if (
            await is_not_listening(self.address)
            and self.directory.me.state is not ServerState.ABSENT
        ):
            self._mark_server_absent()

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
            if self.directory.me.state is not ServerState.ABSENT:
                self._mark_server_absent()
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
        self.directory.publish_own_change(state=state, instance=current.id, born_ms=current.born_ms)
        self.admission.process_queue()

    def _record_limit_lowered(self, is_lowered: bool, why: str) -> None:
        if is_lowered:
            self.journal.record(catalogue.SERVER_COLD, address=self.address, why=why)

    def _record_refusal(self, call: Call, refusal: NotRun) -> NotRun:
        self.refused_by_reason[refusal.reason] = self.refused_by_reason.get(refusal.reason, 0) + 1
        self.journal.record(
            catalogue.GATE_REFUSED,
            call=call.id,
            request=call.request_id,
            reason=refusal.reason.value,
            detail=refusal.detail,
            **self._decision_inputs(),
        )
        return refusal

    def _decision_inputs(self) -> dict[str, int | float | str | None]:
        """Return the values that admission depends on, and the age of the server's report."""
        age = self.observer.age
        return {
            "in_flight": self.in_flight,
            "waiting": self.admission.waiting,
            "limit": self.limit.limit,
            "slowdown": self.observer.slowdown,
            "word_age_ms": round(age * 1000) if age < math.inf else None,
            "configuration": self.configuration.version_text,
        }

    def _mark_server_absent(self) -> None:
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
