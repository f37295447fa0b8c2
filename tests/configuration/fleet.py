"""A fleet in simulated time whose daemons watch a store that may reject some of them."""

import asyncio
from random import Random
from typing import Any, cast

import attrs
from expression import Error, Result

from kingcuppond.configuration.objects import CONFIGURATION_KIND, NATIVE_FORMAT
from kingcuppond.configuration.watcher import Watcher
from kingcuppond.platform.store import WATCH_MARGIN_SECONDS
from kingcuppond.store.interface import Listing, StoreError, WatchResult
from tests.membership.network import Network, SimulatedDaemon, wait_until
from tests.membership.store import SimulatedClient, SimulatedStore

WATCH_WAIT_MS = 20_000
TWO_KINDS = attrs.evolve(NATIVE_FORMAT, kinds=(CONFIGURATION_KIND, "states"), steady_kind="states")
SETTLED_SECONDS = 5.0
CONFIG_DEADLINE_SECONDS = 2.0
MAX_STRETCH_SECONDS = 5.0
SILENT_CALL_SECONDS = 1.0
STABLE_WINDOW_SECONDS = 3.0
MAX_SHARE = 0.35


@attrs.define(eq=False)
class RejectedClient(SimulatedClient):
    """A client that the store may reject.

    :param rejection: ``""``, ``"refused"`` or ``"silent"``
    :param calls: calls made so far
    :ivar lost_connections: set when the connections that are open then go silent
    """

    rejection: str = ""
    calls: int = 0
    lost_connections: asyncio.Event = attrs.field(factory=asyncio.Event)
    _rejected: asyncio.Event = attrs.field(factory=asyncio.Event)
    _dropped: asyncio.Event = attrs.field(factory=asyncio.Event)

    def reject(self, rejection: str) -> None:
        """Cut the pending calls and reject all further ones."""
        self.rejection = rejection
        self._rejected.set()

    def admit(self) -> None:
        """Serve this client again."""
        self.rejection = ""
        self._rejected.clear()

    def mute(self) -> None:
        """Answer nothing any more, neither on the open connections nor on new ones."""
        self.rejection = "silent"
        self.silence()

    def silence(self) -> None:
        """Let the open connections go silent, without closing them; new ones work."""
        self.lost_connections.set()
        self.lost_connections = asyncio.Event()

    async def list(self, kind: str) -> Result[Listing, StoreError]:
        self.calls += 1
        if self.rejection:
            return await self._fail()
        return await super().list(kind)

    async def watch(self, kind: str, after: int, wait_ms: int) -> Result[WatchResult, StoreError]:
        self.calls += 1
        if self.rejection:
            return await self._fail()
        watching = asyncio.create_task(super().watch(kind, after, wait_ms))
        cut = asyncio.create_task(self._rejected.wait())
        silenced = asyncio.create_task(self.lost_connections.wait())
        due = asyncio.get_running_loop().time() + wait_ms / 1000 + WATCH_MARGIN_SECONDS
        try:
            await asyncio.wait({watching, cut, silenced}, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            watching.cancel()
            raise
        finally:
            cut.cancel()
            silenced.cancel()
        if watching.done():
            return watching.result()
        watching.cancel()
        if silenced.done():
            await self._wait_for_timeout(due - asyncio.get_running_loop().time())
        return await self._fail()

    async def _wait_for_timeout(self, seconds: float) -> None:
        """Wait until this watch times out, or another one on the same connections has."""
        try:
            async with asyncio.timeout(seconds):
                await self._dropped.wait()
        except TimeoutError:
            self._dropped.set()
            self._dropped = asyncio.Event()

    async def _fail(self) -> Result[Any, StoreError]:
        await asyncio.sleep(SILENT_CALL_SECONDS if self.rejection == "silent" else 0.002)
        return Error(StoreError("rejected"))


@attrs.define(eq=False)
class StoreUser:
    """A daemon with its watcher."""

    daemon: SimulatedDaemon
    watcher: Watcher
    client: RejectedClient


def make_user(daemon: SimulatedDaemon, store: SimulatedStore) -> StoreUser:
    client = RejectedClient(store, daemon.eras)
    watcher = Watcher(
        cast(Any, client),
        daemon.configuration,
        daemon.gossip,
        daemon.directory,
        daemon.directory.clock,
        daemon.directory.journal,
        Random(daemon.vm),
        lambda: True,
        lambda: True,
        False,
        WATCH_WAIT_MS,
    )
    return StoreUser(daemon, watcher, client)


async def start(
    network: Network, store: SimulatedStore, count: int, data_centres: int
) -> list[StoreUser]:
    """Start a fleet whose daemons know each other and the store's objects."""
    for i in range(count):
        network.add(f"vm-{i:04}", f"dc-{i % data_centres}")
    daemons = list(network.daemons_by_vm.values())
    members = [daemon.directory.me for daemon in daemons]
    users = [make_user(daemon, store) for daemon in daemons]
    for user in users:
        user.daemon.configuration.format = TWO_KINDS
        for member in members:
            user.daemon.directory.merge(member)
        loops = [*user.daemon.gossip.loops(), *user.watcher.loops().values()]
        user.daemon.tasks += [asyncio.create_task(loop()) for loop in loops]
    await asyncio.sleep(SETTLED_SECONDS)
    return users


def watchers_of(users: list[StoreUser]) -> list[StoreUser]:
    return [user for user in users if user.watcher.is_watching]


async def seconds_until_in_force(
    users: list[StoreUser], store: SimulatedStore, name: str, limit_seconds: float
) -> float:
    """Write an object and return the seconds until all daemons have it."""
    store.write((CONFIGURATION_KIND, name), b"{}")
    return await wait_until(
        lambda: all(
            (CONFIGURATION_KIND, name) in user.daemon.configuration.objects_by_key for user in users
        ),
        limit_seconds,
    )
