"""What a daemon may spend on repeats does not grow when it is cut off from the others."""

from random import Random
from typing import Any, cast

import attrs
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import DEAD_AFTER_SECONDS, Directory
from kingcuppond.membership.messages import Member, ServerState, Suspicion
from kingcuppond.outcomes import Failure, NotRun, Reason
from kingcuppond.routing.call import Answer, Body, Call
from kingcuppond.routing.choice import Candidate
from kingcuppond.routing.router import Router
from kingcuppond.typical_latency import TypicalLatencies
from tests.conftest import FakeTime


def make_member(vm: str) -> Member:
    return Member(vm, "a", "shop", "1:1", "1:2", "1:3", 1)


def make_router(directory: Directory, clock: Clock, journal: Journal, sender: Any = None) -> Router:
    return Router(
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


def test_a_daemon_that_is_cut_off_gets_no_more_of_the_allowance(
    clock: Clock, journal: Journal, fake_time: FakeTime
) -> None:
    directory = Directory(make_member("me"), clock, journal)
    for i in range(19):
        directory.merge(make_member(f"vm-{i}"))
    router = make_router(directory, clock, journal)
    before = router.repeat_allowance()
    for i in range(19):
        directory.suspect(Suspicion(f"vm-{i}", 1, 0))
    fake_time.advance(DEAD_AFTER_SECONDS + 0.1)
    directory.expire_suspicions()
    assert directory.living_count == 1
    assert router.repeat_allowance() == before


def test_a_call_goes_to_the_next_filter_if_the_first_leaves_no_server(
    clock: Clock, journal: Journal
) -> None:
    """Guards against a call that fails since the few servers of a canary were tried already."""
    directory = Directory(make_member("me"), clock, journal)
    for vm in ("old", "new"):
        directory.merge(attrs.evolve(make_member(vm), state=ServerState.WARM))
    router = make_router(directory, clock, journal)

    def is_new(member: Member) -> bool:
        return member.vm == "new"

    def is_old(member: Member) -> bool:
        return member.vm == "old"

    router.filters = lambda service, rng: (is_new, is_old)
    assert [it.vm for it in router._draw("shop", set(), 0.0)] == ["new"]
    assert [it.vm for it in router._draw("shop", {"new"}, 0.0)] == ["old"]
    router.filters = lambda service, rng: (is_new,)
    assert router._draw("shop", {"new"}, 0.0) == []


class RefusingSender:
    """Refuses calls for the share of a version, until it has refused some."""

    def __init__(self, refusals: int) -> None:
        self.refusals = refusals
        self.typical_latencies = TypicalLatencies()

    def typical_seconds(self, class_name: str) -> float:
        return 0.1

    async def attempt(self, call: Call, candidate: Candidate) -> Result[Answer, Failure]:
        if self.refusals:
            self.refusals -= 1
            return Error(NotRun(Reason.VERSION_SHARE, ""))
        return Ok(Answer(200, (), b""))


async def test_a_call_waits_in_the_backlog_if_only_new_versions_were_asked() -> None:
    """Guards against a 503 while this daemon has not heard of a roll-out that the gates know."""
    clock = Clock()
    journal = Journal("me", clock)
    directory = Directory(make_member("me"), clock, journal)
    directory.merge(attrs.evolve(make_member("new"), state=ServerState.WARM))
    router = make_router(directory, clock, journal, RefusingSender(2))
    now = clock.monotonic()
    call = Call(
        id="1",
        class_name="read",
        service="shop",
        method="GET",
        target="/",
        headers=(),
        body=Body(),
        deadline=now + 2.0,
        depth=0,
        retry_budget=0,
        at_most_once=True,
        fingerprint="f",
        target_at=now + 2.0,
    )
    assert (await router.run(call)).is_ok()
