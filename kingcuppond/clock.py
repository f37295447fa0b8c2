"""Time, behind one object that tests can replace.

Three readings are needed.  ``monotonic`` measures durations.  ``wall`` is for people.  ``stamp``
is a hybrid logical clock: the wall clock in milliseconds with a counter in the low bits, pushed
forward by every stamp heard from another daemon.  If one event caused another, its stamp is the
smaller one, whatever the wall clocks of the two VMs say.  The time line is sorted by it.
"""

import time
from collections.abc import Callable
from typing import Final

import attrs

COUNTER_BITS: Final = 16
MAX_FORWARD_SKEW_MS: Final = 86_400_000


@attrs.define
class Clock:
    """The readings of time that a daemon uses.

    :param monotonic: seconds that never go back, from any start
    :param wall: seconds since the epoch
    """

    monotonic: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time
    _latest: int = 0

    def wall_ms(self) -> int:
        """Return the wall clock in whole milliseconds."""
        return int(self.wall() * 1000)

    def stamp(self) -> int:
        """Return a new stamp, larger than all that this clock has made or observed."""
        self._latest = max(self._latest + 1, self.wall_ms() << COUNTER_BITS)
        return self._latest

    def fleet_ms(self) -> int:
        """Return the fleet's time in milliseconds: the latest wall clock that any daemon told.

        It never goes back, and two daemons that hear each other differ by little even if their wall
        clocks differ by much.
        """
        return max(self._latest >> COUNTER_BITS, self.wall_ms())

    def observe(self, stamp: int) -> None:
        """Move past a stamp heard from another process.

        A stamp more than a day ahead is ignored, so that one broken wall clock cannot drag every
        other daemon's stamps with it.
        """
        if stamp >> COUNTER_BITS <= self.wall_ms() + MAX_FORWARD_SKEW_MS:
            self._latest = max(self._latest, stamp)


def stamp_to_ms(stamp: int) -> int:
    """Return the wall-clock milliseconds in a stamp."""
    return stamp >> COUNTER_BITS
