"""Races several attempts of one call and returns the first answer."""

import asyncio

from expression import Error, Result

from kingcuppond.outcomes import Failure, Unknown
from kingcuppond.routing.call import Answer

AttemptTask = asyncio.Task[Result[Answer, Failure]]


async def first_answer(tasks: set[AttemptTask]) -> Result[Answer, Failure]:
    """Return the first answer and cancel the other attempts.

    If all attempts fail, an ``Unknown`` failure takes precedence over a ``NotRun`` one, because the
    call may have run.
    """
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
        await cancel_attempts(tasks)
    return Error(next((f for f in failures if isinstance(f, Unknown)), failures[0]))


async def cancel_attempts(tasks: set[AttemptTask]) -> None:
    """Cancel attempts, and close the answers of those that had already completed."""
    for task in tasks:
        task.cancel()
    for settled in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(settled, Result) and settled.is_ok():
            await settled.ok.close()
