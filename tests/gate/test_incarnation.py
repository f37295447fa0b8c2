"""What an earlier start of a server says late is not taken for the present one's word."""

import pytest

from kingcuppond.gate.announcements import Announcement
from kingcuppond.gate.incarnation import Incarnation, IncarnationLog


def beat(instance: str, born_ms: int, sequence: int) -> Announcement:
    return Announcement(
        "shop", "10.0.0.1:80", "warm", instance=instance, born_ms=born_ms, sequence=sequence
    )


@pytest.mark.parametrize(
    ("late", "is_news"),
    [
        (beat("b", 200, 6), True),
        (beat("b", 200, 5), False),
        (beat("b", 200, 4), False),
        (beat("a", 100, 99), False),
        (beat("c", 300, 1), True),
        (beat("b", 300, 1), True),
    ],
    ids=[
        "the next one",
        "the same again",
        "an older one",
        "one of its predecessor",
        "one of its successor",
        "the same id, started again",
    ],
)
def test_only_what_is_newer_counts(late: Announcement, is_news: bool) -> None:
    log = IncarnationLog()
    assert log.take(beat("b", 200, 5))
    assert log.take(late) is is_news


def test_an_incarnation_that_left_does_not_come_back() -> None:
    log = IncarnationLog()
    log.take(beat("a", 100, 1))
    log.leave(log.find("a"))
    assert log.take(beat("a", 100, 2))
    assert log.has_left
    assert log.take(beat("a", 200, 1))
    assert not log.has_left, "the same id, started again, is another incarnation"


def test_a_departure_is_known_before_its_server_is_heard() -> None:
    log = IncarnationLog()
    log.leave(Incarnation("a", 100))
    log.take(beat("a", 100, 7))
    assert log.has_left


def test_servers_without_ids_are_always_heard() -> None:
    log = IncarnationLog()
    plain = Announcement("shop", "10.0.0.1:80", "warm")
    assert all(log.take(plain) for _ in range(3))
