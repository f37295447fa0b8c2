"""The objects of configuration, as the product keeps them.

Where they come from is the matter of a :class:`ConfigurationFormat`.  The product's own one keeps
all objects under one kind, so that one watch hears of all: ``class/NAME``, ``data-centre/NAME`` and
``budget/measuring``.
"""

import re
from collections.abc import Callable
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
MAX_PRIORITY: Final = 100
PATH_PATTERN: Final = re.compile(r"/[!-~]{0,255}")
METHODS: Final = ("*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


def _check_path(_instance: Any, attribute: Any, value: str) -> None:
    if not PATH_PATTERN.fullmatch(value):
        raise ValueError(f"{attribute.name}: {value!r} is not a path that starts with '/'")


@attrs.frozen
class ServiceShare:
    """A service that takes part of a class's requests."""

    service: str
    """Name of the service."""

    weight: int
    """Its share, in proportion to the sum of all weights."""


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

    host: str = ""
    """Host that its requests name, or empty for every host."""

    split: tuple[ServiceShare, ...] = ()
    """Services among which its requests are divided; empty if ``service`` gets all."""

    timeout_ms: int = attrs.field(default=MAX_ANSWER_MS, validator=in_range(1, MAX_ANSWER_MS))
    """Longest time that a request may be without its final answer, in milliseconds."""

    max_attempts: int | None = None
    """How many servers a request may be sent to, or ``None`` for the default retry budget."""

    priority: int = attrs.field(default=0, validator=in_range(0, MAX_PRIORITY))
    """Rank under overload: work of a larger number is shed first."""


@attrs.frozen
class ServiceTerms:
    """What a configuration says of a service's servers."""

    name: str
    """Name of the service."""

    health_path: str = ""
    """Path at which a server tells of its health and load, or empty."""

    cold_per_second: float | None = None
    """Requests a second that a cold server bears, or ``None`` if unknown."""


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


@attrs.frozen
class ClassRemoved:
    """A class of work that no longer exists."""

    name: str


@attrs.frozen
class AllClasses:
    """All classes of work and services in one object, at one version.

    :param release: the operators' own number of this configuration
    """

    release: int
    classes: tuple[ClassOfWork, ...]
    services: tuple[ServiceTerms, ...] = ()


ConfigurationObject = ClassOfWork | DataCentreState | Budget
ConfigurationChange = ConfigurationObject | ClassRemoved | AllClasses


@attrs.frozen
class ObjectError:
    """Why an object of the store can't be used."""

    name: str
    message: str


@attrs.frozen
class ConfigurationFormat:
    """How configuration is kept in the store.

    :param kinds: the kinds of objects to read and watch
    :param decode: turns an object, by kind, name and body, into a change; no body means removed
    :param required: kind and name of the object without which nothing can be decided
    """

    kinds: tuple[str, ...]
    decode: Callable[[str, str, bytes | None], Result[ConfigurationChange, ObjectError]]
    required: tuple[str, str] | None = None


def object_type(name: str) -> type[ConfigurationObject] | None:
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
    type_ = object_type(name)
    if type_ is None:
        return Error(ObjectError(name, "no such object of configuration"))
    try:
        return Ok(msgspec.json.decode(body, type=type_))
    except msgspec.MsgspecError as exc:
        return Error(ObjectError(name, str(exc)))


def encode(value: ConfigurationObject) -> bytes:
    """Encode an object for the store."""
    return msgspec.json.encode(value)


def _decode_change(
    _kind: str, name: str, body: bytes | None
) -> Result[ConfigurationChange, ObjectError]:
    if body is not None:
        return decode(name, body).map(lambda value: value)
    if name == BUDGET_NAME:
        return Ok(Budget())
    prefix, _, rest = name.partition("/")
    if f"{prefix}/" == DATA_CENTRE_PREFIX:
        return Ok(DataCentreState(rest, "in"))
    return Ok(ClassRemoved(rest))


OWN_FORMAT: Final = ConfigurationFormat((KIND,), _decode_change)
