"""Creates the components for roll-outs of one daemon and connects them with the others."""

from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

import attrs

from kingcuppond.platform.rollouts import decode_order, encode_status
from kingcuppond.rollouts.decider import RolloutDecider
from kingcuppond.rollouts.gate_share import GateShare
from kingcuppond.rollouts.messages import RolloutReport
from kingcuppond.rollouts.order import Phase
from kingcuppond.rollouts.reporting import RolloutReporter
from kingcuppond.rollouts.steps import Bounds
from kingcuppond.rollouts.table import RolloutTable
from kingcuppond.settings.daemon import DaemonSettings

if TYPE_CHECKING:
    from kingcuppond.daemon import Daemon


@attrs.define
class Rollouts:
    """The components for roll-outs."""

    table: RolloutTable
    share: GateShare
    decider: RolloutDecider
    reporter: RolloutReporter

    def loops(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Return the loops that run for the lifetime of the daemon, by name."""
        return {"roll-outs": self.decider.run, "roll-out reports": self.reporter.run}

    def apply_settings(self, settings: DaemonSettings) -> None:
        """Apply the settings that can change while the daemon runs."""
        self.decider.bounds = bounds_of(settings)
        self.reporter.rollback_seconds = settings.rollback_seconds

    def running(self) -> int:
        """Return the number of roll-outs that have no end in the store."""
        return sum(not it.is_over for it in self.table.rollouts_by_service.values())

    def own_share(self) -> float:
        """Return the share of the new version in the roll-out of this daemon's service."""
        rollout = self.table.rollouts_by_service.get(self.share.directory.me.service)
        return 0.0 if rollout is None or rollout.phase is Phase.ROLLED_BACK else rollout.share


def bounds_of(settings: DaemonSettings) -> Bounds:
    """Return what may go to a version that proves bad."""
    return Bounds(settings.canary_share, settings.canary_slack)


def make_rollouts(daemon: "Daemon") -> Rollouts | None:
    """Create the components for roll-outs, ``None`` if the deployment has none."""
    settings = daemon.settings
    if not settings.has_rollouts:
        return None
    table = RolloutTable(
        daemon.configuration,
        daemon.directory,
        decode_order,
        daemon.gossip.spread_objects,
        daemon.clock,
    )
    decider = RolloutDecider(
        table,
        daemon.directory,
        daemon.store,
        bounds_of(settings),
        daemon.clock,
        daemon.journal,
        daemon.rng,
        encode_status,
        lambda: daemon.configuration.is_ready,
    )
    daemon.transport.handlers_by_type[RolloutReport] = decider.on_report
    share = GateShare(table, daemon.directory, daemon.clock)
    daemon.gate.outcomes.share = share
    daemon.gate.states_version = True
    daemon.router.filters = table.filters
    reporter = RolloutReporter(
        share, decider, daemon.directory, daemon.transport, settings.rollback_seconds
    )
    return Rollouts(table, share, decider, reporter)
