"""The router: sends a call to a server, and elsewhere if that server did not run it.

Only two kinds of attempts are repeated: those that were certainly not run, and those of a
repeatable call.  Every further attempt takes one from the call's own retry budget, which travels
with it and is split with the nested calls (so a call tree of depth d with budget b makes at most d
* (1 + b) attempts along any chain), and one from the daemon's budget for the service, which is a
share of its calls and an equal part of what the fleet may spend besides.

A refusal by a gate costs no server anything and takes nothing from these budgets; its bounds are
the few gates that are asked in a round and, if all are full, a backlog that holds few calls, none
of them for longer than an eighth of its class's target.  So a short burst is ridden out, and a long
overload is shed at once.  If all gates asked are full or would answer too late for the target, the
best of them is asked again to take the call as it is, or to let it wait for a slot.

A server that was given little so far gets a small share of the calls that have time for it.

A server of this data centre is preferred as long as it has room and would be in time.

A repeatable call that takes much longer than others of its class is hedged: it runs a second time
at another server, and the first whole answer wins; the other attempt is cancelled.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

import attrs
from expression import Error, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member, ServerState
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.routing.budgets import HEDGE_RESERVE, HEDGE_SHARE, RETRY_SHARE, ShareBudget
from kingcuppond.routing.call import Answer, Call
from kingcuppond.routing.choice import Candidate, Moment, Policy, find_unproven, least_expected
from kingcuppond.routing.hedging import discard, first_answer
from kingcuppond.routing.sender import Sender
from kingcuppond.routing.view import ServerView

HEDGE_LATENCY_RATIO: Final = 6.0
"""The usual time is that of short answers; half as much again and a busy machine are no trouble."""

HEDGE_MIN_SECONDS: Final = 0.010
ASKED_IN_A_ROUND: Final = 4
MAX_BACKLOG: Final = 32

NEAR_WORD_SECONDS: Final = 0.03
"""So long a gate itself takes the word of its server for fresh."""

NEAR_LOAD_SHARE: Final = 0.8
"""Servers become slower when they are nearly full; then those farther off are compared too."""
UNPROVEN_SHARE: Final = 0.05
"""Of the calls that have time for it; as many as may be hedged."""

BACKLOG_SHARE_OF_TARGET: Final = 0.125
FIRST_PAUSE_SECONDS: Final = 0.004
MAX_PAUSE_SECONDS: Final = 0.064
NOT_AT_A_SERVER: Final = (
    Reason.FULL,
    Reason.SLOW,
    Reason.LEAVING,
    Reason.OUT_OF_SERVICE,
    Reason.NO_SERVER,
    Reason.NOT_READY,
    Reason.ISOLATED,
    Reason.UNREACHABLE,
)
"""No server had the call, so that it may go on without a share of the budgets."""

TAKES_IT_LATE: Final = (Reason.FULL, Reason.SLOW)
NOT_ELSEWHERE: Final = (Reason.HARMFUL, Reason.BAD_REQUEST, Reason.DEADLINE)


@attrs.define
class _Progress:
    """How far a call has come.

    :param retries_left: further attempts that may reach a server
    :param tried: VMs that were asked in this round
    :param slow: servers that would take the call, but perhaps too late for the target
    :param failed: an answer that says that the server failed, kept in case no better one comes
    """

    retries_left: int
    tried: set[str] = attrs.field(factory=set)
    slow: list[Candidate] = attrs.field(factory=list)
    failed: Answer | None = None


@attrs.define
class Router:
    """The state of routing.

    :param detour_seconds: how much longer an answer may take in this daemon's own data centre
        before another one is preferred
    :param fleet_retries: retries that the whole fleet may spend on a service beyond the share of
        its calls, in the time that the budget is counted over
    :param next_id: makes the id of a new attempt
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
    backlog: int = 0
    hedges: ShareBudget = attrs.field(factory=lambda: ShareBudget(HEDGE_SHARE, HEDGE_RESERVE))
    retries_by_service: dict[str, ShareBudget] = attrs.field(factory=dict)
    views_by_vm: dict[str, ServerView] = attrs.field(factory=dict)

    async def run(self, call: Call) -> Result[Answer, Failure]:
        """Run a call at some server.

        The caller must call ``close`` on the answer.
        """
        self._retries(call.service).earn()
        self.hedges.earn()
        now = self.clock.monotonic()
        patience = min(call.deadline - now, call.target_at - now) * BACKLOG_SHARE_OF_TARGET
        pause = FIRST_PAUSE_SECONDS
        progress = _Progress(call.retry_budget)
        while True:
            got = await self._run_round(call, progress)
            if got.is_ok() or got.error.reason is not Reason.FULL or call.body.is_spent:
                break
            if self.backlog >= MAX_BACKLOG or self.clock.monotonic() + pause > now + patience:
                break
            await self._wait_in_backlog(pause)
            pause = min(pause * 2, MAX_PAUSE_SECONDS)
            call = attrs.evolve(call, id=self.next_id())
            progress = _Progress(progress.retries_left, failed=progress.failed)
        if got.is_error() and progress.failed is not None:
            return Result.Ok(progress.failed)
        return got

    async def _run_round(self, call: Call, progress: _Progress) -> Result[Answer, Failure]:
        """Try a few servers, each once."""
        failure: Failure | None = None
        while True:
            candidate = self._choose(call, progress.tried)
            is_last = len(progress.tried) >= ASKED_IN_A_ROUND or candidate is None
            if is_last and progress.slow and not call.body.is_spent:
                candidate = self._least_slow(progress)
                call = attrs.evolve(call, id=self.next_id(), is_last_resort=True)
            elif is_last or candidate is None:
                return Error(failure or self._no_candidate(call))
            progress.tried.add(candidate.vm)
            call = attrs.evolve(call, retry_budget=progress.retries_left)
            got = await self._run_hedged(call, candidate, progress)
            if got.is_ok():
                if not self._may_better(call, got.ok, progress):
                    return got
                progress.failed = got.ok
            else:
                failure = got.error
                if call.body.is_spent or not self._may_go_on(call, candidate, failure, progress):
                    return got
            call = attrs.evolve(call, id=self.next_id())

    def _may_go_on(
        self, call: Call, candidate: Candidate, failure: Failure, progress: _Progress
    ) -> bool:
        """Tell whether a call that failed at one server may go to another one."""
        if failure.reason in NOT_AT_A_SERVER and isinstance(failure, NotRun):
            if failure.reason in TAKES_IT_LATE and not call.is_last_resort:
                progress.slow.append(candidate)
            return not call.is_last_resort
        if not self._may_repeat(call, failure, progress):
            return False
        progress.retries_left -= 1
        self._record_retry(call, failure.reason.value, progress)
        return True

    def _record_retry(self, call: Call, reason: str, progress: _Progress) -> None:
        self.journal.record(
            catalogue.CALL_RETRIED,
            call=call.id,
            request=call.request_id,
            reason=reason,
            retries_left=progress.retries_left,
        )

    def _may_better(self, call: Call, answer: Answer, progress: _Progress) -> bool:
        """Tell whether another server may be asked, since this one said that it failed."""
        if answer.status < 500 or answer.whole is None or not call.is_repeatable:
            return False
        if progress.retries_left < 1 or progress.failed is not None or call.is_last_resort:
            return False
        if not self._retries(call.service).take():
            return False
        progress.retries_left -= 1
        self._record_retry(call, f"status {answer.status}", progress)
        return True

    def _least_slow(self, progress: _Progress) -> Candidate:
        now = self.clock.monotonic()
        best = min(progress.slow, key=lambda it: it.view.expected_seconds(now))
        progress.slow.clear()
        return best

    def _no_candidate(self, call: Call) -> NotRun:
        members = self.directory.members_by_service.get(call.service, {}).values()
        if any(self._takes_work(member) for member in members):
            return NotRun(Reason.FULL, f"all servers of {call.service} have just refused work")
        return NotRun(Reason.NO_SERVER, f"no server of {call.service} takes work now")

    async def _wait_in_backlog(self, pause: float) -> None:
        self.backlog += 1
        try:
            await asyncio.sleep(pause * self.rng.uniform(0.5, 1.0))
        finally:
            self.backlog -= 1

    def candidates(self, service: str, tried: set[str]) -> list[Candidate]:
        """Return the servers that may run a call of a service now."""
        now = self.clock.monotonic()
        me = self.directory.me
        eligible = [
            Candidate(
                vm,
                self._view(vm),
                vm == me.vm,
                0.0 if member.data_centre == me.data_centre else self.detour_seconds,
            )
            for vm, member in self.directory.members_by_service.get(service, {}).items()
            if vm not in tried and self._takes_work(member)
        ]
        preferred = [
            candidate
            for candidate in eligible
            if not self.directory.is_suspected(candidate.vm) and candidate.view.paused_until <= now
        ]
        return preferred or eligible

    def _takes_work(self, member: Member) -> bool:
        if member.is_leaving or member.state in (ServerState.ABSENT, ServerState.DRAINING):
            return False
        if self.configuration.is_out(member.data_centre):
            return False
        return not self.directory.is_dead(member.vm)

    def _view(self, vm: str) -> ServerView:
        view = self.views_by_vm.get(vm)
        if view is None:
            view = self.views_by_vm[vm] = ServerView()
        return view

    def _retries(self, service: str) -> ShareBudget:
        reserve = self.fleet_retries / max(1, len(self.directory.living()))
        budget = self.retries_by_service.get(service)
        if budget is None:
            budget = self.retries_by_service[service] = ShareBudget(RETRY_SHARE, reserve)
        budget.reserve = reserve
        return budget

    def least_retries(self) -> float:
        """Return the retries that are left for the service that has fewest; 0 before any call."""
        return min((it.tokens for it in self.retries_by_service.values()), default=0.0)

    def _choose(self, call: Call, tried: set[str]) -> Candidate | None:
        candidates = self.candidates(call.service, tried)
        if not candidates or self.clock.monotonic() >= call.deadline:
            return None
        now = self.clock.monotonic()
        usual = self.sender.usual_seconds(call.class_name)
        near = [it for it in candidates if self._is_near_enough(it, now, call.target_at, usual)]
        moment = Moment(now, usual)
        if self.rng.random() < UNPROVEN_SHARE:
            unproven = find_unproven(near or candidates, moment, call.target_at)
            if unproven:
                return self.rng.choice(unproven)
        return self.policy(near or candidates, moment, self.rng)

    def _is_near_enough(
        self, candidate: Candidate, now: float, target_at: float, usual: float
    ) -> bool:
        """Tell whether a server of this data centre has room and would be in time.

        Then no other data centre is asked: what crosses between them is paid for.  A gate here
        that was slow or full a moment ago is asked again, since its refusal costs little time.
        """
        view = candidate.view
        if candidate.detour_seconds:
            return False
        if view.load_share(now, NEAR_WORD_SECONDS) >= NEAR_LOAD_SHARE:
            return False
        return now + view.expected_seconds(now, usual, NEAR_WORD_SECONDS) <= target_at

    def _may_repeat(self, call: Call, failure: Failure, progress: _Progress) -> bool:
        if failure.reason in NOT_ELSEWHERE or progress.retries_left < 1:
            return False
        if isinstance(failure, Unknown) and not call.is_repeatable:
            return False
        return self._retries(call.service).take()

    async def _run_hedged(
        self, call: Call, candidate: Candidate, progress: _Progress
    ) -> Result[Answer, Failure]:
        wait = self._hedge_delay(call)
        if wait is None:
            return await self.sender.attempt(call, candidate)
        first = asyncio.create_task(self.sender.attempt(call, candidate))
        try:
            await asyncio.wait({first}, timeout=wait)
        except asyncio.CancelledError:
            await discard({first})
            raise
        second = None if first.done() else self._choose(call, progress.tried)
        if second is None or not self.hedges.take():
            return await first
        progress.tried.add(second.vm)
        progress.retries_left -= 1
        self.journal.record(
            catalogue.CALL_HEDGED, call=call.id, request=call.request_id, member=second.vm
        )
        hedge = attrs.evolve(call, id=self.next_id(), retry_budget=progress.retries_left)
        return await first_answer({first, asyncio.create_task(self.sender.attempt(hedge, second))})

    def _hedge_delay(self, call: Call) -> float | None:
        typical = self.sender.usual.seconds_by_class.get(call.class_name)
        if not self.is_hedging or typical is None or not call.is_repeatable:
            return None
        if call.retry_budget < 1 or call.is_on_trial:
            return None
        return max(HEDGE_MIN_SECONDS, HEDGE_LATENCY_RATIO * typical)
