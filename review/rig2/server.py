"""Stand-in of a server: it runs requests, sends heartbeats and answers its health path."""

import asyncio
import contextlib
import json
import time

import attrs

from review.rig2.http import LIMIT_BYTES, Head, call, read_body, read_head

BEAT_SECONDS = 1.5
SLOTS = 6


@attrs.frozen
class Run:
    """One request that a server began to run, at a monotonic time in seconds."""

    at: float
    server: str
    attempt_id: str
    line: str
    head: Head
    body: bytes


@attrs.define(eq=False)
class Server:
    """A server beside a daemon.

    :param control: where its daemon takes heartbeats
    :param runs: all requests that were run, of all servers of the script
    :param answer_bytes: least length of an answer
    :param work_seconds: how long it works on a request
    """

    name: str
    zone: str
    service: str
    address: str
    control: str
    runs: list[Run]
    answer_bytes: int
    work_seconds: float
    state: str = "ready"
    is_beating: bool = True
    running: int = 0
    born_ms: int = 0
    _sequence: int = 0
    _listening: asyncio.Server | None = None
    _beating: asyncio.Task[None] | None = None
    _writers: list[asyncio.StreamWriter] = attrs.field(factory=list)

    @property
    def instance(self) -> str:
        """Id of the server; it starts again under the id that it had."""
        return f"i-{self.name}"

    async def start(self, clock_ahead_ms: int = 0) -> None:
        """Listen and send heartbeats, as a new process that knows nothing of before.

        :param clock_ahead_ms: how far the machine's time of day is ahead at this moment
        """
        self.born_ms = int(time.time() * 1000) + clock_ahead_ms
        self._sequence = self.running = 0
        host, _, port = self.address.rpartition(":")
        self._listening = await asyncio.start_server(
            self._serve, host, int(port), limit=LIMIT_BYTES
        )
        self._beating = asyncio.create_task(self._send_heartbeats())

    async def crash(self) -> None:
        """End without a word: nothing listens any more, and open connections are reset."""
        assert self._listening is not None and self._beating is not None
        self._beating.cancel()
        self._listening.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def beat(self) -> int:
        """Send one heartbeat and return the status of its answer."""
        self._sequence += 1
        heartbeat = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": SLOTS,
            "State": self.state,
            "ColdRemaining": "0ms",
            "Sequence": self._sequence,
            "born": self.born_ms,
        }
        answer = await call(self.control, "PUT", f"/instances/{self.instance}", heartbeat)
        return answer.status

    async def _send_heartbeats(self) -> None:
        while True:
            status = await self.beat() if self.is_beating else 200
            await asyncio.sleep(BEAT_SECONDS if status == 200 else 0.2)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                await self._answer(await read_head(reader), reader, writer)
        writer.close()

    async def _answer(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        load = f"X-Kingcuppond-Server-Load: {self.running},0,{SLOTS}\r\n"
        identity = f"X-Kingcuppond-Instance-Id: {self.instance}\r\n"
        if head.line.split()[1] == "/health":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\n{identity}{load}Content-Length: 0\r\n\r\n".encode())
            return
        attempt_id = head.get("X-Kingcuppond-Attempt-Id")
        echo = f"X-Kingcuppond-Attempt-Id: {attempt_id}\r\n"
        body = await read_body(reader, head)
        if head.get("X-Kingcuppond-Target-Instance") not in ("", self.instance):
            refusal = f"HTTP/1.1 421 Misdirected Request\r\n{echo}{identity}Content-Length: 0\r\n"
            writer.write(f"{refusal}\r\n".encode())
            return
        self.runs.append(Run(time.monotonic(), self.name, attempt_id, head.line, head, body))
        self.running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self.running -= 1
        content = json.dumps({"id": attempt_id, "server": self.name, "service": self.service})
        content = content.ljust(self.answer_bytes)
        seal = f"X-Kingcuppond-Server-Seal: seal-{self.name}\r\n"
        answer = f"HTTP/1.1 200 OK\r\n{echo}{seal}{load}Content-Length: {len(content)}\r\n\r\n"
        writer.write(answer.encode() + content.encode())
        await writer.drain()
