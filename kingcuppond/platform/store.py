"""The platform's store over HTTP.

``GET /objects/KIND`` lists, with ``Watch`` it waits for changes; ``POST`` creates, ``PUT`` and
``DELETE`` change the object at the revision that they name.  429 and 503 say that nothing was done.

Every call has a deadline, also a watch, so that a connection that went silent costs a bounded
time.  After a call without an answer all connections are dropped: others may be silent too.
"""

import asyncio
import socket
from typing import Any, Final, TypeVar
from urllib.parse import quote

import aiohttp
import attrs
import msgspec
from aiohttp.abc import AbstractResolver
from expression import Error, Ok, Result
from yarl import URL

from kingcuppond.store.port import (
    ABSENT,
    Change,
    Changes,
    Item,
    Listing,
    Stored,
    StoreError,
)

CALL_SECONDS: Final = 1.0
"""Longest wait for an answer to a call that does not wait by itself; some 250 usual answers."""

WATCH_MARGIN_SECONDS: Final = 1.0
"""How much longer than the wait that it asked for a watch may take: one usual call."""

MAX_WATCH_MS: Final = 30_000
"""Longest wait that the store grants a watch."""

KEEPALIVE_IDLE_SECONDS: Final = 1
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2
"""A watch on a dead path is noticed after some 3 s of silence, without a call to the store."""

NOTHING_DONE: Final = (429, 503)

T = TypeVar("T")


class _WireMetadata(msgspec.Struct):
    name: str = msgspec.field(name="Name")
    revision: int = msgspec.field(name="Rev", default=0)


class _WireObject(msgspec.Struct):
    metadata: _WireMetadata = msgspec.field(name="Metadata")
    spec: msgspec.Raw = msgspec.field(name="Spec", default=msgspec.Raw(b"null"))


class _WirePage(msgspec.Struct):
    revision: int = msgspec.field(name="StoreRevision")
    items: list[_WireObject] = msgspec.field(name="items", default_factory=list)
    has_more: bool = msgspec.field(name="HasMore", default=False)


class _WireEvent(msgspec.Struct):
    object_: _WireObject = msgspec.field(name="Object")
    is_deleted: bool = msgspec.field(name="Deleted", default=False)


class _WireEvents(msgspec.Struct):
    revision: int = msgspec.field(name="StoreRevision")
    events: list[_WireEvent] = msgspec.field(name="events", default_factory=list)


@attrs.frozen
class _Answer:
    status: int
    body: bytes


