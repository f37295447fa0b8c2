"""Fake of the platform's object store, with faults that the real one has.

It implements the platform's protocol on ``/objects/KIND`` and keeps objects in memory.
``PUT /objects/KIND/NAME/status`` changes only the status of an object.  Every answer on these paths
carries the header ``Store-Era``.  ``GET /counts`` returns the number of calls by method and by
watch or object.

``PUT /copy`` marks the present state.  ``PUT /restore`` returns to the marked state, or with
``seconds`` to the state of so many seconds ago: later changes are lost, their revisions are given
out again, the era rises by one and waiting watches are cut off.  With ``down_seconds``, the store
is down for so long before.  A write that a fault delays until after it is executed if its condition
still holds.

``PUT /faults`` replaces the injected faults:

* ``down``: the connection of every call is aborted,
* ``refuse_status``: every call is answered with this status and has no effect,
* ``refused_hosts``: if set, ``down`` and ``refuse_status`` apply only to these client IP addresses,
* ``delay_ms``: every call waits first,
* ``lose_answers``: this many writes take effect and then lose their answer,
* ``late_writes_ms``: writes lose their answer and take effect after this delay,
* ``stall_watches``: watches hang without returning events,
* ``forget_history``: the history is dropped once, so that watches from older versions get 410,
* ``stale_reads``: reads and listings return the objects and the revision as of the time the fault
  was set, or of the last restore,
* ``old_era_answers``: this many calls are executed at once and answered after the next restore.
"""

import argparse
import asyncio
import copy
import math
from collections import Counter, deque
from functools import partial
from typing import Any, Final

import attrs
import msgspec
from aiohttp import web

PAGE_ITEMS: Final = 500
MAX_VALUE_BYTES: Final = 1_000_000
MAX_HISTORY_CHANGES: Final = 10_000
FIRST_ERA: Final = 1
ERA_HEADER: Final = "Store-Era"
CONTROL_PATHS: Final = ("/faults", "/counts", "/copy", "/restore")
RATE_WINDOW_SECONDS: Final = 1.0
_UNCHANGED: Final = object()


@attrs.define
class Faults:
    """Injected faults; the module header describes them."""

    down: bool = False
    refuse_status: int = 0
    refused_hosts: tuple[str, ...] = ()
    delay_ms: int = 0
    lose_answers: int = 0
    late_writes_ms: int = 0
    forget_history: bool = False
    stall_watches: bool = False
    stale_reads: bool = False
    old_era_answers: int = 0


@attrs.frozen
class RestoreRequest:
    """Content of ``PUT /restore``; the module header describes it.

    :param seconds: age of the copy, or ``None`` for the state that ``PUT /copy`` marked
    """

    seconds: float | None = None
    down_seconds: float = 0.0


@attrs.frozen
class Change:
    """One version of an object in the store.

    :param spec: content; of a deletion, the content before it
    :param created_version: store version at which the object was created
    :param status: what ``PUT .../status`` wrote last
    """

    kind: str
    name: str
    version: int
    spec: Any
    created_version: int
    is_deleted: bool = False
    status: Any = None

    def encode(self) -> dict[str, Any]:
        """Return the object in the platform's JSON schema."""
        metadata = {
            "Name": self.name,
            "Rev": self.version,
            "CreatedRev": self.created_version,
            "Finalizers": [],
            "Deleting": False,
        }
        return {"Metadata": metadata, "Spec": self.spec, "Status": self.status}


@attrs.frozen
class UndoEntry:
    """How to take back one change.

    :param changed_at: monotonic time in seconds of the change
    :param previous: the object before the change, or ``None`` if the change created it
    """

    changed_at: float
    change: Change
    previous: Change | None


