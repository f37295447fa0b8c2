"""Asks several addresses, some of which may not answer, without waiting for each in turn."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence


async def first_to_succeed(
    addresses: Sequence[str], attempt: Callable[[str], Awaitable[bool]], delay_seconds: float
) -> str | None:
    """Try the addresses in order, and return the first one whose attempt succeeds.

    The next attempt starts when one failed, or after a delay; the others are then cancelled.

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
