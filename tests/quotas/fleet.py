"""A simulated fleet: daemons that count and coordinate quotas, with a fake clock and no network."""

import heapq
from bisect import bisect_left
from collections.abc import Callable
from random import Random
from typing import Any

import attrs
import msgspec

from kingcuppond.configuration.replica import Configuration
from kingcuppond.events.journal import Journal
from kingcuppond.organisations.organisation import Organisation, OrganisationTable
from kingcuppond.quotas.bucket import QuotaBound
from kingcuppond.quotas.guard import QuotaGuard
from kingcuppond.quotas.peers import QuotaPeers

STEP = 0.01
LOOP_SECONDS = 0.05
DETECTION_SECONDS = 1.5
"""Time from a failure until the other members suspect the daemon."""

HEADER_BYTES = 60
"""The header of a message of the transport."""

BOUND = QuotaBound()


@attrs.define
class FakeMembers:
    """The members as one daemon sees them."""

    data_centres_by_vm: dict[str, str]
    suspected: set[str] = attrs.field(factory=set)
    generation: int = 0

    @property
    def known(self) -> int:
        return len(self.data_centres_by_vm)

    def reachable(self) -> dict[str, str]:
        return {vm: dc for vm, dc in self.data_centres_by_vm.items() if vm not in self.suspected}

    def leaving(self) -> frozenset[str]:
        return frozenset()


@attrs.define
class Node:
    members: FakeMembers
    peers: QuotaPeers
    guard: QuotaGuard
    next_tick: float


