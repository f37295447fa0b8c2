"""A fleet in simulated time that rolls out: gossip, tables, gates and deciding daemons.

All of them are the product's own; the network, the store, the servers and the calls are simulated.
"""

import asyncio
from random import Random
from typing import Any

import attrs
import msgspec
from expression import Error, Ok, Result

from kingcuppond.configuration.replica import VersionedObject
from kingcuppond.events.journal import Journal
from kingcuppond.membership.messages import ServerState
from kingcuppond.outcomes import NotRun
from kingcuppond.platform.configuration import PLATFORM_FORMAT
from kingcuppond.platform.rollouts import decode_order, encode_status, with_rollouts
from kingcuppond.rollouts.decider import RolloutDecider
from kingcuppond.rollouts.gate_share import GateShare
from kingcuppond.rollouts.messages import RolloutReport
from kingcuppond.rollouts.order import ROLLOUTS_KIND
from kingcuppond.rollouts.reporting import RolloutReporter
from kingcuppond.rollouts.steps import Bounds
from kingcuppond.rollouts.table import RolloutTable
from kingcuppond.store.interface import StoredObject, StoreError
from tests.membership.network import Network, SimulatedDaemon

SERVICE = "shop"
WATCH_SECONDS = 0.02
CALL_SECONDS = 0.005
MAX_TRIES = 4
MAX_ROUNDS = 3
BACKLOG_SECONDS = 0.02
BOUNDS = Bounds(0.1, 50)


@attrs.define
class SimulatedStore:
    """One order in a store, with faults.

    :param lose_answers: writes that take effect and lose their answer
    :param conflicts: writes before which another writer changes the object
    :param statuses: all that were written, in order
    """

    fleet: "RolloutFleet"
    spec: dict[str, str] | None = None
    status: dict[str, str] | None = None
    version: int = 0
    created: int = 0
    is_down: bool = False
    lose_answers: int = 0
    conflicts: int = 0
    reads: int = 0
    statuses: list[str] = attrs.field(factory=list)

    def order(self, duration: str = "12s", version: str = "v2") -> None:
        """Write an order as operators do."""
        self.version += 10
        self.created = self.version
        self.spec = {"Service": SERVICE, "TargetVersion": version, "Duration": duration}
        self.status = None
        self._notify()

    def delete(self) -> None:
        """Delete the order."""
        self.version += 10
        self.spec = None
        self._notify()

    def item(self) -> VersionedObject:
        """Return the order as a watch reports it."""
        body = None
        if self.spec is not None:
            content = {"Created": self.created, "Spec": self.spec, "Status": self.status}
            body = msgspec.json.encode(content)
        return VersionedObject(SERVICE, self.version, body, ROLLOUTS_KIND)

    async def get(self, _kind: str, _name: str) -> Result[StoredObject | None, StoreError]:
        self.reads += 1
        await asyncio.sleep(CALL_SECONDS)
        if self.is_down:
            return Error(StoreError("down"))
        body = self.item().body
        return Ok(None if body is None else StoredObject(self.version, body))

    async def put_status(
        self, _kind: str, _name: str, status: bytes, expected: int
    ) -> Result[int, StoreError]:
        await asyncio.sleep(CALL_SECONDS)
        if self.is_down:
            return Error(StoreError("down", is_outcome_unknown=True))
        if self.conflicts:
            self.conflicts -= 1
            self.version += 1
        if expected != self.version:
            return Error(StoreError("conflict", is_conflict=True))
        self.status = msgspec.json.decode(status)
        self.version += 1
        self.statuses.append(str(self.status["State"]))
        self._notify()
        if self.lose_answers:
            self.lose_answers -= 1
            return Error(StoreError("lost", is_outcome_unknown=True))
        return Ok(self.version)

    def _notify(self) -> None:
        asyncio.get_running_loop().call_later(WATCH_SECONDS, self.fleet.watch, self.item())


@attrs.define(eq=False)
class Node:
    """One daemon with its server."""

    daemon: SimulatedDaemon
    table: RolloutTable
    share: GateShare
    decider: RolloutDecider
    journal: Journal
    tasks: list["asyncio.Task[Any]"]
    failing: float = 0.0
    calls: int = 0
    in_flight: int = 0

    @property
    def vm(self) -> str:
        return self.daemon.vm

    @property
    def version(self) -> str:
        return self.daemon.directory.me.server_version

    def stop(self) -> None:
        """End the daemon and its server at once."""
        self.daemon.stop()
        self.decider.stop()
        for task in self.tasks:
            task.cancel()


