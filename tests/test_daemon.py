"""How a daemon's planned stop waits for what has to end before its connections are closed."""

import asyncio
import time

import pytest

from kingcuppond.daemon import Daemon
from kingcuppond.settings.daemon import DaemonSettings

DEREGISTRATION_SECONDS = 1.6
LATE_CALL_SECONDS = 0.8
TIME_LIMIT_SECONDS = 1.0


def make_daemon(grace_ms: int) -> Daemon:
    """Make a daemon that listens nowhere."""
    address = "127.0.0.1:9"
    settings = DaemonSettings(
        "vm-1", "dc-1", "shop", address, address, address, address, address, grace_ms=grace_ms
    )
    return Daemon(settings, b"")


async def deregister_slowly() -> None:
    await asyncio.sleep(DEREGISTRATION_SECONDS)


async def test_a_slow_store_cuts_no_call_that_arrives_during_a_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A call that came after the last check for calls in progress was given up at the close."""
    daemon = make_daemon(grace_ms=0)
    monkeypatch.setattr(daemon.registration, "deregister", deregister_slowly)
    draining = asyncio.create_task(daemon.drain())
    await asyncio.sleep(DEREGISTRATION_SECONDS - LATE_CALL_SECONDS / 4)
    assert not draining.done()
    daemon.port.in_progress += 1
    await asyncio.sleep(LATE_CALL_SECONDS)
    is_waited_for = not draining.done()
    daemon.port.in_progress -= 1
    await draining
    await daemon.on_stop()
    assert is_waited_for


async def test_a_slow_store_does_not_delay_a_stop_beyond_its_time_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    daemon = make_daemon(int(TIME_LIMIT_SECONDS * 1000))
    monkeypatch.setattr(daemon.registration, "deregister", deregister_slowly)
    started = time.monotonic()
    await daemon.drain()
    seconds = time.monotonic() - started
    await daemon.on_stop()
    assert seconds < TIME_LIMIT_SECONDS
