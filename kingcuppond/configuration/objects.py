"""The objects of configuration, as operators write them and the store keeps them.

All are kept under one kind, so that one watch hears of all: ``class/NAME``, ``data-centre/NAME``
and ``budget/measuring``.
"""

import re
from typing import Any, Final, Literal

import attrs
import msgspec
from expression import Error, Ok, Result

from kingcuppond.settings.checks import check_name, in_range, one_of

KIND: Final = "configuration"
CLASS_PREFIX: Final = "class/"
DATA_CENTRE_PREFIX: Final = "data-centre/"
BUDGET_NAME: Final = "budget/measuring"
MAX_ANSWER_MS: Final = 600_000
PATH_PATTERN: Final = re.compile(r"/[!-~]{0,255}")
METHODS: Final = ("*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


def _check_path(_instance: Any, attribute: Any, value: str) -> None:
    if not PATH_PATTERN.fullmatch(value):
        raise ValueError(f"{attribute.name}: {value!r} is not a path that starts with '/'")


@attrs.frozen
class ClassOfWork:
    """A class of work: which requests are its own, and its target."""

    name: str = attrs.field(validator=check_name)
    """Name of the class, unique."""

    service: str = attrs.field(validator=check_name)
    """Service that runs its requests."""

    path_prefix: str = attrs.field(validator=_check_path)
    """Start of the path of its requests; the longest match wins."""

    answer_within_ms: int = attrs.field(validator=in_range(1, MAX_ANSWER_MS))
    """Target for an answer, in milliseconds."""

    method: str = attrs.field(default="*", validator=one_of(*METHODS))
    """HTTP method of its requests, or ``*`` for every method."""

    at_most_once: bool = False
    """Whether a request may never run twice."""


@attrs.frozen
class DataCentreState:
    """Whether a data centre takes new work."""

    name: str = attrs.field(validator=check_name)
    """Name of the data centre."""

    state: Literal["in", "out"] = "in"
    """``in`` takes new work, ``out`` takes none."""


@attrs.frozen
class Budget:
    """What measuring the load may cost a daemon."""

    bytes_per_second: int = attrs.field(default=2000, validator=in_range(0, 1_000_000))
    """Most bytes of load reports and probes that a daemon sends in any second."""


ConfigurationObject = ClassOfWork | DataCentreState | Budget


@attrs.frozen
class ObjectError:
    """Why an object of the store can't be used."""

    name: str
    message: str


def type_of(name: str) -> type[ConfigurationObject] | None:
    """Return the attrs class of an object, by its name in the store."""
    if name.startswith(CLASS_PREFIX):
        return ClassOfWork
    if name.startswith(DATA_CENTRE_PREFIX):
        return DataCentreState
    return Budget if name == BUDGET_NAME else None


def decode(name: str, body: bytes) -> Result[ConfigurationObject, ObjectError]:
    """Decode an object of the store.

    :param name: its name, which tells its type
    :param body: JSON
    """
    type_ = type_of(name)
    if type_ is None:
        return Error(ObjectError(name, "no such object of configuration"))
    try:
        return Ok(msgspec.json.decode(body, type=type_))
    except msgspec.MsgspecError as exc:
        return Error(ObjectError(name, str(exc)))


def encode(value: ConfigurationObject) -> bytes:
    """Encode an object for the store."""
    return msgspec.json.encode(value)
