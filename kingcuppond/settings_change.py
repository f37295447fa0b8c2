"""Applies settings that have changed while the daemon runs."""

from typing import TYPE_CHECKING

from kingcuppond.quotas.bucket import QuotaBound
from kingcuppond.settings.daemon import DaemonSettings

if TYPE_CHECKING:
    from kingcuppond.daemon import Daemon


def quota_bound(settings: DaemonSettings) -> QuotaBound:
    """Return the settings that concern quotas."""
    return QuotaBound(settings.quota_window_seconds, settings.quota_over, settings.quota_slack)


def apply_settings(daemon: "Daemon", settings: DaemonSettings) -> None:
    """Apply the settings that can change without a new start."""
    daemon.settings = settings
    daemon.gate.server_timeout_seconds = settings.server_silent_ms / 1000
    daemon.gate.suspect_delay_seconds = settings.suspect_hold_ms / 1000
    daemon.watcher.wait_ms = settings.watch_wait_ms
    daemon.router.detour_seconds = settings.detour_ms / 1000
    daemon.router.fleet_retries = settings.fleet_retries
    daemon.server_port.configured_server = daemon.configured_server()
    daemon.port.service = settings.service
    daemon.organisations.policy = daemon.key_policy()
    daemon.quotas.peers.set_bound(quota_bound(settings))
    if daemon.rollouts is not None:
        daemon.rollouts.apply_settings(settings)
    if settings.service != daemon.directory.me.service:
        daemon.directory.publish_own_change(service=settings.service)
