"""Who asks the store once nobody is known to follow it.

As long as some watcher's beats arrive, and the store's answers to some watcher, a daemon has
nothing to do.  If they cease, it first asks other members, which may have heard more.  If they have
not either, members of the whole fleet ask the store, in waves: first the few that rank first after
the watchers, then members by chance, more of them in each wave.  Whichever members were killed or
are rejected by the store, they can't be in the way for long.  Whoever is answered follows the store
for some seconds and counts as a watcher meanwhile, so that one answer calms all; it goes on as long
as it hears no other watcher.

Load: in calm, a comparison a few times per second.  In a large fleet counts arrive late at some
members, each of which pings another one, after a walk over all living members, a few times per
second at most.  The first wave ranks all members once.  While the store answers nobody, a number of
calls that does not depend on the size of the fleet: some tens in the first second, then about
``LATER_ASKERS`` in each wave, at intervals that double up to ``MAX_WAVE_SECONDS``.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

import attrs

from kingcuppond.clock import Clock
from kingcuppond.configuration.watch_ranks import MAX_SUBSTITUTES, rank_substitutes
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.currency import Currency
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member

BEAT_SECONDS: Final = 0.1
"""Interval of a watcher's beats, and at which each daemon looks for those of others."""

LATE_SECONDS: Final = 0.4
"""Age of the newest beat from which on a daemon asks other members for a newer one."""

STALE_SECONDS: Final = 0.9
"""Silence of all watchers after which the store is asked.  A change must be in force 2 s after its
acknowledgement, and takes some tenths of a second for the waves and as long to spread."""

UNSERVED_SECONDS: Final = 2.0
"""Time for which the store serves none of the watchers that live, after which others ask it.  A
change may take some seconds longer then, and the store may be back."""

UNANSWERED_SECONDS: Final = 4.5
"""Time without an answer of the store to any watcher after which others ask it.  Watches end at
least every 2.25 s, if no watcher has just failed."""

ASKING_SECONDS: Final = 0.2
MEMBERS_ASKED_WHEN_STALE: Final = 2
MAX_ASKING_SECONDS: Final = 2.0

WAVE_SECONDS: Final = 0.2
MAX_WAVE_SECONDS: Final = 16.0

GROWING_WAVES: Final = 2
"""Waves after the first of which each has twice the expected members of the one before.  If the
store rejects a third of the fleet, or half of it was killed, one of these is served."""

LATER_ASKERS: Final = 2
"""Expected members of all further waves: the store is likely to serve nobody."""

MIN_FOLLOWING_SECONDS: Final = 5.0
MAX_FOLLOWING_SECONDS: Final = 15.0

ROLE_CHECK_INTERVAL_SECONDS: Final = 0.25
FIRST_KIND_POLL_SECONDS: Final = 0.02

STALL_SECONDS: Final = 0.2
"""A check that is so late was held up by this process, which has not read yet what arrived."""


