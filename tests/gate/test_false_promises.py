"""A status that promises that a call has not run comes only from a server that states it."""

from collections.abc import Sequence

import pytest
from expression import Result

from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.routing.call import Answer
from tests.gate.test_stale_refusals import ID, gate_of, run, serving

PROMISES = ("408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable")
BODIES = {
    "short": b"Content-Length: 2\r\n\r\nno",
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    "streamed": b"Content-Length: 100000\r\n\r\n" + b"x" * 100_000,
}


def sealed(status: str, body: bytes, *headers: str) -> bytes:
    lines = (f"HTTP/1.1 {status}", f"{ID}: a", "X-Kingcuppond-Server-Seal: 3e1b", *headers)
    return "".join(f"{line}\r\n" for line in lines).encode() + body


async def send(response: bytes, at_most_once: bool) -> Result[Answer, Failure]:
    async with serving([response]) as server, gate_of(server) as gate:
        result = await run(gate, "a", at_most_once)
        if result.is_ok():
            await result.ok.close()
        assert gate.in_flight == 0
        return result


@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES)
@pytest.mark.parametrize("status", PROMISES)
async def test_a_failure_after_a_run_at_most_once_promises_nothing(
    status: str, body: bytes
) -> None:
    """The server's own 503 was passed on; clients took it for a promise, and the call ran twice."""
    result = await send(sealed(status, body), at_most_once=True)
    assert isinstance(result.error, Unknown)
    assert result.error.reason is Reason.FAILED_BY_SERVER


@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES)
@pytest.mark.parametrize("status", PROMISES)
async def test_a_failure_of_a_repeatable_call_is_passed_on(status: str, body: bytes) -> None:
    """The server's status, body and seal are returned unchanged wherever that does no harm."""
    result = await send(sealed(status, body), at_most_once=False)
    assert result.ok.status == int(status[:3])
    assert ("X-Kingcuppond-Server-Seal", "3e1b") in result.ok.headers


@pytest.mark.parametrize("status", ["200 OK", "409 Conflict", "500 Error", "504 Timeout"])
async def test_statuses_that_promise_nothing_are_passed_on(status: str) -> None:
    result = await send(sealed(status, BODIES["short"]), at_most_once=True)
    assert result.ok.status == int(status[:3])


@pytest.mark.parametrize("at_most_once", [False, True], ids=["repeatable", "at most once"])
@pytest.mark.parametrize(
    ("status", "headers"),
    [(status, ["X-Kingcuppond-Not-Executed: 1"]) for status in PROMISES]
    + [("421 Misdirected Request", [])],
)
async def test_a_refusal_of_the_server_stays_a_promise(
    status: str, headers: Sequence[str], at_most_once: bool
) -> None:
    result = await send(sealed(status, BODIES["short"], *headers), at_most_once)
    assert isinstance(result.error, NotRun)
