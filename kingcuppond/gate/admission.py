"""Admission control for one server: which calls run now, which wait, and which are refused.

No call starts while as many calls as the limit are in flight, whichever daemons send them.  This is
the only exact bound in the system.  A few calls may wait; their order, and which of them is refused
when too many wait, are decided by ``kingcuppond.gate.queueing``.  A waiting call is refused as soon
as it can't meet its deadline any more.  A refused call was not run.

At most one call on trial (see ``kingcuppond.quarantine``) is in flight at a time.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.gate.cold_rate_limiter import ColdRateLimiter
from kingcuppond.gate.concurrency_limit import ConcurrencyLimit
from kingcuppond.gate.queueing import (
    RecentStarts,
    Standing,
    WaitingCall,
    call_to_refuse,
    hopeless_calls,
    next_call,
)
from kingcuppond.outcomes import NotRun, Reason

MAX_WAITING_PER_SLOT: Final = 0.5
"""Bounds the wait to half of a call's duration; a longer queue makes all calls late in overload."""

MAX_WAITING_PER_ADAPTIVE_SLOT: Final = 4.0
"""An adaptive limit may be far below the server's capacity, so more of a burst is queued."""

NO_STANDING: Final = Standing()

COLD_RATE_REFUSAL: Final = NotRun(
    Reason.FULL, "the server is cold and its call rate is used up for this second"
)


@attrs.define(eq=False)
class Ticket:
    """A call's place in the queue, and once granted its permission to run at the server.

    :param decision: ends the wait in the queue: ``None`` grants the call, else why it is refused
    :param level: calls in flight when the call was granted, including it
    """

    call: WaitingCall
    is_on_trial: bool
    decision: "asyncio.Future[NotRun | None]"
    level: int = 0
    was_at_limit: bool = False
    is_released: bool = False


@attrs.define
class Admission:
    """Tracks the calls in flight and the queue of one server.

    :param refusal: returns why no call may run at present, or ``None``
    :param now: monotonic clock
    :param rate_limiter: bounds the rate while the server is cold
    """

    limit: ConcurrencyLimit
    refusal: Callable[[], NotRun | None]
    now: Callable[[], float]
    rate_limiter: ColdRateLimiter
    in_flight: int = 0
    trials_in_flight: int = 0
    _queue: dict[WaitingCall, Ticket] = attrs.field(factory=dict)
    _starts: RecentStarts = attrs.field(factory=RecentStarts)
    _arrivals: int = 0

    @property
    def waiting(self) -> int:
        """Number of queued calls."""
        return len(self._queue)

    async def acquire(
        self,
        class_name: str,
        deadline: float,
        is_on_trial: bool,
        priority: int = 0,
        queue_timeout_seconds: float = math.inf,
        standing: Standing = NO_STANDING,
    ) -> Result[Ticket, NotRun]:
        """Wait until the call may run.

        :param deadline: monotonic time by which the answer is due
        :param queue_timeout_seconds: longest wait for a slot, even if the deadline is later, since
            the calls that hold the slots may never end, or may themselves wait for this call
        :param standing: what the call's place in the queue depends on beside its priority
        :return: a ticket, to be returned with :meth:`release`, or why the call was not run
        """
        refusal = self.refusal()
        if refusal is not None:
            return Error(refusal)
        self._arrivals += 1
        call = WaitingCall(class_name, priority, deadline, self._arrivals, standing)
        future: asyncio.Future[NotRun | None] = asyncio.get_running_loop().create_future()
        ticket = Ticket(call, is_on_trial, future)
        if not self.rate_limiter.may_start():
            return Error(COLD_RATE_REFUSAL)
        if self._can_run(ticket) and not self.waiting:
            self._grant(ticket)
            return Ok(ticket)
        self._queue[call] = ticket
        self._shed()
        max_seconds = min(queue_timeout_seconds, call.latest_start - self.now())
        try:
            async with asyncio.timeout(max(0.0, max_seconds)):
                refused = await future
        except TimeoutError:
            refused = self._queue_timeout_refusal(ticket)
        except asyncio.CancelledError:
            self._abandon(ticket)
            raise
        if refused is None:
            return Ok(ticket)
        self._abandon(ticket)
        return Error(refused)

    def release(self, ticket: Ticket) -> None:
        """Return a ticket and grant the next waiting call; repeated calls do nothing."""
        if ticket.is_released:
            return
        ticket.is_released = True
        self.in_flight -= 1
        self.trials_in_flight -= ticket.is_on_trial
        self.process_queue()

    def process_queue(self) -> None:
        """Grant or refuse waiting calls after a change of the limit or of the gate's state."""
        refusal = self.refusal()
        if refusal is not None:
            for call in self._undecided():
                self._refuse(self._queue[call], refusal)
            return
        for call in hopeless_calls(self._undecided(), self.now()):
            self._refuse(self._queue[call], self._too_late_refusal())
        while self.in_flight < self.limit.limit:
            runnable = [it for it in self._undecided() if self._can_run(self._queue[it])]
            if not runnable:
                return
            ticket = self._queue[next_call(runnable, self._starts, self.now())]
            if not self.rate_limiter.may_start():
                self._refuse(ticket, COLD_RATE_REFUSAL)
                continue
            del self._queue[ticket.call]
            self._grant(ticket)
            ticket.decision.set_result(None)

    def _undecided(self) -> list[WaitingCall]:
        """Return the waiting calls, without those whose wait was just cancelled."""
        return [call for call, ticket in self._queue.items() if not ticket.decision.done()]

    def _can_run(self, ticket: Ticket) -> bool:
        if ticket.is_on_trial and self.trials_in_flight:
            return False
        return self.in_flight < self.limit.limit

    def _queue_timeout_refusal(self, ticket: Ticket) -> NotRun:
        if hopeless_calls([ticket.call], self.now()):
            return self._too_late_refusal()
        return NotRun(Reason.FULL, "no slot became free within the queue timeout")

    def _too_late_refusal(self) -> NotRun:
        return NotRun(Reason.DEADLINE, "no time is left to run the call")

    def _grant(self, ticket: Ticket) -> None:
        self.in_flight += 1
        self._starts.record(ticket.call.standing.organisation, self.now())
        self.rate_limiter.record_start()
        self.trials_in_flight += ticket.is_on_trial
        ticket.level = self.in_flight
        ticket.was_at_limit = self.in_flight >= self.limit.limit

    def _shed(self) -> None:
        per_slot = MAX_WAITING_PER_ADAPTIVE_SLOT if self.limit.is_adaptive else MAX_WAITING_PER_SLOT
        if self.waiting <= max(1.0, per_slot * self.limit.limit):
            return
        refused = call_to_refuse(self._undecided(), self._starts, self.now())
        self._refuse(
            self._queue[refused],
            NotRun(Reason.FULL, "all slots of the server are in use and its queue is full"),
        )

    def _refuse(self, ticket: Ticket, refusal: NotRun) -> None:
        del self._queue[ticket.call]
        ticket.decision.set_result(refusal)

    def _abandon(self, ticket: Ticket) -> None:
        # The call was refused, cancelled or timed out.  If it was not decided on, it leaves the
        # queue; a grant that arrived meanwhile is released.
        if self._queue.pop(ticket.call, None) is not None:
            ticket.decision.cancel()
        elif not ticket.decision.cancelled() and ticket.decision.result() is None:
            self.release(ticket)
