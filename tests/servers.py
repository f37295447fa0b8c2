"""TCP servers whose answers tests write byte by byte."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

ServeConnection = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def listening(serve: ServeConnection) -> AsyncIterator[str]:
    """Serve connections at a free port of this host, and close all of them in the end.

    An error of the server fails the test, unless it is that the client has closed its connection.

    :param serve: serves one connection
    :return: the address
    """
    tasks: set[asyncio.Task[Any]] = set()
    writers: set[asyncio.StreamWriter] = set()

    async def serve_and_close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        writers.add(writer)
        try:
            await serve(reader, writer)
        finally:
            writer.close()

    server = await asyncio.start_server(serve_and_close, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        ends = await asyncio.gather(*tasks, return_exceptions=True)
        for writer in writers:
            writer.transport.abort()
        await server.wait_closed()
        # The transports close their sockets in the next round of the loop.
        await asyncio.sleep(0)
        for end in ends:
            if isinstance(end, Exception) and not isinstance(end, EOFError | OSError):
                raise end
