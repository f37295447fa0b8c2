"""Requests and answers of the users' platform: the names and formats of their headers.

``X-Kingcuppond-Server-Seal`` marks an answer as a server's own; a success without it, or with the
id of another request, or with an encoding that nobody asked for, is not the answer.
``X-Kingcuppond-Not-Executed`` and 421 say that the server did not run the request.
"""

from typing import Final

from kingcuppond.dialect import (
    OWN_HEADERS,
    RETRY_LATER_REASONS,
    AnswerKind,
    Dialect,
    Headers,
    ServerLoad,
    ServerRequest,
    ServerWord,
)
from kingcuppond.outcomes import Failure, NotRun, Reason, problem_headers

REQUEST_ID: Final = "X-Kingcuppond-Attempt-Id"
DEADLINE_MS: Final = "X-Kingcuppond-Deadline-Ms"
CALLER_SERVICE: Final = "X-Kingcuppond-Caller-Service"
WANTED_INSTANCE: Final = "X-Kingcuppond-Target-Instance"
SEAL: Final = "X-Kingcuppond-Server-Seal"
NOT_EXECUTED: Final = "X-Kingcuppond-Not-Executed"
LOAD: Final = "X-Kingcuppond-Server-Load"
INSTANCE: Final = "X-Kingcuppond-Instance-Id"
COLD_MS: Final = "X-Kingcuppond-Cold-Ms"

PER_CENT: Final = 100.0

STATUS_BY_REASON: Final = {
    Reason.NO_CLASS: 404,
    Reason.BAD_REQUEST: 400,
    Reason.TOO_LARGE: 413,
}
"""All other requests that were not run get 503, so that the client may come again."""


def _failure_status(failure: Failure) -> int:
    if isinstance(failure, NotRun):
        return STATUS_BY_REASON.get(failure.reason, 503)
    return 504 if failure.reason is Reason.DEADLINE else 502


def _failure_headers(failure: Failure, after: float) -> dict[str, str]:
    headers = problem_headers(failure)
    if isinstance(failure, NotRun) and failure.reason in RETRY_LATER_REASONS:
        headers["Retry-After"] = f"{after:.3f}"
    return headers


def _server_headers(request: ServerRequest) -> dict[str, str]:
    headers = {DEADLINE_MS: str(request.left_ms), CALLER_SERVICE: request.caller_service}
    if request.instance:
        headers[WANTED_INSTANCE] = request.instance
    return headers


def _kind_of_answer(status: int, headers: Headers, request: Headers) -> AnswerKind:
    if headers.get(REQUEST_ID, request.get(REQUEST_ID)) != request.get(REQUEST_ID):
        return AnswerKind.UNUSABLE
    if status == 421:
        return AnswerKind.OTHER_INSTANCE
    if NOT_EXECUTED in headers:
        return AnswerKind.NOT_RUN
    if SEAL not in headers or "Content-Encoding" in headers:
        return AnswerKind.UNUSABLE
    return AnswerKind.ANSWERED


def read_load(text: str) -> ServerLoad | None:
    """Decode ``RUNNING,WAITING,SLOTS`` with an optional fourth figure, per cent of the usual time.

    :return: ``None`` if the text is something else
    """
    parts = text.split(",")
    if len(parts) not in (3, 4) or not all(part.strip().isdecimal() for part in parts):
        return None
    figures = [int(part) for part in parts]
    slowdown = figures[3] / PER_CENT if len(figures) == 4 else 1.0
    return ServerLoad(figures[0], figures[1], figures[2], slowdown)


def _read_word(headers: Headers) -> ServerWord:
    cold = headers.get(COLD_MS, "")
    return ServerWord(
        load=read_load(headers.get(LOAD, "")),
        instance=headers.get(INSTANCE, ""),
        cold_ms=int(cold) if cold.isdecimal() else None,
    )


PLATFORM_DIALECT: Final = Dialect(
    deadline_header=DEADLINE_MS,
    request_id_header=REQUEST_ID,
    private_headers=OWN_HEADERS
    | {DEADLINE_MS.lower(), CALLER_SERVICE.lower(), WANTED_INSTANCE.lower()},
    failure_status=_failure_status,
    failure_headers=_failure_headers,
    server_headers=_server_headers,
    kind_of_answer=_kind_of_answer,
    read_word=_read_word,
)
