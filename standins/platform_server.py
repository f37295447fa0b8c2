"""Fake server of the users' platform.

It sends heartbeats to its daemon, answers its health path, and runs requests in its slots:

* the query parameters ``ms=`` and ``crash=1`` set the service time and end the process;
  ``unframed=`` answers with so many bytes without a length, and closes the connection;
* each answer carries a seal, the id of its request, and the load, whose fourth figure is the
  slowdown in percent;
* ``PUT /_/faults`` replaces the injected faults, ``GET /_/runs`` returns what ran.  Both bypass the
  slots.
"""

import asyncio
import os
import random
import time
from collections import Counter
from typing import Any, Final

import aiohttp
import attrs
import msgspec
from aiohttp import web

from standins.options import read_options

HEARTBEAT_INTERVAL_SECONDS: Final = 0.3
REQUEST_ID_HEADER: Final = "X-Kingcuppond-Attempt-Id"
INSTANCE_HEADER: Final = "X-Kingcuppond-Instance-Id"
LOAD_HEADER: Final = "X-Kingcuppond-Server-Load"
PIECE_BYTES: Final = 65_536


@attrs.define
class Faults:
    """Injected faults.

    :param state: state that heartbeats report
    :param is_withdrawn: withdraw the server once, and send no more heartbeats
    :param is_silent: send no heartbeats
    :param slowdown_percent: service time in percent of the normal one, also reported with the load
    :param cold_ms: milliseconds for which the server reports that it will still be cold
    :param is_ill: answer the health path with 503
    :param lose_seal: send answers without the seal header
    :param late_id: answer with the id of another request
    :param old_heartbeat: with each heartbeat, send one of an earlier incarnation too
    :param failing_percent: share of the requests that are answered with 500
    """

    state: str = "ready"
    is_withdrawn: bool = False
    is_silent: bool = False
    slowdown_percent: int = 100
    cold_ms: int = 0
    is_ill: bool = False
    lose_seal: bool = False
    late_id: bool = False
    old_heartbeat: bool = False
    failing_percent: int = 0


@attrs.frozen
class Options:
    """Command line options: identity and normal behaviour of the server."""

    service: str
    address: str
    daemon_server_address: str
    data_centre: str
    slots: int = 6
    service_ms: float = 5.0
    version: str = "v1"
    failing_percent: int = 0


@attrs.define
class ServerState:
    """State of the running server.

    :param born_ms: start time, in milliseconds since the epoch
    :param acknowledged: states of the heartbeats and withdrawals that the daemon accepted
    :param runs_by_id: executions by request id
    :param runs_by_status: executions that ended, by the status of their answer
    :param callers_by_id: calling service by request id
    :param organisations_by_id: organisation by request id, as far as requests name one
    :param keys: keys of organisations that requests carried, which no server should see
    """

    options: Options
    slots: asyncio.Semaphore
    born_ms: int = attrs.field(factory=lambda: int(time.time() * 1000))
    faults: Faults = attrs.field(factory=Faults)
    sequence: int = 0
    in_flight: int = 0
    acknowledged: list[str] = attrs.field(factory=list)
    runs_by_id: Counter[str] = attrs.field(factory=Counter)
    runs_by_status: Counter[int] = attrs.field(factory=Counter)
    callers_by_id: dict[str, str] = attrs.field(factory=dict)
    organisations_by_id: dict[str, str] = attrs.field(factory=dict)
    keys: list[str] = attrs.field(factory=list)

    @property
    def instance(self) -> str:
        """Id of this incarnation."""
        return f"i-{self.born_ms}"

    def load(self) -> str:
        """Return the load in the format of the header."""
        running = min(self.in_flight, self.options.slots)
        waiting = self.in_flight - running
        return f"{running},{waiting},{self.options.slots},{self.faults.slowdown_percent}"


def make_app(state: ServerState) -> web.Application:
    """Return the server's HTTP application."""

    async def serve(request: web.Request) -> web.StreamResponse:
        return await _serve(state, request)

    async def health(_request: web.Request) -> web.Response:
        leaving = state.faults.is_withdrawn or state.faults.state != "ready"
        headers = {INSTANCE_HEADER: state.instance, LOAD_HEADER: state.load()}
        if state.faults.cold_ms:
            headers["X-Kingcuppond-Cold-Ms"] = str(state.faults.cold_ms)
        status = 503 if state.faults.is_ill or leaving else 200
        return web.Response(status=status, headers=headers)

    async def set_faults(request: web.Request) -> web.Response:
        state.faults = msgspec.json.decode(await request.read(), type=Faults)
        async with aiohttp.ClientSession() as session:
            if state.faults.is_withdrawn:
                await _send_message(state, session, "DELETE", "withdrawn")
            else:
                await _send_heartbeat(state, session)
        return web.Response()

    async def runs(_request: web.Request) -> web.Response:
        return web.json_response(
            {
                "runs_by_id": state.runs_by_id,
                "runs_by_status": state.runs_by_status,
                "callers_by_id": state.callers_by_id,
                "organisations_by_id": state.organisations_by_id,
                "keys": state.keys,
                "acknowledged": state.acknowledged,
                "in_flight": state.in_flight,
            }
        )

    app = web.Application(client_max_size=2**40)
    app.router.add_put("/_/faults", set_faults)
    app.router.add_get("/_/runs", runs)
    app.router.add_get("/health", health)
    app.router.add_route("*", "/{path:.*}", serve)
    return app


