"""The settings of one daemon.

A daemon's file holds only its identity, the address of the platform and what the platform requires
of it.  Classes of work, states of data centres and the measuring budget are kept in the platform's
store, never here.
"""

from pathlib import Path
from typing import Final, Literal

import attrs
from expression import Error, Ok, Result

from kingcuppond.durations import parse_duration_ms
from kingcuppond.ingress.connection_limits import (
    DEFAULT_MAX_BUFFERED_BYTES,
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_MAX_HEAD_BYTES,
    DEFAULT_MAX_HEAD_MS,
)
from kingcuppond.settings.checks import check_address, check_name, in_range, one_of
from kingcuppond.settings.jsonc import FileError, read_file

DEFAULT_LOG_LEVEL: Final = "info"
DEFAULT_SERVER_SILENT_MS: Final = 2000
DEFAULT_WATCH_WAIT_MS: Final = 1000
DEFAULT_SUSPECT_HOLD_MS: Final = 250
DEFAULT_FLEET_RETRIES: Final = 100.0
DEFAULT_QUOTA_WINDOW: Final = "5s"
DEFAULT_QUOTA_OVER: Final = 0.1
DEFAULT_QUOTA_SLACK: Final = 20.0
MAX_MS: Final = 600_000
FLEET_KEY_BYTES: Final = 32

PROCESS_END_MS: Final = 500
"""Time between the limit of a planned stop and the platform's kill, in which the process ends."""


def _check_optional_address(
    instance: object, attribute: "attrs.Attribute[str]", value: str
) -> None:
    if value:
        check_address(instance, attribute, value)


def _check_addresses(
    instance: object, attribute: "attrs.Attribute[tuple[str, ...]]", value: tuple[str, ...]
) -> None:
    for address in value:
        check_address(instance, attribute, address)


def _check_name(instance: "DaemonSettings", attribute: "attrs.Attribute[str]", value: str) -> None:
    """Allow the names of the protocol: the platform's may have any characters that are printed."""
    if instance.protocol != "platform":
        check_name(instance, attribute, value)
    elif not value or not value.isprintable():
        raise ValueError(f"{attribute.name}: {value!r} must be one or more printable characters")


def _check_duration(_instance: object, attribute: "attrs.Attribute[str]", value: str) -> None:
    try:
        parse_duration_ms(value)
    except ValueError as exc:
        raise ValueError(f"{attribute.name}: {exc}") from exc


def _check_positive_duration(
    instance: object, attribute: "attrs.Attribute[str]", value: str
) -> None:
    _check_duration(instance, attribute, value)
    if not parse_duration_ms(value):
        raise ValueError(f"{attribute.name}: {value} is not longer than 0")


def _check_optional_duration(
    _instance: object, attribute: "attrs.Attribute[str]", value: str
) -> None:
    if not value:
        return
    try:
        milliseconds = parse_duration_ms(value)
    except ValueError as exc:
        raise ValueError(f"{attribute.name}: {exc}") from exc
    if milliseconds <= PROCESS_END_MS:
        raise ValueError(f"{attribute.name}: {value} is not more than {PROCESS_END_MS} ms")


