"""What the gate of a server does during a roll-out: it bounds its part of the share, and counts.

A gate of the new version admits only as many calls before the ramp as the deciding daemon has
granted it.  Without that daemon it uses up what it was granted, and then admits none.  A gate of an
old version admits none once the new version carries everything, since its server is stopped
without notice as soon as ``completed`` is in the store.
"""

from typing import Final

import attrs

from kingcuppond.clock import Clock
from kingcuppond.membership.directory import Directory
from kingcuppond.outcomes import Failure, NotRun, Reason
from kingcuppond.rollouts.messages import RolloutReply, RolloutReport
from kingcuppond.rollouts.order import Phase
from kingcuppond.rollouts.table import Rollout, RolloutTable
from kingcuppond.rollouts.tallies import Tallies, tally_for

LOSS_INTERVAL_SECONDS: Final = 1.0
"""A server that ends breaks all its connections at once, which counts as one failure: a version is
not bad because a VM was lost."""


@attrs.frozen
class _RunningCall:
    class_name: str
    started: float
    slowdown: float


@attrs.define
class GateShare:
    """The part of one gate in the roll-out of its service.

    :param granted: calls that the gate of a new version may have admitted since the order
    :param used: calls that it has admitted
    :param refused: calls that it has refused for this reason since the daemon started
    """

    table: RolloutTable
    directory: Directory
    clock: Clock
    granted: int = 0
    used: int = 0
    refused: int = 0
    tallies: Tallies = attrs.field(factory=dict)
    _order: str = ""
    _version: str = ""
    _loss_at: float = float("-inf")
    _running: dict[str, _RunningCall] = attrs.field(factory=dict)

    def take(self) -> NotRun | None:
        """Return why a call may not run here because of a roll-out; if it may, count it."""
        rollout = self._rollout()
        if rollout is None:
            return None
        refusal = self._refusal(rollout)
        if refusal is None:
            self.used += 1
        else:
            self.refused += 1
        return refusal

    def give_back(self) -> None:
        """Take back the count of a call that the server has not run."""
        self.used = max(0, self.used - 1)

    def record_start(self, call_id: str, class_name: str, slowdown: float) -> None:
        """Remember a call that starts at the server."""
        rollout = self._rollout()
        if rollout is not None and not rollout.is_over:
            self._running[call_id] = _RunningCall(class_name, self.clock.monotonic(), slowdown)

    def record_end(self, call_id: str) -> None:
        """Forget a call that is no longer in progress."""
        self._running.pop(call_id, None)

    def record_answer(
        self, class_name: str, seconds: float, is_failure: bool, slowdown: float = 1.0
    ) -> None:
        """Count an answer of the server.

        :param slowdown: of its machine, as reported when the call started
        """
        rollout = self._rollout()
        if rollout is not None and not rollout.is_over:
            tally_for(self.tallies, class_name).record(seconds, is_failure, slowdown)

    def record_failure(self, class_name: str, seconds: float, failure: Failure) -> None:
        """Count a call without an answer."""
        if isinstance(failure, NotRun):
            return
        if failure.reason is Reason.DEADLINE:
            # It took at least so long, which is compared with the old version's answers.
            self.record_answer(class_name, seconds, is_failure=False)
        elif failure.reason is Reason.CONNECTION_LOST:
            now = self.clock.monotonic()
            if now - self._loss_at >= LOSS_INTERVAL_SECONDS:
                self._loss_at = now
                self.record_answer(class_name, seconds, is_failure=True)

    def make_report(self) -> RolloutReport | None:
        """Return the report for the deciding daemon, ``None`` if there is no roll-out."""
        rollout = self._rollout()
        if rollout is None or rollout.is_over:
            return None
        me = self.directory.me
        return RolloutReport(
            service=me.service,
            order=rollout.order.id,
            version=me.server_version,
            incarnation=me.incarnation,
            age_ms=int(self.table.age(me.service) * 1000),
            granted=self.granted,
            used=self.used,
            tallies=self.tallies,
            running=self._running_tallies(),
        )

    def apply_reply(self, report: RolloutReport, reply: RolloutReply) -> None:
        """Take over a grant, the age of the order and the state of the roll-out."""
        self.table.learn_age(report.service, report.order, reply.age_ms / 1000)
        if reply.state is not None:
            self.table.adopt(report.service, reply.state)
        if report.order == self._order and report.version == self._version:
            self.granted = max(self.granted, reply.granted)

    def _rollout(self) -> Rollout | None:
        me = self.directory.me
        rollout = self.table.rollouts_by_service.get(me.service)
        if rollout is not None and (rollout.order.id, me.server_version) != (
            self._order,
            self._version,
        ):
            self._order, self._version = rollout.order.id, me.server_version
            self.granted = self.used = 0
            self.tallies = {}
            self._running.clear()
        return rollout

    def _running_tallies(self) -> Tallies:
        now = self.clock.monotonic()
        tallies: Tallies = {}
        for call in self._running.values():
            seconds = now - call.started
            tally_for(tallies, call.class_name).record(seconds, False, call.slowdown)
        return tallies

    def _refusal(self, rollout: Rollout) -> NotRun | None:
        me = self.directory.me
        phase = rollout.phase
        version = rollout.order.target_version
        if not rollout.is_new(me):
            is_replaced = phase in (Phase.FINISHING, Phase.COMPLETED)
            if is_replaced and self.table.has_new(me.service):
                return NotRun(Reason.VERSION_SHARE, f"{version} has replaced the server on {me.vm}")
            return None
        if phase is Phase.ROLLED_BACK:
            return NotRun(Reason.VERSION_SHARE, f"{version} is rolled back")
        if phase not in (Phase.WAITING, Phase.CANARY):
            return None
        if not self.table.has_old_member(me.service):
            return None
        if phase is Phase.WAITING or self.used >= self.granted:
            return NotRun(Reason.VERSION_SHARE, f"the share of {version} is used up on {me.vm}")
        return None
