"""Eras of the store, and versions that are ordered across them.

A store that is restored from a copy has lost what was written since the copy, and gives the same
revisions out again.  It then states a larger era in each answer.  So a version of this package is
made of both: any version of an era is larger than all versions of the eras before it.

A store that states no era is in era 0 for good.
"""

from collections.abc import Callable
from typing import Final

import attrs

REVISION_BITS: Final = 40
"""Enough for 400 writes a second over 80 years; the era has the bits above."""


def make_version(era: int, revision: int) -> int:
    """Return the version of a revision that the store gave out in an era."""
    return era << REVISION_BITS | revision


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the revision of a version, which is unique within its era only."""
    return version & (1 << REVISION_BITS) - 1


def format_version(version: int) -> str:
    """Return a version as text for people, such as ``57`` or ``57 of era 2``."""
    era = era_of(version)
    return f"{revision_of(version)} of era {era}" if era else str(version)


@attrs.define
class EraTracker:
    """The newest era that this process has heard of, from the store or from other daemons.

    :param on_new_era: called with the new era when it rises, also for the first one known
    """

    era: int = 0
    on_new_era: list[Callable[[int], None]] = attrs.field(factory=list)

    def observe(self, era: int) -> None:
        """Record an era that was heard of."""
        if era <= self.era:
            return
        self.era = era
        for callback in self.on_new_era:
            callback(era)
