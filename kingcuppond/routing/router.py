"""The router: sends a call to a server, and retries or hedges it at other servers.

Only two kinds of attempts are retried: those that were certainly not run, and those of a repeatable
call.  Every retry takes one from the call's own retry budget, which is sent with the call and
shared with its nested calls (so a call tree of depth d with budget b makes at most d * (1 + b)
attempts along any chain).  It also takes one from the daemon's budget of repeats for the service,
as a hedge does (see ``kingcuppond.routing.repeats``).  A retry starts a new round of gates without
the servers that already received the call; what it took is given back if no further server receives
the call.

A refusal by a gate costs no server any work and takes nothing from these budgets.  Refusals are
bounded by the number of gates that are asked in a round.  If all are full, the call waits in a
backlog that holds few calls, none of them for longer than an eighth of its class's target.  So a
short burst is absorbed, and a long overload is shed at once.  If all gates that were asked are full
or would answer too late for the target, the best of them is asked again to accept the call even so,
or to queue it for a slot.

The server is chosen by ``kingcuppond.routing.placement``.

A repeatable call that takes much longer than others of its class is hedged: a second attempt starts
at another server, the first complete answer wins, and the other attempt is cancelled.
"""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

import attrs
from expression import Error, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.routing.call import Answer, Call
from kingcuppond.routing.choice import Candidate, Policy, SelectionContext, least_expected
from kingcuppond.routing.hedging import cancel_attempts, first_answer
from kingcuppond.routing.leaving import LeavingPlanner
from kingcuppond.routing.placement import MemberFilter, Scope, ServerIndex, place
from kingcuppond.routing.repeats import RepeatBudget, allowance_of_daemon, make_repeat_budget
from kingcuppond.routing.sender import Sender
from kingcuppond.routing.view import ServerView

HEDGE_LATENCY_RATIO: Final = 6.0
"""The typical latency follows the shorter answers of a class; answers that take half as long again,
and those of busy machines, must not cause hedges."""

HEDGE_MIN_SECONDS: Final = 0.010
MAX_SERVERS_PER_ROUND: Final = 4
MAX_BACKLOG: Final = 32

BACKLOG_SHARE_OF_TARGET: Final = 0.125
INITIAL_BACKLOG_BACKOFF_SECONDS: Final = 0.004
MAX_BACKLOG_BACKOFF_SECONDS: Final = 0.064
REFUSED_BEFORE_SERVER_REASONS: Final = (
    Reason.FULL,
    Reason.SERVER_SLOW,
    Reason.LEAVING,
    Reason.DATA_CENTRE_OUT,
    Reason.NO_SERVER,
    Reason.NOT_READY,
    Reason.ISOLATED,
    Reason.UNREACHABLE,
    Reason.VERSION_SHARE,
)
"""No server received the call, so that it may go to another one without using the budgets."""

LAST_RESORT_REASONS: Final = (Reason.FULL, Reason.SERVER_SLOW)
"""Refusals by a gate that may still accept the call as a last resort."""

BACKLOG_REASONS: Final = (Reason.FULL, Reason.VERSION_SHARE)
"""Refusals after which a call may wait for a moment: until a slot becomes free, or this daemon has
heard of the roll-out that the gates know already."""

NOT_RETRYABLE_REASONS: Final = (Reason.HARMFUL, Reason.BAD_REQUEST, Reason.DEADLINE)


@attrs.define
class _CallProgress:
    """The retry state of one call.

    :param retries_left: further attempts that may reach a server
    :param tried: VMs that were asked in this round, and those in ``received``
    :param received: VMs whose server received the call, and which get it no second time in a round
    :param has_unused_retry: a retry was taken from the budgets, and no server has received it yet
    :param late_candidates: servers that refused the call as full or too late for the target, but
        may accept it as a last resort
    :param error_answer: a 5xx answer, returned if no retry gives a better one
    """

    retries_left: int
    tried: set[str] = attrs.field(factory=set)
    received: set[str] = attrs.field(factory=set)
    has_unused_retry: bool = False
    late_candidates: list[Candidate] = attrs.field(factory=list)
    error_answer: Answer | None = None


