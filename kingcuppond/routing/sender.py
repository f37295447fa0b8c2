"""One attempt: a call goes to the gate of one server, here or over another daemon.

The view of the server is fed by how the attempt went and by what its gate wrote on the answer.
"""

from typing import Final

import aiohttp
import attrs
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.gate.gate import Gate
from kingcuppond.membership.directory import Directory
from kingcuppond.outcomes import OUTCOME_HEADER, Failure, NotRun, Outcome, Reason, Unknown
from kingcuppond.routing import relay
from kingcuppond.routing.call import Answer, Call
from kingcuppond.routing.choice import Candidate
from kingcuppond.routing.exchange import Exchanged, exchange
from kingcuppond.routing.headers import GATE_HEADER, MAC_HEADER, RELAY_HEADER, to_multidict
from kingcuppond.routing.view import DEFAULT_LATENCY_SECONDS, parse_report
from kingcuppond.usual import UsualTimes

CONTINUE_SECONDS: Final = 0.25
"""A gate that is not the last resort decides within milliseconds, on a busy machine later."""

EXPECT_BYTES: Final = 8192
"""A longer body is sent only after the gate let the call in: it costs more than the round trip."""


@attrs.define
class Sender:
    """Sends calls to gates.

    :param usual: how long good answers take, wherever they come from
    """

    directory: Directory
    gate: Gate
    session: aiohttp.ClientSession
    fleet_key: bytes
    clock: Clock
    journal: Journal
    attempts: int = 0
    usual: UsualTimes = attrs.field(factory=UsualTimes)

    async def attempt(self, call: Call, candidate: Candidate) -> Result[Answer, Failure]:
        """Send a call to one server."""
        self.attempts += 1
        view = candidate.view
        started = self.clock.monotonic()
        self._record_sent(call, candidate, started)
        view.start(call.id, started)
        # Half of what is left of the retry budget goes with the call, to be spent by nested calls.
        sent = attrs.evolve(call, retry_budget=max(0, call.retry_budget) // 2)
        try:
            if candidate.is_local:
                got = await self.gate.run(sent)
                view.hear(self.gate.report(), self.clock.monotonic())
            else:
                got = await self._send(sent, candidate)
        except BaseException:
            usual = self.usual_seconds(call.class_name)
            view.abandon(call.id, self.clock.monotonic(), usual)
            raise
        now = self.clock.monotonic()
        if got.is_error() and isinstance(got.error, NotRun):
            if got.error.reason is Reason.SLOW:
                view.started_by_call.pop(call.id, None)
            else:
                view.refuse(call.id, now, got.error.reason is Reason.FULL)
            return got
        is_good = got.is_ok() and got.ok.status < 500
        slowdown = got.ok.begun_slowdown if got.is_ok() else 1.0
        view.end(call.id, now, is_good, self.usual_seconds(call.class_name), slowdown)
        if is_good:
            self.usual.learn(call.class_name, now - started, slowdown)
        if got.is_ok():
            status = got.ok.status
            self.journal.record(
                catalogue.CALL_ANSWERED,
                call=call.id,
                request=call.request_id,
                status=status,
                member=candidate.vm,
                ms=_ms(now - started),
            )
        return got

    def _record_sent(self, call: Call, candidate: Candidate, now: float) -> None:
        view = candidate.view
        self.journal.record(
            catalogue.CALL_SENT,
            call=call.id,
            request=call.request_id,
            member=candidate.vm,
            class_of_work=call.class_name,
            expected_ms=_ms(view.expected_seconds(now, self.usual_seconds(call.class_name))),
            load=round(view.load_share(now), 2),
            word_age_ms=None if view.report is None else _ms(now - view.reported_at),
            left_ms=_ms(call.deadline - now),
            is_last_resort=call.is_last_resort,
        )

    def usual_seconds(self, class_name: str) -> float:
        """Return how long a good answer of a class usually takes."""
        return self.usual.seconds_by_class.get(class_name, DEFAULT_LATENCY_SECONDS)

    async def _send(self, call: Call, candidate: Candidate) -> Result[Answer, Failure]:
        member = self.directory.members_by_vm.get(candidate.vm)
        if member is None:
            return Error(NotRun(Reason.NO_SERVER, f"{candidate.vm} is no longer known"))
        head = relay.encode(self._head(call, member.vm))
        headers = to_multidict(call.headers)
        headers[RELAY_HEADER] = head
        headers[MAC_HEADER] = relay.sign(self.fleet_key, call.method, call.target, head)
        got = await exchange(
            self.session,
            member.relay_address,
            call.method,
            call.target,
            headers,
            call.body,
            call.deadline,
            continue_seconds=self._continue_seconds(call),
        )
        return await self._read(got, candidate)

    def _continue_seconds(self, call: Call) -> float | None:
        """Return how long a gate may take to ask for the body; ``None`` to send it at once.

        A body is held back if it is long, and if the call must not run twice: until the gate asks
        for it, the call has certainly not run, whatever becomes of the connection.
        """
        has_body = not call.body.is_whole or bool(call.body.first)
        is_long = not call.body.is_whole or len(call.body.first) > EXPECT_BYTES
        if not has_body or not (is_long or call.at_most_once):
            return None
        left = call.deadline - self.clock.monotonic()
        return left if call.is_last_resort else min(left, CONTINUE_SECONDS)

    def _head(self, call: Call, vm: str) -> relay.Relay:
        now = self.clock.monotonic()
        target_left = call.target_at - now
        return relay.Relay(
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
        )

    async def _read(
        self, got: Result[Exchanged, Failure], candidate: Candidate
    ) -> Result[Answer, Failure]:
        if got.is_error():
            return Error(got.error)
        head = got.ok.headers
        answer = got.ok.answer
        report = parse_report(head.get(GATE_HEADER, ""))
        candidate.view.hear(report, self.clock.monotonic())
        outcome = head.get(OUTCOME_HEADER)
        if outcome == Outcome.ANSWERED:
            slowdown = 1.0 if report is None else report.begun_slowdown
            return Ok(attrs.evolve(answer, begun_slowdown=slowdown))
        await answer.close()
        reason = _reason_of(answer)
        detail = f"said by the gate of {candidate.vm}"
        if outcome == Outcome.NOT_RUN:
            return Error(NotRun(reason, detail))
        return Error(Unknown(reason, detail))


def _ms(seconds: float) -> int:
    return round(seconds * 1000)


def _reason_of(answer: Answer) -> Reason:
    # The gate's problem details carry the reason at the end of their type.
    text = (answer.whole or b"").decode("utf-8", "replace")
    _, _, rest = text.partition('"urn:kingcuppond:')
    try:
        return Reason(rest.partition('"')[0])
    except ValueError:
        return Reason.CONNECTION_LOST
