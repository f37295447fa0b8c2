"""Which servers a call that was not run is sent to next, and what its retries cost."""

from collections.abc import Callable
from random import Random
from typing import Any, cast

import attrs
import pytest
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import DEAD_AFTER_SECONDS, Directory
from kingcuppond.membership.messages import Member, ServerState, Suspicion
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.routing.call import Answer, Body, Call
from kingcuppond.routing.choice import Candidate
from kingcuppond.routing.router import MAX_SERVERS_PER_ROUND, Router
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


TYPICAL_SECONDS = 0.1
SHED = NotRun(Reason.SHED_BY_SERVER, "the server's queue is full")
FULL = NotRun(Reason.FULL, "all slots are in use")

Respond = Callable[[Call, int], Failure | None]
"""Returns how the n-th attempt of a call ends, ``None`` if it is answered."""


@attrs.define
class FakeSender:
    """Takes the place of the gates and servers.

    :param sent: VM and attempt, in order
    """

    respond: Respond
    sent: list[tuple[str, Call]] = attrs.field(factory=list)
    typical_latencies: TypicalLatencies = attrs.field(factory=TypicalLatencies)

    def typical_seconds(self, _class_name: str) -> float:
        return TYPICAL_SECONDS

    async def attempt(self, call: Call, candidate: Candidate) -> Result[Answer, Failure]:
        self.sent.append((candidate.vm, call))
        failure = self.respond(call, len(self.sent))
        return Ok(Answer(200, ())) if failure is None else Error(failure)


@attrs.define
class Setting:
    """A router of a service with nine servers, and a call."""

    router: Router
    sender: FakeSender
    call: Call

    async def run(self) -> Result[Answer, Failure]:
        return await self.router.run(self.call)

    def spent(self) -> int:
        """Return the repeats taken from the budget; one call refills less than one."""
        tokens = self.router.repeat_budgets_by_service["shop"].repeats.tokens
        return round(self.router.repeat_allowance() - tokens)


@pytest.fixture
def make_setting(
    clock: Clock, journal: Journal, fake_time: FakeTime
) -> Callable[[Respond], Setting]:
    def make(respond: Respond) -> Setting:
        directory = Directory(make_member("me"), clock, journal)
        for i in range(9):
            member = attrs.evolve(make_member(f"vm-{i}"), state=ServerState.WARM)
            directory.merge(member)
        sender = FakeSender(respond)
        router = Router(
            directory,
            Configuration(journal),
            cast(Any, sender),
            clock,
            journal,
            Random(1),
            lambda: "id",
            detour_seconds=0.0,
            fleet_retries=2000.0,
            is_hedging=False,
        )
        now = fake_time.read()
        call = Call("c", "read", "shop", "POST", "/", (), Body(), now + 4.0, 1, 3, True, "f")
        return Setting(router, sender, attrs.evolve(call, target_at=now + 0.5))

    return make


async def test_a_call_shed_as_a_last_resort_goes_to_another_server(
    make_setting: Callable[[Respond], Setting],
) -> None:
    """Guards against a retry that is paid for and not made, as the round of gates is over."""

    def respond(call: Call, attempt: int) -> Failure | None:
        if attempt <= MAX_SERVERS_PER_ROUND:
            return FULL
        return SHED if call.is_last_resort else None

    setting = make_setting(respond)
    assert (await setting.run()).is_ok()
    assert len(setting.sender.sent) == MAX_SERVERS_PER_ROUND + 2
    (shed_vm, _), (served_vm, served) = setting.sender.sent[-2:]
    assert served_vm != shed_vm
    assert not served.is_last_resort, "the gate of another server refuses if it has no room"
    assert setting.spent() == 1


async def test_servers_that_shed_are_not_asked_again_in_the_round(
    make_setting: Callable[[Respond], Setting],
) -> None:
    setting = make_setting(lambda call, attempt: SHED)
    assert (await setting.run()).error.reason is Reason.SHED_BY_SERVER
    vms = [vm for vm, _ in setting.sender.sent]
    assert len(vms) == len(set(vms)) == 1 + setting.call.retry_budget
    assert setting.spent() == 3


async def test_a_retry_that_reaches_no_server_costs_nothing(
    make_setting: Callable[[Respond], Setting], fake_time: FakeTime
) -> None:
    """Guards against budgets that full gates use up, so that calls shed later are not retried."""

    def respond(_call: Call, attempt: int) -> Failure | None:
        fake_time.advance(0.005)
        return SHED if attempt == 1 else FULL

    setting = make_setting(respond)
    assert (await setting.run()).error.reason is Reason.FULL
    assert setting.spent() == 0


async def test_a_refusal_after_an_attempt_that_may_have_run_is_no_promise(
    make_setting: Callable[[Respond], Setting],
) -> None:
    """Guards against "not run" for a call that a server ran before it was lost."""

    def respond(call: Call, attempt: int) -> Failure | None:
        if attempt > 1:
            return FULL
        call.delivery.attempts.add(call.id)
        return Unknown(Reason.CONNECTION_LOST, "lost")

    setting = make_setting(respond)
    assert isinstance((await setting.run()).error, Unknown)


async def test_a_paid_retry_waits_in_the_backlog_for_room(
    make_setting: Callable[[Respond], Setting],
) -> None:
    def respond(_call: Call, attempt: int) -> Failure | None:
        if attempt == 1:
            return SHED
        return NotRun(Reason.LEAVING, "leaving") if attempt <= 10 else None

    setting = make_setting(respond)
    assert (await setting.run()).is_ok()
    assert setting.spent() == 1


async def test_a_call_without_time_for_an_answer_is_not_retried(
    make_setting: Callable[[Respond], Setting], fake_time: FakeTime
) -> None:
    def respond(_call: Call, _attempt: int) -> Failure | None:
        fake_time.advance(4.0 - TYPICAL_SECONDS / 2)
        return SHED

    setting = make_setting(respond)
    assert (await setting.run()).error.reason is Reason.SHED_BY_SERVER
    assert len(setting.sender.sent) == 1
    assert setting.spent() == 0


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
    assert [it.vm for it in router._draw("shop", set(), 0.0, None)] == ["new"]
    assert [it.vm for it in router._draw("shop", {"new"}, 0.0, None)] == ["old"]
    router.filters = lambda service, rng: (is_new,)
    assert router._draw("shop", {"new"}, 0.0, None) == []


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
