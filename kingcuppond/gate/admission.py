"""Admission control for one server: which calls run now, which wait, and which are refused.

No call starts while as many calls as the limit are in flight, whichever daemons send them.  This is
the only exact bound in the system.  A few calls may wait, ordered by the priority of their class
and then by deadline.  When too many wait, one call of the least urgent priority is refused, from
the class with the most waiting calls there, so that no class starves another.  A waiting call is
also refused once its deadline has passed.  A refused call was not run.

At most one call on trial (see ``kingcuppond.quarantine``) is in flight at a time.
"""

import asyncio
import heapq
import math
from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.gate.cold_rate_limiter import ColdRateLimiter
from kingcuppond.gate.concurrency_limit import ConcurrencyLimit
from kingcuppond.outcomes import NotRun, Reason

MAX_WAITING_PER_SLOT: Final = 0.5
"""Bounds the wait to half of a call's duration; a longer queue makes all calls late in overload."""

MAX_WAITING_PER_ADAPTIVE_SLOT: Final = 4.0
"""An adaptive limit may be far below the server's capacity, so more of a burst is queued."""

COLD_RATE_REFUSAL: Final = NotRun(
    Reason.FULL, "the server is cold and its call rate is used up for this second"
)


@attrs.define(eq=False)
class Ticket:
    """A call's place in the queue, and once granted its permission to run at the server.

    :param decision: ends the wait in the queue: ``None`` grants the call, else why it is refused
    :param level: calls in flight when the call was granted, including it
    """

    class_name: str
    deadline: float
    is_on_trial: bool
    decision: "asyncio.Future[NotRun | None]"
    priority: int = 0
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
    _heap: list[tuple[int, float, int, Ticket]] = attrs.field(factory=list)
    _waiting_by_class: Counter[str] = attrs.field(factory=Counter)
    _enqueued_count: int = 0

    @property
    def waiting(self) -> int:
        """Number of queued calls."""
        return self._waiting_by_class.total()

    async def acquire(
        self,
        class_name: str,
        deadline: float,
        is_on_trial: bool,
        priority: int = 0,
        queue_timeout_seconds: float = math.inf,
    ) -> Result[Ticket, NotRun]:
        """Wait until the call may run.

        :param deadline: monotonic time by which the answer is due
        :param queue_timeout_seconds: longest wait for a slot, even if the deadline is later, since
            the calls that hold the slots may never end, or may themselves wait for this call
        :return: a ticket, to be returned with :meth:`release`, or why the call was not run
        """
        refusal = self.refusal()
        if refusal is not None:
            return Error(refusal)
        future: asyncio.Future[NotRun | None] = asyncio.get_running_loop().create_future()
        ticket = Ticket(class_name, deadline, is_on_trial, future, priority)
        if not self.rate_limiter.may_start():
            return Error(COLD_RATE_REFUSAL)
        if self._can_run(ticket) and not self.waiting:
            self._grant(ticket)
            return Ok(ticket)
        self._enqueue(ticket)
        self._shed()
        try:
            async with asyncio.timeout(max(0.0, min(queue_timeout_seconds, deadline - self.now()))):
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
        skipped = []
        while self._heap and (refusal is not None or self.in_flight < self.limit.limit):
            entry = heapq.heappop(self._heap)
            ticket = entry[-1]
            if ticket.decision.done():
                continue
            if refusal is not None:
                self._refuse(ticket, refusal)
            elif self._is_past_deadline(ticket):
                self._refuse(ticket, NotRun(Reason.DEADLINE, "no time is left to run the call"))
            elif not self.rate_limiter.may_start():
                self._refuse(ticket, COLD_RATE_REFUSAL)
            elif self._can_run(ticket):
                self._waiting_by_class[ticket.class_name] -= 1
                self._grant(ticket)
                ticket.decision.set_result(None)
            else:
                skipped.append(entry)
        for entry in skipped:
            heapq.heappush(self._heap, entry)

    def _can_run(self, ticket: Ticket) -> bool:
        if ticket.is_on_trial and self.trials_in_flight:
            return False
        return self.in_flight < self.limit.limit

    def _queue_timeout_refusal(self, ticket: Ticket) -> NotRun:
        if self._is_past_deadline(ticket):
            return NotRun(Reason.DEADLINE, "the deadline passed while the call waited at the gate")
        return NotRun(Reason.FULL, "no slot became free within the queue timeout")

    def _is_past_deadline(self, ticket: Ticket) -> bool:
        return self.now() >= ticket.deadline

    def _grant(self, ticket: Ticket) -> None:
        self.in_flight += 1
        self.rate_limiter.record_start()
        self.trials_in_flight += ticket.is_on_trial
        ticket.level = self.in_flight
        ticket.was_at_limit = self.in_flight >= self.limit.limit

    def _enqueue(self, ticket: Ticket) -> None:
        self._enqueued_count += 1
        heapq.heappush(self._heap, (ticket.priority, ticket.deadline, self._enqueued_count, ticket))
        self._waiting_by_class[ticket.class_name] += 1

    def _shed(self) -> None:
        per_slot = MAX_WAITING_PER_ADAPTIVE_SLOT if self.limit.is_adaptive else MAX_WAITING_PER_SLOT
        if self.waiting <= max(1.0, per_slot * self.limit.limit):
            return
        waiting = [entry[-1] for entry in self._heap if not entry[-1].decision.done()]
        least_urgent = max(
            waiting,
            key=lambda ticket: (
                ticket.priority,
                self._waiting_by_class[ticket.class_name],
                ticket.deadline,
            ),
        )
        self._refuse(
            least_urgent,
            NotRun(Reason.FULL, "all slots of the server are in use and its queue is full"),
        )

    def _refuse(self, ticket: Ticket, refusal: NotRun) -> None:
        self._waiting_by_class[ticket.class_name] -= 1
        ticket.decision.set_result(refusal)

    def _abandon(self, ticket: Ticket) -> None:
        # The call was refused, cancelled or timed out.  If it was not decided on, it leaves the
        # queue; a grant that arrived meanwhile is released.
        if not ticket.decision.done() or ticket.decision.cancelled():
            if not ticket.decision.done():
                ticket.decision.cancel()
            self._waiting_by_class[ticket.class_name] -= 1
        elif ticket.decision.result() is None:
            self.release(ticket)
