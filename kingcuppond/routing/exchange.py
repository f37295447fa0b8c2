"""One HTTP exchange as a client: with a server, or with the daemon beside it.

This is where a failure gets its name.  If the connection could not be made, no byte of the call
left this VM: ``NotRun``.  After that, whatever breaks leaves the outcome ``Unknown``.  A short
answer is read whole before anyone sees it, so an answer that breaks off is never passed on as a
whole one; a long one streams, and breaks off for the caller too.
"""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from functools import partial
from typing import Any, Final

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler
from expression import Error, Ok, Result
from multidict import CIMultiDict
from yarl import URL

from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.routing.call import Answer, Body, BrokenAnswerError
from kingcuppond.routing.headers import OWN_ANSWER_HEADERS, end_to_end
from kingcuppond.settings.checks import split_address

CONNECT_SECONDS: Final = 0.5
"""Longest wait for a connection: a lost first packet is sent again only after a second."""

ENDING_SECONDS: Final = (0.05, 0.1, 0.2)
"""Waits before each question: a process that was killed has closed all its sockets by then."""

POOL_IDLE_SECONDS: Final = 4.0
"""Below the idle time after which servers close a connection."""

WHOLE_ANSWER_BYTES: Final = 65_536
CHUNK_BYTES: Final = 65_536
MAX_HEADER_BYTES: Final = 32_768

MAX_UNFRAMED_BYTES: Final = 8_388_608
"""An answer without a length is held whole, since only its end shows whether it is complete."""

SKIPPED_AUTO_HEADERS: Final = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@attrs.frozen
class Exchanged:
    """The head of a peer's answer, and the answer itself."""

    headers: Any
    answer: Answer


Accept = Callable[[int, Any], bool]
"""Tells by its status and headers whether an answer belongs to the request."""


