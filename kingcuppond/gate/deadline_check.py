"""Decides whether a call can be answered in time at the server now, and how long it may wait.

Servers share their machines, which become several times slower for short periods.  A call that
starts in such a period stays slow after it.  So a call that would be late here is refused while
another server may take it; a call that no other server takes (a last resort) waits for the period
to end.
"""

import asyncio
import math
from typing import Final

import attrs

from kingcuppond.gate.admission import MAX_WAITING_PER_ADAPTIVE_SLOT, Admission
from kingcuppond.gate.observer import ServerObserver
from kingcuppond.gate.queueing import Standing
from kingcuppond.outcomes import NotRun, Reason
from kingcuppond.routing.call import Call
from kingcuppond.typical_latency import TypicalLatencies

SPEED_STABLE_SECONDS: Final = 0.5
"""How long a machine's speed usually stays the same; on average, half of a slow period remains."""

DEFAULT_SHARE_OF_TIME_LEFT: Final = 0.33
"""Share of the time left that a call is expected to take while its class has no answer here."""

QUEUE_TIMEOUT_RATIO: Final = MAX_WAITING_PER_ADAPTIVE_SLOT
"""Longest wait for a slot, in typical latencies of the class; it equals the number of calls that
may wait for each slot."""

MIN_QUEUE_TIMEOUT_SECONDS: Final = 0.1
"""A daemon on a busy machine may be this late even with calls that take almost no time."""

SPEED_POLL_SECONDS: Final = 0.03
"""Time between two checks of the machine's speed while calls wait for it."""


@attrs.define
class DeadlineCheck:
    """Compares the expected answer time of calls at one server with their deadlines.

    :param vm: name of this VM
    :param typical_latencies: latencies of the server's good answers, at its machine's usual speed
    :param waiting_for_speed: number of calls that wait for the end of a slow period
    """

    vm: str
    admission: Admission
    observer: ServerObserver
    typical_latencies: TypicalLatencies
    waiting_for_speed: int = 0

    def refuse_late(self, call: Call) -> NotRun | None:
        """Return why the call is refused, or ``None``.

        A call is refused if it would miss its target or its deadline, or if all slots are in use
        and the limit is not adaptive, since another server may serve it sooner.  A last resort is
        refused only if it would miss its deadline, or if it would wait for a slot and can only be
        late: a late answer is worth a free slot, but not one that a call in time would get.
        """
        is_full = self.admission.in_flight >= self.admission.limit.limit
        # An adaptive limit starts at one call; a queue keeps such a server in use.
        is_slot_needed = is_full and not self.admission.limit.is_adaptive
        if is_slot_needed and not call.is_last_resort:
            return NotRun(Reason.FULL, f"all slots of the server on {self.vm} are in use")
        if self.observer.load is None:
            return None
        expected_seconds = self._typical_seconds(call) * self.observer.slowdown
        if is_full:
            expected_seconds *= 1 + (self.admission.waiting + 1) / self.admission.limit.limit
        due = min(call.target_at, call.deadline)
        if call.is_last_resort and not (is_slot_needed and self._can_only_be_late(call)):
            due = call.deadline
        if self.admission.now() + expected_seconds <= due:
            return None
        detail = f"an answer would take {expected_seconds * 1000:.0f} ms on {self.vm}"
        return NotRun(Reason.FULL if is_slot_needed else Reason.SERVER_SLOW, detail)

    async def wait_for_speed(self, call: Call) -> NotRun | None:
        """Delay a call that no other server takes until the machine is fast enough.

        The speed at the start of a call determines its duration: a call that starts in a slow
        period stays slow after it.  So a call that would lose more time to the low speed than the
        rest of the period takes is better started after the period.

        :return: why the call is refused, or ``None``
        """
        if not call.is_last_resort or self.observer.load is None:
            return None
        typical_seconds = self._typical_seconds(call)
        last_start = min(
            call.deadline - typical_seconds, self.admission.now() + SPEED_STABLE_SECONDS
        )
        while self._is_waiting_faster(typical_seconds) and self.admission.now() < last_start:
            if self.waiting_for_speed >= self.admission.limit.limit:
                return NotRun(Reason.FULL, "too many calls already wait for a slow server")
            self.waiting_for_speed += 1
            try:
                await asyncio.sleep(SPEED_POLL_SECONDS)
            finally:
                self.waiting_for_speed -= 1
            await self.observer.refresh()
        return self.admission.refusal()

    def queue_timeout_seconds(self, call: Call) -> float:
        """Return how long a call may wait for a slot; infinite unless the limit is adaptive."""
        if not self.admission.limit.is_adaptive:
            return math.inf
        return max(MIN_QUEUE_TIMEOUT_SECONDS, QUEUE_TIMEOUT_RATIO * self._typical_seconds(call))

    def _can_only_be_late(self, call: Call) -> bool:
        """Return whether the target can't be met even by a server that is free and not slow."""
        return self.admission.now() + self._typical_seconds(call) > call.target_at

    def standing(self, call: Call) -> Standing:
        """Return what the call's place in the queue depends on."""
        return Standing(
            call.organisation,
            call.depth > 1,
            call.target_at,
            self.typical_latencies.seconds_by_class.get(call.class_name, 0.0),
        )

    def _typical_seconds(self, call: Call) -> float:
        known = self.typical_latencies.seconds_by_class.get(call.class_name)
        if known is not None:
            return known
        time_left = min(call.target_at, call.deadline) - self.admission.now()
        return max(0.0, time_left) * DEFAULT_SHARE_OF_TIME_LEFT

    def _is_waiting_faster(self, typical_seconds: float) -> bool:
        return typical_seconds * (self.observer.slowdown - 1.0) > SPEED_STABLE_SECONDS / 2
