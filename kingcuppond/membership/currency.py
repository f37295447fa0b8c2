"""How current this daemon's configuration is known to be.

The few daemons that watch the store count three things: *beats*, one in each short interval in
which they run; *follows*, one in each such interval in which all their watches are open; and
*answers* of the store.  Pings and their replies carry the newest count of each that is known, and
how long ago it was counted.  A daemon takes counts over only if its configuration is that of the
daemon that sent them, and so knows all that the watcher knew then; if the two differ, and its own
knowledge is old, it first fetches what it lacks.

Beats end when no watcher lives or can be reached.  Follows also end when the store serves none.
Answers show that the watches are sound: a connection may go silent without being closed, and a
watch on it stays open for as long as the store may hold one.

Ages grow while they are passed on, so that clocks of different VMs need not agree.  A count is
taken over only once, so that what a dead watcher said can't pass for new by being repeated.
"""

from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs

from kingcuppond.membership.messages import CurrencyReport, SourceCount

FORGOTTEN_SECONDS: Final = 120.0
MAX_SOURCES: Final = 256

DIGEST_MASK: Final = 0xFFFF_FFFF
"""The part of the digest of the configuration that reports carry."""

MAX_AGE_MS: Final = 60_000

NOTHING: Final = SourceCount(0, 0, 0)
"""What a report says of a counter that is not known."""


@attrs.define
class _Counter:
    number: int
    counted_at: float


@attrs.define
class Counters:
    """Counters of one kind, by the process that counts.

    :param now: monotonic clock, in seconds
    :param began_at: when this process began to listen for counts
    """

    now: Callable[[], float]
    began_at: float
    _newest: int = NOTHING.source
    _counters_by_source: dict[int, _Counter] = attrs.field(factory=dict)

    def is_advance(self, reported: SourceCount) -> bool:
        """Return whether a count is larger than the known one."""
        known = self._counters_by_source.get(reported.source)
        return reported.source != NOTHING.source and (
            known is None or known.number < reported.number
        )

    def advance(self, reported: SourceCount) -> None:
        """Take over a count if it is larger than the known one."""
        if not self.is_advance(reported):
            return
        if reported.source not in self._counters_by_source:
            self._make_room()
        counted_at = self.now() - reported.age_ms / 1000
        self._counters_by_source[reported.source] = _Counter(reported.number, counted_at)
        newest = self._counters_by_source.get(self._newest)
        if newest is None or newest.counted_at <= counted_at:
            self._newest = reported.source

    def newest(self) -> SourceCount:
        """Return the count that was counted last."""
        counter = self._counters_by_source.get(self._newest)
        if counter is None:
            return NOTHING
        age_ms = round((self.now() - counter.counted_at) * 1000)
        return SourceCount(self._newest, counter.number, min(max(age_ms, 0), MAX_AGE_MS))

    def newest_source(self, excluded: int) -> int:
        """Return the source, other than the excluded one, that has counted last."""
        others = (source for source in self._counters_by_source if source != excluded)
        return max(
            others,
            key=lambda source: self._counters_by_source[source].counted_at,
            default=NOTHING.source,
        )

    def silent_seconds(self, excluded: int = NOTHING.source) -> float:
        """Return the seconds since anything was counted, or since this process began to listen.

        :param excluded: a source that is left out
        """
        times = (
            counter.counted_at
            for source, counter in self._counters_by_source.items()
            if source != excluded
        )
        return self.now() - max(times, default=self.began_at)

    def _make_room(self) -> None:
        oldest = self.now() - FORGOTTEN_SECONDS
        by_age = sorted(
            self._counters_by_source, key=lambda it: self._counters_by_source[it].counted_at
        )
        surplus = len(by_age) + 1 - MAX_SOURCES
        for index, source in enumerate(by_age):
            if index < surplus or self._counters_by_source[source].counted_at < oldest:
                del self._counters_by_source[source]


@attrs.define
class Currency:
    """What this daemon knows of the watchers' counts.

    :param source: identifies this process among those that count
    :param objects_digest: returns the digest of this daemon's configuration
    """

    source: int
    objects_digest: Callable[[], int]
    beats: Counters
    follows: Counters
    answers: Counters
    _own: Counter[str] = attrs.field(factory=Counter)

    def record_beat(self, is_following: bool) -> None:
        """Record that this daemon has watched for one more interval.

        :param is_following: whether all its watches are open
        """
        self._count("beats", self.beats)
        if is_following:
            self._count("follows", self.follows)

    def record_answer(self) -> None:
        """Record that the store has answered this daemon."""
        self._count("answers", self.answers)

    def make_report(self) -> CurrencyReport | None:
        """Return what a ping tells of this daemon's knowledge, ``None`` if that is nothing."""
        newest = [counters.newest() for counters in (self.beats, self.follows, self.answers)]
        if all(it == NOTHING for it in newest):
            return None
        return CurrencyReport(self.objects_digest() & DIGEST_MASK, *newest)

    def is_news(self, report: CurrencyReport) -> bool:
        """Return whether a report has a count that advanced."""
        return (
            self.beats.is_advance(report.beats)
            or self.follows.is_advance(report.follows)
            or self.answers.is_advance(report.answers)
        )

    def has_objects_of(self, report: CurrencyReport) -> bool:
        """Return whether this daemon's configuration is that of the report's sender."""
        return report.objects == self.objects_digest() & DIGEST_MASK

    def take_over(self, report: CurrencyReport) -> None:
        """Take over the counts of a daemon whose whole configuration this one has."""
        self.beats.advance(report.beats)
        self.follows.advance(report.follows)
        self.answers.advance(report.answers)

    def _count(self, name: str, counters: Counters) -> None:
        self._own[name] += 1
        counters.advance(SourceCount(self.source, self._own[name], 0))


def make_currency(
    source: int, objects_digest: Callable[[], int], now: Callable[[], float]
) -> Currency:
    """Create the knowledge of a process that has just started."""
    beats, follows, answers = (Counters(now, now()) for _ in range(3))
    return Currency(source, objects_digest, beats, follows, answers)
