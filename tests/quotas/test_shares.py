"""The share of an organisation's requests that is admitted."""

import pytest

from kingcuppond.quotas.bucket import Limits
from kingcuppond.quotas.shares import (
    DemandMeter,
    admitted_share,
    is_new_share,
    report_interval_seconds,
)

LIMITS = Limits(100.0, 50.0, 15.0)


@pytest.mark.parametrize(
    ("level", "demand", "share"),
    [
        (50.0, 100.0, 1.0),
        (50.0, 230.0, 1.0),
        (50.0, 470.0, 0.51),
        (0.0, 100.0, 1.0),
        (-50.0, 100.0, 0.5),
        (-50.0, 470.0, 0.106),
        (-100.0, 470.0, 0.0),
    ],
)
def test_share(level: float, demand: float, share: float) -> None:
    """Guards against refusals within the quota, and against a debt that is not paid back."""
    assert admitted_share(level, LIMITS, demand) == pytest.approx(share, abs=0.001)


def test_changes_within_the_noise_are_not_sent() -> None:
    """Guards against messages for each small change of the demand."""
    assert not is_new_share(0.5, 0.55)
    assert is_new_share(0.5, 0.65)
    assert is_new_share(0.95, 1.0)
    assert not is_new_share(1.0, 0.85), "no limit begins by chance"
    assert is_new_share(1.0, 0.75)
    assert is_new_share(0.0, 0.05)


@pytest.mark.parametrize(("rate", "is_dense"), [(4, False), (400, True)])
def test_demand_is_measured_sooner_where_there_are_many_requests(rate: int, is_dense: bool) -> None:
    """Guards against a surge that is noticed late, and against chance that is taken for one."""
    meter = DemandMeter()
    for number in range(2 * rate):
        meter.record(100 + number / rate, 1)
    assert meter.rate(102.0) == pytest.approx(rate, rel=0.3)
    for number in range(rate):
        meter.record(102.0 + number / rate / 5, 1)
        if number >= rate:
            break
    assert (meter.rate(102.2) > 3 * rate) is is_dense
    assert meter.rate(110.0) == 0


def test_large_fleets_report_less_often() -> None:
    assert report_interval_seconds(86) == 0.1
    assert report_interval_seconds(2000) == pytest.approx(2.95)