@attrs.frozen
class DaemonSettings:
    """One attribute for each key of the settings file."""

    vm: str = attrs.field(validator=_check_name)
    """Name of the VM, unique in the fleet."""

    data_centre: str = attrs.field(validator=_check_name)
    """Data centre that the VM is in."""

    service: str = attrs.field(validator=_check_name)
    """Service of the server beside this daemon."""

    caller_address: str = attrs.field(validator=check_address)
    """IP address and port for callers."""

    peer_address: str = attrs.field(validator=check_address)
    """IP address and port for control messages from other daemons."""

    server_address: str = attrs.field(validator=check_address)
    """IP address and port where the daemon receives the server's announcements."""

    metrics_address: str = attrs.field(validator=check_address)
    """IP address and port for metrics and for operators' reads."""

    platform_address: str = attrs.field(validator=check_address)
    """IP address and port of the platform's store."""

    protocol: Literal["kingcuppond", "platform"] = "kingcuppond"
    """Protocol of callers, the server and operators: the product's own or the platform's."""

    relay_address: str = attrs.field(default="", validator=_check_optional_address)
    """IP address and port for calls from other daemons; empty: ``caller_address``."""

    ready_address: str = attrs.field(default="", validator=_check_optional_address)
    """IP address and port for the platform's readiness checks; empty: none."""

    application_address: str = attrs.field(default="", validator=_check_optional_address)
    """IP address and port of the server beside this daemon; empty: the announced address."""

    seeds: tuple[str, ...] = attrs.field(default=(), validator=_check_addresses)
    """Addresses of a few other VMs, with any port; their daemons are contacted first."""

    is_first_start: bool = True
    """Whether the whole fleet starts for the first time, so that no daemon has run here before."""

    fleet_key_file: str = ""
    """File with the fleet's key: 64 hexadecimal digits; empty: the network is trusted."""

    server_silent_ms: int = attrs.field(
        default=DEFAULT_SERVER_SILENT_MS, validator=in_range(100, MAX_MS)
    )
    """Time without an announcement after which a server is considered gone."""

    suspect_hold_ms: int = attrs.field(
        default=DEFAULT_SUSPECT_HOLD_MS, validator=in_range(0, MAX_MS)
    )
    """How long the failure of a call that may have taken a server down is withheld."""

    watch_wait_ms: int = attrs.field(default=DEFAULT_WATCH_WAIT_MS, validator=in_range(100, MAX_MS))
    """How long the store may hold a watch without changes."""

    grace_ms: int = attrs.field(default=0, validator=in_range(0, MAX_MS))
    """Time from a planned stop to the exit of the process; 0: until all work has ended."""

    kill_after: str = attrs.field(default="", validator=_check_optional_duration)
    """Time from a planned stop until the platform kills the process, such as ``6s``.

    It goes before ``grace_ms``; empty: ``grace_ms`` counts.
    """

    detour_ms: int = attrs.field(default=0, validator=in_range(0, MAX_MS))
    """How much longer an answer may take in this data centre before another one is preferred."""

    leaves_data_centre: Literal["penalty", "measured"] = "penalty"
    """What decides which calls leave this data centre: ``detour_ms``, or the measured loads."""

    fleet_retries: float = attrs.field(
        default=DEFAULT_FLEET_RETRIES, validator=in_range(0, 1_000_000)
    )
    """Retries that all daemons together may spend on a service beyond a share of its calls."""

    fail_closed: bool = False
    """Whether requests with a key are refused once a removed key could be in use unnoticed.

    If not, a daemon that is cut off from the store and the other daemons goes on with the keys that
    it knows.
    """

    revoke_within: str = attrs.field(default="0ms", validator=_check_duration)
    """Time within which a removed key must be refused, such as ``5s``; for ``fail_closed``."""

    quota_window: str = attrs.field(
        default=DEFAULT_QUOTA_WINDOW, validator=_check_positive_duration
    )
    """Any time as long, in which an organisation's requests must stay within the bound."""

    quota_over: float = attrs.field(default=DEFAULT_QUOTA_OVER, validator=in_range(0, 1_000))
    """Part of an organisation's quota that may run in addition in any window."""

    quota_slack: float = attrs.field(default=DEFAULT_QUOTA_SLACK, validator=in_range(0, 1_000_000))
    """Requests of an organisation that may run in addition in any window."""

    has_rollouts: bool = False
    """Whether operators order roll-outs of new versions of servers through the store."""

    canary_share: float = attrs.field(default=0.1, validator=in_range(0, 1))
    """Largest share of a service's requests that may go to a version that proves bad."""

    canary_slack: float = attrs.field(default=50.0, validator=in_range(0, 1_000_000))
    """Requests that may go to such a version beyond that share."""

    rollback_within: str = attrs.field(default="5s", validator=_check_duration)
    """Time after the fiftieth bad answer within which no more requests may go to a bad version."""

    max_connections: int = attrs.field(
        default=DEFAULT_MAX_CONNECTIONS, validator=in_range(50, 100_000)
    )
    """Most connections that clients and other daemons may have open, on all ports together."""

    max_head_bytes: int = attrs.field(
        default=DEFAULT_MAX_HEAD_BYTES, validator=in_range(20_000, 1_000_000)
    )
    """Longest head of a request, with empty lines before it."""

    max_head_ms: int = attrs.field(default=DEFAULT_MAX_HEAD_MS, validator=in_range(4000, MAX_MS))
    """Longest time from the first byte of a head to its end."""

    max_buffered_bytes: int = attrs.field(
        default=DEFAULT_MAX_BUFFERED_BYTES, validator=in_range(1_000_000, 100_000_000_000)
    )
    """Most bytes of requests and answers that the buffers of all connections may hold."""

    log_level: str = attrs.field(
        default=DEFAULT_LOG_LEVEL, validator=one_of("debug", "info", "warning", "error")
    )
    """Lowest level of events that are logged."""

    @property
    def revoke_seconds(self) -> float:
        """The time within which a removed key must be refused."""
        return parse_duration_ms(self.revoke_within) / 1000

    @property
    def quota_window_seconds(self) -> float:
        """The window of the quotas."""
        return parse_duration_ms(self.quota_window) / 1000

    @property
    def rollback_seconds(self) -> float:
        """The time within which no more requests may go to a bad version."""
        return parse_duration_ms(self.rollback_within) / 1000

    @property
    def stop_limit_seconds(self) -> float:
        """The time limit of a planned stop, 0 for none."""
        if self.kill_after:
            return (parse_duration_ms(self.kill_after) - PROCESS_END_MS) / 1000
        return self.grace_ms / 1000


@attrs.frozen
class OperatorSettings:
    """What an operator's command needs: where the platform is."""

    platform_address: str = attrs.field(validator=check_address)
    """IP address and port of the platform's store."""


def read_fleet_key(settings: DaemonSettings, base: Path) -> Result[bytes, FileError]:
    """Read the fleet's key.

    :param settings: the daemon's settings
    :param base: the folder that a relative file name refers to
    :return: the key of 32 bytes, no bytes if the settings name no file, or the file's error
    """
    if not settings.fleet_key_file:
        return Ok(b"")
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
