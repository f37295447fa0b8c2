"""Creates the components of a daemon and connects them, in the order in which they need each other.

Each function creates the components of one duty and stores them as attributes of the daemon.
"""

from typing import TYPE_CHECKING

from kingcuppond.claims.attempts import AttemptTable
from kingcuppond.claims.confirmation import make_confirmed_era
from kingcuppond.claims.coordinator import ClaimCoordinator
from kingcuppond.claims.guard import ClaimGuard
from kingcuppond.claims.peers import ClaimPeers
from kingcuppond.claims.renewal import ClaimRenewal
from kingcuppond.configuration.watcher import Watcher
from kingcuppond.gate.departures import DepartureStore
from kingcuppond.gate.gate import Gate
from kingcuppond.gate.server_port import ServerPort
from kingcuppond.ingress.counts import CallCounts
from kingcuppond.ingress.in_progress import RequestsInProgress
from kingcuppond.ingress.port import CallPort
from kingcuppond.ingress.relayed_calls import RelayedCallPort
from kingcuppond.membership.gossip import Gossip
from kingcuppond.membership.load_reports import GateLoad, LoadCollector
from kingcuppond.membership.registration import Registration
from kingcuppond.membership.summaries import SummaryTable
from kingcuppond.organisations.guard import make_organisation_guard
from kingcuppond.outcomes import Reason
from kingcuppond.peers.registry import TYPES_BY_TAG
from kingcuppond.peers.transport import PeerTransport, derive_keys
from kingcuppond.quarantine.holds import HoldStore
from kingcuppond.quotas.loop import make_quotas
from kingcuppond.rollouts.factory import make_rollouts
from kingcuppond.routing.budgets import WindowBudget
from kingcuppond.routing.choice import POLICY_FACTORIES_BY_NAME
from kingcuppond.routing.leaving import LeavingMetrics, LeavingPlanner
from kingcuppond.routing.router import Router
from kingcuppond.routing.sender import Sender
from kingcuppond.routing.split import TrafficSplitter
from kingcuppond.settings_change import quota_bound

if TYPE_CHECKING:
    from kingcuppond.daemon import Daemon


def assemble_membership(daemon: "Daemon", fleet_key: bytes) -> None:
    """Create the components for fleet membership and for access to the store."""
    settings = daemon.settings
    daemon.transport = PeerTransport(
        settings.vm,
        settings.peer_address,
        derive_keys(fleet_key),
        TYPES_BY_TAG,
        daemon.clock,
        daemon.journal,
    )
    daemon.gossip = Gossip(
        daemon.directory,
        daemon.configuration,
        daemon.suspects,
        daemon.transport,
        daemon.eras,
        daemon.clock,
        daemon.journal,
        daemon.rng,
    )
    daemon.holds = HoldStore(
        daemon.store,
        daemon.suspects,
        daemon.journal,
        daemon.rng,
        lambda: daemon.directory.living_count,
    )
    daemon.eras.on_new_era.append(daemon.holds.on_new_era)
    daemon.watcher = Watcher(
        daemon.store,
        daemon.configuration,
        daemon.gossip,
        daemon.directory,
        daemon.clock,
        daemon.journal,
        daemon.rng,
        lambda: daemon.registration.has_contacted_members or daemon.is_first_start(),
        lambda: daemon.registration.has_contacted_members,
        not settings.is_first_start,
        settings.watch_wait_ms,
        daemon.read_holds,
    )
    daemon.registration = Registration(
        daemon.store,
        daemon.directory,
        daemon.gossip,
        daemon.clock,
        daemon.journal,
        daemon.rng,
        daemon.seed_addresses(),
        daemon.watcher.has_rank,
    )
    daemon.eras.on_new_era.append(daemon.registration.on_new_era)


def assemble_gate(daemon: "Daemon") -> None:
    """Create the gate and the port for the server beside this daemon."""
    may_have_run = not daemon.settings.is_first_start
    daemon.gate = Gate(
        daemon.directory,
        daemon.configuration,
        daemon.suspects,
        daemon.session,
        daemon.fresh_session,
        daemon.clock,
        daemon.journal,
        daemon.protocol.dialect,
        daemon.settings.server_silent_ms / 1000,
        daemon.settings.suspect_hold_ms / 1000,
        daemon.is_isolated,
        is_unconfirmed=may_have_run,
        is_departure_checked=not may_have_run,
    )
    if may_have_run:
        # No earlier process has sent anything since this one started.
        daemon.gate.rate_limiter.assume_window_full(daemon.process_started_at)
    daemon.configuration.on_change.append(daemon.gate.on_configuration_change)
    daemon.directory.on_earlier_incarnation.append(daemon.on_earlier_incarnation)
    daemon.departures = DepartureStore(
        daemon.settings.vm,
        daemon.store,
        daemon.journal,
        daemon.rng,
        daemon.gate.incarnations.is_superseded,
        lambda: daemon.directory.living_count,
    )
    daemon.eras.on_new_era.append(daemon.departures.on_new_era)
    daemon.server_port = ServerPort(
        daemon.gate, daemon.departures, daemon.protocol.decode_message, daemon.configured_server()
    )


