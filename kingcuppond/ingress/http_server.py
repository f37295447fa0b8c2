"""The HTTP server behind every listening port of a daemon.

It is aiohttp's low-level server with five changes.  What clients send and leave unread is bounded
(see :mod:`kingcuppond.ingress.connection`).  Pipelined requests are begun a few at a time (see
:mod:`kingcuppond.ingress.pipelining`).  A request that can't be parsed is answered
with problem details whose outcome is "not run", since it never reached a handler.  If a handler
fails after the first bytes of a response, the connection is closed, so that a truncated response is
never taken for a complete one.  If a client closes its connection, the handler is cancelled even if
nothing reads from the connection, because a long body waits there until its call is sent.
"""

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable
from typing import Any, Final

from aiohttp import web
from expression import Error, Ok, Result

from kingcuppond.dialect import NATIVE_DIALECT, Dialect
from kingcuppond.ingress.connection import BoundedConnection, BoundedHandler
from kingcuppond.ingress.connection_guard import ConnectionGuard
from kingcuppond.ingress.pipelining import PipelineTurns
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown, problem_body
from kingcuppond.settings.checks import split_address

MAX_LINE_BYTES: Final = 16_384
MAX_FIELD_BYTES: Final = 16_384
MAX_HEADERS: Final = 128
READ_BUFFER_BYTES: Final = 65_536
LINGER_SECONDS: Final = 2.0
STALL_TIMEOUT_SECONDS: Final = 30.0
LISTEN_BACKLOG: Final = 1024

CLOSE_SECONDS: Final = 0.1
"""How long a server that is closed waits for its handlers, and once more after cancelling them.

Planned stops have waited for calls before that.
"""

ACCEPT_SECONDS: Final = 0.01
"""If the event loop accepts no connection for so long, none that is established is left."""

MAX_ACCEPT_SECONDS: Final = 0.2
"""How long connections may be accepted after the last moment, if callers go on connecting."""

CLOSE_CHECK_SECONDS: Final = 0.1
"""Interval at which a connection that is not read from is checked for a close by its client."""

KEEP_ALIVE_SECONDS: Final = 120.0
"""Longer than callers keep an idle connection, so that no request races with its close."""


RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class ProblemHandler(BoundedHandler):
    """Answers requests that can't be parsed with problem details, and notices each close.

    While the buffer of a body is full, the event loop doesn't read from the connection, so it
    doesn't see the end of the stream either.
    """

    __slots__ = ("_close_check",)

    def __init__(self, manager: web.Server, **options: Any) -> None:
        super().__init__(manager, **options)
        self._close_check: asyncio.TimerHandle | None = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the handling of the connection."""
        self._end_close_checks()
        super().connection_lost(exc)

    def _pause_transport_reading(self) -> None:
        super()._pause_transport_reading()
        if self._close_check is None:
            self._schedule_close_check()

    def _resume_transport_reading(self) -> None:
        if not self.is_input_closed:
            self._end_close_checks()
            super()._resume_transport_reading()

    def _schedule_close_check(self) -> None:
        self._close_check = self._loop.call_later(CLOSE_CHECK_SECONDS, self._check_close)

    def _end_close_checks(self) -> None:
        if self._close_check is not None:
            self._close_check.cancel()
            self._close_check = None

    def _check_close(self) -> None:
        if self.transport is None:
            return
        if _is_closed_by_client(self.transport):
            self.transport.abort()
            return
        self._schedule_close_check()

    @property
    def has_next_request(self) -> bool:
        """Whether a pipelined request was read behind the one that is being served."""
        return bool(self._messages)

    async def _handle_request(
        self, request: web.BaseRequest, start_time: float | None, request_handler: RequestHandler
    ) -> tuple[web.StreamResponse, bool]:
        """Serve a request; a connection that breaks meanwhile is closed.

        The task of a request must not end with the error of an answer that was not read in time:
        the error's traceback holds the ``asyncio.timeout`` that has expired, and that the task.
        Only the garbage collector would free this reference cycle, and the answer with it.

        :return: the response, and whether the connection has broken
        """
        try:
            return await super()._handle_request(request, start_time, request_handler)
        except ConnectionError:
            return web.StreamResponse(), True

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Make the response to a request that could not be parsed, or whose handler failed.

        :raises ConnectionError: the response has started; the library then closes the connection
        """
        if request.writer.output_size > 0:
            raise ConnectionError("the response has started and can't be replaced")
        failure: Failure
        if status < 500:
            failure = NotRun(
                Reason.BAD_REQUEST, (message or "malformed HTTP/1.1 request").partition("\n")[0]
            )
        else:
            failure = Unknown(Reason.CONNECTION_LOST, type(exc).__name__)
        response = problem_response(failure)
        response.force_close()
        return response


