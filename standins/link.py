"""TCP proxy between two processes, in which tests inject network faults.

``cut`` closes open connections and refuses new ones.  ``silence`` keeps open connections open but
stops forwarding on them, while new ones work, as when a device between the two ends has lost their
state.  ``blackhole`` stops forwarding on new connections too.
"""

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import Any, Final

import attrs

CHUNK_BYTES: Final = 65_536


@attrs.define(eq=False)
class _Connection:
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    is_silent: bool = False


@attrs.define
class Link:
    """A TCP proxy that runs in its own thread.

    :param address: host and port that accept connections
    :param target: host and port that they are forwarded to
    """

    address: str
    target: str
    _loop: asyncio.AbstractEventLoop = attrs.field(factory=asyncio.new_event_loop)
    _connections: set[_Connection] = attrs.field(factory=set)
    _is_cut: bool = False
    _is_blackhole: bool = False
    _started: threading.Event = attrs.field(factory=threading.Event)

    def start(self) -> "Link":
        """Start the thread and wait until the port accepts connections."""
        threading.Thread(target=self._run, daemon=True).start()
        self._started.wait()
        return self

    def stop(self) -> None:
        """Close all connections and stop the event loop."""
        self._run_in_loop(self._close_all)
        self._loop.call_soon_threadsafe(self._loop.stop)

    def cut(self) -> None:
        """Close all connections and abort new ones."""
        self._is_cut = True
        self._run_in_loop(self._close_all)

    def silence(self) -> None:
        """Stop forwarding on the connections that are open now."""
        for connection in list(self._connections):
            connection.is_silent = True

    def blackhole(self) -> None:
        """Stop forwarding on all connections, including new ones."""
        self._is_blackhole = True
        self.silence()

    def restore(self) -> None:
        """Forward new connections again; silenced ones stay silenced."""
        self._is_cut = False
        self._is_blackhole = False

    def _run_in_loop(self, action: Callable[[], None]) -> None:
        done = threading.Event()

        def run() -> None:
            action()
            done.set()

        self._loop.call_soon_threadsafe(run)
        done.wait()

    def _close_all(self) -> None:
        for connection in list(self._connections):
            for writer in connection.writers:
                writer.transport.abort()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        host, _, port = self.address.rpartition(":")
        server: Any = asyncio.start_server(self._forward, host, int(port))
        self._loop.run_until_complete(server)
        self._started.set()
        self._loop.run_forever()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._is_cut:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection((writer, target_writer), self._is_blackhole)
        self._connections.add(connection)
        await asyncio.gather(
            _copy_stream(reader, target_writer, connection),
            _copy_stream(target_reader, writer, connection),
            return_exceptions=True,
        )
        self._connections.discard(connection)


async def _copy_stream(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection: _Connection
) -> None:
    with contextlib.suppress(OSError):
        while chunk := await reader.read(CHUNK_BYTES):
            while connection.is_silent:
                await asyncio.sleep(0.05)
            writer.write(chunk)
            await writer.drain()
    writer.close()
