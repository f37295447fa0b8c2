"""Stand-in of an application server, written from the platform's pages.

It registers with the daemon beside it, serves one request at a time on a connection, works on as
many as it has slots and queues a few more.  Each request that it begins to work on is one line of
JSON in the runs file.  The last segment of the path is the work in milliseconds; ``endless`` is
answered without end while the switch file exists, ``crash`` ends the process.
``?bytes=`` sets the least size of the answer.  SIGUSR1 makes the
server cold again; it then says so in its health answers and in the next heartbeat.
"""

import argparse
import asyncio
import contextlib
import json
import os
import signal
import time
from collections import deque
from pathlib import Path
from typing import Any

HEARTBEAT_SECONDS = 1.5
QUEUE_PER_SLOT = 2
COLD_START_SECONDS = 3.0
PIECE = b"10000\r\n" + b"x" * 65_536 + b"\r\n"


class Server:
    """State of one server.

    :param options: its identity and the files that it uses
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.born = int(time.time() * 1000)
        self.id = f"i-{options.name}-{self.born}"
        self.slots = asyncio.Semaphore(options.slots)
        self.running = 0
        self.sequence = 0
        self.cold_until = 0.0
        self.cold_arrivals: deque[float] = deque()
        self.runs = Path(options.runs).open("a", buffering=1)  # noqa: SIM115
        self.switch = Path(options.switch)

    def load(self) -> str:
        """Return running, waiting and slots, as the header tells them."""
        slots = self.options.slots
        return f"{min(self.running, slots)},{max(0, self.running - slots)},{slots},100"

    def cold_ms(self) -> int:
        """Return for how many more milliseconds the server is cold."""
        return max(0, int((self.cold_until - time.time()) * 1000))

    def turn_cold(self) -> None:
        """Become cold again for some time, without a restart."""
        self.cold_until = time.time() + COLD_START_SECONDS
        self.record("turned cold", {}, "", 0)

    def count_cold_arrival(self) -> None:
        """Crash if far more requests arrive in a second than a cold server bears."""
        if not self.cold_ms():
            self.cold_arrivals.clear()
            return
        now = time.time()
        self.cold_arrivals.append(now)
        while self.cold_arrivals[0] < now - 1.0:
            self.cold_arrivals.popleft()
        if len(self.cold_arrivals) > self.options.cold_crash:
            self.record("crashed", {}, "", len(self.cold_arrivals))
            os._exit(1)

    def record(self, what: str, head: dict[str, str], target: str, size: int) -> None:
        """Write one line to the runs file."""
        line = {
            "at": time.time(),
            "what": what,
            "id": head.get("x-kingcuppond-attempt-id", ""),
            "server": self.options.name,
            "target": target,
            "caller": head.get("x-kingcuppond-caller-service", ""),
            "left_ms": head.get("x-kingcuppond-deadline-ms", ""),
            "size": size,
        }
        self.runs.write(json.dumps(line) + "\n")

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one after the other."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while await self.serve_one(reader, writer):
                pass
        with contextlib.suppress(OSError):
            writer.close()

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve one request; return whether the connection stays open."""
        raw = await reader.readuntil(b"\r\n\r\n")
        lines = raw.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        pairs = (line.partition(":") for line in lines[1:] if line)
        head = {name.lower(): value.strip() for name, _, value in pairs}
        body = await read_body(reader, head)
        keeps = head.get("connection", "").lower() != "close"
        if target == "/health":
            extra = f"X-Kingcuppond-Instance-Id: {self.id}\r\n"
            extra += f"X-Kingcuppond-Server-Load: {self.load()}\r\n"
            if self.cold_ms():
                extra += f"X-Kingcuppond-Cold-Ms: {self.cold_ms()}\r\n"
            answer(writer, "200 OK", extra, b"")
            await writer.drain()
            return keeps
        await self.run(method, target, head, body, writer)
        return keeps

    async def run(
        self,
        _method: str,
        target: str,
        head: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Work on a request, unless it is for another server or the queue is full."""
        own_id = f"X-Kingcuppond-Attempt-Id: {head.get('x-kingcuppond-attempt-id', '')}\r\n"
        if head.get("x-kingcuppond-target-instance", self.id) != self.id:
            extra = f"X-Kingcuppond-Instance-Id: {self.id}\r\n" + own_id
            answer(writer, "421 Misdirected Request", extra, b"")
            await writer.drain()
            return
        self.count_cold_arrival()
        if self.cold_ms():
            self.record("arrived cold", head, target, len(body))
        if self.running >= self.options.slots * (1 + QUEUE_PER_SLOT):
            extra = "X-Kingcuppond-Not-Executed: 1\r\n" + own_id
            answer(writer, "503 Service Unavailable", extra, b"")
            await writer.drain()
            return
        self.running += 1
        try:
            async with self.slots:
                if writer.transport.is_closing():
                    return
                self.record("run", head, target, len(body))
                last = target.partition("?")[0].rpartition("/")[2]
                extra = own_id + "X-Kingcuppond-Server-Seal: seal\r\n"
                extra += f"X-Kingcuppond-Server-Load: {self.load()}\r\n"
                if last == "crash":
                    os._exit(1)
                if last == "endless":
                    await asyncio.sleep(0.02)
                    if self.switch.exists():
                        await self.answer_without_end(head, target, extra, writer)
                        return
                else:
                    await asyncio.sleep(float(last) / 1000)
                size = int(target.partition("?bytes=")[2] or 0)
                text = json.dumps({"target": target}).encode()
                answer(writer, "200 OK", extra, text.ljust(size, b"."))
                await writer.drain()
        finally:
            self.running -= 1

    async def answer_without_end(
        self, head: dict[str, str], target: str, extra: str, writer: asyncio.StreamWriter
    ) -> None:
        """Send a body in chunks until the caller closes the connection."""
        started = time.time()
        sent = 0
        writer.write(f"HTTP/1.1 200 OK\r\n{extra}Transfer-Encoding: chunked\r\n\r\n".encode())
        try:
            while True:
                writer.write(PIECE)
                await writer.drain()
                sent += 1
        finally:
            self.record(f"ended after {time.time() - started:.2f} s", head, target, sent * 65_536)

    async def announce(self) -> None:
        """Send heartbeats for as long as the process runs."""
        while True:
            self.sequence += 1
            body = json.dumps(
                {
                    "Service": self.options.service,
                    "Address": self.options.address,
                    "Zone": self.options.zone,
                    "Version": "v1",
                    "Slots": self.options.slots,
                    "State": "ready",
                    "ColdRemaining": f"{self.cold_ms()}ms",
                    "Sequence": self.sequence,
                    "born": self.born,
                }
            ).encode()
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1):
                    await self.send_heartbeat(body)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def send_heartbeat(self, body: bytes) -> None:
        """Send one heartbeat and read the acknowledgement."""
        host, _, port = self.options.control.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        request = f"PUT /instances/{self.id} HTTP/1.1\r\nHost: {self.options.control}\r\n"
        request += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        writer.write(request.encode() + b"Connection: close\r\n\r\n" + body)
        await reader.read()
        writer.close()


async def read_body(reader: asyncio.StreamReader, head: dict[str, str]) -> bytes:
    """Read a request's body, sent with a length or in chunks."""
    if head.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(head.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


def answer(writer: asyncio.StreamWriter, status: str, extra: str, body: bytes) -> None:
    """Write an answer with a length."""
    head = f"HTTP/1.1 {status}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)


async def main(options: argparse.Namespace) -> None:
    """Serve until the process is ended."""
    server: Any = Server(options)
    host, _, port = options.address.rpartition(":")
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, server.turn_cold)
    await asyncio.start_server(server.connected, host, int(port), backlog=256)
    await server.announce()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    for name in ("name", "service", "zone", "address", "control", "runs", "switch"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--cold-crash", type=int, default=1_000_000)
    asyncio.run(main(parser.parse_args()))
