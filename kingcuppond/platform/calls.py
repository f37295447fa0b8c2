"""Names and formats of the headers on the users' platform's requests and answers.

``X-Kingcuppond-Not-Executed`` and 421 mean that the server did not run the request.  Without the
request's id they are accepted only on a connection that carried no earlier request.  Any other
answer must carry ``X-Kingcuppond-Server-Seal``, which shows that a server made it, the request's
id, and no content encoding, since none was requested.  An answer with the id of another request is
always unusable.
"""

import re
from typing import Final

from kingcuppond.dialect import (
    RETRY_LATER_REASONS,
    AnswerKind,
    Dialect,
    Headers,
    ServerLoad,
    ServerReport,
    ServerRequest,
)
from kingcuppond.outcomes import Failure, NotRun, Reason, problem_headers

REQUEST_ID_HEADER: Final = "X-Kingcuppond-Attempt-Id"
DEADLINE_MS_HEADER: Final = "X-Kingcuppond-Deadline-Ms"
CALLER_SERVICE_HEADER: Final = "X-Kingcuppond-Caller-Service"
TARGET_INSTANCE_HEADER: Final = "X-Kingcuppond-Target-Instance"
SERVER_SEAL_HEADER: Final = "X-Kingcuppond-Server-Seal"
NOT_EXECUTED_HEADER: Final = "X-Kingcuppond-Not-Executed"
SERVER_LOAD_HEADER: Final = "X-Kingcuppond-Server-Load"
INSTANCE_ID_HEADER: Final = "X-Kingcuppond-Instance-Id"
ORGANISATION_HEADER: Final = "X-Kingcuppond-Tenant"
ORGANISATION_KEY_HEADER: Final = "Api-Key"
COLD_MS_HEADER: Final = "X-Kingcuppond-Cold-Ms"

PER_CENT: Final = 100.0

NUMBER_PATTERN: Final = re.compile(r"[0-9]{1,15}")
"""A number that a server may state; a longer one is not taken for a number."""

STATUS_BY_REASON: Final = {
    Reason.NO_CLASS: 404,
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.TOO_LARGE: 413,
    Reason.QUOTA: 429,
}
"""All other requests that were not run get 503, which lets the client retry."""

PROMISE_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Clients take these to mean that a request has not run and never will, also from a server."""


def _failure_status(failure: Failure) -> int:
    if isinstance(failure, NotRun):
        return STATUS_BY_REASON.get(failure.reason, 503)
    return 504 if failure.reason is Reason.DEADLINE else 502


def _failure_headers(failure: Failure, retry_after_seconds: float) -> dict[str, str]:
    headers = problem_headers(failure)
    if isinstance(failure, NotRun) and failure.room_after_seconds is not None:
        headers["Retry-After"] = f"{failure.room_after_seconds:.3f}"
    elif isinstance(failure, NotRun) and failure.reason in RETRY_LATER_REASONS:
        headers["Retry-After"] = f"{retry_after_seconds:.3f}"
    return headers


def _server_headers(request: ServerRequest) -> dict[str, str]:
    headers = {
        DEADLINE_MS_HEADER: str(request.left_ms),
        CALLER_SERVICE_HEADER: request.caller_service,
    }
    if request.instance:
        headers[TARGET_INSTANCE_HEADER] = request.instance
    if request.organisation:
        headers[ORGANISATION_HEADER] = request.organisation
    return headers


def _classify_answer(
    status: int, headers: Headers, request: Headers, is_first_on_connection: bool
) -> AnswerKind:
    answered_id = headers.get(REQUEST_ID_HEADER)
    if answered_id is None and not is_first_on_connection:
        return AnswerKind.UNUSABLE
    if answered_id is not None and answered_id != request.get(REQUEST_ID_HEADER):
        return AnswerKind.UNUSABLE
    if status == 421:
        return AnswerKind.OTHER_INSTANCE
    if NOT_EXECUTED_HEADER in headers:
        return AnswerKind.NOT_RUN
    if SERVER_SEAL_HEADER not in headers or "Content-Encoding" in headers:
        return AnswerKind.UNUSABLE
    if answered_id is None and REQUEST_ID_HEADER in request:
        return AnswerKind.UNUSABLE
    return AnswerKind.ANSWERED


def parse_server_load(text: str) -> ServerLoad | None:
    """Parse ``RUNNING,WAITING,SLOTS`` with an optional fourth field, the slowdown in per cent.

    The slowdown is the time that requests take now, in per cent of the usual time.

    :return: ``None`` if the text has another form
    """
    parts = text.split(",")
    values = [number for part in parts if (number := _parse_number(part.strip())) is not None]
    if len(values) != len(parts) or len(values) not in (3, 4):
        return None
    slowdown = values[3] / PER_CENT if len(values) == 4 else 1.0
    return ServerLoad(values[0], values[1], values[2], slowdown)


def _parse_number(text: str) -> int | None:
    return int(text) if NUMBER_PATTERN.fullmatch(text) else None


def _parse_server_report(headers: Headers) -> ServerReport:
    return ServerReport(
        load=parse_server_load(headers.get(SERVER_LOAD_HEADER, "")),
        instance=headers.get(INSTANCE_ID_HEADER, ""),
        cold_ms=_parse_number(headers.get(COLD_MS_HEADER, "")),
        request_id=headers.get(REQUEST_ID_HEADER, ""),
    )


PLATFORM_DIALECT: Final = Dialect(
    deadline_header=DEADLINE_MS_HEADER,
    depth_header="",
    retry_budget_header="",
    request_id_header=REQUEST_ID_HEADER,
    organisation_key_header=ORGANISATION_KEY_HEADER.lower(),
    private_headers=frozenset(
        name.lower()
        for name in (
            DEADLINE_MS_HEADER,
            CALLER_SERVICE_HEADER,
            TARGET_INSTANCE_HEADER,
            ORGANISATION_HEADER,
        )
    ),
    promise_statuses=PROMISE_STATUSES,
    failure_status=_failure_status,
    failure_headers=_failure_headers,
    server_headers=_server_headers,
    classify_answer=_classify_answer,
    parse_server_report=_parse_server_report,
)
