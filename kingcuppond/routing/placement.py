"""Which server a call is sent to: the candidates, and the choice among them.

The load patterns are many servers with few calls from each daemon, so that reports are old; a data
centre whose servers are full or slow; and servers that have just joined.  A choice looks at a
bounded number of servers, drawn at random, so that its cost doesn't grow with the service, and
daemons with the same reports don't all choose the same server.  A server of this data centre is
preferred as long as it has capacity and would answer in time, since traffic between data centres is
charged.  A new or cold server gets a small share of the calls that have enough time left.
"""

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Final, TypeVar

import attrs

from kingcuppond.configuration.replica import Configuration
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member, ServerState
from kingcuppond.routing.choice import (
    Candidate,
    Policy,
    SelectionContext,
    find_warmup_candidates,
)
from kingcuppond.routing.view import ServerView

T = TypeVar("T")

MAX_DRAWN: Final = 8
"""Servers that are drawn in this data centre, and as many in all others."""

MAX_DRAWN_DATA_CENTRES: Final = 4
"""Other data centres of which servers are drawn, if several have spare capacity."""

MAX_NEARBY_REPORT_AGE_SECONDS: Final = 0.03
"""As long as a gate itself treats the load report of its server as fresh."""

MAX_NEARBY_LOAD_SHARE: Final = 0.8
"""Servers slow down when they are nearly full; then other data centres are considered too."""

MAX_CACHED: Final = 4096
"""Lists of servers that are kept; filters change with time during a roll-out."""

MemberFilter = Callable[[Member], bool]
"""Must be hashable, as the servers that it allows are kept by it."""

WARMUP_SHARE: Final = 0.05
"""Share of the calls with enough time left that may warm up a server."""


@attrs.frozen
class Scope:
    """The data centres that an attempt may go to.

    :param others: data centres beside this one
    :param overflow: further ones, if no server of those is available
    :param has_nearby: whether this data centre is included
    :param asks_all: whether servers in backoff go before the overflow
    """

    others: tuple[str, ...] = ()
    overflow: tuple[str, ...] = ()
    has_nearby: bool = True
    asks_all: bool = False


@attrs.frozen
class _ServiceVms:
    """The VMs whose servers accept calls of one service.

    :param nearby: those in this data centre
    :param remote: those in all others
    :param remote_by_data_centre: the same, by data centre
    :param has_own: whether this VM is one of them
    """

    nearby: list[str]
    remote: list[str]
    remote_by_data_centre: Mapping[str, list[str]]
    has_own: bool


