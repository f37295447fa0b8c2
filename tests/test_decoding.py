"""No content makes decoding raise, and values that are too deep spoil only themselves."""

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppond.configuration.objects import NATIVE_FORMAT
from kingcuppond.decoding import MAX_DEPTH, cut_deep_values, decode_json
from kingcuppond.gate.announcements import ANNOUNCEMENT_PATH, ConfiguredServer, decode_announcement
from kingcuppond.gate.incarnation import Incarnation
from kingcuppond.membership.messages import Member
from kingcuppond.platform.configuration import PLATFORM_FORMAT
from kingcuppond.platform.heartbeats import decode_heartbeat
from kingcuppond.routing.relay import verify
from kingcuppond.store.interface import decode_body, is_same_json

DEEP = b"[" * 100_000 + b"]" * 100_000
DEEP_OBJECT = b'{"a":' * 100_000 + b"1" + b"}" * 100_000
SERVER = ConfiguredServer("shop", "10.0.0.1:80")

DECODERS: dict[str, Any] = {
    "object of the store": lambda body: decode_body(body, Member),
    "heartbeat": lambda body: decode_heartbeat("PUT", "/instances/i", body, SERVER),
    "announcement": lambda body: decode_announcement("PUT", ANNOUNCEMENT_PATH, body, SERVER),
    "configuration": lambda body: PLATFORM_FORMAT.decode("config", "main", body),
    "native class": lambda body: NATIVE_FORMAT.decode("configuration", "class/a", body),
    "relayed call": lambda body: verify(b"", "GET", "/", body.decode("latin-1"), "", "vm", 0),
}

# All fields of a departure may be left out, so that odd content may decode as one.
ALL_DECODERS = DECODERS | {"departure": lambda body: decode_body(body, Incarnation)}

ODD_BODIES = {
    "deep array": DEEP,
    "deep object": DEEP_OBJECT,
    "deep and cut short": DEEP[:150_000],
    "number out of range": b"1e999",
    "long number": b"9" * 5000,
    "not UTF-8": b'{"a":"\xff"}',
    "half a surrogate pair": b'{"a":"\\ud800"}',
    "nothing": b"",
}


@pytest.mark.parametrize("decode", DECODERS.values(), ids=DECODERS)
@pytest.mark.parametrize("body", ODD_BODIES.values(), ids=ODD_BODIES)
def test_odd_content_is_an_error(decode: Any, body: bytes) -> None:
    """Guards against tasks that end for what another writer has left."""
    assert decode(body).is_error()


@pytest.mark.parametrize("body", ODD_BODIES.values(), ids=ODD_BODIES)
def test_odd_departures_do_not_raise(body: bytes) -> None:
    decode_body(body, Incarnation)


@pytest.mark.parametrize("decode", ALL_DECODERS.values(), ids=ALL_DECODERS)
@given(body=st.binary(max_size=60) | st.text(alphabet='[]{}",:\\e-019.ut', max_size=60))
@settings(derandomize=True, max_examples=60)
def test_no_content_raises(decode: Any, body: bytes | str) -> None:
    decode(body.encode() if isinstance(body, str) else body)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=3), inner, max_size=3),
)


@given(JSON_VALUES)
@settings(derandomize=True, max_examples=200)
def test_values_that_are_not_deep_are_kept(value: Any) -> None:
    body = msgspec.json.encode(value)
    assert cut_deep_values(body) == body


@pytest.mark.parametrize("deep", [DEEP, DEEP_OBJECT], ids=["array", "object"])
def test_only_deep_values_are_lost(deep: bytes) -> None:
    body = b'{"before":"]}\\"","deep":' + deep + b',"after":[1,{"b":"[{"}]}'
    found = decode_json(body, dict[str, Any]).ok
    assert (found["before"], found["after"]) == (']}"', [1, {"b": "[{"}])
    assert found["deep"], "the levels above the limit remain"


def test_values_down_to_the_limit_are_kept() -> None:
    body = b"[" * MAX_DEPTH + b"]" * MAX_DEPTH
    assert cut_deep_values(body) == body
    assert cut_deep_values(b"[" + body + b"]") == b"[" * MAX_DEPTH + b"null" + b"]" * MAX_DEPTH


@pytest.mark.parametrize("body", ODD_BODIES.values(), ids=ODD_BODIES)
def test_odd_bodies_are_not_the_same_as_others(body: bytes) -> None:
    assert is_same_json(body, body)
    assert not is_same_json(body, b"1")


def test_numbers_that_fit_in_no_message_are_refused() -> None:
    """Guards against a configuration or departure that can't be sent to other daemons."""
    tables = b'"Routes":{"Columns":[],"Rows":[]},"Services":{"Columns":[],"Rows":[]}}'
    body = b'{"Version":%d,' % 10**30 + tables
    assert PLATFORM_FORMAT.decode("config", "main", body).is_error()
    assert PLATFORM_FORMAT.release_of("config", "main", body) == 0
    assert decode_body(b'{"id":"i","born_ms":%d}' % 10**30, Incarnation).is_error()
