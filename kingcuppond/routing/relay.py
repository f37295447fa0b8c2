"""The metadata of a call that is relayed between two daemons, and its authentication.

The metadata is one JSON header, the head; a second header is a MAC (BLAKE2b with the fleet's key)
over it and the request line.  The receiver refuses a call with an invalid MAC, one addressed to
another VM, and one whose timestamp is too old by the fleet's time.  Together with the call ids that
the gate remembers, this prevents replays.  The MAC doesn't cover the body and nothing is encrypted;
see docs/design/calls.md.
"""

import hmac
import json
from hashlib import blake2b
from typing import Final

import attrs
import msgspec
from expression import Error, Ok, Result

from kingcuppond.decoding import MessageInt, decode_json
from kingcuppond.outcomes import NotRun, Reason

MAC_BYTES: Final = 16
MAX_AGE_MS: Final = 30_000


@attrs.frozen
class RelayHead:
    """The metadata of a relayed call.

    :param call: id of the attempt
    :param to: VM that the call is addressed to
    :param left_ms: time until the deadline, in milliseconds
    :param stamp: the sender's hybrid logical clock
    :param target_left_ms: time until the latency target of the class expires, in milliseconds
    """

    call: str
    to: str
    class_name: str
    service: str
    left_ms: MessageInt
    depth: int
    retry_budget: int
    at_most_once: bool
    fingerprint: str
    is_on_trial: bool
    stamp: MessageInt
    request_id: str = ""
    caller_service: str = ""
    target_left_ms: MessageInt | None = None
    priority: int = 0
    is_last_resort: bool = False
    organisation: str = ""


def encode(relay: RelayHead) -> str:
    """Return the header's value, in ASCII."""
    encoded = msgspec.json.encode(relay)
    if not encoded.isascii():
        encoded = json.dumps(json.loads(encoded)).encode()
    return encoded.decode("ascii")


def sign(key: bytes, method: str, target: str, head: str) -> str:
    """Return the MAC of a head and its request line, empty if the fleet has no key."""
    if not key:
        return ""
    text = f"{method}\n{target}\n{head}".encode("utf-8", "surrogateescape")
    return blake2b(text, key=key, digest_size=MAC_BYTES).hexdigest()


def verify(
    key: bytes, method: str, target: str, head: str, mac: str, vm: str, fleet_ms: int
) -> Result[RelayHead, NotRun]:
    """Authenticate and decode the head of a relayed call.

    :param vm: this daemon's VM
    :param fleet_ms: the fleet's time, in milliseconds
    """
    expected = sign(key, method, target, head)
    if not hmac.compare_digest(expected.encode(), mac.encode("utf-8", "surrogateescape")):
        return Error(NotRun(Reason.FORBIDDEN, "the MAC of the call is invalid"))
    decoded = decode_json(head.encode("utf-8", "surrogateescape"), RelayHead)
    if decoded.is_error():
        detail = f"the head of the call can't be decoded: {decoded.error}"
        return Error(NotRun(Reason.BAD_REQUEST, detail))
    relay = decoded.ok
    if relay.to != vm:
        return Error(NotRun(Reason.FORBIDDEN, f"the call is addressed to {relay.to}"))
    if (relay.stamp >> 16) < fleet_ms - MAX_AGE_MS:
        return Error(NotRun(Reason.FORBIDDEN, "the call is too old"))
    return Ok(relay)
