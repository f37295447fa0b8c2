"""The quotas of a simulated fleet of 86 daemons, whatever fails."""

from collections.abc import Callable
from random import Random

import pytest

from kingcuppond.events.journal import Journal
from kingcuppond.organisations.organisation import Organisation
from tests.quotas.fleet import BOUND, SimulatedFleet

SURGE = 4.7
QUOTAS = [(5.0, 0.0), (5.0, 5.0), (40.0, 40.0), (125.0, 0.0), (125.0, 125.0)]
MakeFleet = Callable[..., SimulatedFleet]


@pytest.fixture(params=QUOTAS, ids=lambda quota: f"{quota[0]:g} per s, burst {quota[1]:g}")
def quota(request: pytest.FixtureRequest) -> tuple[float, float]:
    rate, burst = request.param
    return rate, burst


@pytest.fixture
def make_fleet(journal: Journal, quota: tuple[float, float]) -> MakeFleet:
    def make(**options: float) -> SimulatedFleet:
        organisations = (Organisation("a", (), None, *quota),)
        return SimulatedFleet(journal, organisations=organisations, **options)  # type: ignore[arg-type]

    return make


@pytest.mark.parametrize("usual", [0.6, 1.0])
def test_a_surge_stops_within_the_bound(
    make_fleet: MakeFleet, quota: tuple[float, float], usual: float
) -> None:
    """Guards against an organisation that sends 4.7 times its quota, at all daemons at once."""
    fleet = make_fleet()
    fleet.run(8, {"a": usual * quota[0]})
    started = fleet.now
    fleet.run(8, {"a": SURGE * quota[0]})
    fleet.assert_bound()
    # After 0.4 s, only the rate and what the bucket still held are admitted.
    tolerance = BOUND.tolerance(*quota)
    assert fleet.admitted("a", started + 0.4) <= 7.6 * quota[0] + quota[1] + 0.5 * tolerance
    assert fleet.admitted("a", fleet.now - 5) >= 0.9 * 5 * quota[0], "the quota is used"
    assert all(0 < wait <= BOUND.window_seconds for wait in fleet.waits)


def test_nothing_is_refused_below_the_quota(
    make_fleet: MakeFleet, quota: tuple[float, float]
) -> None:
    """Guards against refusals within the quota, which callers lose."""
    fleet = make_fleet()
    fleet.run(3, {"a": 0.4 * quota[0]})
    fleet.run(30, {"a": 0.625 * quota[0]})
    assert fleet.refused("a") == 0


def test_a_burst_within_the_quota_is_hardly_refused(
    make_fleet: MakeFleet, quota: tuple[float, float]
) -> None:
    """Guards against an organisation that can't use its burst.

    The end of a burst that would empty the bucket within 0.4 s may be thinned.
    """
    rate, burst = quota
    fleet = make_fleet()
    # A coordinator has to have been there for long enough to grant the burst.
    fleet.run(burst / rate + 5, {"a": 0.1 * rate})
    fleet.run(0.2, {"a": burst / 0.2}, is_random=False)
    fleet.run(5, {"a": 0.625 * rate})
    assert fleet.refused("a") <= 0.05 * burst


def test_requests_are_admitted_again_soon_after_a_surge(
    make_fleet: MakeFleet, quota: tuple[float, float]
) -> None:
    """Guards against a share that outlasts the surge."""
    fleet = make_fleet()
    fleet.run(6, {"a": SURGE * quota[0]})
    fleet.run(1.5, {"a": 0.6 * quota[0]})
    ended = fleet.now
    fleet.run(10, {"a": 0.6 * quota[0]})
    assert fleet.refused("a", ended) <= 0.01 * 6 * quota[0]


def test_demand_that_moves_stays_within_the_bound(
    make_fleet: MakeFleet, quota: tuple[float, float]
) -> None:
    """Guards against daemons that admit freely because they have seen no request before."""
    fleet = make_fleet()
    for first in (0, 30, 60):
        fleet.run(3, {"a": SURGE * quota[0]}, fleet.names[first : first + 3])
    fleet.run(12, {"a": SURGE * quota[0]})
    fleet.assert_bound()
    assert fleet.admitted("a", fleet.now - 10) >= 0.9 * 10 * quota[0]


def test_lost_and_reordered_messages(make_fleet: MakeFleet, quota: tuple[float, float]) -> None:
    """Guards against counts that are lost, or counted twice."""
    fleet = make_fleet(loss=0.1, delay=(0.001, 0.1))
    fleet.run(6, {"a": 0.6 * quota[0]})
    assert fleet.refused("a") <= 0.05 * fleet.admitted("a", 0)
    fleet.run(10, {"a": SURGE * quota[0]})
    fleet.assert_bound()
    assert fleet.admitted("a", fleet.now - 5) >= 0.7 * 5 * quota[0]


