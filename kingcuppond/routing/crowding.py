"""Whether it is worth asking further gates for room, or better to reject the call at once.

The load pattern is a service whose servers are all full for seconds: each call would ask four gates
again and again, and every question and refusal costs processor time on VMs that have none to spare,
without any more calls being served.  Gates that were asked recently show how full the service is.
While few of them had room, a call asks once and is then rejected; otherwise it asks again after a
short wait, since room soon turns up somewhere.
"""

import math
from typing import Final

import attrs

MEMORY_SECONDS: Final = 0.5
"""For as long the speed of a machine usually stays the same."""

MIN_ANSWERS: Final = 6.0
"""Fewer answers say little about the service."""

MIN_CHANCE: Final = 0.25
"""Least chance to find room in a round that is worth the round's cost."""


@attrs.define
class GateAnswers:
    """The recent answers of a service's gates to this daemon, older ones with less weight."""

    _full: float = 0.0
    _total: float = 0.0
    _recorded_at: float = -math.inf

    def record(self, is_full: bool, now: float) -> None:
        """Record an answer.

        :param is_full: whether the gate refused a call because its server is full or too slow
        :param now: monotonic time in seconds
        """
        weight = math.exp((self._recorded_at - now) / MEMORY_SECONDS)
        self._full = self._full * weight + is_full
        self._total = self._total * weight + 1.0
        self._recorded_at = now

    def is_round_worth_it(self, gates: int, now: float) -> bool:
        """Return whether one of some more gates is likely enough to have room.

        :param gates: how many would be asked
        """
        total = self._total * math.exp((self._recorded_at - now) / MEMORY_SECONDS)
        if total < MIN_ANSWERS:
            return True
        full_share = self._full / self._total
        return 1.0 - full_share**gates >= MIN_CHANCE
