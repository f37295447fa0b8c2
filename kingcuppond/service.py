"""A ``mode`` service that runs a background loop for the lifetime of the daemon.

A failure of the loop is logged, and the loop restarts after a delay: a fault in one background task
must not stop the others.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from mode import Service

from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal

RESTART_DELAY_SECONDS: Final = 0.5

LoopFunction = Callable[[], Coroutine[Any, Any, None]]


class LoopService(Service):
    """Runs one background loop and restarts it after a failure.

    :param name: name of the task in the log
    :param loop_function: the loop; it must return only when it is cancelled
    """

    def __init__(self, name: str, loop_function: LoopFunction, journal: Journal) -> None:
        super().__init__()
        self._name = name
        self._loop_function = loop_function
        self._journal = journal

    @Service.task
    async def _run_loop(self) -> None:
        while not self.should_stop:
            try:
                await self._loop_function()
            except Exception as exc:
                self._journal.record(catalogue.TASK_FAILED, task=self._name, error=repr(exc))
                await asyncio.sleep(RESTART_DELAY_SECONDS)
