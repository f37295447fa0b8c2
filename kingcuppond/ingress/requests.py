"""Validation of a caller's request and its conversion into a call.

All input of a caller is validated here, before anything is forwarded, so a request that is refused
here has not run.
"""

from collections.abc import AsyncIterator, Callable
from typing import Final

import attrs
from aiohttp import web
from expression import Error, Ok, Result

from kingcuppond.configuration.objects import ClassOfWork, UnusableEntry
from kingcuppond.configuration.paths import has_dot_segments
from kingcuppond.configuration.replica import Configuration
from kingcuppond.dialect import KEY_HEADER, Dialect
from kingcuppond.ingress.http_server import STALL_TIMEOUT_SECONDS
from kingcuppond.organisations.guard import OrganisationGuard
from kingcuppond.organisations.organisation import Organisation
from kingcuppond.outcomes import Failure, NotRun, Reason
from kingcuppond.quarantine.fingerprints import fingerprint
from kingcuppond.routing.call import (
    BODY_MEMORY_BYTES,
    DEFAULT_RETRY_BUDGET,
    MAX_DEPTH,
    Body,
    Call,
)
from kingcuppond.routing.headers import RELAY_HEADERS, end_to_end
from kingcuppond.streams import read_until

MAX_KEY_LENGTH: Final = 255
MAX_DEADLINE_MS: Final = 999_999_999
"""A caller that would wait longer is served as if it waited this long, over eleven days."""

CONTINUE_RESPONSE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


@attrs.frozen
class CallerRequest:
    """A call, together with what only this package needs.

    :param key: the caller's ``Idempotency-Key``, or empty
    :param started: monotonic time of its arrival, in seconds
    :param organisation: the organisation that it is served for, if there is one
    """

    call: Call
    class_of_work: ClassOfWork
    key: str
    started: float
    organisation: Organisation | None = None


async def read_request(
    request: web.BaseRequest,
    configuration: Configuration,
    dialect: Dialect,
    caller_service: str,
    choose_service: Callable[[ClassOfWork], str],
    started: float,
    now: Callable[[], float],
    next_id: Callable[[], str],
    organisations: OrganisationGuard,
) -> Result[CallerRequest, Failure]:
    """Validate a caller's request and read the first part of its body.

    :param caller_service: service of this daemon's VM, where the request is taken to originate
    :param choose_service: chooses the service for a request of a class
    :param started: monotonic time of the request's arrival, in seconds
    :param now: monotonic clock, in seconds
    :param next_id: generates the id of a new attempt
    :param organisations: identifies the organisation of the request
    """
    found = _match_class(request, configuration)
    if found.is_error():
        return Error(found.error)
    class_of_work = found.ok
    identified = _identify(request, class_of_work, dialect, organisations)
    if identified.is_error():
        return Error(identified.error)
    organisation = identified.ok
    options = _read_options(request, class_of_work, dialect)
    if isinstance(options, NotRun):
        return Error(options)
    deadline = started + min(options.deadline_ms, class_of_work.timeout_ms) / 1000
    body = await _read_body(request, deadline, now)
    if body.is_error():
        return Error(body.error)
    call = Call(
        id=next_id(),
        class_name=class_of_work.name,
        service=choose_service(class_of_work),
        method=request.method,
        target=request.raw_path,
        headers=_forwarded_headers(request, dialect, organisations.withholds_keys),
        body=body.ok,
        deadline=deadline,
        depth=options.depth + 1,
        retry_budget=options.retry_budget,
        at_most_once=class_of_work.at_most_once,
        fingerprint=fingerprint(
            caller_service,
            _host(request),
            request.method,
            request.raw_path,
            body.ok.buffered,
            is_partial=not body.ok.is_buffered,
        ),
        request_id=request.headers.get(dialect.request_id_header, ""),
        caller_service=caller_service,
        target_at=started + class_of_work.answer_within_ms / 1000,
        priority=_priority(class_of_work, organisation),
        organisation="" if organisation is None else organisation.name,
    )
    return Ok(CallerRequest(call, class_of_work, options.key, started, organisation))


def read_relayed_body(request: web.BaseRequest, deadline: float, now: Callable[[], float]) -> Body:
    """Return the body of a call relayed by another daemon, streamed from the first read on.

    :param deadline: the call's deadline, on the monotonic clock ``now``
    """
    if not request.body_exists:
        return Body()
    return Body(b"", _stream(request, deadline, now), request.content_length)


def _identify(
    request: web.BaseRequest,
    class_of_work: ClassOfWork,
    dialect: Dialect,
    organisations: OrganisationGuard,
) -> Result[Organisation | None, NotRun]:
    keys = request.headers.getall(dialect.organisation_key_header, [])
    return organisations.identify(keys, class_of_work)


def _priority(class_of_work: ClassOfWork, organisation: Organisation | None) -> int:
    if organisation is None or organisation.priority is None:
        return class_of_work.priority
    return organisation.priority


def _forwarded_headers(
    request: web.BaseRequest, dialect: Dialect, withholds_keys: bool
) -> tuple[tuple[str, str], ...]:
    connection = request.headers.get("Connection", "")
    excluded_headers = dialect.private_headers | RELAY_HEADERS
    if withholds_keys:
        excluded_headers |= {dialect.organisation_key_header}
    return end_to_end(request.headers.items(), connection, excluded_headers)