class ProblemServer(web.Server):
    """Makes a :class:`ProblemHandler` for each connection.

    :ivar accepted: number of connections accepted so far
    :ivar guard: the connections of all servers of a daemon
    :ivar port: key of the address in the settings
    """

    accepted: int = 0
    guard: ConnectionGuard
    port: str

    def __call__(self) -> Any:
        self.accepted += 1
        handler = ProblemHandler(self, loop=self._loop, **self._kwargs)
        return BoundedConnection(handler, self.guard, self.port)


def _is_closed_by_client(transport: asyncio.Transport) -> bool:
    """Return whether the client has closed or reset a connection, read or not."""
    connected = transport.get_extra_info("socket")
    if connected is None or connected.fileno() < 0:
        return False
    poll = select.poll()
    # A reset is reported too, without being asked for.
    poll.register(connected.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def make_server(
    handler: RequestHandler, guard: ConnectionGuard | None = None, port: str = ""
) -> ProblemServer:
    """Make a server that passes each request to a handler.

    :param guard: the connections that the limits are for; those of this server by default
    :param port: key of the address in the settings
    """
    server = ProblemServer(
        _take_turns(handler),
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_FIELD_BYTES,
        max_headers=MAX_HEADERS,
        read_bufsize=READ_BUFFER_BYTES,
        lingering_time=LINGER_SECONDS,
        keepalive_timeout=KEEP_ALIVE_SECONDS,
    )
    server.guard = guard or ConnectionGuard()
    server.port = port
    return server


def _take_turns(handler: RequestHandler) -> RequestHandler:
    """Return a handler that begins pipelined requests a few at a time."""
    turns = PipelineTurns()

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        protocol = request.protocol
        if not isinstance(protocol, ProblemHandler):
            return await handler(request)
        if protocol.is_pipelining:
            protocol.is_queued = True
            await turns.take()
            protocol.is_queued = False
        try:
            return await handler(request)
        finally:
            protocol.is_pipelining = protocol.has_next_request

    return handle


def trust_connection(request: web.BaseRequest) -> None:
    """Never close the connection of a request because there are many: it is another daemon's."""
    protocol = request.protocol
    if isinstance(protocol, ProblemHandler) and protocol.connection is not None:
        protocol.connection.trust()


def has_next_request(request: web.BaseRequest) -> bool:
    """Return whether a pipelined request was read behind this one."""
    return isinstance(request.protocol, ProblemHandler) and request.protocol.has_next_request


def has_unsent_bytes(runner: web.ServerRunner) -> bool:
    """Return whether a part of an answer waits until its caller reads on."""
    return runner.server is not None and any(
        handler.transport is not None and handler.transport.get_write_buffer_size()
        for handler in runner.server.connections
    )


def problem_response(
    failure: Failure, dialect: Dialect = NATIVE_DIALECT, retry_after_seconds: float = 1.0
) -> web.Response:
    """Make the response that reports a failure to a caller.

    :param retry_after_seconds: delay after which the caller may retry
    """
    return web.Response(
        status=dialect.failure_status(failure),
        body=problem_body(failure),
        headers=dialect.failure_headers(failure, retry_after_seconds),
    )


async def listen(
    server: ProblemServer, address: str, listening: socket.socket | None = None
) -> Result[web.ServerRunner, OSError]:
    """Start to accept connections.

    :param address: IP number and port
    :param listening: a socket that listens there already, if there is one
    :return: the runner, whose ``cleanup`` stops the server, or why the address can't be used
    """
    host, port = split_address(address)
    runner = web.ServerRunner(server, shutdown_timeout=CLOSE_SECONDS)
    await runner.setup()
    try:
        if listening is None:
            await web.TCPSite(runner, host, port, backlog=LISTEN_BACKLOG).start()
        else:
            await web.SockSite(runner, listening, backlog=LISTEN_BACKLOG).start()
    except OSError as exc:
        await runner.cleanup()
        return Error(exc)
    return Ok(runner)


async def stop_accepting(runner: web.ServerRunner) -> None:
    """Stop accepting; open connections, and those that the kernel has established, continue."""
    await _accept_established(runner)
    for site in list(runner.sites):
        await site.stop()
    await asyncio.sleep(0)


async def _accept_established(runner: web.ServerRunner) -> None:
    # After a delay of the process, timers run before the event loop accepts what has connected, and
    # it accepts one connection in each of its rounds.
    assert isinstance(runner.server, ProblemServer)
    loop = asyncio.get_running_loop()
    end = loop.time() + MAX_ACCEPT_SECONDS
    accepted = -1
    while accepted != runner.server.accepted and loop.time() < end:
        accepted = runner.server.accepted
        await asyncio.sleep(ACCEPT_SECONDS)