async def _serve(state: ServerState, request: web.Request) -> web.StreamResponse:
    target_instance = request.headers.get("X-Kingcuppond-Target-Instance", state.instance)
    if target_instance != state.instance:
        return web.Response(status=421, headers={INSTANCE_HEADER: state.instance})
    request_id = request.headers[REQUEST_ID_HEADER]
    body = await request.read()
    state.runs_by_id[request_id] += 1
    state.callers_by_id[request_id] = request.headers.get("X-Kingcuppond-Caller-Service", "")
    if "X-Kingcuppond-Tenant" in request.headers:
        state.organisations_by_id[request_id] = request.headers["X-Kingcuppond-Tenant"]
    state.keys += request.headers.getall("Api-Key", [])
    if request.query.get("crash"):
        os._exit(1)
    state.in_flight += 1
    try:
        async with state.slots:
            ms = float(request.query.get("ms", state.options.service_ms))
            await asyncio.sleep(ms * state.faults.slowdown_percent / 100 / 1000)
    finally:
        state.in_flight -= 1
    headers = {
        REQUEST_ID_HEADER: "another" if state.faults.late_id else request_id,
        LOAD_HEADER: state.load(),
    }
    if not state.faults.lose_seal:
        headers["X-Kingcuppond-Server-Seal"] = "seal"
    percent = max(state.options.failing_percent, state.faults.failing_percent)
    status = 500 if random.random() * 100 < percent else 200
    state.runs_by_status[status] += 1
    if "unframed" in request.query:
        return await _send_unframed(request, headers, int(request.query["unframed"]))
    answer = {"id": request_id, "size": len(body)}
    return web.json_response(answer, status=status, headers=headers)


async def _send_unframed(
    request: web.Request, headers: dict[str, str], size: int
) -> web.StreamResponse:
    """Write an answer that ends with its connection, which the library would send in chunks."""
    transport = request.transport
    assert transport is not None
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    transport.write(f"HTTP/1.1 200 OK\r\n{fields}\r\n".encode())
    for start in range(0, size, PIECE_BYTES):
        transport.write(b"x" * min(PIECE_BYTES, size - start))
        await request.protocol._drain_helper()
    transport.close()
    raise ConnectionResetError("the connection ends with the answer")


async def _send_heartbeat(state: ServerState, session: aiohttp.ClientSession) -> None:
    if state.faults.is_silent or state.faults.is_withdrawn:
        return
    state.sequence += 1
    await _send_message(state, session, "PUT", state.faults.state)
    if state.faults.old_heartbeat:
        await _send_message(state, session, "PUT", "ready", state.born_ms - 1000)


async def _send_message(
    state: ServerState,
    session: aiohttp.ClientSession,
    method: str,
    announced_state: str,
    born_ms: int | None = None,
) -> None:
    born = state.born_ms if born_ms is None else born_ms
    heartbeat: dict[str, Any] = {
        "Service": state.options.service,
        "Address": state.options.address,
        "Zone": state.options.data_centre,
        "Version": state.options.version,
        "Slots": state.options.slots,
        "State": announced_state,
        "ColdRemaining": f"{state.faults.cold_ms}ms",
        "Sequence": state.sequence,
        "born": born,
    }
    url = f"http://{state.options.daemon_server_address}/instances/i-{born}"
    body = heartbeat if method == "PUT" else None
    try:
        async with asyncio.timeout(1), session.request(method, url, json=body) as answer:
            if answer.status == 200:
                state.acknowledged.append(announced_state)
    except (aiohttp.ClientError, TimeoutError, OSError):
        return


async def _main(options: Options) -> None:
    state = ServerState(options, asyncio.Semaphore(options.slots))
    runner = web.AppRunner(make_app(state), handler_cancellation=True, access_log=None)
    await runner.setup()
    host, _, port = options.address.rpartition(":")
    await web.TCPSite(runner, host, int(port), backlog=1024).start()
    async with aiohttp.ClientSession() as session:
        while True:
            await _send_heartbeat(state, session)
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)


def main() -> None:
    """Run the server until the process is terminated."""
    asyncio.run(_main(read_options(__doc__, Options)))


if __name__ == "__main__":
    main()
