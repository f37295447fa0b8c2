"""What one daemon admits, counts and reports."""

from random import Random
from typing import Any

import attrs
import msgspec
import pytest
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.dialect import NATIVE_DIALECT
from kingcuppond.events.journal import Journal
from kingcuppond.organisations.organisation import Organisation, OrganisationTable
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.platform.calls import PLATFORM_DIALECT
from kingcuppond.quotas.bucket import QuotaBound
from kingcuppond.quotas.guard import QuotaGuard
from kingcuppond.quotas.ledger import SILENT_SECONDS
from kingcuppond.quotas.members import SHARD_COUNT, Roles, organisation_id, shard_of
from kingcuppond.quotas.messages import QuotaAck, QuotaReport, QuotaShares
from kingcuppond.quotas.peers import QuotaPeers
from kingcuppond.routing.call import Answer, Call
from tests.conftest import FakeTime
from tests.quotas.fleet import FakeMembers

ALL = Organisation("a", (), None, 50.0, 10.0)
ID = organisation_id("a")


@attrs.define
class Setup:
    guard: QuotaGuard
    sent: list[tuple[str, Any]]
    members: FakeMembers
    time: FakeTime
    active: list[bool]

    def tick(self, seconds: float = 0.1) -> None:
        self.time.advance(seconds)
        self.guard.peers.tick(self.time.read())

    def admit(self) -> Result[Any, NotRun]:
        return self.guard.admit(ALL, self.time.read())

    def reports(self) -> list[QuotaReport]:
        return [message for _, message in self.sent if isinstance(message, QuotaReport)]

    def receive(self, sender: str, message: Any) -> None:
        self.guard.peers.on_message(sender, message, self.time.read())


@pytest.fixture
def setup(journal: Journal, fake_time: FakeTime) -> Setup:
    """Return the daemon of ``vm-0``, which does not coordinate the organisation."""
    names = [f"vm-{index}" for index in range(20)]
    members = FakeMembers(dict.fromkeys(names, "dc-1"))
    sent: list[tuple[str, Any]] = []
    active: list[bool] = []
    roles = Roles("vm-0", members)
    roles.refresh()
    me = next(vm for vm in names if vm != roles.coordinator(shard_of(ID)))
    peers = QuotaPeers(
        me,
        members,
        QuotaBound(),
        lambda vm, message: sent.append((vm, message)),
        lambda: int(fake_time.read() * 1000),
        lambda _name, _share: None,
    )
    guard = QuotaGuard(
        Configuration(journal),
        peers,
        fake_time.read,
        Random(1),
        lambda _name: None,
        lambda: active.append(True),
    )
    guard.configuration.organisations = OrganisationTable((ALL, Organisation("free")))
    guard.on_configuration_change()
    return Setup(guard, sent, members, fake_time, active)


def coordinator_of(setup: Setup) -> str:
    return setup.guard.peers.links[shard_of(ID)].coordinator


def ack(report: QuotaReport, **changes: Any) -> QuotaAck:
    values = {"shard": report.shard, "epoch": report.epoch, "seqs": (report.seq,), "version": 0}
    return QuotaAck(**(values | changes))


def test_only_organisations_with_a_rate_are_counted(setup: Setup) -> None:
    """Guards against a cost for requests that are not limited."""
    assert setup.guard.admit(None, 1.0).is_ok()
    assert setup.guard.admit(Organisation("free"), 1.0).is_ok()
    setup.tick()
    assert setup.sent == []


def test_counts_go_on_where_a_rate_is_removed_and_set_again(setup: Setup) -> None:
    """Guards against a quota that a coordinator doesn't enforce, as it takes counts for known."""
    guard = setup.guard
    for _ in range(5):
        assert guard.admit(ALL, 1.0).is_ok()
    table = guard.configuration.organisations
    for organisations in (OrganisationTable((Organisation("free"),)), table):
        guard.configuration.organisations = organisations
        guard.on_configuration_change()
    assert guard.admit(ALL, 1.0).is_ok()
    assert guard.peers.links[shard_of(ID)].counts_by_id[ID].admitted == 6


