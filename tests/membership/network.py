"""A simulated network of daemons' gossip, in one process and in simulated time.

Directories, configurations and the gossip protocol are the product's own; only the transport and
the clock are replaced.  Messages are encoded, so that their bytes can be counted by type, inside
and between data centres.
"""

import asyncio
import itertools
import selectors
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any, cast

import attrs
import msgspec
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.gossip import Gossip
from kingcuppond.membership.messages import Member
from kingcuppond.peers.transport import PeerTransport
from kingcuppond.quarantine.suspects import SuspectTable
from kingcuppond.store.era import EraTracker

NEAR_SECONDS = 0.0001
FAR_SECONDS = 0.0005
START_SPREAD_SECONDS = 0.3
HEADER_BYTES = 75
"""About the size of a message's header and framing."""


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        self.virtual_seconds = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        return self.virtual_seconds


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualTimeLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is not None and timeout > 0:
            self._loop.virtual_seconds += timeout
        return super().select(0)


@attrs.define
class Traffic:
    """Messages and bytes between data centres and inside them, by type of message."""

    bytes_between: Counter[str] = attrs.field(factory=Counter)
    bytes_inside: Counter[str] = attrs.field(factory=Counter)
    messages: Counter[str] = attrs.field(factory=Counter)

    def add(self, kind: str, size: int, is_between: bool) -> None:
        self.messages[kind] += 1
        (self.bytes_between if is_between else self.bytes_inside)[kind] += size

    def clear(self) -> None:
        for counter in (self.bytes_between, self.bytes_inside, self.messages):
            counter.clear()


@attrs.define(eq=False)
class SimulatedDaemon:
    """The gossip of one daemon."""

    vm: str
    gossip: Gossip
    configuration: Configuration
    suspects: SuspectTable
    transport: "SimulatedTransport"
    eras: EraTracker
    tasks: list["asyncio.Task[Any]"] = attrs.field(factory=list)
    is_joined: bool = False

    @property
    def directory(self) -> Directory:
        return self.gossip.directory

    def start(self, seeds: list[str], rng: Random) -> None:
        """Run the daemon's loops, and join through the seeds."""
        self.tasks = [asyncio.create_task(loop()) for loop in self.gossip.loops()]
        self.tasks.append(asyncio.create_task(self._join(seeds, rng)))

    def stop(self) -> None:
        """End the daemon at once, as a kill does."""
        self.transport.is_running = False
        self.gossip.stop()
        for task in self.tasks:
            task.cancel()

    async def _join(self, seeds: list[str], rng: Random) -> None:
        await asyncio.sleep(rng.uniform(0, START_SPREAD_SECONDS))
        while not await self.gossip.join(seeds):
            await asyncio.sleep(0.3)
        self.is_joined = True


@attrs.define(eq=False)
class SimulatedTransport:
    """The transport of one daemon; its address is its VM's name."""

    network: "Network"
    me: Member
    handlers_by_type: dict[type, Any] = attrs.field(factory=dict)
    is_running: bool = True

    def tell(self, address: str, message: Any) -> None:
        self.network.send(self.me, address, message, lambda reply: None)

    async def ask(
        self, address: str, message: Any, reply_type: type, timeout: float
    ) -> Result[Any, str]:
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

        def on_reply(reply: Any) -> None:
            if not future.done():
                future.set_result(reply)

        self.network.send(self.me, address, message, on_reply)
        try:
            return Ok(await asyncio.wait_for(future, timeout))
        except TimeoutError:
            return Error("no answer in time")

    def disconnect(self, address: str) -> None:
        pass


