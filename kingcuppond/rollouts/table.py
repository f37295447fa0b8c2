"""The roll-outs that this daemon knows, and what they mean for the choice of a server.

The orders and the shared states are objects of the configuration.  The status in the store goes
before the shared state: ``completed`` has stopped the old servers already.  For the rest, the state
that is further counts.  Two daemons that decide at the same time may publish states of different
beginnings; a daemon that then receives one that is behind publishes the further one again, above
it.
"""

from collections.abc import Callable
from random import Random
from typing import Final

import attrs
from expression import Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.objects import ObjectError
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.membership.contacts import rendezvous_hash
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member, ServerState
from kingcuppond.rollouts.order import (
    ROLLOUTS_KIND,
    STATES_KIND,
    OrderStatus,
    Phase,
    RolloutOrder,
    RolloutState,
    decode_state,
    encode_state,
)
from kingcuppond.rollouts.steps import canary_servers

CANARY_TURN_SECONDS: Final = 3.0
"""Longer than the daemons differ in the age of an order."""

TURN_NOTICE_SECONDS: Final = 0.8
"""Time for the gates of the next turn to report and to be granted calls."""

OrderDecoder = Callable[[VersionedObject], Result[RolloutOrder, ObjectError]]


@attrs.frozen
class VersionFilter:
    """Selects the servers of one version, or of all others.

    :param is_new: whether the servers of the version are selected
    :param vms: if not empty, only servers on these VMs are selected
    """

    version: str
    is_new: bool
    vms: frozenset[str] = frozenset()

    def __call__(self, member: Member) -> bool:
        """Return whether a member's server is selected."""
        if self.vms and member.vm not in self.vms:
            return False
        return (member.server_version == self.version) == self.is_new


@attrs.frozen
class Rollout:
    """A roll-out as this daemon knows it.

    :param share: of the service's calls that may go to the new version
    """

    order: RolloutOrder
    phase: Phase
    share: float
    state: RolloutState | None = None

    @property
    def is_over(self) -> bool:
        """Whether the store has its end."""
        return self.order.status in (OrderStatus.COMPLETED, OrderStatus.ROLLED_BACK)

    def is_new(self, member: Member) -> bool:
        """Return whether the server of a member has the new version."""
        return member.server_version == self.order.target_version


@attrs.define
class _Servers:
    """What the directory holds of a service.

    :param new: VMs whose servers of the new version accept calls
    :param has_old_member: whether any member, dead or not, has another version
    :param canary_by_turn: VMs of the canary by turn and share
    """

    new: list[str]
    has_old_member: bool
    canary_by_turn: dict[tuple[int, float], frozenset[str]] = attrs.field(factory=dict)


