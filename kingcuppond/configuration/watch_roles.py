"""Whether this daemon acts for its data centre towards the store.

A starting daemon knows few members at first and would rank first among them.  It takes no role
until it has joined the fleet and rumours have crossed it.
"""

from collections.abc import Callable
from typing import Final

import attrs

from kingcuppond.clock import Clock
from kingcuppond.configuration.watch_ranks import WatchRanks, rank_watchers
from kingcuppond.membership.directory import Directory

RANK_SETTLE_SECONDS: Final = 0.3
"""Time from joining the fleet until the ranks are known; rumours cross it sooner."""

MAX_RANK_SETTLE_SECONDS: Final = 1.0
"""Time from the start after which a daemon that could not join takes its rank as known."""


@attrs.define
class WatchRoles:
    """The ranks of the watchers as this daemon knows them.

    :param is_joined: returns whether this daemon has exchanged its state with another one
    """

    directory: Directory
    clock: Clock
    is_joined: Callable[[], bool]
    _settled_at: float = attrs.field(init=False)
    _was_joined: bool = False
    _ranks: WatchRanks = attrs.field(factory=WatchRanks)
    _ranked_generation: int = -1

    def __attrs_post_init__(self) -> None:
        self._settled_at = self.clock.monotonic() + MAX_RANK_SETTLE_SECONDS

    def has_rank(self) -> bool:
        """Return whether this daemon is one of the few that act for their data centre."""
        return self.directory.me.vm in self.ranks().acting

    def is_settled(self) -> bool:
        """Return whether the ranks are taken as known."""
        return self.clock.monotonic() >= self._settled_at

    def ranks(self) -> WatchRanks:
        """Return the ranks of the members; nobody has one before they are settled."""
        if self.is_settled() and self._ranked_generation != self.directory.generation:
            self._ranked_generation = self.directory.generation
            self._ranks = rank_watchers(self.directory.me.data_centre, self.directory.living())
        return self._ranks

    def update_settled(self) -> None:
        """Settle the ranks soon if this daemon has joined since the last call."""
        if not self._was_joined and self.is_joined():
            self._was_joined = True
            settled_at = self.clock.monotonic() + RANK_SETTLE_SECONDS
            self._settled_at = min(self._settled_at, settled_at)