@attrs.define(eq=False)
class Network:
    """The daemons and what passes between them.

    :param is_cut: returns whether messages from one member to another are lost
    """

    rng: Random = attrs.field(factory=lambda: Random(1))
    daemons_by_vm: dict[str, SimulatedDaemon] = attrs.field(factory=dict)
    traffic: Traffic = attrs.field(factory=Traffic)
    is_cut: Callable[[Member, Member], bool] = lambda sender, receiver: False
    _incarnation: Any = attrs.field(factory=lambda: itertools.count(1))
    _tasks: set["asyncio.Task[Any]"] = attrs.field(factory=set)

    def add(self, vm: str, data_centre: str, service: str = "shop") -> SimulatedDaemon:
        """Add a daemon that isn't started yet; it replaces an earlier one of the same VM."""
        loop = asyncio.get_running_loop()
        clock = Clock(loop.time, lambda: 1e9 + loop.time())
        journal = Journal(vm, clock)
        me = Member(
            vm,
            data_centre,
            service,
            f"10.10.10.10:1/{vm}",
            vm,
            "10.10.10.10:9464",
            incarnation=next(self._incarnation),
        )
        transport = SimulatedTransport(self, me)
        configuration = Configuration(journal)
        suspects = SuspectTable(vm, clock, journal)
        eras = EraTracker()
        gossip = Gossip(
            Directory(me, clock, journal),
            configuration,
            suspects,
            cast(PeerTransport, transport),
            eras,
            clock,
            journal,
            Random(f"{self.rng.random()}"),
        )
        daemon = SimulatedDaemon(vm, gossip, configuration, suspects, transport, eras)
        self.daemons_by_vm[vm] = daemon
        return daemon

    def start_fleet(self, count: int, data_centres: int) -> None:
        """Start daemons that all know the same three seeds, as after the loss of all power."""
        for i in range(count):
            self.add(f"vm-{i:04}", f"dc-{i % data_centres}")
        seeds = [f"vm-{i:04}" for i in range(3)]
        for vm, daemon in self.daemons_by_vm.items():
            daemon.start([seed for seed in seeds if seed != vm], self.rng)

    def stop(self) -> None:
        for daemon in self.daemons_by_vm.values():
            daemon.stop()

    def send(
        self, sender: Member, address: str, message: Any, on_reply: Callable[[Any], None]
    ) -> None:
        receiver = self.daemons_by_vm.get(address)
        if receiver is None or not self._passes(sender, receiver):
            return
        self._count(message, sender, receiver.transport.me)
        delay = self._delay(sender, receiver.transport.me)
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._deliver, sender, receiver, message, on_reply)

    def _deliver(
        self,
        sender: Member,
        receiver: SimulatedDaemon,
        message: Any,
        on_reply: Callable[[Any], None],
    ) -> None:
        if receiver.transport.is_running:
            task = asyncio.create_task(self._handle(sender, receiver, message, on_reply))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _handle(
        self,
        sender: Member,
        receiver: SimulatedDaemon,
        message: Any,
        on_reply: Callable[[Any], None],
    ) -> None:
        reply = await receiver.transport.handlers_by_type[type(message)](sender.vm, message)
        origin = self.daemons_by_vm[sender.vm]
        me = receiver.transport.me
        if reply is None or self.is_cut(me, sender) or not origin.transport.is_running:
            return
        self._count(reply, me, sender)
        asyncio.get_running_loop().call_later(self._delay(me, sender), on_reply, reply)

    def _passes(self, sender: Member, receiver: SimulatedDaemon) -> bool:
        is_running = self.daemons_by_vm[sender.vm].transport.is_running
        return is_running and not self.is_cut(sender, receiver.transport.me)

    def _count(self, message: Any, sender: Member, receiver: Member) -> None:
        size = len(msgspec.msgpack.encode(message)) + HEADER_BYTES
        is_between = sender.data_centre != receiver.data_centre
        self.traffic.add(type(message).__name__, size, is_between)

    def _delay(self, sender: Member, receiver: Member) -> float:
        return NEAR_SECONDS if sender.data_centre == receiver.data_centre else FAR_SECONDS


def run_simulated(scenario: Callable[[Network], Any], network: Network | None = None) -> None:
    """Run a coroutine function in simulated time, on a new network if none is given."""
    loop = VirtualTimeLoop()
    network = network or Network()
    try:
        loop.run_until_complete(scenario(network))
        network.stop()
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        if pending:
            loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
    finally:
        loop.close()


async def wait_until(condition: Callable[[], bool], limit_seconds: float) -> float:
    """Wait until a condition holds.

    :return: the simulated seconds that it took
    :raises TimeoutError: it did not hold within the limit
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not condition():
        if loop.time() - started > limit_seconds:
            raise TimeoutError(f"not within {limit_seconds} s")
        await asyncio.sleep(0.02)
    return loop.time() - started
