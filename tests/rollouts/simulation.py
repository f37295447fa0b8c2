"""A roll-out in simulated time without daemons: gates, noise, reports, judgement and steps.

The product's own session, judgement and steps decide.  Gates report every 0.4 s, the fleet takes
0.5 s to learn of a step, and each machine works seven times slower in a quarter of all half
seconds.
"""

import heapq
import itertools
from collections.abc import Callable
from random import Random

import attrs

from kingcuppond.rollouts.judgement import NO_EVIDENCE, Evidence, explains_noise, strongest
from kingcuppond.rollouts.messages import RolloutReport
from kingcuppond.rollouts.order import Phase
from kingcuppond.rollouts.session import Session
from kingcuppond.rollouts.steps import (
    Bounds,
    Plan,
    Situation,
    allowance,
    canary_servers,
    divide,
    needs_wide_canary,
    plan,
)
from kingcuppond.rollouts.tallies import Tallies, tally_for, total_of

SPREAD_SECONDS = 0.5
REPORT_AGE_SECONDS = 0.03
REPORT_SECONDS = 0.4
JUDGE_SECONDS = 0.2
NOISE_SHARE = 0.25
NOISE_FACTOR = 7.0
FAULT_FACTOR = 8.0
TURN_SECONDS = 3.0
NOTICE_SECONDS = 0.8
BOUNDS = Bounds(0.1, 50)


@attrs.frozen
class Kind:
    """A kind of request: its name, calls a second and usual time of work."""

    name: str
    per_second: float
    seconds: float


LARGE = (Kind("look-up", 203, 0.156), Kind("submission", 108, 0.2), Kind("status", 81, 0.063))
SMALL = (Kind("download", 28, 0.122), Kind("look-up", 20, 0.156))


@attrs.frozen
class Fault:
    """What is wrong with the new version.

    :param share: of its answers that are bad
    :param is_slow: bad answers are slow and not failures
    :param after_seconds: since the order, when it turns bad
    :param min_in_flight: calls that a server must run at once before it is bad
    :param is_reported: servers report slow answers as if their machine was slow
    :param kind: the only kind of request that is bad, all if empty
    """

    share: float = 0.0
    is_slow: bool = False
    after_seconds: float = 0.0
    min_in_flight: int = 0
    kind: str = ""
    is_reported: bool = False


@attrs.define
class SimulatedGate:
    """One gate and its server."""

    vm: str
    is_new: bool
    granted: int = 0
    used: int = 0
    in_flight: int = 0
    tallies: Tallies = attrs.field(factory=dict)
    running: dict[int, tuple[str, float, float]] = attrs.field(factory=dict)


@attrs.define
class Outcome:
    """What came of a roll-out.

    :param state: ``completed``, ``rolled_back`` or ``running``
    :param ended_at: seconds from the order to the judgement
    :param exposed: calls that the new version got before the judgement was in force
    :param calls: calls of the service during the whole duration
    :param fiftieth_bad_at: when the new version gave its fiftieth bad answer
    :param last_new_at: when the new version got its last call
    :param strongest: strength of the strongest evidence
    """

    state: str = "running"
    ended_at: float = 0.0
    exposed: int = 0
    calls: int = 0
    fiftieth_bad_at: float = float("inf")
    last_new_at: float = 0.0
    evidence: Evidence = NO_EVIDENCE
    strongest: float = 0.0

    @property
    def is_in_bounds(self) -> bool:
        """Whether a bad version was exposed no more and no longer than allowed."""
        is_in_time = self.last_new_at <= self.fiftieth_bad_at + 5.0
        return is_in_time and self.exposed <= BOUNDS.share * self.calls + BOUNDS.slack


