"""The port for calls: from callers, and from other daemons that relay a call to this gate.

A relayed call must prove that it is the fleet's, and goes to the gate and nowhere else.  Both may
come to one address, where the relay's header tells them apart; where callers have an address of
their own, what they write into that header is dropped.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Any, Final

import attrs
from aiohttp import web
from expression import Result

from kingcuppond.claims.guard import ClaimGuard
from kingcuppond.clock import Clock
from kingcuppond.configuration.objects import ClassOfWork
from kingcuppond.configuration.replica import Configuration
from kingcuppond.dialect import OWN_DIALECT, Dialect
from kingcuppond.entry.counts import CallCounts
from kingcuppond.entry.http_server import problem_response
from kingcuppond.entry.intake import Request, read_relayed_body, read_request
from kingcuppond.entry.reply import send_answer
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.gate.gate import Gate
from kingcuppond.harmful.messages import Level
from kingcuppond.harmful.suspects import SuspectTable
from kingcuppond.outcomes import Failure, NotRun, Reason
from kingcuppond.routing.budgets import WindowBudget
from kingcuppond.routing.call import Answer, BrokenAnswerError, Call
from kingcuppond.routing.headers import (
    GATE_HEADER,
    MAC_HEADER,
    RELAY_HEADER,
    RELAY_HEADERS,
    end_to_end,
)
from kingcuppond.routing.relay import Relay, verify
from kingcuppond.routing.router import Router

REPORT_OVERHEAD_BYTES: Final = len(GATE_HEADER) + 4

COME_AGAIN_SHARE: Final = 0.25
"""Part of the time left after which a refused caller may come again; a third at most."""

COME_AGAIN_MAX_SECONDS: Final = 0.25
"""Half of the time for which a machine's speed usually stays the same."""


