"""Which members watch the store, and when their watches end."""

from itertools import pairwise

import attrs
import pytest

from kingcuppond.configuration.watch_ranks import (
    FLEET_WATCHERS,
    MAX_SUBSTITUTES,
    MAX_WATCH_GAP_MS,
    find_watchers,
    rank_substitutes,
    rank_watchers,
    watch_ms,
)
from kingcuppond.membership.contacts import rendezvous_hash
from kingcuppond.membership.messages import Member

WATCH_WAIT_MS = 20_000
MAX_EARLY_MS = 100
"""How long before the end of its wait a store may answer a watch."""


def make_member(vm: str) -> Member:
    return Member(vm, "dc-1", "shop", vm, vm, vm, 1)


def test_substitutes_are_the_members_of_the_fleet_that_rank_after_the_watchers() -> None:
    members = [attrs.evolve(make_member(f"vm-{i}"), data_centre=f"dc-{i % 2}") for i in range(40)]
    ranks = [rank_watchers(name, members) for name in ("dc-0", "dc-1")]
    acting = {vm for it in ranks for vm in it.acting}
    assert all(len(it.acting) == FLEET_WATCHERS / 2 for it in ranks)
    substitutes = rank_substitutes(members)
    assert len(substitutes) == MAX_SUBSTITUTES
    assert not acting & set(substitutes)
    ranked = sorted(members, key=lambda member: rendezvous_hash("watch", member.vm))
    assert substitutes == [it.vm for it in ranked if it.vm not in acting][:MAX_SUBSTITUTES]


def test_leaving_members_ask_nothing() -> None:
    members = [make_member(f"vm-{i}") for i in range(20)]
    first = rank_substitutes(members)[0]
    leaving = [attrs.evolve(it, is_leaving=it.vm == first) for it in members]
    assert first not in rank_substitutes(leaving)


def test_the_next_in_rank_act_if_the_others_are_left_out() -> None:
    """Daemons that leave out the watchers which don't answer agree on those that replace them."""
    members = [attrs.evolve(make_member(f"vm-{i}"), data_centre=f"dc-{i % 2}") for i in range(40)]
    watchers = find_watchers(members)
    ranks = [rank_watchers(name, members) for name in ("dc-0", "dc-1")]
    assert {member.vm for member in watchers} == {vm for it in ranks for vm in it.acting}
    others = [member for member in members if member not in watchers]
    replaced = [rank_watchers(name, others).acting for name in ("dc-0", "dc-1")]
    assert replaced == [it.next_in_rank for it in ranks]


@pytest.mark.parametrize("now_ms", [0, 1, 4_999, 5_000, 5_001, 999_999])
def test_watches_end_at_their_phase(now_ms: int) -> None:
    wait_ms = watch_ms(now_ms, 0.25, WATCH_WAIT_MS)
    assert 0 < wait_ms < WATCH_WAIT_MS * 1.05
    assert (now_ms + wait_ms) % WATCH_WAIT_MS == WATCH_WAIT_MS // 4


def test_watches_that_begin_together_end_without_a_gap() -> None:
    """Watches due within a second of a change waited for the next round, and left a gap."""
    phases = [index / 12 for index in range(12)]
    for started_ms in range(0, WATCH_WAIT_MS, 50):
        waits_ms = sorted(watch_ms(started_ms, phase, WATCH_WAIT_MS) for phase in phases)
        gaps_ms = [after - before for before, after in pairwise([0, *waits_ms])]
        assert max(gaps_ms) <= WATCH_WAIT_MS / len(phases) + MAX_EARLY_MS


def test_a_watch_that_is_answered_early_is_not_repeated_at_once() -> None:
    wait_ms = watch_ms(WATCH_WAIT_MS // 4 - MAX_EARLY_MS + 10, 0.25, WATCH_WAIT_MS)
    assert wait_ms > WATCH_WAIT_MS


def test_phases_of_all_watchers_are_spread_evenly() -> None:
    members = [attrs.evolve(make_member(f"vm-{i}"), data_centre=f"dc-{i % 4}") for i in range(40)]
    ranks = [rank_watchers(f"dc-{i}", members) for i in range(4)]
    phases = sorted(phase for it in ranks for phase in it.phases_by_vm.values())
    assert phases == pytest.approx([i / len(phases) for i in range(len(phases))])


@pytest.mark.parametrize("counts", [[1], [2, 1], [9, 1, 1], [1, 5, 2, 3], [2] * 18])
def test_uneven_data_centres_leave_no_gap_between_watches(counts: list[int]) -> None:
    """Data centres with fewer members than watchers wanted left their moments empty."""
    members = [
        attrs.evolve(make_member(f"vm-{data_centre}-{i}"), data_centre=f"dc-{data_centre}")
        for data_centre, count in enumerate(counts)
        for i in range(count)
    ]
    ranks = [rank_watchers(f"dc-{data_centre}", members) for data_centre in range(len(counts))]
    phases = sorted(phase for it in ranks for phase in it.phases_by_vm.values())
    assert phases == pytest.approx([i / len(phases) for i in range(len(phases))])
    assert {it.watchers for it in ranks} == {len(phases)}
    intervals_ms = {it.interval_ms(WATCH_WAIT_MS) for it in ranks}
    assert max(intervals_ms) <= min(WATCH_WAIT_MS, MAX_WATCH_GAP_MS * len(phases))
