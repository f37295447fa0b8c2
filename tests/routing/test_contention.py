"""What callers get when capacity is short, compared with the decisions before.

Each scenario of docs/HARD-LOAD.md is replayed with the same requests and machine noise, once with
the real decisions and once with those that they replaced.
"""

from collections import Counter
from collections.abc import Sequence
from typing import Final

import attrs
import pytest

from kingcuppond.gate import admission
from kingcuppond.gate.deadline_check import DeadlineCheck
from kingcuppond.gate.queueing import RecentStarts, WaitingCall
from kingcuppond.outcomes import NotRun, Reason
from kingcuppond.routing.call import Call
from tests.routing.replay import KINDS, Report, Scenario, replay

ORGANISATIONS: Final = {"large": 0.15} | {f"small-{i}": 0.85 / 39 for i in range(39)}
SEEDS: Final = (1, 2)

UNEQUAL: Final = tuple(
    attrs.evolve(kind, priority=priority)
    for kind, priority in zip(KINDS, (1, 0, 2, 0), strict=True)
)


def old_next(waiting: Sequence[WaitingCall], _starts: RecentStarts, _now: float) -> WaitingCall:
    return min(waiting, key=lambda call: (call.priority, call.deadline, call.arrival))


def old_refused(waiting: Sequence[WaitingCall], _starts: RecentStarts, _now: float) -> WaitingCall:
    by_class = Counter(call.class_name for call in waiting)
    return max(waiting, key=lambda it: (it.priority, by_class[it.class_name], it.deadline))


def old_hopeless(waiting: Sequence[WaitingCall], now: float) -> list[WaitingCall]:
    return [call for call in waiting if now >= call.deadline]


def old_refuse_late(self: DeadlineCheck, call: Call) -> NotRun | None:
    limit = self.admission.limit.limit
    is_full = self.admission.in_flight >= limit
    if is_full and not call.is_last_resort:
        return NotRun(Reason.FULL, "full")
    expected = self._typical_seconds(call) * self.observer.slowdown
    if is_full:
        expected *= 1 + (self.admission.waiting + 1) / limit
    due = call.deadline if call.is_last_resort else min(call.target_at, call.deadline)
    return None if self.admission.now() + expected <= due else NotRun(Reason.SERVER_SLOW, "late")


def use_old_decisions(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(admission, "next_call", old_next)
    patch.setattr(admission, "call_to_refuse", old_refused)
    patch.setattr(admission, "hopeless_calls", old_hopeless)
    patch.setattr(DeadlineCheck, "refuse_late", old_refuse_late)


def run(scenario: Scenario, is_old: bool = False) -> Report:
    """Replay a scenario with several seeds, and return all outcomes."""
    report = Report()
    with pytest.MonkeyPatch.context() as patch:
        if is_old:
            use_old_decisions(patch)
        for seed in SEEDS:
            one = replay(attrs.evolve(scenario, seed=seed))
            report.outcomes += one.outcomes
    print("before" if is_old else "now", report.figures())
    return report


def compare(scenario: Scenario) -> tuple[Report, Report]:
    return run(scenario, is_old=True), run(scenario)


def burst(organisation: str, at: float) -> float:
    return 7.0 if organisation == "large" and at > 1.0 else 1.0


def test_an_overload_leaves_no_kind_and_no_seconds_unserved() -> None:
    """Many organisations send more than the servers can do, beside machine noise."""
    scenario = Scenario(lambda _at: 1.3, organisations=ORGANISATIONS, seconds=3.0)
    before, now = (it.figures() for it in compare(scenario))
    assert now["kind"] > 1.3 * before["kind"]
    assert now["window"] > before["window"]
    assert now["in time"] > 0.9 * before["in time"]


def test_a_burst_of_one_organisation_does_not_displace_the_others() -> None:
    scenario = Scenario(lambda _at: 0.35, organisations=ORGANISATIONS, factor=burst)
    before, now = compare(scenario)
    assert now.figures()["organisations"] > before.figures()["organisations"]
    assert now.in_time() > 0.95 * before.in_time()
    assert now.served("large") > now.served() / 4


@pytest.mark.parametrize(
    "scenario",
    [
        Scenario(lambda _at: 0.7),
        Scenario(lambda _at: 0.4, cold_per_second=8.0),
    ],
    ids=["machine noise", "cold servers"],
)
def test_without_organisations_it_is_no_worse_than_before(scenario: Scenario) -> None:
    before, now = (it.figures() for it in compare(scenario))
    assert now["in time"] > 0.95 * before["in time"]
    assert now["served"] > 0.95 * before["served"]
    # The worst kind has few requests, and its share differs more between runs.
    assert now["kind"] > 0.85 * before["kind"]


def test_urgent_kinds_of_a_service_are_served_before_others() -> None:
    now = run(Scenario(lambda _at: 0.9, kinds=UNEQUAL))
    shares = [
        now.served(*(kind.name for kind in UNEQUAL if kind.priority == priority))
        for priority in (0, 1, 2)
    ]
    assert shares[0] > shares[1] - 0.05