@attrs.define
class Simulation:
    """One roll-out.

    :param servers: of each version
    :param reports_speed: whether servers report the speed of their machines
    :param judge: the judgement; tests replace it to show that it matters
    """

    rng: Random
    fault: Fault
    kinds: tuple[Kind, ...] = LARGE
    servers: int = 38
    duration: float = 12.0
    reports_speed: bool = True
    has_noise: bool = True
    enforces_grants: bool = True
    may_be_wide: bool = True
    canary_size: Callable[[float, int], int] = canary_servers
    now: float = 0.0
    outcome: Outcome = attrs.field(factory=Outcome)
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _count: "itertools.count[int]" = attrs.field(factory=itertools.count)
    _states: list[tuple[float, Phase, float]] = attrs.field(factory=list)
    _session: Session = attrs.field(factory=lambda: Session("order", "v2", 0.0, 0.0))
    _slow_until: dict[str, tuple[float, bool]] = attrs.field(factory=dict)
    _earlier_speed: dict[str, tuple[float, bool]] = attrs.field(factory=dict)
    _is_wide: bool = False
    _bad: int = 0

    def run(self) -> Outcome:
        """Run until the end of the duration, and a second more for a late write."""
        old = [SimulatedGate(f"old-{i}", False) for i in range(self.servers)]
        new = [SimulatedGate(f"new-{i}", True) for i in range(self.servers)]
        self._states.append((0.0, Phase.CANARY, 0.05))
        for gate in (*old, *new):
            self._at(self.rng.uniform(0, REPORT_SECONDS), lambda gate=gate: self._report(gate))
        for kind in self.kinds:
            self._at(0.0, lambda kind=kind: self._arrive(kind, old, new))
        self._at(0.3, lambda: self._judge(new))
        while self._events and self.now < self.duration + 1.0:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.outcome

    def _at(self, moment: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (moment, next(self._count), action))

    def _arrive(self, kind: Kind, old: list[SimulatedGate], new: list[SimulatedGate]) -> None:
        self._at(
            self.now + self.rng.expovariate(kind.per_second), lambda: self._arrive(kind, old, new)
        )
        self.outcome.calls += self.now <= self.duration
        phase, share = self._known_state()
        if phase is Phase.FINISHING or self.rng.random() < share:
            gate = self._choose_new(phase, share, new)
            is_granted = gate.used < gate.granted or not self.enforces_grants
            if phase is not Phase.CANARY or is_granted:
                gate.used += 1
                self._run(kind, gate)
                return
        self._run(kind, self.rng.choice(old))

    def _known_state(self) -> tuple[Phase, float]:
        known = [state for state in self._states if state[0] <= self.now]
        return known[-1][1:] if known else (Phase.WAITING, 0.0)

    def _choose_new(self, phase: Phase, share: float, new: list[SimulatedGate]) -> SimulatedGate:
        return self.rng.choice(self._carrying(share, new) if phase is Phase.CANARY else new)

    def _carrying(
        self, share: float, new: list[SimulatedGate], ahead_seconds: float = 0.0
    ) -> list[SimulatedGate]:
        turn = Random(int((self.now + ahead_seconds) / TURN_SECONDS))
        return turn.sample(new, len(new) if self._is_wide else self.canary_size(share, len(new)))

    def _run(self, kind: Kind, gate: SimulatedGate) -> None:
        gate.in_flight += 1
        reported = self._reported_slowdown(gate.vm)
        slowdown = NOISE_FACTOR if self.has_noise and self._is_slow(gate.vm) else 1.0
        seconds = kind.seconds * self.rng.lognormvariate(0, 0.3) * slowdown
        is_bad = gate.is_new and self._is_bad(kind, gate)
        if gate.is_new:
            self.outcome.last_new_at = self.now
            self.outcome.exposed += 1
        if is_bad and self.fault.is_slow:
            seconds *= FAULT_FACTOR
            reported *= FAULT_FACTOR if self.fault.is_reported else 1.0
        is_failure = is_bad and not self.fault.is_slow
        number = next(self._count)
        gate.running[number] = (kind.name, self.now, reported)

        def end() -> None:
            gate.in_flight -= 1
            del gate.running[number]
            tally_for(gate.tallies, kind.name).record(seconds, is_failure, reported)
            self._bad += is_bad
            if self._bad == 50 and is_bad:
                self.outcome.fiftieth_bad_at = self.now

        self._at(self.now + seconds, end)

    def _is_bad(self, kind: Kind, gate: SimulatedGate) -> bool:
        fault = self.fault
        return (
            self.now >= fault.after_seconds
            and gate.in_flight >= fault.min_in_flight
            and fault.kind in ("", kind.name)
            and self.rng.random() < fault.share
        )

    def _is_slow(self, vm: str) -> bool:
        until, is_slow = self._slow_until.get(vm, (-1.0, False))
        if self.now >= until:
            self._earlier_speed[vm] = (self.now, is_slow)
            is_slow = self.rng.random() < NOISE_SHARE
            self._slow_until[vm] = (self.now + self.rng.uniform(0.3, 0.7), is_slow)
        return is_slow

    def _reported_slowdown(self, vm: str) -> float:
        """Return the slowdown as the gate knows it, from a report that may be a moment old."""
        changed_at, was_slow = self._earlier_speed.get(vm, (-1.0, False))
        is_slow = self._is_slow(vm)
        if self.now < changed_at + REPORT_AGE_SECONDS:
            is_slow = was_slow
        return NOISE_FACTOR if is_slow and self.reports_speed and self.has_noise else 1.0

    def _report(self, gate: SimulatedGate) -> None:
        self._at(self.now + REPORT_SECONDS, lambda: self._report(gate))
        version = "v2" if gate.is_new else "v1"
        counts = total_of([gate.tallies])
        running: Tallies = {}
        for name, started, slowdown in gate.running.values():
            tally_for(running, name).record(self.now - started, False, slowdown)
        report = RolloutReport(
            "shop", "order", version, 1, 0, gate.granted, gate.used, counts, running
        )
        self._session.add(gate.vm, report)
        gate.granted = max(gate.granted, self._session.granted_by_vm.get(gate.vm, 0))

    def _judge(self, new: list[SimulatedGate]) -> None:
        self._at(self.now + JUDGE_SECONDS, lambda: self._judge(new))
        phase, share = self._states[-1][1:]
        if self.outcome.state != "running":
            return
        if phase is Phase.CANARY:
            self._grant(share, new)
        samples = self._session.samples(self.now)
        evidence = strongest(samples)
        self.outcome.strongest = max(self.outcome.strongest, evidence.strength)
        situation = Situation(
            phase,
            self.now,
            self.duration,
            self.now - self._session.step_at,
            share,
            self._session.calls(),
            self._session.new_calls(),
            self._is_wide,
            evidence.is_suspicious,
            evidence.is_doubtful,
            is_store_up=True,
        )
        if needs_wide_canary(situation, explains_noise(samples[0])) and self.may_be_wide:
            self._is_wide = True
        step = plan(situation, BOUNDS)
        if evidence.is_bad or step.is_in_doubt:
            self._end("rolled_back", evidence)
            self._publish(Plan(Phase.ROLLED_BACK, 0.0))
        elif step.is_complete:
            self._end("completed", evidence)
        elif (step.phase, step.share) > (phase, share + 0.01) or step.phase > phase:
            self._session.step_at = self.now
            self._publish(step)

    def _grant(self, share: float, new: list[SimulatedGate]) -> None:
        uses = self._session.uses_by_vm()
        gates = self._carrying(share, new) + self._carrying(share, new, NOTICE_SECONDS)
        carrying = {gate.vm for gate in gates} & uses.keys()
        if carrying:
            calls = self._session.calls()
            ahead = share * calls / max(1.0, self.now) / len(carrying)
            allowed = allowance(calls, BOUNDS)
            self._session.granted_by_vm |= divide(allowed, uses, carrying, ahead)

    def _publish(self, step: Plan) -> None:
        self._states.append((self.now + SPREAD_SECONDS, step.phase, step.share))

    def _end(self, state: str, evidence: Evidence) -> None:
        self.outcome.state = state
        self.outcome.ended_at = self.now
        self.outcome.evidence = evidence


def simulate(seed: int, fault: Fault | None = None, **options: object) -> Outcome:
    """Run one roll-out."""
    simulation = Simulation(Random(seed), fault or Fault())
    for name, value in options.items():
        setattr(simulation, name, value)
    return simulation.run()