def assemble_routing(daemon: "Daemon", fleet_key: bytes, policy: str, is_hedging: bool) -> None:
    """Create the components that route and send calls."""
    daemon.sender = Sender(
        daemon.directory,
        daemon.gate,
        daemon.session,
        fleet_key,
        daemon.clock,
        daemon.journal,
    )
    leaving = None
    if daemon.settings.leaves_data_centre == "measured":
        leaving = make_leaving_planner(daemon)
    daemon.router = Router(
        daemon.directory,
        daemon.configuration,
        daemon.sender,
        daemon.clock,
        daemon.journal,
        daemon.rng,
        daemon.next_id,
        daemon.settings.detour_ms / 1000,
        daemon.settings.fleet_retries,
        policy=POLICY_FACTORIES_BY_NAME[policy](),
        is_hedging=is_hedging,
        has_full_budgets=daemon.settings.is_first_start,
        leaving=leaving,
    )
    daemon.rollouts = make_rollouts(daemon)


def make_leaving_planner(daemon: "Daemon") -> LeavingPlanner:
    """Create what decides on calls that leave, and have pings carry what it needs."""
    table = SummaryTable(daemon.settings.data_centre, daemon.rng)
    collector = LoadCollector(
        daemon.directory, daemon.transport, table, daemon.clock, lambda: read_gate_load(daemon.gate)
    )
    daemon.gossip.carry_load(table, collector)
    return LeavingPlanner(
        table,
        daemon.configuration.is_out,
        daemon.journal,
        daemon.rng,
        LeavingMetrics(daemon.registry),
    )


def read_gate_load(gate: Gate) -> GateLoad:
    """Read the load of a gate for the summary of its data centre."""
    report = gate.report()
    # A slow server refuses calls that it would answer late, so that its free slots count for less.
    usable = max(report.limit / max(1.0, report.slowdown), min(report.limit, report.load))
    slots = 0.0 if gate.refusal() is not None else usable
    return GateLoad(slots, report.load, gate.refused_by_reason.get(Reason.FULL, 0))


def assemble_ingress(daemon: "Daemon", fleet_key: bytes) -> None:
    """Create the port for calls and the guard of their idempotency keys."""
    eras = daemon.eras
    daemon.claim_coordinator = ClaimCoordinator(
        daemon.store,
        eras,
        make_confirmed_era(daemon.directory, daemon.knows_members),
        daemon.clock,
        daemon.journal,
    )
    daemon.claim_peers = ClaimPeers(
        daemon.directory,
        daemon.transport,
        daemon.claim_coordinator,
        AttemptTable(),
        eras,
        daemon.clock,
    )
    daemon.claim_renewal = ClaimRenewal(
        daemon.directory,
        daemon.claim_peers,
        daemon.claim_coordinator,
        eras,
        daemon.clock,
        daemon.journal,
    )
    daemon.guard = ClaimGuard(
        daemon.claim_peers,
        eras,
        daemon.clock,
        daemon.journal,
        daemon.router.run,
        daemon.next_id,
        daemon.pause_guard.wait_until_current,
    )
    daemon.report_budget = WindowBudget(
        lambda: daemon.configuration.budget.bytes_per_second, daemon.clock.monotonic
    )
    daemon.requests = RequestsInProgress(
        daemon.settings.vm, daemon.clock, daemon.pause_guard.wait_until_current
    )
    daemon.organisations = make_organisation_guard(
        daemon.configuration, daemon.key_policy(), daemon.is_isolated, daemon.clock.monotonic
    )
    daemon.quotas, daemon.quota_loop = make_quotas(
        quota_bound(daemon.settings),
        daemon.configuration,
        daemon.directory,
        daemon.transport,
        daemon.clock,
        daemon.journal,
        daemon.rng,
        daemon.registry,
    )
    relayed = RelayedCallPort(
        daemon.settings.vm,
        daemon.gate,
        fleet_key,
        daemon.report_budget,
        daemon.clock,
        daemon.requests,
    )
    daemon.port = CallPort(
        daemon.settings.vm,
        daemon.settings.service,
        daemon.protocol.dialect,
        TrafficSplitter(daemon.rng).choose,
        daemon.configuration,
        daemon.directory,
        daemon.router,
        daemon.guard,
        daemon.suspects,
        CallCounts(daemon.registry),
        daemon.clock,
        daemon.journal,
        daemon.next_id,
        daemon.requests,
        relayed,
        daemon.organisations,
        daemon.quotas,
    )
