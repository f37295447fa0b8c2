"""Waiting for the first good answer among several attempts of one call."""

import asyncio

from expression import Error, Result

from kingcuppond.outcomes import Failure, Unknown
from kingcuppond.routing.call import Answer

AttemptTask = asyncio.Task[Result[Answer, Failure]]


async def first_answer(tasks: set[AttemptTask]) -> Result[Answer, Failure]:
    """Return the first answer; if there is none, the worst failure: unknown before not run."""
    failures: list[Failure] = []
    pending = set(tasks)
    try:
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if task.result().is_ok():
                    tasks.discard(task)
                    return task.result()
                failures.append(task.result().error)
    finally:
        await discard(tasks)
    return Error(next((f for f in failures if isinstance(f, Unknown)), failures[0]))


async def discard(tasks: set[AttemptTask]) -> None:
    """Cancel the attempts that lost, and close the answers that came after all."""
    for task in tasks:
        task.cancel()
    for ended in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(ended, Result) and ended.is_ok():
            await ended.ok.close()
