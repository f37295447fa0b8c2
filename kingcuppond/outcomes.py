"""The three outcomes of a call, and how they are reported to a caller.

``Answered``: a server's complete answer.  ``NotRun``: no server has run the call and none will.
``Unknown``: it may have run.  The three are types and not flags, so that code that decides on
retries (after ``NotRun`` only, or for a repeatable call) can't confuse them.

Answers that kingcuppond generates itself are problem details (RFC 9457) with the header
``Kingcuppond-Outcome``.
"""

from enum import StrEnum
from typing import Final

import attrs
import msgspec

OUTCOME_HEADER: Final = "Kingcuppond-Outcome"
PROBLEM_TYPE: Final = "application/problem+json"


class Outcome(StrEnum):
    """The values of ``Kingcuppond-Outcome``."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a call has no answer.  The values are stable, since callers and tests compare them."""

    NO_CLASS = "no-class"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_READY = "not-ready"
    NO_SERVER = "no-server"
    FULL = "full"
    SERVER_SLOW = "server-slow-now"
    LEAVING = "leaving"
    DATA_CENTRE_OUT = "data-centre-out"
    ISOLATED = "isolated"
    SHED_BY_SERVER = "shed-by-server"
    DEADLINE = "deadline"
    UNREACHABLE = "unreachable"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    KEY_REUSED = "key-with-other-content"
    KEY_RUNNING = "key-running"
    KEY_RAN = "key-ran"
    VERSION_SHARE = "version-share"
    HARMFUL = "held-as-harmful"
    QUOTA = "over-quota"
    CONNECTION_LOST = "connection-lost"
    CANCELLED = "cancelled"
    DUPLICATE = "doubled"
    FAILED_BY_SERVER = "failed-by-server"


STATUS_BY_REASON: Final = {
    Reason.NO_CLASS: 404,
    Reason.BAD_REQUEST: 400,
    Reason.TOO_LARGE: 413,
    Reason.UNAUTHORIZED: 401,
    Reason.FORBIDDEN: 403,
    Reason.KEY_REUSED: 409,
    Reason.KEY_RUNNING: 409,
    Reason.KEY_RAN: 409,
    Reason.HARMFUL: 422,
    Reason.QUOTA: 429,
}


@attrs.frozen
class NotRun:
    """No server has run the call, and this attempt will never be run.

    :param room_after_seconds: when there will be room, if that is known
    """

    reason: Reason
    detail: str
    room_after_seconds: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status for the caller."""
        return STATUS_BY_REASON.get(self.reason, 503)


@attrs.frozen
class Unknown:
    """The call may have run: a server may have received it, and no complete answer arrived."""

    reason: Reason
    detail: str

    @property
    def status(self) -> int:
        """The HTTP status for the caller."""
        return STATUS_BY_REASON.get(self.reason, 504)


Failure = NotRun | Unknown


@attrs.frozen
class Problem:
    """The body of an answer that kingcuppond generates itself (RFC 9457)."""

    type: str
    title: str
    status: int
    detail: str


def outcome_of(failure: Failure) -> Outcome:
    """Return the header value for a failure."""
    return Outcome.NOT_RUN if isinstance(failure, NotRun) else Outcome.UNKNOWN


def problem_body(failure: Failure) -> bytes:
    """Encode the problem details of a failure."""
    problem = Problem(
        type=f"urn:kingcuppond:{failure.reason.value}",
        title=failure.reason.value.replace("-", " "),
        status=failure.status,
        detail=failure.detail,
    )
    return msgspec.json.encode(problem)


def problem_headers(failure: Failure) -> dict[str, str]:
    """Return the headers of the answer for a failure."""
    return {"Content-Type": PROBLEM_TYPE, OUTCOME_HEADER: outcome_of(failure).value}
