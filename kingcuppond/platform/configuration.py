"""The operators' configuration as the platform's store holds it.

``config/main`` holds all routes and all services as tables with ``Columns`` and ``Rows``; each
route becomes a class of work.  It may hold all organisations as well.  ``evacuations/ZONE`` exists
while that data centre is out of service.
"""

from collections.abc import Callable
from typing import Final, TypeVar

import msgspec
from expression import Error, Ok, Result

from kingcuppond.configuration.objects import (
    AllClasses,
    ClassOfWork,
    ConfigurationChange,
    ConfigurationFormat,
    DataCentreState,
    ObjectError,
    ServiceProperties,
    ServiceShare,
    UnusableEntry,
)
from kingcuppond.decoding import MessageInt, decode_json
from kingcuppond.durations import parse_duration_ms
from kingcuppond.organisations.organisation import OrganisationTable
from kingcuppond.platform.organisations import decode_organisations
from kingcuppond.platform.tables import Table, bounded, text_of

CONFIG_KIND: Final = "config"
CONFIG_NAME: Final = "main"
EVACUATIONS_KIND: Final = "evacuations"
REPEATABLE_KINDS: Final = ("safe", "download")

MAX_DURATION_MS: Final = 1_000_000_000
"""Longer durations count as this one, which is over eleven days: no request lasts so long."""

T = TypeVar("T")
U = TypeVar("U")


class _Share(msgspec.Struct):
    service: str = msgspec.field(name="Service")
    weight: float = msgspec.field(name="Weight")


class _Route(msgspec.Struct):
    name: str = msgspec.field(name="Name")
    host: str = msgspec.field(name="Host")
    path_prefix: str = msgspec.field(name="PathPrefix")
    kind: str = msgspec.field(name="Kind")
    timeout: str = msgspec.field(name="Timeout")
    target_latency: str = msgspec.field(name="TargetLatency")
    priority: int = msgspec.field(name="Priority", default=0)
    service: str = msgspec.field(name="Service", default="")
    max_attempts: int | None = msgspec.field(name="MaxAttempts", default=None)
    split: list[_Share] = msgspec.field(name="TrafficSplit", default_factory=list)
    is_public: bool = msgspec.field(name="Public", default=False)


class _Service(msgspec.Struct):
    name: str = msgspec.field(name="Name")
    health_path: str = msgspec.field(name="HealthPath", default="")
    cold_requests_per_second: float | None = msgspec.field(name="ColdPerS", default=None)


class _MainObject(msgspec.Struct):
    version: MessageInt = msgspec.field(name="Version")
    routes: Table = msgspec.field(name="Routes")
    services: Table = msgspec.field(name="Services")
    tenants: Table | None = msgspec.field(name="Tenants", default=None)


def _class_of_work(route: _Route) -> ClassOfWork:
    if not route.path_prefix.startswith("/"):
        raise ValueError(f"{route.path_prefix!r} is not a path that starts with '/'")
    split = tuple(ServiceShare(share.service, share.weight) for share in route.split)
    return ClassOfWork(
        name=route.name,
        service=route.service or split[0].service,
        path_prefix=route.path_prefix,
        answer_within_ms=_duration_ms(route.target_latency),
        # Uploads and unknown kinds of route must run at most once.
        at_most_once=route.kind not in REPEATABLE_KINDS,
        host=route.host.lower(),
        split=split,
        timeout_ms=_duration_ms(route.timeout),
        max_attempts=None if route.max_attempts is None else bounded(route.max_attempts),
        priority=bounded(route.priority),
        is_public=route.is_public,
    )


def _duration_ms(text: str) -> int:
    return min(parse_duration_ms(text), MAX_DURATION_MS)


def _service_properties(service: _Service) -> ServiceProperties:
    return ServiceProperties(service.name, service.health_path, service.cold_requests_per_second)


def _decode_main_object(body: bytes) -> Result[ConfigurationChange, ObjectError]:
    decoded = decode_json(body, _MainObject)
    if decoded.is_error():
        return Error(ObjectError(CONFIG_NAME, decoded.error))
    main = decoded.ok
    classes, unusable_routes = _decode_rows(main.routes, _Route, _class_of_work)
    services, unusable_services = _decode_rows(main.services, _Service, _service_properties)
    if unusable_routes and not classes:
        return Error(ObjectError(CONFIG_NAME, f"no route is usable: {unusable_routes[0].message}"))
    unusable = [*unusable_routes, *unusable_services]
    organisations: OrganisationTable | None = None
    if main.tenants is not None:
        organisations, unusable_organisations = decode_organisations(main.tenants)
        unusable += unusable_organisations
    return Ok(
        AllClasses(main.version, tuple(classes), tuple(services), tuple(unusable), organisations)
    )


def _decode_rows(
    table: Table, row_type: type[T], make: Callable[[T], U]
) -> tuple[list[U], list[UnusableEntry]]:
    """Decode the rows of a table, each for itself."""
    decoded: list[U] = []
    unusable: list[UnusableEntry] = []
    for record in table.records():
        try:
            decoded.append(make(msgspec.convert(record, row_type)))
        except (msgspec.MsgspecError, ValueError, IndexError) as exc:
            unusable.append(
                UnusableEntry(
                    text_of(record.get("Name")),
                    str(exc),
                    text_of(record.get("Host")).lower(),
                    text_of(record.get("PathPrefix")),
                )
            )
    return decoded, unusable


def _decode(kind: str, name: str, body: bytes | None) -> Result[ConfigurationChange, ObjectError]:
    if kind == EVACUATIONS_KIND:
        return Ok(DataCentreState(name, "in" if body is None else "out"))
    if body is None or name != CONFIG_NAME:
        return Error(ObjectError(name, "is not a configuration object"))
    return _decode_main_object(body)


def _release_of(kind: str, name: str, body: bytes | None) -> int:
    if (kind, name) != (CONFIG_KIND, CONFIG_NAME) or body is None:
        return 0
    # The number of an object that is refused must not stand against later ones.
    decoded = _decode_main_object(body)
    return decoded.ok.release if decoded.is_ok() and isinstance(decoded.ok, AllClasses) else 0


PLATFORM_FORMAT: Final = ConfigurationFormat(
    kinds=(CONFIG_KIND, EVACUATIONS_KIND),
    steady_kind=EVACUATIONS_KIND,
    decode=_decode,
    release_of=_release_of,
    required=(CONFIG_KIND, CONFIG_NAME),
)