@attrs.define
class PlatformState:
    """Objects, recent history and call counters of the store.

    :param undo_log: the last changes, including those removed from the history
    :param stale_objects_by_key: what reads and listings see while they are stale
    :param stale_version: the revision of that state
    :param undo_floor: monotonic time in seconds of the last change that the undo log has dropped
    :param copied_at: monotonic time in seconds of the last ``PUT /copy``
    :param cuts: number of times that all waiting watches were cut off
    :param compacted_version: last version that ``forget_history`` removed from the history
    :param counts: calls by method and by watch or object
    :param recent_calls_by_operation: times of the calls in the last rate window, by read or write
    :param changed: set and replaced at every change, to wake the watches
    :param restored: set and replaced at every restore
    """

    writes_per_second: int
    reads_per_second: int
    objects_by_key: dict[tuple[str, str], Change] = attrs.field(factory=dict)
    stale_objects_by_key: dict[tuple[str, str], Change] = attrs.field(factory=dict)
    stale_version: int = 0
    history: deque[Change] = attrs.field(factory=lambda: deque(maxlen=MAX_HISTORY_CHANGES))
    undo_log: deque[UndoEntry] = attrs.field(factory=lambda: deque(maxlen=MAX_HISTORY_CHANGES))
    undo_floor: float = -math.inf
    copied_at: float | None = None
    version: int = 0
    era: int = FIRST_ERA
    cuts: int = 0
    is_restoring: bool = False
    compacted_version: int = 0
    faults: Faults = attrs.field(factory=Faults)
    counts: Counter[str] = attrs.field(factory=Counter)
    recent_calls_by_operation: dict[str, deque[float]] = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    restored: asyncio.Event = attrs.field(factory=asyncio.Event)
    late_writes: set[asyncio.Task[None]] = attrs.field(factory=set)

    def change(
        self, kind: str, name: str, spec: Any, is_deleted: bool = False, status: Any = _UNCHANGED
    ) -> Change:
        """Store or delete an object and wake the watches.

        A write that leaves the content as it is makes no new version.
        """
        found = self.objects_by_key.get((kind, name))
        if status is _UNCHANGED:
            status = None if found is None else found.status
        is_same = found is not None and (found.spec, found.status) == (spec, status)
        if found is not None and is_same and not is_deleted:
            return found
        self.version += 1
        created_version = self.version if found is None else found.created_version
        change = Change(kind, name, self.version, spec, created_version, is_deleted, status)
        if is_deleted:
            del self.objects_by_key[kind, name]
        else:
            self.objects_by_key[kind, name] = change
        self.history.append(change)
        if len(self.undo_log) == self.undo_log.maxlen:
            self.undo_floor = self.undo_log[0].changed_at
        self.undo_log.append(UndoEntry(asyncio.get_running_loop().time(), change, found))
        self.wake_watches()
        return change

    def wake_watches(self) -> None:
        """Let the waiting watches look at the state again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_watches(self) -> None:
        """Abort the connections of all waiting watches."""
        self.cuts += 1
        self.wake_watches()

    def can_restore(self, moment: float) -> bool:
        """Return whether all changes after a moment (monotonic time in seconds) can be undone."""
        return moment >= self.undo_floor

    def restore(self, moment: float) -> None:
        """Return to the state at a moment (monotonic time in seconds) and begin a new era."""
        while self.undo_log and self.undo_log[-1].changed_at > moment:
            entry = self.undo_log.pop()
            key = entry.change.kind, entry.change.name
            if entry.previous is None:
                del self.objects_by_key[key]
            else:
                self.objects_by_key[key] = entry.previous
            self.version = entry.change.version - 1
        while self.history and self.history[-1].version > self.version:
            self.history.pop()
        self.compacted_version = min(self.compacted_version, self.version)
        self.keep_stale_state()
        self.era += 1
        self.cut_watches()
        self.restored.set()
        self.restored = asyncio.Event()

    def keep_stale_state(self) -> None:
        """Keep the present objects and revision for ``stale_reads``."""
        self.stale_objects_by_key = copy.copy(self.objects_by_key)
        self.stale_version = self.version

    def listed_version(self) -> int:
        """Return the revision of the objects that reads and listings see."""
        return self.stale_version if self.faults.stale_reads else self.version

    def objects(self) -> dict[tuple[str, str], Change]:
        """Return the objects that reads and listings see."""
        return self.stale_objects_by_key if self.faults.stale_reads else self.objects_by_key

    def is_over_rate(self, operation: str, limit: int) -> bool:
        """Return whether a call exceeds the rate limit of its operation, and count it if not.

        :param limit: calls per ``RATE_WINDOW_SECONDS``
        """
        now = asyncio.get_running_loop().time()
        recent = self.recent_calls_by_operation.setdefault(operation, deque())
        while recent and recent[0] < now - RATE_WINDOW_SECONDS:
            recent.popleft()
        if len(recent) >= limit:
            return True
        recent.append(now)
        return False


def make_app(writes_per_second: int = 400, reads_per_second: int = 2000) -> web.Application:
    """Return the HTTP application of a new, empty store."""
    state = PlatformState(writes_per_second, reads_per_second)

    @web.middleware
    async def inject_faults(request: web.Request, handler: Any) -> web.StreamResponse:
        if request.path in CONTROL_PATHS:
            return await handler(request)  # type: ignore[no-any-return]
        response = await answer(request, handler)
        response.headers[ERA_HEADER] = str(state.era)
        if state.faults.old_era_answers > 0:
            state.faults.old_era_answers -= 1
            await state.restored.wait()
        return response

    async def answer(request: web.Request, handler: Any) -> web.StreamResponse:
        faults = state.faults
        is_read = request.method == "GET"
        state.counts[f"{request.method} {'watch' if 'Watch' in request.query else 'objects'}"] += 1
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        if state.is_restoring:
            _abort_connection(request)
        if not faults.refused_hosts or request.remote in faults.refused_hosts:
            if faults.down:
                _abort_connection(request)
            if faults.refuse_status:
                return web.Response(status=faults.refuse_status)
        limit = state.reads_per_second if is_read else state.writes_per_second
        if state.is_over_rate("read" if is_read else "write", limit):
            return web.Response(status=429)
        if faults.late_writes_ms and not is_read:
            await request.read()
            _apply_write_later(state, request, handler)
            _abort_connection(request)
        response: web.StreamResponse = await handler(request)
        if not is_read and response.status < 300 and state.faults.lose_answers > 0:
            state.faults.lose_answers -= 1
            _abort_connection(request)
        return response

    app = web.Application(middlewares=[inject_faults], client_max_size=4 * MAX_VALUE_BYTES)
    app.router.add_put("/faults", partial(_set_faults, state))
    app.router.add_get("/counts", partial(_counts, state))
    app.router.add_put("/copy", partial(_copy, state))
    app.router.add_put("/restore", partial(_restore, state))
    app.router.add_get("/objects/{kind}", partial(_list_or_watch, state))
    app.router.add_post("/objects/{kind}", partial(_create, state))
    app.router.add_get("/objects/{kind}/{name:.+}", partial(_get, state))
    app.router.add_put("/objects/{kind}/{name:.+}/status", partial(_replace, state))
    app.router.add_put("/objects/{kind}/{name:.+}", partial(_replace, state))
    app.router.add_delete("/objects/{kind}/{name:.+}", partial(_delete, state))
    return app


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError("injected fault: connection aborted")


def _apply_write_later(state: PlatformState, request: web.Request, handler: Any) -> None:
    async def write() -> None:
        await asyncio.sleep(state.faults.late_writes_ms / 1000)
        await handler(request)

    task = asyncio.create_task(write())
    state.late_writes.add(task)
    task.add_done_callback(state.late_writes.discard)


async def _set_faults(state: PlatformState, request: web.Request) -> web.Response:
    state.faults = msgspec.json.decode(await request.read(), type=Faults)
    state.keep_stale_state()
    if state.faults.forget_history:
        state.compacted_version = state.version
        state.history.clear()
        state.wake_watches()
    return web.Response()


async def _copy(state: PlatformState, _request: web.Request) -> web.Response:
    state.copied_at = asyncio.get_running_loop().time()
    return web.Response()


async def _restore(state: PlatformState, request: web.Request) -> web.Response:
    requested = msgspec.json.decode(await request.read() or b"{}", type=RestoreRequest)
    moment = state.copied_at
    if requested.seconds is not None:
        moment = asyncio.get_running_loop().time() - requested.seconds
    if moment is None or not state.can_restore(moment):
        return web.Response(status=400, text="there is no copy of that moment")
    if requested.down_seconds > 0:
        state.is_restoring = True
        state.cut_watches()
        await asyncio.sleep(requested.down_seconds)
        state.is_restoring = False
    state.restore(moment)
    return web.Response()


async def _counts(state: PlatformState, _request: web.Request) -> web.Response:
    return web.json_response(state.counts)


def _object_key(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


async def _get(state: PlatformState, request: web.Request) -> web.Response:
    found = state.objects().get(_object_key(request))
    if found is None:
        return web.Response(status=404)
    return web.json_response(found.encode())


async def _list_or_watch(state: PlatformState, request: web.Request) -> web.Response:
    if "Watch" in request.query:
        return await _watch(state, request)
    kind = request.match_info["kind"]
    after = request.query.get("after", "")
    names = sorted(name for k, name in state.objects() if k == kind and name > after)
    items = [state.objects()[kind, name].encode() for name in names[:PAGE_ITEMS]]
    version = state.listed_version()
    page = {"items": items, "HasMore": len(names) > PAGE_ITEMS, "StoreRevision": version}
    return web.json_response(page)


async def _create(state: PlatformState, request: web.Request) -> web.Response:
    kind = request.match_info["kind"]
    requested = await request.json()
    name = requested["Metadata"]["Name"]
    found = state.objects_by_key.get((kind, name))
    if found is not None:
        return web.json_response(found.encode(), status=409)
    return _store(state, kind, name, requested)


async def _replace(state: PlatformState, request: web.Request) -> web.Response:
    kind, name = _object_key(request)
    requested = await request.json()
    found = state.objects_by_key.get((kind, name))
    if found is None:
        return web.Response(status=404)
    if requested["Metadata"].get("Rev", found.version) != found.version:
        return web.json_response(found.encode(), status=409)
    if request.path.endswith("/status"):
        status = requested.get("Status")
        return web.json_response(state.change(kind, name, found.spec, status=status).encode())
    return _store(state, kind, name, requested)


def _store(state: PlatformState, kind: str, name: str, requested: Any) -> web.Response:
    spec = requested.get("Spec")
    if len(msgspec.json.encode(spec)) > MAX_VALUE_BYTES:
        return web.Response(status=413)
    return web.json_response(state.change(kind, name, spec).encode())


async def _delete(state: PlatformState, request: web.Request) -> web.Response:
    kind, name = _object_key(request)
    found = state.objects_by_key.get((kind, name))
    if found is None:
        return web.Response(status=404)
    if int(request.query.get("Rev", found.version)) != found.version:
        return web.json_response(found.encode(), status=409)
    return web.json_response(state.change(kind, name, found.spec, is_deleted=True).encode())


async def _watch(state: PlatformState, request: web.Request) -> web.Response:
    kind = request.match_info["kind"]
    after = int(request.query["Watch"])
    end = asyncio.get_running_loop().time() + int(request.query["WaitMs"]) / 1000
    cuts = state.cuts
    while True:
        while state.faults.stall_watches and state.cuts == cuts:
            await asyncio.sleep(0.05)
        if state.cuts != cuts:
            _abort_connection(request)
        oldest = state.history[0].version if state.history else state.compacted_version + 1
        if not max(oldest - 1, state.compacted_version) <= after <= state.version:
            return web.Response(status=410)
        found = [c for c in state.history if c.kind == kind and c.version > after]
        left = end - asyncio.get_running_loop().time()
        if found or left <= 0:
            events = [{"Deleted": c.is_deleted, "Object": c.encode()} for c in found]
            return web.json_response({"events": events, "StoreRevision": state.version})
        try:
            await asyncio.wait_for(state.changed.wait(), left)
        except TimeoutError:
            continue


def main() -> None:
    """Run the store until the process is terminated."""
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
