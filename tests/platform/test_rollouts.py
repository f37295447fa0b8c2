"""Orders of roll-outs are decoded from the store's objects, and their status is encoded."""

from typing import Any

import msgspec
import pytest

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.events.journal import Journal
from kingcuppond.platform.configuration import PLATFORM_FORMAT
from kingcuppond.platform.rollouts import decode_order, encode_status, with_rollouts
from kingcuppond.protocol import PROTOCOLS_BY_NAME, format_of
from kingcuppond.rollouts.order import ROLLOUTS_KIND, OrderStatus

SPEC: dict[str, Any] = {"Service": "shop", "TargetVersion": "v2", "Duration": "12s"}


def item(spec: Any = SPEC, status: Any = None, created: int = 5) -> VersionedObject:
    body = msgspec.json.encode({"Created": created, "Spec": spec, "Status": status})
    return VersionedObject("shop", 9, body, ROLLOUTS_KIND)


def test_decodes_an_order() -> None:
    order = decode_order(item()).ok
    assert (order.service, order.target_version, order.duration_seconds) == ("shop", "v2", 12.0)
    assert (order.status, order.version) == (OrderStatus.NONE, 9)


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        ({"State": "running", "TargetVersion": "v2"}, OrderStatus.RUNNING),
        ({"State": "completed", "TargetVersion": "v2"}, OrderStatus.COMPLETED),
        ({"State": "rolled_back", "TargetVersion": "v2"}, OrderStatus.ROLLED_BACK),
        ({"State": "completed", "TargetVersion": "v1"}, OrderStatus.NONE),
        ({"State": "unheard of", "TargetVersion": "v2"}, OrderStatus.NONE),
        ({}, OrderStatus.NONE),
    ],
)
def test_a_status_counts_for_its_own_version_only(status: Any, expected: OrderStatus) -> None:
    """Guards against an order that counts as done since the one before it was."""
    assert decode_order(item(status=status)).ok.status is expected


@pytest.mark.parametrize(
    "changes",
    [{"Duration": "soon"}, {"Duration": "0s"}, {"Duration": None}, {"TargetVersion": ""}],
)
def test_an_unusable_order_is_refused(changes: dict[str, Any]) -> None:
    assert decode_order(item({**SPEC, **changes})).is_error()
    assert decode_order(VersionedObject("shop", 9, b"null", ROLLOUTS_KIND)).is_error()


def test_the_status_names_state_and_version() -> None:
    encoded = encode_status(decode_order(item()).ok, OrderStatus.ROLLED_BACK)
    assert msgspec.json.decode(encoded) == {"State": "rolled_back", "TargetVersion": "v2"}


def test_the_identity_of_an_order_does_not_depend_on_its_status() -> None:
    order = decode_order(item()).ok
    running = decode_order(item(status={"State": "running", "TargetVersion": "v2"})).ok
    assert order.id == running.id
    assert order.id != decode_order(item(created=6)).ok.id


def test_only_deployments_with_roll_outs_watch_their_kind() -> None:
    protocol = PROTOCOLS_BY_NAME["platform"]
    assert ROLLOUTS_KIND not in format_of(protocol, has_rollouts=False).kinds
    assert ROLLOUTS_KIND in format_of(protocol, has_rollouts=True).kinds


def test_the_configuration_keeps_orders_and_goes_on_with_its_own_objects(clock: Clock) -> None:
    journal = Journal("vm", clock)
    configuration = Configuration(journal, with_rollouts(PLATFORM_FORMAT))
    configuration.merge([item(), VersionedObject("dc-1", 3, b"{}", "evacuations")])
    assert configuration.is_out("dc-1")
    assert configuration.objects_by_key[ROLLOUTS_KIND, "shop"].version == 9
