"""Clock readings, behind one object that tests can replace.

There are four readings.  ``monotonic`` measures durations, ``boot`` also those in which the VM is
suspended.  ``wall`` is shown to people.
``stamp`` is a hybrid logical clock: the wall clock in milliseconds with a counter in the low bits,
advanced past every stamp received from another daemon.  If one event caused another, its stamp is
the smaller one, whatever the wall clocks of the two VMs show.  The timeline is sorted by stamps.
``fleet_ms``, derived from ``wall`` and ``stamp``, dates what daemons compare with each other, such
as claims.
"""

import time
from collections.abc import Callable
from typing import Final

import attrs

COUNTER_BITS: Final = 16
MAX_FORWARD_SKEW_MS: Final = 86_400_000


@attrs.define
class Clock:
    """The clock readings that a daemon uses.

    :param monotonic: returns seconds that never go back, from an arbitrary origin
    :param wall: returns seconds since the Unix epoch
    :param boot: like ``monotonic``, but goes on while the VM is suspended
    """

    monotonic: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time
    boot: Callable[[], float] = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)
    _latest: int = 0

    def wall_ms(self) -> int:
        """Return the wall clock in whole milliseconds."""
        return int(self.wall() * 1000)

    def stamp(self) -> int:
        """Return a new stamp, larger than all that this clock has returned or observed."""
        self._latest = max(self._latest + 1, self.wall_ms() << COUNTER_BITS)
        return self._latest

    def fleet_ms(self) -> int:
        """Return the fleet's time in Unix milliseconds.

        This is the latest wall clock, whether of this VM or in a stamp that it has received.

        It never goes back, and two daemons that exchange messages differ by little even if their
        wall clocks differ by much.
        """
        return max(self._latest >> COUNTER_BITS, self.wall_ms())

    def observe(self, stamp: int) -> None:
        """Advance past a stamp received from another process.

        A stamp more than a day ahead is ignored, so that one wrong wall clock cannot move the
        stamps of all other daemons forward.
        """
        if stamp >> COUNTER_BITS <= self.wall_ms() + MAX_FORWARD_SKEW_MS:
            self._latest = max(self._latest, stamp)


def stamp_to_ms(stamp: int) -> int:
    """Return the wall-clock part of a stamp in Unix milliseconds."""
    return stamp >> COUNTER_BITS
