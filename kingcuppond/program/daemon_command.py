"""``kingcuppond daemon`` and ``kingcuppond settings check``."""

import asyncio
import gc
import logging as standard_logging
import os
import signal
import sys
from pathlib import Path
from typing import Annotated, Final

import typer
from absl import logging

from kingcuppond import STARTED_AT
from kingcuppond.early_listener import accept_signals
from kingcuppond.events.log import LEVELS_BY_NAME
from kingcuppond.program.output import EXIT_USAGE, error_exit
from kingcuppond.program.reload import reload_forever
from kingcuppond.settings.daemon import DaemonSettings, load

YOUNG_OBJECTS: Final = 10_000
"""New objects between two passes of the garbage collector; a call makes some hundred."""

SettingsFile = Annotated[Path, typer.Option("--settings", help="Settings file of the daemon.")]


def daemon(
    settings: SettingsFile,
    policy: Annotated[str, typer.Option(hidden=True)] = "least-expected",
    hedging: Annotated[bool, typer.Option(hidden=True)] = True,
) -> None:
    """Run the daemon beside a server until it is told to stop.

    SIGTERM drains it: it takes no new work, lets all work in progress end, and exits.

    Example: kingcuppond daemon --settings /etc/kingcuppond/daemon.json
    """
    loaded = load(settings)
    if loaded.is_error():
        raise error_exit(str(loaded.error), EXIT_USAGE)
    checked, key = loaded.ok
    # The service library logs each start and stop under the names of this package's modules.
    standard_logging.getLogger("kingcuppond").setLevel(standard_logging.WARNING)
    logging.set_verbosity(LEVELS_BY_NAME[checked.log_level])
    import uvloop

    error = uvloop.run(_run(settings, checked, key, policy, hedging))
    if error:
        raise error_exit(f"{settings}: {error}", EXIT_USAGE)
    # The interpreter's teardown may outlast the time until the platform kills the process.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


def check(
    file: Annotated[Path, typer.Argument(help="Settings file to check.")],
) -> None:
    """Check a settings file, and the fleet's key that it names.

    Example: kingcuppond settings check /etc/kingcuppond/daemon.json
    """
    loaded = load(file)
    if loaded.is_error():
        raise error_exit(str(loaded.error), EXIT_USAGE)
    print(f"{file}: good; daemon {loaded.ok[0].vm} in {loaded.ok[0].data_centre}")


async def _run(
    path: Path, settings: DaemonSettings, key: bytes, policy: str, is_hedging: bool
) -> str:
    from kingcuppond.daemon import Daemon

    service = Daemon(
        settings, key, policy=policy, is_hedging=is_hedging, process_started_at=STARTED_AT
    )
    bound = await service.bind()
    if bound.is_error():
        await service.on_stop()
        return (
            f"key {bound.error.key!r}: {bound.error.address} can't be used: {bound.error.message}"
        )
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.request_stop)
    reload_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    accept_signals()
    await service.start()
    # What exists now lives as long as the daemon; passes over it would only delay calls.
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS)
    reloading = asyncio.create_task(reload_forever(path, service, reload_requested))
    await service.stop_requested.wait()
    reloading.cancel()
    await service.drain()
    await service.stop()
    return ""
