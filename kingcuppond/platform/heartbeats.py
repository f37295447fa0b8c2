"""Heartbeats of the server beside a daemon: ``PUT`` and ``DELETE /instances/ID``.

A heartbeat is rejected if a field is missing or has the wrong type, or if it names another service
or address than the daemon's settings: it was then not sent by the server beside this daemon.
"""

from typing import Final
from urllib.parse import unquote

import msgspec
from expression import Error, Ok, Result

from kingcuppond.decoding import MessageInt, decode_json
from kingcuppond.durations import parse_duration_ms
from kingcuppond.gate.announcements import (
    Announcement,
    ConfiguredServer,
    Load,
    ServerMessage,
    Withdrawal,
)
from kingcuppond.outcomes import NotRun, Reason

PATH: Final = "/instances/"

MAX_VERSION_CHARACTERS: Final = 256
"""The version is part of the description that each daemon sends to all others."""

STATE_BY_PLATFORM_STATE: Final = {"ready": "warm", "draining": "draining"}


class _Heartbeat(msgspec.Struct):
    service: str = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    zone: str = msgspec.field(name="Zone")
    slots: MessageInt = msgspec.field(name="Slots")
    state: str = msgspec.field(name="State")
    cold_remaining: str = msgspec.field(name="ColdRemaining")
    sequence: MessageInt = msgspec.field(name="Sequence")
    born_ms: MessageInt = msgspec.field(name="born")
    version: object = msgspec.field(name="Version", default="")


def decode_heartbeat(
    method: str, path: str, body: bytes, configured_server: ConfiguredServer
) -> Result[ServerMessage, NotRun]:
    """Decode a heartbeat, or the withdrawal, of the server beside this daemon.

    :param path: path of the request, which ends in the id of the server's incarnation
    :param configured_server: service and address of the server, from the settings
    :return: the message, or why it is rejected
    """
    instance = unquote(path.removeprefix(PATH))
    if not path.startswith(PATH) or not instance or "/" in instance:
        return _reject(f"only {PATH}ID is served here")
    if method == "DELETE":
        return Ok(Withdrawal(instance))
    if method != "PUT":
        return _reject(f"{method} is not served here")
    decoded = decode_json(body, _Heartbeat)
    if decoded.is_error():
        return _reject(f"invalid heartbeat: {decoded.error}")
    heartbeat = decoded.ok
    try:
        cold_ms = parse_duration_ms(heartbeat.cold_remaining)
    except ValueError as exc:
        return _reject(f"invalid heartbeat: {exc}")
    state = STATE_BY_PLATFORM_STATE.get(heartbeat.state)
    if state is None or heartbeat.slots < 1:
        return _reject(f"invalid state {heartbeat.state!r} or number of slots {heartbeat.slots}")
    if (
        heartbeat.service != configured_server.service
        or heartbeat.address != configured_server.address
    ):
        return _reject(
            f"{heartbeat.service} at {heartbeat.address} is not the server beside this daemon"
        )
    return Ok(
        Announcement(
            service=heartbeat.service,
            address=heartbeat.address,
            state="cold" if state == "warm" and cold_ms > 0 else state,  # type: ignore[arg-type]
            load=Load(slots=heartbeat.slots),
            instance=instance,
            born_ms=heartbeat.born_ms,
            sequence=heartbeat.sequence,
            cold_ms=cold_ms,
            version=_version_of(heartbeat.version),
        )
    )


def _version_of(value: object) -> str:
    """Return the version of a server; one that is no usable text counts as not stated."""
    if not isinstance(value, str) or len(value) > MAX_VERSION_CHARACTERS:
        return ""
    return value


def _reject(detail: str) -> Result[ServerMessage, NotRun]:
    return Error(NotRun(Reason.BAD_REQUEST, detail))
