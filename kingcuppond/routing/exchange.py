"""One HTTP exchange as a client, with a server or with the daemon beside it.

Failures are classified here.  If no connection was established, no byte of the call left this VM:
``NotRun``.  Any later failure leaves the outcome ``Unknown``, unless the body was held back and the
other end has not asked for it yet.  A short answer is buffered before it is returned, so that a
truncated one is never passed on as complete.  A long one is streamed, also if it has no length, so
that a slow caller does not fill the memory; if it is truncated, so is the answer to the caller.
"""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

import aiohttp
import attrs
from expression import Error, Ok, Result
from multidict import CIMultiDict
from yarl import URL

from kingcuppond.http_connections import TrackedConnection, forget_traceback, track_connections
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.routing.call import Answer, Body, InvalidAnswerError
from kingcuppond.routing.headers import OWN_ANSWER_HEADERS, end_to_end
from kingcuppond.routing.unframed import make_unframed_reader, prepend, read_start
from kingcuppond.settings.checks import split_address
from kingcuppond.streams import ReadPiece, read_until

CONNECT_SECONDS: Final = 0.5
"""Timeout of a connection attempt; TCP retransmits a lost SYN only after one second."""

PROBE_DELAYS_SECONDS: Final = (0.05, 0.1, 0.2)
"""Delays before each probe; a killed process closes all its sockets within their sum."""

POOL_IDLE_SECONDS: Final = 4.0
"""Below the idle timeout after which servers close a connection."""

MAX_BUFFERED_ANSWER_BYTES: Final = 65_536
CHUNK_BYTES: Final = 65_536
MAX_HEADER_BYTES: Final = 32_768

BODILESS_STATUSES: Final = (204, 304)

SKIPPED_AUTO_HEADERS: Final = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@attrs.frozen
class ReceivedAnswer:
    """An answer with all its headers, also those that are not forwarded.

    :param is_first_on_connection: whether its connection carried no earlier request
    """

    headers: Any
    answer: Answer
    is_first_on_connection: bool


AcceptAnswer = Callable[[int, Any, bool], bool]
"""Decides by its status and headers whether an answer belongs to the request.

The third argument tells whether the request was the first one on its connection.  On a connection
that was used before, an answer may also be a late or repeated one to an earlier request.
"""


def open_session(reuses_connections: bool = True) -> aiohttp.ClientSession:
    """Open a session that never retries a request by itself.

    :param reuses_connections: whether connections are reused
    """
    if reuses_connections:
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=POOL_IDLE_SECONDS)
    else:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
    track_connections(connector)
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
        skip_auto_headers=SKIPPED_AUTO_HEADERS,
        max_field_size=MAX_HEADER_BYTES,
        read_bufsize=CHUNK_BYTES,
    )
    # By default aiohttp retries GET, PUT and DELETE when a reused connection breaks.  Whether a
    # call may be retried is decided by its class alone.
    session._retry_connection = False
    return session


@attrs.define
class _BodyState:
    """How far the body of a request has got.

    :param is_awaiting_continue: the exchange still waits for ``100 Continue``
    :param is_read: all of it was passed to the connection
    """

    is_awaiting_continue: bool
    is_read: bool = False


def _body_data(
    body: Body,
    body_state: _BodyState,
    continue_timeout: asyncio.Timeout,
    on_send: Callable[[], None],
) -> Any:
    if body.is_buffered and not body_state.is_awaiting_continue:
        body_state.is_read = True
        return body.buffered or None

    async def data() -> AsyncIterator[bytes]:
        if body_state.is_awaiting_continue:
            body_state.is_awaiting_continue = False
            on_send()
            continue_timeout.reschedule(None)
        if body.is_buffered:
            yield body.buffered
        else:
            async for chunk in body.stream():
                yield chunk
        body_state.is_read = True

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
    accept: AcceptAnswer = lambda status, headers, is_first_on_connection: True,
    on_send: Callable[[], None] = lambda: None,
) -> Result[ReceivedAnswer, Failure]:
    """Send a request and receive its answer, whose body is left to be streamed if it is long.

    :param address: IP address and port
    :param deadline: time on the monotonic clock, in seconds, after which the exchange is aborted
    :param continue_seconds: send the body only after ``100 Continue``, and give up if it does not
        come within this time, in seconds; until then the request is certainly not run there
    :param accept: if it rejects an answer, the connection is closed and the outcome is unknown
    :param on_send: called before the first byte is sent from which on the request may run
    """
    deadline_timeout = asyncio.timeout_at(
        asyncio.get_running_loop().time() + deadline - time.monotonic()
    )
    continue_timeout = asyncio.timeout(continue_seconds)
    body_state = _BodyState(is_awaiting_continue=continue_seconds is not None)
    response: aiohttp.ClientResponse | None = None
    if not body_state.is_awaiting_continue:
        on_send()
    try:
        async with deadline_timeout, continue_timeout:
            response = await session.request(
                method,
                _make_url(address, target),
                headers=headers,
                data=_body_data(body, body_state, continue_timeout, on_send),
                allow_redirects=False,
                expect100=continue_seconds is not None,
            )
            continue_timeout.reschedule(None)
            is_first = _is_first_on_connection(response)
            if not accept(response.status, response.headers, is_first):
                close_connection(response)
                raise InvalidAnswerError("the answer does not belong to the request")
            answer = await _receive(response, method, deadline, body_state)
            return Ok(ReceivedAnswer(response.headers, answer, is_first))
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        return Error(NotRun(Reason.UNREACHABLE, f"{address}: {exc}"))
    except TimeoutError:
        _abort(response)
        if body_state.is_awaiting_continue and response is None:
            return Error(NotRun(Reason.UNREACHABLE, f"{address} did not send 100 Continue in time"))
        return Error(Unknown(Reason.DEADLINE, f"{address} sent no complete answer in time"))
    except (aiohttp.ClientError, InvalidAnswerError, OSError, ValueError) as exc:
        forget_traceback(exc)
        _abort(response)
        detail = f"{address}: {type(exc).__name__} {exc}".rstrip()
        if body_state.is_awaiting_continue and response is None:
            return Error(NotRun(Reason.UNREACHABLE, detail))
        return Error(Unknown(Reason.CONNECTION_LOST, detail))
    except asyncio.CancelledError:
        _abort(response)
        raise


