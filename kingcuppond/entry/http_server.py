"""The HTTP server that all of a daemon's listening ports use.

It is the library's low-level server, with two changes: what can't be parsed is answered with
problem details that say "not run" (the request never left the parser), and a failure in a handler
after the first bytes of an answer cuts the connection, so that half an answer is never taken for a
whole one.
"""

import asyncio
from typing import Any, Final

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from expression import Error, Ok, Result

from kingcuppond.dialect import OWN_DIALECT, Dialect
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown, problem_body
from kingcuppond.settings.checks import split_address

MAX_LINE_BYTES: Final = 8190
MAX_FIELD_BYTES: Final = 16_384
MAX_HEADERS: Final = 128
READ_BUFFER_BYTES: Final = 65_536
LINGER_SECONDS: Final = 2.0
HALF_OPEN_SECONDS: Final = 30.0
BACKLOG: Final = 1024

KEEP_ALIVE_SECONDS: Final = 120.0
"""Longer than callers leave a connection idle, so that no request meets the close."""


class ProblemHandler(RequestHandler):
    """Answers what the parser refuses with problem details."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Make the answer to a request that could not be parsed, or whose handler failed."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun and can't be replaced")
        failure: Failure
        if status < 500:
            failure = NotRun(Reason.BAD_REQUEST, (message or "not HTTP/1.1").partition("\n")[0])
        else:
            failure = Unknown(Reason.CONNECTION_LOST, type(exc).__name__)
        response = problem_response(failure)
        response.force_close()
        return response


class ProblemServer(web.Server):
    """Makes a :class:`ProblemHandler` for each connection."""

    def __call__(self) -> RequestHandler:
        return ProblemHandler(self, loop=self._loop, **self._kwargs)


def make_server(handler: Any) -> ProblemServer:
    """Make a server around a handler of requests."""
    return ProblemServer(
        handler,
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


def problem_response(
    failure: Failure, dialect: Dialect = OWN_DIALECT, after: float = 1.0
) -> web.Response:
    """Make the answer that tells a caller of a failure.

    :param after: seconds after which the caller may come again
    """
    return web.Response(
        status=dialect.failure_status(failure),
        body=problem_body(failure),
        headers=dialect.failure_headers(failure, after),
    )


async def listen(server: ProblemServer, address: str) -> Result[web.ServerRunner, OSError]:
    """Begin to accept connections.

    :param address: IP number and port
    :return: the runner, whose ``cleanup`` ends it, or why the address can't be used
    """
    host, port = split_address(address)
    runner = web.ServerRunner(server, shutdown_timeout=LINGER_SECONDS)
    await runner.setup()
    try:
        await web.TCPSite(runner, host, port, backlog=BACKLOG).start()
    except OSError as exc:
        await runner.cleanup()
        return Error(exc)
    return Ok(runner)


async def stop_accepting(runner: web.ServerRunner) -> None:
    """Accept no further connections; open ones go on."""
    for site in list(runner.sites):
        await site.stop()
    await asyncio.sleep(0)
