"""Records what became of the calls at the local server, and what that shows about the server.

Latencies and failures adjust the concurrency limit.  A connection that was lost may show that the
server is gone, and that the call took it down.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Any

import attrs

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.gate.admission import Admission, Ticket
from kingcuppond.gate.observer import ServerObserver
from kingcuppond.gate.trials import whole_fingerprint
from kingcuppond.gate.version_share import UnlimitedShare, VersionShare
from kingcuppond.outcomes import Failure, NotRun, Reason
from kingcuppond.quarantine.suspects import SuspectTable
from kingcuppond.routing.call import Answer, Call
from kingcuppond.routing.exchange import is_not_listening
from kingcuppond.typical_latency import TypicalLatencies


@attrs.define
class CallOutcomes:
    """The calls that ended at one server.

    :param address: returns the address of the server
    :param suspect_delay_seconds: returns how long the failure of a call that may have taken the
        server down is delayed
    :param mark_server_gone: called when nothing listens at the address any more
    :param server_version: returns the version that the server states
    :param share: bounds and counts calls during a roll-out
    """

    admission: Admission
    observer: ServerObserver
    typical_latencies: TypicalLatencies
    suspects: SuspectTable
    configuration: Configuration
    clock: Clock
    journal: Journal
    address: Callable[[], str]
    suspect_delay_seconds: Callable[[], float]
    mark_server_gone: Callable[[], None]
    server_version: Callable[[], str]
    share: VersionShare = attrs.field(factory=UnlimitedShare)
    answered: int = 0
    refused_by_reason: dict[Reason, int] = attrs.field(factory=dict)
    _background_tasks: set["asyncio.Task[Any]"] = attrs.field(factory=set)

    def release(self, call: Call, ticket: Ticket) -> None:
        """Return the ticket of a call that is no longer in progress; more calls do nothing."""
        self.share.record_end(call.id)
        self.admission.release(ticket)

    def record_answer(self, call: Call, ticket: Ticket, answer: Answer, started: float) -> None:
        """Record a call that the server answered, and what its latency shows."""
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
        # A server that fails may do so without having run the request.
        if answer.status < 500:
            self.suspects.record_answer(whole_fingerprint(call), self.server_version())
        self.share.record_answer(
            call.class_name,
            self.clock.monotonic() - started,
            answer.status >= 500,
            answer.begun_slowdown,
        )
        if answer.status >= 500:
            self._record_limit_lowered(
                self.admission.limit.record_failure(), "it answers with errors"
            )
            return
        now = self.clock.monotonic()
        seconds = now - started
        self._record_level(call, ticket, answer, seconds, now)
        self.typical_latencies.update(call.class_name, seconds, answer.begun_slowdown)
        is_lowered = self.admission.limit.record_answer(
            call.class_name, seconds, ticket.was_at_limit
        )
        self._record_limit_lowered(is_lowered, "its answers became slow")

    def _record_level(
        self, call: Call, ticket: Ticket, answer: Answer, seconds: float, now: float
    ) -> None:
        typical_seconds = self.typical_latencies.seconds_by_class.get(call.class_name)
        if typical_seconds is not None:
            ratio = seconds / (typical_seconds * max(1.0, answer.begun_slowdown))
            self.admission.limit.record_level(ticket.level, ratio, now)

    async def record_failure(
        self, call: Call, ticket: Ticket, failure: Failure, started: float
    ) -> None:
        """Record a call without an answer, and release its ticket."""
        self.share.record_failure(call.class_name, self.clock.monotonic() - started, failure)
        no_trial_in_flight = not self.admission.trials_in_flight
        if failure.reason is not Reason.SHED_BY_SERVER:
            self._record_limit_lowered(self.admission.limit.record_failure(), failure.reason.value)
        self.release(call, ticket)
        if failure.reason is Reason.UNREACHABLE:
            self._run_in_background(self._check_server_gone())
        # While a call on trial is in flight, the calls beside it are not to blame for the loss.
        if failure.reason is not Reason.CONNECTION_LOST or not (
            ticket.is_on_trial or no_trial_in_flight
        ):
            return
        suspecting = asyncio.ensure_future(self._suspect_if_server_gone(call, ticket))
        self._run_in_background(suspecting)
        if self.suspect_delay_seconds():
            await asyncio.shield(suspecting)

    async def _suspect_if_server_gone(self, call: Call, ticket: Ticket) -> None:
        if await is_not_listening(self.address()):
            self.suspects.record_server_loss(
                whole_fingerprint(call), ticket.is_on_trial, self.server_version()
            )
            # The caller may retry at once; by then all daemons must know of the suspect.
            await asyncio.sleep(self.suspect_delay_seconds())

    async def _check_server_gone(self) -> None:
        if await is_not_listening(self.address()):
            self.mark_server_gone()

    def _record_limit_lowered(self, is_lowered: bool, why: str) -> None:
        if is_lowered:
            self.journal.record(catalogue.SERVER_COLD, address=self.address(), why=why)

    def record_refusal(self, call: Call, refusal: NotRun) -> NotRun:
        """Record a call that the gate refused, and return the refusal."""
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
            "in_flight": self.admission.in_flight,
            "waiting": self.admission.waiting,
            "limit": self.admission.limit.limit,
            "slowdown": self.observer.slowdown,
            "word_age_ms": round(age * 1000) if age < math.inf else None,
            "configuration": self.configuration.version_text,
        }

    def _run_in_background(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
