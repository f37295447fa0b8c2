"""Taking up a changed settings file while the daemon runs.

A signal tells of a change; the file is also looked at now and then, since it may change without
one.  A file that is wrong changes nothing, and the log says why.
"""

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING, Final

import attrs
from absl import logging

from kingcuppond.events import catalogue
from kingcuppond.events.log import LEVELS_BY_NAME
from kingcuppond.settings.daemon import DaemonSettings, load

if TYPE_CHECKING:
    from kingcuppond.daemon import Daemon

LOOK_SECONDS: Final = 1.0

FIXED_KEYS: Final = frozenset(
    {
        *("vm", "data_centre", "protocol", "caller_address", "relay_address", "peer_address"),
        *("server_address", "ready_address", "metrics_address", "platform_address"),
        "fleet_key_file",
    }
)
"""Keys that take effect only at a start; the file may change them, and the log says that it did."""


async def reload_forever(path: Path, daemon: "Daemon", changed: asyncio.Event) -> None:
    """Take up the settings whenever they change.

    :param changed: set by a signal
    """
    seen = _stat(path)
    while True:
        try:
            async with asyncio.timeout(LOOK_SECONDS):
                await changed.wait()
        except TimeoutError:
            if _stat(path) == seen:
                continue
        changed.clear()
        seen = _stat(path)
        take_file(path, daemon)


def take_file(path: Path, daemon: "Daemon") -> None:
    """Read the settings and take up what differs."""
    loaded = load(path)
    if loaded.is_error():
        daemon.journal.record(catalogue.SETTINGS_REFUSED, error=str(loaded.error))
        return
    new = loaded.ok[0]
    names = [field.name for field in attrs.fields(DaemonSettings)]
    differing = [name for name in names if getattr(new, name) != getattr(daemon.settings, name)]
    kept = {name: getattr(daemon.settings, name) for name in FIXED_KEYS}
    daemon.take_settings(attrs.evolve(new, **kept))
    logging.set_verbosity(LEVELS_BY_NAME[new.log_level])
    what = ", ".join(
        f"{name} (at the next start)" if name in FIXED_KEYS else name for name in differing
    )
    daemon.journal.record(catalogue.SETTINGS_TAKEN, what=what or "nothing differs")


def _stat(path: Path) -> tuple[int, int, int] | None:
    try:
        found = path.stat()
    except OSError:
        # A file that is being replaced is absent for a moment.
        return None
    return found.st_ino, found.st_mtime_ns, found.st_size
