"""Reloading a changed settings file while the daemon runs.

A signal announces a change.  The file is also polled, since it may change without a signal.  An
invalid file changes nothing, and the reason is logged.
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

POLL_INTERVAL_SECONDS: Final = 1.0

FIXED_KEYS: Final = frozenset(
    {
        *("vm", "data_centre", "protocol", "caller_address", "relay_address", "peer_address"),
        *("server_address", "ready_address", "metrics_address", "platform_address"),
        *("fleet_key_file", "leaves_data_centre", "max_connections", "max_head_bytes"),
        *("max_head_ms", "max_buffered_bytes"),
    }
)
"""Keys that take effect only at a start; a change of one is logged, but not applied."""


async def reload_forever(path: Path, daemon: "Daemon", changed: asyncio.Event) -> None:
    """Apply the settings whenever they change.

    :param changed: set by a signal
    """
    seen = _stat(path)
    while True:
        try:
            async with asyncio.timeout(POLL_INTERVAL_SECONDS):
                await changed.wait()
        except TimeoutError:
            if _stat(path) == seen:
                continue
        changed.clear()
        seen = _stat(path)
        apply_settings_file(path, daemon)


def apply_settings_file(path: Path, daemon: "Daemon") -> None:
    """Read the settings file and apply the keys that may change while the daemon runs."""
    loaded = load(path)
    if loaded.is_error():
        daemon.journal.record(catalogue.SETTINGS_REJECTED, error=str(loaded.error))
        return
    new = loaded.ok[0]
    names = [field.name for field in attrs.fields(DaemonSettings)]
    changed_names = [name for name in names if getattr(new, name) != getattr(daemon.settings, name)]
    fixed_values = {name: getattr(daemon.settings, name) for name in FIXED_KEYS}
    daemon.apply_settings(attrs.evolve(new, **fixed_values))
    logging.set_verbosity(LEVELS_BY_NAME[new.log_level])
    what = ", ".join(
        f"{name} (at the next start)" if name in FIXED_KEYS else name for name in changed_names
    )
    daemon.journal.record(catalogue.SETTINGS_RELOADED, what=what or "no changes")


def _stat(path: Path) -> tuple[int, int, int] | None:
    try:
        found = path.stat()
    except OSError:
        # The file may be missing briefly while it is replaced.
        return None
    return found.st_ino, found.st_mtime_ns, found.st_size