@attrs.define
class CallPort:
    """Serves calls.

    :param measuring: the budget that load reports draw on
    :param choose_service: picks a service for a request of a class
    """

    vm: str
    service: str
    dialect: Dialect
    choose_service: Callable[[ClassOfWork], str]
    configuration: Configuration
    gate: Gate
    router: Router
    guard: ClaimGuard
    suspects: SuspectTable
    counts: CallCounts
    measuring: WindowBudget
    fleet_key: bytes
    clock: Clock
    journal: Journal
    next_id: Callable[[], str]
    in_progress: int = 0
    last_request_at: float = float("-inf")
    _running: set["asyncio.Task[Any]"] = attrs.field(factory=set)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of a caller or of another daemon."""
        if RELAY_HEADER in request.headers:
            return await self.handle_relay(request)
        return await self.handle_caller(request)

    async def handle_caller(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of a caller."""
        self.in_progress += 1
        self.last_request_at = self.clock.monotonic()
        try:
            return await self._serve_caller(request)
        finally:
            self.in_progress -= 1

    async def handle_relay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of another daemon."""
        self.in_progress += 1
        try:
            return await self._serve_relay(request)
        finally:
            self.in_progress -= 1

    @property
    def is_idle(self) -> bool:
        """Whether nothing is in progress, also no call whose caller has gone."""
        return self.in_progress == 0 and not self._running

    async def _serve_caller(self, request: web.BaseRequest) -> web.StreamResponse:
        read = await read_request(
            request,
            self.configuration,
            self.dialect,
            self.service,
            self.choose_service,
            self.clock.monotonic,
            self.next_id,
        )
        if read.is_error():
            self.journal.record(
                catalogue.REQUEST_REFUSED,
                request=request.headers.get(self.dialect.request_id_header, "without id"),
                reason=f"{read.error.reason.value}: {read.error.detail}",
            )
            return self._refuse(request, read.error)
        wanted = read.ok
        got = await self._run(wanted)
        name = wanted.class_of_work.name
        if got.is_error():
            self._record_failure(wanted, got.error)
            left = wanted.call.deadline - self.clock.monotonic()
            after = min(max(left, 0.0) * COME_AGAIN_SHARE, COME_AGAIN_MAX_SECONDS)
            return self._refuse(request, got.error, after=after)
        answer = got.ok
        try:
            response = await send_answer(request, answer, {}, self._is_closing())
        except BrokenAnswerError as exc:
            self.journal.record(
                catalogue.CALL_UNKNOWN,
                call=wanted.call.id,
                request=wanted.call.request_id,
                reason=str(exc),
            )
            raise ConnectionResetError(str(exc)) from exc
        finally:
            await answer.close()
        seconds = self.clock.monotonic() - wanted.started
        target_ms = wanted.class_of_work.answer_within_ms
        self.counts.count_answer(name, answer.status, seconds, target_ms)
        self.journal.record(
            catalogue.REQUEST_ANSWERED,
            call=wanted.call.id,
            request=wanted.call.request_id,
            status=answer.status,
            ms=round(seconds * 1000),
            class_of_work=name,
            target_ms=target_ms,
            configuration=self.configuration.version,
        )
        return response

    async def _run(self, wanted: Request) -> Result[Answer, Failure]:
        call = wanted.call
        level = self.suspects.level(call.fingerprint)
        if level is Level.HELD:
            detail = f"request {call.fingerprint} took servers down and is held for a while"
            return Result.Error(NotRun(Reason.HARMFUL, detail))
        if level is Level.SUSPECTED:
            call = attrs.evolve(call, is_on_trial=True)
        if not (call.at_most_once and wanted.key):
            return await self.router.run(call)
        if not call.body.is_whole:
            return await self.guard.run_once(call, wanted.key)
        # A claimed request runs to its end even if its caller goes away, so that the caller's next
        # try finds an answer.
        task = asyncio.create_task(self.guard.run_once(call, wanted.key))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return await asyncio.shield(task)

    async def _serve_relay(self, request: web.BaseRequest) -> web.StreamResponse:
        head = verify(
            self.fleet_key,
            request.method,
            request.raw_path,
            request.headers.get(RELAY_HEADER, ""),
            request.headers.get(MAC_HEADER, ""),
            self.vm,
            self.clock.fleet_ms(),
        )
        if head.is_error():
            return self._refuse(request, head.error, {})
        self.clock.observe(head.ok.stamp)
        call = self._make_call(request, head.ok)
        got = await self.gate.run(call)
        if got.is_error():
            return self._refuse(request, got.error, self._report())
        answer = got.ok
        try:
            # Relays close their connections themselves when this daemon has left the fleet.
            return await send_answer(request, answer, self._report(answer.begun_slowdown), False)
        except BrokenAnswerError as exc:
            raise ConnectionResetError(str(exc)) from exc
        finally:
            await answer.close()

    def _make_call(self, request: web.BaseRequest, head: Relay) -> Call:
        connection = request.headers.get("Connection", "")
        now = self.clock.monotonic()
        return Call(
            id=head.call,
            class_name=head.class_name,
            service=head.service,
            method=request.method,
            target=request.raw_path,
            headers=end_to_end(request.headers.items(), connection, RELAY_HEADERS),
            body=read_relayed_body(request),
            deadline=now + head.left_ms / 1000,
            depth=head.depth,
            retry_budget=head.retry_budget,
            at_most_once=head.at_most_once,
            fingerprint=head.fingerprint,
            is_on_trial=head.is_on_trial,
            request_id=head.request_id,
            caller_service=head.caller_service,
            target_at=math.inf if head.target_left_ms is None else now + head.target_left_ms / 1000,
            priority=head.priority,
            is_last_resort=head.is_last_resort,
        )

    def _report(self, begun_slowdown: float = 1.0) -> dict[str, str]:
        """Return the header that reports the gate's load, if the measuring budget allows it."""
        text = self.gate.report(begun_slowdown).encode()
        if not self.measuring.take(REPORT_OVERHEAD_BYTES + len(text)):
            return {}
        return {GATE_HEADER: text}

    def _refuse(
        self,
        request: web.BaseRequest,
        failure: Failure,
        extra: dict[str, str] | None = None,
        after: float = 1.0,
    ) -> web.StreamResponse:
        dialect = OWN_DIALECT if extra is not None else self.dialect
        response = problem_response(failure, dialect, after)
        response.headers.update(extra or {})
        if self._is_closing() or not request.content.at_eof():
            response.force_close()
        return response

    def _is_closing(self) -> bool:
        return self.gate.directory.me.is_leaving

    def _record_failure(self, wanted: Request, failure: Failure) -> None:
        self.counts.count_failure(wanted.class_of_work.name, wanted.call.service, failure)
        event = catalogue.CALL_NOT_RUN
        if not isinstance(failure, NotRun):
            event = catalogue.CALL_UNKNOWN
        reason = f"{failure.reason.value}: {failure.detail}"
        self.journal.record(
            event,
            call=wanted.call.id,
            request=wanted.call.request_id,
            reason=reason,
            ms=round((self.clock.monotonic() - wanted.started) * 1000),
            class_of_work=wanted.class_of_work.name,
            service=wanted.call.service,
            configuration=self.configuration.version,
        )
