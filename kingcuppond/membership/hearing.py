"""When each data centre was last heard, directly or through other daemons.

Most daemons have contacts in their own data centre only.  So pings and their replies carry, for
each data centre, the age of the newest message that their sender heard from there.  The ages are
relative to the original message, so that they grow while they are passed around, and clocks of
different VMs need not agree.
"""

import math
from typing import Final

import attrs

from kingcuppond.clock import Clock
from kingcuppond.membership.directory import Directory

HEARD_WINDOW_SECONDS: Final = 3.0
"""A sign of life travels a few hops, each of which waits for a ping."""


@attrs.define
class Hearing:
    """The newest sign of life of each data centre, as monotonic times in seconds."""

    directory: Directory
    clock: Clock
    heard_at_by_data_centre: dict[str, float] = attrs.field(factory=dict)

    def record_message(self, sender: str, ages_ms: dict[str, int] | None = None) -> None:
        """Record a message.

        :param sender: VM of the daemon that sent it
        :param ages_ms: by data centre, the age in milliseconds of the newest message that the
            sender heard from there
        """
        now = self.clock.monotonic()
        member = self.directory.members_by_vm.get(sender)
        if member is not None:
            self.heard_at_by_data_centre[member.data_centre] = now
        for data_centre, age_ms in (ages_ms or {}).items():
            if data_centre == self.directory.me.data_centre:
                # Others may have heard this daemon itself.
                continue
            known = self.heard_at_by_data_centre.get(data_centre, -math.inf)
            self.heard_at_by_data_centre[data_centre] = max(known, now - age_ms / 1000)

    def ages_ms(self) -> dict[str, int]:
        """Return the age of the newest message of each data centre heard within the window."""
        now = self.clock.monotonic()
        # Rounded up, so that an age can't shrink by being passed around.
        ages = {
            data_centre: math.ceil((now - heard_at) * 1000)
            for data_centre, heard_at in self.heard_at_by_data_centre.items()
            if now - heard_at < HEARD_WINDOW_SECONDS
        }
        return {self.directory.me.data_centre: 0, **ages}

    def longest_silence_seconds(self) -> float:
        """Return the seconds since the data centre that has been silent longest was heard.

        Data centres without living members, and those never heard, are left out.
        """
        now = self.clock.monotonic()
        living = {member.data_centre for member in self.directory.living()}
        heard = self.heard_at_by_data_centre
        return now - min((heard[name] for name in living if name in heard), default=now)

    def hears_majority(self) -> bool:
        """Return whether the data centres heard recently contain more than half of all members.

        The daemon's own data centre counts only if another member of it was heard or it has no
        other member.  Dead members stay in the total: to a daemon that is cut off, the unreachable
        rest of the fleet looks dead, and it must not conclude that the fleet has shrunk.
        """
        heard_since = self.clock.monotonic() - HEARD_WINDOW_SECONDS
        own = self.directory.me.data_centre
        members_by_data_centre: dict[str, int] = {}
        for member in self.directory.members_by_vm.values():
            count = members_by_data_centre.get(member.data_centre, 0)
            members_by_data_centre[member.data_centre] = count + 1
        heard_members = sum(
            count
            for data_centre, count in members_by_data_centre.items()
            if self.heard_at_by_data_centre.get(data_centre, -math.inf) > heard_since
            or (data_centre == own and count == 1)
        )
        return heard_members * 2 > len(self.directory.members_by_vm)
