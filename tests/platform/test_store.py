"""The client of the platform's store, against a stand-in with the same protocol."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import attrs
import pytest
from aiohttp import web

from kingcuppond.platform.store import PlatformStore
from kingcuppond.store.interface import ABSENT_VERSION
from standins.fleet import free_ports
from standins.platform import make_app


@attrs.define
class RunningStore:
    """The stand-in, running in this process, and a client of it."""

    address: str
    store: PlatformStore

    async def set_faults(self, **faults: object) -> None:
        async with aiohttp.ClientSession() as session:
            await session.put(f"http://{self.address}/faults", json=faults)


@pytest.fixture
async def running() -> AsyncIterator[RunningStore]:
    (port,) = free_ports(1)
    runner = web.AppRunner(make_app(writes_per_second=10_000), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    store = PlatformStore(f"127.0.0.1:{port}")
    yield RunningStore(f"127.0.0.1:{port}", store)
    await store.close()
    await runner.cleanup()


async def test_create_replace_and_delete(running: RunningStore) -> None:
    store = running.store
    created = (await store.put("kind", "a/b", b'{"x":1}', ABSENT_VERSION)).ok
    assert (await store.put("kind", "a/b", b"2", ABSENT_VERSION)).error.is_conflict
    replaced = (await store.put("kind", "a/b", b'{"x":2}', created)).ok
    assert replaced > created
    assert (await store.put("kind", "a/b", b"3", created)).error.is_conflict
    found = (await store.get("kind", "a/b")).ok
    assert found is not None
    assert (found.version, found.body.replace(b" ", b"")) == (replaced, b'{"x":2}')
    assert (await store.delete("kind", "a/b", created)).error.is_conflict
    assert (await store.delete("kind", "a/b", replaced)).is_ok()
    assert (await store.get("kind", "a/b")).ok is None


async def test_list_reads_all_pages(running: RunningStore) -> None:
    for i in range(3):
        await running.store.put("kind", f"n{i}", b"{}", ABSENT_VERSION)
    for i in range(501):
        await running.store.put("many", f"n{i:04d}", b"{}", ABSENT_VERSION)
    assert [item.name for item in (await running.store.list("kind")).ok.items] == ["n0", "n1", "n2"]
    assert len((await running.store.list("many")).ok.items) == 501


async def test_watch_returns_changes_and_deletions(running: RunningStore) -> None:
    store = running.store
    start = (await store.list("kind")).ok.version
    created = (await store.put("kind", "a", b"{}", ABSENT_VERSION)).ok
    await store.put("other", "a", b"{}", ABSENT_VERSION)
    watched = (await store.watch("kind", start, 1000)).ok
    assert [(it.name, it.version, it.body) for it in watched.changes] == [("a", created, b"{}")]
    await store.delete("kind", "a", created)
    watched = (await store.watch("kind", watched.version, 1000)).ok
    assert [(it.name, it.body) for it in watched.changes] == [("a", None)]
    assert watched.changes[0].version > created, "a deletion is newer than the deleted object"


async def test_watch_from_a_forgotten_version_is_gone(running: RunningStore) -> None:
    await running.store.put("kind", "a", b"{}", ABSENT_VERSION)
    await running.set_faults(forget_history=True)
    assert (await running.store.watch("kind", 0, 1000)).error.is_version_expired


@pytest.mark.parametrize(
    ("faults", "is_unknown"),
    [
        ({"refuse_status": 503}, False),
        ({"refuse_status": 429}, False),
        ({"refuse_status": 500}, True),
        ({"lose_answers": 1}, True),
        ({"down": True}, True),
    ],
    ids=["busy", "over the rate", "failed", "answer lost", "connection aborted"],
)
async def test_outcome_of_a_failed_write(
    running: RunningStore, faults: dict[str, object], is_unknown: bool
) -> None:
    await running.set_faults(**faults)
    assert (
        await running.store.put("kind", "a", b"{}", ABSENT_VERSION)
    ).error.is_outcome_unknown is is_unknown


async def test_unanswered_write_may_take_effect_later(running: RunningStore) -> None:
    await running.set_faults(late_writes_ms=200)
    assert (await running.store.put("kind", "a", b"{}", ABSENT_VERSION)).error.is_outcome_unknown
    assert (await running.store.get("kind", "a")).ok is None
    await asyncio.sleep(0.5)
    assert (await running.store.get("kind", "a")).ok is not None


async def test_fault_limited_to_some_hosts(running: RunningStore) -> None:
    await running.set_faults(refuse_status=503, refused_hosts=["127.0.0.9"])
    assert (await running.store.get("kind", "a")).is_ok()
    await running.set_faults(refuse_status=503, refused_hosts=["127.0.0.1"])
    assert (await running.store.get("kind", "a")).is_error()
