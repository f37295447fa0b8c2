"""A relayed call must be authenticated, addressed to this VM and recent."""

import attrs
import pytest

from kingcuppond.clock import COUNTER_BITS
from kingcuppond.outcomes import Reason
from kingcuppond.routing.relay import MAX_AGE_MS, RelayHead, encode, sign, verify

KEY = b"k" * 32
NOW_MS = 1_000_000
RELAY = RelayHead("a/1/1", "b", "c", "s", 100, 1, 3, False, "f", False, NOW_MS << COUNTER_BITS)
HEAD = encode(RELAY)
MAC = sign(KEY, "GET", "/a", HEAD)


def test_valid_head_is_accepted() -> None:
    assert verify(KEY, "GET", "/a", HEAD, MAC, "b", NOW_MS).ok == RELAY


def test_names_need_not_be_ascii() -> None:
    """Guards against calls that fail because the name of their route can't be in a header."""
    relay = attrs.evolve(RELAY, class_name="precios-históricos", service="Büro 東")
    head = encode(relay)
    assert head.isascii()
    assert verify(KEY, "GET", "/a", head, sign(KEY, "GET", "/a", head), "b", NOW_MS).ok == relay


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"mac": ""}, Reason.FORBIDDEN),
        ({"mac": "é" * 32}, Reason.FORBIDDEN),
        ({"key": b"x" * 32}, Reason.FORBIDDEN),
        ({"method": "POST"}, Reason.FORBIDDEN),
        ({"target": "/b"}, Reason.FORBIDDEN),
        ({"head": encode(attrs.evolve(RELAY, retry_budget=9))}, Reason.FORBIDDEN),
        ({"vm": "c"}, Reason.FORBIDDEN),
        ({"fleet_ms": NOW_MS + MAX_AGE_MS + 1}, Reason.FORBIDDEN),
        ({"head": "{}", "mac": sign(KEY, "GET", "/a", "{}")}, Reason.BAD_REQUEST),
    ],
    ids=[
        "no MAC",
        "MAC that is not ASCII",
        "another key",
        "another method",
        "another target",
        "changed head",
        "addressed to another VM",
        "too old",
        "not a head",
    ],
)
def test_invalid_head_is_refused(changes: dict[str, object], reason: Reason) -> None:
    good: dict[str, object] = {
        "key": KEY,
        "method": "GET",
        "target": "/a",
        "head": HEAD,
        "mac": MAC,
        "vm": "b",
        "fleet_ms": NOW_MS,
    }
    assert verify(**{**good, **changes}).error.reason is reason  # type: ignore[arg-type]
