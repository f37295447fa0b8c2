"""What the coordinator of a shard counts, sets and answers."""

import pytest

from kingcuppond.organisations.organisation import Organisation
from kingcuppond.quotas.bucket import QuotaBound
from kingcuppond.quotas.coordinator import RENEWAL_SECONDS, ShardCoordinator
from kingcuppond.quotas.messages import PackedCounts, QuotaReport

ID = b"abcde"
LIMITED = Organisation("a", (), None, 10.0, 0.0)


@pytest.fixture
def limited() -> list[tuple[str, float]]:
    return []


@pytest.fixture
def coordinator(limited: list[tuple[str, float]]) -> ShardCoordinator:
    return ShardCoordinator(
        3,
        QuotaBound(),
        lambda id_: LIMITED if id_ == ID else None,
        lambda: (20, 20),
        lambda name, share: limited.append((name, share)),
        0.1,
        since=0.0,
        version=100,
    )


def report(seq: int, counts: PackedCounts, is_first: bool = True, version: int = 0) -> QuotaReport:
    return QuotaReport(3, 1, seq, is_first, version, {ID: counts})


def level(coordinator: ShardCoordinator) -> float:
    return coordinator._quotas_by_id[ID].bucket.level


def test_reports_count_once_in_any_order(coordinator: ShardCoordinator) -> None:
    """Guards against a report that counts twice, or takes back a later one."""
    for counts in ((5, 0, 0), (9, 2, 0), (9, 2, 0), (5, 0, 0)):
        coordinator.on_report("vm-1", report(1, counts), 0.0)
    assert level(coordinator) == -7


def test_an_older_epoch_is_ignored(coordinator: ShardCoordinator) -> None:
    coordinator.on_report("vm-1", QuotaReport(3, 2, 1, True, 0, {ID: 4}), 0.0)
    coordinator.on_report("vm-1", QuotaReport(3, 1, 9, True, 0, {ID: 90}), 0.0)
    assert level(coordinator) == -4


def test_unknown_earlier_counts_are_not_taken_for_new(coordinator: ShardCoordinator) -> None:
    """Guards against a debt of all that a daemon has counted before the coordinator began."""
    coordinator.on_report("vm-1", report(7, 5000, is_first=False), 0.0)
    ((vm, ack),) = coordinator.take_acks(0.0)
    assert (vm, ack.seqs) == ("vm-1", ())
    coordinator.on_report("vm-1", QuotaReport(3, 2, 1, True, 0, {ID: 1}), 0.0)
    assert level(coordinator) == -1


def test_all_reports_of_a_daemon_are_acknowledged_together(coordinator: ShardCoordinator) -> None:
    for seq in (1, 2):
        coordinator.on_report("vm-1", report(seq, seq), 0.0)
    ((_, ack),) = coordinator.take_acks(0.0)
    assert (ack.seqs, ack.permille_by_id) == ((1, 2), None)
    assert coordinator.take_acks(0.0) == []


def test_a_daemon_that_missed_the_shares_gets_them_with_its_acknowledgement(
    coordinator: ShardCoordinator, limited: list[tuple[str, float]]
) -> None:
    """Guards against a daemon that admits without a limit because one message was lost."""
    coordinator.on_report("vm-1", report(1, 50), 0.0)
    coordinator.update(0.1)
    shares = coordinator.take_shares(0.1, RENEWAL_SECONDS)
    assert shares is not None
    assert shares[ID] < 500
    assert [name for name, _ in limited] == ["a"]
    assert coordinator.take_acks(0.0)[0][1].permille_by_id == shares
    coordinator.on_report("vm-1", report(2, 51, version=coordinator.version), 0.1)
    assert coordinator.take_acks(0.0)[0][1].permille_by_id is None, "it has them"


def test_shares_are_sent_again_while_there_are_any(coordinator: ShardCoordinator) -> None:
    """Guards against limits that expire at daemons which report nothing."""
    coordinator.on_report("vm-1", report(1, 500), 0.0)
    coordinator.update(0.1)
    assert coordinator.take_shares(0.1, RENEWAL_SECONDS) is not None
    assert coordinator.take_shares(0.2, RENEWAL_SECONDS) is None
    assert coordinator.take_shares(0.2 + RENEWAL_SECONDS, RENEWAL_SECONDS) is not None


def test_forgets_what_is_over(coordinator: ShardCoordinator) -> None:
    """Guards against state of organisations and daemons that send nothing any more."""
    coordinator.on_report("vm-1", report(1, 5), 0.0)
    coordinator.take_acks(0.0)
    coordinator.update(100.0)
    assert coordinator._quotas_by_id == {}
    assert not coordinator.has_reporters


def test_shares_of_an_earlier_coordinator_are_replaced_once_the_demand_is_known(
    coordinator: ShardCoordinator,
) -> None:
    """Guards against a limit that outlasts the coordinator, and against one lifted by ignorance."""
    coordinator.on_report("vm-1", report(1, 1, version=1), 0.5)
    assert coordinator.take_acks(0.5)[0][1].permille_by_id is None
    coordinator.on_report("vm-1", report(2, 2, version=1), 1.5)
    assert coordinator.take_acks(1.5)[0][1].permille_by_id == {}