def _all_servers(_service: str, _rng: Random) -> Iterable[MemberFilter | None]:
    return (None,)


@attrs.define
class Router:
    """Routes calls and keeps the views and budgets for it.

    :param next_id: creates the id of a new attempt
    :param detour_seconds: how much longer an answer may take in this daemon's own data centre
        before another one is preferred
    :param fleet_retries: repeats that the whole fleet may spend on a service beyond the share of
        its calls; the capacity of the daemons' budgets adds up to it
    :param has_full_budgets: whether the budgets start full
    :param filters: returns which servers of a service one choice is limited to, in order of
        preference; ``None`` stands for all
    :param leaving: decides which calls leave this data centre; ``None`` to decide by the penalty
    :param backlog: number of calls that wait in the backlog
    """

    directory: Directory
    configuration: Configuration
    sender: Sender
    clock: Clock
    journal: Journal
    rng: Random
    next_id: Callable[[], str]
    detour_seconds: float
    fleet_retries: float
    policy: Policy = least_expected
    is_hedging: bool = True
    has_full_budgets: bool = True
    leaving: LeavingPlanner | None = None
    backlog: int = 0
    filters: Callable[[str, Random], Iterable[MemberFilter | None]] = _all_servers
    repeat_budgets_by_service: dict[str, RepeatBudget] = attrs.field(factory=dict)
    views_by_vm: dict[str, ServerView] = attrs.field(factory=dict)
    servers: ServerIndex = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.servers = ServerIndex(self.directory, self.configuration, self._view, self.rng)

    async def run(self, call: Call) -> Result[Answer, Failure]:
        """Run a call at some server.

        The code that receives the answer must call its ``close``.
        """
        now = self.clock.monotonic()
        self._repeat_budget(call.service).record_call(self.repeat_allowance(), now)
        max_backlog_seconds = (
            min(call.deadline - now, call.target_at - now) * BACKLOG_SHARE_OF_TARGET
        )
        backoff = INITIAL_BACKLOG_BACKOFF_SECONDS
        progress = _CallProgress(call.retry_budget)
        while True:
            result = await self._run_round(call, progress)
            if result.is_ok() or call.body.is_consumed:
                break
            is_waiting_useful = isinstance(result.error, NotRun) and progress.has_unused_retry
            if not is_waiting_useful and result.error.reason not in BACKLOG_REASONS:
                break
            if (
                self.backlog >= MAX_BACKLOG
                or self.clock.monotonic() + backoff > now + max_backlog_seconds
            ):
                break
            await self._wait_in_backlog(backoff)
            backoff = min(backoff * 2, MAX_BACKLOG_BACKOFF_SECONDS)
            call = attrs.evolve(call, id=self.next_id())
            progress = _CallProgress(
                progress.retries_left,
                has_unused_retry=progress.has_unused_retry,
                error_answer=progress.error_answer,
            )
        if progress.has_unused_retry:
            self._repeat_budget(call.service).give_back()
        if result.is_error() and progress.error_answer is not None:
            return Result.Ok(progress.error_answer)
        if result.is_error() and call.delivery.may_have_run:
            return Error(_as_unknown(result.error))
        return result

    async def _run_round(self, call: Call, progress: _CallProgress) -> Result[Answer, Failure]:
        """Try a few servers, each once, and then the best one that would accept the call late."""
        failure: Failure | None = None
        while True:
            candidate = self._choose(call, progress.tried)
            asked = len(progress.tried) - len(progress.received)
            is_round_over = asked >= MAX_SERVERS_PER_ROUND or candidate is None
            if is_round_over and progress.late_candidates and not call.body.is_consumed:
                candidate = self._take_best_late_candidate(progress)
                call = attrs.evolve(call, id=self.next_id(), is_last_resort=True)
            elif is_round_over or candidate is None:
                return Error(failure or self._no_candidate_failure(call))
            progress.tried.add(candidate.vm)
            call = attrs.evolve(call, retry_budget=progress.retries_left)
            asked_before = progress.tried - {candidate.vm}
            result = await self._run_hedged(call, candidate, progress)
            if result.is_ok() or not _was_refused_before_server(result.error):
                progress.has_unused_retry = False
                progress.received |= progress.tried - asked_before
            if result.is_ok():
                if not self._may_retry_error_answer(call, result.ok, progress):
                    return result
                progress.error_answer = result.ok
            else:
                failure = result.error
                if call.body.is_consumed or not self._may_try_another(
                    call, candidate, failure, progress
                ):
                    return result
                if progress.has_unused_retry:
                    call = attrs.evolve(call, is_last_resort=False)
            call = attrs.evolve(call, id=self.next_id())

    def _may_try_another(
        self, call: Call, candidate: Candidate, failure: Failure, progress: _CallProgress
    ) -> bool:
        """Return whether a call that failed at one server may go to another one.

        If so, a retry is taken from the budgets, unless no server received the call.
        """
        if _was_refused_before_server(failure):
            if failure.reason in LAST_RESORT_REASONS and not call.is_last_resort:
                progress.late_candidates.append(candidate)
            return not call.is_last_resort
        if not self._may_retry(call, failure, progress):
            return False
        progress.retries_left -= 1
        progress.has_unused_retry = True
        # The round may be over, with a last resort that its server shed: a retry needs a new one.
        progress.tried = set(progress.received)
        self._record_retry(call, failure.reason.value, progress)
        return True

    def _record_retry(self, call: Call, reason: str, progress: _CallProgress) -> None:
        self.journal.record(
            catalogue.CALL_RETRIED,
            call=call.id,
            request=call.request_id,
            reason=reason,
            retries_left=progress.retries_left,
        )

    def _may_retry_error_answer(self, call: Call, answer: Answer, progress: _CallProgress) -> bool:
        """Return whether a call with a 5xx answer may be retried, and take it from the budgets."""
        if answer.status < 500 or answer.body is None or not call.is_repeatable:
            return False
        if progress.retries_left < 1 or progress.error_answer is not None or call.is_last_resort:
            return False
        if not self._repeat_budget(call.service).take(may_have_run=True, rng=self.rng):
            return False
        progress.retries_left -= 1
        progress.has_unused_retry = True
        self._record_retry(call, f"status {answer.status}", progress)
        return True

    def _take_best_late_candidate(self, progress: _CallProgress) -> Candidate:
        now = self.clock.monotonic()
        best = min(progress.late_candidates, key=lambda it: it.view.expected_seconds(now))
        progress.late_candidates.clear()
        return best

    def _no_candidate_failure(self, call: Call) -> NotRun:
        if self.servers.has_any(call.service):
            return NotRun(Reason.FULL, f"all servers of {call.service} refused the call")
        return NotRun(Reason.NO_SERVER, f"no server of {call.service} accepts calls now")

    async def _wait_in_backlog(self, backoff: float) -> None:
        self.backlog += 1
        try:
            await asyncio.sleep(backoff * self.rng.uniform(0.5, 1.0))
        finally:
            self.backlog -= 1

    def _view(self, vm: str) -> ServerView:
        view = self.views_by_vm.get(vm)
        if view is None:
            view = self.views_by_vm[vm] = ServerView()
        return view

    def _repeat_budget(self, service: str) -> RepeatBudget:
        budget = self.repeat_budgets_by_service.get(service)
        if budget is None:
            budget = make_repeat_budget(self.repeat_allowance(), self.has_full_budgets)
            self.repeat_budgets_by_service[service] = budget
        return budget

    def repeat_allowance(self) -> float:
        """Return this daemon's part of the fleet's allowance for a service, in repeats."""
        return allowance_of_daemon(self.fleet_retries, len(self.directory.members_by_vm))

    def min_repeats_left(self) -> float:
        """Return the repeats left for the service that has the fewest; 0 before any call."""
        budgets = self.repeat_budgets_by_service.values()
        return min((it.repeats.tokens for it in budgets), default=0.0)

    def _choose(self, call: Call, tried: set[str]) -> Candidate | None:
        now = self.clock.monotonic()
        if now >= call.deadline:
            return None
        typical_seconds = self.sender.typical_seconds(call.class_name)
        scope = None
        if self.leaving is not None:
            scope = self.leaving.scope(call, len(tried), now, typical_seconds)
        candidates = self._draw(call.service, tried, now, scope)
        if not candidates:
            return None
        context = SelectionContext(now, typical_seconds)
        return place(candidates, context, call.target_at, self.policy, self.rng)

    def _draw(
        self, service: str, tried: set[str], now: float, scope: Scope | None
    ) -> list[Candidate]:
        for allows in self.filters(service, self.rng):
            drawn = self.servers.draw(service, tried, now, self.detour_seconds, allows, scope)
            if drawn:
                return drawn
        return []

    def _may_retry(self, call: Call, failure: Failure, progress: _CallProgress) -> bool:
        """Return whether a call may be retried, and take it from the budget of repeats."""
        if failure.reason in NOT_RETRYABLE_REASONS or progress.retries_left < 1:
            return False
        if isinstance(failure, Unknown) and not call.is_repeatable:
            return False
        now = self.clock.monotonic()
        if now + self.sender.typical_seconds(call.class_name) > call.deadline:
            return False
        may_have_run = isinstance(failure, Unknown)
        return self._repeat_budget(call.service).take(may_have_run, self.rng)

    async def _run_hedged(
        self, call: Call, candidate: Candidate, progress: _CallProgress
    ) -> Result[Answer, Failure]:
        delay = self._hedge_delay(call)
        if delay is None:
            return await self.sender.attempt(call, candidate)
        first_attempt = asyncio.create_task(self.sender.attempt(call, candidate))
        try:
            await asyncio.wait({first_attempt}, timeout=delay)
        except asyncio.CancelledError:
            cancel_attempts({first_attempt})
            raise
        second_candidate = None if first_attempt.done() else self._choose(call, progress.tried)
        budget = self._repeat_budget(call.service)
        if second_candidate is None or not budget.take(may_have_run=True, rng=self.rng):
            return await first_answer({first_attempt})
        progress.tried.add(second_candidate.vm)
        progress.retries_left -= 1
        self.journal.record(
            catalogue.CALL_HEDGED, call=call.id, request=call.request_id, member=second_candidate.vm
        )
        hedge = attrs.evolve(call, id=self.next_id(), retry_budget=progress.retries_left)
        return await first_answer(
            {first_attempt, asyncio.create_task(self.sender.attempt(hedge, second_candidate))}
        )

    def _hedge_delay(self, call: Call) -> float | None:
        typical_seconds = self.sender.typical_latencies.seconds_by_class.get(call.class_name)
        if not self.is_hedging or typical_seconds is None or not call.is_repeatable:
            return None
        if call.retry_budget < 1 or call.is_on_trial:
            return None
        return max(HEDGE_MIN_SECONDS, HEDGE_LATENCY_RATIO * typical_seconds)


def _was_refused_before_server(failure: Failure) -> bool:
    return isinstance(failure, NotRun) and failure.reason in REFUSED_BEFORE_SERVER_REASONS


def _as_unknown(failure: Failure) -> Unknown:
    """Return the failure of a call of which an earlier attempt may have run."""
    if isinstance(failure, Unknown):
        return failure
    return Unknown(failure.reason, f"an earlier attempt may have run: {failure.detail}")
