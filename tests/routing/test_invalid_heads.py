"""An answer whose head is invalid is none, whatever its parser lets pass."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from expression import Result
from multidict import CIMultiDict

from kingcuppond.outcomes import Failure, Unknown
from kingcuppond.platform.store import PlatformStore
from kingcuppond.routing.call import Body
from kingcuppond.routing.exchange import ReceivedAnswer, exchange, open_session
from tests.gate.test_observer import query
from tests.servers import listening

pytestmark = pytest.mark.usefixtures("each_parser")

INVALID_STATUSES = ["000", "001", "099", "101", "600", "999"]


@asynccontextmanager
async def answering(answer: bytes) -> AsyncIterator[str]:
    """Write an answer after each request, and keep the connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(answer)
            await writer.drain()

    async with listening(serve) as address:
        yield address


async def fetch(address: str, times: int = 1) -> list[Result[ReceivedAnswer, Failure]]:
    """Send requests one after another, in one session."""
    session = open_session()
    try:
        return [
            await exchange(
                session, address, "GET", "/", CIMultiDict(), Body(), time.monotonic() + 2.0
            )
            for _ in range(times)
        ]
    finally:
        await session.close()


@pytest.mark.parametrize("framing", ["Content-Length: 2\r\n\r\nok", "\r\n"], ids=["body", "none"])
@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_answer_with_an_invalid_status_is_none(status: str, framing: str) -> None:
    """A status of 000 reached the caller as 0, with the body."""
    async with answering(f"HTTP/1.1 {status} Odd\r\n{framing}".encode()) as address:
        for result in await fetch(address, times=2):
            assert isinstance(result.error, Unknown)


async def test_interim_answers_and_the_outermost_statuses_are_valid() -> None:
    interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    for status in (200, 299, 404, 599):
        final = f"HTTP/1.1 {status} Any\r\nContent-Length: 2\r\n\r\nok".encode()
        async with answering(interim + final) as address:
            (result,) = await fetch(address)
            assert result.ok.answer.status == status


async def test_invalid_status_of_the_store_leaves_the_outcome_of_a_write_unknown() -> None:
    """It counted as a refusal, so that the write counted as not executed."""
    async with answering(b"HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n\r\n{}") as address:
        store = PlatformStore(address)
        written = await store.put("kind", "name", b"{}", 0)
        assert written.error.is_outcome_unknown
        assert (await store.get("kind", "name")).is_error()
        await store.close()


async def test_health_answer_with_an_invalid_status_is_no_report() -> None:
    async with answering(b"HTTP/1.1 000 Zero\r\nContent-Length: 0\r\n\r\n") as address:
        assert await query(address, times=1) == []
