"""Daemons that miss parts of a store's history agree in the end, whatever they missed.

Random runs of three daemons, two of which watch the store: writes and deletions, up to two restores
in a row, starts, pauses, late answers, a forgotten history, and daemons that are cut off from the
store, in a few seconds or over minutes.
"""

from random import Random
from typing import Any, Final, cast

import attrs
import pytest
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.listings import SETTLE_SECONDS
from kingcuppond.configuration.objects import ConfigurationFormat, DataCentreState
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.configuration.watcher import Watcher
from kingcuppond.events.journal import Journal
from kingcuppond.membership.currency import Currency, make_currency
from kingcuppond.store.era import EraTracker, era_of, make_version, revision_of
from kingcuppond.store.interface import (
    ListedObject,
    Listing,
    ObjectChange,
    StoreError,
    WatchResult,
)
from tests.conftest import FakeTime

KIND: Final = "kind"
NAMES: Final = ("a", "b")
WATCHERS: Final = 2
DAEMONS: Final = 3
RUNS_PER_TEST: Final = 100
FORMAT: Final = ConfigurationFormat(
    (KIND,),
    KIND,
    lambda _kind, name, body: Ok(DataCentreState(name, "in" if body is None else "out")),
    lambda _kind, _name, _body: 0,
)
QUIET_STEPS: Final = (
    *("write", "write", "delete", "poll", "poll", "poll", "gossip", "gossip", "gossip"),
    *("start", "cut", "pause", "list late", "settle", "forget"),
)
STEPS: Final = (*QUIET_STEPS, "restore")


@attrs.define
class ModelStore:
    """The changes of a store: revision, name and body, which is ``None`` after a deletion.

    :param forgotten_revision: the history up to it is gone
    """

    era: int = 1
    revision: int = 0
    writes: int = 0
    forgotten_revision: int = 0
    changes: list[tuple[int, str, bytes | None]] = attrs.field(factory=list)

    def bodies_by_name(self) -> dict[str, bytes]:
        return {name: body for name, (_, body) in self.items_by_name().items()}

    def items_by_name(self) -> dict[str, tuple[int, bytes]]:
        """Return revision and body of each object."""
        latest = {name: (revision, body) for revision, name, body in self.changes}
        return {name: (rev, body) for name, (rev, body) in latest.items() if body is not None}

    def write(self, name: str) -> None:
        self.writes += 1
        self._append(name, str(self.writes).encode())

    def delete(self, name: str) -> None:
        if name in self.items_by_name():
            self._append(name, None)

    def restore(self, lost_changes: int) -> None:
        self.revision = max(0, self.revision - lost_changes)
        self.changes = [it for it in self.changes if it[0] <= self.revision]
        self.forgotten_revision = min(self.forgotten_revision, self.revision)
        self.era += 1

    def _append(self, name: str, body: bytes | None) -> None:
        self.revision += 1
        self.changes.append((self.revision, name, body))


@attrs.define
class ModelClient:
    """A daemon's client of the store.

    :param late_listing: the answer to the next listing, made earlier
    """

    store: ModelStore
    is_cut: bool = False
    eras: EraTracker = attrs.field(factory=EraTracker)
    late_listing: Listing | None = None

    async def list(self, _kind: str) -> Result[Listing, StoreError]:
        if self.is_cut:
            return Error(StoreError("cut off"))
        listing = self.late_listing or self.make_listing()
        self.late_listing = None
        self.eras.observe(era_of(listing.version))
        if era_of(listing.version) < self.eras.era:
            return Error(StoreError("of an earlier era"))
        return Ok(listing)

    def make_listing(self) -> Listing:
        era = self.store.era
        items = [
            ListedObject(name, make_version(era, revision), body)
            for name, (revision, body) in self.store.items_by_name().items()
        ]
        return Listing(items, make_version(era, self.store.revision))

    async def watch(self, _kind: str, after: int, _wait_ms: int) -> Result[WatchResult, StoreError]:
        if self.is_cut:
            return Error(StoreError("cut off"))
        era = self.store.era
        self.eras.observe(era)
        if era_of(after) != era or revision_of(after) < self.store.forgotten_revision:
            return Error(StoreError("of another era", is_version_expired=True))
        changes = [
            ObjectChange(name, make_version(era, revision), body)
            for revision, name, body in self.store.changes
            if revision > revision_of(after)
        ]
        return Ok(WatchResult(changes, make_version(era, self.store.revision)))


@attrs.define
class ModelGossip:
    """Merges objects; the test carries them to other daemons."""

    configuration: Configuration
    currency: Currency = attrs.field(factory=lambda: make_currency(1, lambda: 0, lambda: 0.0))

    @property
    def hearing(self) -> "ModelGossip":
        return self

    @property
    def pinger(self) -> "ModelGossip":
        return self

    async def ping(self, member: Any) -> None:
        """Return that the member did not answer."""

    def spread_objects(self, objects: list[VersionedObject]) -> None:
        self.configuration.merge(objects)


