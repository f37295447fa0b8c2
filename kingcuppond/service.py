"""A loop that runs as long as the daemon, as a ``mode`` service.

A loop that fails is logged and started again after a pause: one fault in one duty must not end the
others.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from mode import Service

from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal

RESTART_SECONDS: Final = 0.5

Loop = Callable[[], Coroutine[Any, Any, None]]


class LoopService(Service):
    """Runs one loop.

    :param name: for the log
    :param loop_: the loop; it ends only by cancellation
    """

    def __init__(self, name: str, loop_: Loop, journal: Journal) -> None:
        super().__init__()
        self._name = name
        self._loop_function = loop_
        self._journal = journal

    @Service.task
    async def _run_loop(self) -> None:
        while not self.should_stop:
            try:
                await self._loop_function()
            except Exception as exc:
                self._journal.record(catalogue.TASK_FAILED, task=self._name, error=repr(exc))
                await asyncio.sleep(RESTART_SECONDS)
