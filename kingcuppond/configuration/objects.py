"""The configuration objects and their decoding.

A :class:`ConfigurationFormat` defines how they are kept in the store.  The native format keeps all
objects under one kind, so that a single watch covers them: ``class/NAME``, ``data-centre/NAME`` and
``budget/measuring``.

What the native format allows is checked by its own types, such as :class:`NativeClassOfWork`.  The
types that daemons work with have no such limits, since another format may allow other names, paths
and times.
"""

import re
from collections.abc import Callable
from typing import Any, Final, Literal

import attrs
import msgspec
from expression import Error, Ok, Result

from kingcuppond.decoding import decode_json
from kingcuppond.organisations.organisation import OrganisationTable
from kingcuppond.settings.checks import Validator, check_name, in_range, one_of

CONFIGURATION_KIND: Final = "configuration"
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
    """A service that receives a share of a class's requests."""

    service: str
    """Name of the service."""

    weight: float
    """Its share, in proportion to the sum of all weights."""


@attrs.frozen
class ClassOfWork:
    """A class of work: the requests that belong to it, and its latency target."""

    name: str
    """Name of the class, unique."""

    service: str
    """Service that runs its requests."""

    path_prefix: str
    """Start of the path of its requests; the longest match wins."""

    answer_within_ms: int
    """Target for an answer, and the deadline of a request that states none, in milliseconds."""

    method: str = "*"
    """HTTP method of its requests, or ``*`` for every method."""

    at_most_once: bool = False
    """Whether a request must never run twice."""

    host: str = ""
    """``Host`` header of its requests, or empty for every host."""

    split: tuple[ServiceShare, ...] = ()
    """Services among which its requests are split; empty if ``service`` gets all."""

    timeout_ms: int = MAX_ANSWER_MS
    """Longest time until the final answer to a request, in milliseconds."""

    max_attempts: int | None = None
    """How many servers a request may be sent to, or ``None`` for the default retry budget."""

    priority: int = 0
    """Priority under overload: requests with a larger number are shed first."""

    is_public: bool = False
    """Whether its requests need no key where the configuration has organisations."""


def _with_validators(**validators_by_name: Validator) -> Callable[[type, list[Any]], list[Any]]:
    """Make a field transformer that adds validators to inherited attributes."""

    def transform(_class: type, fields: list[Any]) -> list[Any]:
        return [
            field.evolve(validator=validators_by_name.get(field.name, field.validator))
            for field in fields
        ]

    return transform


@attrs.frozen(
    field_transformer=_with_validators(
        name=check_name,
        service=check_name,
        path_prefix=_check_path,
        answer_within_ms=in_range(1, MAX_ANSWER_MS),
        method=one_of(*METHODS),
        timeout_ms=in_range(1, MAX_ANSWER_MS),
        priority=in_range(0, MAX_PRIORITY),
    )
)
class NativeClassOfWork(ClassOfWork):
    """A class of work as operators write it in the native format."""


@attrs.frozen
class ServiceProperties:
    """Properties of a service's servers."""

    name: str
    """Name of the service."""

    health_path: str = ""
    """Path at which a server reports its health and load, or empty."""

    cold_requests_per_second: float | None = None
    """Requests per second that a cold server can handle, or ``None`` if unknown."""


@attrs.frozen
class DataCentreState:
    """Whether a data centre accepts new work."""

    name: str
    """Name of the data centre."""

    state: Literal["in", "out"] = "in"
    """``in`` accepts new work, ``out`` accepts none."""


@attrs.frozen(field_transformer=_with_validators(name=check_name))
class NativeDataCentreState(DataCentreState):
    """The state of a data centre as operators write it in the native format."""


@attrs.frozen
class MeasurementBudget:
    """Limit on the traffic that a daemon spends on measuring load."""

    bytes_per_second: int = attrs.field(default=2000, validator=in_range(0, 1_000_000))
    """Maximum bytes of load reports and probes that a daemon sends in any second."""


@attrs.frozen
class ClassRemoved:
    """The removal of a class of work."""

    name: str


@attrs.frozen
class UnusableEntry:
    """An entry of a configuration object that can't be decoded, while the others can.

    :param host: ``Host`` header of its requests, empty if unknown
    :param path_prefix: start of the path of its requests, empty if unknown or if it has none
    """

    name: str
    message: str
    host: str = ""
    path_prefix: str = ""


@attrs.frozen
class AllClasses:
    """All classes of work and services in one object, with one version.

    :param release: the operators' own version number of this configuration
    :param unusable: the entries that can't be decoded; requests of such a class are refused, since
        a class with a shorter prefix must not take them over
    :param organisations: ``None`` if requests carry no keys
    """

    release: int
    classes: tuple[ClassOfWork, ...]
    services: tuple[ServiceProperties, ...] = ()
    unusable: tuple[UnusableEntry, ...] = ()
    organisations: OrganisationTable | None = None


@attrs.frozen
class KeptObject:
    """An object that the configuration only keeps and spreads; another part reads it."""

    name: str


ConfigurationObject = ClassOfWork | DataCentreState | MeasurementBudget
ConfigurationChange = ConfigurationObject | ClassRemoved | AllClasses | KeptObject


@attrs.frozen
class ObjectError:
    """Why an object of the store cannot be used."""

    name: str
    message: str


@attrs.frozen
class ConfigurationFormat:
    """How configuration is kept in the store.

    :param kinds: the kinds of objects to read and watch
    :param steady_kind: the kind that changes least
    :param decode: decodes kind, name and body of an object into a change; a body of ``None`` means
        that the object was removed
    :param required: kind and name of the object without which no request can be routed
    :param release_of: returns the operators' own number of an object from its kind, name and body;
        0 if they give none
    """

    kinds: tuple[str, ...]
    steady_kind: str
    decode: Callable[[str, str, bytes | None], Result[ConfigurationChange, ObjectError]]
    release_of: Callable[[str, str, bytes | None], int]
    required: tuple[str, str] | None = None


def object_type(name: str) -> type[ConfigurationObject] | None:
    """Return the native type of an object from its name in the store, or ``None`` if unknown."""
    if name.startswith(CLASS_PREFIX):
        return NativeClassOfWork
    if name.startswith(DATA_CENTRE_PREFIX):
        return NativeDataCentreState
    return MeasurementBudget if name == BUDGET_NAME else None


def decode(name: str, body: bytes) -> Result[ConfigurationObject, ObjectError]:
    """Decode an object of the store.

    :param name: name in the store, which determines the type
    :param body: JSON
    """
    type_ = object_type(name)
    if type_ is None:
        return Error(ObjectError(name, "not the name of a configuration object"))
    return decode_json(body, type_).map_error(lambda error: ObjectError(name, error))


def encode(value: ConfigurationObject) -> bytes:
    """Encode an object for the store."""
    return msgspec.json.encode(value)


def _decode_change(
    _kind: str, name: str, body: bytes | None
) -> Result[ConfigurationChange, ObjectError]:
    if body is not None:
        return decode(name, body).map(lambda value: value)
    if name == BUDGET_NAME:
        return Ok(MeasurementBudget())
    prefix, _, rest = name.partition("/")
    if f"{prefix}/" == DATA_CENTRE_PREFIX:
        return Ok(DataCentreState(rest, "in"))
    return Ok(ClassRemoved(rest))


def _release_of(_kind: str, _name: str, _body: bytes | None) -> int:
    return 0


NATIVE_FORMAT: Final = ConfigurationFormat(
    (CONFIGURATION_KIND,), CONFIGURATION_KIND, _decode_change, _release_of
)
