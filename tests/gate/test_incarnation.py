"""Late announcements of an earlier incarnation do not replace the current one."""

import pytest

from kingcuppond.gate.announcements import Announcement
from kingcuppond.gate.incarnation import Incarnation, IncarnationTracker


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