def test_a_configuration_without_rates_starts_nothing(setup: Setup) -> None:
    assert setup.active == [True]
    setup.guard.configuration.organisations = OrganisationTable((Organisation("free"),))
    setup.guard.on_configuration_change()
    setup.guard.on_configuration_change()
    assert setup.active == [True]
    assert not setup.guard.is_active


def test_admitted_requests_are_reported_together_to_the_coordinator(setup: Setup) -> None:
    for _ in range(3):
        assert setup.admit().is_ok()
    setup.tick()
    setup.tick()
    ((vm, report),) = setup.sent
    assert vm == coordinator_of(setup)
    assert report.counts_by_id == {ID: 3}
    assert report.is_first


def test_a_credit_is_reported(setup: Setup) -> None:
    """Guards against a quota that is used up by requests that never ran."""
    admitted = setup.admit().ok
    setup.guard.credit(admitted)
    setup.tick()
    assert setup.reports()[0].counts_by_id == {ID: (1, 1, 0)}


def test_a_report_that_is_not_acknowledged_is_sent_again(setup: Setup) -> None:
    """Guards against counts that are lost with a message."""
    setup.admit()
    setup.tick()
    setup.tick(SILENT_SECONDS)
    assert [report.seq for report in setup.reports()] == [1, 2]
    assert setup.reports()[1].counts_by_id == {ID: 1}
    setup.receive(coordinator_of(setup), ack(setup.reports()[1]))
    setup.tick(SILENT_SECONDS)
    assert len(setup.reports()) == 2


def test_without_a_coordinator_the_local_part_applies(setup: Setup) -> None:
    """Guards against a daemon that admits without a limit while nobody counts."""
    setup.admit()
    setup.tick()
    setup.time.advance(SILENT_SECONDS + 0.1)
    refused = setup.admit().error
    assert (refused.reason, refused.status) == (Reason.QUOTA, 429)
    setup.time.advance(10.0)
    admitted = sum(setup.admit().is_ok() for _ in range(50))
    # A twentieth of the burst and of its part of the tolerance, and one fraction that may win.
    assert admitted <= (10 + 0.25 * 46) / 20 + 1
    setup.receive(coordinator_of(setup), ack(setup.reports()[0]))
    assert setup.admit().is_ok(), "the coordinator answers again"


def test_a_share_applies_to_all_requests(setup: Setup) -> None:
    setup.admit()
    shares = QuotaShares(shard_of(ID), coordinator_of(setup), 7, {ID: 250})
    setup.receive("vm-9", shares)
    results = []
    for _ in range(100):
        setup.time.advance(0.01)
        results.append(setup.admit())
    assert sum(result.is_ok() for result in results) == pytest.approx(25, abs=1)
    waits = [it.error.room_after_seconds or 0.0 for it in results if it.is_error()]
    assert all(0 < wait <= 5 for wait in waits)
    assert waits[-1] > waits[0], "refused requests return one after the other"


def test_a_share_of_another_coordinator_or_an_older_one_is_ignored(setup: Setup) -> None:
    """Guards against shares that arrive late or from a coordinator that was replaced."""
    setup.admit()
    shard = shard_of(ID)
    setup.receive("vm-9", QuotaShares(shard, coordinator_of(setup), 7, {}))
    setup.receive("vm-9", QuotaShares(shard, coordinator_of(setup), 6, {ID: 0}))
    setup.receive("vm-9", QuotaShares(shard, "vm-other", 8, {ID: 0}))
    assert setup.admit().is_ok()


def test_shares_are_passed_on_once(setup: Setup) -> None:
    """Guards against messages that circle, and against one daemon that informs all."""
    setup.admit()
    shares = QuotaShares(shard_of(ID), coordinator_of(setup), 7, {ID: 250})
    for _ in range(2):
        setup.receive("vm-9", shares)
    assert len([it for _, it in setup.sent if isinstance(it, QuotaShares)]) <= 4


@pytest.mark.parametrize("count", [1, 2, 7, 86])
def test_the_tree_reaches_every_member_once(count: int) -> None:
    """Guards against daemons that never learn of a limit."""
    places = {f"vm-{index}": f"dc-{index % 3}" for index in range(count)}
    members = FakeMembers(places)
    roles = {vm: Roles(vm, members) for vm in places}
    for role in roles.values():
        role.refresh()
    reached: list[str] = []
    waiting = ["vm-0"]
    while waiting:
        vm = waiting.pop()
        receivers = roles[vm].receivers("vm-0")
        assert len(receivers) <= 6
        reached += receivers
        waiting += receivers
    assert sorted(reached) == sorted(places.keys() - {"vm-0"})


