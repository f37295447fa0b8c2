"""A TCP proxy before the store, in which connections go silent or calls are turned away."""

import asyncio
import contextlib

import attrs

from review.rig2.fleet import HOST, free_port

CHUNK_BYTES = 65_536
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


@attrs.define(eq=False)
class Proxy:
    """Forwards connections to one address.

    :param is_turned_away: whether each call is answered with 503 in place of the store
    :param is_silent_by_number: whether nothing more is forwarded on a connection, by its number
    """

    target: str
    address: str = attrs.field(factory=lambda: f"{HOST}:{free_port()}")
    is_turned_away: bool = False
    is_silent_by_number: dict[int, bool] = attrs.field(factory=dict)
    _writers_by_number: dict[int, asyncio.StreamWriter] = attrs.field(factory=dict)
    _last_number: int = 0

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._forward, HOST, int(self.address.rpartition(":")[2]))

    def silence(self) -> int:
        """Let all open connections go silent, without closing them; return their number."""
        for number in self.is_silent_by_number:
            self.is_silent_by_number[number] = True
        return len(self.is_silent_by_number)

    def turn_away(self) -> None:
        """Close the open connections, and answer each further call with 503."""
        self.is_turned_away = True
        for writer in self._writers_by_number.values():
            writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_turned_away:
            with contextlib.suppress(OSError, EOFError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(REFUSAL)
            writer.close()
            return
        self._last_number = number = self._last_number + 1
        self._writers_by_number[number] = writer
        host, _, port = self.target.rpartition(":")
        with contextlib.suppress(OSError):
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
            self.is_silent_by_number[number] = False
            await asyncio.gather(
                self._copy(reader, back_writer, number), self._copy(back_reader, writer, number)
            )
        self.is_silent_by_number.pop(number, None)
        del self._writers_by_number[number]
        writer.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.is_silent_by_number.get(number, True):
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()
