"""The choice of a server costs the same however many there are, and leaves out those that left."""

import time
from random import Random

import attrs
import pytest

from kingcuppond.clock import Clock
from kingcuppond.configuration.objects import DataCentreState, encode
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import DEAD_AFTER_SECONDS, Directory
from kingcuppond.membership.messages import Member, ServerState, Suspicion
from kingcuppond.routing.choice import SelectionContext, least_expected
from kingcuppond.routing.placement import MAX_CACHED, MAX_DRAWN, Scope, ServerIndex, place
from kingcuppond.routing.view import ServerView
from tests.conftest import FakeTime

CONTEXT = SelectionContext(0.0, 0.1)


def make_member(vm: str, data_centre: str = "a", state: ServerState = ServerState.WARM) -> Member:
    return Member(vm, data_centre, "shop", "1:1", "1:2", "1:3", 1, 0, state)


def make_index(directory: Directory, clock: Clock) -> ServerIndex:
    views: dict[str, ServerView] = {}
    configuration = Configuration(Journal("me", clock))
    return ServerIndex(
        directory, configuration, lambda vm: views.setdefault(vm, ServerView()), Random(1)
    )


@pytest.fixture
def directory(clock: Clock, journal: Journal) -> Directory:
    return Directory(make_member("me"), clock, journal)


def drawn_vms(index: ServerIndex, tried: set[str] | None = None) -> set[str]:
    return {candidate.vm for candidate in index.draw("shop", tried or set(), 0.0, 0.025)}


def test_all_of_a_few_servers_are_drawn(directory: Directory, clock: Clock) -> None:
    directory.merge(make_member("near"))
    directory.merge(make_member("far", "b"))
    index = make_index(directory, clock)
    assert drawn_vms(index) == {"me", "near", "far"}
    assert drawn_vms(index, {"near"}) == {"me", "far"}


def test_of_many_servers_some_of_each_side_and_the_own_one_are_drawn(
    directory: Directory, clock: Clock
) -> None:
    for i in range(100):
        directory.merge(make_member(f"vm-{i}", "a" if i % 2 else "b"))
    index = make_index(directory, clock)
    for _ in range(20):
        candidates = index.draw("shop", set(), 0.0, 0.025)
        nearby = [candidate for candidate in candidates if candidate.detour_seconds == 0.0]
        assert "me" in {candidate.vm for candidate in nearby}
        assert MAX_DRAWN <= len(nearby) <= MAX_DRAWN + 1
        assert len(candidates) - len(nearby) == MAX_DRAWN
        assert len({candidate.vm for candidate in candidates}) == len(candidates)


def test_servers_that_left_are_not_drawn(
    directory: Directory, clock: Clock, fake_time: FakeTime
) -> None:
    for vm in ("draining", "dead", "fine"):
        directory.merge(make_member(vm))
    directory.merge(make_member("out", "b"))
    index = make_index(directory, clock)
    assert drawn_vms(index) == {"me", "draining", "dead", "fine", "out"}
    directory.merge(
        Member("draining", "a", "shop", "1:1", "1:2", "1:3", 1, 1, ServerState.DRAINING)
    )
    directory.suspect(Suspicion("dead", 1, 0))
    assert drawn_vms(index) == {"me", "fine", "out"}, "a suspected server is the last choice"
    fake_time.advance(DEAD_AFTER_SECONDS + 0.1)
    directory.expire_suspicions()
    out = VersionedObject("data-centre/b", 2, encode(DataCentreState("b", "out")))
    index.configuration.merge([out])
    assert drawn_vms(index) == {"me", "fine"}


def test_the_cost_of_a_choice_does_not_grow_with_the_service(clock: Clock) -> None:
    seconds = []
    for count in (6, 310):
        directory = Directory(make_member("me"), clock, Journal("me", clock))
        for i in range(count):
            directory.merge(make_member(f"vm-{i}", "a" if i % 2 else "b"))
        index = make_index(directory, clock)
        rng = Random(1)
        rounds = []
        for _ in range(5):
            started = time.process_time()
            for _ in range(300):
                place(index.draw("shop", set(), 0.0, 0.025), CONTEXT, 1.0, least_expected, rng)
            rounds.append(time.process_time() - started)
        seconds.append(min(rounds))
    assert seconds[1] <= 3 * seconds[0]


