"""The gate of a daemon's own server.

It counts what is in flight, so its view of its server is exact.  What must never be exceeded or
passed is enforced here and nowhere else: the limit of calls, no work while the server is cold
beyond what it bears, none after it began to drain, after its data centre went out, while this
daemon leaves or is cut off from the fleet.  Such a refusal is a truthful "not run", and the sender
tries elsewhere.
"""

import asyncio
import math
import time
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

import aiohttp
import attrs
from aiohttp import web
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.objects import ServiceTerms
from kingcuppond.configuration.replica import Configuration
from kingcuppond.dialect import AnswerKind, Dialect, ServerRequest, ServerWord
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.gate.admission import Admission, Ticket
from kingcuppond.gate.announcements import Announcement
from kingcuppond.gate.incarnation import Incarnation, IncarnationTracker
from kingcuppond.gate.limit import ConcurrencyLimit
from kingcuppond.gate.observer import ServerObserver
from kingcuppond.gate.pace import ColdPace
from kingcuppond.gate.timing import Timing
from kingcuppond.harmful.messages import Level
from kingcuppond.harmful.suspects import SuspectTable
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import ServerState
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.routing.call import Answer, BrokenAnswerError, Call
from kingcuppond.routing.exchange import exchange, is_gone
from kingcuppond.routing.headers import to_multidict
from kingcuppond.routing.view import GateReport
from kingcuppond.usual import UsualTimes

SEEN_SECONDS: Final = 60.0
"""Longer than any call may take, so that a doubled message is still known."""

MAX_SEEN: Final = 50_000