@attrs.define
class ServerIndex:
    """The servers that accept calls, by service.

    :param view_of: returns this daemon's view of the server on a VM
    """

    directory: Directory
    configuration: Configuration
    view_of: Callable[[str], ServerView]
    rng: Random
    _vms_by_service: dict[tuple[str, MemberFilter | None], _ServiceVms] = attrs.field(factory=dict)
    _generation: int = -1

    def __attrs_post_init__(self) -> None:
        self.configuration.on_change.append(self._vms_by_service.clear)

    def has_any(self, service: str) -> bool:
        """Return whether any server accepts calls of a service."""
        vms = self._find_vms(service)
        return bool(vms.nearby or vms.remote)

    def draw(
        self,
        service: str,
        tried: set[str],
        now: float,
        detour_seconds: float,
        allows: MemberFilter | None = None,
        scope: Scope | None = None,
    ) -> list[Candidate]:
        """Return some of the servers that may run a call of a service now.

        Suspected servers and those in backoff are included only if no others are drawn.

        :param tried: VMs that are excluded
        :param detour_seconds: latency penalty of a server in another data centre
        :param scope: data centres that are considered; ``None`` for all, as where this one has
            no server
        :param allows: returns whether the server of a member may run the call; ``None`` for all
        """
        vms = self._find_vms(service, allows)
        if scope is None or not vms.nearby:
            drawn = self._draw_from(vms, vms.remote, detour_seconds, has_nearby=True)
            preferred, eligible = self._select(drawn, tried, now)
            return preferred or eligible
        remote = self._remote_vms(vms, scope.others)
        drawn = self._draw_from(vms, remote, detour_seconds, scope.has_nearby)
        preferred, eligible = self._select(drawn, tried, now)
        if scope.asks_all and not preferred:
            preferred = [it for it in eligible if not self.directory.is_suspected(it.vm)]
        if preferred:
            return preferred
        remote = self._remote_vms(vms, scope.overflow)
        drawn = self._draw_from(vms, remote, detour_seconds, has_nearby=not scope.has_nearby)
        fallback_preferred, fallback_eligible = self._select(drawn, tried, now)
        return fallback_preferred or eligible or fallback_eligible

    def _draw_from(
        self, vms: _ServiceVms, remote: list[str], detour_seconds: float, has_nearby: bool
    ) -> list[tuple[str, float]]:
        """Draw VMs, with the latency penalty of each."""
        nearby: list[str] = []
        if has_nearby:
            own_vm = self.directory.me.vm
            nearby = self._draw_vms(vms.nearby)
            if vms.has_own and own_vm not in nearby:
                nearby.append(own_vm)
        return [
            *((vm, 0.0) for vm in nearby),
            *((vm, detour_seconds) for vm in self._draw_vms(remote)),
        ]

    def _remote_vms(self, vms: _ServiceVms, data_centres: tuple[str, ...]) -> list[str]:
        """Draw VMs of some data centres, about as many of each."""
        lists = [vms.remote_by_data_centre.get(name, []) for name in data_centres]
        lists = self._draw([it for it in lists if it], MAX_DRAWN_DATA_CENTRES)
        return [vm for some in lists for vm in self._draw(some, MAX_DRAWN // len(lists))]

    def _select(
        self, drawn: list[tuple[str, float]], tried: set[str], now: float
    ) -> tuple[list[Candidate], list[Candidate]]:
        """Return the candidates without those that are suspected or in backoff, and all."""
        own_vm = self.directory.me.vm
        eligible = [
            Candidate(vm, self.view_of(vm), vm == own_vm, detour)
            for vm, detour in drawn
            if vm not in tried
        ]
        preferred = [
            candidate
            for candidate in eligible
            if candidate.view.backoff_until <= now and not self.directory.is_suspected(candidate.vm)
        ]
        return preferred, eligible

    def _draw_vms(self, vms: list[str]) -> list[str]:
        return self._draw(vms, MAX_DRAWN)

    def _draw(self, items: list[T], count: int) -> list[T]:
        return items if len(items) <= count else self.rng.sample(items, count)

    def _find_vms(self, service: str, allows: MemberFilter | None = None) -> _ServiceVms:
        if self._generation != self.directory.generation:
            self._generation = self.directory.generation
            self._vms_by_service.clear()
        found = self._vms_by_service.get((service, allows))
        if found is None:
            if len(self._vms_by_service) >= MAX_CACHED:
                self._vms_by_service.clear()
            found = self._vms_by_service[service, allows] = self._list_vms(service, allows)
        return found

    def _list_vms(self, service: str, allows: MemberFilter | None) -> _ServiceVms:
        me = self.directory.me
        nearby: list[str] = []
        by_name: dict[str, list[str]] = {}
        for vm, member in self.directory.members_by_service.get(service, {}).items():
            if self._accepts_calls(member) and (allows is None or allows(member)):
                if member.data_centre == me.data_centre:
                    nearby.append(vm)
                else:
                    by_name.setdefault(member.data_centre, []).append(vm)
        remote = [vm for vms in by_name.values() for vm in vms]
        return _ServiceVms(nearby, remote, by_name, me.vm in nearby)

    def _accepts_calls(self, member: Member) -> bool:
        if member.is_leaving or member.state in (ServerState.ABSENT, ServerState.DRAINING):
            return False
        if self.configuration.is_out(member.data_centre):
            return False
        return not self.directory.is_dead(member.vm)


def place(
    candidates: Sequence[Candidate],
    context: SelectionContext,
    target_at: float,
    policy: Policy,
    rng: Random,
) -> Candidate:
    """Choose one of the candidates for a call.

    :param candidates: at least one
    :param target_at: when the call's latency target expires, on the monotonic clock, in seconds
    """
    nearby_with_capacity = [it for it in candidates if _has_capacity_nearby(it, context, target_at)]
    considered = nearby_with_capacity or candidates
    if rng.random() < WARMUP_SHARE:
        warmup_candidates = find_warmup_candidates(considered, context, target_at)
        if warmup_candidates:
            return rng.choice(warmup_candidates)
    return policy(considered, context, rng)


def _has_capacity_nearby(candidate: Candidate, context: SelectionContext, target_at: float) -> bool:
    """Return whether a server is in this data centre, has capacity and would answer in time.

    Then no other data centre is considered.  A gate here that was slow or full a moment ago is
    asked again, since its refusal costs little time.
    """
    view = candidate.view
    if candidate.detour_seconds:
        return False
    max_age_seconds = MAX_NEARBY_REPORT_AGE_SECONDS
    if view.load_share(context.now, max_age_seconds) >= MAX_NEARBY_LOAD_SHARE:
        return False
    expected_seconds = view.expected_seconds(context.now, context.typical_seconds, max_age_seconds)
    return context.now + expected_seconds <= target_at
