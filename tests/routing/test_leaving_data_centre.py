"""The measured decision on calls that leave, replayed against the latency penalty before it.

The fleet is simulated (``fleet_simulation.py``), with the same arrivals and noise for both rules.
"""

from collections.abc import Callable
from random import Random
from statistics import mean
from typing import Any

import pytest
from prometheus_client import CollectorRegistry

from kingcuppond.clock import Clock
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.summaries import (
    MAX_SUMMARY_AGE_SECONDS,
    LoadNews,
    SummaryFields,
    SummaryTable,
)
from kingcuppond.routing import leaving, offloading
from kingcuppond.routing.call import Body, Call
from kingcuppond.routing.leaving import EVENT_INTERVAL_SECONDS, LeavingMetrics, LeavingPlanner
from kingcuppond.routing.placement import Scope
from tests.conftest import FakeTime
from tests.routing.fleet_simulation import SLOTS, WORK_SECONDS, Fleet, Outcome

CAPACITY_OF_SERVER = SLOTS / WORK_SECONDS
SERVERS = 4
EVEN = {"a": SERVERS, "b": SERVERS, "c": SERVERS}
Rates = Callable[[str, float], float]


def compare(servers: dict[str, int], rates: Rates, seconds: float, **more: Any) -> list[Outcome]:
    """Return the outcomes with the penalty and with the measured decision."""
    return [Fleet(servers, rates, is_on, **more).run(seconds) for is_on in (False, True)]


def demand(**shares: float) -> Rates:
    """Return rates as shares of what the servers of an even data centre can run."""
    return lambda name, now: shares[name] * SERVERS * CAPACITY_OF_SERVER


@pytest.mark.parametrize("load", [0.15, 0.4])
def test_in_calm_no_more_leaves(load: float) -> None:
    """Guards against a decision that pays for bytes where the servers suffice."""
    rates = demand(a=load, b=load, c=load)
    pairs = [
        compare(EVEN, rates, 8, is_noisy=True, upload_part=0.1, seed=seed) for seed in (1, 2, 3)
    ]
    before, after = zip(*pairs, strict=True)
    assert sum(it.left for it in after) <= sum(it.left for it in before)
    assert sum(it.bytes_between for it in after) <= sum(it.bytes_between for it in before)
    assert mean(it.share_in_time for it in after) >= mean(it.share_in_time for it in before) - 0.003


def test_one_data_centre_has_three_times_the_demand_of_the_others() -> None:
    rates = demand(a=1.2, b=0.4, c=0.4)
    before, after = compare(EVEN, rates, 12, upload_part=0.1)
    assert after.share_in_time >= before.share_in_time - 0.005
    assert after.bytes_between <= 0.75 * before.bytes_between
    assert all(after.left_share(name, range(12)) <= 0.01 for name in "bc")


def test_one_data_centre_has_a_third_of_the_servers() -> None:
    servers = {"a": 2, "b": 6, "c": 6}
    rates = demand(a=0.8, b=0.8, c=0.8)
    before, after = compare(servers, rates, 12, upload_part=0.1)
    assert after.share_in_time >= before.share_in_time - 0.005
    assert after.bytes_between < before.bytes_between


