"""Decides on roll-outs: one daemon at a time for each service.

It is the live member that ranks first under a hash of the service's name.  It takes the reports of
the service's gates, grants those of the new version what they may admit, judges the version and
publishes each step.  Two daemons that both decide for a moment do no harm: each grants at most
half of what may be granted, a roll-back by one outranks all steps of the other, and the store takes
only one write at each revision.

A roll-back is published before it is written, except once ``completed`` may be in the store: then
the old servers may have stopped, and the write decides.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

import attrs

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import VersionedObject
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.contacts import rendezvous_hash
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import ServerState
from kingcuppond.rollouts.judgement import Evidence, explains_noise, strongest
from kingcuppond.rollouts.messages import RolloutReply, RolloutReport
from kingcuppond.rollouts.order import ROLLOUTS_KIND, OrderStatus, Phase, RolloutOrder
from kingcuppond.rollouts.session import Session
from kingcuppond.rollouts.steps import (
    CANARY_USE,
    GRANT_AHEAD_SECONDS,
    Bounds,
    Plan,
    Situation,
    allowance,
    divide,
    needs_wide_canary,
    plan,
)
from kingcuppond.rollouts.table import Rollout, RolloutTable
from kingcuppond.store.interface import StatusStore, StoreError

TICK_SECONDS: Final = 0.1
JUDGE_INTERVAL_SECONDS: Final = 0.2

STORE_CHECK_AHEAD_SECONDS: Final = 0.6
"""The store is read before a step is due, so that the step does not wait for it."""

SETTLE_SECONDS: Final = 1.0
"""How long a new deciding daemon waits for reports before it acts without them."""

STORE_UP_SECONDS: Final = 1.5
"""While the share is due to grow, the store is read once in this time."""

INITIAL_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 1.0

MIN_SHARE_STEP: Final = 0.01
"""A smaller change of the share is not worth a message to the fleet."""


@attrs.define
class RolloutDecider:
    """Decides on the roll-outs for which this daemon ranks first.

    :param encode_status: encodes the status of an order for the store
    :param is_ready: returns whether this daemon knows the whole configuration; one that has not
        joined the fleet yet would rank first among the few members that it knows
    """

    table: RolloutTable
    directory: Directory
    store: StatusStore
    bounds: Bounds
    clock: Clock
    journal: Journal
    rng: Random
    encode_status: Callable[[RolloutOrder, OrderStatus], bytes]
    is_ready: Callable[[], bool] = lambda: True
    _sessions_by_service: dict[str, Session] = attrs.field(factory=dict)
    _judged_at_by_service: dict[str, float] = attrs.field(factory=dict)
    _store_tasks_by_service: dict[str, "asyncio.Task[None]"] = attrs.field(factory=dict)
    _deciders_by_service: dict[str, str] = attrs.field(factory=dict)
    _generation: int = -1

    def decider_of(self, service: str) -> str:
        """Return the VM of the daemon that decides for a service."""
        if self._generation != self.directory.generation:
            self._generation = self.directory.generation
            self._deciders_by_service.clear()
        found = self._deciders_by_service.get(service)
        if found is None:
            candidates = [
                vm
                for vm, member in self.directory.members_by_vm.items()
                if not member.is_leaving and not self.directory.is_suspected(vm)
            ]
            salt = f"rollout/{service}"
            found = max(
                candidates or [self.directory.me.vm], key=lambda vm: rendezvous_hash(salt, vm)
            )
            self._deciders_by_service[service] = found
        return found

    async def on_report(self, sender: str, report: RolloutReport) -> RolloutReply:
        """Take over the report of a gate, and return its grant and the state of the roll-out."""
        rollout = self.table.rollouts_by_service.get(report.service)
        if rollout is None or rollout.order.id != report.order:
            return RolloutReply(report.granted, 0)
        self.table.learn_age(report.service, report.order, report.age_ms / 1000)
        session = self._session(rollout)
        session.add(sender, report)
        granted = max(report.granted, session.granted_by_vm.get(sender, 0))
        age_ms = int(self.table.age(report.service) * 1000)
        return RolloutReply(granted, age_ms, rollout.state)

    async def run(self) -> None:
        """Take each step when it is due; never returns."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.tick()

    def stop(self) -> None:
        """Cancel all calls to the store."""
        for task in self._store_tasks_by_service.values():
            task.cancel()

    def tick(self) -> None:
        """Take the steps that are due now."""
        if not self.is_ready():
            return
        for service in list(self._sessions_by_service):
            rollout = self.table.rollouts_by_service.get(service)
            if rollout is None or rollout.is_over:
                self._forget(service)
        for service, rollout in list(self.table.rollouts_by_service.items()):
            if not rollout.is_over and self.decider_of(service) == self.directory.me.vm:
                self._step(service, rollout)

    def _session(self, rollout: Rollout) -> Session:
        service = rollout.order.service
        session = self._sessions_by_service.get(service)
        if session is None or session.order != rollout.order.id:
            self._forget(service)
            now = self.clock.monotonic()
            session = Session(rollout.order.id, rollout.order.target_version, now, now)
            session.known_status = rollout.order.status
            self._sessions_by_service[service] = session
        return session

    def _forget(self, service: str) -> None:
        self._sessions_by_service.pop(service, None)
        self._judged_at_by_service.pop(service, None)
        task = self._store_tasks_by_service.pop(service, None)
        if task is not None:
            task.cancel()

    def _step(self, service: str, rollout: Rollout) -> None:
        session = self._session(rollout)
        self._run_store_task(service, session, rollout)
        if rollout.phase is Phase.ROLLED_BACK:
            session.wanted_status = OrderStatus.ROLLED_BACK
            return
        if rollout.phase is Phase.WAITING:
            session.wanted_status = OrderStatus.RUNNING
            # An earlier deciding daemon may have written the status and not published its state.
            if OrderStatus.RUNNING in (session.known_status, rollout.order.status):
                self._advance(session, rollout, Phase.CANARY, CANARY_USE * self.bounds.share)
            return
        now = self.clock.monotonic()
        if not session.has_reports_of(self._gates(service)) and (
            now - session.began_at < SETTLE_SECONDS
        ):
            return
        self._grant(session, rollout)
        if now - self._judged_at_by_service.get(service, float("-inf")) >= JUDGE_INTERVAL_SECONDS:
            self._judged_at_by_service[service] = now
            self._judge(session, rollout, now)

    def _gates(self, service: str) -> set[str]:
        return {
            vm
            for vm, member in self.directory.members_by_service.get(service, {}).items()
            if member.state in (ServerState.WARM, ServerState.COLD)
            and not self.directory.is_suspected(vm)
        }

    def _grant(self, session: Session, rollout: Rollout) -> None:
        if rollout.phase is not Phase.CANARY:
            return
        uses = session.uses_by_vm()
        service = rollout.order.service
        soon = (
            self.table.canary_vms(service, 1) if self.table.is_turn_near(service) else frozenset()
        )
        carrying = (self.table.canary_vms(service) | soon) & uses.keys()
        if not carrying:
            return
        calls = session.calls()
        age = max(1.0, self.table.age(rollout.order.service))
        ahead = GRANT_AHEAD_SECONDS * rollout.share * calls / age / len(carrying)
        allowed = allowance(calls, self.bounds) - session.ended_uses()
        session.granted_by_vm = divide(allowed, uses, carrying, ahead)

    def _judge(self, session: Session, rollout: Rollout, now: float) -> None:
        service = rollout.order.service
        samples = session.samples(now)
        evidence = strongest(samples)
        if session.is_judged_bad:
            return
        situation = self._situation(session, rollout, now, evidence)
        if needs_wide_canary(situation, explains_noise(samples[0])):
            self.table.advance(service, rollout.phase, rollout.share, is_wide=True)
            return
        step = plan(situation, self.bounds)
        soon = attrs.evolve(
            situation,
            age=situation.age + STORE_CHECK_AHEAD_SECONDS,
            step_age=situation.step_age + STORE_CHECK_AHEAD_SECONDS,
            is_store_up=True,
        )
        session.is_check_wanted = _is_further(plan(soon, self.bounds), rollout)
        if evidence.is_bad or step.is_in_doubt:
            self._roll_back(session, rollout, evidence)
            return
        if step.is_complete:
            session.wanted_status = OrderStatus.COMPLETED
        if _is_further(step, rollout):
            session.step_at = now
            session.is_finishing = step.phase is Phase.FINISHING
            self._advance(session, rollout, step.phase, step.share)
            self.journal.record(
                catalogue.ROLLOUT_STEP,
                service=service,
                version=rollout.order.target_version,
                phase=step.phase.name.lower(),
                share=round(step.share, 3),
                calls=situation.calls,
                samples=situation.samples,
                evidence=round(evidence.strength, 1),
            )

    def _situation(
        self, session: Session, rollout: Rollout, now: float, evidence: Evidence
    ) -> Situation:
        return Situation(
            phase=rollout.phase,
            age=self.table.age(rollout.order.service),
            duration=rollout.order.duration_seconds,
            step_age=now - session.step_at,
            share=rollout.share,
            calls=session.calls(),
            samples=session.new_calls(),
            is_wide=rollout.state is not None and rollout.state.is_wide,
            is_suspicious=evidence.is_suspicious,
            is_doubtful=evidence.is_doubtful,
            is_store_up=self._is_store_up(session, now),
        )

    def _is_store_up(self, session: Session, now: float) -> bool:
        return now - session.store_heard_at <= STORE_UP_SECONDS

    def _advance(self, session: Session, rollout: Rollout, phase: Phase, share: float) -> None:
        if phase is Phase.CANARY and rollout.phase is Phase.WAITING:
            session.step_at = self.clock.monotonic()
            self.journal.record(
                catalogue.ROLLOUT_BEGUN,
                service=rollout.order.service,
                version=rollout.order.target_version,
                seconds=rollout.order.duration_seconds,
            )
        self.table.advance(rollout.order.service, phase, share)

    def _roll_back(self, session: Session, rollout: Rollout, evidence: Evidence) -> None:
        is_write_first = rollout.phase is Phase.FINISHING and session.may_be_completed
        session.is_judged_bad = True
        session.wanted_status = OrderStatus.ROLLED_BACK
        self.journal.record(
            catalogue.ROLLOUT_JUDGED_BAD,
            service=rollout.order.service,
            version=rollout.order.target_version,
            what=evidence.what,
            where=evidence.class_name or "all classes",
            bad=evidence.bad,
            count=evidence.count,
            phase=rollout.phase.name.lower(),
            evidence=round(evidence.strength, 1),
        )
        if not is_write_first:
            self.table.advance(rollout.order.service, Phase.ROLLED_BACK, 0.0)

    def _run_store_task(self, service: str, session: Session, rollout: Rollout) -> None:
        task = self._store_tasks_by_service.get(service)
        if task is not None and not task.done():
            return
        now = self.clock.monotonic()
        is_check_due = session.is_check_wanted and not self._is_store_up(session, now)
        if session.wanted_status in (OrderStatus.NONE, session.known_status) and not is_check_due:
            return
        self._store_tasks_by_service[service] = asyncio.create_task(
            self._update_store(service, session)
        )

    async def _update_store(self, service: str, session: Session) -> None:
        """Read the order, and write the wanted status until the store has it or has an end.

        A write whose answer was lost is not sent again before the order was read again.
        """
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        while True:
            error = await self._update_store_once(service, session)
            if error is None:
                return
            if not error.is_conflict:
                self.journal.record(
                    catalogue.ROLLOUT_STATUS_NOT_WRITTEN,
                    service=service,
                    status=session.wanted_status.value or "none",
                    error=error.message,
                )
            await asyncio.sleep(backoff_seconds * self.rng.uniform(0.5, 1.0))
            backoff_seconds = min(backoff_seconds * 2, MAX_BACKOFF_SECONDS)
            if self.decider_of(service) != self.directory.me.vm:
                return

    async def _update_store_once(self, service: str, session: Session) -> StoreError | None:
        rollout = self.table.rollouts_by_service.get(service)
        if rollout is None or rollout.order.id != session.order:
            return None
        order = rollout.order
        read = await self.store.get(ROLLOUTS_KIND, order.name)
        if read.is_error():
            return read.error
        if read.ok is None:
            # The watch tells that the order was deleted.
            return None
        found = VersionedObject(order.name, read.ok.version, read.ok.body, ROLLOUTS_KIND)
        decoded = self.table.decode_order(found)
        if decoded.is_error() or decoded.ok.id != session.order:
            self.table.publish([found])
            return None
        session.store_heard_at = self.clock.monotonic()
        session.known_status = decoded.ok.status
        wanted = session.wanted_status
        is_over = decoded.ok.status in (OrderStatus.COMPLETED, OrderStatus.ROLLED_BACK)
        if is_over or wanted in (OrderStatus.NONE, decoded.ok.status):
            self._take_over(service, session, found)
            return None
        status = self.encode_status(order, wanted)
        written = await self.store.put_status(ROLLOUTS_KIND, order.name, status, found.version)
        if written.is_error():
            return written.error
        session.store_heard_at = self.clock.monotonic()
        session.known_status = wanted
        self.journal.record(
            catalogue.ROLLOUT_STATUS_WRITTEN,
            service=service,
            version=order.target_version,
            status=wanted.value,
        )
        # The next reading takes over the object as the store has it now.
        return await self._read_again(service, session)

    async def _read_again(self, service: str, session: Session) -> StoreError | None:
        rollout = self.table.rollouts_by_service.get(service)
        if rollout is None:
            return None
        read = await self.store.get(ROLLOUTS_KIND, rollout.order.name)
        if read.is_ok() and read.ok is not None:
            found = VersionedObject(
                rollout.order.name, read.ok.version, read.ok.body, ROLLOUTS_KIND
            )
            self._take_over(service, session, found)
        return None

    def _take_over(self, service: str, session: Session, found: VersionedObject) -> None:
        """Spread an order as the store has it, and what follows from its status."""
        decoded = self.table.decode_order(found)
        if decoded.is_ok() and decoded.ok.status is OrderStatus.ROLLED_BACK:
            rollout = self.table.rollouts_by_service.get(service)
            if rollout is not None and rollout.order.id == session.order:
                self.table.advance(service, Phase.ROLLED_BACK, 0.0)
        self.table.publish([found])


def _is_further(step: Plan, rollout: Rollout) -> bool:
    if step.phase is not rollout.phase:
        return step.phase > rollout.phase
    return step.share - rollout.share >= MIN_SHARE_STEP
