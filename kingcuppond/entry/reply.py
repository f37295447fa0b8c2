"""Writing a server's answer to whoever asked, unchanged but for hop-by-hop headers.

If a streamed answer breaks off, the connection is cut: its reader sees a body without an end.
"""

import asyncio

from aiohttp import web

from kingcuppond.entry.http_server import HALF_OPEN_SECONDS
from kingcuppond.outcomes import OUTCOME_HEADER, Outcome
from kingcuppond.routing.call import Answer, BrokenAnswerError
from kingcuppond.routing.headers import to_multidict


async def send_answer(
    request: web.BaseRequest, answer: Answer, extra: dict[str, str], is_closing: bool
) -> web.StreamResponse:
    """Send an answer.

    :param extra: further headers
    :param is_closing: close the connection after the answer
    :raises BrokenAnswerError: the server's answer broke off; the connection is cut
    """
    headers = to_multidict(answer.headers)
    headers[OUTCOME_HEADER] = Outcome.ANSWERED.value
    headers.update(extra)
    if answer.chunks is None:
        if request.method != "HEAD":
            headers.popall("Content-Length", None)
        response: web.StreamResponse = web.Response(
            status=answer.status, headers=headers, body=answer.whole
        )
        if is_closing:
            response.force_close()
        return response
    response = web.StreamResponse(status=answer.status, headers=headers)
    if is_closing:
        response.force_close()
    await _stream(request, response, answer)
    return response


async def _stream(request: web.BaseRequest, response: web.StreamResponse, answer: Answer) -> None:
    assert answer.chunks is not None
    if "Content-Length" not in response.headers and request.version >= (1, 1):
        response.enable_chunked_encoding()
    try:
        await response.prepare(request)
        async for chunk in answer.chunks:
            # A reader that went silent must not hold the call for ever.
            async with asyncio.timeout(HALF_OPEN_SECONDS):
                await response.write(chunk)
        await response.write_eof()
    except (BrokenAnswerError, TimeoutError):
        cut(request)
        raise


def cut(request: web.BaseRequest) -> None:
    """Cut the connection of a request, so that no end of the answer is seen."""
    if request.transport is not None:
        request.transport.abort()