class SimulatedFleet:
    """Daemons in three data centres, and the requests of organisations.

    :param loss: part of the messages that are lost
    :param delay: least and greatest delay of a message in seconds; messages overtake each other
    :param detection_seconds: time from a failure until it is known
    """

    def __init__(
        self,
        journal: Journal,
        count: int = 86,
        organisations: tuple[Organisation, ...] = (),
        loss: float = 0.0,
        delay: tuple[float, float] = (0.001, 0.004),
        seed: int = 1,
        data_centres: int = 3,
    ) -> None:
        self.rng = Random(seed)
        self.now = 1000.0
        self.names = [f"vm-{i}" for i in range(count)]
        self.loss, self.delay = loss, delay
        self.admitted_at: dict[str, list[float]] = {}
        self.refused_at: dict[str, list[float]] = {}
        self.waits: list[float] = []
        self.part_by_vm = dict.fromkeys(self.names, 0)
        self.dead: set[str] = set()
        self.messages = 0
        self.bytes = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._budgets: dict[str, float] = {}
        places = {name: f"dc-{i % data_centres}" for i, name in enumerate(self.names)}
        self.nodes = {name: self._make_node(name, dict(places), journal) for name in self.names}
        self.configure(organisations)

    def configure(self, organisations: tuple[Organisation, ...]) -> None:
        """Have all daemons use another configuration."""
        self.organisations = organisations
        for node in self.nodes.values():
            node.guard.configuration.organisations = OrganisationTable(organisations)
            node.guard.on_configuration_change()

    def run(
        self,
        seconds: float,
        demand: dict[str, float],
        names: list[str] | None = None,
        is_random: bool = True,
    ) -> None:
        """Let time pass.

        :param demand: requests per second of each organisation
        :param names: the daemons that receive them, all by default
        :param is_random: Poisson arrivals; otherwise evenly spaced
        """
        end = self.now + seconds
        arrivals: list[tuple[float, Organisation]] = []
        for organisation in self.organisations:
            rate = demand.get(organisation.name, 0.0)
            at = self.now
            while rate:
                at += self.rng.expovariate(rate) if is_random else 1 / rate
                if at >= end:
                    break
                arrivals.append((at, organisation))
        arrivals.sort(key=lambda arrival: arrival[0], reverse=True)
        while self.now < end:
            self.now += STEP
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            while arrivals and arrivals[-1][0] <= self.now:
                self._arrive(arrivals.pop()[1], names or self.names)
            for name, node in self.nodes.items():
                if node.next_tick <= self.now and name not in self.dead:
                    node.next_tick += LOOP_SECONDS
                    node.peers.tick(self.now)

    def kill(self, names: list[str]) -> None:
        """End daemons, which the others notice after a while."""
        self.dead.update(names)
        self._at(DETECTION_SECONDS, self._suspect_unreachable)

    def cut(self, parts: list[list[str]]) -> None:
        """Cut the fleet into parts, which notice it after a while."""
        self.part_by_vm = {name: number for number, part in enumerate(parts) for name in part}
        self._at(DETECTION_SECONDS, self._suspect_unreachable)

    def heal(self) -> None:
        """Join all parts again."""
        self.part_by_vm = dict.fromkeys(self.names, 0)
        self._at(DETECTION_SECONDS, self._suspect_unreachable)

    def coordinator(self, organisation: str) -> str:
        """Return the VM that coordinates an organisation, as a living daemon sees it."""
        for name, node in self.nodes.items():
            if name not in self.dead:
                count = node.guard._make_count(organisation, self.now)
                return count.link.coordinator
        raise LookupError(organisation)

    def most_in_window(self, organisation: str, since: float = 0.0) -> int:
        """Return the most requests that were admitted in any window."""
        times = [at for at in self.admitted_at.get(organisation, []) if at >= since]
        most = 0
        for index, at in enumerate(times):
            most = max(most, index + 1 - bisect_left(times, at - BOUND.window_seconds))
        return most

    def assert_bound(self, since: float = 0.0) -> None:
        """Check the invariant of all organisations."""
        for it in self.organisations:
            most = BOUND.most(it.rate_per_second, it.burst)
            seen = self.most_in_window(it.name, since)
            assert seen <= most, f"{it.name}: {seen} > {most}"

    def admitted(self, organisation: str, since: float) -> int:
        return sum(at >= since for at in self.admitted_at.get(organisation, []))

    def refused(self, organisation: str, since: float = 0.0) -> int:
        return sum(at >= since for at in self.refused_at.get(organisation, []))

    def _arrive(self, organisation: Organisation, names: list[str]) -> None:
        name = self.rng.choice(names)
        if name in self.dead:
            return
        result = self.nodes[name].guard.admit(organisation, self.now)
        if result.is_ok():
            self.admitted_at.setdefault(organisation.name, []).append(self.now)
        else:
            self.refused_at.setdefault(organisation.name, []).append(self.now)
            self.waits.append(result.error.room_after_seconds or 0.0)

    def _make_node(self, name: str, places: dict[str, str], journal: Journal) -> Node:
        members = FakeMembers(places)

        def send(vm: str, message: Any) -> None:
            self._send(name, vm, message)

        peers = QuotaPeers(
            name, members, BOUND, send, lambda: int(self.now * 1000), lambda _name, _share: None
        )
        guard = QuotaGuard(
            Configuration(journal),
            peers,
            lambda: self.now,
            Random(self.rng.random()),
            lambda _name: None,
            lambda: None,
        )
        return Node(members, peers, guard, self.now + self.rng.random() * LOOP_SECONDS)

    def _send(self, sender: str, receiver: str, message: Any) -> None:
        self.messages += 1
        self.bytes += HEADER_BYTES + len(msgspec.msgpack.encode(message))
        if self.rng.random() < self.loss:
            return
        encoded = msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=type(message))

        def deliver() -> None:
            is_cut = self.part_by_vm[sender] != self.part_by_vm[receiver]
            if receiver not in self.dead and not is_cut:
                self.nodes[receiver].peers.on_message(sender, encoded, self.now)

        self._at(self.rng.uniform(*self.delay), deliver)

    def _suspect_unreachable(self) -> None:
        for name, node in self.nodes.items():
            part = self.part_by_vm[name]
            suspected = {
                other
                for other in self.names
                if other in self.dead or self.part_by_vm[other] != part
            }
            if suspected != node.members.suspected:
                node.members.suspected = suspected
                node.members.generation += 1

    def _at(self, seconds: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (self.now + seconds, self._event_count, action))
