"""What a daemon may spend on repeats does not grow when it is cut off from the others."""

from random import Random
from typing import Any, cast

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import DEAD_AFTER_SECONDS, Directory
from kingcuppond.membership.messages import Member, Suspicion
from kingcuppond.routing.router import Router
from tests.conftest import FakeTime


def make_member(vm: str) -> Member:
    return Member(vm, "a", "shop", "1:1", "1:2", "1:3", 1)


def test_a_daemon_that_is_cut_off_gets_no_more_of_the_allowance(
    clock: Clock, journal: Journal, fake_time: FakeTime
) -> None:
    directory = Directory(make_member("me"), clock, journal)
    for i in range(19):
        directory.merge(make_member(f"vm-{i}"))
    sender: Any = None
    router = Router(
        directory,
        Configuration(journal),
        cast(Any, sender),
        clock,
        journal,
        Random(1),
        lambda: "id",
        detour_seconds=0.0,
        fleet_retries=100.0,
    )
    before = router.repeat_allowance()
    for i in range(19):
        directory.suspect(Suspicion(f"vm-{i}", 1, 0))
    fake_time.advance(DEAD_AFTER_SECONDS + 0.1)
    directory.expire_suspicions()
    assert directory.living_count == 1
    assert router.repeat_allowance() == before
