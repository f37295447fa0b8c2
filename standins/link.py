"""A link between two processes that tests can cut or silence.

It forwards TCP connections.  ``cut`` closes open connections and refuses new ones; ``silence``
leaves open connections open but passes nothing on, while new ones work, as when something between
the two ends has lost track of them; ``blackhole`` does this to new connections too.
"""

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import Any, Final

import attrs

CHUNK_BYTES: Final = 65_536


@attrs.define(eq=False)
class _Pair:
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    is_silent: bool = False


@attrs.define
class Link:
    """A forwarder in a thread of its own.

    :param listen: port to listen on
    :param target: port to forward to
    """

    listen: int
    target: int
    _loop: asyncio.AbstractEventLoop = attrs.field(factory=asyncio.new_event_loop)
    _pairs: set[_Pair] = attrs.field(factory=set)
    _is_cut: bool = False
    _is_blackhole: bool = False
    _started: threading.Event = attrs.field(factory=threading.Event)

    def start(self) -> "Link":
        """Begin to forward."""
        threading.Thread(target=self._run, daemon=True).start()
        self._started.wait()
        return self

    def stop(self) -> None:
        """End the forwarder."""
        self._do(self._close_all)
        self._loop.call_soon_threadsafe(self._loop.stop)

    def cut(self) -> None:
        """Close all connections and refuse new ones."""
        self._is_cut = True
        self._do(self._close_all)

    def silence(self) -> None:
        """Pass nothing on over the connections that are open now."""
        for pair in list(self._pairs):
            pair.is_silent = True

    def blackhole(self) -> None:
        """Pass nothing on over any connection."""
        self._is_blackhole = True
        self.silence()

    def mend(self) -> None:
        """Let new connections work again; silent ones stay silent."""
        self._is_cut = False
        self._is_blackhole = False

    def _do(self, work: Callable[[], None]) -> None:
        done = threading.Event()

        def run() -> None:
            work()
            done.set()

        self._loop.call_soon_threadsafe(run)
        done.wait()

    def _close_all(self) -> None:
        for pair in list(self._pairs):
            for writer in pair.writers:
                writer.transport.abort()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server: Any = asyncio.start_server(self._forward, "127.0.0.1", self.listen)
        self._loop.run_until_complete(server)
        self._started.set()
        self._loop.run_forever()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._is_cut:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair((writer, far_writer), self._is_blackhole)
        self._pairs.add(pair)
        await asyncio.gather(
            _pump(reader, far_writer, pair), _pump(far_reader, writer, pair), return_exceptions=True
        )
        self._pairs.discard(pair)


async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pair: _Pair) -> None:
    with contextlib.suppress(OSError):
        while chunk := await reader.read(CHUNK_BYTES):
            while pair.is_silent:
                await asyncio.sleep(0.05)
            writer.write(chunk)
            await writer.drain()
    writer.close()
