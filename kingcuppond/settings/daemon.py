"""The settings of one daemon.

A daemon learns from its file only who it is and where the platform is.  Classes of work, states of
data centres and the measuring budget are in the platform's store and never here.
"""

from pathlib import Path
from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.settings.checks import check_address, check_name, one_of
from kingcuppond.settings.jsonc import FileError, read_file

DEFAULT_LOG_LEVEL: Final = "info"
FLEET_KEY_BYTES: Final = 32


@attrs.frozen
class DaemonSettings:
    """One attribute for each key of the settings file."""

    vm: str = attrs.field(validator=check_name)
    """Name of the VM, unique in the fleet."""

    data_centre: str = attrs.field(validator=check_name)
    """Data centre that the VM stands in."""

    service: str = attrs.field(validator=check_name)
    """Service of the server beside this daemon."""

    caller_address: str = attrs.field(validator=check_address)
    """IP number and port for callers and for calls from other daemons."""

    peer_address: str = attrs.field(validator=check_address)
    """IP number and port for control messages from other daemons."""

    server_address: str = attrs.field(validator=check_address)
    """IP number and port where the server announces itself."""

    metrics_address: str = attrs.field(validator=check_address)
    """IP number and port for metrics and for operators' reads."""

    platform_address: str = attrs.field(validator=check_address)
    """IP number and port of the platform's store."""

    fleet_key_file: str
    """File with the fleet's key: 64 hexadecimal digits."""

    log_level: str = attrs.field(
        default=DEFAULT_LOG_LEVEL, validator=one_of("debug", "info", "warning", "error")
    )
    """Lowest level of events that are logged."""


@attrs.frozen
class OperatorSettings:
    """What an operator's command needs: where the platform is."""

    platform_address: str = attrs.field(validator=check_address)
    """IP number and port of the platform's store."""


def read_fleet_key(settings: DaemonSettings, base: Path) -> Result[bytes, FileError]:
    """Read the fleet's key.

    :param settings: the daemon's settings
    :param base: the folder that a relative file name starts from
    :return: 32 bytes, or why the file is refused
    """
    path = base / settings.fleet_key_file
    try:
        key = bytes.fromhex(path.read_text().strip())
    except OSError as exc:
        return Error(FileError(str(path), None, f"fleet key cannot be read: {exc.strerror}"))
    except ValueError:
        key = b""
    if len(key) != FLEET_KEY_BYTES:
        return Error(FileError(str(path), 1, "the fleet's key is 64 hexadecimal digits"))
    return Ok(key)


def load(path: Path) -> Result[tuple[DaemonSettings, bytes], FileError]:
    """Read a daemon's settings together with the fleet's key."""
    read = read_file(path, DaemonSettings)
    if read.is_error():
        return Error(read.error)
    key = read_fleet_key(read.ok, path.parent)
    return key.map(lambda value: (read.ok, value))
