"""The decision which share of a service's calls leaves, and which calls these are."""

from random import Random

import pytest

from kingcuppond.routing.offloading import (
    GOAL_PRESSURE,
    SPARE_PART,
    CallSize,
    Load,
    Neighbour,
    Shares,
    choose_destination,
    next_shares,
    overflow_destinations,
)

ROUND_TRIP_SECONDS = 0.011
IDLE = Neighbour(Load(100, 10), ROUND_TRIP_SECONDS)
FULL = Neighbour(Load(100, 99, 50), ROUND_TRIP_SECONDS)
SHORT = Load(100, 110, 300)
CALL = CallSize(0, 0.6, 0.19)


def repeat(shares: Shares, local: Load, neighbours: dict[str, Neighbour], times: int) -> Shares:
    for _ in range(times):
        shares = next_shares(shares, local, neighbours)
    return shares


def leaving_part(shares: Shares, call: CallSize, local: Load = SHORT) -> float:
    rng = Random(1)
    neighbours = dict.fromkeys(shares.by_data_centre, IDLE)
    chosen = (choose_destination(shares, call, local, neighbours, rng) for _ in range(2000))
    return sum(it is not None for it in chosen) / 2000


def test_nothing_leaves_while_the_own_servers_have_room() -> None:
    """Bytes between data centres are charged, also while another one is idle."""
    shares = repeat(Shares(), Load(100, 85), {"b": IDLE}, 20)
    assert shares.total == 0.0


def test_refusals_while_slots_are_free_are_no_shortage() -> None:
    """Single gates refuse calls that another one takes; the share followed these refusals."""
    assert repeat(Shares(), Load(100, 70, 400), {"b": IDLE}, 5).total == 0.0


def test_one_summary_moves_nothing() -> None:
    """A burst that lasts for one summary is over when calls would leave for it."""
    assert next_shares(Shares(), SHORT, {"b": IDLE}).total == 0.0
    assert repeat(Shares(), SHORT, {"b": IDLE}, 2).total > 0.0


def test_the_share_grows_in_bounded_steps() -> None:
    shares = repeat(Shares(), Load(10, 90, 400), {"b": Neighbour(Load(1000, 0), 0.001)}, 2)
    assert 0.0 < shares.total <= 0.1


def test_between_the_thresholds_the_share_stays() -> None:
    """A share that follows each summary oscillates."""
    shares = Shares({"b": 0.2})
    for calls in (82, 94, 88, 81):
        assert next_shares(shares, Load(100, calls), {"b": IDLE}).by_data_centre == {"b": 0.2}


def test_calls_return_when_there_is_room() -> None:
    shares = Shares({"b": 0.3, "c": 0.1})
    after = next_shares(shares, Load(100, 50), {"b": IDLE, "c": IDLE})
    assert after.total < shares.total
    assert after.by_data_centre["b"] == pytest.approx(3 * after.by_data_centre["c"])
    assert repeat(shares, Load(100, 50), {"b": IDLE, "c": IDLE}, 60).total == 0.0
    everything = repeat(Shares({"b": 1.0}), Load(100, 0), {"b": IDLE}, 200)
    assert everything.total == 0.0, "a share of one, with nothing left to measure here"


def test_spare_capacity_decides_where_to() -> None:
    neighbours = {"b": Neighbour(Load(100, 15), 0.001), "c": Neighbour(Load(100, 55), 0.001)}
    shares = repeat(Shares(), SHORT, neighbours, 2).by_data_centre
    assert shares["b"] == pytest.approx(3 * shares["c"])


def test_a_neighbour_that_recovers_is_not_overrun() -> None:
    """All daemons of all data centres see its spare slots at the same time."""
    recovering = Neighbour(Load(20, 0), ROUND_TRIP_SECONDS)
    local = Load(400, 600, 500)
    shares = repeat(Shares(), local, {"b": recovering, "c": FULL}, 2)
    added_calls = shares.total * local.demand
    assert 0.0 < added_calls <= recovering.load.spare * SPARE_PART / 2, "c may send there too"


def test_nothing_leaves_when_all_are_short() -> None:
    """Calls that leave take slots from the calls there, and their bytes are charged."""
    assert repeat(Shares(), SHORT, {"b": FULL, "c": FULL}, 20).total == 0.0
    shares = Shares({"b": 0.4, "c": 0.2})
    assert repeat(shares, SHORT, {"b": FULL, "c": FULL}, 8).total < 0.02


def test_a_neighbour_that_becomes_short_gets_less_even_if_this_one_is_short() -> None:
    shares = next_shares(Shares({"b": 0.3, "c": 0.2}), SHORT, {"b": FULL, "c": IDLE})
    assert shares.by_data_centre["b"] < 0.3
    assert shares.by_data_centre["c"] >= 0.2


def test_a_neighbour_without_a_summary_gets_nothing() -> None:
    """Guards against calls to a data centre that is cut off or out of service."""
    shares = next_shares(Shares({"b": 0.3, "c": 0.2}), Load(100, 90), {"c": IDLE})
    assert dict(shares.by_data_centre) == {"c": 0.2}
    assert choose_destination(Shares({"b": 1.0}), CALL, SHORT, {"c": IDLE}, Random(1)) is None


def test_the_share_is_that_of_the_calls() -> None:
    assert leaving_part(Shares({"b": 0.2, "c": 0.1}), CALL) == pytest.approx(0.3, abs=0.03)


def test_calls_with_large_bodies_leave_last() -> None:
    """An upload of 60 KB costs as much as the bytes of forty reads."""
    upload = CallSize(60_000, 0.6, 0.19)
    assert leaving_part(Shares({"b": 0.3}), upload) < 0.02
    assert leaving_part(Shares({"b": 1.0}), upload) == 1.0


@pytest.mark.parametrize(
    ("call", "round_trip_seconds"),
    [
        (CallSize(0, 0.15, 0.19), ROUND_TRIP_SECONDS),
        (CallSize(0, 0.6, 0.19), 0.5),
        (CallSize(400_000, 0.6, 0.19), ROUND_TRIP_SECONDS),
    ],
    ids=["no time", "slow link", "large body"],
)
def test_a_call_that_would_be_late_there_stays(call: CallSize, round_trip_seconds: float) -> None:
    neighbours = {"b": Neighbour(Load(100, 10), round_trip_seconds)}
    everything = Shares({"b": 1.0})
    assert choose_destination(everything, call, SHORT, neighbours, Random(1)) is None
    assert overflow_destinations(call, neighbours) == ()
    assert choose_destination(everything, CALL, SHORT, {"b": IDLE}, Random(1)) == "b"


def test_a_call_that_would_be_sooner_here_stays() -> None:
    local = Load(100, round(100 * GOAL_PRESSURE))
    short_call = CallSize(0, 0.6, 0.01)
    assert choose_destination(Shares({"b": 1.0}), short_call, local, {"b": IDLE}, Random(1)) is None


def test_refused_calls_overflow_only_to_data_centres_that_are_not_short() -> None:
    """Calls that all gates refuse went to other data centres in vain."""
    neighbours = {"b": FULL, "c": IDLE, "d": Neighbour(Load(100, 85), ROUND_TRIP_SECONDS)}
    assert overflow_destinations(CALL, neighbours) == ("c", "d")
    assert overflow_destinations(CallSize(60_000, 0.6, 0.19), neighbours) == ("c",)
