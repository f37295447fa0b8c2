"""A server answers a long upload before it has read it, without a length, and ends the connection.

The part that came is no complete answer, however the connection ends.
"""

import asyncio
import time
from collections.abc import AsyncIterator

import pytest
import uvloop
from multidict import CIMultiDict

from kingcuppond.routing.call import Body, InvalidAnswerError
from kingcuppond.routing.exchange import exchange, open_session
from tests.routing.test_exchange import reset
from tests.servers import listening

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
PIECE_BYTES = 65_536
FEW_PIECES, MANY_PIECES = 16, 128
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
PART_BYTES = {"short part": 1000, "long part": 200_000}
PAUSE_SECONDS = 0.01


async def read_for_a_moment(reader: asyncio.StreamReader) -> None:
    """Read some of the request, but never all of it."""
    reading = asyncio.create_task(reader.readexactly(FEW_PIECES * PIECE_BYTES // 2))
    await asyncio.wait({reading}, timeout=PAUSE_SECONDS)
    reading.cancel()


async def end_at_once(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reset the connection with the rest of the request unread."""
    reset(writer)


async def end_while_reading(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reset the connection while the request is being read."""
    await read_for_a_moment(reader)
    reset(writer)


async def close_while_reading(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Close the connection; what is unread by then, or arrives later, resets it."""
    await read_for_a_moment(reader)
    writer.close()


async def half_close(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """End the answer, and reset the connection a moment later."""
    writer.write_eof()
    await asyncio.sleep(PAUSE_SECONDS)
    reset(writer)


ENDS = [end_at_once, end_while_reading, close_while_reading, half_close]


async def send_upload(end: object, part_bytes: int, pieces: int, pause: float) -> bytes | None:
    """Return the body of an answer that looks complete, or ``None``."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"x" * part_bytes)
        await end(reader, writer)  # type: ignore[operator]

    async def upload() -> AsyncIterator[bytes]:
        for _ in range(pieces):
            yield bytes(PIECE_BYTES)
            await asyncio.sleep(pause)

    async with listening(serve) as address:
        session = open_session()
        length = pieces * PIECE_BYTES
        try:
            result = await exchange(
                session,
                address,
                "POST",
                "/",
                CIMultiDict({"Content-Length": str(length)}),
                Body(rest=upload(), length=length),
                time.monotonic() + 5.0,
            )
            if result.is_error():
                return None
            answer = result.ok.answer
            if answer.chunks is None:
                return answer.body
            return b"".join([chunk async for chunk in answer.chunks])
        except InvalidAnswerError:
            return None
        finally:
            await session.close()


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("pause", [0.0, 0.001], ids=["fast upload", "slow upload"])
@pytest.mark.parametrize("part", PART_BYTES)
@pytest.mark.parametrize("end", ENDS, ids=lambda end: end.__name__)
def test_early_answer_without_a_length_is_not_whole(
    end: object, part: str, pause: float, loop: str
) -> None:
    """The part reached the caller as a complete answer."""
    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        for pieces in (FEW_PIECES, MANY_PIECES):
            whole = runner.run(send_upload(end, PART_BYTES[part], pieces, pause))
            assert whole is None


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("pieces", [0, 1, FEW_PIECES])
def test_answer_without_a_length_to_a_request_that_was_read_is_whole(
    pieces: int, loop: str
) -> None:
    async def read_then_close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(pieces * PIECE_BYTES)
        writer.close()

    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        for part_bytes in PART_BYTES.values():
            whole = runner.run(send_upload(read_then_close, part_bytes, pieces, 0.0))
            assert whole == b"x" * part_bytes
