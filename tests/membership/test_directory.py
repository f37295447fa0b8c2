"""Merging, failure detection and the digest of the directory."""

from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppond.clock import Clock
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import DEAD_AFTER_SECONDS, REMOVE_AFTER_SECONDS, Directory
from kingcuppond.membership.messages import Member, ServerState, Suspicion
from tests.conftest import FakeTime


def make_member(vm: str, incarnation: int = 1, seq: int = 0) -> Member:
    return Member(vm, "dc-1", "shop", "1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3", incarnation, seq)


def make_directory(fake_time: FakeTime) -> Directory:
    clock = Clock(fake_time.read, fake_time.read)
    return Directory(make_member("me"), clock, Journal("me", clock))


def test_the_same_change_at_two_members_changes_the_digest(fake_time: FakeTime) -> None:
    directory = make_directory(fake_time)
    for vm in ("dc-1-a", "dc-2-a"):
        directory.merge(make_member(vm))
    before = directory.digest
    for vm in ("dc-1-a", "dc-2-a"):
        directory.merge(make_member(vm, seq=1))
    assert directory.digest != before


MEMBERS = st.builds(
    make_member, st.sampled_from(["a", "b", "c", "d"]), st.integers(1, 3), st.integers(0, 3)
)


@settings(derandomize=True, max_examples=200)
@given(st.lists(MEMBERS, max_size=20), st.randoms())
def test_any_order_of_rumours_gives_the_same_directory(members: list[Member], rng: object) -> None:
    first, second = (make_directory(FakeTime()) for _ in range(2))
    shuffled = list(members)
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    for member in members:
        first.merge(member)
    for member in shuffled:
        second.merge(member)
    assert first.members_by_vm == second.members_by_vm
    assert first.digest == second.digest
    for vm, member in first.members_by_vm.items():
        versions = [m.version for m in members if m.vm == vm]
        assert vm == "me" or member.version == max(versions)


def test_a_suspected_member_is_dead_unless_it_refutes(fake_time: FakeTime) -> None:
    directory = make_directory(fake_time)
    for vm in ("a", "b"):
        directory.merge(make_member(vm))
        assert directory.suspect(Suspicion(vm, 1, 0))
    directory.merge(make_member("b", seq=1))
    fake_time.advance(DEAD_AFTER_SECONDS + 0.1)
    directory.expire_suspicions()
    assert [member.vm for member in directory.dead()] == ["a"]
    assert not directory.is_suspected("b")


def test_a_daemon_refutes_a_suspicion_of_itself(fake_time: FakeTime) -> None:
    directory = make_directory(fake_time)
    announced: list[Member] = []
    directory.on_own_change.append(announced.append)
    directory.suspect(Suspicion("me", 1, 0))
    assert [member.seq for member in announced] == [1]
    directory.suspect(Suspicion("me", 1, 0))
    assert len(announced) == 1, "an old suspicion needs no further refutation"


def test_a_replaced_vm_supersedes_its_earlier_process(fake_time: FakeTime) -> None:
    directory = make_directory(fake_time)
    directory.publish_own_change(state=ServerState.WARM)
    directory.merge(make_member("me", incarnation=7, seq=5))
    assert directory.me.version > (7, 5)
    assert directory.me.state is ServerState.WARM


def test_an_entry_of_an_earlier_process_is_reported(fake_time: FakeTime) -> None:
    clock = Clock(fake_time.read, fake_time.read)
    directory = Directory(make_member("me", incarnation=5), clock, Journal("me", clock))
    reported: list[Member] = []
    directory.on_earlier_incarnation.append(reported.append)
    earlier = make_member("me", incarnation=4, seq=9)
    directory.merge(earlier)
    directory.merge(make_member("me", incarnation=5, seq=0))
    assert reported == [earlier]
    assert directory.me.version == (5, 0)


def test_members_dead_for_long_are_removed(fake_time: FakeTime) -> None:
    directory = make_directory(fake_time)
    directory.merge(make_member("a"))
    directory.suspect(Suspicion("a", 1, 0))
    fake_time.advance(DEAD_AFTER_SECONDS + 1)
    directory.expire_suspicions()
    fake_time.advance(REMOVE_AFTER_SECONDS)
    assert [member.vm for member in directory.expire_suspicions()] == ["a"]
    assert directory.digest == make_directory(fake_time).digest
