"""What two daemons compare when their digests differ."""

import attrs

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member, Pong, ServerState, StateRequest
from kingcuppond.membership.state import COMPLETING_PARTS, OBJECTS_PART, SharedState
from kingcuppond.quarantine.suspects import SuspectTable


def make_state(vm: str, clock: Clock, journal: Journal) -> SharedState:
    me = Member(vm, "dc-1", "shop", "a:1", "a:2", "a:3", 1)
    directory = Directory(me, clock, journal)
    return SharedState(directory, Configuration(journal), SuspectTable(vm, clock, journal))


def test_only_parts_that_differ_are_exchanged(clock: Clock, journal: Journal) -> None:
    here, there = make_state("vm-1", clock, journal), make_state("vm-2", clock, journal)
    pong = Pong(there.digest, digests_by_part=there.digests_by_part())
    assert here.differing_parts(pong) == ("members/dc-1",)


def test_a_change_during_a_ping_is_no_difference(clock: Clock, journal: Journal) -> None:
    """The other end found equal digests, so its reply has none of the parts."""
    here = make_state("vm-1", clock, journal)
    pong = Pong(here.digest)
    here.directory.publish_own_change()
    assert here.differing_parts(pong) == ()


def test_a_restarted_daemon_is_told_that_its_server_was_draining(
    clock: Clock, journal: Journal
) -> None:
    state = make_state("vm-1", clock, journal)
    earlier = Member("vm-2", "dc-1", "shop", "b:1", "b:2", "b:3", 1, instance="i-1")
    draining = attrs.evolve(earlier, seq=1, state=ServerState.DRAINING)
    restarted = attrs.evolve(earlier, incarnation=2, instance="")
    for member in (earlier, draining, restarted):
        state.directory.merge(member)
    assert state.introduce(restarted).members == (state.directory.me, draining)


def test_a_reply_without_the_quarantine_notes_completes_no_configuration(
    clock: Clock, journal: Journal
) -> None:
    """Guards against a daemon that is ready without the holds."""
    state = make_state("vm-1", clock, journal)
    state.configuration.is_complete = True
    me = Member("vm-2", "dc-1", "shop", "b:1", "b:2", "b:3", 1)
    assert state.answer_request(StateRequest(me, COMPLETING_PARTS)).is_complete
    assert state.answer_request(StateRequest(me, None)).is_complete
    assert not state.answer_request(StateRequest(me, (OBJECTS_PART,))).is_complete
