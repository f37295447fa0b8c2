"""Clients leave while their long uploads wait for a server."""

import asyncio
import contextlib
import socket
import sys
import time
from collections import Counter
from pathlib import Path

from review.rig.deployment import (
    HOST,
    Deployment,
    Reply,
    check_is_serving,
    has_trouble,
    make_config,
    route,
    run_case,
    send,
)

SERVICE = "yard-gallery"
SERVERS = 3
UPLOAD_BYTES = 400_000
WORK_MS = 900
BURSTS = 20
BURST_EVERY_S = 2.5
UPLOADS_PER_BURST = 30
LEAVING_SHARE = 0.3
LEAVE_AFTER_S = 0.3
"""Half of the latency target."""

LATE_S = 0.5
FEW = 5
FIN_WAIT_1 = 4
"""State of a TCP connection whose close the other end has not acknowledged yet."""


class Upload:
    """One client attempt.

    :ivar left_at: time at which the close of a client that left had reached the other end
    """

    def __init__(self, attempt_id: str, is_leaving: bool) -> None:
        self.attempt_id, self.is_leaving = attempt_id, is_leaving
        self.left_at: float | None = None
        self.reply = Reply(attempt_id)


def play(case: Path) -> bool:
    """Return whether the rule was broken."""
    with Deployment(case, [SERVICE] * SERVERS) as running:
        routes = [route("upload", "/photos/", "upload", SERVICE)]
        running.start(make_config(1, [SERVICE], routes))
        uploads = asyncio.run(send_all(running))
        ran_at = {line["id"]: line["at"] for line in running.runs() if line["what"] == "run"}
        late = 0
        for upload in uploads:
            if upload.left_at is None:
                continue
            at = ran_at.get(upload.attempt_id)
            after = None if at is None else at - upload.left_at
            late += after is not None and after > LATE_S
            what = "never ran" if after is None else f"ran {after:+.3f} s after"
            running.record(f"{upload.attempt_id}: its client left, it {what}")
        running.record_requests([it.reply for it in uploads])
        check_is_serving([it.reply for it in uploads if not it.is_leaving])
        counts = Counter(it.reply.status for it in uploads)
        running.record(f"{len(uploads)} uploads, answers by status: {dict(counts)}")
        running.record(
            f"clients that left: {sum(it.left_at is not None for it in uploads)}, requests that "
            f"reached a server over {LATE_S} s later: {late}"
        )
        return late > FEW


async def send_all(running: Deployment) -> list[Upload]:
    """Send bursts of uploads; a share of the clients leave early."""
    uploads: list[Upload] = []
    tasks = []
    for burst in range(BURSTS):
        for index in range(UPLOADS_PER_BURST):
            is_leaving = has_trouble() and index % 10 < LEAVING_SHARE * 10
            upload = Upload(f"u{burst}-{index}", is_leaving)
            uploads.append(upload)
            address = running.vms[index % SERVERS].callers
            tasks.append(asyncio.create_task(send_one(address, upload)))
        await asyncio.sleep(BURST_EVERY_S)
    await asyncio.gather(*tasks)
    return uploads


async def send_one(address: str, upload: Upload) -> None:
    """Send one upload and wait for its answer, or leave."""
    if not upload.is_leaving:
        path = f"/photos/{upload.attempt_id}/{WORK_MS}"
        body = bytes(UPLOAD_BYTES)
        upload.reply = await send(address, upload.attempt_id, path, method="POST", body=body)
        return
    loop = asyncio.get_running_loop()
    upload.reply.sent_at = time.time()
    with socket.socket() as sock:
        sock.setblocking(False)
        host, _, port = address.rpartition(":")
        await loop.sock_connect(sock, (host, int(port)))
        request = f"POST /photos/{upload.attempt_id}/{WORK_MS} HTTP/1.1\r\nHost: {HOST}\r\n"
        request += f"X-Kingcuppond-Attempt-Id: {upload.attempt_id}\r\n"
        request += f"X-Kingcuppond-Deadline-Ms: 4000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
        sending = asyncio.create_task(
            loop.sock_sendall(sock, request.encode() + bytes(UPLOAD_BYTES))
        )
        await asyncio.sleep(LEAVE_AFTER_S)
        if not sending.done():
            sending.cancel()
            return
        with contextlib.suppress(BlockingIOError, ConnectionError):
            if sock.recv(1):
                return
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
            upload.reply.end = "the client left"
            upload.reply.ended = time.time() - upload.reply.sent_at
            upload.left_at = await wait_until_received(sock)


async def wait_until_received(sock: socket.socket) -> float | None:
    """Return when the other end's kernel had received the close, ``None`` if it takes too long."""
    end = time.time() + 4.0
    while time.time() < end:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        if state != FIN_WAIT_1:
            return time.time()
        await asyncio.sleep(0.005)
    return None


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
