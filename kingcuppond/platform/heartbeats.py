"""Heartbeats of the server beside a daemon: ``PUT`` and ``DELETE /instances/ID``.

A heartbeat with a field that is missing or has another type, or with another service or address
than the daemon's settings name, comes from another writer and is refused.
"""

from typing import Final
from urllib.parse import unquote

import msgspec
from expression import Error, Ok, Result

from kingcuppond.gate.announcements import (
    Announcement,
    Load,
    ServerMessage,
    ServerPlace,
    Withdrawal,
)
from kingcuppond.outcomes import NotRun, Reason
from kingcuppond.platform.durations import read_ms

PATH: Final = "/instances/"
STATE_BY_WORD: Final = {"ready": "warm", "draining": "draining"}


class _Heartbeat(msgspec.Struct):
    service: str = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    zone: str = msgspec.field(name="Zone")
    slots: int = msgspec.field(name="Slots")
    state: str = msgspec.field(name="State")
    cold_remaining: str = msgspec.field(name="ColdRemaining")
    sequence: int = msgspec.field(name="Sequence")
    born_ms: int = msgspec.field(name="born")


def read_heartbeat(
    method: str, path: str, body: bytes, place: ServerPlace
) -> Result[ServerMessage, NotRun]:
    """Decode what the server beside this daemon says of itself.

    :param path: path of the request, which names the incarnation
    :param place: the server that the settings name
    """
    instance = unquote(path.removeprefix(PATH))
    if not path.startswith(PATH) or not instance or "/" in instance:
        return _refuse(f"only {PATH}ID is served here")
    if method == "DELETE":
        return Ok(Withdrawal(instance))
    if method != "PUT":
        return _refuse(f"{method} is not served here")
    try:
        beat = msgspec.json.decode(body, type=_Heartbeat)
        cold_ms = read_ms(beat.cold_remaining)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as exc:
        return _refuse(f"not a heartbeat: {exc}")
    state = STATE_BY_WORD.get(beat.state)
    if state is None or beat.slots < 1:
        return _refuse(f"state {beat.state!r} with {beat.slots} slots is unknown")
    if beat.service != place.service or beat.address != place.address:
        return _refuse(f"{beat.service} at {beat.address} is not the server beside this daemon")
    return Ok(
        Announcement(
            service=beat.service,
            address=beat.address,
            state="cold" if state == "warm" and cold_ms > 0 else state,  # type: ignore[arg-type]
            load=Load(slots=beat.slots),
            instance=instance,
            born_ms=beat.born_ms,
            sequence=beat.sequence,
            cold_ms=cold_ms,
        )
    )


def _refuse(detail: str) -> Result[ServerMessage, NotRun]:
    return Error(NotRun(Reason.BAD_REQUEST, detail))
