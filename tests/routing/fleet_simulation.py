"""A fleet that serves one service, in one process and in simulated time.

The routers, their views and the decision on calls that leave are the product's own.  Gates,
servers and the spread of summaries are modelled: a gate refuses calls while its slots are in use,
and queues a few that no other gate accepts; summaries arrive late by the time of a few hops.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any, Final, cast

import attrs
from expression import Error, Ok, Result
from prometheus_client import CollectorRegistry

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member, ServerState
from kingcuppond.membership.summaries import LoadNews, SummaryFields, SummaryTable
from kingcuppond.outcomes import Failure, NotRun, Reason
from kingcuppond.routing.call import Answer, Body, Call
from kingcuppond.routing.choice import Candidate
from kingcuppond.routing.leaving import LeavingMetrics, LeavingPlanner
from kingcuppond.routing.router import Router
from kingcuppond.routing.view import GateReport
from kingcuppond.typical_latency import TypicalLatencies
from tests.membership.network import VirtualTimeLoop

SLOTS: Final = 8
WORK_SECONDS: Final = 0.19
TARGET_SECONDS: Final = 0.676
DEADLINE_SECONDS: Final = 5.6
NEAR_SECONDS: Final = 0.001
FAR_SECONDS: Final = 0.0054
BYTES_PER_SECOND: Final = 2_000_000
HEAD_BYTES: Final = 500
ANSWER_BYTES: Final = 1000
SUMMARY_INTERVAL_SECONDS: Final = 0.5
SUMMARY_DELAY_SECONDS: Final = 0.8
DETOUR_SECONDS: Final = 0.025
"""The penalty of ``deploy/daemon.json``."""

SLOW_SECONDS: Final = 0.5
SLOW_PART: Final = 0.25
SLOWDOWN: Final = 7.0


@attrs.define
class Outcome:
    """What callers and operators saw.

    :param refused_by_second: refusals of full gates, by data centre and second
    :param left_by_second: attempts sent to other data centres, by data centre and second
    :param sent_by_second: all attempts, by data centre and second
    :param left_needlessly: of those, while a server at the usual speed here had a free slot
    :param received: attempts from other data centres, by receiving data centre
    """

    calls: int = 0
    in_time: int = 0
    refused: int = 0
    bytes_between: int = 0
    left: int = 0
    left_needlessly: int = 0
    left_by_second: Counter[tuple[str, int]] = attrs.field(factory=Counter)
    sent_by_second: Counter[tuple[str, int]] = attrs.field(factory=Counter)
    received: Counter[str] = attrs.field(factory=Counter)
    refused_by_second: Counter[tuple[str, int]] = attrs.field(factory=Counter)

    @property
    def share_in_time(self) -> float:
        return self.in_time / self.calls

    def refused_at(self, data_centre: str, seconds: range) -> int:
        """Return the attempts that the gates of a data centre refused as full."""
        return sum(self.refused_by_second[(data_centre, it)] for it in seconds)

    def left_share(self, data_centre: str, seconds: range) -> float:
        """Return the part of the attempts of some seconds that left a data centre."""
        sent = sum(self.sent_by_second[(data_centre, it)] for it in seconds)
        return sum(self.left_by_second[(data_centre, it)] for it in seconds) / max(1, sent)


@attrs.define
class _Server:
    member: Member
    rng: Random
    seed: int
    slots: int = SLOTS
    is_noisy: bool = False
    running: int = 0
    waiting: int = 0
    refused: int = 0
    free: asyncio.Event = attrs.field(factory=asyncio.Event)

    def slowdown(self, now: float) -> float:
        if not self.is_noisy:
            return 1.0
        period = Random(f"{self.member.vm}/{self.seed}/{int(now / SLOW_SECONDS)}")
        return SLOWDOWN if period.random() < SLOW_PART else 1.0

    def has_free_slot(self, now: float) -> bool:
        return self.running < self.slots and self.slowdown(now) == 1.0

    def usable_slots(self, now: float) -> float:
        return max(self.slots / self.slowdown(now), min(self.slots, self.running))

    async def run(self, call: Call, now: Callable[[], float]) -> Result[float, NotRun]:
        """Run a call, and return the slowdown at its start."""
        if self.running >= self.slots:
            if not call.is_last_resort or self.waiting >= self.slots / 2:
                self.refused += 1
                return Error(NotRun(Reason.FULL, "full"))
            self.waiting += 1
            while self.running >= self.slots:
                self.free.clear()
                await self.free.wait()
            self.waiting -= 1
        slowdown = self.slowdown(now())
        if now() + WORK_SECONDS * slowdown > call.target_at and not call.is_last_resort:
            return Error(NotRun(Reason.SERVER_SLOW, "slow"))
        self.running += 1
        await asyncio.sleep(WORK_SECONDS * slowdown * self.rng.uniform(0.8, 1.2))
        self.running -= 1
        self.free.set()
        return Ok(slowdown)


@attrs.define
class _Sender:
    """Sends the attempts of one daemon to the simulated servers."""

    fleet: "Fleet"
    me: Member
    typical_latencies: TypicalLatencies = attrs.field(factory=TypicalLatencies)

    def typical_seconds(self, class_name: str) -> float:
        return self.typical_latencies.seconds_by_class.get(class_name, WORK_SECONDS)

    async def attempt(self, call: Call, candidate: Candidate) -> Result[Answer, Failure]:
        fleet, view = self.fleet, candidate.view
        now = asyncio.get_running_loop().time
        server = fleet.servers_by_vm[candidate.vm]
        hop_seconds = fleet.record_sent(self.me, server.member, call)
        started = now()
        view.start(call.id, started)
        await asyncio.sleep(hop_seconds)
        result = await server.run(call, now)
        load = server.running + server.waiting
        if result.is_ok():
            is_far = server.member.data_centre != self.me.data_centre
            fleet.outcome.bytes_between += ANSWER_BYTES * is_far
        await asyncio.sleep(NEAR_SECONDS if hop_seconds <= NEAR_SECONDS else FAR_SECONDS)
        if result.is_error():
            is_full = result.error.reason is Reason.FULL
            fleet.outcome.refused_by_second[(server.member.data_centre, int(now()))] += is_full
            view.record_refusal(call.id, now(), is_full)
            view.update_report(GateReport(load, server.slots, server.slowdown(now())), now())
            return Error(result.error)
        view.end(call.id, now(), True, self.typical_seconds(call.class_name), result.ok)
        view.update_report(GateReport(load, server.slots, server.slowdown(now()), result.ok), now())
        self.typical_latencies.update(call.class_name, now() - started, result.ok)
        return Ok(Answer(200, ()))


@attrs.define
class Fleet:
    """Daemons and servers in data centres, and the calls that arrive there.

    :param servers: number of servers by data centre
    :param rates: calls per second that arrive in a data centre at a time
    :param is_measured: whether the measured decision is used
    :param is_noisy: whether machines are slow a quarter of the time
    :param upload_part: part of the calls with a body of 60 KB
    :param seed: of the arrivals, the work and the noise
    :param slots: of each server of a data centre at a time
    :param passes: whether summaries and pings pass from one data centre to another at a time
    """

    servers: dict[str, int]
    rates: Callable[[str, float], float]
    is_measured: bool
    is_noisy: bool = False
    upload_part: float = 0.0
    passes: Callable[[str, str, float], bool] = lambda sender, receiver, now: True
    slots: Callable[[str, float], int] = lambda name, now: SLOTS
    outcome: Outcome = attrs.field(factory=Outcome)
    servers_by_vm: dict[str, _Server] = attrs.field(factory=dict)
    routers: dict[str, list[Router]] = attrs.field(factory=dict)
    seed: int = 7
    _rng: Random = attrs.field(factory=Random)
    _ids: int = 0

    def run(self, seconds: float) -> Outcome:
        """Let calls arrive for some seconds, and return what came of them."""
        loop = VirtualTimeLoop()
        try:
            loop.run_until_complete(self._run(seconds))
            return self.outcome
        finally:
            loop.close()

    def record_sent(self, sender: Member, receiver: Member, call: Call) -> float:
        """Count an attempt, and return the seconds until it is there."""
        key = (sender.data_centre, int(asyncio.get_running_loop().time()))
        self.outcome.sent_by_second[key] += 1
        if sender.data_centre == receiver.data_centre:
            return 0.0 if sender.vm == receiver.vm else NEAR_SECONDS
        size = HEAD_BYTES + len(call.body.buffered)
        now = asyncio.get_running_loop().time()
        own = [s for s in self.servers_by_vm.values() if s.member.data_centre == sender.data_centre]
        self.outcome.left_needlessly += any(it.has_free_slot(now) for it in own)
        self.outcome.left += 1
        self.outcome.left_by_second[key] += 1
        self.outcome.received[receiver.data_centre] += 1
        self.outcome.bytes_between += size
        return FAR_SECONDS + size / BYTES_PER_SECOND

    async def _run(self, seconds: float) -> None:
        self._rng = Random(self.seed)
        loop = asyncio.get_running_loop()
        clock = Clock(loop.time, lambda: 1e9 + loop.time())
        members = [
            Member(f"{name}-{i}", name, "shop", "1:1", "1:2", "1:3", 1, 0, ServerState.WARM)
            for name, count in self.servers.items()
            for i in range(count)
        ]
        tables = [self._add_daemon(me, members, clock) for me in members]
        spreading = asyncio.create_task(self._spread_summaries(tables))
        arrivals = [asyncio.create_task(self._arrive(name, seconds)) for name in self.servers]
        for calls in await asyncio.gather(*arrivals):
            await asyncio.gather(*calls)
        spreading.cancel()

    def _add_daemon(self, me: Member, members: list[Member], clock: Clock) -> SummaryTable:
        rng = Random(f"{me.vm}/{self.seed}")
        journal = Journal(me.vm, clock)
        directory = Directory(me, clock, journal)
        for member in members:
            directory.merge(member)
        table = SummaryTable(me.data_centre, rng)
        metrics = LeavingMetrics(CollectorRegistry())
        planner = LeavingPlanner(table, lambda name: False, journal, rng, metrics)
        self.servers_by_vm[me.vm] = _Server(me, rng, self.seed, is_noisy=self.is_noisy)
        router = Router(
            directory,
            Configuration(journal),
            cast(Any, _Sender(self, me)),
            clock,
            journal,
            rng,
            self._next_id,
            DETOUR_SECONDS,
            fleet_retries=100.0,
            is_hedging=False,
            leaving=planner if self.is_measured else None,
        )
        self.routers.setdefault(me.data_centre, []).append(router)
        return table

    async def _arrive(self, name: str, seconds: float) -> "list[asyncio.Task[None]]":
        loop = asyncio.get_running_loop()
        calls = []
        while loop.time() < seconds:
            rate = self.rates(name, loop.time())
            await asyncio.sleep(self._rng.expovariate(max(rate, 0.1)))
            if rate:
                router = self._rng.choice(self.routers[name])
                calls.append(asyncio.create_task(self._call(router)))
        return calls

    async def _call(self, router: Router) -> None:
        now = asyncio.get_running_loop().time()
        is_upload = self._rng.random() < self.upload_part
        body = Body(bytes(60_000 if is_upload else 0))
        kind = "upload" if is_upload else "read"
        deadline, target_at = now + DEADLINE_SECONDS, now + TARGET_SECONDS
        call = Call(
            *(self._next_id(), kind, "shop", "GET", "/", (), body, deadline),
            *(0, 3, False, "", False, "", "", target_at),
        )
        result = await router.run(call)
        is_in_time = result.is_ok() and asyncio.get_running_loop().time() <= target_at
        self.outcome.calls += 1
        self.outcome.refused += result.is_error()
        self.outcome.in_time += is_in_time

    async def _spread_summaries(self, tables: list[SummaryTable]) -> None:
        loop = asyncio.get_running_loop()
        refused_before: Counter[str] = Counter()
        seq = 0
        while True:
            await asyncio.sleep(SUMMARY_INTERVAL_SECONDS)
            now = loop.time()
            for server in self.servers_by_vm.values():
                server.slots = self.slots(server.member.data_centre, now)
            seq += 1
            sums: dict[str, SummaryFields] = {}
            for name in self.servers:
                servers = [
                    it for it in self.servers_by_vm.values() if it.member.data_centre == name
                ]
                slots = round(sum(it.usable_slots(now) for it in servers))
                load = sum(it.running + it.waiting for it in servers)
                refused = sum(it.refused for it in servers)
                per_second = round((refused - refused_before[name]) / SUMMARY_INTERVAL_SECONDS)
                refused_before[name] = refused
                sums[name] = (seq, round(SUMMARY_DELAY_SECONDS * 1000), slots, load, per_second)
            loop.call_later(SUMMARY_DELAY_SECONDS, self._deliver, tables, sums, now)

    def _deliver(
        self, tables: list[SummaryTable], sums: dict[str, SummaryFields], sent_at: float
    ) -> None:
        now = asyncio.get_running_loop().time()
        for table in tables:
            own = table.data_centre
            heard = {name for name in sums if name == own or self.passes(name, own, sent_at)}
            trips = {it: (1, 11) for it in heard - {own} if self.passes(own, it, sent_at)}
            summaries = {name: {"shop": sums[name]} for name in heard}
            table.merge(LoadNews({}, summaries, trips), own, now)

    def _next_id(self) -> str:
        self._ids += 1
        return str(self._ids)
