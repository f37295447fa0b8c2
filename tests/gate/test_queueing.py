"""Each rule of the queue's order decides if all rules before it leave two calls equal."""

import math

import attrs
import pytest

from kingcuppond.gate.queueing import (
    MAX_EXPONENT,
    MAX_ORGANISATIONS,
    RECENT_SECONDS,
    RecentStarts,
    Standing,
    WaitingCall,
    call_to_refuse,
    hopeless_calls,
    next_call,
)

NOW = 100.0
ARRIVALS = iter(range(1_000_000))


def make_call(
    organisation: str = "",
    class_name: str = "read",
    priority: int = 1,
    is_nested: bool = False,
    target: float = 0.5,
    deadline: float = 3.0,
) -> WaitingCall:
    standing = Standing(organisation, is_nested, NOW + target, run_seconds=0.2)
    return WaitingCall(class_name, priority, NOW + deadline, next(ARRIVALS), standing)


def starts_of(*organisations: str) -> RecentStarts:
    starts = RecentStarts()
    for organisation in organisations:
        starts.record(organisation, NOW)
    return starts


GOES_FIRST = {
    "an urgent class, also if it is late": (
        make_call(priority=0, target=0.1),
        make_call(is_nested=True),
    ),
    "a call of a server, whose caller already holds a slot": (
        make_call(is_nested=True, target=0.1),
        make_call(),
    ),
    "a call that can be in time, also if the other has less time left": (
        make_call("busy", target=0.3, deadline=3.0),
        make_call("idle", target=0.1, deadline=1.0),
    ),
    "the organisation with fewer recent starts": (
        make_call("idle", target=0.59, deadline=3.0),
        make_call("busy", target=0.51, deadline=2.0),
    ),
    "a call without an organisation, which may be one of a server": (
        make_call(target=0.59, deadline=3.0),
        make_call("busy", target=0.51, deadline=2.0),
    ),
    "without organisations the earlier deadline, also of a call that is late": (
        make_call(target=0.1, deadline=2.0),
        make_call(target=0.5, deadline=3.0),
    ),
    "less time left to the target, also of a busy organisation and with a later deadline": (
        make_call("busy", target=0.35, deadline=5.0),
        make_call("idle", target=0.55, deadline=3.0),
    ),
    "the earlier deadline": (make_call(deadline=2.0), make_call(deadline=3.0)),
    "the earlier arrival": (make_call(), make_call()),
}


@pytest.mark.parametrize(("first", "other"), GOES_FIRST.values(), ids=GOES_FIRST)
def test_order(first: WaitingCall, other: WaitingCall) -> None:
    starts = starts_of("busy")
    assert next_call([first, other], starts, NOW) is first
    assert next_call([other, first], starts, NOW) is first


REFUSED = {
    "the least urgent, also of an organisation with fewer calls": (
        [make_call("a", priority=2)],
        [make_call("b", priority=1), make_call("b", priority=1)],
    ),
    "a new request before a call of a server": (
        [make_call()],
        [make_call(is_nested=True), make_call(is_nested=True, target=0.1)],
    ),
    "a call that can only be late, of equally many": (
        [make_call("a", target=0.1)],
        [make_call("b", deadline=9.0), make_call("c", deadline=9.0)],
    ),
    "one of the organisation with the most waiting calls": (
        [make_call("a"), make_call("a", class_name="write")],
        [make_call("b", deadline=9.0), make_call("c"), make_call("busy")],
    ),
    "one of the organisation with more recent starts": (
        [make_call("busy")],
        [make_call("idle", deadline=9.0), make_call(deadline=9.0)],
    ),
    "one of the class with the most waiting calls, without organisations": (
        [make_call(class_name="write"), make_call(class_name="write")],
        [make_call(class_name="read", deadline=9.0)],
    ),
}


@pytest.mark.parametrize(("refused", "kept"), REFUSED.values(), ids=REFUSED)
def test_refused(refused: list[WaitingCall], kept: list[WaitingCall]) -> None:
    assert call_to_refuse([*kept, *refused], starts_of("busy"), NOW) in refused
    assert call_to_refuse([*refused, *kept], starts_of("busy"), NOW) in refused


def test_waiting_calls_of_urgent_classes_do_not_count_against_an_organisation() -> None:
    """Guards against an organisation whose urgent calls displace its less urgent ones alone."""
    urgent = [make_call("a", priority=0) for _ in range(3)]
    others = [make_call("b"), make_call("b"), make_call("a", deadline=9.0)]
    assert call_to_refuse([*urgent, *others], RecentStarts(), NOW) in others[:2]


def test_a_call_is_hopeless_before_its_deadline() -> None:
    hopeless, other = make_call(deadline=0.19), make_call(deadline=0.21)
    assert hopeless_calls([hopeless, other], NOW) == [hopeless]


def test_starts_are_forgotten_with_time() -> None:
    starts = RecentStarts()
    for _ in range(5):
        starts.record("a", NOW)
    starts.record("b", NOW)
    assert starts.weight("a") > starts.weight("b")
    starts.record("b", NOW + 3 * RECENT_SECONDS)
    assert starts.weight("a") < starts.weight("b")


def test_weights_stay_finite_over_months() -> None:
    starts = RecentStarts()
    for day in range(90):
        starts.record("a", 86_400.0 * day)
        starts.record("a", 86_400.0 * day + 1.0)
        starts.record("b", 86_400.0 * day + 1.0)
        assert starts.weight("b") < starts.weight("a") < math.exp(MAX_EXPONENT)


def test_the_number_of_organisations_is_bounded() -> None:
    starts = RecentStarts()
    for i in range(3 * MAX_ORGANISATIONS):
        starts.record(f"o{i}", NOW + i * 0.001)
        starts.record("busy", NOW + i * 0.001)
    assert len(attrs.asdict(starts)["_weights"]) <= MAX_ORGANISATIONS
    assert starts.weight("busy") > 1000
