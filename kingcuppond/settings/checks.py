"""Validators for the attrs classes into which files and objects of the store are decoded.

Each raises ``ValueError`` with the text ``key: what is allowed``, from which the reader of files
makes an error with the line of the key.
"""

import ipaddress
import re
from collections.abc import Callable
from typing import Any, Final

NAME_PATTERN: Final = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
PORT_PATTERN: Final = re.compile(r"[0-9]{1,5}")
MAX_PORT: Final = 65_535

Validator = Callable[[Any, Any, Any], None]


def check_name(_instance: Any, attribute: Any, value: str) -> None:
    """Allow lower-case letters, digits, dot, dash and underscore, up to 63 in all."""
    if not NAME_PATTERN.fullmatch(value):
        raise ValueError(
            f"{attribute.name}: {value!r} is not a name (1 to 63 of a-z, 0-9, '.', '_', '-')"
        )


def check_address(_instance: Any, attribute: Any, value: str) -> None:
    """Allow an IP address with a port, such as ``10.0.0.1:8000`` or ``[::1]:8000``."""
    host = value.rpartition(":")[0]
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = has_valid_port(value)
    except ValueError:
        valid = False
    if not valid:
        raise ValueError(f"{attribute.name}: {value!r} is not an IP address with a port")


def has_valid_port(address: str) -> bool:
    """Return whether an address ends with a port that can be connected to."""
    host, _, port = address.rpartition(":")
    return bool(host) and PORT_PATTERN.fullmatch(port) is not None and 1 <= int(port) <= MAX_PORT


def in_range(low: int, high: int) -> Validator:
    """Make a validator for numbers from ``low`` to ``high``, inclusive."""

    def check(_instance: Any, attribute: Any, value: float) -> None:
        if not low <= value <= high:
            raise ValueError(f"{attribute.name}: {value} is not in the range {low} to {high}")

    return check


def one_of(*allowed: str) -> Validator:
    """Make a validator that allows only the given values."""

    def check(_instance: Any, attribute: Any, value: str) -> None:
        if value not in allowed:
            raise ValueError(f"{attribute.name}: {value!r} is not one of {', '.join(allowed)}")

    return check


def split_address(address: str) -> tuple[str, int]:
    """Split an address that :func:`check_address` accepts into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
