"""The head of a call between two daemons, and the proof that a daemon of this fleet sent it.

The head is one JSON header; a second header is its keyed digest (BLAKE2b under the fleet's key)
together with the request line.  The gate refuses a call without a right digest, one meant for
another VM, and one that is old by the fleet's time: with the ids that it remembers, a captured
call can't be run again. The digest does not cover the body and nothing is encrypted; see
docs/design/calls.md.
"""

import hmac
from hashlib import blake2b
from typing import Final

import attrs
import msgspec
from expression import Error, Ok, Result

from kingcuppond.outcomes import NotRun, Reason

MAC_BYTES: Final = 16
MAX_AGE_MS: Final = 30_000


@attrs.frozen
class Relay:
    """The head of a call from one daemon to another.

    :param call: id of the attempt
    :param to: VM whose gate is meant
    :param left_ms: time left to answer
    :param stamp: the sender's hybrid logical clock
    :param target_left_ms: time left until the class's target is over
    """

    call: str
    to: str
    class_name: str
    service: str
    left_ms: int
    depth: int
    retry_budget: int
    at_most_once: bool
    fingerprint: str
    is_on_trial: bool
    stamp: int
    request_id: str = ""
    caller_service: str = ""
    target_left_ms: int | None = None
    priority: int = 0
    is_last_resort: bool = False


def encode(relay: Relay) -> str:
    """Return the header's value."""
    return msgspec.json.encode(relay).decode("ascii")


def sign(key: bytes, method: str, target: str, head: str) -> str:
    """Return the keyed digest of a head and its request line, empty if the fleet has no key."""
    if not key:
        return ""
    text = f"{method}\n{target}\n{head}".encode("utf-8", "surrogateescape")
    return blake2b(text, key=key, digest_size=MAC_BYTES).hexdigest()


def verify(
    key: bytes, method: str, target: str, head: str, mac: str, vm: str, fleet_ms: int
) -> Result[Relay, NotRun]:
    """Check and decode the head of a call.

    :param vm: this daemon's VM
    :param fleet_ms: the fleet's time
    """
    expected = sign(key, method, target, head)
    if not hmac.compare_digest(expected.encode(), mac.encode("utf-8", "surrogateescape")):
        return Error(NotRun(Reason.FORBIDDEN, "the call does not prove that it is the fleet's"))
    try:
        relay = msgspec.json.decode(head.encode(), type=Relay)
    except (msgspec.MsgspecError, UnicodeEncodeError) as exc:
        return Error(NotRun(Reason.BAD_REQUEST, f"the call's head can't be read: {exc}"))
    if relay.to != vm:
        return Error(NotRun(Reason.FORBIDDEN, f"the call is meant for {relay.to}"))
    if (relay.stamp >> 16) < fleet_ms - MAX_AGE_MS:
        return Error(NotRun(Reason.FORBIDDEN, "the call is too old"))
    return Ok(relay)
