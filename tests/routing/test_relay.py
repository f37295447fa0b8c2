"""A relay header is valid only with the fleet's key, at the intended VM and for a short time."""

import attrs
import pytest

from kingcuppond.clock import COUNTER_BITS
from kingcuppond.outcomes import Reason
from kingcuppond.routing.relay import MAX_AGE_MS, Relay, encode, sign, verify

KEY = b"k" * 32
NOW_MS = 1_000_000
RELAY = Relay("a/1/1", "b", "c", "s", 100, 1, 3, False, "f", False, NOW_MS << COUNTER_BITS)
HEAD = encode(RELAY)
MAC = sign(KEY, "GET", "/a", HEAD)


def test_a_valid_relay_header_is_accepted() -> None:
    assert verify(KEY, "GET", "/a", HEAD, MAC, "b", NOW_MS).ok == RELAY


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
        "no digest",
        "digest that is not ASCII",
        "another key",
        "another method",
        "another target",
        "changed header",
        "meant for another VM",
        "too old",
        "not a relay header",
    ],
)
def test_an_invalid_relay_header_is_refused(changes: dict[str, object], reason: Reason) -> None:
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
