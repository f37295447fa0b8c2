"""The client of the platform's store, against a stand-in with the same protocol."""

import asyncio
import gc
import tracemalloc
from collections.abc import AsyncIterator

import aiohttp
import attrs
import msgspec
import pytest
from aiohttp import web

from kingcuppond.platform.store import (
    CALL_TIMEOUT_SECONDS,
    MAX_LISTED_OBJECTS,
    MAX_RESPONSE_BYTES,
    PlatformStore,
)
from kingcuppond.store.era import era_of, make_version, revision_of
from kingcuppond.store.interface import ABSENT_VERSION
from standins.addresses import free_addresses
from standins.platform import make_app
from tests.routing.test_endless import serving as serving_endless
from tests.servers import listening

CALLS_AT_ONCE = 16
MAX_HELD_BYTES = 100_000_000
"""Half of what the smallest VM has."""


@attrs.define
class RunningStore:
    """The stand-in, running in this process, and a client of it."""

    address: str
    store: PlatformStore

    async def set_faults(self, **faults: object) -> None:
        await self._control("faults", faults)

    async def copy(self) -> None:
        await self._control("copy", {})

    async def restore(self) -> None:
        await self._control("restore", {})

    async def _control(self, path: str, content: object) -> None:
        async with aiohttp.ClientSession() as session:
            await session.put(f"http://{self.address}/{path}", json=content)


@pytest.fixture
async def running() -> AsyncIterator[RunningStore]:
    (address,) = free_addresses(1)
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(make_app(writes_per_second=10_000), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    store = PlatformStore(address)
    yield RunningStore(address, store)
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
    start = (await running.store.list("kind")).ok.version
    await running.store.put("kind", "a", b"{}", ABSENT_VERSION)
    await running.set_faults(forget_history=True)
    assert (await running.store.watch("kind", start, 1000)).error.is_version_expired


async def test_a_revision_given_out_twice_matches_no_write_of_before(running: RunningStore) -> None:
    """A write on the condition of an old revision must not hit another state of the object."""
    store = running.store
    await running.copy()
    old = (await store.put("kind", "a", b"1", ABSENT_VERSION)).ok
    await running.restore()
    other = PlatformStore(running.address)
    new = (await other.put("kind", "a", b"2", ABSENT_VERSION)).ok
    assert revision_of(new) == revision_of(old)
    assert new > old
    # This client has not heard of the restore yet, so the store executes its write.
    written = await store.put("kind", "a", b"3", old)
    assert written.error.is_outcome_unknown
    # Now it has, and does not send another one.
    assert (await store.put("kind", "a", b"4", old)).error.is_conflict
    assert (await store.delete("kind", "a", old)).error.is_conflict
    found = (await store.get("kind", "a")).ok
    assert found is not None
    assert (era_of(found.version), found.body) == (2, b"3")
    await other.close()


async def test_a_watch_does_not_continue_across_a_restore(running: RunningStore) -> None:
    """The revision that was reached again would hide the changes before it."""
    store = running.store
    await running.copy()
    old = (await store.put("kind", "a", b"1", ABSENT_VERSION)).ok
    await running.restore()
    other = PlatformStore(running.address)
    await other.put("kind", "b", b"2", ABSENT_VERSION)
    assert (await store.watch("kind", old, 100)).error.is_version_expired
    assert (await store.watch("kind", old, 100)).error.is_version_expired
    listed = (await store.list("kind")).ok
    assert [item.name for item in listed.items] == ["b"]
    assert era_of(listed.version) == 2
    await other.close()


async def test_a_watch_that_a_restore_does_not_cut_off_ends_when_the_era_is_known(
    running: RunningStore,
) -> None:
    """Changes made since the restore would otherwise wait for the end of the watch."""
    store = running.store
    version = (await store.put("kind", "a", b"1", ABSENT_VERSION)).ok
    watching = asyncio.create_task(store.watch("kind", version, 20_000))
    await asyncio.sleep(0.1)
    store.eras.observe(era_of(version) + 1)
    async with asyncio.timeout(1):
        answer = await watching
    assert answer.error.is_version_expired


async def test_a_watch_that_is_not_answered_ends_the_watches_on_the_same_connections() -> None:
    """A change of their kinds waited a second longer, for the close of the connections."""

    async def stay_silent(_request: web.Request) -> web.Response:
        await asyncio.Event().wait()
        return web.Response()

    app = web.Application()
    app.router.add_get("/objects/{kind}", stay_silent)
    (address,) = free_addresses(1)
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    store = PlatformStore(address)
    try:
        pending = asyncio.create_task(store.watch("kind", 1, 20_000))
        assert (await store.watch("steady", 1, 100)).is_error()
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS / 2):
            ended = await pending
        assert ended.is_error()
        assert not ended.error.is_version_expired
    finally:
        await store.close()
        await runner.cleanup()


async def test_an_answer_of_an_earlier_era_is_an_error(running: RunningStore) -> None:
    """It would bring back what the restored store has replaced since."""
    store = running.store
    await running.copy()
    await running.set_faults(old_era_answers=1)
    late = asyncio.create_task(store.list("kind"))
    await asyncio.sleep(0.1)
    store.eras.observe(2)
    await running.restore()
    assert (await late).is_error()


async def test_a_listing_does_not_mix_eras(running: RunningStore) -> None:
    """Its pages would be of two states of the store."""
    for i in range(501):
        await running.store.put("many", f"n{i:04d}", b"{}", ABSENT_VERSION)
    await running.copy()
    await running.set_faults(delay_ms=200)
    listing = asyncio.create_task(running.store.list("many"))
    await asyncio.sleep(0.3)
    await running.restore()
    assert (await listing).is_error()


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


