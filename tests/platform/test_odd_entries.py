"""An odd entry of another writer takes no other entry of the store with it."""

import asyncio
from collections.abc import AsyncIterator

import msgspec
import pytest

from kingcuppond.platform.store import PlatformStore
from kingcuppond.store.interface import decode_body
from tests.servers import listening

SPECS = {
    "deep": b"[" * 100_000 + b"]" * 100_000,
    "number out of range": b'{"id":1e999}',
    "long number": b'{"id":' + b"9" * 5000 + b"}",
    "not UTF-8": b'{"id":"\xff"}',
}


def entry(name: str, spec: bytes) -> bytes:
    return b'{"Metadata":{"Name":"%s","Rev":3},"Spec":%s}' % (name.encode(), spec)


@pytest.fixture
async def store(request: pytest.FixtureRequest) -> AsyncIterator[PlatformStore]:
    """A client of a store with an odd entry between two others."""
    odd: bytes = request.param
    entries = [entry("a", b'{"id":"x"}'), entry("b", odd), entry("c", b'{"id":"y"}')]
    events = b",".join(b'{"Object":%s}' % item for item in entries)
    listing = b'{"StoreRevision":7,"items":[' + b",".join(entries) + b"]}"

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            body = listing
            if b"Watch=" in head:
                body = b'{"StoreRevision":7,"events":[' + events + b"]}"
            elif b"/kind/b" in head:
                body = entries[1]
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()

    async with listening(serve) as address:
        store = PlatformStore(address)
        yield store
        await store.close()


@pytest.mark.parametrize("store", SPECS.values(), ids=SPECS, indirect=True)
async def test_an_odd_entry_spoils_neither_listings_nor_watches(store: PlatformStore) -> None:
    """Guards against daemons that stop following a list, as one entry can't be decoded."""
    listing = (await store.list("kind")).ok
    changes = (await store.watch("kind", 2, 10)).ok.changes
    for entries in (listing.items, changes):
        bodies = {item.name: item.body or b"" for item in entries}
        assert list(bodies) == ["a", "b", "c"]
        found = [decode_body(bodies[name], dict[str, str]) for name in bodies]
        assert [item.is_ok() for item in found] == [True, False, True]
    read = (await store.get("kind", "b")).ok
    assert read is not None
    assert decode_body(read.body, dict[str, str]).is_error()
    assert msgspec.json.decode(listing.items[2].body) == {"id": "y"}
