"""A stand-in for the platform's store, with the faults that the real one has.

Objects live in memory.  ``PUT /faults`` sets the faults, ``GET /counts`` tells the calls by kind:

* ``down``: every call is cut off,
* ``delay_ms``: every call waits first,
* ``lose_answers``: so many writes take effect and then lose their answer,
* ``stall_watches``: watches hang and tell nothing,
* ``stale_reads``: reads and listings show the store as it was when the fault was set.
"""

import argparse
import asyncio
import base64
import copy
from collections import Counter, deque
from typing import Any, Final

import attrs
import msgspec
from aiohttp import web

PAGE_ITEMS: Final = 500
MAX_VALUE_BYTES: Final = 1_000_000
HISTORY: Final = 10_000
RATE_WINDOW_SECONDS: Final = 1.0


@attrs.define
class Faults:
    """The faults that are on."""

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    stall_watches: bool = False
    stale_reads: bool = False


@attrs.frozen
class Change:
    """One change of the store."""

    kind: str
    name: str
    version: int
    body: bytes | None


@attrs.define
class PlatformState:
    """All objects, the latest changes and the counts of calls."""

    writes_per_second: int
    reads_per_second: int
    objects_by_key: dict[tuple[str, str], Change] = attrs.field(factory=dict)
    stale_by_key: dict[tuple[str, str], Change] = attrs.field(factory=dict)
    history: deque[Change] = attrs.field(factory=lambda: deque(maxlen=HISTORY))
    version: int = 0
    faults: Faults = attrs.field(factory=Faults)
    counts: Counter[str] = attrs.field(factory=Counter)
    recent_by_sort: dict[str, deque[float]] = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def change(self, kind: str, name: str, body: bytes | None) -> int:
        """Make a change and wake the watches."""
        self.version += 1
        change = Change(kind, name, self.version, body)
        if body is None:
            del self.objects_by_key[kind, name]
        else:
            self.objects_by_key[kind, name] = change
        self.history.append(change)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def objects(self) -> dict[tuple[str, str], Change]:
        """Return what reads see."""
        return self.stale_by_key if self.faults.stale_reads else self.objects_by_key

    def is_over_rate(self, sort: str, limit: int) -> bool:
        """Count a call and tell whether its sort is over its rate."""
        now = asyncio.get_running_loop().time()
        recent = self.recent_by_sort.setdefault(sort, deque())
        while recent and recent[0] < now - RATE_WINDOW_SECONDS:
            recent.popleft()
        if len(recent) >= limit:
            return True
        recent.append(now)
        return False


def make_app(writes_per_second: int = 400, reads_per_second: int = 2000) -> web.Application:
    """Make the store's HTTP application."""
    state = PlatformState(writes_per_second, reads_per_second)

    @web.middleware
    async def meet_faults(request: web.Request, handler: Any) -> web.StreamResponse:
        if request.path in ("/faults", "/counts"):
            return await handler(request)  # type: ignore[no-any-return]
        sort = request.path.split("/")[2]
        state.counts[f"{request.method} {sort}"] += 1
        if state.faults.delay_ms:
            await asyncio.sleep(state.faults.delay_ms / 1000)
        if state.faults.down:
            _cut(request)
        is_read = request.method == "GET"
        limit = state.reads_per_second if is_read else state.writes_per_second
        if state.is_over_rate("read" if is_read else "write", limit):
            return web.Response(status=429)
        response: web.StreamResponse = await handler(request)
        if not is_read and response.status < 300 and state.faults.lose_answers > 0:
            state.faults.lose_answers -= 1
            _cut(request)
        return response

    app = web.Application(middlewares=[meet_faults], client_max_size=4 * MAX_VALUE_BYTES)
    app.router.add_put("/faults", lambda request: _set_faults(state, request))
    app.router.add_get("/counts", lambda request: _counts(state))
    app.router.add_get("/v1/objects/{kind}", lambda request: _list(state, request))
    app.router.add_get("/v1/objects/{kind}/{name:.+}", lambda request: _get(state, request))
    app.router.add_put("/v1/objects/{kind}/{name:.+}", lambda request: _put(state, request))
    app.router.add_delete("/v1/objects/{kind}/{name:.+}", lambda request: _delete(state, request))
    app.router.add_get("/v1/watch/{kind}", lambda request: _watch(state, request))
    return app


