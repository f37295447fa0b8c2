"""Sends admitted calls to the server beside this daemon, and classifies what it answers."""

import time
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import attrs
from expression import Error, Ok, Result

from kingcuppond.dialect import AnswerKind, Dialect, Headers, ServerRequest, check_promise
from kingcuppond.gate.trials import read_ahead
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.routing.call import Answer, Call, InvalidAnswerError
from kingcuppond.routing.exchange import exchange
from kingcuppond.routing.headers import to_multidict


@attrs.frozen
class ServerClient:
    """The connections to the server.

    :param session: reuses its connections; for calls that may be repeated
    :param fresh_session: opens a connection for each call, for calls that must not be repeated or
        have no id; bytes sent after an earlier answer cannot be read as the answer to such a call
    :param address: returns the address of the server, which may change while a body arrives
    :param instance: returns the id of the incarnation that may run a call
    :param record_report: takes the headers of each answer, which may carry a report of the server
    """

    vm: str
    session: aiohttp.ClientSession
    fresh_session: aiohttp.ClientSession
    dialect: Dialect
    address: Callable[[], str]
    instance: Callable[[], str]
    record_report: Callable[[Headers], None]

    async def send(self, call: Call) -> Result[Answer, Failure]:
        """Send a call to the server."""
        if call.at_most_once:
            unread = await read_ahead(call.body.buffer())
            if unread is not None:
                return Error(unread)
        headers = to_multidict(call.headers)
        left_ms = int((call.deadline - time.monotonic()) * 1000)
        server_request = ServerRequest(
            max(left_ms, 1),
            call.depth,
            call.retry_budget,
            call.caller_service,
            self.instance(),
            call.organisation,
        )
        headers.update(self.dialect.server_headers(server_request))

        def classify(status: int, answer_headers: Headers, is_first: bool) -> AnswerKind:
            return self.dialect.classify_answer(status, answer_headers, headers, is_first)

        result = await exchange(
            self._session_for(call),
            self.address(),
            call.method,
            call.target,
            headers,
            call.body,
            call.deadline,
            accept=lambda *received: classify(*received) is not AnswerKind.UNUSABLE,
            on_send=lambda: call.delivery.attempts.add(call.id),
        )
        if result.is_error():
            return Error(result.error)
        answer_headers = result.ok.headers
        answer = result.ok.answer
        self.record_report(answer_headers)
        kind = classify(answer.status, answer_headers, result.ok.is_first_on_connection)
        false_promise = None
        if kind is AnswerKind.ANSWERED:
            false_promise = check_promise(self.dialect, answer.status, call.at_most_once)
            if false_promise is None:
                return Ok(answer)
        await answer.close()
        if false_promise is not None:
            return Error(false_promise)
        if kind is AnswerKind.OTHER_INSTANCE:
            return Error(NotRun(Reason.NO_SERVER, "another server incarnation has the address now"))
        return Error(NotRun(Reason.SHED_BY_SERVER, f"the server on {self.vm} shed the call"))

    def _session_for(self, call: Call) -> aiohttp.ClientSession:
        # On a reused connection, only the request's id shows that an answer belongs to it.
        lacks_id = bool(self.dialect.request_id_header) and not call.request_id
        return self.fresh_session if call.at_most_once or lacks_id else self.session


def track_stream(
    answer: Answer,
    on_end: Callable[[], None],
    on_lost: Callable[[Unknown], Awaitable[None]],
    on_close: Callable[[], None],
) -> Answer:
    """Return a streamed answer that reports its own end.

    :param on_end: called when the whole answer was read
    :param on_lost: called when the answer broke off
    :param on_close: called when the code that receives the answer closes it
    """
    source = answer.chunks
    close = answer.close

    async def tracked_chunks() -> AsyncIterator[bytes]:
        assert source is not None
        try:
            async for chunk in source:
                yield chunk
        except InvalidAnswerError as exc:
            await on_lost(Unknown(exc.reason, str(exc)))
            raise
        on_end()

    async def close_tracked() -> None:
        on_close()
        await close()

    return attrs.evolve(answer, chunks=tracked_chunks(), close=close_tracked)
