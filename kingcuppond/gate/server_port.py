"""The port where the server beside this daemon says what it is and that it leaves.

A server that leaves is told that it was heard only after the gate is closed for it and the
departure is remembered elsewhere, since the acknowledgement binds a later process of this daemon
too.
"""

from typing import Final

import attrs
from aiohttp import web

from kingcuppond.entry.http_server import problem_response
from kingcuppond.gate import announcements
from kingcuppond.gate.announcements import Announcement, ReadMessage, ServerPlace
from kingcuppond.gate.departures import Departures
from kingcuppond.gate.gate import Gate
from kingcuppond.gate.incarnation import Incarnation
from kingcuppond.outcomes import NotRun, Reason

DRAINING: Final = "draining"


@attrs.define
class ServerPort:
    """Serves the server beside this daemon.

    :param read: decodes its messages
    :param place: the server that the settings name
    """

    gate: Gate
    departures: Departures
    read: ReadMessage
    place: ServerPlace

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one message of the server."""
        if (request.content_length or 0) > announcements.MAX_BYTES:
            return problem_response(NotRun(Reason.TOO_LARGE, "the announcement is too large"))
        body = await request.content.read(announcements.MAX_BYTES)
        parsed = self.read(request.method, request.path, body, self.place)
        if parsed.is_error():
            return announcements.problem(parsed.error)
        message = parsed.ok
        if isinstance(message, Announcement):
            self.gate.announce(message)
            if message.state == DRAINING:
                await self._remember(Incarnation(message.instance, message.born_ms))
        else:
            await self._remember(self.gate.withdraw(message.instance))
        return web.Response()

    async def _remember(self, leaving: Incarnation) -> None:
        if leaving.id:
            await self.departures.record(leaving)