@attrs.define(eq=False)
class RolloutFleet:
    """Old and new servers of one service, and callers.

    :param ignores_shares: callers' daemons choose among all servers
    :param calls: that callers made
    :param refused: calls that no server took
    :param new_call_times: when servers of the new version got calls
    """

    network: Network
    rng: Random = attrs.field(factory=lambda: Random(1))
    nodes_by_vm: dict[str, Node] = attrs.field(factory=dict)
    store: SimulatedStore = attrs.field(init=False)
    ignores_shares: bool = False
    calls: int = 0
    refused: int = 0
    new_call_times: list[float] = attrs.field(factory=list)
    old_call_times: list[float] = attrs.field(factory=list)
    bad_answer_times: list[float] = attrs.field(factory=list)
    _tasks: set["asyncio.Task[Any]"] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.store = SimulatedStore(self)

    def add(self, vm: str, version: str, failing: float = 0.0, data_centre: str = "a") -> Node:
        """Add a daemon with a server, and start it."""
        daemon = self.network.add(vm, data_centre, SERVICE)
        daemon.configuration.format = with_rollouts(PLATFORM_FORMAT)
        clock, directory = daemon.directory.clock, daemon.directory
        table = RolloutTable(
            daemon.configuration, directory, decode_order, daemon.gossip.spread_objects, clock
        )
        journal = Journal(vm, clock)
        decider = RolloutDecider(
            table, directory, self.store, BOUNDS, clock, journal, self.rng, encode_status
        )
        transport: Any = daemon.transport
        transport.handlers_by_type[RolloutReport] = decider.on_report
        share = GateShare(table, directory, clock)
        reporter = RolloutReporter(share, decider, directory, transport, 5.0)
        node = Node(daemon, table, share, decider, journal, [], failing)
        self.nodes_by_vm[vm] = node
        seeds = [it for it in list(self.nodes_by_vm)[:3] if it != vm]
        daemon.start(seeds, self.rng)
        directory.publish_own_change(state=ServerState.WARM, server_version=version)
        node.tasks = [asyncio.create_task(loop()) for loop in (decider.run, reporter.run)]
        return node

    def kill(self, vm: str) -> None:
        """End a daemon and its server at once."""
        self.nodes_by_vm.pop(vm).stop()

    def watch(self, item: VersionedObject) -> None:
        """Deliver a change of the store to the two daemons that watch it."""
        if not self.store.is_down:
            for vm in sorted(self.nodes_by_vm)[:2]:
                self.nodes_by_vm[vm].daemon.gossip.spread_objects([item])

    def deciders(self) -> list[str]:
        """Return the daemons that take themselves for the deciding one."""
        nodes = self.nodes_by_vm.values()
        return [node.vm for node in nodes if node.decider.decider_of(SERVICE) == node.vm]

    def state(self) -> str:
        """Return the status in the store, empty if there is none."""
        return "" if self.store.status is None else self.store.status["State"]

    async def call(self, per_second: float, seconds: float) -> None:
        """Make calls at all daemons for some time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end and self.nodes_by_vm:
            await asyncio.sleep(self.rng.expovariate(per_second))
            task = asyncio.create_task(self._run_call())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run_call(self) -> None:
        if not self.nodes_by_vm:
            return
        self.calls += 1
        ingress = self.rng.choice(list(self.nodes_by_vm.values()))
        for _ in range(MAX_ROUNDS):
            tried: set[str] = set()
            for _ in range(MAX_TRIES):
                node = self._choose(ingress, tried)
                if node is None:
                    break
                tried.add(node.vm)
                refusal: NotRun | None = node.share.take()
                if refusal is None:
                    await self._run_at(node)
                    return
            await asyncio.sleep(BACKLOG_SECONDS)
        self.refused += 1

    def _choose(self, ingress: Node, tried: set[str]) -> Node | None:
        members = ingress.daemon.directory.members_by_service.get(SERVICE, {}).values()
        filters = (None,) if self.ignores_shares else ingress.table.filters(SERVICE, self.rng)
        for allows in filters:
            found = [
                self.nodes_by_vm[member.vm]
                for member in members
                if member.vm in self.nodes_by_vm
                and member.vm not in tried
                and self.nodes_by_vm[member.vm].daemon.is_joined
                and (allows is None or allows(member))
            ]
            if found:
                return self.rng.choice(found)
        return None

    async def _run_at(self, node: Node) -> None:
        loop = asyncio.get_running_loop()
        times = self.new_call_times if node.version == "v2" else self.old_call_times
        times.append(loop.time())
        node.calls += 1
        node.in_flight += 1
        seconds = 0.1 * self.rng.lognormvariate(0, 0.3)
        await asyncio.sleep(seconds)
        node.in_flight -= 1
        is_failure = self.rng.random() < node.failing
        if is_failure:
            self.bad_answer_times.append(loop.time())
        node.share.record_answer("read", seconds, is_failure)

    def stop(self) -> None:
        """End all daemons."""
        for vm in list(self.nodes_by_vm):
            self.kill(vm)
