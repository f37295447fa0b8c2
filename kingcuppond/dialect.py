"""What differs between the ways in which callers and servers speak HTTP to a daemon.

A dialect is a set of plain functions that turn headers into the product's types and back; it
decides nothing.  The product's own dialect stands here; that of the users' platform in
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
    problem_headers,
)

KEY_HEADER: Final = "Idempotency-Key"
DEADLINE_HEADER: Final = "Kingcuppond-Deadline-Ms"
DEPTH_HEADER: Final = "Kingcuppond-Depth"
RETRY_BUDGET_HEADER: Final = "Kingcuppond-Retry-Budget"
OWN_HEADERS: Final = frozenset(
    name.lower() for name in (DEADLINE_HEADER, DEPTH_HEADER, RETRY_BUDGET_HEADER)
)
WHOLE_SECONDS: Final = 1
"""``Retry-After`` of the own dialect has whole seconds, as RFC 9110 defines it."""

Headers = Mapping[str, str]


@attrs.frozen
class ServerRequest:
    """What a server is told beside the caller's own request.

    :param left_ms: milliseconds that are left to answer
    :param caller_service: service of the VM where the request began
    :param instance: incarnation of the server that is meant, empty if unknown
    """

    left_ms: int
    depth: int
    retry_budget: int
    caller_service: str
    instance: str


@attrs.frozen
class ServerLoad:
    """The load of a server as it tells it.

    :param slowdown: how long work takes there now, as a multiple of the usual
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


class AnswerKind(Enum):
    """What the head of a server's answer means."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    OTHER_INSTANCE = "another incarnation has the address"
    UNUSABLE = "not this server's answer to this request"


@attrs.frozen
class ServerWord:
    """What a server said of itself on an answer.

    :param instance: its incarnation, empty if it was not said
    :param cold_ms: how much longer it is cold, ``None`` if it was not said
    """

    load: ServerLoad | None = None
    instance: str = ""
    cold_ms: int | None = None


@attrs.frozen
class Dialect:
    """How callers and servers are spoken to.

    :param deadline_header: header with the milliseconds that a caller waits
    :param request_id_header: header with the caller's own id of the request
    :param private_headers: lower-case names of request headers that are never passed on
    :param failure_status: HTTP status that tells a caller of a failure
    :param failure_headers: headers that tell a caller of a failure, given the seconds after which
        it may come again
    :param server_headers: headers that a server is sent
    :param kind_of_answer: what a server's answer means, by status, its headers and the request's
    :param read_word: what a server says of itself on an answer
    """

    deadline_header: str
    request_id_header: str
    private_headers: frozenset[str]
    failure_status: Callable[[Failure], int]
    failure_headers: Callable[[Failure, float], dict[str, str]]
    server_headers: Callable[[ServerRequest], dict[str, str]]
    kind_of_answer: Callable[[int, Headers, Headers], AnswerKind]
    read_word: Callable[[Headers], ServerWord]


def _failure_headers(failure: Failure, _after: float) -> dict[str, str]:
    headers = problem_headers(failure)
    if isinstance(failure, NotRun) and failure.status == 503:
        headers["Retry-After"] = str(WHOLE_SECONDS)
    return headers


def _server_headers(request: ServerRequest) -> dict[str, str]:
    return {
        DEADLINE_HEADER: str(request.left_ms),
        DEPTH_HEADER: str(request.depth),
        RETRY_BUDGET_HEADER: str(request.retry_budget),
    }


def _kind_of_answer(status: int, headers: Headers, _request: Headers) -> AnswerKind:
    if status == 503 and headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN:
        return AnswerKind.NOT_RUN
    return AnswerKind.ANSWERED


OWN_DIALECT: Final = Dialect(
    deadline_header=DEADLINE_HEADER,
    request_id_header="",
    private_headers=OWN_HEADERS,
    failure_status=lambda failure: failure.status,
    failure_headers=_failure_headers,
    server_headers=_server_headers,
    kind_of_answer=_kind_of_answer,
    read_word=lambda headers: ServerWord(),
)

RETRY_LATER_REASONS: Final = frozenset(
    {
        Reason.NOT_READY,
        Reason.NO_SERVER,
        Reason.FULL,
        Reason.SLOW,
        Reason.LEAVING,
        Reason.OUT_OF_SERVICE,
        Reason.ISOLATED,
        Reason.SHED,
        Reason.UNREACHABLE,
    }
)
"""Refusals that may be over soon, so that coming again makes sense."""
