"""Admission: who may run at the server now, who waits, who is refused.

The number in flight never exceeds the limit, whoever sends the calls; that is the one exact bound
in the system.  A few calls may wait, the most urgent class first and in it the one with the
earliest deadline.  When too many wait, one is refused from the least urgent rank, and there from
the class that has most of them waiting, so that no class starves another; and a call that could not
be answered in time any more is refused at once.  A refused call was not run.

A call on trial (see ``kingcuppond.harmful``) runs beside no other call on trial.
"""

import asyncio
import heapq
import math
from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.gate.limit import ConcurrencyLimit
from kingcuppond.gate.pace import ColdPace
from kingcuppond.outcomes import NotRun, Reason

WAITING_PER_SLOT: Final = 0.5
"""A call waits for half of the time that one takes at most; with more, overload makes all late."""

WAITING_PER_LEARNT_SLOT: Final = 4.0
"""A learnt limit may be far below what the server bears: a burst is better off waiting for it."""

COLD_REFUSAL: Final = NotRun(Reason.FULL, "the server is cold and had its calls of this second")


@attrs.define(eq=False)
class Ticket:
    """The right of one call to run at the server."""

    class_name: str
    deadline: float
    is_on_trial: bool
    granted: "asyncio.Future[NotRun | None]"
    priority: int = 0
    was_full: bool = False
    is_over: bool = False


@attrs.define
class Admission:
    """The calls that run and wait at one server.

    :param refusal: tells why no call may run at all now, or ``None``
    :param now: monotonic clock
    :param pace: bounds the rate while the server is cold
    """

    limit: ConcurrencyLimit
    refusal: Callable[[], NotRun | None]
    now: Callable[[], float]
    pace: ColdPace
    in_flight: int = 0
    trials_in_flight: int = 0
    _heap: list[tuple[int, float, int, Ticket]] = attrs.field(factory=list)
    _waiting_by_class: Counter[str] = attrs.field(factory=Counter)
    _count: int = 0

    @property
    def waiting(self) -> int:
        """How many calls wait."""
        return self._waiting_by_class.total()

    async def enter(
        self,
        class_name: str,
        deadline: float,
        is_on_trial: bool,
        priority: int = 0,
        patience: float = math.inf,
    ) -> Result[Ticket, NotRun]:
        """Wait until the call may run.

        :param deadline: monotonic time by which the answer is due
        :param patience: longest wait in seconds; what holds the slots may never end, or may itself
            wait for this call
        :return: a ticket, to be given back by :meth:`leave`, or why the call was not run
        """
        refusal = self.refusal()
        if refusal is not None:
            return Error(refusal)
        future: asyncio.Future[NotRun | None] = asyncio.get_running_loop().create_future()
        ticket = Ticket(class_name, deadline, is_on_trial, future, priority)
        if not self.pace.may_start():
            return Error(COLD_REFUSAL)
        if self._is_free(ticket) and not self.waiting:
            self._grant(ticket)
            return Ok(ticket)
        self._queue(ticket)
        self._shed()
        try:
            async with asyncio.timeout(max(0.0, min(patience, deadline - self.now()))):
                refused = await future
        except TimeoutError:
            refused = self._waited_too_long(ticket)
        except asyncio.CancelledError:
            self._abandon(ticket)
            raise
        if refused is None:
            return Ok(ticket)
        self._abandon(ticket)
        return Error(refused)

    def leave(self, ticket: Ticket) -> None:
        """Give a ticket back and let the next call run."""
        if ticket.is_over:
            return
        ticket.is_over = True
        self.in_flight -= 1
        self.trials_in_flight -= ticket.is_on_trial
        self.wake()

    def wake(self) -> None:
        """Grant or refuse waiting calls after a change of the limit or of the gate's state."""
        refusal = self.refusal()
        passed_over = []
        while self._heap and (refusal is not None or self.in_flight < self.limit.limit):
            entry = heapq.heappop(self._heap)
            ticket = entry[-1]
            if ticket.granted.done():
                continue
            if refusal is not None:
                self._refuse(ticket, refusal)
            elif self._is_late(ticket):
                self._refuse(ticket, NotRun(Reason.DEADLINE, "no time is left to run the call"))
            elif not self.pace.may_start():
                self._refuse(ticket, COLD_REFUSAL)
            elif self._is_free(ticket):
                self._waiting_by_class[ticket.class_name] -= 1
                self._grant(ticket)
                ticket.granted.set_result(None)
            else:
                passed_over.append(entry)
        for entry in passed_over:
            heapq.heappush(self._heap, entry)

    def _is_free(self, ticket: Ticket) -> bool:
        if ticket.is_on_trial and self.trials_in_flight:
            return False
        return self.in_flight < self.limit.limit

    def _waited_too_long(self, ticket: Ticket) -> NotRun:
        if self._is_late(ticket):
            return NotRun(Reason.DEADLINE, "the call waited at the gate past its deadline")
        return NotRun(Reason.FULL, "no slot became free for much longer than a call takes")

    def _is_late(self, ticket: Ticket) -> bool:
        return self.now() >= ticket.deadline

    def _grant(self, ticket: Ticket) -> None:
        self.in_flight += 1
        self.pace.start()
        self.trials_in_flight += ticket.is_on_trial
        ticket.was_full = self.in_flight >= self.limit.limit

    def _queue(self, ticket: Ticket) -> None:
        self._count += 1
        heapq.heappush(self._heap, (ticket.priority, ticket.deadline, self._count, ticket))
        self._waiting_by_class[ticket.class_name] += 1

    def _shed(self) -> None:
        per_slot = WAITING_PER_LEARNT_SLOT if self.limit.is_learning else WAITING_PER_SLOT
        if self.waiting <= max(1.0, per_slot * self.limit.limit):
            return
        waiting = [entry[-1] for entry in self._heap if not entry[-1].granted.done()]
        last = max(
            waiting,
            key=lambda it: (it.priority, self._waiting_by_class[it.class_name], it.deadline),
        )
        self._refuse(last, NotRun(Reason.FULL, "the server is full and so is its queue"))

    def _refuse(self, ticket: Ticket, refusal: NotRun) -> None:
        self._waiting_by_class[ticket.class_name] -= 1
        ticket.granted.set_result(refusal)

    def _abandon(self, ticket: Ticket) -> None:
        # Refused, cancelled or out of time; a grant that came in the same moment is given back.
        if not ticket.granted.done() or ticket.granted.cancelled():
            if not ticket.granted.done():
                ticket.granted.cancel()
            self._waiting_by_class[ticket.class_name] -= 1
        elif ticket.granted.result() is None:
            self.leave(ticket)