def test_a_coordinator_that_has_lost_its_counts_asks_for_a_new_epoch(setup: Setup) -> None:
    """Guards against all requests since a daemon's start being taken for new ones."""
    for _ in range(1000):
        setup.admit()
    setup.tick()
    first = setup.reports()[0]
    setup.receive(coordinator_of(setup), ack(first))
    setup.admit()
    setup.tick()
    assert not setup.reports()[1].is_first
    setup.receive(coordinator_of(setup), ack(setup.reports()[1], seqs=()))
    setup.tick()
    third = setup.reports()[2]
    assert third.is_first
    assert third.epoch > first.epoch
    assert third.counts_by_id == {ID: 1}


def test_a_new_coordinator_is_told_what_the_earlier_one_has_not_confirmed(setup: Setup) -> None:
    setup.admit()
    setup.tick()
    setup.receive(coordinator_of(setup), ack(setup.reports()[0]))
    setup.admit()
    setup.tick()
    setup.members.suspected.add(coordinator_of(setup))
    setup.members.generation += 1
    setup.tick()
    vm, report = setup.sent[-1]
    assert vm == coordinator_of(setup)
    assert report.counts_by_id == {ID: 1}
    assert report.is_first


def test_a_new_coordinator_is_told_that_earlier_shares_still_apply(setup: Setup) -> None:
    """Guards against shares of a dead coordinator that nobody lifts before they expire."""
    setup.admit()
    first = coordinator_of(setup)
    setup.receive(first, QuotaShares(shard_of(ID), first, 7, {ID: 0}))
    setup.members.suspected.add(first)
    setup.members.generation += 1
    setup.tick()
    assert setup.admit().is_error(), "until the new one knows better"
    setup.tick()
    assert [report.version for report in setup.reports()] == [1, 1]
    lifted = ack(setup.reports()[-1], version=9, permille_by_id={})
    setup.receive(coordinator_of(setup), lifted)
    assert setup.admit().is_ok()


def test_shards_have_different_coordinators(setup: Setup) -> None:
    setup.admit()
    assert len({link.coordinator for link in setup.guard.peers.links}) > SHARD_COUNT // 2


def test_a_message_for_no_shard_is_ignored(setup: Setup) -> None:
    setup.receive("vm-9", QuotaReport(SHARD_COUNT, 1, 1, True, 0, {}))
    assert setup.guard.peers.coordinators_by_shard == {}


def test_messages_are_terse() -> None:
    """Reports cross data centres, which is paid by the byte."""
    report = QuotaReport(3, 1_800_000_000_000, 500, False, 0, {ID: (70_000, 10, 20)})
    assert len(msgspec.msgpack.encode(report)) <= 36
    assert len(msgspec.msgpack.encode(QuotaAck(3, 1_800_000_000_000, (500,), 0))) <= 20


@pytest.mark.parametrize(
    ("failure", "credited"),
    [(NotRun(Reason.FULL, ""), 1), (Unknown(Reason.DEADLINE, ""), 0), (None, 0)],
)
async def test_what_did_not_run_is_credited(
    setup: Setup, failure: Failure | None, credited: int
) -> None:
    async def run(_call: Call) -> Result[Answer, Failure]:
        return Ok(Answer(200, (), b"")) if failure is None else Error(failure)

    call: Any = None
    await setup.guard.run(ALL, call, run)
    setup.tick()
    assert setup.reports()[0].counts_by_id == {ID: (1, 1, 0) if credited else 1}


@pytest.mark.parametrize("dialect", [NATIVE_DIALECT, PLATFORM_DIALECT])
def test_the_caller_is_told_when_there_is_room(dialect: Any, clock: Clock) -> None:
    """Guards against a status that does not say that the request has not run."""
    failure = NotRun(Reason.QUOTA, "over", 0.25)
    assert dialect.failure_status(failure) == 429
    headers = dialect.failure_headers(failure, 3.0)
    assert headers["Retry-After"] == "0.250"
    assert headers["Kingcuppond-Outcome"] == "not-run"