def _match_class(
    request: web.BaseRequest, configuration: Configuration
) -> Result[ClassOfWork, Failure]:
    if not request.raw_path.startswith("/"):
        return Error(NotRun(Reason.BAD_REQUEST, "the request's target must be a path"))
    path = request.raw_path.partition("?")[0]
    # A server may resolve such segments, and its path would not be the one that chose the class.
    if has_dot_segments(path):
        return Error(NotRun(Reason.BAD_REQUEST, "the path must not contain '.' or '..' segments"))
    if not configuration.is_ready:
        return Error(NotRun(Reason.NOT_READY, "this daemon has not received the configuration yet"))
    class_of_work = configuration.match(request.method, path, _host(request))
    if class_of_work is None:
        return Error(NotRun(Reason.NO_CLASS, f"no class of work matches {request.method} {path}"))
    if isinstance(class_of_work, UnusableEntry):
        detail = f"the class of work {class_of_work.name} can't be used: {class_of_work.message}"
        return Error(NotRun(Reason.NOT_READY, detail))
    return Ok(class_of_work)


def _host(request: web.BaseRequest) -> str:
    return request.headers.get("Host", "").partition(":")[0].lower()


@attrs.frozen
class _CallOptions:
    key: str
    deadline_ms: int
    depth: int
    retry_budget: int


def _read_options(
    request: web.BaseRequest, class_of_work: ClassOfWork, dialect: Dialect
) -> _CallOptions | NotRun:
    """Read the headers that control how a call is run."""
    key = _read_key(request)
    deadline_ms = _read_deadline(request, dialect, class_of_work.answer_within_ms)
    depth = _read_number(request, dialect.depth_header, 0, 0, MAX_DEPTH - 1)
    max_retries = DEFAULT_RETRY_BUDGET
    if class_of_work.max_attempts is not None:
        max_retries = max(0, class_of_work.max_attempts - 1)
    retry_budget = _read_number(
        request, dialect.retry_budget_header, max_retries, 0, max(max_retries, DEFAULT_RETRY_BUDGET)
    )
    if isinstance(key, NotRun):
        return key
    if isinstance(deadline_ms, NotRun):
        return deadline_ms
    if isinstance(depth, NotRun):
        return depth
    if isinstance(retry_budget, NotRun):
        return retry_budget
    return _CallOptions(key, deadline_ms, depth, retry_budget)


def _read_key(request: web.BaseRequest) -> str | NotRun:
    values = request.headers.getall(KEY_HEADER, [])
    if not values:
        return ""
    if len(values) > 1:
        return NotRun(Reason.BAD_REQUEST, f"{KEY_HEADER} is present more than once")
    key = values[0]
    if not 1 <= len(key) <= MAX_KEY_LENGTH or not key.isascii() or not key.isprintable():
        detail = f"{KEY_HEADER} must be 1 to {MAX_KEY_LENGTH} printable ASCII characters"
        return NotRun(Reason.BAD_REQUEST, detail)
    return key


def _read_deadline(request: web.BaseRequest, dialect: Dialect, default_ms: int) -> int | NotRun:
    """Read how long the caller waits, in milliseconds; any larger number counts as the largest."""
    text = request.headers.get(dialect.deadline_header, "")
    digits = text.lstrip("0")
    if digits.isascii() and digits.isdecimal() and len(digits) > len(str(MAX_DEADLINE_MS)):
        return MAX_DEADLINE_MS
    return _read_number(request, dialect.deadline_header, default_ms, 1, MAX_DEADLINE_MS)


def _read_number(
    request: web.BaseRequest, name: str, default: int, low: int, high: int
) -> int | NotRun:
    """Read a header; one without a name is never sent."""
    text = request.headers.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdecimal() and len(text) < 10 and low <= int(text) <= high):
        detail = f"{name} must be an integer from {low} to {high}"
        return NotRun(Reason.BAD_REQUEST, detail)
    return int(text)


async def _read_body(
    request: web.BaseRequest, deadline: float, now: Callable[[], float]
) -> Result[Body, Failure]:
    """Read the part of the body that is held in memory.

    :param deadline: the call's deadline, on the monotonic clock ``now``
    """
    if not request.body_exists:
        return Ok(Body(length=0))
    stream = _stream(request, deadline, now)
    # Pieces may be as short as a byte, so they aren't kept apart.
    start = bytearray()
    try:
        async for chunk in stream:
            start += chunk
            if len(start) > BODY_MEMORY_BYTES:
                return Ok(_split_body(bytes(start), stream, request.content_length))
    except TimeoutError:
        return Error(NotRun(Reason.DEADLINE, "the request body did not arrive before the deadline"))
    except (web.RequestPayloadError, OSError) as exc:
        return Error(NotRun(Reason.BAD_REQUEST, f"the request body could not be read: {exc}"))
    return Ok(Body(bytes(start), None, len(start)))


def _split_body(start: bytes, rest: AsyncIterator[bytes], length: int | None) -> Body:
    # The part held in memory must not depend on how the bytes were chunked: digests of it are
    # compared.
    async def stream() -> AsyncIterator[bytes]:
        yield start[BODY_MEMORY_BYTES:]
        async for chunk in rest:
            yield chunk

    return Body(start[:BODY_MEMORY_BYTES], stream(), length)


async def _stream(
    request: web.BaseRequest, deadline: float, now: Callable[[], float]
) -> AsyncIterator[bytes]:
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(CONTINUE_RESPONSE)
        # The interim response must not count as the start of the response.
        request.writer.output_size = 0
    async for chunk in read_until(deadline, now, request.content.readany, STALL_TIMEOUT_SECONDS):
        yield chunk
