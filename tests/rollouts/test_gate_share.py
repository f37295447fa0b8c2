"""A gate bounds its part of the share, and counts for the judgement."""

from typing import Any

import msgspec
import pytest

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member, ServerState
from kingcuppond.outcomes import NotRun, Reason, Unknown
from kingcuppond.platform.configuration import PLATFORM_FORMAT
from kingcuppond.platform.rollouts import decode_order, with_rollouts
from kingcuppond.rollouts.gate_share import GateShare
from kingcuppond.rollouts.messages import RolloutReply
from kingcuppond.rollouts.order import ROLLOUTS_KIND, Phase
from kingcuppond.rollouts.table import RolloutTable
from tests.conftest import FakeTime

CALL_LOST = Unknown(Reason.CONNECTION_LOST, "")


def make_member(vm: str, version: str) -> Member:
    return Member(
        vm, "a", "shop", "1:1", "1:2", "1:3", 1, 0, ServerState.WARM, server_version=version
    )


def order_object(version: int, state: str = "", target: str = "v2", created: int = 1) -> Any:
    status = {"State": state, "TargetVersion": target} if state else None
    spec = {"Service": "shop", "TargetVersion": target, "Duration": "12s"}
    body = msgspec.json.encode({"Created": created, "Spec": spec, "Status": status})
    return VersionedObject("shop", version, body, ROLLOUTS_KIND)


def make_share(clock: Clock, own_version: str) -> GateShare:
    journal = Journal("me", clock)
    configuration = Configuration(journal, with_rollouts(PLATFORM_FORMAT))
    directory = Directory(make_member("me", own_version), clock, journal)
    directory.merge(make_member("old", "v1"))
    directory.merge(make_member("new", "v2"))

    def publish(objects: list[VersionedObject]) -> None:
        configuration.merge(objects)

    table = RolloutTable(configuration, directory, decode_order, publish, clock)
    return GateShare(table, directory, clock)


def start(share: GateShare, phase: Phase = Phase.CANARY, fraction: float = 0.05) -> None:
    share.table.configuration.merge([order_object(10, "running")])
    share.table.advance("shop", phase, fraction)


def grant(share: GateShare, calls: int) -> None:
    report = share.make_report()
    assert report is not None
    share.apply_reply(report, RolloutReply(calls, 0))


def test_without_an_order_a_gate_admits_everything_and_counts_nothing(clock: Clock) -> None:
    share = make_share(clock, "v2")
    share.record_answer("read", 0.1, is_failure=False)
    assert share.take() is None
    assert share.make_report() is None
    assert share.tallies == {}


def test_a_gate_of_the_new_version_admits_what_it_was_granted(clock: Clock) -> None:
    share = make_share(clock, "v2")
    start(share)
    assert share.take() is not None
    grant(share, 3)
    assert [share.take() is None for _ in range(5)] == [True] * 3 + [False] * 2
    share.give_back()
    assert share.take() is None
    assert share.refused == 3


def test_a_refusal_is_one_that_no_server_has_run(clock: Clock) -> None:
    share = make_share(clock, "v2")
    start(share)
    refusal = share.take()
    assert isinstance(refusal, NotRun)
    assert refusal.reason is Reason.VERSION_SHARE


def test_an_order_that_has_not_begun_gives_the_new_version_nothing(clock: Clock) -> None:
    share = make_share(clock, "v2")
    share.table.configuration.merge([order_object(10)])
    assert share.take() is not None


@pytest.mark.parametrize("is_in_store", [False, True])
def test_a_version_that_was_rolled_back_gets_nothing(clock: Clock, is_in_store: bool) -> None:
    share = make_share(clock, "v2")
    start(share)
    grant(share, 100)
    if is_in_store:
        share.table.configuration.merge([order_object(11, "rolled_back")])
    else:
        share.table.advance("shop", Phase.ROLLED_BACK, 0.0)
    assert share.take() is not None


def test_during_the_ramp_a_gate_has_no_bound_of_its_own(clock: Clock) -> None:
    share = make_share(clock, "v2")
    start(share, Phase.RAMP, 0.5)
    assert share.take() is None


def test_a_gate_of_the_old_version_admits_nothing_once_it_is_replaced(clock: Clock) -> None:
    """The old servers stop without notice when ``completed`` is in the store."""
    share = make_share(clock, "v1")
    start(share)
    assert share.take() is None
    share.table.advance("shop", Phase.FINISHING, 1.0)
    assert share.take() is not None
    share.directory.merge(Member("new", "a", "shop", "1:1", "1:2", "1:3", 1, 1, ServerState.ABSENT))
    assert share.take() is None, "no server of the new version is left"


def test_a_service_that_has_only_the_new_version_is_served(clock: Clock) -> None:
    share = make_share(clock, "v2")
    share.directory.members_by_service["shop"].pop("old")
    share.table.configuration.merge([order_object(10)])
    assert share.take() is None


def test_counts_begin_anew_with_each_order(clock: Clock) -> None:
    share = make_share(clock, "v2")
    start(share)
    grant(share, 3)
    share.take()
    share.record_answer("read", 0.1, is_failure=False)
    share.table.configuration.merge([order_object(20, created=20)])
    report = share.make_report()
    assert report is not None
    assert (report.granted, report.used, report.tallies) == (0, 0, {})


def test_a_reply_to_a_report_of_an_earlier_order_grants_nothing(clock: Clock) -> None:
    share = make_share(clock, "v2")
    start(share)
    report = share.make_report()
    share.table.configuration.merge([order_object(20, created=20)])
    share.take()
    assert report is not None
    share.apply_reply(report, RolloutReply(50, 0))
    assert share.granted == 0


def test_the_loss_of_a_server_is_one_failure(clock: Clock, fake_time: FakeTime) -> None:
    """A version is not bad because its VM was lost with many calls in progress."""
    share = make_share(clock, "v2")
    start(share)
    for _ in range(8):
        share.record_failure("read", 0.1, CALL_LOST)
    assert share.tallies["read"].failures == 1
    fake_time.advance(1.0)
    share.record_failure("read", 0.1, CALL_LOST)
    assert share.tallies["read"].failures == 2


def test_a_call_past_its_deadline_counts_by_its_time(clock: Clock) -> None:
    share = make_share(clock, "v2")
    start(share)
    share.record_failure("read", 2.0, Unknown(Reason.DEADLINE, ""))
    tally = share.tallies["read"]
    assert (tally.count, tally.failures) == (1, 0)


def test_a_refused_call_is_no_answer(clock: Clock) -> None:
    share = make_share(clock, "v2")
    start(share)
    share.record_failure("read", 0.1, NotRun(Reason.SHED_BY_SERVER, ""))
    assert share.tallies == {}


def test_calls_in_progress_are_reported_until_they_end(clock: Clock, fake_time: FakeTime) -> None:
    share = make_share(clock, "v2")
    start(share)
    share.record_start("1", "read", 1.0)
    fake_time.advance(2.0)
    report = share.make_report()
    assert report is not None
    assert report.running["read"].count == 1
    share.record_end("1")
    report = share.make_report()
    assert report is not None
    assert report.running == {}