class ModelDaemon:
    """The configuration of one daemon, and how far it has watched."""

    def __init__(self, store: ModelStore, clock: Clock, watches: bool) -> None:
        self.is_paused = False
        self.client = ModelClient(store)
        self._store = store
        self._clock = clock
        self._watches = watches
        self.start()

    def start(self) -> None:
        """Forget everything, as a new process."""
        self.client = ModelClient(self._store, self.client.is_cut)
        journal = Journal("vm", self._clock)
        self.configuration = Configuration(journal, FORMAT)
        self.gossip = ModelGossip(self.configuration)
        self._watched_version: int | None = None
        self._watcher = Watcher(
            cast(Any, self.client),
            self.configuration,
            cast(Any, self.gossip),
            cast(Any, None),
            self._clock,
            journal,
            Random(1),
            lambda: True,
            lambda: True,
            False,
            1000,
        )

    def bodies_by_name(self) -> dict[str, bytes]:
        objects = self.configuration.objects_by_key.values()
        return {it.name: it.body for it in objects if it.body is not None}

    async def poll(self) -> None:
        """List the store, or watch it from where the last answer ended."""
        if not self._watches or self.is_paused:
            return
        if self._watched_version is not None:
            answer = await self.client.watch(KIND, self._watched_version, 1)
            if answer.is_ok():
                is_due = self._watcher.merge_answer(KIND, answer.ok)
                self._watched_version = None if is_due else answer.ok.version
                return
        listed = await self._watcher.refresh(KIND)
        self._watched_version = listed.ok.version if listed.is_ok() else None

    def exchange(self, other: "ModelDaemon") -> None:
        """Make the configuration equal at both ends, as far as the heads tell."""
        if self.is_paused or other.is_paused:
            return
        for sender, receiver in ((self, other), (other, self)):
            sent = [
                it
                for it in sender.configuration.objects_by_key.values()
                if receiver.configuration.is_newer(it.head)
            ]
            receiver.gossip.spread_objects(sent)


async def converge(daemons: list[ModelDaemon]) -> None:
    """End all faults and let each daemon hear of all others."""
    for daemon in daemons:
        daemon.client.is_cut = daemon.is_paused = False
    for _ in range(3):
        for daemon in daemons:
            await daemon.poll()
        for _ in range(2):
            for daemon in daemons:
                for other in daemons:
                    daemon.exchange(other)


async def take_steps(
    store: ModelStore,
    daemons: list[ModelDaemon],
    rng: Random,
    fake_time: FakeTime,
    steps: tuple[str, ...] = STEPS,
) -> None:
    restores = 0
    for _ in range(rng.randint(4, 16)):
        daemon, other = rng.sample(daemons, 2)
        match rng.choice(steps):
            case "write":
                store.write(rng.choice(NAMES))
            case "delete":
                store.delete(rng.choice(NAMES))
            case "poll":
                await daemon.poll()
            case "gossip":
                daemon.exchange(other)
            case "restore" if restores < 2:
                restores += 1
                store.restore(rng.randint(0, 4))
            case "list late":
                daemon.client.late_listing = daemon.client.make_listing()
            case "start":
                daemon.start()
                daemon.is_paused = False
            case "cut":
                daemon.client.is_cut = not daemon.client.is_cut
            case "forget":
                store.forgotten_revision = store.revision
            case "settle":
                fake_time.advance(SETTLE_SECONDS + 1)
            case "pause":
                daemon.is_paused = not daemon.is_paused


@pytest.mark.parametrize("first_seed", range(0, 10 * RUNS_PER_TEST, RUNS_PER_TEST))
async def test_daemons_agree_with_each_other_and_in_the_end_with_the_store(
    fake_time: FakeTime, clock: Clock, first_seed: int
) -> None:
    for seed in range(first_seed, first_seed + RUNS_PER_TEST):
        rng = Random(seed)
        store = ModelStore()
        daemons = [ModelDaemon(store, clock, i < WATCHERS) for i in range(DAEMONS)]
        for _ in range(3):
            store.write(rng.choice(NAMES))
        await converge(daemons)
        await take_steps(store, daemons, rng, fake_time)
        await converge(daemons)
        in_force = daemons[0].bodies_by_name()
        assert all(it.bodies_by_name() == in_force for it in daemons), seed
        written, deleted = rng.sample(NAMES, 2)
        store.write(written)
        await converge(daemons)
        body = store.bodies_by_name()[written]
        assert all(it.bodies_by_name()[written] == body for it in daemons), seed
        if deleted in store.bodies_by_name():
            store.delete(deleted)
            await converge(daemons)
            assert not any(deleted in it.bodies_by_name() for it in daemons), seed
        fake_time.advance(SETTLE_SECONDS + 1)
        await converge(daemons)
        await converge(daemons)
        assert all(it.bodies_by_name() == store.bodies_by_name() for it in daemons), seed
        await take_steps(store, daemons, rng, fake_time, QUIET_STEPS)
        await converge(daemons)
        assert all(it.bodies_by_name() == store.bodies_by_name() for it in daemons), seed
