"""Runs a case and turns its result into an exit code."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from review.rig2.fleet import Fleet

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
MAX_SECONDS = 110.0

Case = Callable[[Fleet, bool], Awaitable[list[str]]]
"""Plays a case with or without its disruption, and returns each break of the rule."""


def main(
    fleet: Fleet, case: Case, folder: Path, before: Sequence[Callable[[], Awaitable[None]]] = ()
) -> None:
    """Play a case, write ``record.txt``, and exit with 1 if the rule was broken, 0 if it held.

    :param before: starts what must run before the fleet
    """
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(EXIT_NOT_RUN))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play() -> list[str]:
        # The stand-ins' tasks are cancelled at the end, in the middle of what they do.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        async with asyncio.timeout(MAX_SECONDS):
            for start in before:
                await start()
            await fleet.start()
            return await case(fleet, has_trouble)

    try:
        breaks = asyncio.run(play())
    except BaseException:
        traceback.print_exc()
        fleet.note("the case could not run:")
        fleet.record += traceback.format_exc().splitlines()
        code = EXIT_NOT_RUN
    else:
        fleet.record += ["", f"breaks of the rule: {len(breaks)}", *breaks]
        code = EXIT_BROKEN if breaks else EXIT_HELD
        print(f"{'with' if has_trouble else 'without'} the disruption: {len(breaks)} breaks")
        print("\n".join(breaks[:5]))
    finally:
        fleet.stop()
    fleet.write_record(folder / "record.txt")
    sys.stdout.flush()
    os._exit(code)
