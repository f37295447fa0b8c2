"""Concurrent tasks: one of each key at a time, and attempts that start one after another."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any


def start_once(
    tasks_by_key: dict[str, asyncio.Task[None]],
    key: str,
    work: Callable[[], Coroutine[Any, Any, None]],
) -> None:
    """Start a task, unless one of the same key still runs."""
    if key not in tasks_by_key:
        task = tasks_by_key[key] = asyncio.create_task(work())
        task.add_done_callback(lambda _: tasks_by_key.pop(key, None))


async def first_to_succeed(
    addresses: Sequence[str], attempt: Callable[[str], Awaitable[bool]], delay_seconds: float
) -> str | None:
    """Try the addresses in order, and return the first one whose attempt succeeds.

    The next attempt starts when one failed, or after a delay, so that an address that does not
    answer costs only the delay.  After a success the other attempts are cancelled.

    :param attempt: tries an address and returns whether that succeeded
    :param delay_seconds: time between the starts of two attempts
    """
    untried = list(addresses)
    addresses_by_task: dict[asyncio.Future[bool], str] = {}
    try:
        while untried or addresses_by_task:
            if untried:
                address = untried.pop(0)
                addresses_by_task[asyncio.ensure_future(attempt(address))] = address
            done, _ = await asyncio.wait(
                addresses_by_task,
                timeout=delay_seconds if untried else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                address = addresses_by_task.pop(task)
                if task.result():
                    return address
    finally:
        for task in addresses_by_task:
            task.cancel()
    return None
