"""Races several attempts of one call and returns the first answer.

An attempt runs in a task of its own.  Its answer holds resources, such as a slot of the gate, until
it is closed.  A caller may leave in the moment between the end of such a task and the continuation
of the one that waits for it; nobody takes the answer then, so that it is closed here.
"""

import asyncio
from collections.abc import Iterable

from expression import Error, Result

from kingcuppond.outcomes import Failure, Unknown
from kingcuppond.routing.call import Answer

AttemptTask = asyncio.Task[Result[Answer, Failure]]

# The event loop keeps no reference to its tasks.
_closing: set[asyncio.Future[None]] = set()


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
        cancel_attempts(tasks)
    return Error(next((f for f in failures if isinstance(f, Unknown)), failures[0]))


def cancel_attempts(tasks: Iterable[AttemptTask]) -> None:
    """Cancel attempts, and close the answers of those that complete or have completed."""
    for task in tasks:
        task.cancel()
        close_when_done(task)


def close_when_done(task: AttemptTask) -> None:
    """Close the answer that a task returns or has returned, if any; nobody else takes it."""
    task.add_done_callback(_close_answer)


def _close_answer(task: AttemptTask) -> None:
    if task.cancelled() or task.exception() is not None or task.result().is_error():
        return
    closing = asyncio.ensure_future(task.result().ok.close())
    _closing.add(closing)
    closing.add_done_callback(_closing.discard)
