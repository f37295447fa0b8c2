"""Summaries of the load of each data centre and service, as pings and their replies carry them.

One daemon of each data centre and service adds up what the gates there report (see
``kingcuppond.membership.load_reports``).  The sums pass through pings like the ages in
``kingcuppond.membership.hearing``: with relative ages, since the clocks of VMs need not agree.  A
daemon passes on only what it or another daemon needs, and a bounded part of that in each message;
what doesn't arrive in time expires, and then no summary is used.

The round trips to other data centres are measured by the few daemons that ping there.
"""

import math
from random import Random
from typing import Final

import attrs

MAX_SUMMARY_AGE_SECONDS: Final = 4.0
"""A summary takes a few hops, each of which waits up to a second for a ping."""

NEED_SECONDS: Final = 30.0
"""How long a service counts as needed after a daemon routed a call to it."""

MAX_NEEDS_PER_MESSAGE: Final = 32
MAX_SUMMARIES_PER_MESSAGE: Final = 32
"""With 64 entries of some 20 bytes, the largest message has about 1.2 KB more."""

ROUND_TRIP_WEIGHT: Final = 0.25

SummaryFields = tuple[int, int, int, int, int]
"""Sequence number, age in milliseconds, slots, load, calls refused in the last second."""


@attrs.frozen
class LoadNews:
    """What a ping or its reply tells about load.

    :param needs: by service, seconds since some daemon routed a call to it
    :param summaries: by data centre and service
    :param round_trips: by data centre, age and duration in milliseconds of the newest measured
        round trip there from the sender's data centre
    """

    needs: dict[str, int] = attrs.field(factory=dict)
    summaries: dict[str, dict[str, SummaryFields]] = attrs.field(factory=dict)
    round_trips: dict[str, tuple[int, int]] = attrs.field(factory=dict)


@attrs.frozen
class Summary:
    """The load of a service in one data centre.

    :param seq: increases with each new sum
    :param measured_at: monotonic time in seconds, on the clock of this process
    :param slots: calls that may run at once; the free slots of slow servers count only in part
    :param load: calls that run or wait
    :param refused: calls that gates refused as full in the last second
    """

    seq: int
    measured_at: float
    slots: int
    load: int
    refused: int


@attrs.frozen
class _RoundTrip:
    seconds: float
    measured_at: float


