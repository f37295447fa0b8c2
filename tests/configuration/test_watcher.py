"""When a daemon may rely on a listing of the store, which may be stale.

A daemon that trusts a stale listing after a restart returns to an outdated configuration.
"""

import asyncio
from random import Random
from typing import Any, cast

import attrs
import pytest
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.listings import SETTLE_SECONDS
from kingcuppond.configuration.objects import CONFIGURATION_KIND, DataCentreState, encode
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.configuration.store_reach import INITIAL_BACKOFF_SECONDS
from kingcuppond.configuration.watcher import (
    FIRST_READ_SPREAD_SECONDS,
    WATCH_ALONE_AFTER_SECONDS,
    Watcher,
)
from kingcuppond.events.journal import Journal
from kingcuppond.membership.currency import Currency, make_currency
from kingcuppond.membership.messages import Member
from kingcuppond.store.era import make_version
from kingcuppond.store.interface import StoredObject, StoreError, WatchResult
from tests.claims.fakes import FakeStore
from tests.conftest import FakeTime
from tests.membership.test_directory import make_member

OUT = encode(DataCentreState("a", "out"))
IN = encode(DataCentreState("a", "in"))


@attrs.define
class FakeGossip:
    """Merges objects without announcing them."""

    configuration: Configuration
    currency: Currency = attrs.field(factory=lambda: make_currency(1, lambda: 0, lambda: 0.0))

    @property
    def hearing(self) -> "FakeGossip":
        return self

    def hears_majority(self) -> bool:
        return True

    @property
    def pinger(self) -> "FakeGossip":
        return self

    async def ping(self, member: Member) -> None:
        """Return that the member did not answer."""

    def spread_objects(self, objects: list[VersionedObject]) -> None:
        self.configuration.merge(objects)


@attrs.define
class FakeDirectory:
    """Never changes, so that the daemon watches for itself and not by its rank."""

    me: Member
    generation: int = 0

    def living(self) -> list[Member]:
        return []


class QuietStore(FakeStore):
    """A store whose watches report no change."""

    async def watch(self, kind: str, after: int, wait_ms: int) -> Result[WatchResult, StoreError]:
        await asyncio.sleep(0.01)
        return Ok(WatchResult([], after))


class ForgetfulStore(FakeStore):
    """A store that keeps no history."""

    async def watch(self, kind: str, after: int, wait_ms: int) -> Result[WatchResult, StoreError]:
        await asyncio.sleep(0)
        return Error(StoreError("gone", is_version_expired=True))


def make_watcher(
    store: FakeStore, journal: Journal, clock: Clock, asked: list[bool], is_restart: bool = False
) -> tuple[Watcher, Configuration]:
    configuration = Configuration(journal)
    gossip: Any = FakeGossip(configuration)
    watcher = Watcher(
        cast(Any, store),
        configuration,
        gossip,
        cast(Any, FakeDirectory(make_member("vm-1"))),
        clock,
        journal,
        Random(1),
        lambda: asked[0],
        lambda: asked[0],
        is_restart,
        1000,
    )
    return watcher, configuration


async def test_a_listing_alone_does_not_make_a_daemon_ready(journal: Journal, clock: Clock) -> None:
    asked = [False]
    watcher, configuration = make_watcher(FakeStore(), journal, clock, asked)
    await watcher.refresh(CONFIGURATION_KIND)
    assert not configuration.is_ready
    asked[0] = True
    await watcher.refresh(CONFIGURATION_KIND)
    assert configuration.is_ready


async def test_asking_other_daemons_after_the_listing_makes_it_ready(
    journal: Journal, clock: Clock
) -> None:
    """A watch may then be pending for long, so readiness must not depend on its answer."""
    asked = [False]
    watcher, configuration = make_watcher(FakeStore(), journal, clock, asked)
    await watcher.refresh(CONFIGURATION_KIND)
    asked[0] = True
    checking = asyncio.create_task(watcher.loops()["isolation"]())
    async with asyncio.timeout(2):
        while not configuration.is_ready:
            await asyncio.sleep(0.01)
    checking.cancel()


async def test_a_stale_listing_neither_reverts_nor_deletes(journal: Journal, clock: Clock) -> None:
    store = FakeStore({("configuration", "data-centre/b"): StoredObject(3, OUT)}, version=3)
    watcher, configuration = make_watcher(store, journal, clock, [True])
    configuration.merge([VersionedObject("data-centre/a", 5, OUT)])
    await watcher.refresh(CONFIGURATION_KIND)
    assert configuration.is_out("a")
    assert configuration.version == 5


async def test_objects_deleted_while_nobody_watched_are_removed(
    journal: Journal, clock: Clock
) -> None:
    store = FakeStore(version=9)
    watcher, configuration = make_watcher(store, journal, clock, [True])
    configuration.merge([VersionedObject("data-centre/a", 5, OUT)])
    await watcher.refresh(CONFIGURATION_KIND)
    assert not configuration.is_out("a")


