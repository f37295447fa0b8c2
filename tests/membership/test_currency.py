"""Counts of watchers spread once, grow old, and are taken over only with the configuration."""

import msgspec

from kingcuppond.membership.currency import (
    MAX_AGE_MS,
    MAX_SOURCES,
    Counters,
    Currency,
    make_currency,
)
from kingcuppond.membership.messages import CurrencyReport, Ping, Pong, SourceCount
from tests.conftest import FakeTime


def make_counters(fake_time: FakeTime) -> Counters:
    return Counters(fake_time.read, fake_time.read())


def test_the_age_of_a_count_is_passed_on(fake_time: FakeTime) -> None:
    counters = make_counters(fake_time)
    counters.advance(SourceCount(1, 5, 300))
    fake_time.advance(0.2)
    assert counters.newest() == SourceCount(1, 5, 500)
    assert round(counters.silent_seconds(), 3) == 0.5


def test_what_a_dead_watcher_said_does_not_pass_for_new(fake_time: FakeTime) -> None:
    """Two daemons that repeat a count to each other would never notice the silence."""
    first, second = make_counters(fake_time), make_counters(fake_time)
    first.advance(SourceCount(1, 5, 0))
    for _ in range(10):
        fake_time.advance(1.0)
        second.advance(SourceCount(1, 5, 0))
        first.advance(second.newest())
    assert first.silent_seconds() == 10.0


def test_an_older_count_of_another_watcher_does_not_hide_a_newer_one(fake_time: FakeTime) -> None:
    counters = make_counters(fake_time)
    counters.advance(SourceCount(1, 5, 100))
    counters.advance(SourceCount(2, 9, 900))
    assert counters.newest() == SourceCount(1, 5, 100)
    assert round(counters.silent_seconds(excluded=1), 3) == 0.9


def test_memory_and_ages_are_bounded(fake_time: FakeTime) -> None:
    counters = make_counters(fake_time)
    for source in range(1, 3 * MAX_SOURCES):
        counters.advance(SourceCount(source, 1, 0))
        fake_time.advance(0.01)
    assert len(counters._counters_by_source) <= MAX_SOURCES
    assert counters.newest().source == 3 * MAX_SOURCES - 1
    fake_time.advance(1e6)
    assert counters.newest().age_ms == MAX_AGE_MS


def make_pair(fake_time: FakeTime, digests: list[int]) -> list[Currency]:
    return [
        make_currency(source, lambda source=source: digests[source - 1], fake_time.read)
        for source in (1, 2)
    ]


def test_only_the_same_configuration_confirms_that_it_is_current(fake_time: FakeTime) -> None:
    digests = [7, 7]
    watcher, other = make_pair(fake_time, digests)
    assert watcher.make_report() is None
    watcher.record_beat(is_following=True)
    report = watcher.make_report()
    assert report is not None
    assert other.is_news(report) and other.has_objects_of(report)
    digests[1] = 8
    assert not other.has_objects_of(report)
    other.take_over(report)
    assert not other.is_news(report)


def test_a_watcher_that_is_not_served_beats_without_following(fake_time: FakeTime) -> None:
    watcher, _ = make_pair(fake_time, [7, 7])
    watcher.record_beat(is_following=True)
    fake_time.advance(3.0)
    watcher.record_beat(is_following=False)
    assert watcher.beats.silent_seconds() == 0.0
    assert watcher.follows.silent_seconds() == 3.0
    assert watcher.answers.silent_seconds() == 3.0, "the store has not answered since the start"


def test_pings_of_both_versions_are_read() -> None:
    """An update mixes daemons that report and daemons that don't."""
    counts = [SourceCount(number, number, number) for number in range(3)]
    ping = Ping(1, currency=CurrencyReport(2, *counts))
    encoded = msgspec.msgpack.encode(ping)
    assert msgspec.msgpack.decode(encoded, type=Ping) == ping
    earlier = {"digest": 1, "heard_ms": {}, "era": 0, "load": None}
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(earlier), type=Pong).currency is None