@attrs.define
class Gate:
    """The state of the gate.

    :param session: reuses its connections; for calls that may be repeated
    :param fresh_session: opens a connection for each call; what a server still sends after an
        earlier answer can't meet a call that must not be repeated
    :param silent_seconds: a server that says nothing for so long is taken for gone
    :param suspect_hold_seconds: how long the failure of a call that may have taken the server down
        is held back, so that all daemons know of it first; 0: not at all
    :param is_isolated: tells whether this daemon is cut off from the fleet
    :param is_unconfirmed: the server may have said to an earlier process that it leaves, so it must
        be heard, and be healthy, before it gets calls
    :param may_confirm: what an earlier process wrote of a departure was looked for
    """

    directory: Directory
    configuration: Configuration
    suspects: SuspectTable
    session: aiohttp.ClientSession
    fresh_session: aiohttp.ClientSession
    clock: Clock
    journal: Journal
    dialect: Dialect
    silent_seconds: float
    suspect_hold_seconds: float
    is_isolated: Callable[[], bool]
    is_unconfirmed: bool = False
    may_confirm: bool = True
    address: str = ""
    heard_at: float = 0.0
    answered: int = 0
    refused: int = 0
    limit: ConcurrencyLimit = attrs.field(factory=ConcurrencyLimit)
    incarnations: IncarnationTracker = attrs.field(factory=IncarnationTracker)
    usual: UsualTimes = attrs.field(factory=UsualTimes)
    pace: ColdPace = attrs.field(init=False)
    admission: Admission = attrs.field(init=False)
    observer: ServerObserver = attrs.field(init=False)
    timing: Timing = attrs.field(init=False)
    _was_out: bool = False
    _seen_by_call: dict[str, float] = attrs.field(factory=dict)
    _tasks: set["asyncio.Task[Any]"] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        now = self.clock.monotonic
        self.pace = ColdPace(lambda: self._terms().cold_per_second, now)
        if self.is_unconfirmed:
            self.pace.assume_full()
            self.pace.is_uncertain = True
        self.admission = Admission(self.limit, self.refusal, now, self.pace)
        self.observer = ServerObserver(
            self.session,
            self.dialect.read_word,
            lambda: self._terms().health_path,
            self.clock,
            self.journal,
            self._take_word,
        )
        self.timing = Timing(self.directory.me.vm, self.admission, self.observer, self.usual)

    @property
    def in_flight(self) -> int:
        """How many calls the server runs now."""
        return self.admission.in_flight

    def report(self, begun_slowdown: float = 1.0) -> GateReport:
        """Return the load that other daemons are told.

        :param begun_slowdown: the slowdown when the call began that the report goes with
        """
        load = self.admission.in_flight + self.admission.waiting + self.timing.waiting
        return GateReport(load, self.limit.limit, self.observer.slowdown, begun_slowdown)

    def refusal(self) -> NotRun | None:
        """Tell why no call may run at the server now, or ``None``."""
        me = self.directory.me
        if not self.configuration.is_ready:
            return NotRun(Reason.NOT_READY, "this daemon has not heard the configuration yet")
        if me.is_leaving:
            return NotRun(Reason.LEAVING, f"{me.vm} is leaving")
        if me.state is ServerState.DRAINING:
            return NotRun(Reason.LEAVING, f"the server beside {me.vm} is draining")
        if me.state is ServerState.ABSENT:
            return NotRun(Reason.NO_SERVER, f"no server announces itself to {me.vm}")
        if self.is_unconfirmed:
            return NotRun(Reason.NO_SERVER, f"the server beside {me.vm} is not confirmed yet")
        if self.configuration.is_out(me.data_centre):
            return NotRun(Reason.OUT_OF_SERVICE, f"{me.data_centre} is out of service")
        if self.is_isolated():
            return NotRun(Reason.ISOLATED, f"{me.vm} hears neither the store nor most members")
        return None

    def handle_announcement(self, announcement: Announcement) -> None:
        """Take an announcement of the server."""
        before = self.incarnations.current
        if not self.incarnations.accept(announcement):
            self.journal.record(catalogue.ANNOUNCEMENT_STALE, instance=announcement.instance)
            return
        self.heard_at = self.clock.monotonic()
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
        self._take_load(announcement, is_new or (is_cold and old is not ServerState.COLD))
        if is_new or self.is_unconfirmed:
            self.observer.forget()
            self._keep(self.observer.freshen())
        if new is not old or is_new:
            self._set_state(new)

    def handle_withdrawal(self, instance: str) -> Incarnation:
        """Take that an incarnation of the server leaves, and return which one it is."""
        leaving = self.incarnations.resolve(instance)
        self.incarnations.mark_leaving(leaving)
        if leaving == self.incarnations.current:
            self._set_state(ServerState.DRAINING)
        return leaving

    def note_left(self, leaving: Incarnation) -> None:
        """Take from an earlier process of this daemon that an incarnation leaves."""
        self.incarnations.mark_leaving(leaving)
        state = self.directory.me.state
        if self.incarnations.is_current_leaving and state in (ServerState.COLD, ServerState.WARM):
            self._set_state(ServerState.DRAINING)

    def check_silence(self) -> None:
        """Take a server that stopped announcing itself, and answers nothing, for gone."""
        if self.directory.me.state is ServerState.ABSENT:
            return
        if self.clock.monotonic() - self.heard_at > self.silent_seconds:
            self._lose_server()

    def note_configuration(self) -> None:
        """Take a change of the configuration."""
        is_out = self.configuration.is_out(self.directory.me.data_centre)
        if self._was_out and not is_out:
            # A server that was kept idle may be cold by now.
            self.pace.is_uncertain = bool(self._terms().health_path)
            self.observer.forget()
            self._keep(self.observer.freshen())
        self._was_out = is_out
        self.admission.wake()

    async def run(self, call: Call) -> Result[Answer, Failure]:
        """Run a call at the server.

        The caller of this function must call ``close`` on the answer.
        """
        if not self._is_first(call.id):
            return Error(Unknown(Reason.DOUBLED, f"call {call.id} was here before"))
        level = self.suspects.level(call.fingerprint)
        if level is Level.HELD:
            return Error(NotRun(Reason.HARMFUL, f"request {call.fingerprint} takes servers down"))
        refusal = self.refusal()
        if refusal is None:
            await self.observer.freshen()
            refusal = await self.timing.wait_for_speed(call) or self.timing.find_late(call)
        if refusal is not None:
            return Error(self._refuse(call, refusal))
        is_on_trial = call.is_on_trial or level is Level.SUSPECTED
        entered = await self.admission.enter(
            call.class_name, call.deadline, is_on_trial, call.priority, self.timing.patience(call)
        )
        if entered.is_error():
            return Error(self._refuse(call, entered.error))
        return await self._run_admitted(call, entered.ok)

    async def _run_admitted(self, call: Call, ticket: Ticket) -> Result[Answer, Failure]:
        started = self.clock.monotonic()
        slowdown = self.observer.slowdown
        try:
            got = await self._exchange(call)
        except BaseException:
            self.admission.leave(ticket)
            raise
        if got.is_error():
            await self._judge_failure(call, ticket, got.error)
            return got
        answer = attrs.evolve(got.ok, begun_slowdown=slowdown)
        if answer.chunks is None:
            self._judge_answer(call, ticket, answer, started)
            self.admission.leave(ticket)
            return Ok(answer)
        return Ok(self._guard(call, ticket, answer, started))

    async def _exchange(self, call: Call) -> Result[Answer, Failure]:
        if call.at_most_once:
            try:
                await call.body.hold()
            except (OSError, TimeoutError, aiohttp.ClientError, web.RequestPayloadError) as exc:
                return Error(NotRun(Reason.BAD_REQUEST, f"the body broke off: {exc!r}"))
        headers = to_multidict(call.headers)
        left_ms = int((call.deadline - time.monotonic()) * 1000)
        sent = ServerRequest(
            max(left_ms, 1),
            call.depth,
            call.retry_budget,
            call.caller_service,
            self.incarnations.current.id,
        )
        headers.update(self.dialect.server_headers(sent))
        kind_of = self.dialect.kind_of_answer
        got = await exchange(
            self.fresh_session if call.at_most_once else self.session,
            self.address,
            call.method,
            call.target,
            headers,
            call.body,
            call.deadline,
            accept=lambda status, head: kind_of(status, head, headers) is not AnswerKind.UNUSABLE,
        )
        if got.is_error():
            return Error(got.error)
        head = got.ok.headers
        answer = got.ok.answer
        self.observer.hear(head)
        kind = kind_of(answer.status, head, headers)
        if kind is AnswerKind.ANSWERED:
            return Ok(answer)
        await answer.close()
        if kind is AnswerKind.OTHER_INSTANCE:
            return Error(NotRun(Reason.NO_SERVER, "another server has the address now"))
        return Error(NotRun(Reason.SHED, f"the server beside {self.directory.me.vm} shed it"))

    def _guard(self, call: Call, ticket: Ticket, answer: Answer, started: float) -> Answer:
        # The call stays in flight until its streamed answer has ended.
        source = answer.chunks
        close = answer.close

        async def guarded() -> AsyncIterator[bytes]:
            assert source is not None
            try:
                async for chunk in source:
                    yield chunk
            except BrokenAnswerError as exc:
                lost = Unknown(Reason.CONNECTION_LOST, str(exc))
                await self._judge_failure(call, ticket, lost)
                raise
            self._judge_answer(call, ticket, answer, started)

        async def close_and_leave() -> None:
            self.admission.leave(ticket)
            await close()

        return attrs.evolve(answer, chunks=guarded(), close=close_and_leave)

    def _judge_answer(self, call: Call, ticket: Ticket, answer: Answer, started: float) -> None:
        self.answered += 1
        self.journal.record(
            catalogue.CALL_RAN,
            call=call.id,
            request=call.request_id,
            status=answer.status,
            ms=round((self.clock.monotonic() - started) * 1000),
            begun_slowdown=answer.begun_slowdown,
            **self._inputs(),
        )
        self.suspects.record_answer(call.fingerprint)
        if answer.status >= 500:
            self._note_cold(self.limit.failed(), "it answers with errors")
            return
        seconds = self.clock.monotonic() - started
        self.usual.learn(call.class_name, seconds, answer.begun_slowdown)
        is_cold = self.limit.answered(call.class_name, seconds, ticket.was_full)
        self._note_cold(is_cold, "its answers became slow")

    async def _judge_failure(self, call: Call, ticket: Ticket, failure: Failure) -> None:
        is_alone = not self.admission.trials_in_flight
        if failure.reason is not Reason.SHED:
            self._note_cold(self.limit.failed(), failure.reason.value)
        self.admission.leave(ticket)
        if failure.reason is Reason.UNREACHABLE:
            self._keep(self._check_gone())
        # While a call on trial is in flight, the others beside it are innocent.
        if failure.reason is not Reason.CONNECTION_LOST or not (ticket.is_on_trial or is_alone):
            return
        blaming = asyncio.ensure_future(self._blame(call, ticket))
        self._keep(blaming)
        if self.suspect_hold_seconds:
            await asyncio.shield(blaming)

    async def _blame(self, call: Call, ticket: Ticket) -> None:
        if await is_gone(self.address):
            self.suspects.record_server_loss(call.fingerprint, ticket.is_on_trial)
            # The caller may send it again at once: the news must be everywhere by then.
            await asyncio.sleep(self.suspect_hold_seconds)

    async def _check_gone(self) -> None:
        if await is_gone(self.address) and self.directory.me.state is not ServerState.ABSENT:
            self._lose_server()

    def _take_load(self, announcement: Announcement, starts_anew: bool) -> None:
        self.limit.is_learning = announcement.cold_ms is None
        if announcement.load.slots > 0:
            self.limit.set_slots(announcement.load.slots)
        self.limit.is_said_cold = announcement.state == "cold"
        if announcement.cold_ms is not None:
            self.pace.hear(announcement.cold_ms)
        if starts_anew:
            self.limit.reset()

    def _take_word(self, word: ServerWord, is_healthy: bool) -> None:
        """Take what the server said of itself on an answer."""
        current = self.incarnations.current.id
        if word.instance and current and word.instance != current:
            if self.directory.me.state is not ServerState.ABSENT:
                self._lose_server()
            return
        if word.load is not None:
            self.heard_at = self.clock.monotonic()
        if word.cold_ms is not None:
            self.pace.hear(word.cold_ms)
        if not (is_healthy and word.instance and word.instance == current):
            return
        if self.is_unconfirmed and self.may_confirm:
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
        self.directory.update_me(state=state, instance=current.id, born_ms=current.born_ms)
        self.admission.wake()

    def _note_cold(self, is_cold: bool, why: str) -> None:
        if is_cold:
            self.journal.record(catalogue.SERVER_COLD, address=self.address, why=why)

    def _refuse(self, call: Call, refusal: NotRun) -> NotRun:
        self.refused += 1
        self.journal.record(
            catalogue.GATE_REFUSED,
            call=call.id,
            request=call.request_id,
            reason=refusal.reason.value,
            detail=refusal.detail,
            **self._inputs(),
        )
        return refusal

    def _inputs(self) -> dict[str, int | float | None]:
        """Return what admission decides by, and how old the server's word is."""
        age = self.observer.age
        return {
            "in_flight": self.in_flight,
            "waiting": self.admission.waiting,
            "limit": self.limit.limit,
            "slowdown": self.observer.slowdown,
            "word_age_ms": round(age * 1000) if age < math.inf else None,
            "configuration": self.configuration.version,
        }

    def _lose_server(self) -> None:
        self.journal.record(catalogue.SERVER_SILENT, address=self.address)
        self.directory.update_me(state=ServerState.ABSENT)
        self.limit.reset()
        self.observer.forget()
        self.admission.wake()

    def _terms(self) -> ServiceTerms:
        service = self.directory.me.service
        return self.configuration.services_by_name.get(service) or ServiceTerms(service)

    def _keep(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_first(self, call_id: str) -> bool:
        """Remember a call's id, so that a doubled or replayed message does not run it again."""
        now = self.clock.monotonic()
        if call_id in self._seen_by_call:
            return False
        self._seen_by_call[call_id] = now
        while len(self._seen_by_call) > MAX_SEEN or self._oldest() < now - SEEN_SECONDS:
            self._seen_by_call.pop(next(iter(self._seen_by_call)))
        return True

    def _oldest(self) -> float:
        return next(iter(self._seen_by_call.values()))