def _make_url(address: str, target: str) -> URL:
    """Return a URL whose request line has exactly this target.

    Parsing it would drop an empty query, and what looks like a fragment.
    """
    host, port = split_address(address)
    return URL.build(scheme="http", host=host, port=port, path=target, encoded=True)


async def is_not_listening(address: str) -> bool:
    """Return whether nothing listens at an address any more, by probing it with new connections.

    This distinguishes a process that ended from a single broken connection.  A process that ends
    closes its sockets one after another, and more slowly on a busy machine, so that the address is
    probed a few times.
    """
    for wait in PROBE_DELAYS_SECONDS:
        await asyncio.sleep(wait)
        if not await _accepts_connections(address):
            return True
    return False


async def _accepts_connections(address: str) -> bool:
    host, port = split_address(address)
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


def _is_first_on_connection(response: aiohttp.ClientResponse) -> bool:
    protocol = response._protocol
    return isinstance(protocol, TrackedConnection) and protocol.requests == 1


def close_connection(response: aiohttp.ClientResponse) -> None:
    """Close the connection of a response whose head was just received.

    A short response may be complete by then.  Its connection is back in the pool, and closing the
    response would not close it.
    """
    protocol = response._protocol
    response.close()
    if isinstance(protocol, TrackedConnection):
        protocol.close_at_once()


async def _receive(
    response: aiohttp.ClientResponse, method: str, deadline: float, body_state: _BodyState
) -> Answer:
    connection = response.headers.get("Connection", "")
    headers = end_to_end(response.headers.items(), connection, OWN_ANSWER_HEADERS)
    codings = response.headers.getall("Transfer-Encoding", [])
    if codings and [coding.strip().lower() for coding in codings] != ["chunked"]:
        raise InvalidAnswerError(f"the answer has the transfer codings {codings}")
    length = response.content_length
    is_short = length is not None and length <= MAX_BUFFERED_ANSWER_BYTES
    has_no_body = method == "HEAD" or response.status in BODILESS_STATUSES
    if has_no_body or is_short:
        body = await response.read()
        if not has_no_body and len(body) != length:
            raise InvalidAnswerError("the answer is shorter than its Content-Length")
        return Answer(response.status, headers, body)
    read: ReadPiece = response.content.readany
    if length is None and not codings:
        read = make_unframed_reader(response, lambda: body_state.is_read)
        start, is_whole = await read_start(read, MAX_BUFFERED_ANSWER_BYTES)
        if is_whole:
            return Answer(response.status, headers, start)
        read = prepend(start, read)
    answer = Answer(response.status, headers, chunks=_stream(response, deadline, read))
    answer.close = lambda: _release(response)
    return answer


async def _stream(
    response: aiohttp.ClientResponse, deadline: float, read: ReadPiece
) -> AsyncIterator[bytes]:
    try:
        async for chunk in read_until(deadline, time.monotonic, read):
            yield chunk
    except TimeoutError as exc:
        _abort(response)
        raise InvalidAnswerError("the answer did not end in time", Reason.DEADLINE) from exc
    except (aiohttp.ClientError, OSError) as exc:
        forget_traceback(exc)
        _abort(response)
        raise InvalidAnswerError(f"the answer was truncated: {type(exc).__name__}") from exc


async def _release(response: aiohttp.ClientResponse) -> None:
    # Closing a response that was not read to its end closes its connection, so that a connection
    # with unread bytes is never reused.
    if response.content.at_eof():
        response.release()
    else:
        response.close()


def _abort(response: aiohttp.ClientResponse | None) -> None:
    if response is not None:
        response.close()
