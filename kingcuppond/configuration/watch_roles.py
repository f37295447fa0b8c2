"""Whether this daemon acts for its data centre towards the store, or in place of those that do.

A starting daemon knows few members at first and would rank first among them.  It takes no role
until it has joined the fleet and rumours have crossed it.

Members that fail count as dead after some seconds, and only then do the next in rank act.  If all
watchers fail at once, nobody follows the store so long.  The next in rank therefore ping one
watcher, of their own data centre if possible, unless they have just heard one, and all of them if
it does not answer.  If none does, they watch at once.

Load: each of the next in rank, who are as many as the watchers, sends two pings a second or less.
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

import attrs

from kingcuppond.clock import Clock
from kingcuppond.configuration.watch_ranks import WatchRanks, find_watchers, rank_watchers
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.hearing import Hearing
from kingcuppond.membership.messages import Member, Pong
from kingcuppond.membership.pinging import PING_TIMEOUT_SECONDS

RANK_SETTLE_SECONDS: Final = 0.3
"""Time from joining the fleet until the ranks are known; rumours cross it sooner."""

MAX_RANK_SETTLE_SECONDS: Final = 1.0
"""Time from the start after which a daemon that could not join takes its rank as known."""

PROBE_SECONDS: Final = 0.2

HEARD_SECONDS: Final = 0.4
"""A watcher that was heard within this time need not be pinged."""

STALL_SECONDS: Final = 0.2
"""A ping that ends so much later than its timeout was held up by this process."""


@attrs.define
class WatchRoles:
    """The ranks of the watchers as this daemon knows them.

    :param is_joined: returns whether this daemon has exchanged its state with another one
    :param hearing: when each member was heard
    :param ping: pings a member, and returns its reply unless there was none in time
    """

    directory: Directory
    clock: Clock
    rng: Random
    is_joined: Callable[[], bool]
    hearing: Hearing
    ping: Callable[[Member], Awaitable[Pong | None]]
    _settled_at: float = attrs.field(init=False)
    _was_joined: bool = False
    _ranks: WatchRanks = attrs.field(factory=WatchRanks)
    _reachable_ranks: WatchRanks = attrs.field(factory=WatchRanks)
    _ranked_generation: int = -1
    _watchers: list[Member] = attrs.field(factory=list)
    _listed_generation: int = -1
    _unreachable: frozenset[str] = frozenset()
    _probed_vm: str = ""

    def __attrs_post_init__(self) -> None:
        self._settled_at = self.clock.monotonic() + MAX_RANK_SETTLE_SECONDS

    def has_rank(self) -> bool:
        """Return whether this daemon is one of the few that act for their data centre."""
        self._update_ranks()
        return self.directory.me.vm in self._ranks.acting

    def is_substitute(self) -> bool:
        """Return whether this daemon watches in place of others that can't."""
        ranks, me = self.ranks(), self.directory.me
        return me.vm in ranks.substitutes or (me.vm in ranks.acting and not self.has_rank())

    def is_settled(self) -> bool:
        """Return whether the ranks are taken as known."""
        return self.clock.monotonic() >= self._settled_at

    def ranks(self) -> WatchRanks:
        """Return the ranks of the reachable members; nobody has one before they are settled."""
        self._update_ranks()
        return self._reachable_ranks

    def update_settled(self) -> None:
        """Settle the ranks soon if this daemon has joined since the last call."""
        if not self._was_joined and self.is_joined():
            self._was_joined = True
            settled_at = self.clock.monotonic() + RANK_SETTLE_SECONDS
            self._settled_at = min(self._settled_at, settled_at)

    async def probe(self) -> None:
        """Find out, forever, whether any watcher answers, if this daemon is next in rank."""
        while True:
            await asyncio.sleep(PROBE_SECONDS * self.rng.uniform(0.8, 1.2))
            unreachable = await self._find_unreachable()
            if unreachable != self._unreachable:
                self._unreachable = unreachable
                self._ranked_generation = -1

    def _update_ranks(self) -> None:
        if not self.is_settled() or self._ranked_generation == self.directory.generation:
            return
        self._ranked_generation = self.directory.generation
        data_centre, living = self.directory.me.data_centre, self.directory.living()
        self._ranks = self._reachable_ranks = rank_watchers(data_centre, living)
        if self._unreachable:
            reachable = (member for member in living if member.vm not in self._unreachable)
            self._reachable_ranks = rank_watchers(data_centre, reachable)

    async def _find_unreachable(self) -> frozenset[str]:
        """Return the watchers that the store may serve, if none of them answers."""
        self._update_ranks()
        if self.directory.me.vm not in self._ranks.next_in_rank:
            return frozenset()
        watchers = self._list_watchers()
        if self.hearing.seconds_since_heard(it.vm for it in watchers) < HEARD_SECONDS:
            return frozenset()
        probed = [member for member in watchers if member.vm == self._probed_vm] or watchers[:1]
        if not probed or await self._answers(probed[0]):
            return frozenset()
        answers = await asyncio.gather(*map(self._answers, watchers))
        for member, is_answered in zip(watchers, answers, strict=True):
            if is_answered:
                self._probed_vm = member.vm
                return frozenset()
        return frozenset(member.vm for member in watchers)

    def _list_watchers(self) -> list[Member]:
        """Return the watchers that the store may serve, first those of this data centre."""
        if self._listed_generation != self.directory.generation:
            self._listed_generation = self.directory.generation
            watchers = find_watchers(self.directory.living())
            self._watchers = [member for member in watchers if not member.is_store_lost]
            own = self.directory.me.data_centre
            self._watchers.sort(key=lambda member: member.data_centre != own)
        return self._watchers

    async def _answers(self, member: Member) -> bool:
        """Return whether a member answers a ping, or this process was too slow to know."""
        started = self.clock.monotonic()
        pong = await self.ping(member)
        late_seconds = self.clock.monotonic() - started - PING_TIMEOUT_SECONDS
        return pong is not None or late_seconds > STALL_SECONDS
