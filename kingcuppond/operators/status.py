"""A daemon's status page and gauges."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from prometheus_client import Gauge

from kingcuppond.membership.messages import Member
from kingcuppond.operators.http_handler import cpu_seconds, resident_bytes
from kingcuppond.operators.messages import DaemonStatus, MemberStatus
from kingcuppond.rollouts.factory import Rollouts

if TYPE_CHECKING:
    from kingcuppond.daemon import Daemon


def read_status(daemon: "Daemon") -> DaemonStatus:
    """Return the content of a daemon's status page."""
    me = daemon.directory.me
    admission = daemon.gate.admission
    return DaemonStatus(
        vm=me.vm,
        data_centre=me.data_centre,
        service=me.service,
        configuration_version=daemon.configuration.version,
        data_centres_out=sorted(daemon.configuration.data_centres_out),
        is_watching=daemon.watcher.is_watching,
        is_isolated=daemon.watcher.is_isolated(),
        server_state="leaving" if me.is_leaving else me.state.value,
        in_flight=admission.in_flight,
        waiting=admission.waiting,
        limit=daemon.gate.limit.limit,
        slots=daemon.gate.limit.slots,
        attempts=daemon.sender.attempts,
        claim_commits=daemon.claim_coordinator.commits,
        control_bytes=daemon.transport.bytes_sent,
        control_messages=daemon.transport.messages_sent,
        measuring_bytes=int(daemon.report_budget.spent),
        resident_bytes=resident_bytes(),
        cpu_seconds=cpu_seconds(),
        members=[
            MemberStatus(member, _condition(daemon, member))
            for _, member in sorted(daemon.directory.members_by_vm.items())
        ],
        held=daemon.suspects.held(),
    )


def register_gauges(daemon: "Daemon") -> None:
    """Register a daemon's gauges."""
    readings: dict[str, tuple[str, Callable[[], float]]] = {
        "gate_in_flight": ("Calls that the server runs now", lambda: daemon.gate.in_flight),
        "gate_limit": ("Calls that may run at once", lambda: daemon.gate.limit.limit),
        "gate_answered": ("Calls that the server answered", lambda: daemon.gate.answered),
        "gate_refused": (
            "Calls that the gate refused",
            lambda: sum(daemon.gate.refused_by_reason.values()),
        ),
        "attempts": ("Attempts sent to servers", lambda: daemon.sender.attempts),
        "claim_commits": (
            "Writes of claims to the store",
            lambda: daemon.claim_coordinator.commits,
        ),
        "control_bytes": ("Bytes of control sent", lambda: daemon.transport.bytes_sent),
        "measuring_bytes": ("Bytes of load reports sent", lambda: daemon.report_budget.spent),
        "gate_waiting": ("Calls that wait at the gate", lambda: daemon.gate.admission.waiting),
        "gate_slowdown": (
            "How long work takes at the server, as a multiple of the usual",
            lambda: daemon.gate.observer.slowdown,
        ),
        "server_word_age_seconds": (
            "Age of the server's newest word of its load",
            lambda: daemon.gate.observer.age,
        ),
        "health_questions": (
            "Questions to the health path",
            lambda: daemon.gate.observer.queries,
        ),
        "retries_left": (
            "Retries and hedges that the daemon may spend now, the least of all services",
            daemon.router.min_repeats_left,
        ),
        "backlog": ("Calls that wait for a slot anywhere", lambda: daemon.router.backlog),
        "peer_word_age_seconds": (
            "Age of the newest word of the data centre that was silent for longest",
            daemon.gossip.hearing.longest_silence_seconds,
        ),
        "configuration_age_seconds": (
            "Time since the configuration changed here",
            lambda: daemon.clock.monotonic() - daemon.configuration.changed_at,
        ),
        "store_reads": ("Reads of the store", lambda: daemon.store.calls_by_operation["read"]),
        "store_watches": ("Watches of the store", lambda: daemon.store.calls_by_operation["watch"]),
        "store_writes": ("Writes to the store", lambda: daemon.store.calls_by_operation["write"]),
        "log_lines": ("Log lines written or waiting", lambda: daemon.log_writer.lines),
        "log_lines_dropped": ("Log lines dropped", lambda: daemon.log_writer.dropped),
        "members": ("Members known", lambda: len(daemon.directory.members_by_vm)),
        "store_era": ("Newest era of the store heard of", lambda: daemon.eras.era),
        "configuration_version": (
            "Newest version of the store heard of",
            lambda: daemon.configuration.version,
        ),
    }
    if daemon.rollouts is not None:
        readings |= _rollout_readings(daemon.rollouts)
    for name, (text, reading) in readings.items():
        gauge = Gauge(f"kingcuppond_{name}", text, registry=daemon.registry)
        gauge.set_function(reading)


def _rollout_readings(rollouts: Rollouts) -> dict[str, tuple[str, Callable[[], float]]]:
    return {
        "rollouts_running": ("Roll-outs without an end", rollouts.running),
        "rollout_share": (
            "Share of the new version in the roll-out of this service",
            rollouts.own_share,
        ),
        "rollout_refused": (
            "Calls that the gate refused for the share of its version",
            lambda: rollouts.share.refused,
        ),
        "rollout_reports": ("Reports about roll-outs", lambda: rollouts.reporter.reports),
    }


def _condition(daemon: "Daemon", member: Member) -> str:
    if daemon.directory.is_dead(member.vm):
        return "dead"
    return "suspected" if daemon.directory.is_suspected(member.vm) else "alive"
