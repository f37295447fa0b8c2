"""A small fleet whose time is simulated: real routers, admission, queues and delays of returns.

Only the servers, the hop between daemons, the machines' noise and the callers are stand-ins.  Time
advances when no task is ready, so that a run does not depend on the machine that it runs on.
"""

import asyncio
import selectors
from collections import defaultdict
from collections.abc import Callable
from random import Random
from statistics import mean
from typing import Any, Final, cast

import attrs
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.dialect import ServerLoad
from kingcuppond.events.journal import Journal
from kingcuppond.gate.admission import Admission
from kingcuppond.gate.cold_rate_limiter import ColdRateLimiter
from kingcuppond.gate.concurrency_limit import ConcurrencyLimit
from kingcuppond.gate.deadline_check import DeadlineCheck
from kingcuppond.ingress.retry_after import retry_after_seconds
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member, ServerState
from kingcuppond.outcomes import Failure, NotRun, Reason
from kingcuppond.routing.call import Answer, Body, Call
from kingcuppond.routing.choice import Candidate
from kingcuppond.routing.router import Router
from kingcuppond.routing.view import GateReport
from kingcuppond.typical_latency import TypicalLatencies

SLOTS: Final = 5
SERVERS: Final = 4
NOISE_SECONDS: Final = 0.5
NOISE_SHARE: Final = 0.25
NOISE_FACTOR: Final = 7.0
HOP_SECONDS: Final = 0.001
MAX_RETURNS: Final = 3
"""How often a caller returns after a refusal."""


@attrs.frozen
class Kind:
    """One kind of request; times in seconds, ``share`` of all requests."""

    name: str
    share: float
    work: float
    target: float
    deadline: float
    priority: int = 0


KINDS: Final = (
    Kind("look-up", 0.483, 0.156, 0.650, 3.5),
    Kind("submission", 0.257, 0.200, 0.765, 4.6),
    Kind("download", 0.067, 0.122, 1.509, 4.9),
    Kind("status", 0.193, 0.063, 0.313, 2.8),
)
"""Those of the first deployment of docs/HARD-LOAD.md."""

CAPACITY: Final = SERVERS * SLOTS / sum(kind.share * kind.work for kind in KINDS)
"""Requests per second, while no machine is slow."""


@attrs.define
class Scenario:
    """Load of a run.

    :param load: requests per second at a time, as a share of the capacity
    :param organisations: usual share of the requests of each organisation
    :param factor: what an organisation's requests are multiplied with at a time
    """

    load: Callable[[float], float]
    kinds: tuple[Kind, ...] = KINDS
    organisations: dict[str, float] = attrs.field(factory=lambda: {"": 1.0})
    factor: Callable[[str, float], float] = lambda _organisation, _at: 1.0
    is_noisy: bool = True
    cold_per_second: float | None = None
    seconds: float = 5.0
    seed: int = 1


@attrs.frozen
class Outcome:
    """How one request ended; ``started`` is the time of its first arrival."""

    kind: str
    organisation: str
    started: float
    is_served: bool
    is_in_time: bool


@attrs.define
class Report:
    """The outcomes of a run."""

    outcomes: list[Outcome] = attrs.field(factory=list)

    def in_time(self, *parts: str) -> float:
        """Return the share of requests answered within the target, of an organisation or kind."""
        return mean(
            it.is_in_time
            for it in self.outcomes
            if not parts or {it.kind, it.organisation} & {*parts}
        )

    def served(self, *parts: str) -> float:
        """Return the share of requests that were served, in time or late."""
        return mean(
            it.is_served
            for it in self.outcomes
            if not parts or {it.kind, it.organisation} & {*parts}
        )

    def worst(self, key: Callable[[Outcome], Any], share: float = 0.0) -> float:
        """Return the share in time of the worst groups of requests, at least one."""
        groups: dict[Any, list[bool]] = defaultdict(list)
        for it in self.outcomes:
            groups[key(it)].append(it.is_in_time)
        shares = sorted(mean(group) for group in groups.values())
        return mean(shares[: max(1, round(share * len(shares)))])

    def figures(self) -> dict[str, float]:
        """Return what docs/HARD-LOAD.md values."""
        figures = {
            "in time": self.in_time(),
            "window": self.worst(lambda it: int(it.started / 2)),
            "kind": self.worst(lambda it: it.kind),
            "organisations": self.worst(lambda it: it.organisation, 0.1),
            "served": self.served(),
        }
        return {name: round(value, 3) for name, value in figures.items()}


