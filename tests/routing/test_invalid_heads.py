"""An answer whose head is invalid is none, whatever its parser lets pass."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from expression import Result
from multidict import CIMultiDict

from kingcuppond.outcomes import Failure
from kingcuppond.platform.store import PlatformStore
from kingcuppond.routing.call import Body, InvalidAnswerError
from kingcuppond.routing.exchange import ReceivedAnswer, exchange, open_session
from tests.gate.test_observer import query
from tests.servers import listening

pytestmark = pytest.mark.usefixtures("each_parser")

INVALID_STATUSES = ["000", "001", "099", "101", "600", "999"]

INVALID_NAMES = [b"A b", b"A\tb", b"A\x01b", b"A\x00b", b"A\x7fb", b"", b"A ", b"A\xffb", b"A(b"]
FRAMING_FIELDS = [
    (b"Content-Length", b"2"),
    (b"Transfer-Encoding", b"chunked"),
    (b"Connection", b"close"),
    (b"Upgrade", b"x"),
]
INVALID_VALUES = [b"a\x01b", b"\x00", b"a\x7f", b"a\x0bb", b"a\x1b[0m", b"a\rb"]
OK = b"HTTP/1.1 200 OK\r\n"


@asynccontextmanager
async def answering(answer: bytes, is_closing: bool = False) -> AsyncIterator[str]:
    """Write an answer after each request, and keep the connection unless ``is_closing``."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(answer)
            await writer.drain()
            if is_closing:
                return

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
            assert result.is_error()


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


@pytest.mark.parametrize("name", INVALID_NAMES, ids=repr)
async def test_answer_with_an_invalid_field_name_is_none(name: bytes) -> None:
    async with answering(OK + name + b": c\r\nContent-Length: 2\r\n\r\nok") as address:
        (result,) = await fetch(address)
        assert result.is_error()


@pytest.mark.parametrize("has_length", [True, False])
@pytest.mark.parametrize("suffix", [b" ", b"  ", b"\t", b" x", b"\x01", b"\x00"], ids=repr)
@pytest.mark.parametrize("field", FRAMING_FIELDS, ids=repr)
async def test_answer_whose_framing_field_has_an_invalid_name_is_none(
    field: tuple[bytes, bytes], suffix: bytes, has_length: bool
) -> None:
    """The compiled parser passed such a field on, and took the body for one without a length."""
    name, value = field
    length = b"Content-Length: 2\r\n" if has_length else b""
    head = OK + name + suffix + b": " + value + b"\r\n" + length + b"\r\n"
    async with answering(head + b"ok", is_closing=True) as address:
        (result,) = await fetch(address)
        assert result.is_error()


@pytest.mark.parametrize("value", INVALID_VALUES, ids=repr)
async def test_answer_with_a_control_character_in_a_value_is_none(value: bytes) -> None:
    """It could not be passed on, so that the caller's connection was closed without an answer."""
    async with answering(OK + b"A: " + value + b"\r\nContent-Length: 2\r\n\r\nok") as address:
        for result in await fetch(address, times=2):
            assert result.is_error()


async def test_tabs_and_bytes_beyond_ascii_in_a_value_are_valid() -> None:
    async with answering(OK + b"A: a\tb\xc3\xa9\r\nContent-Length: 2\r\n\r\nok") as address:
        (result,) = await fetch(address)
        assert dict(result.ok.answer.headers)["A"] == "a\tbé"


@pytest.mark.parametrize("trailer", [b"A b: c", b"A\x01: c", b": c"], ids=repr)
async def test_answer_with_an_invalid_trailer_is_not_whole(trailer: bytes) -> None:
    chunked = b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + trailer + b"\r\n\r\n"
    async with answering(OK + chunked) as address:
        (result,) = await fetch(address)
        if result.is_ok():
            assert result.ok.answer.chunks is not None
            with pytest.raises(InvalidAnswerError):
                async for _ in result.ok.answer.chunks:
                    pass