@pytest.mark.parametrize(
    "sizes", [(43, 43), (29, 29, 28), (80, 6), (50, 36), (8,) * 10 + (6,), (1,) * 86], ids=len
)
@pytest.mark.parametrize("is_surge_before", [True, False])
def test_a_fleet_in_parts_stays_within_the_bound(
    make_fleet: MakeFleet,
    quota: tuple[float, float],
    sizes: tuple[int, ...],
    is_surge_before: bool,
) -> None:
    """Guards against parts that each admit the whole quota."""
    fleet = make_fleet()
    fleet.run(6, {"a": (SURGE if is_surge_before else 0.6) * quota[0]})
    names = list(fleet.names)
    Random(1).shuffle(names)
    parts = []
    for size in sizes:
        parts.append(names[:size])
        names = names[size:]
    fleet.cut(parts)
    if not is_surge_before:
        fleet.run(3, {"a": 0.6 * quota[0]})
    fleet.run(8, {"a": SURGE * quota[0]})
    fleet.heal()
    fleet.run(6, {"a": SURGE * quota[0]})
    fleet.assert_bound()


def test_a_cut_that_falls_together_with_a_surge(
    make_fleet: MakeFleet, quota: tuple[float, float]
) -> None:
    """Guards against daemons that admit freely until they notice that they are cut off."""
    fleet = make_fleet()
    fleet.run(6, {"a": 0.6 * quota[0]})
    fleet.cut([fleet.names[:29], fleet.names[29:58], fleet.names[58:]])
    fleet.run(8, {"a": SURGE * quota[0]})
    fleet.assert_bound()


@pytest.mark.parametrize("usual", [0.6, SURGE])
def test_deaths_of_coordinators(
    make_fleet: MakeFleet, quota: tuple[float, float], usual: float
) -> None:
    """Guards against a new coordinator that grants the burst again."""
    fleet = make_fleet()
    fleet.run(6, {"a": usual * quota[0]})
    for _ in range(4):
        fleet.kill([fleet.coordinator("a")])
        fleet.run(4, {"a": usual * quota[0]})
    fleet.run(6, {"a": SURGE * quota[0]})
    fleet.assert_bound()
    assert fleet.admitted("a", fleet.now - 5) >= 0.8 * 5 * quota[0]


def test_a_surge_that_falls_together_with_the_death_of_the_coordinator(
    make_fleet: MakeFleet, quota: tuple[float, float]
) -> None:
    """Guards against daemons that admit freely until the death is noticed."""
    fleet = make_fleet()
    fleet.run(6, {"a": 0.6 * quota[0]})
    fleet.kill([fleet.coordinator("a")])
    fleet.run(8, {"a": SURGE * quota[0]})
    fleet.assert_bound()


def test_half_of_the_daemons_die(make_fleet: MakeFleet, quota: tuple[float, float]) -> None:
    """Guards against a fleet that admits nothing, or everything, after a great loss."""
    fleet = make_fleet()
    fleet.run(6, {"a": SURGE * quota[0]})
    fleet.kill(fleet.names[::2])
    fleet.run(12, {"a": 2 * SURGE * quota[0]})
    fleet.assert_bound()
    assert fleet.admitted("a", fleet.now - 5) >= 0.4 * 5 * quota[0]


def test_a_lowered_limit_is_binding(make_fleet: MakeFleet, quota: tuple[float, float]) -> None:
    """Guards against the old rate or burst after a new configuration."""
    rate = quota[0]
    fleet = make_fleet()
    fleet.run(8, {"a": rate})
    fleet.configure((Organisation("a", (), None, rate / 2, 0.0),))
    lowered_at = fleet.now
    fleet.run(14, {"a": SURGE * rate})
    fleet.assert_bound(lowered_at + 2.5 + BOUND.window_seconds)


def test_a_removed_limit_is_lifted(make_fleet: MakeFleet, quota: tuple[float, float]) -> None:
    fleet = make_fleet()
    fleet.run(4, {"a": SURGE * quota[0]})
    fleet.configure((Organisation("a"),))
    removed_at = fleet.now
    fleet.run(2, {"a": SURGE * quota[0]})
    assert fleet.refused("a", removed_at) == 0


def test_without_rates_no_message_is_sent(journal: Journal) -> None:
    """Guards against a cost for deployments without quotas."""
    fleet = SimulatedFleet(journal, count=10, organisations=(Organisation("a"),))
    fleet.run(2, {"a": 100.0})
    assert (fleet.messages, fleet.refused("a")) == (0, 0)


def test_without_requests_no_message_is_sent(journal: Journal) -> None:
    fleet = SimulatedFleet(journal, organisations=(Organisation("a", (), None, 5.0, 5.0),))
    fleet.run(3, {})
    assert fleet.messages == 0


def test_bytes_of_messages_on_the_deployment_at_hand(journal: Journal) -> None:
    """420 requests per second of 85 organisations at 86 daemons, a few of them large."""
    rates = [78.0, 60.0, 40.0] + [242.0 / 82] * 82
    organisations = tuple(
        Organisation(f"o{index}", (), None, 1.6 * rate, rate) for index, rate in enumerate(rates)
    )
    fleet = SimulatedFleet(journal, organisations=organisations)
    fleet.run(3, {it.name: it.rate_per_second / 1.6 for it in organisations})
    before = fleet.bytes
    fleet.run(5, {it.name: it.rate_per_second / 1.6 for it in organisations})
    assert (fleet.bytes - before) / 5 / 86 < 1024