@attrs.define
class StoreInquiry:
    """Lets this daemon follow the store in place of the watchers.

    :param may_ask: returns whether this daemon knows the fleet and has the configuration
    :param is_watcher: returns whether this daemon watches the store, for whatever reason
    :param is_following: returns whether all watches of this daemon are open
    :param ask_member: asks a member how current its configuration is; returns ``None`` if it does
        not answer
    """

    currency: Currency
    directory: Directory
    clock: Clock
    journal: Journal
    rng: Random
    may_ask: Callable[[], bool]
    is_watcher: Callable[[], bool]
    is_following: Callable[[], bool]
    ask_member: Callable[[Member], Awaitable[object]]
    _begun: asyncio.Event = attrs.field(factory=asyncio.Event)
    _follows_until: float = 0.0
    _could_ask_since: float | None = None
    _wave: int = 0
    _next_wave_at: float = 0.0
    _next_asking_at: float = 0.0
    _late_since: float | None = None
    _was_silent: bool = False
    _unreachable: set[str] = attrs.field(factory=set)
    _tasks: set["asyncio.Task[None]"] = attrs.field(factory=set)

    @property
    def is_active(self) -> bool:
        """Whether this daemon follows the store by an inquiry."""
        return self._begun.is_set()

    def end(self) -> None:
        """Stop following the store, as it does not answer or others follow it."""
        self._begun.clear()

    async def wait(self) -> None:
        """Wait until this daemon may have begun to watch a kind."""
        if self.is_active:
            # The kind that changes least is tried first.
            await asyncio.sleep(FIRST_KIND_POLL_SECONDS)
            return
        try:
            async with asyncio.timeout(ROLE_CHECK_INTERVAL_SECONDS):
                await self._begun.wait()
        except TimeoutError:
            return

    async def run(self) -> None:
        """Count this daemon's beats, and ask whenever those of all watchers cease; forever."""
        while True:
            started = self.clock.monotonic()
            await asyncio.sleep(BEAT_SECONDS * self.rng.uniform(0.8, 1.2))
            now = self.clock.monotonic()
            if now - started > BEAT_SECONDS + STALL_SECONDS:
                continue
            if self.is_watcher():
                self.currency.record_beat(self.is_following())
            if self.is_active:
                self._end_if_followed(now)
            elif self.may_ask() and not self.is_watcher():
                self._ask_if_needed(now)
            else:
                self._could_ask_since = None
                self._begin_again()

    def _end_if_followed(self, now: float) -> None:
        follows, own = self.currency.follows, self.currency.source
        ends_at = self._follows_until
        if follows.newest_source(excluded=own) < own:
            # Of two that hear only each other, one goes on.
            ends_at += MIN_FOLLOWING_SECONDS
        if now > ends_at and follows.silent_seconds(excluded=own) < LATE_SECONDS:
            self.end()

    def _ask_if_needed(self, now: float) -> None:
        if self._could_ask_since is None:
            self._could_ask_since = now
        known_seconds = now - self._could_ask_since
        silent, unserved, unanswered = (
            min(counters.silent_seconds(), known_seconds)
            for counters in (self.currency.beats, self.currency.follows, self.currency.answers)
        )
        if unserved < LATE_SECONDS and unanswered < UNANSWERED_SECONDS:
            self._begin_again()
            return
        if self._late_since is None:
            self._late_since = now
        is_silent = silent >= STALE_SECONDS
        if is_silent and not self._was_silent:
            # The waves may have become rare while the store served none of the watchers.
            self._wave, self._next_wave_at = 0, now
        self._was_silent = is_silent
        is_stale = is_silent or unserved >= UNSERVED_SECONDS or unanswered >= UNANSWERED_SECONDS
        if now >= self._next_asking_at:
            self._ask_others(now, is_stale)
        if is_stale and now >= self._next_wave_at:
            self._begin_wave(now)

    def _begin_again(self) -> None:
        """Forget how often others and the store were asked."""
        self._late_since = None
        self._was_silent = False
        self._wave = 0
        self._next_wave_at = self._next_asking_at = 0.0
        self._unreachable.clear()

    def _ask_others(self, now: float, is_stale: bool) -> None:
        """Ask members, often at first and then less and less often.

        Until its knowledge is stale, a daemon asks one of its own data centre.
        """
        assert self._late_since is not None
        interval_seconds = max(ASKING_SECONDS, (now - self._late_since) / 5)
        self._next_asking_at = now + min(interval_seconds, MAX_ASKING_SECONDS)
        me = self.directory.me
        others = [
            member
            for member in self.directory.living()
            if member.vm != me.vm and (is_stale or member.data_centre == me.data_centre)
        ]
        reachable = [member for member in others if member.vm not in self._unreachable] or others
        count = MEMBERS_ASKED_WHEN_STALE if is_stale else 1
        for member in self.rng.sample(reachable, min(count, len(reachable))):
            task = asyncio.create_task(self._ask(member))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _ask(self, member: Member) -> None:
        if await self.ask_member(member) is None:
            self._unreachable.add(member.vm)
        else:
            self._unreachable.discard(member.vm)

    def _begin_wave(self, now: float) -> None:
        wave = self._wave
        self._wave += 1
        self._next_wave_at = now + wave_seconds(wave)
        if wave == 0:
            is_asking = self.directory.me.vm in rank_substitutes(self.directory.living())
        else:
            is_asking = self.rng.random() < chance_to_ask(wave, self.directory.living_count)
        if is_asking:
            self._follows_until = now + self.rng.uniform(
                MIN_FOLLOWING_SECONDS, MAX_FOLLOWING_SECONDS
            )
            self.journal.record(
                catalogue.STORE_INQUIRY,
                wave=wave,
                silent_ms=round(1000 * self.currency.beats.silent_seconds()),
                unserved_ms=round(1000 * self.currency.follows.silent_seconds()),
                unanswered_ms=round(1000 * self.currency.answers.silent_seconds()),
            )
            self._begun.set()


def chance_to_ask(wave: int, members: int) -> float:
    """Return the chance that a member asks the store in a wave after the first.

    :param members: number of living members of the fleet
    """
    askers = MAX_SUBSTITUTES << wave if wave <= GROWING_WAVES else LATER_ASKERS
    return min(1.0, askers / max(members, 1))


def wave_seconds(wave: int) -> float:
    """Return the seconds from a wave to the next one, which grow once the waves don't."""
    return min(math.ldexp(WAVE_SECONDS, max(0, wave - GROWING_WAVES)), MAX_WAVE_SECONDS)