class _Selector(selectors.SelectSelector):
    """Passes the time that it would wait."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.now += max(0.0, timeout or 0.0)
        return super().select(0)


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.selector = _Selector()
        super().__init__(self.selector)

    def time(self) -> float:
        return self.selector.now


@attrs.define
class _Machine:
    """A server and its gate's decisions; takes the place of the server's observer too."""

    name: str
    rng: Random
    scenario: Scenario
    load: ServerLoad = attrs.field(factory=lambda: ServerLoad(0, 0, SLOTS))
    check: DeadlineCheck = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        now = asyncio.get_running_loop().time
        limiter = ColdRateLimiter(lambda: self.scenario.cold_per_second, now)
        limiter.set_cold_ms(4000)
        limit = ConcurrencyLimit(SLOTS, SLOTS, is_adaptive=False)
        admission = Admission(limit, lambda: None, now, limiter)
        typical = TypicalLatencies({kind.name: kind.work for kind in self.scenario.kinds})
        self.check = DeadlineCheck(self.name, admission, cast(Any, self), typical)

    @property
    def slowdown(self) -> float:
        return self.load.slowdown

    async def refresh(self) -> None:
        return

    async def make_noise(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, NOISE_SECONDS))
        while True:
            is_slow = self.scenario.is_noisy and self.rng.random() < NOISE_SHARE
            self.load = ServerLoad(0, 0, SLOTS, NOISE_FACTOR if is_slow else 1.0)
            await asyncio.sleep(NOISE_SECONDS)

    async def run(self, call: Call, work: float) -> Result[Answer, Failure]:
        refusal = await self.check.wait_for_speed(call) or self.check.refuse_late(call)
        if refusal is None:
            admitted = await self.check.admission.acquire(
                call.class_name,
                call.deadline,
                call.is_on_trial,
                call.priority,
                self.check.queue_timeout_seconds(call),
                self.check.standing(call),
            )
            if admitted.is_ok():
                slowdown = self.slowdown
                await asyncio.sleep(work * slowdown)
                self.check.admission.release(admitted.ok)
                return Ok(Answer(200, (), begun_slowdown=slowdown))
            refusal = admitted.error
        return Error(refusal)


@attrs.define
class _Sender:
    """The hop between two daemons."""

    machines: dict[str, _Machine]
    typical_latencies: TypicalLatencies

    def typical_seconds(self, class_name: str) -> float:
        return self.typical_latencies.seconds_by_class[class_name]

    async def attempt(self, call: Call, candidate: Candidate) -> Result[Answer, Failure]:
        machine, view = self.machines[candidate.vm], candidate.view
        now = asyncio.get_running_loop().time
        view.start(call.id, now())
        await asyncio.sleep(HOP_SECONDS)
        work = float(call.target) * machine.rng.uniform(0.8, 1.2)
        result = await machine.run(call, work)
        await asyncio.sleep(HOP_SECONDS)
        admission = machine.check.admission
        load = admission.in_flight + admission.waiting
        view.update_report(GateReport(load, SLOTS, machine.slowdown), now())
        if result.is_ok():
            view.end(call.id, now(), True, self.typical_seconds(call.class_name))
        elif result.error.reason is Reason.SERVER_SLOW:
            view.started_by_call.pop(call.id, None)
        else:
            view.record_refusal(call.id, now(), result.error.reason is Reason.FULL)
        return result


def replay(scenario: Scenario) -> Report:
    """Run a scenario and return its outcomes."""
    with asyncio.Runner(loop_factory=_Loop) as runner:
        return runner.run(_replay(scenario))


async def _replay(scenario: Scenario) -> Report:
    rng = Random(scenario.seed)
    report = Report()
    now = asyncio.get_running_loop().time
    names = [f"vm-{i}" for i in range(SERVERS)]
    machines = {name: _Machine(name, Random(name), scenario) for name in names}
    noise = [asyncio.create_task(machine.make_noise()) for machine in machines.values()]
    routers = [_make_router(name, machines, scenario) for name in names]
    requests: list[asyncio.Task[None]] = []
    while now() < scenario.seconds:
        weights = [s * scenario.factor(o, now()) for o, s in scenario.organisations.items()]
        per_second = CAPACITY * scenario.load(now()) * sum(weights)
        await asyncio.sleep(rng.expovariate(per_second))
        [organisation] = rng.choices(list(scenario.organisations), weights)
        [kind] = rng.choices(scenario.kinds, [it.share for it in scenario.kinds])
        request = _request(kind, organisation, routers, rng, report)
        requests.append(asyncio.create_task(request))
    await asyncio.gather(*requests)
    for task in noise:
        task.cancel()
    return report


def _make_router(name: str, machines: dict[str, _Machine], scenario: Scenario) -> Router:
    now = asyncio.get_running_loop().time
    clock = Clock(now, now)
    journal = Journal(name, clock)
    members = {
        vm: Member(vm, "a", "shop", "1:1", "1:2", "1:3", 1, 0, ServerState.WARM) for vm in machines
    }
    directory = Directory(members[name], clock, journal)
    for member in members.values():
        directory.merge(member)
    typical = TypicalLatencies({kind.name: kind.work for kind in scenario.kinds})
    sender = _Sender(machines, typical)
    counter = iter(range(10**9))
    return Router(
        directory,
        Configuration(journal),
        cast(Any, sender),
        clock,
        journal,
        Random(name),
        lambda: f"{name}/{next(counter)}",
        detour_seconds=0.0,
        fleet_retries=210.0,
        is_hedging=False,
    )


async def _request(
    kind: Kind,
    organisation: str,
    routers: list[Router],
    rng: Random,
    report: Report,
) -> None:
    now = asyncio.get_running_loop().time
    started = now()
    is_served = False
    for _ in range(1 + MAX_RETURNS):
        router = rng.choice(routers)
        call = Call(
            router.next_id(),
            kind.name,
            "shop",
            "GET",
            str(kind.work),
            (),
            Body(),
            started + kind.deadline,
            1,
            3,
            False,
            "f",
            target_at=now() + kind.target,
            priority=kind.priority,
            organisation=organisation,
        )
        result = await router.run(call)
        is_served = result.is_ok() and now() < call.deadline
        if result.is_ok() or not isinstance(result.error, NotRun):
            break
        delay = retry_after_seconds(
            result.error.reason,
            call.deadline - now(),
            kind.work,
            kind.priority,
            rng,
        )
        if result.error.reason is Reason.DEADLINE or delay > (call.deadline - now()) / 3:
            break
        await asyncio.sleep(delay)
    is_in_time = is_served and now() <= started + kind.target
    report.outcomes.append(Outcome(kind.name, organisation, started, is_served, is_in_time))
