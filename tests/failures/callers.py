"""Callers for the failure tests: single requests, and a steady load whose every answer is
checked."""

import asyncio
import time
from collections.abc import Sequence
from random import Random
from typing import Any

import aiohttp
import attrs


@attrs.frozen
class Reply:
    """What a caller got.

    :param status: 0 if the connection broke
    """

    status: int
    outcome: str
    body: Any
    sent_at: float
    seconds: float

    @property
    def is_own(self) -> bool:
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
    """Send one request on a connection of its own, or on one of a session."""
    headers = {"X-Id": request_id or key}
    if key:
        headers["Idempotency-Key"] = key
    if deadline_ms:
        headers["Kingcuppond-Deadline-Ms"] = str(deadline_ms)
    if retry_budget is not None:
        headers["Kingcuppond-Retry-Budget"] = str(retry_budget)
    own = session or aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=40))
    own._retry_connection = False
    started = time.monotonic()
    try:
        async with own.request(
            method, f"http://{address}{path}", headers=headers, data=body
        ) as answer:
            content: Any = await answer.read()
            if "json" in answer.content_type:
                content = await answer.json(content_type=None)
            outcome = answer.headers.get("Kingcuppond-Outcome", "")
            status = answer.status
    except (aiohttp.ClientError, OSError) as exc:
        status, outcome, content = 0, "", repr(exc)
    finally:
        if session is None:
            await own.close()
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
    """Send requests at a steady rate, whatever the answers do; return the replies by request."""
    rng = Random(1)
    replies: dict[str, Reply] = {}
    started = time.monotonic()

    async def one(session: aiohttp.ClientSession, name: str) -> None:
        replies[name] = await send(
            rng.choice(addresses),
            path,
            name,
            name if is_keyed else "",
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
            group.create_task(one(session, f"{prefix}-{i}"))
    return replies


def not_own(replies: dict[str, Reply]) -> dict[str, Reply]:
    """Return the replies that are not the whole answer to their own request."""
    return {
        name: reply
        for name, reply in replies.items()
        if not reply.is_own or reply.body.get("id") != name
    }
