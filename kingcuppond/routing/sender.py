"""One attempt: sends a call to the gate of one server, locally or through another daemon.

The view of the server is updated with the result of the attempt and the load report of its gate.
"""

from typing import Final

import aiohttp
import attrs
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.dialect import Headers
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.gate.gate import Gate
from kingcuppond.membership.directory import Directory
from kingcuppond.outcomes import OUTCOME_HEADER, Failure, NotRun, Outcome, Reason, Unknown
from kingcuppond.routing import relay
from kingcuppond.routing.call import Answer, Call
from kingcuppond.routing.choice import Candidate
from kingcuppond.routing.exchange import ReceivedAnswer, exchange
from kingcuppond.routing.headers import (
    CALL_HEADER,
    GATE_REPORT_HEADER,
    MAC_HEADER,
    RELAY_HEADER,
    to_multidict,
)
from kingcuppond.routing.view import DEFAULT_LATENCY_SECONDS, parse_report
from kingcuppond.typical_latency import TypicalLatencies

CONTINUE_TIMEOUT_SECONDS: Final = 0.25
"""Timeout for the gate's decision on a call, unless it is sent as a last resort; the decision takes
milliseconds, or longer on a busy machine."""

EXPECT_CONTINUE_BYTES: Final = 8192
"""Longer bodies are sent only after the gate admitted the call: a refused body would cost more than
the round trip."""

SOON_OVER_REASONS: Final = (Reason.FULL, Reason.VERSION_SHARE)
"""Refusals by a gate that soon accepts calls again, so that it is soon asked again."""