@attrs.define
class RolloutTable:
    """The roll-outs by service.

    :param publish: merges objects into the configuration and spreads those that are newer
    """

    configuration: Configuration
    directory: Directory
    decode_order: OrderDecoder
    publish: Callable[[list[VersionedObject]], None]
    clock: Clock
    rollouts_by_service: dict[str, Rollout] = attrs.field(factory=dict)
    _heard_at_by_order: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _orders_by_object: dict[VersionedObject, RolloutOrder | None] = attrs.field(factory=dict)
    _servers_by_service: dict[str, _Servers] = attrs.field(factory=dict)
    _generation: int = -1

    def __attrs_post_init__(self) -> None:
        self.configuration.on_change.append(self.refresh)

    def refresh(self) -> None:
        """Take over the orders and states of the configuration."""
        orders = self._orders()
        known = self.rollouts_by_service
        found = {
            service: self._combine(order, known.get(service)) for service, order in orders.items()
        }
        if found != known:
            self._replace(found)
        self._publish_further()

    def _replace(self, found: dict[str, Rollout]) -> None:
        now = self.clock.monotonic()
        keys = {(service, rollout.order.id) for service, rollout in found.items()}
        heard = {key: self._heard_at_by_order.get(key, now) for key in keys}
        self.rollouts_by_service, self._heard_at_by_order = found, heard
        self._servers_by_service.clear()

    def age(self, service: str) -> float:
        """Return how many seconds ago the fleet has heard of the order, as far as known."""
        rollout = self.rollouts_by_service[service]
        return self.clock.monotonic() - self._heard_at_by_order[service, rollout.order.id]

    def learn_age(self, service: str, order: str, seconds: float) -> None:
        """Take over from another daemon that the order is at least as old."""
        heard_at = self._heard_at_by_order.get((service, order))
        if heard_at is not None:
            now = self.clock.monotonic()
            self._heard_at_by_order[service, order] = min(heard_at, now - seconds)

    def advance(self, service: str, phase: Phase, share: float, is_wide: bool = False) -> None:
        """Publish a further phase or a larger share of a roll-out, or that its canary is wide."""
        rollout = self.rollouts_by_service[service]
        began_ms = rollout.state.began_ms if rollout.state else self.clock.fleet_ms()
        is_wide |= rollout.state is not None and rollout.state.is_wide
        self.adopt(service, RolloutState(rollout.order.id, began_ms, phase, share, is_wide))

    def adopt(self, service: str, state: RolloutState) -> None:
        """Take over a state, and spread it if it is newer than that of this daemon."""
        rollout = self.rollouts_by_service.get(service)
        if rollout is None or rollout.order.id != state.order:
            return
        if rollout.state is not None and state.progress <= rollout.state.progress:
            return
        self.publish([encode_state(service, state, rollout.order.version)])

    def filters(self, service: str, rng: Random) -> tuple[VersionFilter | None, ...]:
        """Return which servers a call may go to, in the order of preference; ``None`` is all."""
        rollout = self.rollouts_by_service.get(service)
        if rollout is None:
            return (None,)
        new = VersionFilter(rollout.order.target_version, is_new=True)
        old = VersionFilter(rollout.order.target_version, is_new=False)
        if rollout.phase is Phase.ROLLED_BACK:
            return (old,)
        if rollout.phase in (Phase.FINISHING, Phase.COMPLETED):
            return (new,) if self.has_new(service) else (old,)
        if not self._servers_of(service).has_old_member:
            return (None,)
        if rng.random() >= rollout.share:
            return (old,)
        if rollout.phase is Phase.CANARY:
            new = attrs.evolve(new, vms=self.canary_vms(service))
        return (new, old)

    def canary_vms(self, service: str, turns_ahead: int = 0) -> frozenset[str]:
        """Return the VMs whose servers carry the canary's share, now or some turns later.

        They change every few seconds, so that one unusual machine does not decide.
        """
        rollout = self.rollouts_by_service[service]
        turn = int(self.age(service) / CANARY_TURN_SECONDS) + turns_ahead
        servers = self._servers_of(service)
        found = servers.canary_by_turn.get((turn, rollout.share))
        if found is None:
            salt = f"canary/{rollout.order.id}/{turn}"
            alive = [vm for vm in servers.new if not self.directory.is_suspected(vm)]
            ranked = sorted(alive or servers.new, key=lambda vm: rendezvous_hash(salt, vm))
            is_wide = rollout.state is not None and rollout.state.is_wide
            count = len(ranked) if is_wide else canary_servers(rollout.share, len(ranked))
            found = frozenset(ranked[:count])
            servers.canary_by_turn[turn, rollout.share] = found
        return found

    def is_turn_near(self, service: str) -> bool:
        """Return whether the next servers are about to carry the canary's share."""
        left = CANARY_TURN_SECONDS - self.age(service) % CANARY_TURN_SECONDS
        return left < TURN_NOTICE_SECONDS

    def has_new(self, service: str) -> bool:
        """Return whether a server of the new version accepts calls."""
        return bool(self._servers_of(service).new)

    def has_old_member(self, service: str) -> bool:
        """Return whether any member, dead or not, has another version than the new one."""
        return self._servers_of(service).has_old_member

    def _servers_of(self, service: str) -> _Servers:
        if self._generation != self.directory.generation:
            self._generation = self.directory.generation
            self._servers_by_service.clear()
        found = self._servers_by_service.get(service)
        if found is None:
            found = self._servers_by_service[service] = self._find_servers(service)
        return found

    def _find_servers(self, service: str) -> _Servers:
        rollout = self.rollouts_by_service[service]
        members = list(self.directory.members_by_service.get(service, {}).values())
        return _Servers(
            new=[it.vm for it in members if rollout.is_new(it) and self._accepts_calls(it)],
            # Servers of the old version may not state one.
            has_old_member=any(
                it.state is not ServerState.ABSENT and not rollout.is_new(it) for it in members
            ),
        )

    def _accepts_calls(self, member: Member) -> bool:
        return (
            member.state in (ServerState.WARM, ServerState.COLD)
            and not member.is_leaving
            and not self.directory.is_dead(member.vm)
            and not self.configuration.is_out(member.data_centre)
        )

    def _orders(self) -> dict[str, RolloutOrder]:
        decoded: dict[VersionedObject, RolloutOrder | None] = {}
        for (kind, _), item in self.configuration.objects_by_key.items():
            if kind != ROLLOUTS_KIND or item.body is None:
                continue
            if item in self._orders_by_object:
                decoded[item] = self._orders_by_object[item]
            else:
                order = self.decode_order(item)
                decoded[item] = order.ok if order.is_ok() else None
        self._orders_by_object = decoded
        return {order.service: order for order in decoded.values() if order is not None}

    def _combine(self, order: RolloutOrder, known: Rollout | None) -> Rollout:
        state = self._state_of(order)
        further = None if known is None else known.state
        is_same = further is not None and further.order == order.id
        if further is not None and is_same and (state is None or state.progress < further.progress):
            state = further
        match order.status:
            case OrderStatus.COMPLETED:
                return Rollout(order, Phase.COMPLETED, 1.0, state)
            case OrderStatus.ROLLED_BACK:
                return Rollout(order, Phase.ROLLED_BACK, 0.0, state)
        if state is None:
            return Rollout(order, Phase.WAITING, 0.0)
        return Rollout(order, state.phase, state.share, state)

    def _state_of(self, order: RolloutOrder) -> RolloutState | None:
        item = self.configuration.objects_by_key.get((STATES_KIND, order.service))
        state = None if item is None else decode_state(item)
        return state if state is not None and state.order == order.id else None

    def _publish_further(self) -> None:
        """Publish the states that are further than those that the configuration has."""
        further = []
        for service, rollout in self.rollouts_by_service.items():
            received = self._state_of(rollout.order)
            state = rollout.state
            if state is None or received is None or received.progress >= state.progress:
                continue
            began_ms = max(received.began_ms, state.began_ms)
            state = attrs.evolve(state, began_ms=began_ms)
            further.append(encode_state(service, state, rollout.order.version))
        if further:
            self.publish(further)