def test_all_are_at_twice_their_capacity() -> None:
    """Each call asked gates of other data centres in vain, several times."""
    half = dict.fromkeys(EVEN, SERVERS // 2)
    before, after = compare(half, demand(a=1, b=1, c=1), 5)
    assert after.share_in_time >= before.share_in_time - 0.01
    assert after.bytes_between <= 0.35 * before.bytes_between
    assert all(after.left_share(name, range(2, 5)) <= 0.01 for name in EVEN)


def test_demand_that_moves_is_followed() -> None:
    def rates(name: str, now: float) -> float:
        busy = "a" if now < 8 else "b"
        return (1.2 if name == busy else 0.4) * SERVERS * CAPACITY_OF_SERVER

    outcome = Fleet(EVEN, rates, is_measured=True).run(16)
    assert outcome.share_in_time >= 0.99
    assert outcome.left_share("a", range(4, 8)) >= 0.05
    assert outcome.left_share("b", range(4, 8)) <= 0.01
    assert outcome.left_share("a", range(12, 16)) <= 0.01


def test_a_neighbour_that_recovers_is_not_overrun(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two data centres that are short see its free slots at the same time."""

    def slots(name: str, now: float) -> int:
        return 1 if name == "c" and now < 3 else SLOTS

    def run(is_measured: bool) -> Outcome:
        return Fleet(EVEN, demand(a=1.15, b=1.15, c=0.1), is_measured, slots=slots).run(10)

    before, after = run(is_measured=False), run(is_measured=True)
    assert after.share_in_time >= before.share_in_time - 0.015
    assert after.bytes_between <= 0.6 * before.bytes_between
    assert all(after.left_share(name, range(5, 10)) >= 0.05 for name in "ab")
    for name, value in (("GAIN", 1.0), ("MAX_STEP", 1.0), ("SPARE_PART", 20.0)):
        monkeypatch.setattr(offloading, name, value)
    at_once = run(is_measured=True)
    recovered = range(4, 10)
    assert after.refused_at("c", recovered) <= 0.5 * at_once.refused_at("c", recovered)


@pytest.mark.parametrize("is_one_way", [False, True])
def test_nothing_is_sent_to_a_data_centre_that_is_not_heard(is_one_way: bool) -> None:
    """Its summary is old, or, if the link is cut one way, its round trip is."""

    def passes(sender: str, receiver: str, now: float) -> bool:
        is_cut = now > 2 and (receiver == "b" or (sender == "b" and not is_one_way))
        return not is_cut

    fleet = Fleet(EVEN, demand(a=1.2, b=0.1, c=0.4), is_measured=True, passes=passes)
    outcome = fleet.run(8)
    late = Fleet(EVEN, demand(a=1.2, b=0.1, c=0.4), is_measured=True, passes=passes).run(12)
    assert outcome.received["b"] > 0
    assert late.received["b"] <= outcome.received["b"] * 1.05
    assert late.received["c"] > outcome.received["c"]


def test_without_the_share_refusals_go_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """The share spares calls the refusals of gates that are known to be full."""
    rates = demand(a=1.2, b=0.3, c=0.3)
    with_share = Fleet(EVEN, rates, is_measured=True)
    with_share.run(12)
    monkeypatch.setattr(leaving, "next_shares", lambda shares, local, neighbours: shares)
    without = Fleet(EVEN, rates, is_measured=True)
    without.run(12)

    def refusals(fleet: Fleet) -> int:
        return sum(server.refused for server in fleet.servers_by_vm.values())

    assert refusals(with_share) <= 0.8 * refusals(without)


def test_without_the_overflow_bursts_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    servers = {"a": 1, "b": 1, "c": 1}
    rates = demand(a=0.15, b=0.15, c=0.15)
    with_overflow = Fleet(servers, rates, is_measured=True, is_noisy=True).run(12)
    monkeypatch.setattr(leaving, "overflow_destinations", lambda *inputs: ())
    without = Fleet(servers, rates, is_measured=True, is_noisy=True).run(12)
    assert with_overflow.share_in_time >= without.share_in_time + 0.02


def make_planner(
    clock: Clock, journal: Journal, is_out: Callable[[str], bool] = lambda name: False
) -> LeavingPlanner:
    table = SummaryTable("a", Random(1))
    metrics = LeavingMetrics(CollectorRegistry())
    return LeavingPlanner(table, is_out, journal, Random(1), metrics)


def tell(planner: LeavingPlanner, now: float, seq: int, **sums: tuple[int, int, int]) -> None:
    """Have the planner's table learn summaries (slots, load, refused) of some data centres."""
    fields: dict[str, dict[str, SummaryFields]] = {
        name: {"shop": (seq, 0, *it)} for name, it in sums.items()
    }
    trips = {name: (0, 11) for name in sums if name != "a"}
    planner.table.merge(LoadNews({}, fields, trips), "a", now)


def make_call(now: float, body: Body | None = None) -> Call:
    return Call(
        *("id", "read", "shop", "GET", "/", (), body or Body(), now + 5.0),
        *(0, 3, False, "", False, "", "", now + 0.676),
    )


def scopes(planner: LeavingPlanner, now: float, tried: int = 0) -> set[Scope | None]:
    return {planner.scope(make_call(now), tried, now, WORK_SECONDS) for _ in range(100)}


def test_without_a_summary_the_penalty_applies(clock: Clock, journal: Journal) -> None:
    planner = make_planner(clock, journal)
    assert scopes(planner, 10.0) == {None}
    tell(planner, 10.0, 1, a=(100, 50, 0))
    assert scopes(planner, 10.2) == {None}, "nothing is known of the others"
    tell(planner, 10.2, 1, b=(100, 50, 0))
    assert scopes(planner, 10.4) == {Scope((), ("b",), asks_all=True)}
    assert scopes(planner, 10.5 + MAX_SUMMARY_AGE_SECONDS) == {None}, "the summaries are old"


def test_a_data_centre_out_of_service_gets_nothing(clock: Clock, journal: Journal) -> None:
    planner = make_planner(clock, journal, lambda name: name == "b")
    for seq in range(1, 5):
        now = 10.0 + seq
        tell(planner, now, seq, a=(100, 120, 500), b=(100, 0, 0), c=(100, 60, 0))
        found = scopes(planner, now)
    assert found == {
        Scope((), ("c",), asks_all=True),
        Scope(("c",), ("c",), has_nearby=False),
    }


def test_refused_calls_stay_for_two_more_gates_and_large_ones_for_three(
    clock: Clock, journal: Journal
) -> None:
    planner = make_planner(clock, journal)
    tell(planner, 10.0, 1, a=(100, 90, 0), b=(100, 10, 0))
    upload = make_call(10.0, Body(bytes(60_000)))
    here, anywhere = Scope((), ("b",)), Scope(("b",))
    patient = Scope((), ("b",), asks_all=True)
    assert [planner.scope(make_call(10.0), it, 10.0, 0.19) for it in range(4)] == [
        *(patient, here, anywhere, anywhere)
    ]
    assert [planner.scope(upload, it, 10.0, 0.19) for it in range(4)] == [
        *(patient, patient, patient, anywhere)
    ]


def test_changes_of_the_share_are_recorded_at_a_bounded_rate(
    clock: Clock, journal: Journal, fake_time: FakeTime
) -> None:
    """An operator sees the share, and a share that oscillates does not fill the log."""
    planner = make_planner(clock, journal)
    now = 100.0
    for seq in range(1, 200):
        now += 0.5
        is_short = seq % 40 < 20
        tell(planner, now, seq, a=(100, 120, 500) if is_short else (100, 20, 0), b=(400, 0, 0))
        planner.scope(make_call(now), 0, now, WORK_SECONDS)
    number = catalogue.LEAVING_SHARE_CHANGED.number
    entries = [entry for entry in journal.entries if entry.number == number]
    assert 2 <= len(entries) <= 100 / EVENT_INTERVAL_SECONDS
    assert entries[0].fields["pressures"] == "b 0.00"
    assert {"share", "shares", "pressure", "slots", "refused", "round_trips_ms"} <= set(
        entries[0].fields
    )
    registry = planner.metrics.registry
    labels = {"service": "shop", "data_centre": "b"}
    assert registry.get_sample_value("kingcuppond_data_centre_pressure", labels) == 0.0
    assert registry.get_sample_value("kingcuppond_leaving_share", labels) is not None
    assert registry.get_sample_value("kingcuppond_calls_leaving_total", labels)
