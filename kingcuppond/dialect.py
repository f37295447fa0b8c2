"""HTTP dialects: the header conventions between a daemon and its callers and servers.

A dialect is a set of plain functions that convert headers to kingcuppond's types and back; it makes
no decisions.  kingcuppond's native dialect is defined here, that of the users' platform in
``kingcuppond.platform``.
"""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Final

import attrs

from kingcuppond.outcomes import (
    OUTCOME_HEADER,
    Failure,
    NotRun,
    Outcome,
    Reason,
    Unknown,
    problem_headers,
)

KEY_HEADER: Final = "Idempotency-Key"
DEADLINE_HEADER: Final = "Kingcuppond-Deadline-Ms"
DEPTH_HEADER: Final = "Kingcuppond-Depth"
RETRY_BUDGET_HEADER: Final = "Kingcuppond-Retry-Budget"
NATIVE_HEADERS: Final = frozenset(
    name.lower() for name in (DEADLINE_HEADER, DEPTH_HEADER, RETRY_BUDGET_HEADER)
)
RETRY_AFTER_SECONDS: Final = 1
"""``Retry-After`` in the native dialect is in whole seconds, as RFC 9110 defines it.

Only a request over its quota is told a fraction, since there is room again in less than a second.
"""

Headers = Mapping[str, str]


@attrs.frozen
class ServerRequest:
    """The metadata that a server receives with a request.

    :param left_ms: time until the deadline, in milliseconds
    :param caller_service: service of the VM where the request originated
    :param instance: incarnation of the server that the request is for, empty if unknown
    :param organisation: name of the organisation that it is served for, empty if there is none
    """

    left_ms: int
    depth: int
    retry_budget: int
    caller_service: str
    instance: str
    organisation: str = ""


@attrs.frozen
class ServerLoad:
    """The load that a server reports.

    :param slowdown: duration of work there now, as a multiple of the typical one
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


class AnswerKind(Enum):
    """How a server's answer is classified by its status and headers."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    OTHER_INSTANCE = "another incarnation has the address"
    UNUSABLE = "not this server's answer to this request"


@attrs.frozen
class ServerReport:
    """The state that a server reports with an answer.

    :param instance: its incarnation, empty if not reported
    :param cold_ms: how much longer it is cold, in milliseconds, ``None`` if not reported
    :param request_id: id of the request that the answer belongs to, empty for a health answer
    """

    load: ServerLoad | None = None
    instance: str = ""
    cold_ms: int | None = None
    request_id: str = ""


@attrs.frozen
class Dialect:
    """The header conventions for callers and servers.

    :param deadline_header: header with the caller's timeout in milliseconds
    :param depth_header: header with the number of calls that led to a request; empty if the dialect
        has none
    :param retry_budget_header: header with the retries that a request may use; empty if the dialect
        has none
    :param request_id_header: header with the caller's own id of the request
    :param organisation_key_header: lower-case name of the header with an organisation's key, which
        is never forwarded where there are organisations; empty if the dialect has none
    :param private_headers: lower-case names of request headers that are never forwarded
    :param promise_statuses: statuses that promise to a caller that its request has not run and
        never will, whoever sends them
    :param failure_status: returns the HTTP status that reports a failure to a caller
    :param failure_headers: returns the headers that report a failure to a caller, given the seconds
        after which it may retry
    :param server_headers: returns the headers that are sent to a server
    :param classify_answer: classifies a server's answer by its status, its headers, those of the
        request, and whether the request was the first one on its connection
    :param parse_server_report: parses the state that a server reports with an answer
    """

    deadline_header: str
    depth_header: str
    retry_budget_header: str
    request_id_header: str
    organisation_key_header: str
    private_headers: frozenset[str]
    promise_statuses: frozenset[int]
    failure_status: Callable[[Failure], int]
    failure_headers: Callable[[Failure, float], dict[str, str]]
    server_headers: Callable[[ServerRequest], dict[str, str]]
    classify_answer: Callable[[int, Headers, Headers, bool], AnswerKind]
    parse_server_report: Callable[[Headers], ServerReport]


def check_promise(dialect: Dialect, status: int, at_most_once: bool) -> Unknown | None:
    """Return what to report instead of a server's answer that promises too much.

    A caller may send a request again after such a status, though the server may have run it.  That
    does no harm if the request may run more than once.

    :param status: status of the answer
    :param at_most_once: whether the request must not run more than once
    """
    if not at_most_once or status not in dialect.promise_statuses:
        return None
    detail = f"the server answered {status} and does not state that it has not run the call"
    return Unknown(Reason.FAILED_BY_SERVER, detail)


def _failure_headers(failure: Failure, _retry_after_seconds: float) -> dict[str, str]:
    headers = problem_headers(failure)
    if isinstance(failure, NotRun) and failure.room_after_seconds is not None:
        headers["Retry-After"] = f"{failure.room_after_seconds:.3f}"
    elif isinstance(failure, NotRun) and failure.status == 503:
        headers["Retry-After"] = str(RETRY_AFTER_SECONDS)
    return headers


def _server_headers(request: ServerRequest) -> dict[str, str]:
    return {
        DEADLINE_HEADER: str(request.left_ms),
        DEPTH_HEADER: str(request.depth),
        RETRY_BUDGET_HEADER: str(request.retry_budget),
    }


def _classify_answer(
    status: int, headers: Headers, _request: Headers, _is_first_on_connection: bool
) -> AnswerKind:
    if status == 503 and headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN:
        return AnswerKind.NOT_RUN
    return AnswerKind.ANSWERED


NATIVE_DIALECT: Final = Dialect(
    deadline_header=DEADLINE_HEADER,
    depth_header=DEPTH_HEADER,
    retry_budget_header=RETRY_BUDGET_HEADER,
    request_id_header="",
    organisation_key_header="",
    private_headers=NATIVE_HEADERS,
    promise_statuses=frozenset(),
    failure_status=lambda failure: failure.status,
    failure_headers=_failure_headers,
    server_headers=_server_headers,
    classify_answer=_classify_answer,
    parse_server_report=lambda headers: ServerReport(),
)

RETRY_LATER_REASONS: Final = frozenset(
    {
        Reason.NOT_READY,
        Reason.NO_SERVER,
        Reason.FULL,
        Reason.SERVER_SLOW,
        Reason.LEAVING,
        Reason.DATA_CENTRE_OUT,
        Reason.ISOLATED,
        Reason.SHED_BY_SERVER,
        Reason.UNREACHABLE,
        Reason.VERSION_SHARE,
    }
)
"""Refusals that are likely to be temporary, so that a caller may retry later."""
