"""The port for callers' requests.

Calls that other daemons relay may arrive at the same address, where the relay header tells them
apart.  If callers have an address of their own, a relay header in their requests is dropped.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from aiohttp import web
from expression import Result

from kingcuppond.claims.guard import ClaimGuard
from kingcuppond.clock import Clock
from kingcuppond.configuration.objects import ClassOfWork
from kingcuppond.configuration.replica import Configuration
from kingcuppond.dialect import Dialect, check_promise
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.ingress.counts import CallCounts
from kingcuppond.ingress.draining import GracePeriod
from kingcuppond.ingress.in_progress import RequestsInProgress, stopped_during
from kingcuppond.ingress.relayed_calls import RelayedCallPort
from kingcuppond.ingress.requests import CallerRequest, read_request
from kingcuppond.ingress.responses import is_last, refuse, send_answer
from kingcuppond.ingress.retry_after import retry_after_seconds
from kingcuppond.membership.directory import Directory
from kingcuppond.organisations.guard import OrganisationGuard
from kingcuppond.outcomes import Failure, NotRun, Reason
from kingcuppond.quarantine.fingerprints import is_partial
from kingcuppond.quarantine.messages import QuarantineLevel
from kingcuppond.quarantine.suspects import SuspectTable
from kingcuppond.quotas.guard import QuotaGuard
from kingcuppond.routing.call import Answer, Call, InvalidAnswerError
from kingcuppond.routing.headers import RELAY_HEADER
from kingcuppond.routing.hedging import close_when_done
from kingcuppond.routing.router import Router


@attrs.define
class CallPort:
    """Serves callers.

    :param relayed: serves the calls that other daemons relay
    :param organisations: identifies the organisations of requests
    :param quotas: admits the requests of organisations within their quotas
    :param choose_service: chooses the service for a request of a class
    :param requests: the requests that this daemon is serving
    :param last_request_at: monotonic time of the last caller's request, in seconds
    :param grace: the grace period, once this daemon is leaving
    """

    vm: str
    service: str
    dialect: Dialect
    choose_service: Callable[[ClassOfWork], str]
    configuration: Configuration
    directory: Directory
    router: Router
    guard: ClaimGuard
    suspects: SuspectTable
    counts: CallCounts
    clock: Clock
    journal: Journal
    next_id: Callable[[], str]
    requests: RequestsInProgress
    relayed: RelayedCallPort
    organisations: OrganisationGuard
    quotas: QuotaGuard
    last_request_at: float = float("-inf")
    grace: GracePeriod | None = None
    _claimed_tasks: set["asyncio.Task[Any]"] = attrs.field(factory=set)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request of a caller or of another daemon."""
        if RELAY_HEADER in request.headers:
            return await self.relayed.handle(request)
        return await self.handle_caller(request)

    async def handle_caller(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request of a caller."""
        self.requests.begin()
        self.last_request_at = started = self.clock.monotonic()
        try:
            await self.requests.until_current()
            return await self._serve_caller(request, started)
        except asyncio.CancelledError:
            self._record_unanswered(request, started)
            raise
        finally:
            self.requests.end()

    @property
    def is_idle(self) -> bool:
        """Whether nothing is in progress, not even a call whose caller has disconnected."""
        return self.requests.count == 0 and not self._claimed_tasks

    async def _serve_caller(self, request: web.BaseRequest, started: float) -> web.StreamResponse:
        parsed = await self.requests.until_close(
            read_request(
                request,
                self.configuration,
                self.dialect,
                self.service,
                self.choose_service,
                started,
                self.clock.monotonic,
                self.next_id,
                self.organisations,
            ),
            lambda: NotRun(Reason.LEAVING, f"{self.vm} stops before the request has arrived"),
        )
        if parsed.is_error():
            self.journal.record(
                catalogue.REQUEST_REJECTED,
                request=request.headers.get(self.dialect.request_id_header, "without id"),
                reason=f"{parsed.error.reason.value}: {parsed.error.detail}",
            )
            return refuse(request, parsed.error, self.dialect, self.directory.me.is_leaving)
        caller_request = parsed.ok
        if self.grace is not None:
            self._record_while_leaving(caller_request, self.grace)
        result = await self.requests.until_close(
            self._run(caller_request), lambda: stopped_during(caller_request.call, self.vm)
        )
        name = caller_request.class_of_work.name
        if result.is_ok():
            result = await self._check_promise(caller_request.call, result.ok)
        if result.is_error():
            self._record_failure(caller_request, result.error)
            delay = self._retry_after(caller_request.call, result.error)
            return refuse(request, result.error, self.dialect, self.directory.me.is_leaving, delay)
        answer = result.ok
        try:
            response = await send_answer(
                request,
                answer,
                {},
                is_last(request, self.directory.me.is_leaving),
                caller_request.call.deadline - self.clock.monotonic(),
            )
        except InvalidAnswerError as exc:
            self.journal.record(
                catalogue.CALL_UNKNOWN,
                call=caller_request.call.id,
                request=caller_request.call.request_id,
                reason=str(exc),
            )
            raise ConnectionResetError(str(exc)) from exc
        finally:
            await answer.close()
        seconds = self.clock.monotonic() - caller_request.started
        target_ms = caller_request.class_of_work.answer_within_ms
        self.counts.count_answer(name, answer.status, seconds, target_ms)
        self.journal.record(
            catalogue.REQUEST_ANSWERED,
            call=caller_request.call.id,
            request=caller_request.call.request_id,
            status=answer.status,
            ms=round(seconds * 1000),
            class_of_work=name,
            target_ms=target_ms,
            configuration=self.configuration.version_text,
        )
        return response

    async def _check_promise(self, call: Call, answer: Answer) -> Result[Answer, Failure]:
        """Check an answer that another daemon, perhaps of an earlier version, may have kept."""
        false_promise = check_promise(self.dialect, answer.status, call.at_most_once)
        if false_promise is None:
            return Result.Ok(answer)
        await answer.close()
        return Result.Error(false_promise)

    def _retry_after(self, call: Call, failure: Failure) -> float:
        return retry_after_seconds(
            failure.reason,
            call.deadline - self.clock.monotonic(),
            self.router.sender.typical_seconds(call.class_name),
            call.priority,
            self.router.rng,
        )

    async def _run(self, caller_request: CallerRequest) -> Result[Answer, Failure]:
        call = caller_request.call
        if not self._may_serve(call):
            detail = f"{self.vm} is leaving and may stop before the request has ended"
            return Result.Error(NotRun(Reason.LEAVING, detail))
        level = self.suspects.level(call.fingerprint)
        if level is QuarantineLevel.HELD:
            detail = f"request {call.fingerprint} made servers fail and is temporarily quarantined"
            return Result.Error(NotRun(Reason.HARMFUL, detail))
        # Of a partial fingerprint only the gate can tell whether the request itself is suspected.
        if level is QuarantineLevel.SUSPECTED and not is_partial(call.fingerprint):
            call = attrs.evolve(call, is_on_trial=True)
        organisation = caller_request.organisation
        if not (call.at_most_once and caller_request.key):
            return await self.quotas.run(organisation, call, self.router.run)

        def run_once(call: Call) -> Awaitable[Result[Answer, Failure]]:
            return self.guard.run_once(call, caller_request.key)

        if not call.body.is_buffered:
            return await self.quotas.run(organisation, call, run_once)
        # A claimed request runs to its end even if its caller disconnects, so that a retry by the
        # caller is given the answer.
        task = asyncio.create_task(self.quotas.run(organisation, call, run_once))
        self._claimed_tasks.add(task)
        task.add_done_callback(self._claimed_tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # A long answer is not cached, and holds a slot of its gate until it is closed.
            close_when_done(task)
            if self.requests.is_closing:
                # Once it has ended, it can't be sent any more.
                task.cancel()
                await asyncio.wait({task})
            raise

    def _may_serve(self, call: Call) -> bool:
        if self.requests.is_closing:
            return False
        typical_seconds = self.router.sender.typical_seconds(call.class_name)
        return self.grace is None or self.grace.may_serve(
            self.clock.monotonic(), call.deadline, typical_seconds
        )

    def _record_while_leaving(self, caller_request: CallerRequest, grace: GracePeriod) -> None:
        now = self.clock.monotonic()
        self.journal.record(
            catalogue.REQUEST_WHILE_LEAVING,
            call=caller_request.call.id,
            request=caller_request.call.request_id,
            leaving_ms=round((caller_request.started - grace.started) * 1000),
            grace_left_ms=None if math.isinf(grace.ends) else round((grace.ends - now) * 1000),
            deadline_left_ms=round((caller_request.call.deadline - now) * 1000),
            class_of_work=caller_request.class_of_work.name,
        )

    def _record_unanswered(self, request: web.BaseRequest, started: float) -> None:
        now = self.clock.monotonic()
        grace = self.grace
        self.journal.record(
            catalogue.REQUEST_UNANSWERED,
            request=request.headers.get(self.dialect.request_id_header, "without id"),
            closed_by="this daemon" if self.requests.is_closing else "the caller",
            ms=round((now - started) * 1000),
            leaving_ms=None if grace is None else round((now - grace.started) * 1000),
        )

    def _record_failure(self, caller_request: CallerRequest, failure: Failure) -> None:
        self.counts.count_failure(
            caller_request.class_of_work.name, caller_request.call.service, failure
        )
        event = catalogue.CALL_NOT_RUN
        if not isinstance(failure, NotRun):
            event = catalogue.CALL_UNKNOWN
        reason = f"{failure.reason.value}: {failure.detail}"
        self.journal.record(
            event,
            call=caller_request.call.id,
            request=caller_request.call.request_id,
            reason=reason,
            ms=round((self.clock.monotonic() - caller_request.started) * 1000),
            class_of_work=caller_request.class_of_work.name,
            service=caller_request.call.service,
            configuration=self.configuration.version_text,
        )
