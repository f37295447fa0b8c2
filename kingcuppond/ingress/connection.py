"""An accepted connection: reads a bounded number of bytes, and passes them to the HTTP library.

The library bounds each field of a head, and their number, but neither the head as a whole nor
empty lines before it, nor the extensions of chunks.  What leads to no request and to no content of
a body is counted here, and so is what the library keeps for the connection.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final, cast

from aiohttp import StreamReader
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.http_parser import HttpRequestParser
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo

from kingcuppond.ingress.connection_guard import CloseReason, ConnectionGuard
from kingcuppond.ingress.connection_limits import (
    MAX_READ_AHEAD,
    UNREAD_TICKS,
    ConnectionLimits,
    ConnectionView,
)
from kingcuppond.routing.call import BODY_MEMORY_BYTES

READ_BYTES: Final = 262_144
"""Most bytes that are read from a connection at once.

The close of a connection whose body waits is noticed only if most of the body has been read.
"""

TIGHT_READ_BYTES: Final = 16_384
"""The same while all connections together hold much; also the step in which heads are parsed."""

HEAD_COPIES: Final = 3
"""A head is kept as it came, and decoded, and the parser has a copy of the field that it is in."""

PIECE_BYTES: Final = 100
"""Memory of a piece of a body that waits to be read, beside its content: chunks may be tiny."""

MAX_ERROR_LENGTH: Final = 200

# Bytes are copied out of it before anything else is read.
_READ_BUFFER: Final = memoryview(bytearray(READ_BYTES))


def _ignore() -> None:
    """Check nothing; the default of a handler without a connection."""


class BoundedHandler(RequestHandler):
    """The library's handler of a connection, with a short queue of parsed requests.

    :ivar connection: the connection that it handles, as long as it is open
    :ivar is_input_closed: whether nothing more is read, because of an error
    :ivar is_pipelining: whether the next request was read before the last one was answered
    :ivar is_queued: whether the request in progress waits for its turn, and has not begun
    :ivar on_input: called after bytes were parsed, also those that had waited in the parser
    """

    __slots__ = ("connection", "is_input_closed", "is_pipelining", "is_queued", "on_input")

    def __init__(self, manager: Any, **options: Any) -> None:
        super().__init__(manager, **options)
        self.connection: BoundedConnection | None = None
        self.on_input: Callable[[], None] = _ignore
        self.is_input_closed = False
        self.is_pipelining = False
        self.is_queued = False
        self._max_msg_queue_size = MAX_READ_AHEAD
        self._msg_queue_resume_size = MAX_READ_AHEAD // 2
        self._parser = HttpRequestParser(
            self,
            self._loop,
            options["read_bufsize"],
            max_line_size=options["max_line_size"],
            max_field_size=options["max_field_size"],
            max_headers=options["max_headers"],
            payload_exception=RequestPayloadError,
            auto_decompress=options["auto_decompress"],
            # The parser counts a request until its body is complete, the queue until its head is
            # taken.  With equal limits, the parser could stop where the queue never resumes it.
            max_msg_queue_size=MAX_READ_AHEAD + 1,
        )

    def data_received(self, data: bytes) -> None:
        """Parse bytes, unless an error has ended the input."""
        if not self.is_input_closed:
            super().data_received(data)
            self.on_input()

    @property
    def is_reading_paused(self) -> bool:
        """Whether the parser may hold bytes until a body or the queue has been read."""
        return self._reading_paused or self._buffer_paused

    @property
    def has_request(self) -> bool:
        """Whether a request is in progress or waits for its turn."""
        return self._request_in_progress or bool(self._messages)

    def end_with_error(self, index: int, text: str) -> None:
        """Answer the requests before a place in the queue, then an error, and read nothing more."""
        while len(self._messages) > index:
            self._messages.pop()
        error = _ErrInfo(status=400, exc=BadHttpMessage(text), message=text)
        self._messages.append((error, EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self.is_input_closed = True
        self._pause_transport_reading()


class BoundedConnection(asyncio.BufferedProtocol):
    """Passes the events of a connection to a handler of the library, within the limits.

    :param guard: the connections of the daemon
    :param port: key of the address in the settings
    :ivar is_trusted: whether the connection has carried a call of another daemon; it is then
        neither counted nor closed for others
    """

    def __init__(self, handler: BoundedHandler, guard: ConnectionGuard, port: str) -> None:
        self.port = port
        self.is_trusted = False
        self._handler = handler
        self._guard = guard
        self._number = 0
        self._transport: asyncio.Transport | None = None
        self._payload: StreamReader | None = None
        self._checked_requests = 0
        self._requests = 0
        self._body_bytes = 0
        self._was_body_complete = True
        self._has_head_bytes = False
        self._useless_bytes = 0
        self._unparsed_bytes = 0
        self._unsent_bytes = 0
        self._is_active = False
        self._ticks = 0
        self._head_ticks = 0
        self._unread_ticks = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve the connection; the guard closes it if there are too many."""
        self._transport = cast(asyncio.Transport, transport)
        self._handler.connection = self
        self._handler.on_input = self._check_requests
        self._handler.connection_made(transport)
        self._number = self._guard.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the handling of the connection, and release what is kept for it."""
        self._guard.remove(self._number)
        self._handler.connection_lost(exc)
        self._handler._messages.clear()
        self._handler.connection = None
        self._handler.on_input = _ignore
        self._transport = self._payload = None

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer that the next bytes are read into."""
        return _READ_BUFFER[:TIGHT_READ_BYTES] if self._guard.is_tight else _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes that were read, and check the limits."""
        self._is_active = True
        data = bytes(_READ_BUFFER[:nbytes])
        start = 0
        while start < nbytes and not self._handler.is_input_closed:
            end = nbytes
            if self._is_body_complete() and not self._handler.is_reading_paused:
                end = min(end, start + TIGHT_READ_BYTES)
            self._parse(data[start:end])
            start = end
        self._update_bytes()

    def eof_received(self) -> bool | None:
        """Handle the end of the stream; the transport then closes."""
        self._handler.eof_received()
        return None

    def pause_writing(self) -> None:
        """Let the handler wait until its client reads on."""
        self._handler.pause_writing()
        self._update_bytes()

    def resume_writing(self) -> None:
        """Let the handler write on."""
        self._handler.resume_writing()
        self._update_bytes()

    def abort(self) -> None:
        """Close the connection without sending what is buffered."""
        if self._transport is not None:
            # The transport may be in the middle of a write.
            asyncio.get_running_loop().call_soon(self._transport.abort)

    def trust(self) -> None:
        """Take the connection for one of another daemon, which may have many."""
        if not self.is_trusted:
            self.is_trusted = True
            self._guard.trust(self._number)

    def view(self) -> ConnectionView:
        """Return the present state of the connection."""
        return ConnectionView(
            self._number,
            self.is_trusted,
            has_request=self._handler.has_request,
            is_complete=self._is_body_complete(),
            is_unread=self._handler.writing_paused,
            is_queued=self._handler.is_queued,
            requests=self._requests,
            ticks=self._ticks,
            bytes=self._held_bytes(),
        )

    def tick(self, limits: ConnectionLimits) -> CloseReason | None:
        """Count a tick, and return why the connection must be closed, if so."""
        self._ticks += 1
        if not self._is_active:
            return None
        self._has_progress()
        is_in_head = self._has_head_bytes and not self._handler.has_request
        self._head_ticks = self._head_ticks + 1 if is_in_head else 0
        if self._head_ticks > limits.head_ticks:
            return CloseReason.HEAD_TIME
        before, self._unsent_bytes = self._unsent_bytes, self._write_buffer_bytes()
        is_stalled = 0 < before <= self._unsent_bytes
        self._unread_ticks = self._unread_ticks + 1 if is_stalled else 0
        if self._unread_ticks > UNREAD_TICKS:
            return CloseReason.UNREAD
        self._update_bytes()
        self._is_active = self._handler.has_request or self._held_bytes() > 0
        return None

    def _is_body_complete(self) -> bool:
        return self._payload is None or self._payload.is_eof()

    def _parse(self, data: bytes) -> None:
        payload, body_bytes = self._payload, self._body_bytes
        self._unparsed_bytes = len(data)
        self._handler.data_received(data)
        if self._unparsed_bytes and self._payload is not None:
            parsed_bytes = self._payload.total_bytes
            parsed_bytes -= body_bytes if self._payload is payload else 0
            self._unparsed_bytes = max(0, self._unparsed_bytes - parsed_bytes)
        if not self._has_progress():
            self._useless_bytes += len(data)
            # A line end after a body begins no head.
            self._has_head_bytes = self._has_head_bytes or bool(data.strip(b"\r\n"))
            if self._useless_bytes > self._guard.limits.max_head_bytes:
                self._refuse()

    def _has_progress(self) -> bool:
        """Return whether a request or content has arrived, here or out of the library's buffer."""
        requests = self._handler._request_count
        body_bytes = 0 if self._payload is None else self._payload.total_bytes
        is_complete = self._is_body_complete()
        # The end of a body in chunks is neither a request nor content.
        is_ended = is_complete and not self._was_body_complete
        self._was_body_complete = is_complete
        if (requests, body_bytes) == (self._requests, self._body_bytes) and not is_ended:
            return False
        if requests != self._requests:
            self._ticks = 0
        self._requests, self._body_bytes = requests, body_bytes
        self._useless_bytes = 0
        self._has_head_bytes = False
        return True

    def _check_requests(self) -> None:
        """End the connection after a request that could not be parsed or has too long a head."""
        if not self._handler.is_reading_paused:
            self._unparsed_bytes = 0
        messages = self._handler._messages
        new = min(len(messages), self._handler._request_count - self._checked_requests)
        self._checked_requests = self._handler._request_count
        for index in range(len(messages) - new, len(messages)):
            message, payload = messages[index]
            if isinstance(message, _ErrInfo):
                # Its traceback refers to the bytes that were read, and to itself.
                if message.exc is not None:
                    message.exc.__traceback__ = None
                text = (message.message or "malformed request").partition("\n")[0]
                self._handler.end_with_error(index, text[:MAX_ERROR_LENGTH])
                return
            self._payload = payload if type(payload) is StreamReader else None
            if _head_bytes(message) > self._guard.limits.max_head_bytes:
                self._refuse_head(index)
                return

    def _refuse(self) -> None:
        """End a connection whose bytes lead to no request, and to no content of a body."""
        if not self._is_body_complete():
            self._guard.close(self._number, CloseReason.HEAD_BYTES)
            return
        self._handler._request_count += 1
        self._checked_requests += 1
        self._refuse_head(len(self._handler._messages))

    def _refuse_head(self, index: int) -> None:
        self._guard.count_closed(self.port, CloseReason.HEAD_BYTES)
        text = f"the head is longer than {self._guard.limits.max_head_bytes} bytes"
        self._handler.end_with_error(index, text)

    def _write_buffer_bytes(self) -> int:
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def _update_bytes(self) -> None:
        self._guard.set_bytes(self._number, self._held_bytes())

    def _held_bytes(self) -> int:
        """Return the bytes that are kept for the connection."""
        held = HEAD_COPIES * self._useless_bytes + self._unparsed_bytes + self._write_buffer_bytes()
        for message, payload in self._handler._messages:
            held += HEAD_COPIES * _head_bytes(message) + _body_bytes(payload)
        request = self._handler._current_request
        if request is not None and type(request.content) is StreamReader:
            # What a handler has read of a body stays in memory, up to a limit.
            read_bytes = request.content.total_bytes - request.content._size
            held += _body_bytes(request.content) + min(read_bytes, BODY_MEMORY_BYTES)
        return held


def _head_bytes(message: Any) -> int:
    if isinstance(message, _ErrInfo):
        return 0
    fields = sum(len(name) + len(value) + 4 for name, value in message.raw_headers)
    return len(message.path) + fields


def _body_bytes(payload: Any) -> int:
    if type(payload) is not StreamReader:
        return 0
    return payload._size + PIECE_BYTES * len(payload._buffer)