class _WatchedHandler(ResponseHandler):
    """Keeps how a connection ended.

    The library takes a reset for the end of an answer that has no length.
    """

    is_lost = False
    lost_by: BaseException | None = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note the end of the connection."""
        self.is_lost = True
        self.lost_by = exc
        super().connection_lost(exc)


def open_session(is_reusing: bool = True) -> aiohttp.ClientSession:
    """Make a session whose requests are sent once.

    :param is_reusing: whether its connections are reused
    """
    if is_reusing:
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=POOL_IDLE_SECONDS)
    else:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
    factory: Any = partial(_WatchedHandler, loop=asyncio.get_running_loop())
    connector._factory = factory
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
        skip_auto_headers=SKIPPED_AUTO_HEADERS,
        max_field_size=MAX_HEADER_BYTES,
        read_bufsize=CHUNK_BYTES,
    )
    # aiohttp sends GET, PUT and DELETE a second time by itself when a reused connection breaks.
    # Whether a call may be sent again is decided by its class alone.
    session._retry_connection = False
    return session


@attrs.define
class _BodyMark:
    """Whether the other end is still to ask for the body."""

    is_awaited: bool


def _body_data(body: Body, mark: _BodyMark, interim: asyncio.Timeout) -> Any:
    if body.is_whole and not mark.is_awaited:
        return body.first or None

    async def data() -> AsyncIterator[bytes]:
        if mark.is_awaited:
            mark.is_awaited = False
            interim.reschedule(None)
        if body.is_whole:
            yield body.first
            return
        async for chunk in body.stream():
            yield chunk

    return data()


async def exchange(
    session: aiohttp.ClientSession,
    address: str,
    method: str,
    target: str,
    headers: CIMultiDict[str],
    body: Body,
    deadline: float,
    continue_seconds: float | None = None,
    accept: Accept = lambda status, headers: True,
) -> Result[Exchanged, Failure]:
    """Send a request and receive the head of its answer.

    :param address: IP number and port
    :param deadline: reading of the monotonic clock after which the exchange is given up
    :param continue_seconds: send the body only after the other end asked for it, and give up if it
        does not within this time; until then the request is certainly not run there
    :param accept: an answer that it refuses breaks the connection and leaves the outcome unknown
    """
    timer = asyncio.timeout_at(asyncio.get_running_loop().time() + deadline - time.monotonic())
    interim = asyncio.timeout(continue_seconds)
    mark = _BodyMark(is_awaited=continue_seconds is not None)
    response: aiohttp.ClientResponse | None = None
    try:
        async with timer, interim:
            response = await session.request(
                method,
                URL(f"http://{address}{target}", encoded=True),
                headers=headers,
                data=_body_data(body, mark, interim),
                allow_redirects=False,
                expect100=continue_seconds is not None,
            )
            interim.reschedule(None)
            if not accept(response.status, response.headers):
                raise BrokenAnswerError("the answer does not belong to the request")
            return Ok(await _receive(response, method, deadline))
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        return Error(NotRun(Reason.UNREACHABLE, f"{address}: {exc}"))
    except TimeoutError:
        _abort(response)
        if mark.is_awaited and response is None:
            return Error(NotRun(Reason.UNREACHABLE, f"{address} did not ask for the body"))
        return Error(Unknown(Reason.DEADLINE, f"{address} gave no whole answer in time"))
    except (aiohttp.ClientError, BrokenAnswerError, OSError, ValueError) as exc:
        _abort(response)
        detail = f"{address}: {type(exc).__name__} {exc}".rstrip()
        if mark.is_awaited and response is None:
            return Error(NotRun(Reason.UNREACHABLE, detail))
        return Error(Unknown(Reason.CONNECTION_LOST, detail))
    except asyncio.CancelledError:
        _abort(response)
        raise


async def is_gone(address: str) -> bool:
    """Tell whether nothing listens at an address any more, by connections of its own.

    A connection that broke may have been at fault alone; this tells it from a process that ended.
    A process that ends closes its sockets one after another, and later on a busy machine, so the
    question is asked a few times.
    """
    for wait in ENDING_SECONDS:
        await asyncio.sleep(wait)
        if not await _accepts(address):
            return True
    return False


async def _accepts(address: str) -> bool:
    host, port = split_address(address)
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


async def _receive(response: aiohttp.ClientResponse, method: str, deadline: float) -> Exchanged:
    connection = response.headers.get("Connection", "")
    headers = end_to_end(response.headers.items(), connection, OWN_ANSWER_HEADERS)
    length = response.content_length
    is_short = length is not None and length <= WHOLE_ANSWER_BYTES
    if method == "HEAD" or is_short:
        whole = await response.read()
        if method != "HEAD" and response.status not in (204, 304) and len(whole) != length:
            raise BrokenAnswerError("the answer is shorter than it said")
        return Exchanged(response.headers, Answer(response.status, headers, whole))
    if length is None and "chunked" not in response.headers.get("Transfer-Encoding", "").lower():
        whole = await _read_to_close(response)
        return Exchanged(response.headers, Answer(response.status, headers, whole))
    answer = Answer(response.status, headers, chunks=_stream(response, deadline))
    answer.close = lambda: _finish(response)
    return Exchanged(response.headers, answer)


async def _read_to_close(response: aiohttp.ClientResponse) -> bytes:
    """Read an answer that ends with its connection.

    :raises BrokenAnswerError: the connection was reset, so that the end of the answer is missing
    """
    protocol = response._protocol
    whole = await response.content.read(MAX_UNFRAMED_BYTES + 1)
    while not response.content.at_eof() and len(whole) <= MAX_UNFRAMED_BYTES:
        whole += await response.content.readany()
    if len(whole) > MAX_UNFRAMED_BYTES:
        raise BrokenAnswerError("an answer without a length is too large to be held")
    if not isinstance(protocol, _WatchedHandler) or not protocol.is_lost:
        raise BrokenAnswerError("the answer's connection did not end")
    if protocol.lost_by is not None:
        raise BrokenAnswerError(f"the answer broke off: {protocol.lost_by!r}")
    return whole


async def _stream(response: aiohttp.ClientResponse, deadline: float) -> AsyncIterator[bytes]:
    try:
        while True:
            left = deadline - time.monotonic()
            chunk = await asyncio.wait_for(response.content.readany(), max(left, 0.001))
            if not chunk:
                return
            yield chunk
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        _abort(response)
        raise BrokenAnswerError(f"the answer broke off: {type(exc).__name__}") from exc


async def _finish(response: aiohttp.ClientResponse) -> None:
    # Closing a response whose answer was not read to its end closes the connection, so that it is
    # never reused with an unread answer in it.
    if response.content.at_eof():
        response.release()
    else:
        response.close()


def _abort(response: aiohttp.ClientResponse | None) -> None:
    if response is not None:
        response.close()
