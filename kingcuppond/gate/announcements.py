"""What a server says of itself to the daemon beside it.

In the product's own form: ``PUT /v1/announcement`` on the daemon's ``server_address``, about twice
a second.  A server that stays silent is taken for gone; no store and no other daemon is needed to
notice.
"""

from collections.abc import Callable
from typing import Final, Literal

import attrs
import msgspec
from aiohttp import web
from expression import Error, Ok, Result

from kingcuppond.outcomes import PROBLEM_TYPE, NotRun, Reason, problem_body
from kingcuppond.settings.checks import check_address, check_name

PATH: Final = "/v1/announcement"
MAX_BYTES: Final = 4096


@attrs.frozen
class Load:
    """The load as the server sees it; it may lag or mislead."""

    in_flight: int = 0
    slots: int = 0


@attrs.frozen
class Announcement:
    """One announcement of a server."""

    service: str = attrs.field(validator=check_name)
    """Service that it belongs to."""

    address: str = attrs.field(validator=check_address)
    """Where it serves."""

    state: Literal["cold", "warm", "draining"]
    """Whether it takes work, and how much."""

    load: Load = Load()
    """Its load."""

    instance: str = ""
    """Id of this incarnation, empty if servers have none."""

    born_ms: int = 0
    """Unix milliseconds of its start, 0 if servers do not tell."""

    sequence: int = 0
    """Grows with each announcement of an incarnation, 0 if servers do not count."""

    cold_ms: int | None = None
    """How much longer it is cold, ``None`` if servers do not tell."""


@attrs.frozen
class Withdrawal:
    """A server says that it leaves now; it may go on serving for a while."""

    instance: str


@attrs.frozen
class ServerPlace:
    """The server that a daemon's settings name."""

    service: str
    address: str


ServerMessage = Announcement | Withdrawal
ReadMessage = Callable[[str, str, bytes, ServerPlace], Result[ServerMessage, NotRun]]
"""Decodes a request of a server, given its method, path and body."""


def read_announcement(
    method: str, path: str, body: bytes, place: ServerPlace
) -> Result[ServerMessage, NotRun]:
    """Decode an announcement in the product's own form.

    :param place: its service is that of the daemon's settings
    """
    if method != "PUT" or path != PATH:
        return Error(NotRun(Reason.BAD_REQUEST, f"only PUT {PATH} is answered here"))
    try:
        announcement = msgspec.json.decode(body, type=Announcement)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return Error(NotRun(Reason.BAD_REQUEST, f"not an announcement: {exc}"))
    if announcement.service != place.service:
        detail = f"this daemon stands beside a server of {place.service}"
        return Error(NotRun(Reason.BAD_REQUEST, f"{detail}, not {announcement.service}"))
    return Ok(announcement)


def problem(failure: NotRun) -> web.Response:
    """Make the answer to an announcement that is refused."""
    return web.Response(
        status=failure.status, body=problem_body(failure), content_type=PROBLEM_TYPE
    )
