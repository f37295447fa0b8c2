"""Clients for the failure tests: single requests, and a load at a constant rate."""

import asyncio
import time
from collections.abc import Sequence
from random import Random
from typing import Any

import aiohttp
import attrs


@attrs.frozen
class Reply:
    """The answer that a caller received.

    :param status: HTTP status, or 0 if the connection broke
    :param outcome: value of the ``Kingcuppond-Outcome`` header, or empty
    :param body: parsed JSON, other content as bytes, or a description of the connection error
    :param sent_at: monotonic time in seconds
    :param seconds: time until the whole answer was read or the connection broke
    """

    status: int
    outcome: str
    body: Any
    sent_at: float
    seconds: float

    @property
    def is_success(self) -> bool:
        return self.status == 200 and self.outcome == "answered"


async def send(
    address: str,
    path: str,
    request_id: str = "",
    key: str = "",
    method: str = "GET",
    body: Any = None,
    deadline_ms: int = 0,
    session: aiohttp.ClientSession | None = None,
    retry_budget: int | None = None,
) -> Reply:
    """Send one request, over a new connection unless a session is given.

    :param key: idempotency key, or empty for none
    :param deadline_ms: 0 for no deadline header
    :param retry_budget: None for no retry budget header
    """
    headers = {"X-Id": request_id or key}
    if key:
        headers["Idempotency-Key"] = key
    if deadline_ms:
        headers["Kingcuppond-Deadline-Ms"] = str(deadline_ms)
    if retry_budget is not None:
        headers["Kingcuppond-Retry-Budget"] = str(retry_budget)
    client = session or aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=40))
    client._retry_connection = False
    started = time.monotonic()
    try:
        async with client.request(
            method, f"http://{address}{path}", headers=headers, data=body
        ) as response:
            content: Any = await response.read()
            if "json" in response.content_type:
                content = await response.json(content_type=None)
            outcome = response.headers.get("Kingcuppond-Outcome", "")
            status = response.status
    except (aiohttp.ClientError, OSError) as exc:
        status, outcome, content = 0, "", repr(exc)
    finally:
        if session is None:
            await client.close()
    return Reply(status, outcome, content, started, time.monotonic() - started)


async def send_steadily(
    addresses: Sequence[str],
    path: str,
    per_second: float,
    seconds: float,
    method: str = "GET",
    prefix: str = "load",
    is_keyed: bool = False,
    deadline_ms: int = 0,
) -> dict[str, Reply]:
    """Send requests at a constant rate, however slow the answers are.

    :param prefix: start of the request ids
    :param is_keyed: send each request id as idempotency key, too
    :return: replies by request id
    """
    rng = Random(1)
    replies: dict[str, Reply] = {}
    started = time.monotonic()

    async def send_one(session: aiohttp.ClientSession, request_id: str) -> None:
        replies[request_id] = await send(
            rng.choice(addresses),
            path,
            request_id,
            request_id if is_keyed else "",
            method,
            session=session,
            deadline_ms=deadline_ms,
        )

    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=40)
    async with (
        aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
        asyncio.TaskGroup() as group,
    ):
        for i in range(int(per_second * seconds)):
            await asyncio.sleep(max(0.0, started + i / per_second - time.monotonic()))
            group.create_task(send_one(session, f"{prefix}-{i}"))
    return replies


def failed_or_mismatched(replies: dict[str, Reply]) -> dict[str, Reply]:
    """Return the replies that are not a complete, successful answer to their own request."""
    return {
        request_id: reply
        for request_id, reply in replies.items()
        if not reply.is_success or reply.body.get("id") != request_id
    }
