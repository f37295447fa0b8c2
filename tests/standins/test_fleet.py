"""A fleet counts as ready only once its daemons serve requests."""

import pytest

from standins.fleet import Fleet
from tests.failures.test_platform import PLANS, configure

MAX_START_SECONDS = 6.0


def test_a_fleet_without_a_configuration_is_not_ready() -> None:
    """Tests whose configuration came late got a 503 for their first request."""
    with Fleet(PLANS[:1], is_on_platform=True) as fleet:
        with pytest.raises(TimeoutError):
            fleet.wait_until_ready(seconds=MAX_START_SECONDS)
        configure(fleet)
        fleet.wait_until_ready()
