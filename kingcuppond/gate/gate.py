"""The gate of a daemon's own server.

It counts what is in flight, so its view of its server is exact.  What must never be exceeded or
passed is enforced here and nowhere else: the limit of calls, no work while the server is cold
beyond what it bears, none after it began to drain, after its data centre went out, while this
daemon leaves or is cut off from the fleet.  Such a refusal is a truthful "not run", and the sender
tries elsewhere.
"""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from typing import Final

import aiohttp
import attrs
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.gate.admission import Admission, Ticket
from kingcuppond.gate.announcements import SILENT_SECONDS, Announcement
from kingcuppond.gate.limit import ConcurrencyLimit
from kingcuppond.harmful.messages import Level
from kingcuppond.harmful.suspects import SuspectTable
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import ServerState
from kingcuppond.outcomes import OUTCOME_HEADER, Failure, NotRun, Outcome, Reason, Unknown
from kingcuppond.routing.call import Answer, BrokenAnswerError, Call
from kingcuppond.routing.exchange import exchange, is_gone
from kingcuppond.routing.headers import (
    DEADLINE_HEADER,
    DEPTH_HEADER,
    RETRY_BUDGET_HEADER,
    to_multidict,
)

SEEN_SECONDS: Final = 60.0
MAX_SEEN: Final = 50_000
NOTE_SPREAD_SECONDS: Final = 0.25


@attrs.define
class Gate:
    """The state of the gate.

    :param is_isolated: tells whether this daemon is cut off from the fleet
    """

    directory: Directory
    configuration: Configuration
    suspects: SuspectTable
    session: aiohttp.ClientSession
    clock: Clock
    journal: Journal
    is_isolated: Callable[[], bool]
    address: str = ""
    announced_at: float = 0.0
    answered: int = 0
    refused: int = 0
    limit: ConcurrencyLimit = attrs.field(factory=ConcurrencyLimit)
    admission: Admission = attrs.field(init=False)
    _seen_by_call: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.admission = Admission(self.limit, self.refusal, self.clock.monotonic)

    @property
    def in_flight(self) -> int:
        """How many calls the server runs now."""
        return self.admission.in_flight

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
        if self.configuration.is_out(me.data_centre):
            return NotRun(Reason.OUT_OF_SERVICE, f"{me.data_centre} is out of service")
        if self.is_isolated():
            return NotRun(Reason.ISOLATED, f"{me.vm} hears neither the store nor most members")
        return None

    def announce(self, announcement: Announcement) -> None:
        """Take an announcement of the server."""
        self.announced_at = self.clock.monotonic()
        old = self.directory.me.state
        is_new = announcement.address != self.address or old is ServerState.ABSENT
        self.address = announcement.address
        if announcement.load.slots > 0:
            self.limit.set_slots(announcement.load.slots)
        new = ServerState(announcement.state)
        self.limit.is_said_cold = new is ServerState.COLD
        if is_new or (new is ServerState.COLD and old is not ServerState.COLD):
            self.limit.reset()
        if new is old and not is_new:
            return
        event = catalogue.SERVER_ANNOUNCED
        if new is ServerState.DRAINING:
            event = catalogue.SERVER_DRAINING
        self.journal.record(event, address=self.address, state=new.value)
        self.directory.update_me(state=new)
        self.admission.wake()

    def check_silence(self) -> None:
        """Take a server that stopped announcing itself for gone."""
        if self.directory.me.state is ServerState.ABSENT:
            return
        if self.clock.monotonic() - self.announced_at > SILENT_SECONDS:
            self._lose_server()

    async def run(self, call: Call) -> Result[Answer, Failure]:
        """Run a call at the server.

        The caller of this function must call ``close`` on the answer.
        """
        if not self._is_first(call.id):
            return Error(Unknown(Reason.DOUBLED, f"call {call.id} was here before"))
        level = self.suspects.level(call.fingerprint)
        if level is Level.HELD:
            return Error(NotRun(Reason.HARMFUL, f"request {call.fingerprint} takes servers down"))
        is_on_trial = call.is_on_trial or level is Level.SUSPECTED
        entered = await self.admission.enter(call.class_name, call.deadline, is_on_trial)
        if entered.is_error():
            return Error(self._refuse(call, entered.error))
        ticket = entered.ok
        started = self.clock.monotonic()
        try:
            got = await self._exchange(call)
        except BaseException:
            self.admission.leave(ticket)
            raise
        if got.is_error():
            await self._judge_failure(call, ticket, got.error)
            return got
        answer = got.ok
        if answer.chunks is None:
            self._judge_answer(call, ticket, answer, started)
            self.admission.leave(ticket)
            return got
        return Ok(self._guard(call, ticket, answer, started))

    async def _exchange(self, call: Call) -> Result[Answer, Failure]:
        headers = to_multidict(call.headers)
        left_ms = int((call.deadline - time.monotonic()) * 1000)
        headers[DEADLINE_HEADER] = str(max(left_ms, 1))
        headers[DEPTH_HEADER] = str(call.depth)
        headers[RETRY_BUDGET_HEADER] = str(call.retry_budget)
        got = await exchange(
            self.session,
            self.address,
            call.method,
            call.target,
            headers,
            call.body,
            call.deadline,
        )
        if got.is_error():
            return Error(got.error)
        head = got.ok.headers
        answer = got.ok.answer
        if answer.status == 503 and head.get(OUTCOME_HEADER) == Outcome.NOT_RUN:
            await answer.close()
            return Error(NotRun(Reason.SHED, f"the server beside {self.directory.me.vm} shed it"))
        return Ok(answer)

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
        self.suspects.answered(call.fingerprint)
        if answer.status >= 500:
            self._note_cold(self.limit.failed(), "it answers with errors")
            return
        seconds = self.clock.monotonic() - started
        is_cold = self.limit.answered(call.class_name, seconds, ticket.was_full)
        self._note_cold(is_cold, "its answers became slow")

    async def _judge_failure(self, call: Call, ticket: Ticket, failure: Failure) -> None:
        is_alone = not self.admission.trials_in_flight
        if failure.reason is not Reason.SHED:
            self._note_cold(self.limit.failed(), failure.reason.value)
        self.admission.leave(ticket)
        # While a call on trial is in flight, the others beside it are innocent.
        if failure.reason is not Reason.CONNECTION_LOST or not (ticket.is_on_trial or is_alone):
            return
        if await is_gone(self.address):
            self.suspects.blame(call.fingerprint, ticket.is_on_trial)
            # The caller may send it again at once: the news must be everywhere by then.
            await asyncio.sleep(NOTE_SPREAD_SECONDS)

    def _note_cold(self, is_cold: bool, why: str) -> None:
        if is_cold:
            self.journal.record(catalogue.SERVER_COLD, address=self.address, why=why)

    def _refuse(self, call: Call, refusal: NotRun) -> NotRun:
        self.refused += 1
        self.journal.record(catalogue.GATE_REFUSED, call=call.id, reason=refusal.reason.value)
        return refusal

    def _lose_server(self) -> None:
        self.journal.record(catalogue.SERVER_SILENT, address=self.address)
        self.directory.update_me(state=ServerState.ABSENT)
        self.limit.reset()
        self.admission.wake()

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
