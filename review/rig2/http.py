"""Just enough of HTTP/1.1 to see each byte that a daemon sends and receives."""

import asyncio
import json
from typing import Any

import attrs

LIMIT_BYTES = 1 << 20


@attrs.frozen
class Head:
    """The first line of a message and its header fields."""

    line: str
    fields: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str:
        """Return the value of a field, or an empty string."""
        for found, value in self.fields:
            if found.lower() == name.lower():
                return value
        return ""

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.line.split()[1])


@attrs.frozen
class Answer:
    """What a client got; the status is 0 if there was no complete answer."""

    status: int
    head: Head | None = None
    body: bytes = b""
    error: str = ""


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read a head up to its empty line."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = raw[:-4].split("\r\n")
    pairs = (line.partition(":") for line in rest)
    return Head(first, tuple((name, value.strip()) for name, _, value in pairs))


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read a body that is in chunks or has a length."""
    if head.get("Transfer-Encoding").lower() != "chunked":
        return await reader.readexactly(int(head.get("Content-Length") or 0))
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer that is in chunks or has a length."""
    head = await read_head(reader)
    while head.status == 100:
        head = await read_head(reader)
    return Answer(head.status, head, await read_body(reader, head))


async def send(address: str, request: bytes, seconds: float = 6.0) -> Answer:
    """Send a request over a new connection and read its answer."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port), limit=LIMIT_BYTES)
            try:
                writer.write(request)
                await writer.drain()
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, EOFError, ValueError) as exc:
        return Answer(0, error=type(exc).__name__)


async def call(address: str, method: str, path: str, body: Any = None) -> Answer:
    """Make a call with a JSON body, as servers and operators do."""
    content = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n"
    )
    return await send(address, head.encode() + content, seconds=2.0)
