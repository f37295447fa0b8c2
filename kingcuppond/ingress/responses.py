"""Responses to clients: a server's answer, unchanged except for hop-by-hop headers, or a refusal.

If a streamed answer breaks off, the client's connection is reset, so that the client sees an
incomplete body.
"""

import asyncio

from aiohttp import web

from kingcuppond.dialect import Dialect
from kingcuppond.http_connections import reset
from kingcuppond.ingress.http_server import (
    STALL_TIMEOUT_SECONDS,
    has_next_request,
    problem_response,
)
from kingcuppond.outcomes import OUTCOME_HEADER, Failure, Outcome, Reason
from kingcuppond.routing.call import Answer, InvalidAnswerError
from kingcuppond.routing.headers import to_multidict


def is_last(request: web.BaseRequest, is_leaving: bool) -> bool:
    """Return whether the connection is closed after the answer to a request.

    A pipelined request that was read already is answered first: its caller could not know
    whether it has run.

    :param is_leaving: whether this daemon is leaving the fleet
    """
    return is_leaving and not has_next_request(request)


def refuse(
    request: web.BaseRequest,
    failure: Failure,
    dialect: Dialect,
    is_leaving: bool,
    retry_after_seconds: float = 1.0,
) -> web.Response:
    """Make the response to a call that has no answer of a server."""
    response = problem_response(failure, dialect, retry_after_seconds)
    if is_last(request, is_leaving) or not request.content.at_eof():
        response.force_close()
    return response


async def send_answer(
    request: web.BaseRequest,
    answer: Answer,
    extra_headers: dict[str, str],
    is_closing: bool,
    seconds: float,
) -> web.StreamResponse:
    """Send an answer.

    :param extra_headers: headers added to the answer's own
    :param is_closing: close the connection after the answer
    :param seconds: time left until the call's deadline, which a streamed answer must not outlast
    :raises InvalidAnswerError: the server's answer broke off, or its client has not read it by the
        deadline; the connection is aborted
    """
    headers = to_multidict(answer.headers)
    headers[OUTCOME_HEADER] = Outcome.ANSWERED.value
    headers.update(extra_headers)
    if answer.chunks is None:
        if request.method != "HEAD":
            headers.popall("Content-Length", None)
        response: web.StreamResponse = web.Response(
            status=answer.status, headers=headers, body=answer.body
        )
        if is_closing:
            response.force_close()
        return response
    response = web.StreamResponse(status=answer.status, headers=headers)
    if is_closing:
        response.force_close()
    await _stream_answer(request, response, answer, seconds)
    return response


async def _stream_answer(
    request: web.BaseRequest, response: web.StreamResponse, answer: Answer, seconds: float
) -> None:
    assert answer.chunks is not None
    if "Content-Length" not in response.headers and request.version >= (1, 1):
        response.enable_chunked_encoding()
    try:
        async with asyncio.timeout(max(0.0, seconds)):
            await response.prepare(request)
            async for chunk in answer.chunks:
                # A client that stops reading must not keep the call open indefinitely.
                async with asyncio.timeout(STALL_TIMEOUT_SECONDS):
                    await response.write(chunk)
            await response.write_eof()
    except BaseException as exc:
        abort_connection(request)
        if isinstance(exc, TimeoutError):
            message = "the client has not read the answer in time"
            raise InvalidAnswerError(message, Reason.DEADLINE) from exc
        raise


def abort_connection(request: web.BaseRequest) -> None:
    """Reset the connection of a request, so that its client sees no end of the answer.

    To a client of HTTP/1.0, closing it would be the end of an answer that has no length.
    """
    if request.transport is None or request.transport.is_closing():
        return
    reset(request.transport)
