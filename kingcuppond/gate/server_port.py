"""HTTP port on which the local server announces itself and gives notice that it is leaving.

Such a notice is a withdrawal, or an announcement of the state ``draining``.  It is acknowledged
only after the gate has stopped admitting calls and the departure was recorded in the store, as far
as the store answers in time, since the acknowledgement also binds a later process of this daemon.
"""

import asyncio
from typing import Final

import attrs
from aiohttp import web

from kingcuppond.gate import announcements
from kingcuppond.gate.announcements import Announcement, ConfiguredServer, MessageDecoder
from kingcuppond.gate.departures import DepartureStore
from kingcuppond.gate.gate import Gate
from kingcuppond.gate.incarnation import Incarnation
from kingcuppond.ingress.http_server import problem_response
from kingcuppond.outcomes import NotRun, Reason
from kingcuppond.streams import StreamTooLongError, read_limited

DRAINING: Final = "draining"

MESSAGE_SECONDS: Final = 1.0
"""An acknowledgement that takes a second or longer counts for nothing."""


@attrs.define
class ServerPort:
    """Handles the messages of the local server.

    :param decode: decodes its messages
    :param configured_server: the server configured in the settings
    """

    gate: Gate
    departures: DepartureStore
    decode: MessageDecoder
    configured_server: ConfiguredServer

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one message of the server."""
        try:
            async with asyncio.timeout(MESSAGE_SECONDS):
                body = await read_limited(announcements.MAX_MESSAGE_BYTES, request.content.readany)
        except StreamTooLongError as exc:
            return _refuse(Reason.TOO_LARGE, f"the message is too large: {exc}")
        except TimeoutError:
            return _refuse(Reason.BAD_REQUEST, "the message did not arrive in time")
        parsed = self.decode(request.method, request.path, body, self.configured_server)
        if parsed.is_error():
            return announcements.refusal_response(parsed.error)
        message = parsed.ok
        if isinstance(message, Announcement):
            if not self.gate.handle_announcement(message):
                # Acknowledging it would promise that the server is sent nothing more.
                return _refuse(Reason.NOT_READY, "a later start of the server has been announced")
            if message.state == DRAINING:
                await self._record_departure(Incarnation(message.instance, message.born_ms))
        else:
            await self._record_departure(self.gate.handle_withdrawal(message.instance))
        return web.Response()

    async def _record_departure(self, leaving: Incarnation) -> None:
        if leaving.id:
            await self.departures.record(leaving)


def _refuse(reason: Reason, detail: str) -> web.Response:
    response = problem_response(NotRun(reason, detail))
    # The rest of the message is not read.
    response.force_close()
    return response
