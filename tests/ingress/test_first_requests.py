"""Requests that return after a refusal are told apart from new ones by the time they have left."""

import pytest

from kingcuppond.ingress.first_requests import WINDOW_SECONDS, FirstRequests


def test_a_request_that_returns_is_as_old_as_the_time_it_has_lost() -> None:
    requests = FirstRequests()
    assert requests.seconds_since("read", 3.5, 100.0) == 0.0
    assert requests.seconds_since("read", 2.9, 100.6) == pytest.approx(0.6)
    assert requests.seconds_since("read", 3.5, 100.7) == 0.0


def test_classes_are_apart() -> None:
    requests = FirstRequests()
    requests.seconds_since("read", 3.5, 100.0)
    assert requests.seconds_since("status", 2.8, 100.0) == 0.0


def test_a_request_sent_a_moment_late_is_new() -> None:
    requests = FirstRequests()
    requests.seconds_since("read", 3.5, 100.0)
    assert requests.seconds_since("read", 3.495, 100.0) == 0.0


def test_a_single_long_deadline_is_forgotten() -> None:
    """Guards against one caller that makes all others look as if they returned, for good."""
    requests = FirstRequests()
    requests.seconds_since("read", 60.0, 100.0)
    assert requests.seconds_since("read", 3.5, 100.0 + WINDOW_SECONDS) > 50.0
    assert requests.seconds_since("read", 3.5, 100.0 + 2 * WINDOW_SECONDS) == 0.0
    requests.seconds_since("read", 60.0, 200.0)
    assert requests.seconds_since("read", 3.5, 300.0) == 0.0
