"""The router: sends a call to a server, and elsewhere if that server did not run it.

Only two kinds of attempts are repeated: those that were certainly not run, and those of a
repeatable call.  Every further attempt takes one from the call's own retry budget, which travels
with it and is split with the nested calls (so a call tree of depth d with budget b makes at most d
* (1 + b) attempts along any chain), and one from the daemon's, which is a share of its calls.

A refusal by a gate costs no server anything and takes nothing from these budgets; its bounds are
the few gates that are asked in a round and, if all are full, a backlog that holds few calls, none
of them for longer than half of its time.  So a short burst is ridden out, and a long overload is
shed.

A repeatable call that takes much longer than others of its class is hedged: it runs a second time
at another server, and the first whole answer wins; the other attempt is cancelled.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

import aiohttp
import attrs
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.gate.gate import Gate
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member, ServerState
from kingcuppond.outcomes import OUTCOME_HEADER, Failure, NotRun, Outcome, Reason, Unknown
from kingcuppond.routing import relay
from kingcuppond.routing.budgets import HEDGE_SHARE, RETRY_SHARE, ShareBudget
from kingcuppond.routing.call import Answer, Call
from kingcuppond.routing.choice import Candidate, Policy, least_expected
from kingcuppond.routing.exchange import Exchanged, exchange
from kingcuppond.routing.headers import GATE_HEADER, MAC_HEADER, RELAY_HEADER, to_multidict
from kingcuppond.routing.view import ServerView, parse_report

HEDGE_LATENCY_RATIO: Final = 4.0
HEDGE_MIN_SECONDS: Final = 0.010
TYPICAL_WEIGHT: Final = 0.05
ASKED_IN_A_ROUND: Final = 4
MAX_BACKLOG: Final = 32
FIRST_PAUSE_SECONDS: Final = 0.004
MAX_PAUSE_SECONDS: Final = 0.064
REFUSED_BY_GATE: Final = (
    Reason.FULL,
    Reason.LEAVING,
    Reason.OUT_OF_SERVICE,
    Reason.NO_SERVER,
    Reason.NOT_READY,
    Reason.ISOLATED,
)
NOT_ELSEWHERE: Final = (Reason.HARMFUL, Reason.BAD_REQUEST, Reason.DEADLINE)


@attrs.define
class Router:
    """The state of routing.

    :param next_id: makes the id of a new attempt
    """

    directory: Directory
    configuration: Configuration
    gate: Gate
    session: aiohttp.ClientSession
    fleet_key: bytes
    clock: Clock
    journal: Journal
    rng: Random
    next_id: Callable[[], str]
    policy: Policy = least_expected
    is_hedging: bool = True
    attempts: int = 0
    backlog: int = 0
    retries: ShareBudget = attrs.field(factory=lambda: ShareBudget(RETRY_SHARE))
    hedges: ShareBudget = attrs.field(factory=lambda: ShareBudget(HEDGE_SHARE))
    views_by_vm: dict[str, ServerView] = attrs.field(factory=dict)
    _typical_by_class: dict[str, float] = attrs.field(factory=dict)

    async def run(self, call: Call) -> Result[Answer, Failure]:
        """Run a call at some server.

        The caller must call ``close`` on the answer.
        """
        self.retries.earn()
        self.hedges.earn()
        give_up_at = call.deadline - (call.deadline - self.clock.monotonic()) / 2
        pause = FIRST_PAUSE_SECONDS
        while True:
            got = await self._run_round(call)
            if got.is_ok() or got.error.reason is not Reason.FULL or call.body.is_taken:
                return got
            if self.backlog >= MAX_BACKLOG or self.clock.monotonic() + pause > give_up_at:
                return got
            await self._wait_in_backlog(pause)
            pause = min(pause * 2, MAX_PAUSE_SECONDS)
            call = attrs.evolve(call, id=self.next_id())

    async def _run_round(self, call: Call) -> Result[Answer, Failure]:
        """Try a few servers, each once."""
        tried: set[str] = set()
        failure: Failure | None = None
        while True:
            candidate = self._choose(call, tried)
            if candidate is None:
                return Error(failure or self._no_candidate(call))
            tried.add(candidate.vm)
            got = await self._run_hedged(call, candidate, tried)
            if got.is_ok():
                return got
            failure = got.error
            if failure.reason in REFUSED_BY_GATE:
                if len(tried) >= ASKED_IN_A_ROUND or call.body.is_taken:
                    return got
                call = attrs.evolve(call, id=self.next_id())
                continue
            if not self._may_repeat(call, failure):
                return got
            self.journal.record(catalogue.CALL_RETRIED, call=call.id, reason=failure.reason.value)
            call = attrs.evolve(call, id=self.next_id(), retry_budget=call.retry_budget - 1)

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
        local = self.directory.me.vm
        eligible = [
            Candidate(vm, self._view(vm), vm == local)
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

    def _choose(self, call: Call, tried: set[str]) -> Candidate | None:
        candidates = self.candidates(call.service, tried)
        if not candidates or self.clock.monotonic() >= call.deadline:
            return None
        return self.policy(candidates, self.clock.monotonic(), self.rng)

    def _may_repeat(self, call: Call, failure: Failure) -> bool:
        if failure.reason in NOT_ELSEWHERE or call.retry_budget < 1 or call.body.is_taken:
            return False
        if isinstance(failure, Unknown) and not call.is_repeatable:
            return False
        return self.retries.take()

    async def _run_hedged(
        self, call: Call, candidate: Candidate, tried: set[str]
    ) -> Result[Answer, Failure]:
        wait = self._hedge_delay(call)
        if wait is None:
            return await self._attempt(call, candidate)
        first = asyncio.create_task(self._attempt(call, candidate))
        try:
            await asyncio.wait({first}, timeout=wait)
        except asyncio.CancelledError:
            await _discard({first})
            raise
        second = None if first.done() else self._choose(call, tried)
        if second is None or not self.hedges.take():
            return await first
        tried.add(second.vm)
        self.journal.record(catalogue.CALL_HEDGED, call=call.id, member=second.vm)
        hedge = attrs.evolve(call, id=self.next_id(), retry_budget=call.retry_budget - 1)
        return await _first_answer({first, asyncio.create_task(self._attempt(hedge, second))})

    def _hedge_delay(self, call: Call) -> float | None:
        typical = self._typical_by_class.get(call.class_name)
        if not self.is_hedging or typical is None or not call.is_repeatable:
            return None
        if call.retry_budget < 1 or call.is_on_trial:
            return None
        return max(HEDGE_MIN_SECONDS, HEDGE_LATENCY_RATIO * typical)

    async def _attempt(self, call: Call, candidate: Candidate) -> Result[Answer, Failure]:
        self.attempts += 1
        view = candidate.view
        started = self.clock.monotonic()
        view.start(call.id, started)
        # Half of what is left of the retry budget goes with the call, to be spent by nested calls.
        sent = attrs.evolve(call, retry_budget=call.retry_budget // 2)
        try:
            if candidate.is_local:
                got = await self.gate.run(sent)
            else:
                got = await self._send(sent, candidate)
        except BaseException:
            view.started_by_call.pop(call.id, None)
            raise
        now = self.clock.monotonic()
        if got.is_error() and isinstance(got.error, NotRun):
            view.refuse(call.id, now, got.error.reason is Reason.FULL)
            return got
        is_good = got.is_ok() and got.ok.status < 500
        view.end(call.id, now, is_good)
        if is_good:
            self._learn(call.class_name, now - started)
        if got.is_ok():
            status = got.ok.status
            self.journal.record(
                catalogue.CALL_ANSWERED, call=call.id, status=status, member=candidate.vm
            )
        return got

    def _learn(self, class_name: str, seconds: float) -> None:
        typical = self._typical_by_class.get(class_name, seconds)
        self._typical_by_class[class_name] = typical + TYPICAL_WEIGHT * (seconds - typical)

    async def _send(self, call: Call, candidate: Candidate) -> Result[Answer, Failure]:
        member = self.directory.members_by_vm[candidate.vm]
        head = relay.encode(self._head(call, member.vm))
        headers = to_multidict(call.headers)
        headers[RELAY_HEADER] = head
        headers[MAC_HEADER] = relay.sign(self.fleet_key, call.method, call.target, head)
        got = await exchange(
            self.session,
            member.caller_address,
            call.method,
            call.target,
            headers,
            call.body,
            call.deadline,
            expect_continue=not call.body.is_whole,
        )
        return await self._read(got, candidate)

    def _head(self, call: Call, vm: str) -> relay.Relay:
        return relay.Relay(
            call=call.id,
            to=vm,
            class_name=call.class_name,
            service=call.service,
            left_ms=max(1, int((call.deadline - self.clock.monotonic()) * 1000)),
            depth=call.depth,
            retry_budget=call.retry_budget,
            at_most_once=call.at_most_once,
            fingerprint=call.fingerprint,
            is_on_trial=call.is_on_trial,
            stamp=self.clock.stamp(),
        )

    async def _read(
        self, got: Result[Exchanged, Failure], candidate: Candidate
    ) -> Result[Answer, Failure]:
        if got.is_error():
            return Error(got.error)
        head = got.ok.headers
        answer = got.ok.answer
        candidate.view.hear(parse_report(head.get(GATE_HEADER, "")), self.clock.monotonic())
        outcome = head.get(OUTCOME_HEADER)
        if outcome == Outcome.ANSWERED:
            return Ok(answer)
        await answer.close()
        reason = _reason_of(answer)
        detail = f"said by the gate of {candidate.vm}"
        if outcome == Outcome.NOT_RUN:
            return Error(NotRun(reason, detail))
        return Error(Unknown(reason, detail))


def _reason_of(answer: Answer) -> Reason:
    # The gate's problem details carry the reason at the end of their type.
    text = (answer.whole or b"").decode("utf-8", "replace")
    _, _, rest = text.partition('"urn:kingcuppond:')
    try:
        return Reason(rest.partition('"')[0])
    except ValueError:
        return Reason.CONNECTION_LOST


async def _first_answer(
    tasks: "set[asyncio.Task[Result[Answer, Failure]]]",
) -> Result[Answer, Failure]:
    """Return the first answer; if there is none, the worst failure: unknown before not run."""
    failures: list[Failure] = []
    pending = set(tasks)
    try:
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if task.result().is_ok():
                    tasks.discard(task)
                    return task.result()
                failures.append(task.result().error)
    finally:
        await _discard(tasks)
    return Error(next((f for f in failures if isinstance(f, Unknown)), failures[0]))


async def _discard(tasks: "set[asyncio.Task[Result[Answer, Failure]]]") -> None:
    """Cancel the attempts that lost, and close the answers that came after all."""
    for task in tasks:
        task.cancel()
    for ended in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(ended, Result) and ended.is_ok():
            await ended.ok.close()