class PlatformStore:
    """A client of the store; see :class:`kingcuppond.store.port.Store`.

    :param address: IP number and port
    """

    def __init__(self, address: str) -> None:
        self.calls_by_sort = {"read": 0, "watch": 0, "write": 0}
        self._base = f"http://{address}/objects"
        self._session: aiohttp.ClientSession | None = None
        self._closing: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Close all connections."""
        self._drop_session()
        await asyncio.gather(*self._closing)

    async def get(self, kind: str, name: str) -> Result[Stored | None, StoreError]:
        """Read an object; ``None`` if there is none."""
        answer = await self._call("read", "GET", _path(kind, name))
        if answer.is_error():
            return Error(answer.error)
        if answer.ok.status == 404:
            return Ok(None)
        found = _decode(answer.ok, _WireObject)
        return found.map(lambda it: Stored(it.metadata.revision, bytes(it.spec)))

    async def list(self, kind: str) -> Result[Listing, StoreError]:
        """Read all objects of a kind, page by page.

        The version is that of the first page, so a watch from there misses nothing.
        """
        items: list[Item] = []
        version: int | None = None
        query = ""
        while True:
            answer = await self._call("read", "GET", f"/{_quote(kind)}{query}")
            page = answer.bind(lambda got: _decode(got, _WirePage))
            if page.is_error():
                return Error(page.error)
            version = page.ok.revision if version is None else version
            items.extend(
                Item(it.metadata.name, it.metadata.revision, bytes(it.spec)) for it in page.ok.items
            )
            if not page.ok.has_more or not page.ok.items:
                return Ok(Listing(items, version))
            query = f"?after={_quote(items[-1].name)}"

    async def put(
        self, kind: str, name: str, body: bytes, expected: int
    ) -> Result[int, StoreError]:
        """Write an object if it still has the expected version."""
        metadata: dict[str, Any] = {"Name": name}
        if expected != ABSENT:
            metadata["Rev"] = expected
        content = msgspec.json.encode({"Metadata": metadata, "Spec": msgspec.Raw(body)})
        if expected == ABSENT:
            answer = await self._call("write", "POST", f"/{_quote(kind)}", content)
        else:
            answer = await self._call("write", "PUT", _path(kind, name), content)
        written = answer.bind(lambda got: _decode(got, _WireObject))
        return written.map(lambda it: it.metadata.revision)

    async def delete(self, kind: str, name: str, expected: int) -> Result[int, StoreError]:
        """Delete an object if it still has the expected version."""
        answer = await self._call("write", "DELETE", f"{_path(kind, name)}?Rev={expected}")
        return answer.map(lambda _: expected)

    async def watch(self, kind: str, after: int, wait_ms: int) -> Result[Changes, StoreError]:
        """Wait for changes of a kind."""
        wait_ms = min(wait_ms, MAX_WATCH_MS)
        path = f"/{_quote(kind)}?Watch={after}&WaitMs={wait_ms}"
        timeout = wait_ms / 1000 + WATCH_MARGIN_SECONDS
        answer = await self._call("watch", "GET", path, timeout=timeout)
        told = answer.bind(lambda got: _decode(got, _WireEvents))
        return told.map(
            lambda page: Changes([_change(event) for event in page.events], page.revision)
        )

    async def _call(
        self,
        sort: str,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout: float = CALL_SECONDS,
    ) -> Result[_Answer, StoreError]:
        is_write = sort == "write"
        self.calls_by_sort[sort] += 1
        session = self._open_session()
        headers = {"Content-Type": "application/json"} if body is not None else None
        try:
            async with (
                asyncio.timeout(timeout),
                session.request(
                    method, URL(self._base + path, encoded=True), data=body, headers=headers
                ) as got,
            ):
                content = await got.read()
        except aiohttp.ClientConnectorError as exc:
            return Error(StoreError(f"store unreachable: {exc.strerror}"))
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            self._drop_session(session)
            message = f"store gave no answer: {type(exc).__name__}"
            return Error(StoreError(message, is_unknown=is_write))
        return _check(method, got.status, content)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0, socket_factory=_make_socket, resolver=_NumbersOnly()
            )
            self._session = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar()
            )
            # aiohttp sends idempotent methods a second time by itself when a reused connection
            # breaks; a conditional write must not be sent twice behind its caller's back.
            self._session._retry_connection = False
        return self._session

    def _drop_session(self, failed: aiohttp.ClientSession | None = None) -> None:
        # A connection that went silent may sit in the pool with others like it: start afresh.
        # Calls in progress on the old connections are left to end by themselves.
        if self._session is None or (failed is not None and failed is not self._session):
            return
        session, self._session = self._session, None
        task = asyncio.create_task(_close_later(session, failed is not None))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


class _NumbersOnly(AbstractResolver):
    """Refuses names: all addresses of the platform are IP numbers."""

    async def resolve(
        self, host: str, port: int = 0, family: socket.AddressFamily = socket.AF_INET
    ) -> list[Any]:
        raise OSError(f"{host} is not an IP number")

    async def close(self) -> None:
        """Hold nothing open."""


async def _close_later(session: aiohttp.ClientSession, is_shared: bool) -> None:
    if is_shared:
        await asyncio.sleep(CALL_SECONDS)
    await session.close()


def _make_socket(info: Any) -> socket.socket:
    family, type_, proto, _, _ = info
    sock = socket.socket(family=family, type=type_, proto=proto)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return sock


def _check(method: str, status: int, content: bytes) -> Result[_Answer, StoreError]:
    if status in (200, 201, 204) or (status == 404 and method == "GET"):
        return Ok(_Answer(status, content))
    if status in (404, 409):
        return Error(StoreError("the object has another version", is_conflict=True))
    if status == 410:
        return Error(StoreError("the version is too old to watch from", is_gone=True))
    is_unknown = method != "GET" and status >= 500 and status not in NOTHING_DONE
    return Error(StoreError(f"store answered {status}", is_unknown=is_unknown))


def _decode(answer: _Answer, type_: type[T]) -> Result[T, StoreError]:
    try:
        return Ok(msgspec.json.decode(answer.body, type=type_))
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return Error(StoreError(f"store answered something else: {exc}"))


def _change(event: _WireEvent) -> Change:
    # The revision of a deleted object is that of its deletion.
    body = None if event.is_deleted else bytes(event.object_.spec)
    return Change(event.object_.metadata.name, event.object_.metadata.revision, body)


def _quote(text: str) -> str:
    return quote(text, safe="")


def _path(kind: str, name: str) -> str:
    return f"/{_quote(kind)}/{_quote(name)}"
