"""Forwarding a server's answer to the client, unchanged except for hop-by-hop headers.

If a streamed answer breaks off, the client's connection is aborted, so that the client sees an
incomplete body.
"""

import asyncio

from aiohttp import web

from kingcuppond.ingress.http_server import STALL_TIMEOUT_SECONDS
from kingcuppond.outcomes import OUTCOME_HEADER, Outcome
from kingcuppond.routing.call import Answer, InvalidAnswerError
from kingcuppond.routing.headers import to_multidict


async def send_answer(
    request: web.BaseRequest, answer: Answer, extra_headers: dict[str, str], is_closing: bool
) -> web.StreamResponse:
    """Send an answer.

    :param extra_headers: headers added to the answer's own
    :param is_closing: close the connection after the answer
    :raises InvalidAnswerError: the server's answer broke off; the connection is aborted
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
    await _stream_answer(request, response, answer)
    return response


async def _stream_answer(
    request: web.BaseRequest, response: web.StreamResponse, answer: Answer
) -> None:
    assert answer.chunks is not None
    if "Content-Length" not in response.headers and request.version >= (1, 1):
        response.enable_chunked_encoding()
    try:
        await response.prepare(request)
        async for chunk in answer.chunks:
            # A client that stops reading must not keep the call open indefinitely.
            async with asyncio.timeout(STALL_TIMEOUT_SECONDS):
                await response.write(chunk)
        await response.write_eof()
    except (InvalidAnswerError, TimeoutError):
        abort_connection(request)
        raise


def abort_connection(request: web.BaseRequest) -> None:
    """Abort the connection of a request, so that its client sees no end of the answer."""
    if request.transport is not None:
        request.transport.abort()