@pytest.mark.parametrize("status", ["200 OK", "503 Service Unavailable"])
async def test_an_answer_on_an_idle_connection_is_not_that_to_the_next_write(status: str) -> None:
    """A write that the store never saw would count as done, or as not done."""
    body = b'{"Metadata":{"Name":"a","Rev":7}}'
    answer = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
    writes = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal writes
        await reader.readuntil(b"\r\n\r\n")
        writes += 1
        writer.write(answer)
        await asyncio.sleep(0.05)
        writer.write(answer)
        await reader.read()
        writer.close()

    async with listening(serve) as address:
        store = PlatformStore(address)
        for count in (1, 2):
            await store.delete("kind", "a", 7)
            assert writes == count
            await asyncio.sleep(0.2)
        await store.close()


@pytest.mark.parametrize("is_chunked", [True, False], ids=["chunks", "no length"])
async def test_a_response_without_end_takes_no_memory(is_chunked: bool) -> None:
    """Guards against a watch that fills the memory for as long as it may wait."""
    piece = b"x" * 65_536
    framing = b"Transfer-Encoding: chunked" if is_chunked else b"Connection: close"
    head = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n"
    async with serving_endless(head, b"10000\r\n%b\r\n" % piece if is_chunked else piece) as server:
        store = PlatformStore(server.address)
        watched = await asyncio.wait_for(store.watch("kind", 1, 20_000), 10.0)
        assert watched.is_error()
        await asyncio.wait_for(server.closed.wait(), 3.0)
        assert server.sent < 2 * MAX_RESPONSE_BYTES
        await store.close()


async def test_answers_without_end_share_a_limit() -> None:
    """Each had a limit of its own, and many calls at a time could fill the memory."""
    tracemalloc.start()
    async with serving_endless(b"HTTP/1.1 200 OK\r\n\r\n", b" " * 65_536) as server:
        store = PlatformStore(server.address)
        try:
            results = await asyncio.gather(*(store.list(f"kind-{n}") for n in range(CALLS_AT_ONCE)))
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert all(result.is_error() for result in results)
        assert peak_bytes < MAX_HELD_BYTES
        await store.close()


@pytest.mark.usefixtures("no_collector")
@pytest.mark.parametrize("framing", [b"Content-Length: 5000000", b"Transfer-Encoding: chunked"])
async def test_a_truncated_response_is_freed(framing: bytes) -> None:
    """Guards against listings that break off and stay in memory until the collector runs."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n"
        writer.write(head + b"40000\r\n" + bytes(262_144) + b"\r\n")
        await writer.drain()

    async with listening(serve) as address:
        store = PlatformStore(address)
        assert (await store.list("kind")).is_error()
        assert not any(isinstance(item, aiohttp.ClientResponse) for item in gc.get_objects())
        await store.close()


async def test_a_listing_without_end_is_an_error() -> None:
    """Guards against a reader that goes from page to page forever."""
    pages = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal pages
        while await reader.readuntil(b"\r\n\r\n"):
            pages += 1
            items = b",".join(
                b'{"Metadata":{"Name":"%d-%d","Rev":1}}' % (pages, i) for i in range(5000)
            )
            body = b'{"StoreRevision":1,"HasMore":true,"items":[' + items + b"]}"
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()

    async with listening(serve) as address:
        store = PlatformStore(address)
        assert (await asyncio.wait_for(store.list("kind"), 20.0)).is_error()
        await store.close()
    assert pages <= MAX_LISTED_OBJECTS / 5000 + 1


ROLLOUT = b'{"Service":"shop","TargetVersion":"v2","Duration":"12s"}'
STATUS = b'{"State":"running","TargetVersion":"v2"}'


async def test_the_status_of_an_order_is_written_on_condition_of_its_version(
    running: RunningStore,
) -> None:
    version = (await running.store.put("rollouts", "shop", ROLLOUT, ABSENT_VERSION)).ok
    written = await running.store.put_status("rollouts", "shop", STATUS, version)
    assert written.ok > version
    again = await running.store.put_status("rollouts", "shop", STATUS, version)
    assert again.error.is_conflict
    found = (await running.store.get("rollouts", "shop")).ok
    assert found is not None
    content = msgspec.json.decode(found.body)
    assert content["Status"] == msgspec.json.decode(STATUS)
    assert content["Spec"] == msgspec.json.decode(ROLLOUT)
    assert make_version(running.store.eras.era, content["Created"]) == version


async def test_a_listing_and_a_watch_show_the_status(running: RunningStore) -> None:
    version = (await running.store.put("rollouts", "shop", ROLLOUT, ABSENT_VERSION)).ok
    await running.store.put_status("rollouts", "shop", STATUS, version)
    listed = (await running.store.list("rollouts")).ok.items[0]
    watched = (await running.store.watch("rollouts", version, 1000)).ok.changes[0]
    for body in (listed.body, watched.body):
        assert body is not None
        assert msgspec.json.decode(body)["Status"]["State"] == "running"


async def test_a_lost_answer_to_a_status_is_an_unknown_outcome(running: RunningStore) -> None:
    version = (await running.store.put("rollouts", "shop", ROLLOUT, ABSENT_VERSION)).ok
    await running.set_faults(lose_answers=1)
    written = await running.store.put_status("rollouts", "shop", STATUS, version)
    assert written.error.is_outcome_unknown
    again = await running.store.put_status("rollouts", "shop", STATUS, version)
    assert again.error.is_conflict


async def test_the_status_of_an_object_that_is_gone_is_a_conflict(running: RunningStore) -> None:
    version = (await running.store.put("rollouts", "shop", ROLLOUT, ABSENT_VERSION)).ok
    await running.store.delete("rollouts", "shop", version)
    written = await running.store.put_status("rollouts", "shop", STATUS, version)
    assert written.error.is_conflict
