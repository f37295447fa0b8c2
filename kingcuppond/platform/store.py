"""Client of the platform's store over HTTP.

``GET /objects/KIND`` lists objects, and with ``Watch`` it waits for changes.  ``POST`` creates an
object; ``PUT`` and ``DELETE`` change it if it is at the revision that they name.  429 and 503 mean
that the store did not execute the call.

Each answer states the store's era in ``Store-Era``, which rises when the store is restored from a
copy.  The versions that this client returns carry the era of the answer in which they were read.
A revision of one era means nothing in another: such a call fails, as if the object had changed or
the history were gone, and an answer of an earlier era than the newest known one is an error.

Every call, including a watch, has a timeout, which bounds the time lost on an unresponsive
connection.  After a call without a response all connections are dropped, since others may be
unresponsive too; a refused connection drops no others.
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

from kingcuppond.decoding import decode_json
from kingcuppond.http_connections import forget_traceback, track_connections
from kingcuppond.platform.stored_objects import (
    WireEvents,
    WireObject,
    WirePage,
    body_of,
    to_change,
)
from kingcuppond.store.era import EraTracker, era_of, make_version, revision_of
from kingcuppond.store.interface import (
    ABSENT_VERSION,
    ListedObject,
    Listing,
    StoredObject,
    StoreError,
    WatchResult,
)
from kingcuppond.streams import MemoryBudget, StreamTooLongError, read_limited

CALL_TIMEOUT_SECONDS: Final = 1.0
"""Timeout of a call that is not a watch: about 250 times the usual response time."""

WATCH_MARGIN_SECONDS: Final = 1.0
"""Time that a watch may take beyond the wait that it requests: the timeout of any other call."""

MAX_WATCH_WAIT_MS: Final = 30_000
"""Longest wait that the store allows for a watch."""

KEEPALIVE_IDLE_SECONDS: Final = 1
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2
"""A watch on a dead connection fails after about 3 s, without a call to the store."""

MAX_RESPONSE_BYTES: Final = 16_777_216
"""A page has about 1 MB; a watch may report many changes of objects of up to 1 MB each.  If it is
longer, the objects are listed again, page by page."""

MAX_RESPONSES_BYTES: Final = 2 * MAX_RESPONSE_BYTES
"""Limit for all answers that are being read, on machines with 200 MB."""

MAX_LISTED_OBJECTS: Final = 100_000
"""Far more than a fleet has; a listing whose pages never end is an error."""

NOT_EXECUTED_STATUSES: Final = (429, 503)

ERA_HEADER: Final = "Store-Era"

MAX_ERA_DIGITS: Final = 7
"""With more digits, a version would not fit in 64 bits."""

T = TypeVar("T")


@attrs.frozen
class _Response:
    status: int
    body: bytes
    era: int


class PlatformStore:
    """A client of the store; see :class:`kingcuppond.store.interface.Store`.

    :param address: IP address and port
    :param eras: the newest era known to this process, to which the eras of answers are added
    """

    def __init__(self, address: str, eras: EraTracker | None = None) -> None:
        self.eras = eras or EraTracker()
        self.calls_by_operation = {"read": 0, "watch": 0, "write": 0}
        self._base = f"http://{address}/objects"
        self._budget = MemoryBudget(MAX_RESPONSES_BYTES)
        self._session: aiohttp.ClientSession | None = None
        self._close_tasks: set[asyncio.Task[None]] = set()
        self._watch_ends: set[asyncio.Future[StoreError]] = set()
        self.eras.on_new_era.append(lambda _era: self._end_watches(_history_is_gone()))

    async def close(self) -> None:
        """Close all connections."""
        self._drop_session()
        await asyncio.gather(*self._close_tasks)

    async def get(self, kind: str, name: str) -> Result[StoredObject | None, StoreError]:
        """Read an object; ``None`` if it does not exist."""
        result = await self._call("read", "GET", _path(kind, name))
        if result.is_error():
            return Error(result.error)
        if result.ok.status == 404:
            return Ok(None)
        era = result.ok.era
        found = _decode(result.ok, WireObject)
        return found.map(
            lambda it: StoredObject(make_version(era, it.metadata.revision), body_of(kind, it))
        )

    async def list(self, kind: str) -> Result[Listing, StoreError]:
        """Read all objects of a kind, page by page.

        The version returned is that of the first page, so a watch from it misses no change.
        """
        items: list[ListedObject] = []
        version: int | None = None
        query = ""
        while True:
            result = await self._call("read", "GET", f"/{_quote(kind)}{query}")
            page = result.bind(lambda response: _decode(response, WirePage))
            if page.is_error():
                return Error(page.error)
            era = result.ok.era
            version = make_version(era, page.ok.revision) if version is None else version
            if era_of(version) != era:
                return Error(StoreError("the store was restored during the listing"))
            items.extend(
                ListedObject(
                    it.metadata.name, make_version(era, it.metadata.revision), body_of(kind, it)
                )
                for it in page.ok.items
            )
            if not page.ok.has_more or not page.ok.items:
                return Ok(Listing(items, version))
            if len(items) > MAX_LISTED_OBJECTS:
                return Error(StoreError(f"the listing has over {MAX_LISTED_OBJECTS} objects"))
            query = f"?after={_quote(items[-1].name)}"

    async def put(
        self, kind: str, name: str, body: bytes, expected: int
    ) -> Result[int, StoreError]:
        """Write an object if it still has the expected version."""
        metadata: dict[str, Any] = {"Name": name}
        if expected != ABSENT_VERSION:
            metadata["Rev"] = revision_of(expected)
        content = msgspec.json.encode({"Metadata": metadata, "Spec": msgspec.Raw(body)})
        if expected == ABSENT_VERSION:
            result = await self._call("write", "POST", f"/{_quote(kind)}", content)
        else:
            result = await self._change_at("PUT", _path(kind, name), expected, content)
        if result.is_error():
            return Error(result.error)
        written = _decode(result.ok, WireObject)
        return written.map(lambda it: make_version(result.ok.era, it.metadata.revision))

    async def put_status(
        self, kind: str, name: str, status: bytes, expected: int
    ) -> Result[int, StoreError]:
        """Write the status of an object if the object still has the expected version."""
        metadata = {"Name": name, "Rev": revision_of(expected)}
        content = msgspec.json.encode({"Metadata": metadata, "Status": msgspec.Raw(status)})
        path = f"{_path(kind, name)}/status"
        result = await self._change_at("PUT", path, expected, content)
        if result.is_error():
            return Error(result.error)
        written = _decode(result.ok, WireObject)
        return written.map(lambda it: make_version(result.ok.era, it.metadata.revision))

    async def delete(self, kind: str, name: str, expected: int) -> Result[int, StoreError]:
        """Delete an object if it still has the expected version."""
        path = f"{_path(kind, name)}?Rev={revision_of(expected)}"
        result = await self._change_at("DELETE", path, expected)
        return result.map(lambda _: expected)

    async def watch(self, kind: str, after: int, wait_ms: int) -> Result[WatchResult, StoreError]:
        """Wait for changes of a kind.

        A watch that is waiting ends as if its history were gone when a newer era becomes known, as
        the store may hold its connection across the restore.
        """
        if era_of(after) < self.eras.era:
            return Error(_history_is_gone())
        wait_ms = min(wait_ms, MAX_WATCH_WAIT_MS)
        path = f"/{_quote(kind)}?Watch={revision_of(after)}&WaitMs={wait_ms}"
        timeout = wait_ms / 1000 + WATCH_MARGIN_SECONDS
        result = await self._call_watch(path, timeout)
        if result.is_error():
            return Error(result.error)
        era = result.ok.era
        if era != era_of(after):
            # The revision was reached a second time, so changes may have been left out.
            return Error(_history_is_gone())
        decoded = _decode(result.ok, WireEvents)
        return decoded.map(
            lambda page: WatchResult(
                [to_change(kind, event, era) for event in page.events],
                make_version(era, page.revision),
            )
        )

    async def _call_watch(self, path: str, timeout: float) -> Result[_Response, StoreError]:
        """Call the store until it answers or :meth:`_end_watches` gives the reason for an end."""
        call = asyncio.create_task(self._call("watch", "GET", path, timeout=timeout))
        ended: asyncio.Future[StoreError] = asyncio.get_running_loop().create_future()
        self._watch_ends.add(ended)
        either: list[asyncio.Future[Any]] = [call, ended]
        try:
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._watch_ends.discard(ended)
            call.cancel()
        return call.result() if call.done() else Error(ended.result())

    def _end_watches(self, reason: StoreError) -> None:
        for ended in self._watch_ends:
            if not ended.done():
                ended.set_result(reason)

    async def _change_at(
        self, method: str, path: str, expected: int, body: bytes | None = None
    ) -> Result[_Response, StoreError]:
        """Change an object on the condition that it has a version of the present era."""
        if era_of(expected) < self.eras.era:
            return Error(StoreError("the store was restored since the read", is_conflict=True))
        result = await self._call("write", method, path, body)
        if result.is_ok() and result.ok.era != era_of(expected):
            # Another state of the object may have had the same revision.
            message = "the store was restored before the write"
            return Error(StoreError(message, is_outcome_unknown=True))
        return result

    async def _call(
        self,
        operation: str,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[_Response, StoreError]:
        is_write = operation == "write"
        self.calls_by_operation[operation] += 1
        session = self._open_session()
        headers = {"Content-Type": "application/json"} if body is not None else None
        try:
            async with (
                asyncio.timeout(timeout),
                session.request(
                    method, URL(self._base + path, encoded=True), data=body, headers=headers
                ) as response,
            ):
                content = await read_limited(
                    MAX_RESPONSE_BYTES, response.content.readany, self._budget
                )
        except aiohttp.ClientConnectorError as exc:
            return Error(StoreError(f"store is unreachable: {exc.strerror}"))
        except (aiohttp.ClientError, StreamTooLongError, TimeoutError, OSError) as exc:
            forget_traceback(exc)
            self._drop_session(session)
            message = f"no response from the store: {type(exc).__name__}"
            return Error(StoreError(message, is_outcome_unknown=is_write))
        return self._check_era(method, response, content)

    def _check_era(
        self, method: str, response: aiohttp.ClientResponse, content: bytes
    ) -> Result[_Response, StoreError]:
        era = _read_era(response)
        checked = _check_status(method, response.status, content, era)
        if response.status in NOT_EXECUTED_STATUSES:
            return checked
        self.eras.observe(era)
        if era < self.eras.era:
            message = f"the answer is of era {era}, but the store is in era {self.eras.era}"
            return Error(StoreError(message, is_outcome_unknown=method != "GET"))
        return checked

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0, socket_factory=_make_socket, resolver=_NumericAddressResolver()
            )
            track_connections(connector)
            self._session = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar()
            )
            # aiohttp resends idempotent methods by itself when a reused connection breaks; a
            # conditional write must not be sent twice without its caller's knowledge.
            self._session._retry_connection = False
        return self._session

    def _drop_session(self, failed: aiohttp.ClientSession | None = None) -> None:
        # Other connections in the pool may be unresponsive too, so the next call opens a new pool.
        # Calls in flight on the old connections are given CALL_TIMEOUT_SECONDS to finish; watches
        # are not, since a change that they miss waits for their end.
        if self._session is None or (failed is not None and failed is not self._session):
            return
        session, self._session = self._session, None
        self._end_watches(StoreError("the connection of the watch was given up"))
        task = asyncio.create_task(_close_session(session, failed is not None))
        self._close_tasks.add(task)
        task.add_done_callback(self._close_tasks.discard)


class _NumericAddressResolver(AbstractResolver):
    """Rejects host names: all addresses of the platform are IP addresses."""

    async def resolve(
        self, host: str, port: int = 0, family: socket.AddressFamily = socket.AF_INET
    ) -> list[Any]:
        raise OSError(f"{host} is not an IP address")

    async def close(self) -> None:
        """Do nothing: no resources are held."""


async def _close_session(session: aiohttp.ClientSession, has_calls_in_flight: bool) -> None:
    if has_calls_in_flight:
        await asyncio.sleep(CALL_TIMEOUT_SECONDS)
    await session.close()


def _make_socket(info: Any) -> socket.socket:
    family, type_, proto, _, _ = info
    sock = socket.socket(family=family, type=type_, proto=proto)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return sock


def _read_era(response: aiohttp.ClientResponse) -> int:
    text = response.headers.get(ERA_HEADER, "")
    return int(text) if text.isdecimal() and len(text) <= MAX_ERA_DIGITS else 0


def _history_is_gone() -> StoreError:
    return StoreError("the version is of an earlier era of the store", is_version_expired=True)


def _check_status(
    method: str, status: int, content: bytes, era: int
) -> Result[_Response, StoreError]:
    if status in (200, 201, 204) or (status == 404 and method == "GET"):
        return Ok(_Response(status, content, era))
    if status in (404, 409):
        return Error(StoreError("the object is at another version", is_conflict=True))
    if status == 410:
        return Error(StoreError("the version is too old to watch from", is_version_expired=True))
    is_outcome_unknown = method != "GET" and status >= 500 and status not in NOT_EXECUTED_STATUSES
    return Error(
        StoreError(f"store responded with status {status}", is_outcome_unknown=is_outcome_unknown)
    )


def _decode(response: _Response, type_: type[T]) -> Result[T, StoreError]:
    return decode_json(response.body, type_).map_error(
        lambda error: StoreError(f"invalid response from the store: {error}")
    )


def _quote(text: str) -> str:
    return quote(text, safe="")


def _path(kind: str, name: str) -> str:
    return f"/{_quote(kind)}/{_quote(name)}"