@attrs.define
class SummaryTable:
    """The summaries that one daemon knows.

    :param data_centre: that of this daemon
    """

    data_centre: str
    rng: Random
    _summaries: dict[tuple[str, str], Summary] = attrs.field(factory=dict)
    _needed_at_by_service: dict[str, float] = attrs.field(factory=dict)
    _round_trips: dict[str, _RoundTrip] = attrs.field(factory=dict)

    def find(self, data_centre: str, service: str, now: float) -> Summary | None:
        """Return a summary that is not too old."""
        found = self._summaries.get((data_centre, service))
        if found is None or now - found.measured_at > MAX_SUMMARY_AGE_SECONDS:
            return None
        return found

    def data_centres(self) -> set[str]:
        """Return the data centres of which there was a summary."""
        return {data_centre for data_centre, _ in self._summaries}

    def round_trip_seconds(self, data_centre: str, now: float) -> float | None:
        """Return the round trip to another data centre, if one was measured lately."""
        found = self._round_trips.get(data_centre)
        if found is None or now - found.measured_at > MAX_SUMMARY_AGE_SECONDS:
            return None
        return found.seconds

    def record_need(self, service: str, now: float) -> None:
        """Record when a daemon routed a call to a service."""
        self._needed_at_by_service[service] = max(
            now, self._needed_at_by_service.get(service, -math.inf)
        )

    def is_needed(self, service: str, now: float) -> bool:
        """Return whether any daemon routed a call to a service lately."""
        return now - self._needed_at_by_service.get(service, -math.inf) <= NEED_SECONDS

    def need_age_seconds(self, service: str, now: float) -> int:
        """Return the seconds since some daemon routed a call to a needed service."""
        return math.ceil(now - self._needed_at_by_service[service])

    def publish(self, service: str, slots: int, load: int, refused: int, now: float) -> None:
        """Store a new sum of this daemon's own data centre."""
        key = (self.data_centre, service)
        known = self._summaries.get(key)
        seq = 1 if known is None else known.seq + 1
        self._summaries[key] = Summary(seq, now, slots, load, refused)

    def record_round_trip(
        self, data_centre: str, seconds: float, now: float, is_answered: bool
    ) -> None:
        """Record the round trip of a ping to another data centre.

        The timeout of a ping without an answer counts as its duration, so that a lossy link appears
        slow, but it is no newer measurement, so that a link that carries nothing is not used.
        """
        if data_centre == self.data_centre:
            return
        known = self._round_trips.get(data_centre)
        if known is not None:
            seconds = known.seconds + ROUND_TRIP_WEIGHT * (seconds - known.seconds)
        if is_answered:
            self._round_trips[data_centre] = _RoundTrip(seconds, now)
        elif known is not None:
            self._round_trips[data_centre] = _RoundTrip(seconds, known.measured_at)

    def make_news(self, now: float, receiver_data_centre: str) -> LoadNews:
        """Return what the next message tells.

        Another data centre is told only of this one, since its other neighbours tell it of theirs,
        and the bytes are charged.
        """
        is_near = receiver_data_centre == self.data_centre
        needed_at = self._needed_at_by_service
        for service in [it for it in needed_at if not self.is_needed(it, now)]:
            del needed_at[service]
        newest = sorted(needed_at, key=needed_at.__getitem__, reverse=True)
        # Rounded up, so that an age can't shrink by being passed around.
        needs = {it: math.ceil(now - needed_at[it]) for it in newest[:MAX_NEEDS_PER_MESSAGE]}
        fresh = [
            key
            for key, summary in self._summaries.items()
            if key[1] in needed_at
            and (is_near or key[0] == self.data_centre)
            and now - summary.measured_at <= MAX_SUMMARY_AGE_SECONDS
        ]
        summaries: dict[str, dict[str, SummaryFields]] = {}
        for key in self.rng.sample(fresh, min(MAX_SUMMARIES_PER_MESSAGE, len(fresh))):
            it = self._summaries[key]
            fields = (it.seq, _to_ms(now - it.measured_at), it.slots, it.load, it.refused)
            summaries.setdefault(key[0], {})[key[1]] = fields
        round_trips = {
            data_centre: (_to_ms(now - it.measured_at), _to_ms(it.seconds))
            for data_centre, it in self._round_trips.items()
            if is_near and now - it.measured_at <= MAX_SUMMARY_AGE_SECONDS
        }
        return LoadNews(needs, summaries, round_trips)

    def merge(self, news: LoadNews, sender_data_centre: str, now: float) -> None:
        """Store what a message tells, where it is newer than what is known."""
        for service, age in news.needs.items():
            self.record_need(service, now - age)
        for data_centre, by_service in news.summaries.items():
            for service, (seq, age_ms, *sums) in by_service.items():
                known = self.find(data_centre, service, now)
                if known is None or known.seq < seq:
                    summary = Summary(seq, now - age_ms / 1000, *sums)
                    self._summaries[(data_centre, service)] = summary
        if sender_data_centre != self.data_centre:
            return
        for data_centre, (age_ms, round_trip_ms) in news.round_trips.items():
            trip = _RoundTrip(round_trip_ms / 1000, now - age_ms / 1000)
            known_trip = self._round_trips.get(data_centre)
            if known_trip is None or known_trip.measured_at < trip.measured_at:
                self._round_trips[data_centre] = trip


def _to_ms(seconds: float) -> int:
    return math.ceil(seconds * 1000)
