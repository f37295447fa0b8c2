"""An application server for the cases of the third review; runs as a process of its own.

It keeps to the platform's pages: heartbeats with ``born`` and ``Sequence``, a health path that
answers at once, 421 for another instance, one request at a time on a connection.  It writes a line
of JSON for each request that it begins to run to its log.  While its trouble file exists, it fails
a ``share`` of the requests that it has run with ``status``, as an answer of its own.  Once its
leave file exists, it reports ``draining`` and goes on to serve.  A request with the path and the
caller that the harm file names ends the process as soon as it begins to run.
"""

import argparse
import asyncio
import json
import os
import time
from pathlib import Path
from random import Random

import attrs

HEARTBEAT_SECONDS = 1.5
POLL_SECONDS = 0.05
WORK_SECONDS = 0.02


@attrs.define
class Server:
    """One application server."""

    service: str
    address: str
    control: str
    zone: str
    instance: str
    log: Path
    slots: int = 6
    trouble: Path = Path("/nonexistent")
    leave: Path = Path("/nonexistent")
    harm: Path = Path("/nonexistent")
    is_leaving: bool = False
    rng: Random = attrs.field(factory=Random)
    running: int = 0
    born_ms: int = attrs.field(factory=lambda: int(time.time() * 1000))
    sequence: int = 0

    def record(self, **values: object) -> None:
        """Append a line to the log."""
        with self.log.open("a") as file:
            file.write(json.dumps({"at": round(time.time(), 3), **values}) + "\n")

    async def beat(self) -> None:
        """Send heartbeats forever."""
        while True:
            self.sequence += 1
            body = json.dumps(
                {
                    "Service": self.service,
                    "Address": self.address,
                    "Zone": self.zone,
                    "Version": "v1",
                    "Slots": self.slots,
                    "State": "draining" if self.is_leaving else "ready",
                    "ColdRemaining": "0ms",
                    "Sequence": self.sequence,
                    "born": self.born_ms,
                }
            ).encode()
            try:
                async with asyncio.timeout(1.0):
                    await self._put(body)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.3)
                continue
            if self.is_leaving:
                self.record(acknowledged="draining", server=self.instance)
            await self._wait_for_next_beat()

    async def _wait_for_next_beat(self) -> None:
        for _ in range(int(HEARTBEAT_SECONDS / POLL_SECONDS)):
            await asyncio.sleep(POLL_SECONDS)
            if not self.is_leaving and self.leave.exists():
                self.is_leaving = True
                return

    async def _put(self, body: bytes) -> None:
        host, _, port = self.control.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            f"PUT /instances/{self.instance} HTTP/1.1\r\nHost: {self.control}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        status = await reader.readline()
        writer.close()
        if b" 200" not in status:
            raise OSError(repr(status))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        request_line, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = request_line.split(" ", 2)
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines if line)
        }
        if target == "/health":
            status = b"503 Service Unavailable" if self.is_leaving else b"200 OK"
            writer.write(
                b"HTTP/1.1 "
                + status
                + b"\r\nContent-Length: 0\r\n"
                + f"X-Kingcuppond-Instance-Id: {self.instance}\r\n{self._load()}\r\n".encode()
            )
            return True
        body = await _read_body(reader, headers)
        request_id = headers.get("x-kingcuppond-attempt-id", "")
        wanted = headers.get("x-kingcuppond-target-instance", self.instance)
        if wanted != self.instance:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                + f"X-Kingcuppond-Instance-Id: {self.instance}\r\n\r\n".encode()
            )
            return True
        caller = headers.get("x-kingcuppond-caller-service", "")
        tenant = headers.get("x-kingcuppond-tenant", "")
        self.record(
            id=request_id,
            server=self.instance,
            method=method,
            target=target,
            body=body[:80].decode("latin-1"),
            caller=caller,
            tenant=tenant,
        )
        if self.harm.exists() and json.loads(self.harm.read_text()) == [target, caller]:
            self.record(crashed=self.instance, id=request_id)
            os._exit(1)
        self.running += 1
        try:
            return await self._answer(writer, request_id, tenant)
        finally:
            self.running -= 1

    async def _answer(self, writer: asyncio.StreamWriter, request_id: str, tenant: str) -> bool:
        """Answer a request that has run."""
        await asyncio.sleep(WORK_SECONDS)
        status, content = "200 OK", f"answer to {request_id} {tenant}\n".encode()
        if self.trouble.exists():
            trouble = json.loads(self.trouble.read_text())
            if self.rng.random() < trouble["share"]:
                status, content = trouble["status"], b"the work was begun and failed\n"
        writer.write(
            f"HTTP/1.1 {status}\r\n".encode()
            + f"X-Kingcuppond-Attempt-Id: {request_id}\r\n".encode()
            + f"X-Kingcuppond-Server-Seal: seal-{request_id}\r\n".encode()
            + f"Content-Length: {len(content)}\r\n{self._load()}\r\n".encode()
            + content
        )
        await writer.drain()
        return True

    def _load(self) -> str:
        return f"X-Kingcuppond-Server-Load: {self.running},0,{self.slots},100\r\n"


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()
    return body


async def main() -> None:
    """Run the server until it is killed."""
    parser = argparse.ArgumentParser()
    for name in (
        "service",
        "address",
        "control",
        "zone",
        "instance",
        "log",
        "trouble",
        "leave",
        "harm",
    ):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--born-ms", type=int, default=0)
    options = parser.parse_args()
    server = Server(
        options.service,
        options.address,
        options.control,
        options.zone,
        options.instance,
        Path(options.log),
        trouble=Path(options.trouble),
        leave=Path(options.leave),
        harm=Path(options.harm),
    )
    server.born_ms = options.born_ms or server.born_ms
    host, _, port = options.address.rpartition(":")
    listening = await asyncio.start_server(server.serve, host, int(port), backlog=512)
    async with listening:
        await server.beat()


if __name__ == "__main__":
    asyncio.run(main())