@attrs.frozen
class OnVms:
    """Allows the servers on some VMs."""

    vms: frozenset[str]

    def __call__(self, member: Member) -> bool:
        return member.vm in self.vms


def test_only_servers_that_the_filter_allows_are_drawn(directory: Directory, clock: Clock) -> None:
    """Guards against a draw that leaves none of the few allowed servers of a large service."""
    for i in range(100):
        directory.merge(make_member(f"vm-{i}"))
    index = make_index(directory, clock)
    allowed = frozenset({"vm-7", "vm-70"})
    for _ in range(20):
        drawn = index.draw("shop", set(), 0.0, 0.025, OnVms(allowed))
        assert {candidate.vm for candidate in drawn} == allowed
    assert "me" in drawn_vms(index)


def test_filters_that_change_take_no_memory(directory: Directory, clock: Clock) -> None:
    index = make_index(directory, clock)
    for i in range(3 * MAX_CACHED):
        index.draw("shop", set(), 0.0, 0.025, OnVms(frozenset({f"vm-{i}"})))
    assert len(index._vms_by_service) <= MAX_CACHED


def scoped_vms(index: ServerIndex, scope: Scope, tried: set[str] | None = None) -> set[str]:
    return {
        candidate.vm for candidate in index.draw("shop", tried or set(), 0.0, 0.025, None, scope)
    }


def test_a_scope_names_the_data_centres(directory: Directory, clock: Clock) -> None:
    for vm, data_centre in (("near", "a"), ("b-1", "b"), ("c-1", "c")):
        directory.merge(make_member(vm, data_centre))
    index = make_index(directory, clock)
    assert scoped_vms(index, Scope()) == {"me", "near"}
    assert scoped_vms(index, Scope(("b",))) == {"me", "near", "b-1"}
    assert scoped_vms(index, Scope(("c",), has_nearby=False)) == {"c-1"}
    assert scoped_vms(index, Scope((), ("b",)), {"me", "near"}) == {"b-1"}
    assert scoped_vms(index, Scope(), {"me", "near"}) == set(), "the others are short"


def test_servers_in_backoff_go_after_the_overflow_unless_all_are_asked(
    directory: Directory, clock: Clock
) -> None:
    directory.merge(make_member("b-1", "b"))
    index = make_index(directory, clock)
    index.view_of("me").backoff_until = 1.0
    assert scoped_vms(index, Scope((), ("b",))) == {"b-1"}
    assert scoped_vms(index, Scope((), ("b",), asks_all=True)) == {"me"}
    assert scoped_vms(index, Scope()) == {"me"}


def test_suspected_servers_are_not_asked_before_the_overflow(
    directory: Directory, clock: Clock
) -> None:
    """A call waits for the timeout of a server that is gone; a full gate refuses at once."""
    directory.merge(make_member("near"))
    directory.merge(make_member("b-1", "b"))
    directory.suspect(Suspicion("near", 1, 0))
    index = make_index(directory, clock)
    assert scoped_vms(index, Scope((), ("b",), asks_all=True), {"me"}) == {"b-1"}


def test_a_data_centre_without_servers_sends_anywhere(clock: Clock, journal: Journal) -> None:
    """Its calls were refused until its summary had expired."""
    directory = Directory(make_member("me", state=ServerState.DRAINING), clock, journal)
    directory.merge(make_member("b-1", "b"))
    assert scoped_vms(make_index(directory, clock), Scope()) == {"b-1"}


def test_a_scope_of_many_data_centres_draws_no_more_servers(
    directory: Directory, clock: Clock
) -> None:
    for i in range(170):
        directory.merge(make_member(f"vm-{i}", f"dc-{i % 17}"))
    index = make_index(directory, clock)
    scope = Scope(tuple(f"dc-{i}" for i in range(17)))
    drawn = [len(index.draw("shop", set(), 0.0, 0.025, None, scope)) for _ in range(20)]
    assert MAX_DRAWN <= min(drawn) <= max(drawn) <= MAX_DRAWN + 1
