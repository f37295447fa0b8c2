"""Headers of the users' platform are decoded and encoded."""

import pytest

from kingcuppond.dialect import AnswerKind, ServerLoad, ServerRequest
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.platform.calls import PLATFORM_DIALECT, parse_server_load

ID = "X-Kingcuppond-Attempt-Id"
SEAL = {"X-Kingcuppond-Server-Seal": "3e1b"}


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("3,0,8", ServerLoad(3, 0, 8)),
        ("0,0,6,700", ServerLoad(0, 0, 6, 7.0)),
        ("0, 1, 6", ServerLoad(0, 1, 6)),
        ("", None),
        ("3,0", None),
        ("3,x,8", None),
        ("-1,0,8", None),
        ("0,0,6," + "9" * 5000, None),
    ],
)
def test_parse_server_load(text: str, expected: ServerLoad | None) -> None:
    assert parse_server_load(text) == expected


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, {**SEAL, ID: "a"}, AnswerKind.ANSWERED),
        (500, {**SEAL, ID: "a"}, AnswerKind.ANSWERED),
        (200, {ID: "a"}, AnswerKind.UNUSABLE),
        (200, {**SEAL, ID: "b"}, AnswerKind.UNUSABLE),
        (200, SEAL, AnswerKind.UNUSABLE),
        (503, {"X-Kingcuppond-Not-Executed": "1", ID: "b"}, AnswerKind.UNUSABLE),
        (200, {**SEAL, ID: "a", "Content-Encoding": "gzip"}, AnswerKind.UNUSABLE),
        (503, {"X-Kingcuppond-Not-Executed": "1"}, AnswerKind.NOT_RUN),
        (421, {"X-Kingcuppond-Instance-Id": "i"}, AnswerKind.OTHER_INSTANCE),
        (502, {}, AnswerKind.UNUSABLE),
    ],
    ids=[
        "success",
        "server error with a seal",
        "success without a seal",
        "late answer to another request",
        "late answer without an id",
        "late refusal of another request",
        "encoded by an intermediary",
        "refused by the server",
        "another incarnation",
        "failure without a seal",
    ],
)
def test_kind_of_answer(status: int, headers: dict[str, str], expected: AnswerKind) -> None:
    assert PLATFORM_DIALECT.classify_answer(status, headers, {ID: "a"}, True) is expected


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, {**SEAL, ID: "a"}, AnswerKind.ANSWERED),
        (503, {"X-Kingcuppond-Not-Executed": "1", ID: "a"}, AnswerKind.NOT_RUN),
        (503, {"X-Kingcuppond-Not-Executed": "1"}, AnswerKind.UNUSABLE),
        (421, {"X-Kingcuppond-Instance-Id": "i", ID: "a"}, AnswerKind.OTHER_INSTANCE),
        (421, {"X-Kingcuppond-Instance-Id": "i"}, AnswerKind.UNUSABLE),
    ],
    ids=[
        "success",
        "refused by the server",
        "refusal without an id",
        "another incarnation",
        "another incarnation without an id",
    ],
)
def test_kind_of_answer_on_a_used_connection(
    status: int, headers: dict[str, str], expected: AnswerKind
) -> None:
    """Only the id shows that the answer is not one to an earlier request."""
    assert PLATFORM_DIALECT.classify_answer(status, headers, {ID: "a"}, False) is expected


@pytest.mark.parametrize(
    ("failure", "status", "is_retryable"),
    [
        (NotRun(Reason.FULL, ""), 503, True),
        (NotRun(Reason.SERVER_SLOW, ""), 503, True),
        (NotRun(Reason.HARMFUL, ""), 503, False),
        (NotRun(Reason.NO_CLASS, ""), 404, False),
        (NotRun(Reason.NOT_READY, ""), 503, True),
        (Unknown(Reason.DEADLINE, ""), 504, False),
        (Unknown(Reason.CONNECTION_LOST, ""), 502, False),
    ],
)
def test_failure_status_and_retry_after(failure: Failure, status: int, is_retryable: bool) -> None:
    """503 says that the request did not run; 502 and 504 leave that open."""
    assert PLATFORM_DIALECT.failure_status(failure) == status
    headers = PLATFORM_DIALECT.failure_headers(failure, 0.125)
    assert headers.get("Retry-After") == ("0.125" if is_retryable else None)
    assert "X-Kingcuppond-Server-Seal" not in headers


def test_request_names_caller_service_and_target_instance() -> None:
    headers = PLATFORM_DIALECT.server_headers(ServerRequest(250, 1, 1, "shop", "i-1"))
    assert headers == {
        "X-Kingcuppond-Deadline-Ms": "250",
        "X-Kingcuppond-Caller-Service": "shop",
        "X-Kingcuppond-Target-Instance": "i-1",
    }


def test_a_number_that_is_too_long_is_no_number() -> None:
    """Guards against calls that fail because a server states an odd number about itself."""
    headers = {"X-Kingcuppond-Cold-Ms": "9" * 5000, "X-Kingcuppond-Server-Load": "1,0,6"}
    report = PLATFORM_DIALECT.parse_server_report(headers)
    assert report.cold_ms is None
    assert report.load == ServerLoad(1, 0, 6)
