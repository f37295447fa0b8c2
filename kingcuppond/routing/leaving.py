"""Applies the decision which calls leave this data centre, and shows it to operators.

The summaries of the load come with pings (see ``kingcuppond.membership.summaries``), the decision
is ``kingcuppond.routing.offloading``.  Where a summary of this data centre or of all others is
missing, nothing is decided, and the latency penalty of the router's settings applies.
"""

from collections.abc import Callable
from random import Random
from typing import Final

import attrs
from prometheus_client import CollectorRegistry, Counter, Gauge

from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.summaries import SummaryTable
from kingcuppond.routing.call import BODY_MEMORY_BYTES, Call
from kingcuppond.routing.offloading import (
    LARGE_BODY_BYTES,
    SHORT_PRESSURE,
    CallSize,
    Load,
    Neighbour,
    Shares,
    choose_destination,
    next_shares,
    overflow_destinations,
)
from kingcuppond.routing.placement import MAX_DRAWN_DATA_CENTRES, Scope

REFRESH_SECONDS: Final = 0.1
"""How long the loads that were read from the summaries are used."""

REFUSALS_BEFORE_OVERFLOW: Final = 2
"""Servers of this data centre that refuse a call before it may leave beside the share."""

REFUSALS_OF_LARGE_BODY: Final = 3
"""The same for a large body, whose bytes cost more than one more refusal here."""

NOTED_CHANGE: Final = 0.1
EVENT_INTERVAL_SECONDS: Final = 5.0
"""Changes of the share of a service are recorded at most this often."""


@attrs.define
class LeavingMetrics:
    """What operators see of the decision, by service and data centre."""

    registry: CollectorRegistry
    share: Gauge = attrs.field(init=False)
    pressure: Gauge = attrs.field(init=False)
    round_trip: Gauge = attrs.field(init=False)
    calls: Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        labels = ("service", "data_centre")
        self.share = Gauge(
            "kingcuppond_leaving_share",
            "Share of a service's calls that leaves for another data centre",
            labels,
            registry=self.registry,
        )
        self.pressure = Gauge(
            "kingcuppond_data_centre_pressure",
            "Demand for a service in a data centre as a part of its slots",
            labels,
            registry=self.registry,
        )
        self.round_trip = Gauge(
            "kingcuppond_round_trip_seconds",
            "Measured round trip to another data centre",
            ("data_centre",),
            registry=self.registry,
        )
        self.calls = Counter(
            "kingcuppond_calls_leaving",
            "Calls that leave by the decision, before any retry",
            labels,
            registry=self.registry,
        )


@attrs.define
class _Plan:
    """The decision for one service.

    :param seq: of the summary that the shares follow from
    :param local: ``None`` if a summary is missing
    :param overflow: those of the neighbours that calls are compared with that are refused here
    """

    read_at: float
    seq: int = 0
    local: Load | None = None
    neighbours: dict[str, Neighbour] = attrs.field(factory=dict)
    overflow: dict[str, Neighbour] = attrs.field(factory=dict)
    shares: Shares = attrs.field(factory=Shares)
    noted_share: float = 0.0
    noted_at: float = 0.0