@pytest.mark.parametrize("is_restart", [True, False])
async def test_a_restarted_daemon_reads_the_store_once_it_has_joined(
    journal: Journal, clock: Clock, is_restart: bool
) -> None:
    """After the loss of all power nobody has a configuration to send; roles are taken later."""
    store = FakeStore({("configuration", "data-centre/b"): StoredObject(3, OUT)}, version=3)
    watcher, configuration = make_watcher(store, journal, clock, [True], is_restart)
    loop = watcher.loops().get("first reading")
    assert (loop is not None) == is_restart
    if loop is None:
        return
    reading = asyncio.create_task(loop())
    async with asyncio.timeout(FIRST_READ_SPREAD_SECONDS + 0.5):
        while not configuration.is_ready:
            await asyncio.sleep(0.01)
    reading.cancel()


async def test_a_restarted_daemon_that_has_the_configuration_reads_nothing(
    journal: Journal, clock: Clock
) -> None:
    store = FakeStore()
    watcher, configuration = make_watcher(store, journal, clock, [True], is_restart=True)
    configuration.is_complete = True
    reading = asyncio.create_task(watcher.loops()["first reading"]())
    await asyncio.sleep(FIRST_READ_SPREAD_SECONDS + 0.1)
    reading.cancel()
    assert store.lists == 0


@pytest.mark.parametrize(("revision", "is_out"), [(50, True), (70, False)])
async def test_an_older_change_of_another_daemon_does_not_replace_what_was_listed(
    journal: Journal, clock: Clock, revision: int, is_out: bool
) -> None:
    """A daemon that starts lists an object that may be of a copy; a paused one knows no more."""
    listed = StoredObject(make_version(1, 60), OUT)
    store = FakeStore({("configuration", "data-centre/a"): listed}, version=make_version(1, 65))
    watcher, configuration = make_watcher(store, journal, clock, [True])
    await watcher.refresh(CONFIGURATION_KIND)
    other = VersionedObject("data-centre/a", make_version(1, revision), None)
    configuration.merge([other])
    assert configuration.is_out("a") == is_out
    configuration.merge([other])
    assert configuration.is_out("a") == is_out


@pytest.mark.parametrize(("revision", "is_out"), [(50, False), (70, True)])
async def test_an_evacuation_that_had_ended_before_the_listing_does_not_come_back(
    journal: Journal, clock: Clock, revision: int, is_out: bool
) -> None:
    """A daemon that starts after the end knows of no deletion; a paused one brings the object."""
    watcher, configuration = make_watcher(FakeStore(version=65, era=1), journal, clock, [True])
    await watcher.refresh(CONFIGURATION_KIND)
    other = VersionedObject("data-centre/a", make_version(1, revision), OUT)
    configuration.merge([other])
    assert configuration.is_out("a") == is_out
    configuration.merge([other])
    assert configuration.is_out("a") == is_out


@pytest.mark.parametrize(("revision", "is_out"), [(50, True), (60, True), (70, False)])
async def test_a_change_of_an_earlier_era_does_not_replace_a_listed_object_that_is_newer(
    journal: Journal, clock: Clock, revision: int, is_out: bool
) -> None:
    """A daemon that starts after a restore lists what was written since; another has missed it."""
    store = FakeStore({("configuration", "data-centre/a"): StoredObject(60, OUT)}, version=65)
    store.era = 2
    watcher, configuration = make_watcher(store, journal, clock, [True])
    await watcher.refresh(CONFIGURATION_KIND)
    configuration.merge([VersionedObject("data-centre/a", make_version(1, revision), None)])
    assert configuration.is_out("a") == is_out


@pytest.mark.parametrize("body", [None, IN], ids=["missing", "older"])
async def test_what_another_daemon_brings_after_the_listing_is_settled_too(
    journal: Journal, clock: Clock, fake_time: FakeTime, body: bytes | None
) -> None:
    """It would otherwise stay in force for good, since nothing was in doubt in the listing."""
    objects = {} if body is None else {("configuration", "data-centre/a"): StoredObject(15, body)}
    store = QuietStore(objects, version=65, era=2)
    watcher, configuration = make_watcher(store, journal, clock, [True])
    fake_time.advance(WATCH_ALONE_AFTER_SECONDS + 1)
    watching = asyncio.create_task(watcher.run(CONFIGURATION_KIND))
    await asyncio.sleep(0.05)
    assert store.lists == 1
    configuration.merge([VersionedObject("data-centre/a", make_version(1, 18), OUT)])
    await asyncio.sleep(0.05)
    assert configuration.is_out("a")
    fake_time.advance(SETTLE_SECONDS + 1)
    await asyncio.sleep(0.05)
    assert not configuration.is_out("a")
    watching.cancel()


async def test_a_store_without_history_is_not_listed_without_pause(
    journal: Journal, clock: Clock, fake_time: FakeTime
) -> None:
    """All watchers together would use up the store's rate of reads."""
    store = ForgetfulStore()
    watcher, _ = make_watcher(store, journal, clock, [True])
    fake_time.advance(WATCH_ALONE_AFTER_SECONDS + 1)
    watching = asyncio.create_task(watcher.run(CONFIGURATION_KIND))
    await asyncio.sleep(INITIAL_BACKOFF_SECONDS * 4)
    watching.cancel()
    # At the shortest, the pauses are 0.05, 0.1 and 0.2 s.
    assert 2 <= store.lists <= 5
