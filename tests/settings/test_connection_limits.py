"""The limits of connections in the settings file."""

from typing import Any

import pytest

from kingcuppond.ingress.connection_limits import ConnectionLimits
from kingcuppond.settings.daemon import DaemonSettings

REQUIRED: dict[str, Any] = {
    "vm": "vm-1",
    "data_centre": "dc-1",
    "service": "shop",
    "caller_address": "127.0.0.1:1",
    "peer_address": "127.0.0.1:2",
    "server_address": "127.0.0.1:3",
    "metrics_address": "127.0.0.1:4",
    "platform_address": "127.0.0.1:5",
}


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("max_connections", 49),
        ("max_head_bytes", 16_384),
        ("max_head_ms", 3000),
        ("max_buffered_bytes", 65_536),
    ],
)
def test_limits_that_ordinary_clients_reach_are_refused(key: str, value: int) -> None:
    """Guards against a setting that turns clients away that keep the platform's limits."""
    with pytest.raises(ValueError, match=key):
        DaemonSettings(**REQUIRED, **{key: value})


def test_the_defaults_are_those_of_the_limits() -> None:
    settings = DaemonSettings(**REQUIRED)
    assert ConnectionLimits() == ConnectionLimits(
        settings.max_connections,
        settings.max_head_bytes,
        settings.max_head_ms,
        settings.max_buffered_bytes,
    )
