"""Stands between the machines and the store, so that the store can turn some machines away.

It listens on the address of each machine and passes connections on to the store.  For the machines
that the control file lists, it resets the open connections and answers each new request with 503.
"""

import argparse
import asyncio
import json
from pathlib import Path
from typing import Final

import attrs

POLL_SECONDS: Final = 0.02
REFUSAL: Final = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


@attrs.define
class Front:
    """The store as the machines see it."""

    host: str
    port: int
    control: Path
    refused: set[str] = attrs.field(factory=set)
    writers_by_ip: dict[str, set[asyncio.StreamWriter]] = attrs.field(factory=dict)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of a machine."""
        ip = writer.get_extra_info("sockname")[0]
        if ip in self.refused:
            await self._refuse(reader, writer)
            return
        try:
            store_reader, store_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        writers = self.writers_by_ip.setdefault(ip, set())
        writers |= {writer, store_writer}
        await asyncio.gather(_pump(reader, store_writer), _pump(store_reader, writer))
        writers -= {writer, store_writer}

    async def _refuse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(REFUSAL)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def follow_control(self) -> None:
        """Read the control file forever."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            refused = set(json.loads(self.control.read_text())) if self.control.exists() else set()
            for ip in refused - self.refused:
                for writer in self.writers_by_ip.get(ip, set()):
                    writer.transport.abort()
            self.refused = refused


async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while piece := await reader.read(65536):
            writer.write(piece)
            await writer.drain()
    except OSError:
        pass
    writer.close()


async def main() -> None:
    """Run until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--store", required=True)
    parser.add_argument("--control", required=True)
    parser.add_argument("--ips", required=True)
    options = parser.parse_args()
    host, _, port = options.store.rpartition(":")
    front = Front(host, int(port), Path(options.control))
    for ip in options.ips.split(","):
        await asyncio.start_server(front.serve, ip, front.port)
    await front.follow_control()


if __name__ == "__main__":
    asyncio.run(main())
