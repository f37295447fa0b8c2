"""Whether a call would be answered in time if it began at the server now, and how long it may wait.

Servers share their machines, which turn several times slower for short spells.  What begins in such
a spell stays slow after it.  So a call that would be late here is refused while another server may
take it; one that no other server takes waits for the end of the spell.
"""

import asyncio
import math
from typing import Final

import attrs

from kingcuppond.gate.admission import WAITING_PER_LEARNT_SLOT, Admission
from kingcuppond.gate.observer import ServerObserver
from kingcuppond.outcomes import NotRun, Reason
from kingcuppond.routing.call import Call
from kingcuppond.usual import UsualTimes

SPELL_SECONDS: Final = 0.5
"""For so long a machine's speed usually stays the same; a spell has half of it left in the mean."""

UNKNOWN_SHARE_OF_TARGET: Final = 0.33
"""What a class that was never answered here is taken to need of the time that is left."""

PATIENCE_RATIO: Final = WAITING_PER_LEARNT_SLOT
"""Usual times that a call waits for a slot: as many calls may wait for each slot."""

LEAST_PATIENCE_SECONDS: Final = 0.1
"""A daemon on a busy machine may be late by so much with calls that take no time at all."""

SPEED_CHECK_SECONDS: Final = 0.03
"""Time between two looks at the speed while calls wait for it."""


@attrs.define
class Timing:
    """What is known of the time that calls take at one server.

    :param vm: name of this VM
    :param usual: how long good answers of the server take at its machine's usual speed
    :param waiting: how many calls wait for the end of a slow spell
    """

    vm: str
    admission: Admission
    observer: ServerObserver
    usual: UsualTimes
    waiting: int = 0

    def find_late(self, call: Call) -> NotRun | None:
        """Tell whether another server may serve a call sooner than this one."""
        is_full = self.admission.in_flight >= self.admission.limit.limit
        # A limit that is learnt starts at one call; a queue keeps such a server in use.
        if is_full and not call.is_last_resort and not self.admission.limit.is_learning:
            return NotRun(Reason.FULL, f"all slots beside {self.vm} are in use")
        if self.observer.load is None:
            return None
        expected = self._usual_seconds(call) * self.observer.slowdown
        if is_full:
            expected *= 1 + (self.admission.waiting + 1) / self.admission.limit.limit
        due = call.deadline if call.is_last_resort else min(call.target_at, call.deadline)
        if self.admission.now() + expected <= due:
            return None
        detail = f"an answer would take {expected * 1000:.0f} ms at {self.vm}"
        return NotRun(Reason.SLOW, detail)

    async def wait_for_speed(self, call: Call) -> NotRun | None:
        """Let a call that no other server takes wait until the machine is as fast as usual.

        How long work takes is decided when it begins: what begins in a slow spell stays slow after
        it.  So a call that would take longer than the rest of the spell is better begun after it.
        """
        if not call.is_last_resort or self.observer.load is None:
            return None
        usual = self._usual_seconds(call)
        last_start = min(call.deadline - usual, self.admission.now() + SPELL_SECONDS)
        while self._is_spell_shorter(usual) and self.admission.now() < last_start:
            if self.waiting >= self.admission.limit.limit:
                return NotRun(Reason.FULL, "too many calls wait for a slow server")
            self.waiting += 1
            try:
                await asyncio.sleep(SPEED_CHECK_SECONDS)
            finally:
                self.waiting -= 1
            await self.observer.freshen()
        return self.admission.refusal()

    def patience(self, call: Call) -> float:
        """Return for how many seconds a call may wait for a slot."""
        if not self.admission.limit.is_learning:
            return math.inf
        return max(LEAST_PATIENCE_SECONDS, PATIENCE_RATIO * self._usual_seconds(call))

    def _usual_seconds(self, call: Call) -> float:
        known = self.usual.seconds_by_class.get(call.class_name)
        if known is not None:
            return known
        left = min(call.target_at, call.deadline) - self.admission.now()
        return max(0.0, left) * UNKNOWN_SHARE_OF_TARGET

    def _is_spell_shorter(self, usual: float) -> bool:
        return usual * (self.observer.slowdown - 1.0) > SPELL_SECONDS / 2
