"""The port for calls that other daemons relay to this daemon's gate.

A relayed call must be authenticated with the fleet's key, and is passed to the gate only.  The
answer names the call that it belongs to, and may carry a load report of the gate.
"""

import math
from collections.abc import Callable
from typing import Final

import attrs
from aiohttp import web

from kingcuppond.clock import Clock
from kingcuppond.dialect import NATIVE_DIALECT
from kingcuppond.gate.gate import Gate
from kingcuppond.ingress.http_server import trust_connection
from kingcuppond.ingress.in_progress import RequestsInProgress, stopped_during
from kingcuppond.ingress.requests import read_relayed_body
from kingcuppond.ingress.responses import refuse, send_answer
from kingcuppond.outcomes import Failure
from kingcuppond.routing.budgets import WindowBudget
from kingcuppond.routing.call import Call, InvalidAnswerError
from kingcuppond.routing.headers import (
    CALL_HEADER,
    GATE_REPORT_HEADER,
    MAC_HEADER,
    RELAY_HEADER,
    RELAY_HEADERS,
    end_to_end,
)
from kingcuppond.routing.relay import RelayHead, verify

REPORT_OVERHEAD_BYTES: Final = len(GATE_REPORT_HEADER) + 4
"""The header's name, and the separators before and after its value."""


@attrs.frozen
class RelayedCallPort:
    """Serves relayed calls.

    :param fleet_key: the key that all daemons of the fleet share
    :param report_budget: byte budget for load reports
    :param requests: the requests that this daemon is serving
    """

    vm: str
    gate: Gate
    fleet_key: bytes
    report_budget: WindowBudget
    clock: Clock
    requests: RequestsInProgress

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a call relayed by another daemon."""
        self.requests.begin()
        started = self.clock.monotonic()
        try:
            await self.requests.until_current()
            return await self._serve(request, started)
        finally:
            self.requests.end()

    async def _serve(self, request: web.BaseRequest, started: float) -> web.StreamResponse:
        verified = verify(
            self.fleet_key,
            request.method,
            request.raw_path,
            request.headers.get(RELAY_HEADER, ""),
            request.headers.get(MAC_HEADER, ""),
            self.vm,
            self.clock.fleet_ms(),
        )
        if verified.is_error():
            response = self._refuse(request, verified.error, {})
            # Without the id of the call, its sender trusts the answer only on a new connection.
            response.force_close()
            return response
        trust_connection(request)
        self.clock.observe(verified.ok.stamp)
        call = _make_call(request, verified.ok, started, self.clock.monotonic)
        result = await self.requests.until_close(
            self.gate.run(call), lambda: stopped_during(call, self.vm)
        )
        if result.is_error():
            return self._refuse(request, result.error, self._headers(call))
        answer = result.ok
        try:
            # Relaying daemons close their connections once this daemon has left the fleet.
            return await send_answer(
                request,
                answer,
                self._headers(call, answer.begun_slowdown),
                False,
                call.deadline - self.clock.monotonic(),
            )
        except InvalidAnswerError as exc:
            raise ConnectionResetError(str(exc)) from exc
        finally:
            await answer.close()

    def _headers(self, call: Call, begun_slowdown: float = 1.0) -> dict[str, str]:
        """Return the headers for a relaying daemon.

        They are the id of the call and, unless the budget is used up, the gate's load report.
        """
        headers = {CALL_HEADER: call.id}
        text = self.gate.report(begun_slowdown).encode()
        if self.report_budget.take(REPORT_OVERHEAD_BYTES + len(text)):
            headers[GATE_REPORT_HEADER] = text
        return headers

    def _refuse(
        self, request: web.BaseRequest, failure: Failure, headers: dict[str, str]
    ) -> web.Response:
        """Make the response to a call that has no answer of a server, in the native dialect."""
        response = refuse(request, failure, NATIVE_DIALECT, self.gate.directory.me.is_leaving)
        response.headers.update(headers)
        return response


def _make_call(
    request: web.BaseRequest, relay: RelayHead, started: float, now: Callable[[], float]
) -> Call:
    connection = request.headers.get("Connection", "")
    deadline = started + relay.left_ms / 1000
    return Call(
        id=relay.call,
        class_name=relay.class_name,
        service=relay.service,
        method=request.method,
        target=request.raw_path,
        headers=end_to_end(request.headers.items(), connection, RELAY_HEADERS),
        body=read_relayed_body(request, deadline, now),
        deadline=deadline,
        depth=relay.depth,
        retry_budget=relay.retry_budget,
        at_most_once=relay.at_most_once,
        fingerprint=relay.fingerprint,
        is_on_trial=relay.is_on_trial,
        request_id=relay.request_id,
        caller_service=relay.caller_service,
        target_at=(
            math.inf if relay.target_left_ms is None else started + relay.target_left_ms / 1000
        ),
        priority=relay.priority,
        is_last_resort=relay.is_last_resort,
        organisation=relay.organisation,
    )