@attrs.define
class Sender:
    """Sends calls to gates.

    :param attempts: number of attempts so far
    :param typical_latencies: latencies of successful calls by class, over all servers
    """

    directory: Directory
    gate: Gate
    session: aiohttp.ClientSession
    fleet_key: bytes
    clock: Clock
    journal: Journal
    attempts: int = 0
    typical_latencies: TypicalLatencies = attrs.field(factory=TypicalLatencies)

    async def attempt(self, call: Call, candidate: Candidate) -> Result[Answer, Failure]:
        """Send a call to one server and record the result."""
        self.attempts += 1
        view = candidate.view
        started = self.clock.monotonic()
        self._record_sent(call, candidate, started)
        view.start(call.id, started)
        # Half of the remaining retry budget is passed on with the call for its nested calls.
        sent = attrs.evolve(call, retry_budget=max(0, call.retry_budget) // 2)
        try:
            if candidate.is_local:
                result = await self.gate.run(sent)
                view.update_report(self.gate.report(), self.clock.monotonic())
            else:
                result = await self._send_to_daemon(sent, candidate)
        except BaseException:
            typical_seconds = self.typical_seconds(call.class_name)
            view.abandon(call.id, self.clock.monotonic(), typical_seconds)
            raise
        now = self.clock.monotonic()
        if result.is_error() and isinstance(result.error, NotRun):
            call.delivery.attempts.discard(call.id)
            if result.error.reason is Reason.SERVER_SLOW:
                view.started_by_call.pop(call.id, None)
            else:
                view.record_refusal(call.id, now, result.error.reason in SOON_OVER_REASONS)
            return result
        is_good = result.is_ok() and result.ok.status < 500
        slowdown = result.ok.begun_slowdown if result.is_ok() else 1.0
        view.end(call.id, now, is_good, self.typical_seconds(call.class_name), slowdown)
        if is_good:
            self.typical_latencies.update(call.class_name, now - started, slowdown)
        if result.is_ok():
            status = result.ok.status
            self.journal.record(
                catalogue.CALL_ANSWERED,
                call=call.id,
                request=call.request_id,
                status=status,
                member=candidate.vm,
                ms=_to_ms(now - started),
            )
        return result

    def _record_sent(self, call: Call, candidate: Candidate, now: float) -> None:
        view = candidate.view
        self.journal.record(
            catalogue.CALL_SENT,
            call=call.id,
            request=call.request_id,
            member=candidate.vm,
            class_of_work=call.class_name,
            expected_ms=_to_ms(view.expected_seconds(now, self.typical_seconds(call.class_name))),
            load=round(view.load_share(now), 2),
            word_age_ms=None if view.report is None else _to_ms(now - view.reported_at),
            left_ms=_to_ms(call.deadline - now),
            is_last_resort=call.is_last_resort,
        )

    def typical_seconds(self, class_name: str) -> float:
        """Return the typical latency of successful calls of a class."""
        return self.typical_latencies.seconds_by_class.get(class_name, DEFAULT_LATENCY_SECONDS)

    async def _send_to_daemon(self, call: Call, candidate: Candidate) -> Result[Answer, Failure]:
        member = self.directory.members_by_vm.get(candidate.vm)
        if member is None:
            return Error(NotRun(Reason.NO_SERVER, f"{candidate.vm} is no longer a member"))
        if not (call.at_most_once and call.body.is_buffered):
            # The gate may pass the call on before it has asked for the body.
            call.delivery.attempts.add(call.id)
        head = relay.encode(self._relay_head(call, member.vm))
        headers = to_multidict(call.headers)
        headers[RELAY_HEADER] = head
        headers[MAC_HEADER] = relay.sign(self.fleet_key, call.method, call.target, head)
        result = await exchange(
            self.session,
            member.relay_address,
            call.method,
            call.target,
            headers,
            call.body,
            call.deadline,
            continue_seconds=self._continue_seconds(call),
            accept=lambda _status, headers, is_first: _belongs_to(call, headers, is_first),
            on_send=lambda: call.delivery.attempts.add(call.id),
        )
        return await self._read_result(result, candidate)

    def _continue_seconds(self, call: Call) -> float | None:
        """Return how many seconds to wait for ``100 Continue``; ``None`` to send the body at once.

        The body is held back if it is long, or if the call must not run twice: until the gate asks
        for the body, the call has certainly not run, even if the connection breaks.
        """
        has_body = not call.body.is_buffered or bool(call.body.buffered)
        is_long = not call.body.is_buffered or len(call.body.buffered) > EXPECT_CONTINUE_BYTES
        if not has_body or not (is_long or call.at_most_once):
            return None
        left = call.deadline - self.clock.monotonic()
        return left if call.is_last_resort else min(left, CONTINUE_TIMEOUT_SECONDS)

    def _relay_head(self, call: Call, vm: str) -> relay.RelayHead:
        now = self.clock.monotonic()
        target_left = call.target_at - now
        return relay.RelayHead(
            call=call.id,
            to=vm,
            class_name=call.class_name,
            service=call.service,
            left_ms=max(1, int((call.deadline - now) * 1000)),
            depth=call.depth,
            retry_budget=call.retry_budget,
            at_most_once=call.at_most_once,
            fingerprint=call.fingerprint,
            is_on_trial=call.is_on_trial,
            stamp=self.clock.stamp(),
            request_id=call.request_id,
            caller_service=call.caller_service,
            target_left_ms=int(target_left * 1000),
            priority=call.priority,
            is_last_resort=call.is_last_resort,
            organisation=call.organisation,
        )

    async def _read_result(
        self, result: Result[ReceivedAnswer, Failure], candidate: Candidate
    ) -> Result[Answer, Failure]:
        if result.is_error():
            return Error(result.error)
        headers = result.ok.headers
        answer = result.ok.answer
        report = parse_report(headers.get(GATE_REPORT_HEADER, ""))
        candidate.view.update_report(report, self.clock.monotonic())
        outcome = headers.get(OUTCOME_HEADER)
        if outcome == Outcome.ANSWERED:
            slowdown = 1.0 if report is None else report.begun_slowdown
            return Ok(attrs.evolve(answer, begun_slowdown=slowdown))
        await answer.close()
        reason = _reason_of(answer)
        detail = f"reported by the gate of {candidate.vm}"
        if outcome == Outcome.NOT_RUN:
            return Error(NotRun(reason, detail))
        return Error(Unknown(reason, detail))


def _belongs_to(call: Call, headers: Headers, is_first_on_connection: bool) -> bool:
    """Return whether the answer of another daemon belongs to a call.

    Only a refusal of a call that could not be read has no id.  A daemon of an earlier version sends
    none at all; it must not make the answers of servers unusable during an upgrade.
    """
    answered_id = headers.get(CALL_HEADER)
    if answered_id is None:
        return is_first_on_connection or headers.get(OUTCOME_HEADER) == Outcome.ANSWERED
    return answered_id == call.id


def _to_ms(seconds: float) -> int:
    return round(seconds * 1000)


def _reason_of(answer: Answer) -> Reason:
    # The reason is the end of the ``type`` URN in the gate's problem details.
    text = (answer.body or b"").decode("utf-8", "replace")
    _, _, rest = text.partition('"urn:kingcuppond:')
    try:
        return Reason(rest.partition('"')[0])
    except ValueError:
        return Reason.CONNECTION_LOST
