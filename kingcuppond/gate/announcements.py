"""What a server says of itself to the daemon beside it.

``PUT /v1/announcement`` on the daemon's ``server_address``, about twice a second.  A server that
stays silent is taken for gone; no store and no other daemon is needed to notice.
"""

from typing import Final, Literal

import attrs
import msgspec
from aiohttp import web
from expression import Error, Ok, Result

from kingcuppond.outcomes import PROBLEM_TYPE, NotRun, Reason, problem_body
from kingcuppond.settings.checks import check_address, check_name

SILENT_SECONDS: Final = 2.0
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
    address: str = attrs.field(validator=check_address)
    state: Literal["cold", "warm", "draining"]
    load: Load = Load()


def parse(body: bytes, service: str) -> Result[Announcement, NotRun]:
    """Decode an announcement.

    :param service: the service that the daemon's settings name
    """
    try:
        announcement = msgspec.json.decode(body, type=Announcement)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return Error(NotRun(Reason.BAD_REQUEST, f"not an announcement: {exc}"))
    if announcement.service != service:
        detail = f"this daemon stands beside a server of {service}, not {announcement.service}"
        return Error(NotRun(Reason.BAD_REQUEST, detail))
    return Ok(announcement)


def problem(failure: NotRun) -> web.Response:
    """Make the answer to an announcement that is refused."""
    return web.Response(
        status=failure.status, body=problem_body(failure), content_type=PROBLEM_TYPE
    )
