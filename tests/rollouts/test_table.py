"""What the orders and states of the configuration mean for the choice of a server."""

from random import Random

import attrs
import pytest

from kingcuppond.clock import Clock
from kingcuppond.membership.messages import Member, ServerState, Suspicion
from kingcuppond.rollouts.order import Phase, RolloutState, encode_state
from kingcuppond.rollouts.table import RolloutTable
from tests.conftest import FakeTime
from tests.rollouts.test_gate_share import make_member, make_share, order_object

ORDER = "1/12/v2"


@pytest.fixture
def table(clock: Clock) -> RolloutTable:
    return make_share(clock, "v1").table


def phase_of(table: RolloutTable) -> Phase:
    return table.rollouts_by_service["shop"].phase


def allowed(table: RolloutTable, count: int = 2000) -> dict[str, float]:
    """Return the share of choices for which each VM is among the first candidates."""
    rng = Random(1)
    chosen = {"me": 0, "old": 0, "new": 0}
    for _ in range(count):
        allows = table.filters("shop", rng)[0]
        for vm, member in table.directory.members_by_vm.items():
            chosen[vm] += allows is None or allows(member)
    return {vm: times / count for vm, times in chosen.items()}


def test_without_an_order_all_servers_are_candidates(table: RolloutTable) -> None:
    assert table.filters("shop", Random(1)) == (None,)


@pytest.mark.parametrize(
    ("phase", "share", "new", "old"),
    [
        (Phase.CANARY, 0.05, 0.05, 0.95),
        (Phase.RAMP, 0.5, 0.5, 0.5),
        (Phase.FINISHING, 1.0, 1.0, 0.0),
        (Phase.ROLLED_BACK, 0.0, 0.0, 1.0),
    ],
)
def test_calls_are_drawn_by_the_share(
    table: RolloutTable, phase: Phase, share: float, new: float, old: float
) -> None:
    table.configuration.merge([order_object(10, "running")])
    table.advance("shop", phase, share)
    found = allowed(table)
    assert found["new"] == pytest.approx(new, abs=0.03)
    assert found["old"] == pytest.approx(old, abs=0.03)


def test_before_running_is_in_the_store_the_new_version_gets_nothing(table: RolloutTable) -> None:
    table.configuration.merge([order_object(10)])
    assert allowed(table, 10)["new"] == 0.0


def test_old_servers_that_state_no_version_count_as_old(table: RolloutTable) -> None:
    """Guards against a canary without a bound beside servers of an earlier release."""
    table.directory.publish_own_change(server_version="")
    table.directory.merge(attrs.evolve(make_member("old", ""), seq=9))
    table.configuration.merge([order_object(10)])
    assert allowed(table)["new"] == 0


def test_a_call_may_go_to_the_old_version_if_no_new_server_is_left(table: RolloutTable) -> None:
    table.configuration.merge([order_object(10, "running")])
    table.advance("shop", Phase.FINISHING, 1.0)
    table.directory.merge(
        Member("new", "a", "shop", "1:1", "1:2", "1:3", 1, 1, ServerState.DRAINING)
    )
    assert allowed(table, 10)["old"] == 1.0


def test_a_state_never_goes_back(table: RolloutTable) -> None:
    """Guards against a late message that gives a bad version its share again."""
    table.configuration.merge([order_object(10, "running")])
    table.advance("shop", Phase.CANARY, 0.05)
    began_ms = table.rollouts_by_service["shop"].state.began_ms  # type: ignore[union-attr]
    table.advance("shop", Phase.ROLLED_BACK, 0.0)
    table.adopt("shop", RolloutState(ORDER, began_ms, Phase.RAMP, 0.5))
    table.configuration.merge(
        [encode_state("shop", RolloutState(ORDER, began_ms, Phase.RAMP, 0.5), 10)]
    )
    assert phase_of(table) is Phase.ROLLED_BACK


def test_a_roll_back_outranks_the_later_state_of_a_second_deciding_daemon(
    table: RolloutTable,
) -> None:
    """The later state replaces the roll-back in the configuration, so it is published again."""
    table.configuration.merge([order_object(10, "running")])
    table.adopt("shop", RolloutState(ORDER, 1000, Phase.ROLLED_BACK, 0.0))
    later = encode_state("shop", RolloutState(ORDER, 2000, Phase.RAMP, 0.5), 10)
    table.configuration.merge([later])
    assert phase_of(table) is Phase.ROLLED_BACK
    kept = table.configuration.objects_by_key[later.key]
    assert kept.release > later.release
    assert b'"phase":5' in (kept.body or b"")


@pytest.mark.parametrize(
    ("state", "phase"), [("completed", Phase.COMPLETED), ("rolled_back", Phase.ROLLED_BACK)]
)
def test_the_end_in_the_store_goes_before_the_state(
    table: RolloutTable, state: str, phase: Phase
) -> None:
    table.configuration.merge([order_object(10, "running")])
    table.advance("shop", Phase.FINISHING, 1.0)
    table.configuration.merge([order_object(11, state)])
    assert phase_of(table) is phase


def test_a_deleted_order_leaves_no_limits(table: RolloutTable) -> None:
    item = order_object(10, "rolled_back")
    table.configuration.merge([item])
    removed = type(item)("shop", 20, None, item.kind)
    table.configuration.merge([removed])
    assert table.filters("shop", Random(1)) == (None,)


def test_an_order_of_the_next_version_begins_anew(table: RolloutTable) -> None:
    table.configuration.merge([order_object(10, "completed")])
    item = order_object(11, target="v3")
    table.configuration.merge([item])
    assert phase_of(table) is Phase.WAITING


def test_the_age_of_an_order_is_that_of_the_daemon_that_knows_it_longest(
    table: RolloutTable, fake_time: FakeTime
) -> None:
    """A daemon that starts during a roll-out must not begin its time anew."""
    table.configuration.merge([order_object(10, "running")])
    fake_time.advance(2.0)
    table.learn_age("shop", ORDER, 9.0)
    table.learn_age("shop", ORDER, 1.0)
    assert table.age("shop") == 9.0


def test_the_servers_of_the_canary_take_turns(table: RolloutTable, fake_time: FakeTime) -> None:
    """One unusual machine must not decide for the version."""
    for i in range(40):
        table.directory.merge(make_member(f"new-{i}", "v2"))
    table.configuration.merge([order_object(10, "running")])
    table.advance("shop", Phase.CANARY, 0.05)
    chosen = []
    for _ in range(4):
        chosen.append(table.canary_vms("shop"))
        fake_time.advance(3.0)
    assert [len(vms) for vms in chosen] == [2] * 4
    assert len(frozenset().union(*chosen)) >= 6


def test_a_suspected_server_does_not_carry_the_canary(table: RolloutTable) -> None:
    table.directory.merge(make_member("new-2", "v2"))
    table.configuration.merge([order_object(10, "running")])
    table.advance("shop", Phase.CANARY, 0.05)
    (vm,) = table.canary_vms("shop")
    member = table.directory.members_by_vm[vm]
    table.directory.suspect(Suspicion(vm, member.incarnation, member.seq))
    assert table.canary_vms("shop") == {"new", "new-2"} - {vm}
