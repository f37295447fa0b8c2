"""Connections of HTTP clients that are closed if they deliver bytes that belong to no answer.

Requests and answers on a connection belong together by their order alone.  A server that writes an
answer twice, or late, would otherwise have it taken for the answer to the next request.

The parser takes any three digits for a status.  One outside of 100 to 599 is invalid (RFC 9110,
section 15), and 101 answers an ``Upgrade`` that is never sent, so that such an answer is none.
Neither is one with a blank in the name of a field (section 5.1), which the compiled parser takes if
it is behind a name that it knows, as in ``Content-Length x``, or with a control character in the
value of a field (section 5.5), which can't be passed on.
"""

import asyncio
import re
import socket
import struct
from functools import partial
from typing import Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import BadHttpMessage, BadStatusLine

MAX_USELESS_BYTES: Final = 131_072
"""Most bytes in a row without a whole head or a part of a body, and so the longest head."""

FIRST_STATUS: Final = 100
FIRST_FINAL_STATUS: Final = 200
LAST_STATUS: Final = 599
SWITCHING_PROTOCOLS: Final = 101

FIELD_NAME: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
CONTROL_CHARACTER: Final = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")

NO_LINGER: Final = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which a socket is reset when it is closed."""


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection, so that the other end can't take it for one that was only half closed."""
    connected = transport.get_extra_info("socket")
    if connected is not None:
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()


def forget_traceback(error: BaseException | None) -> None:
    """Drop the tracebacks of a handled error of a response, and what their frames hold.

    aiohttp keeps the error in the response's stream, to which the frames of its readers refer.
    Only the garbage collector would free this reference cycle.
    """
    while error is not None:
        error.__traceback__ = None
        error = error.__context__


class TrackedConnection(ResponseHandler):
    """Counts requests, records how a connection ended, and closes it if it delivers no answer.

    aiohttp treats any end of the connection as the regular end of an answer that has no length.  It
    also goes on reading a chunk header that never ends, and keeps answers to no request in memory
    while the connection is idle.  If such an answer has only begun, aiohttp drops that part and
    reads the rest as the answer to the next request.
    """

    is_ended = False
    """Whether the server has closed the connection in the regular way, and nothing of the request
    was waiting to be written then."""

    requests = 0
    _answers = 0
    _useless_bytes = 0

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the answer to the next request."""
        self.requests += 1
        self._answers = 0
        self._useless_bytes = 0
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Count the final answers; interim ones (1xx) do not count."""
        message, _ = data
        self._answers += message.code >= FIRST_FINAL_STATUS
        error = _find_error(message)
        if error is None:
            super().feed_data(data, size)
            return
        # A later answer on this connection may belong to the same request.
        self.set_exception(error)
        self.close_at_once()

    def data_received(self, data: bytes) -> None:
        """Receive bytes, and close the connection if they lead to no answer."""
        if data and self._is_answer_complete():
            self.close_at_once()
            return
        before = self._progress()
        super().data_received(data)
        is_useful = self._progress() != before
        self._useless_bytes = 0 if is_useful else self._useless_bytes + len(data)
        if self._answers > 1 or self._useless_bytes > MAX_USELESS_BYTES:
            self.close_at_once()

    def close(self) -> None:
        """Close the connection; reset it if the answer to a request is outstanding.

        A server can't tell a connection that was closed from one whose client has sent everything
        and still waits, so it may go on to run a request that nobody waits for.
        """
        if self.transport is not None and self.requests and not self._is_answer_complete():
            reset(self.transport)
        super().close()

    def eof_received(self) -> None:
        """Record that the server has closed the connection."""
        self.is_ended = self.transport is not None and not self.transport.get_write_buffer_size()
        super().eof_received()

    def _is_answer_complete(self) -> bool:
        return self._answers > 0 and self._payload is not None and self._payload.is_eof()

    def close_at_once(self) -> None:
        """Close the connection, also if it is back in the pool."""
        self._should_close = True
        if self.transport is not None:
            self.transport.abort()

    def _progress(self) -> tuple[int, int]:
        """Return the number of answers begun, and the bytes of the body of the newest one."""
        return self._answers, 0 if self._payload is None else self._payload.total_bytes


def _find_error(message: Any) -> BadHttpMessage | None:
    """Return why the head of an answer is invalid, if the parser has let it pass."""
    is_valid = FIRST_STATUS <= message.code <= LAST_STATUS
    if not is_valid or message.code == SWITCHING_PROTOCOLS:
        return BadStatusLine(f"{message.code:03}", "the status of the answer is invalid")
    for name, value in message.raw_headers:
        if FIELD_NAME.fullmatch(name) is None:
            return BadHttpMessage(f"the answer has a field with the invalid name {name!r}")
        if CONTROL_CHARACTER.search(value) is not None:
            return BadHttpMessage(f"the field {name!r} of the answer has a control character")
    return None


def track_connections(connector: aiohttp.BaseConnector) -> None:
    """Make a connector open tracked connections; to be called in the event loop."""
    factory: Any = partial(TrackedConnection, loop=asyncio.get_running_loop())
    connector._factory = factory
