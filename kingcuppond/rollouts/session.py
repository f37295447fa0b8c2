"""What the deciding daemon knows of one roll-out: the reports of its gates, and their sums.

It is soft state.  The counts in the reports begin with the order, so that another daemon has them
again after one report of each gate.
"""

from collections import deque
from typing import Final

import attrs

from kingcuppond.rollouts.judgement import SLOW_BINS, Sample
from kingcuppond.rollouts.messages import RolloutReport
from kingcuppond.rollouts.order import OrderStatus
from kingcuppond.rollouts.steps import GateUse
from kingcuppond.rollouts.tallies import (
    Tallies,
    count_of,
    difference,
    median_bin,
    slow_part,
    tally_for,
    total_of,
)

WINDOWS_SECONDS: Final = (3.0, 1.5)
"""A version that turns bad late shows it in its latest answers before it shows in all of them."""

BLOCK_SECONDS: Final = 0.5
"""How long a machine's speed usually stays the same."""

MIN_OLD_SHARE: Final = 0.25
"""With fewer answers of the old version in a window, all of its answers are compared."""


@attrs.frozen
class _Totals:
    at: float
    old: Tallies
    new: Tallies
    blocks: float


@attrs.define
class _Gate:
    """The reports of one gate.

    :param ended: counts of earlier processes of its daemon, and of its server's earlier version
    """

    report: RolloutReport
    ended: list[RolloutReport] = attrs.field(factory=list)


@attrs.define
class Session:
    """One roll-out at the deciding daemon.

    :param order: id of the order
    :param began_at: monotonic time at which this daemon began to decide
    :param step_at: monotonic time of the last change of the share
    :param store_heard_at: monotonic time at which the store last answered
    :param known_status: the status that the store had then
    :param wanted_status: what the store should have
    :param is_finishing: whether this daemon itself gave everything to the new version, so that no
        other one can have written ``completed``
    :param is_check_wanted: whether the share is due to grow, if the store answers
    """

    order: str
    target_version: str
    began_at: float
    step_at: float
    store_heard_at: float = float("-inf")
    known_status: OrderStatus = OrderStatus.NONE
    wanted_status: OrderStatus = OrderStatus.NONE
    is_check_wanted: bool = False
    is_finishing: bool = False
    is_judged_bad: bool = False
    granted_by_vm: dict[str, int] = attrs.field(factory=dict)
    _gates_by_vm: dict[str, _Gate] = attrs.field(factory=dict)
    _totals: deque[_Totals] = attrs.field(factory=deque)
    _blocks: float = 0.0
    _counts_by_vm: dict[str, int] = attrs.field(factory=dict)
    _counted_at: float = float("-inf")

    @property
    def may_be_completed(self) -> bool:
        """Whether ``completed`` may be in the store, once everything goes to the version."""
        return not self.is_finishing or self.wanted_status is OrderStatus.COMPLETED

    def add(self, vm: str, report: RolloutReport) -> None:
        """Take over a report."""
        gate = self._gates_by_vm.get(vm)
        if gate is None:
            self._gates_by_vm[vm] = _Gate(report)
            return
        last = gate.report
        if (last.incarnation, last.version) != (report.incarnation, report.version):
            if report.incarnation < last.incarnation:
                return
            gate.ended.append(last)
            self.granted_by_vm.pop(vm, None)
        elif report.used < last.used and count_of(report.tallies) < count_of(last.tallies):
            return
        gate.report = report

    def has_reports_of(self, vms: set[str]) -> bool:
        """Return whether all of some gates have reported."""
        return vms <= self._gates_by_vm.keys()

    def uses_by_vm(self) -> dict[str, GateUse]:
        """Return the grants of the gates that have a server of the new version now."""
        return {
            vm: GateUse(max(gate.report.granted, self.granted_by_vm.get(vm, 0)), gate.report.used)
            for vm, gate in self._gates_by_vm.items()
            if gate.report.version == self.target_version
        }

    def ended_uses(self) -> int:
        """Return the calls that gates of the new version have admitted in processes that ended."""
        return sum(
            report.used
            for gate in self._gates_by_vm.values()
            for report in gate.ended
            if report.version == self.target_version
        )

    def calls(self) -> int:
        """Return the calls that ended at the gates of the service since the order."""
        return sum(count_of(report.tallies) for report in self._reports())

    def new_calls(self) -> int:
        """Return the calls that ended at servers of the new version."""
        return count_of(self._total(is_new=True))

    def samples(self, now: float) -> list[Sample]:
        """Return the answers since the order, and the latest ones."""
        self._count_blocks(now)
        old, new = self._total(is_new=False), self._total(is_new=True)
        self._add_running(old, new)
        totals = _Totals(now, old, new, self._blocks)
        self._totals.append(totals)
        while len(self._totals) > 1 and self._totals[1].at <= now - max(WINDOWS_SECONDS):
            self._totals.popleft()
        result = [_sample(totals.old, totals.new, totals.blocks)]
        for seconds in WINDOWS_SECONDS:
            earlier = [it for it in self._totals if it.at <= now - seconds]
            if earlier:
                result.append(self._window(totals, earlier[-1]))
        return result

    def _window(self, totals: _Totals, earlier: _Totals) -> Sample:
        old = difference(totals.old, earlier.old)
        new = difference(totals.new, earlier.new)
        if count_of(old) < MIN_OLD_SHARE * count_of(new):
            old = totals.old
        return _sample(old, new, totals.blocks - earlier.blocks)

    def _add_running(self, old: Tallies, new: Tallies) -> None:
        """Count the calls in progress that are slow already, which may take many seconds yet."""
        limits = {name: median_bin(tally.normal_latencies) for name, tally in old.items()}
        for gate in self._gates_by_vm.values():
            total = new if gate.report.version == self.target_version else old
            for class_name, tally in gate.report.running.items():
                limit = limits.get(class_name)
                if limit is not None:
                    tally_for(total, class_name).add(slow_part(tally, limit + SLOW_BINS))

    def _count_blocks(self, now: float) -> None:
        """Count the half seconds in which each server of the new version has answered."""
        counts = {
            vm: count_of(gate.report.tallies)
            for vm, gate in self._gates_by_vm.items()
            if gate.report.version == self.target_version
        }
        active = sum(count != self._counts_by_vm.get(vm, 0) for vm, count in counts.items())
        seconds = min(BLOCK_SECONDS, now - self._counted_at)
        self._blocks += active * seconds / BLOCK_SECONDS
        self._counts_by_vm, self._counted_at = counts, now

    def _total(self, is_new: bool) -> Tallies:
        return total_of(
            report.tallies
            for report in self._reports()
            if (report.version == self.target_version) == is_new
        )

    def _reports(self) -> list[RolloutReport]:
        gates = self._gates_by_vm.values()
        return [report for gate in gates for report in (*gate.ended, gate.report)]


def _sample(old: Tallies, new: Tallies, blocks: float) -> Sample:
    return Sample(old, new, count_of(new) / max(1.0, blocks))