@attrs.define
class LeavingPlanner:
    """Decides for each attempt of a call which data centres it may go to.

    :param is_out: returns whether a data centre is out of service
    """

    table: SummaryTable
    is_out: Callable[[str], bool]
    journal: Journal
    rng: Random
    metrics: LeavingMetrics
    _plans_by_service: dict[str, _Plan] = attrs.field(factory=dict)

    def scope(self, call: Call, tried: int, now: float, typical_seconds: float) -> Scope | None:
        """Return where an attempt may go, or ``None`` if too little is known.

        :param tried: servers that the call was sent to before
        :param typical_seconds: typical latency of the call's class
        """
        self.table.record_need(call.service, now)
        plan = self._plan(call.service, now)
        if plan.local is None:
            return None
        size = CallSize(_body_bytes(call), call.target_at - now, typical_seconds)
        overflow = overflow_destinations(size, plan.overflow)
        if not tried:
            destination = choose_destination(
                plan.shares, size, plan.local, plan.neighbours, self.rng
            )
            if destination is not None:
                self.metrics.calls.labels(call.service, destination).inc()
                return Scope((destination,), overflow, has_nearby=False)
        is_large = size.body_bytes >= LARGE_BODY_BYTES
        if tried < (REFUSALS_OF_LARGE_BODY if is_large else REFUSALS_BEFORE_OVERFLOW):
            return Scope((), overflow, asks_all=is_large or not tried)
        return Scope(overflow)

    def _plan(self, service: str, now: float) -> _Plan:
        plan = self._plans_by_service.get(service)
        if plan is None:
            plan = self._plans_by_service[service] = _Plan(now)
        elif now - plan.read_at < REFRESH_SECONDS:
            return plan
        plan.read_at = now
        self._read(service, plan, now)
        return plan

    def _read(self, service: str, plan: _Plan, now: float) -> None:
        own = self.table.find(self.table.data_centre, service, now)
        plan.neighbours = self._neighbours(service, now)
        if own is None or not own.slots or not plan.neighbours:
            plan.local = None
            return
        plan.local = Load(own.slots, own.load, own.refused)
        # A bounded number, so that a choice costs the same for any number of data centres.
        names = [name for name, it in plan.neighbours.items() if it.load.pressure < SHORT_PRESSURE]
        chosen = self.rng.sample(names, min(len(names), MAX_DRAWN_DATA_CENTRES))
        plan.overflow = {name: plan.neighbours[name] for name in chosen}
        if own.seq == plan.seq:
            return
        plan.seq = own.seq
        plan.shares = next_shares(plan.shares, plan.local, plan.neighbours)
        self._show(service, plan, now)

    def _neighbours(self, service: str, now: float) -> dict[str, Neighbour]:
        neighbours = {}
        for name in sorted(self.table.data_centres() - {self.table.data_centre}):
            found = self.table.find(name, service, now)
            round_trip_seconds = self.table.round_trip_seconds(name, now)
            if found is None or not found.slots or round_trip_seconds is None or self.is_out(name):
                continue
            load = Load(found.slots, found.load, found.refused)
            neighbours[name] = Neighbour(load, round_trip_seconds)
        return neighbours

    def _show(self, service: str, plan: _Plan, now: float) -> None:
        if plan.local is None:
            return
        own = self.table.data_centre
        self.metrics.pressure.labels(service, own).set(plan.local.pressure)
        for name, it in plan.neighbours.items():
            share = plan.shares.by_data_centre.get(name, 0.0)
            self.metrics.share.labels(service, name).set(share)
            self.metrics.pressure.labels(service, name).set(it.load.pressure)
            self.metrics.round_trip.labels(name).set(it.round_trip_seconds)
        share = plan.shares.total
        is_changed = abs(share - plan.noted_share) >= NOTED_CHANGE or (
            share == 0.0 < plan.noted_share
        )
        if not is_changed or now - plan.noted_at < EVENT_INTERVAL_SECONDS:
            return
        plan.noted_share, plan.noted_at = share, now
        neighbours = plan.neighbours.items()
        shares = plan.shares.by_data_centre
        self.journal.record(
            catalogue.LEAVING_SHARE_CHANGED,
            service=service,
            data_centre=own,
            share=round(share, 2),
            shares=", ".join(f"{name} {it:.2f}" for name, it in shares.items()),
            pressure=round(plan.local.pressure, 2),
            slots=plan.local.slots,
            refused=plan.local.refused,
            pressures=", ".join(f"{name} {it.load.pressure:.2f}" for name, it in neighbours),
            round_trips_ms=", ".join(
                f"{name} {it.round_trip_seconds * 1000:.0f}" for name, it in neighbours
            ),
        )


def _body_bytes(call: Call) -> int:
    body = call.body
    if body.is_buffered:
        return len(body.buffered)
    return BODY_MEMORY_BYTES if body.length is None else body.length
