"""Which connections are closed, and the limits that ordinary clients keep."""

import pytest

from kingcuppond.ingress.connection_limits import (
    ConnectionLimits,
    ConnectionView,
    choose_connections_to_close,
    choose_connections_to_shed,
)

SILENT = ConnectionView(1, ticks=2)
NEW = ConnectionView(2)
IDLE = ConnectionView(3, requests=5, ticks=2)
TRICKLING = ConnectionView(4, has_request=True, is_complete=False, requests=1)
UNREAD = ConnectionView(5, has_request=True, is_unread=True, requests=1)
QUEUED = ConnectionView(8, has_request=True, is_queued=True, requests=1)
RUNNING = ConnectionView(6, has_request=True, requests=1)
DAEMON = ConnectionView(7, is_trusted=True, requests=1)


def numbers(views: list[ConnectionView]) -> list[int]:
    return [view.number for view in views]


def test_the_defaults_are_above_what_ordinary_clients_may_do() -> None:
    """Guards against a default that refuses a client within the platform's limits."""
    limits = ConnectionLimits().within(4100)
    assert limits.max_connections == 2000
    assert limits.max_head_bytes > 16_384
    assert limits.head_ticks > 3
    assert limits.max_on_port(is_for_calls=True) == 2000
    assert limits.max_on_port(is_for_calls=False) == 250


def test_a_process_with_few_descriptors_keeps_some_for_its_own_connections() -> None:
    assert ConnectionLimits().within(1000).max_connections == 600


@pytest.mark.parametrize(
    ("views", "chosen"),
    [
        ([RUNNING, DAEMON], []),
        ([TRICKLING, UNREAD, RUNNING], [5]),
        ([RUNNING, QUEUED, DAEMON], [8]),
        ([IDLE, TRICKLING, UNREAD, DAEMON], [3]),
        ([IDLE, NEW, RUNNING], [2]),
        ([SILENT, NEW, IDLE], [1]),
    ],
)
def test_order_in_which_connections_are_closed(
    views: list[ConnectionView], chosen: list[int]
) -> None:
    """Guards against closing a request that may run, or the connection of a daemon."""
    assert numbers(choose_connections_to_close(views)) == chosen


def test_newest_silent_connections_are_closed_several_at_once() -> None:
    """Guards against a look at all connections for each connection of a flood."""
    silent = [ConnectionView(number, ticks=1) for number in range(10)]
    assert numbers(choose_connections_to_close([*silent, IDLE], 3)) == [9, 8, 7]
    assert numbers(choose_connections_to_close([ConnectionView(1), NEW], 3)) == [2]


def test_connections_with_the_most_bytes_are_shed() -> None:
    views = [
        ConnectionView(1, bytes=60),
        ConnectionView(2, bytes=30, requests=1, has_request=True),
        ConnectionView(3, bytes=20),
        ConnectionView(4, bytes=5),
    ]
    assert choose_connections_to_shed(views, 115) == []
    assert numbers(choose_connections_to_shed(views, 100)) == [1]
    assert numbers(choose_connections_to_shed(views, 60)) == [1, 3]
