"""The platform's store over HTTP: objects with versions, conditional updates and watches.

Every call has a deadline, also a watch, so that a connection that went silent costs a bounded
time. A write ends in one of three ways, as a call does: done, refused (the version was another
one), or ``StoreError`` with ``is_unknown`` set, when the answer was lost and the write may have
taken effect. Nothing is retried here: what to do after a lost answer depends on what was written.
"""

import asyncio
import base64
from collections.abc import AsyncIterator
from typing import Final, TypeVar
from urllib.parse import quote

import aiohttp
import attrs
import msgspec
from expression import Error, Ok, Result
from yarl import URL

STORE_TIMEOUT_SECONDS: Final = 1.0
WATCH_MARGIN_SECONDS: Final = 0.5
ABSENT: Final = 0
TOO_MANY_REQUESTS: Final = 429

T = TypeVar("T")


@attrs.frozen
class StoreError:
    """A call to the store failed.

    :param message: what happened
    :param is_conflict: the object was not at the version that the caller named
    :param is_unknown: a write may or may not have taken effect
    :param is_gone: the version to watch from is too old
    """

    message: str
    is_conflict: bool = False
    is_unknown: bool = False
    is_gone: bool = False


@attrs.frozen
class Item:
    """A name in a listing."""

    name: str
    version: int


@attrs.frozen
class Listing:
    """One page of a listing and the store's version when it was made."""

    items: list[Item]
    version: int


@attrs.frozen
class Change:
    """A change that a watch tells; no body means that the object was deleted."""

    name: str
    version: int
    body: str | None

    def content(self) -> bytes | None:
        """Return the body as bytes."""
        return None if self.body is None else base64.b64decode(self.body)


@attrs.frozen
class Changes:
    """What a watch answers."""

    changes: list[Change]
    version: int


@attrs.frozen
class Stored:
    """An object as read."""

    version: int
    body: bytes


class Store:
    """A client of the store.

    :param address: IP number and port
    """

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}/v1"
        self._session: aiohttp.ClientSession | None = None
        self._closing: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Close all connections."""
        await self._drop_session()
        await asyncio.gather(*self._closing)

    async def get(self, kind: str, name: str) -> Result[Stored | None, StoreError]:
        """Read an object; ``None`` if there is none."""
        answer = await self._call("GET", self._path(kind, name))
        return answer.map(lambda got: None if got.status == 404 else Stored(got.version, got.body))

    async def list(self, kind: str) -> Result[Listing, StoreError]:
        """List all names of a kind, page by page.

        The version is that of the first page, so a watch from there misses nothing.
        """
        items: list[Item] = []
        version: int | None = None
        after = ""
        while True:
            query = f"?after={quote(after, safe='')}" if after else ""
            answer = await self._call("GET", f"/objects/{quote(kind, safe='')}{query}")
            page = answer.bind(lambda got: _decode(got.body, Listing))
            if page.is_error():
                return Error(page.error)
            version = page.ok.version if version is None else version
            if not page.ok.items:
                return Ok(Listing(items, version))
            items.extend(page.ok.items)
            after = items[-1].name

    async def put(
        self, kind: str, name: str, body: bytes, expected: int
    ) -> Result[int, StoreError]:
        """Write an object if it still has the expected version.

        :param expected: the version read before, or ``ABSENT`` to create
        :return: the new version
        """
        condition = {"If-None-Match": "*"} if expected == ABSENT else _if_match(expected)
        answer = await self._call("PUT", self._path(kind, name), body, condition)
        return answer.map(lambda got: got.version)

    async def delete(self, kind: str, name: str, expected: int) -> Result[int, StoreError]:
        """Delete an object if it still has the expected version."""
        answer = await self._call("DELETE", self._path(kind, name), None, _if_match(expected))
        return answer.map(lambda got: got.version)

    async def watch(self, kind: str, after: int, wait_ms: int) -> Result[Changes, StoreError]:
        """Wait for changes of a kind.

        :param after: the version that the caller has seen
        :param wait_ms: how long the store may hold the call
        """
        path = f"/watch/{quote(kind, safe='')}?after={after}&wait_ms={wait_ms}"
        timeout = wait_ms / 1000 + WATCH_MARGIN_SECONDS
        answer = await self._call("GET", path, timeout=timeout)
        return answer.bind(lambda got: _decode(got.body, Changes))

    def _path(self, kind: str, name: str) -> str:
        return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout: float = STORE_TIMEOUT_SECONDS,
    ) -> "Result[_Answer, StoreError]":
        is_write = method != "GET"
        try:
            async with asyncio.timeout(timeout):
                session = self._open_session()
                url = self._base + path
                async with session.request(
                    method, URL(url, encoded=True), data=body, headers=headers
                ) as got:
                    content = await got.read()
        except aiohttp.ClientConnectorError as exc:
            return Error(StoreError(f"store unreachable: {exc.strerror}"))
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            await self._drop_session()
            message = f"store gave no answer: {type(exc).__name__}"
            return Error(StoreError(message, is_unknown=is_write))
        return _check(got, content)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
            # aiohttp sends idempotent methods a second time by itself when a reused connection
            # breaks; a conditional write must not be sent twice behind its caller's back.
            self._session._retry_connection = False
        return self._session

    async def _drop_session(self) -> None:
        # A connection that went silent may sit in the pool with others like it: start afresh.
        session, self._session = self._session, None
        if session is not None:
            task = asyncio.create_task(session.close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)


async def watch_forever(
    store: Store, kind: str, after: int, wait_ms: int
) -> AsyncIterator[Result[Changes, StoreError]]:
    """Yield the answers of one watch after another, until the first failure."""
    while True:
        answer = await store.watch(kind, after, wait_ms)
        yield answer
        if answer.is_error():
            return
        after = max(after, answer.ok.version)


@attrs.frozen
class _Answer:
    status: int
    version: int
    body: bytes


def _check(got: aiohttp.ClientResponse, content: bytes) -> Result[_Answer, StoreError]:
    if got.status in (200, 201, 204) or (got.status == 404 and got.method == "GET"):
        tag = got.headers.get("ETag", "").strip('"')
        return Ok(_Answer(got.status, int(tag) if tag.isdigit() else 0, content))
    if got.status in (404, 412):
        return Error(StoreError("the object has another version", is_conflict=True))
    if got.status == 410:
        return Error(StoreError("the version is too old to watch from", is_gone=True))
    # A refusal for its rate comes before any effect; any other failure may come after it.
    is_unknown = got.method != "GET" and got.status >= 500
    return Error(StoreError(f"store answered {got.status}", is_unknown=is_unknown))


def _decode(body: bytes, type_: type[T]) -> Result[T, StoreError]:
    try:
        return Ok(msgspec.json.decode(body, type=type_))
    except msgspec.MsgspecError as exc:
        return Error(StoreError(f"store answered something else: {exc}"))


def _if_match(version: int) -> dict[str, str]:
    return {"If-Match": f'"{version}"'}
