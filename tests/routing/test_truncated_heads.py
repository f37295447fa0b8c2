"""An answer that ends within its head, or before the end of its body, is never a whole one."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import attrs
import pytest
from multidict import CIMultiDict

from kingcuppond.dialect import AnswerKind
from kingcuppond.outcomes import Unknown
from kingcuppond.platform.calls import PLATFORM_DIALECT
from kingcuppond.routing.call import Body, InvalidAnswerError
from kingcuppond.routing.exchange import exchange, open_session
from tests.routing.test_exchange import reset
from tests.servers import listening

REQUEST = CIMultiDict({"X-Kingcuppond-Attempt-Id": "a"})
SEALED = b"X-Kingcuppond-Attempt-Id: a\r\nX-Kingcuppond-Server-Seal: 3e1b\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + SEALED
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

FRAMED_ANSWERS = {
    "length": OK + b"Content-Length: 12\r\n\r\nhello, world",
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + SEALED + b"\r\nhello, world",
    "empty": OK + b"Content-Length: 0\r\n\r\n",
    "chunked": OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
    "trailers": OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n",
    "chunked without a body": OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "after interim answers": INTERIM + INTERIM + OK + b"Content-Length: 5\r\n\r\nhello",
    "folded field": OK + b"A: b\r\n c\r\nContent-Length: 5\r\n\r\nhello",
    "bare line feeds": (OK + b"Content-Length: 5\r\n\r\n").replace(b"\r", b"") + b"hello",
    "long": OK + b"Content-Length: 70000\r\n\r\n" + bytes(70_000),
}
UNFRAMED_ANSWERS = {
    "no length": OK + b"Connection: close\r\n\r\nhello",
    "old version": b"HTTP/1.0 200 OK\r\n" + SEALED + b"\r\nhello",
    "after an interim answer": INTERIM + OK + b"Connection: close\r\n\r\nhello",
}
OTHER_CODINGS = {
    "coding like chunked": OK + b"Transfer-Encoding: xchunked\r\nConnection: close\r\n\r\nhello",
    "chunked before another coding": OK + b"Transfer-Encoding: chunked, x\r\n\r\nhello",
    "another coding before chunked": OK + b"Transfer-Encoding: x, chunked\r\n\r\n0\r\n\r\n",
    "two fields": OK + 2 * b"Transfer-Encoding: chunked\r\n" + b"\r\n0\r\n\r\n",
}
BODILESS_ANSWERS = {
    "no content": OK.replace(b"200 OK", b"204 No Content") + b"\r\n",
    "not modified": OK.replace(b"200 OK", b"304 Not Modified") + b"\r\n",
}
CUTS_IN_A_LONG_ANSWER = 150
"""Offsets tried at the start and at the end of an answer that is longer than both."""


pytestmark = pytest.mark.usefixtures("each_parser")


@attrs.define
class CuttingServer:
    """Sends the start of an answer to each request, and ends the connection.

    :param requests: number of requests that it has read
    """

    answer: bytes = b""
    is_reset: bool = False
    address: str = ""
    requests: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        writer.write(self.answer)
        await writer.drain()
        if self.is_reset:
            reset(writer)
        else:
            writer.close()


@asynccontextmanager
async def serving() -> AsyncIterator[CuttingServer]:
    cutting = CuttingServer()
    async with listening(cutting.serve) as cutting.address:
        yield cutting


async def fetch(session: aiohttp.ClientSession, server: CuttingServer, method: str) -> bytes | None:
    """Return the body of an answer that a caller would take as whole, or ``None``."""
    requests = server.requests
    result = await exchange(
        session,
        server.address,
        method,
        "/",
        REQUEST,
        Body(),
        time.monotonic() + 2,
        accept=is_usable,
    )
    if result.is_error():
        # A connection attempt may time out on a busy machine.
        assert isinstance(result.error, Unknown) or server.requests == requests, result.error
        return None
    answer = result.ok.answer
    try:
        if answer.chunks is None:
            return answer.body or b""
        return b"".join([chunk async for chunk in answer.chunks])
    except InvalidAnswerError:
        return None
    finally:
        await answer.close()


def is_usable(status: int, headers: CIMultiDict[str], is_first: bool) -> bool:
    kind = PLATFORM_DIALECT.classify_answer(status, headers, REQUEST, is_first)
    return kind is AnswerKind.ANSWERED


def offsets(answer: bytes) -> list[int]:
    ends = range(len(answer))
    return sorted({*ends[:CUTS_IN_A_LONG_ANSWER], *ends[-CUTS_IN_A_LONG_ANSWER:]})


async def whole_after_cuts(
    answer: bytes, cuts: list[int], is_reset: bool, method: str = "GET"
) -> list[tuple[int, bytes]]:
    """Return the offsets at which a cut left an answer that looks whole, and its body."""
    taken: list[tuple[int, bytes]] = []
    session = open_session()
    async with serving() as server:
        server.is_reset = is_reset
        for cut in cuts:
            server.answer = answer[:cut]
            body = await fetch(session, server, method)
            if body is not None:
                taken.append((cut, body))
    await session.close()
    return taken


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("answer", FRAMED_ANSWERS.values(), ids=FRAMED_ANSWERS)
async def test_cut_answer_with_a_length_is_not_whole(answer: bytes, is_reset: bool) -> None:
    assert await whole_after_cuts(answer, offsets(answer), is_reset) == []


@pytest.mark.parametrize("answer", UNFRAMED_ANSWERS.values(), ids=UNFRAMED_ANSWERS)
async def test_cut_head_of_an_answer_without_a_length_is_not_whole(answer: bytes) -> None:
    """The end of the connection is the end of such a body, but not of the head."""
    head = answer[: answer.rindex(b"\r\n\r\n") + 4]
    assert await whole_after_cuts(answer, offsets(head), is_reset=False) == []
    assert await whole_after_cuts(answer, offsets(answer), is_reset=True) == []


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("answer", OTHER_CODINGS.values(), ids=OTHER_CODINGS)
async def test_answer_in_another_transfer_coding_is_not_whole(
    answer: bytes, is_reset: bool
) -> None:
    """It can't be decoded, and a name like "chunked" says nothing about where it ends."""
    cuts = [*offsets(answer), len(answer)]
    assert await whole_after_cuts(answer, cuts, is_reset) == []


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("answer", BODILESS_ANSWERS.values(), ids=BODILESS_ANSWERS)
async def test_cut_answer_that_has_no_body_is_not_whole(answer: bytes, is_reset: bool) -> None:
    assert await whole_after_cuts(answer, offsets(answer), is_reset) == []


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
async def test_cut_answer_to_head_is_not_whole(is_reset: bool) -> None:
    answer = OK + b"Content-Length: 12\r\n\r\n"
    assert await whole_after_cuts(answer, offsets(answer), is_reset, "HEAD") == []


@pytest.mark.parametrize("answer", {**FRAMED_ANSWERS, **UNFRAMED_ANSWERS}.values())
async def test_uncut_answer_is_whole(answer: bytes) -> None:
    assert len(await whole_after_cuts(answer, [len(answer)], is_reset=False)) == 1
