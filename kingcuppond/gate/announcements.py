"""Messages in which a server announces itself to the daemon on its VM.

In kingcuppond's native protocol the server sends ``PUT /v1/announcement`` to the daemon's
``server_address`` about twice a second.  These announcements are heartbeats: a server that stays
silent is considered absent, which the daemon detects without the store or other daemons.
"""

from collections.abc import Callable
from typing import Final, Literal

import attrs
from aiohttp import web
from expression import Error, Ok, Result

from kingcuppond.decoding import MessageInt, decode_json
from kingcuppond.outcomes import PROBLEM_TYPE, NotRun, Reason, problem_body
from kingcuppond.settings.checks import check_address

ANNOUNCEMENT_PATH: Final = "/v1/announcement"
MAX_MESSAGE_BYTES: Final = 4096


@attrs.frozen
class Load:
    """The load that the server reports; it may be out of date or wrong."""

    in_flight: MessageInt = 0
    slots: MessageInt = 0


@attrs.frozen
class Announcement:
    """A heartbeat of a server, with its state and load."""

    service: str
    """Service that the server belongs to."""

    address: str = attrs.field(validator=check_address)
    """Address where the server accepts calls."""

    state: Literal["cold", "warm", "draining"]
    """Whether the server takes work, and whether it is still warming up."""

    load: Load = Load()

    instance: str = ""
    """Id of this incarnation, empty if the server reports none."""

    born_ms: MessageInt = 0
    """Start time in Unix milliseconds, 0 if the server does not report it."""

    sequence: MessageInt = 0
    """Increases with each announcement of an incarnation, 0 if the server does not number them."""

    cold_ms: MessageInt | None = None
    """Remaining milliseconds of warm-up, ``None`` if the server does not report them."""

    version: str = ""
    """Version of the server's program, empty if it states none."""


@attrs.frozen
class Withdrawal:
    """A server's notice that it is leaving; it may go on serving for a while."""

    instance: str


@attrs.frozen
class ConfiguredServer:
    """The server configured in the daemon's settings."""

    service: str
    address: str


ServerMessage = Announcement | Withdrawal
MessageDecoder = Callable[[str, str, bytes, ConfiguredServer], Result[ServerMessage, NotRun]]
"""Decodes a server's request from its method, path and body, and checks it against the settings."""


def decode_announcement(
    method: str, path: str, body: bytes, configured_server: ConfiguredServer
) -> Result[ServerMessage, NotRun]:
    """Decode an announcement of kingcuppond's native protocol.

    :param configured_server: the configured server; only announcements of its service are accepted
    """
    if method != "PUT" or path != ANNOUNCEMENT_PATH:
        return Error(NotRun(Reason.BAD_REQUEST, f"only PUT {ANNOUNCEMENT_PATH} is supported"))
    decoded = decode_json(body, Announcement)
    if decoded.is_error():
        return Error(NotRun(Reason.BAD_REQUEST, f"invalid announcement: {decoded.error}"))
    announcement = decoded.ok
    if announcement.service != configured_server.service:
        detail = f"this daemon is configured for service {configured_server.service}"
        return Error(NotRun(Reason.BAD_REQUEST, f"{detail}, not {announcement.service}"))
    return Ok(announcement)


def refusal_response(failure: NotRun) -> web.Response:
    """Return the HTTP response that refuses a message, as problem details."""
    return web.Response(
        status=failure.status, body=problem_body(failure), content_type=PROBLEM_TYPE
    )