def _cut(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError("fault: cut off")


async def _set_faults(state: PlatformState, request: web.Request) -> web.Response:
    state.faults = msgspec.json.decode(await request.read(), type=Faults)
    state.stale_by_key = copy.copy(state.objects_by_key)
    return web.Response()


async def _counts(state: PlatformState) -> web.Response:
    return web.json_response(state.counts)


def _key(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


def _tagged(version: int, status: int = 200, body: bytes = b"") -> web.Response:
    return web.Response(status=status, body=body, headers={"ETag": f'"{version}"'})


async def _get(state: PlatformState, request: web.Request) -> web.Response:
    found = state.objects().get(_key(request))
    if found is None:
        return web.Response(status=404)
    return _tagged(found.version, body=found.body or b"")


async def _list(state: PlatformState, request: web.Request) -> web.Response:
    kind = request.match_info["kind"]
    after = request.query.get("after", "")
    found = sorted((name, c.version) for (k, name), c in state.objects().items() if k == kind)
    page = [item for item in found if item[0] > after][:PAGE_ITEMS]
    items = [{"name": name, "version": version} for name, version in page]
    return web.json_response({"items": items, "version": state.version})


async def _put(state: PlatformState, request: web.Request) -> web.Response:
    kind, name = _key(request)
    body = await request.read()
    if len(body) > MAX_VALUE_BYTES:
        return web.Response(status=413)
    found = state.objects_by_key.get((kind, name))
    if not _is_expected(request, found):
        return web.Response(status=412)
    version = state.change(kind, name, body)
    return _tagged(version, 201 if found is None else 200)


async def _delete(state: PlatformState, request: web.Request) -> web.Response:
    kind, name = _key(request)
    found = state.objects_by_key.get((kind, name))
    if found is None or not _is_expected(request, found):
        return web.Response(status=412)
    return _tagged(state.change(kind, name, None))


def _is_expected(request: web.Request, found: Change | None) -> bool:
    if request.headers.get("If-None-Match") == "*":
        return found is None
    wanted = request.headers.get("If-Match", "").strip('"')
    return found is not None and wanted == str(found.version)


async def _watch(state: PlatformState, request: web.Request) -> web.Response:
    kind = request.match_info["kind"]
    after = int(request.query["after"])
    end = asyncio.get_running_loop().time() + int(request.query["wait_ms"]) / 1000
    if state.history and after < state.history[0].version - 1:
        return web.Response(status=410)
    while True:
        while state.faults.stall_watches:
            await asyncio.sleep(0.05)
        found = [c for c in state.history if c.kind == kind and c.version > after]
        left = end - asyncio.get_running_loop().time()
        if found or left <= 0:
            changes = [_change_json(change) for change in found]
            return web.json_response({"changes": changes, "version": state.version})
        try:
            await asyncio.wait_for(state.changed.wait(), left)
        except TimeoutError:
            continue


def _change_json(change: Change) -> dict[str, Any]:
    body = None if change.body is None else base64.b64encode(change.body).decode()
    return {"name": change.name, "version": change.version, "body": body}


def main() -> None:
    """Run the stand-in until it is ended."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--writes-per-second", type=int, default=400)
    parser.add_argument("--reads-per-second", type=int, default=2000)
    options = parser.parse_args()
    app = make_app(options.writes_per_second, options.reads_per_second)
    web.run_app(app, host=options.host, port=options.port, print=None, access_log=None)


if __name__ == "__main__":
    main()
