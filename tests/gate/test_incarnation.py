"""Late announcements of an earlier incarnation do not replace the current one."""

import pytest

from kingcuppond.gate.announcements import Announcement
from kingcuppond.gate.incarnation import SILENT_SECONDS, Incarnation, IncarnationTracker
from tests.conftest import FakeTime


def make_announcement(instance: str, born_ms: int, sequence: int) -> Announcement:
    return Announcement(
        "shop", "10.0.0.1:80", "warm", instance=instance, born_ms=born_ms, sequence=sequence
    )


@pytest.mark.parametrize(
    ("late", "is_newer"),
    [
        (make_announcement("b", 200, 6), True),
        (make_announcement("b", 200, 5), False),
        (make_announcement("b", 200, 4), False),
        (make_announcement("a", 100, 99), False),
        (make_announcement("c", 300, 1), True),
        (make_announcement("b", 300, 1), True),
    ],
    ids=[
        "the next announcement",
        "a duplicate",
        "an older announcement",
        "the previous incarnation",
        "the next incarnation",
        "a later start with the same id",
    ],
)
def test_only_newer_announcements_are_accepted(late: Announcement, is_newer: bool) -> None:
    tracker = IncarnationTracker()
    assert tracker.accept(make_announcement("b", 200, 5))
    assert tracker.accept(late) is is_newer


def test_a_leaving_incarnation_stays_leaving() -> None:
    tracker = IncarnationTracker()
    tracker.accept(make_announcement("a", 100, 1))
    tracker.mark_leaving(tracker.resolve("a"))
    assert tracker.accept(make_announcement("a", 100, 2))
    assert tracker.is_current_leaving
    assert tracker.accept(make_announcement("a", 200, 1))
    assert not tracker.is_current_leaving, "a later start with the same id is another incarnation"


def test_a_departure_may_precede_the_first_announcement() -> None:
    tracker = IncarnationTracker()
    tracker.mark_leaving(Incarnation("a", 100))
    tracker.accept(make_announcement("a", 100, 7))
    assert tracker.is_current_leaving


def test_announcements_without_ids_are_always_accepted() -> None:
    tracker = IncarnationTracker()
    plain = Announcement("shop", "10.0.0.1:80", "warm")
    assert all(tracker.accept(plain) for _ in range(3))


def test_a_clock_that_was_set_back_does_not_hide_a_new_incarnation(fake_time: FakeTime) -> None:
    """A server that started while the clock was ahead, and again later, was ignored for good."""
    tracker = IncarnationTracker(now=fake_time.read)
    tracker.accept(make_announcement("a", 2500, 1))
    assert not tracker.accept(make_announcement("a", 100, 1)), "it may be late"
    assert tracker.accept(make_announcement("a", 100, 1), is_gone=True)
    assert tracker.accept(make_announcement("a", 100, 2))
    assert tracker.accept(make_announcement("a", 2600, 1))
    fake_time.advance(SILENT_SECONDS + 0.1)
    assert tracker.accept(make_announcement("a", 200, 1))
    assert tracker.current == Incarnation("a", 200)


def test_a_late_announcement_is_ignored_while_the_current_one_is_heard(
    fake_time: FakeTime,
) -> None:
    tracker = IncarnationTracker(now=fake_time.read)
    for sequence in range(1, 10):
        assert tracker.accept(make_announcement("b", 200, sequence))
        fake_time.advance(SILENT_SECONDS / 2)
        assert not tracker.accept(make_announcement("a", 100, 90 + sequence))
