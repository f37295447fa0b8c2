"""Fake server with slots, a service time, and faults that real servers have.

It announces itself to its daemon, runs requests in its slots, and counts what it ran.

* Requests may have any method and path.  Query parameters are ``ms=`` (service time), ``bytes=``
  (size of the answer), ``nested=`` (a path to call through the daemon first) and ``crash=1`` (the
  process exits at once).
* ``PUT /_/faults`` replaces the injected faults, ``GET /_/runs`` returns what ran.  Both bypass the
  slots.

A request takes ``service_ms`` times a random factor, times ``slow_factor``, and while the server is
cold, times a factor that falls from ``cold_factor`` to 1 over ``cold_requests`` requests.  A cold
server with more than ``cold_bears`` requests in flight fails: it answers 500 to all for a second.
"""

import asyncio
import os
import random
from collections import Counter
from typing import Final

import aiohttp
import attrs
import msgspec
from aiohttp import web

from standins.options import read_options

ANNOUNCE_INTERVAL_SECONDS: Final = 0.5
OVERLOAD_FAILURE_SECONDS: Final = 1.0
CHUNK_BYTES: Final = 65_536


@attrs.define
class Faults:
    """Injected faults.

    :param state: state to announce, or empty for the actual one
    :param slow_factor: factor on every service time
    :param fail_fast: answer 500 at once
    :param shed: answer "not run" at once
    :param is_silent: send no announcements
    :param reported_in_flight: false load to report, or negative for the actual one
    :param turn_cold: become cold again, once
    :param cut_answers: break answers off before their end
    :param noise_ms: longest random delay of a request, as noisy neighbours cause it
    """

    state: str = ""
    slow_factor: float = 1.0
    fail_fast: bool = False
    shed: bool = False
    is_silent: bool = False
    reported_in_flight: int = -1
    turn_cold: bool = False
    cut_answers: bool = False
    noise_ms: float = 0.0


@attrs.frozen
class Options:
    """Command line options: identity and normal behaviour of the server."""

    service: str
    address: str
    daemon_server_address: str
    daemon_caller_address: str
    announced_address: str = ""
    slots: int = 6
    service_ms: float = 5.0
    cold_requests: int = 0
    cold_factor: float = 5.0
    cold_bears: int = 2
    seed: int = 1


@attrs.define
class ServerState:
    """State and counters of the running server.

    :param falls: requests that overloaded the server while it was cold
    :param cancelled: requests whose caller went away before the answer
    :param requests_since_cold: requests that have ended since the server started or turned cold
    :param failing_until: loop time until which requests get 500
    :param runs_by_id: executions by request id
    :param runs_by_path: executions by path
    :param bytes_by_id: size of the request body by request id
    """

    options: Options
    slots: asyncio.Semaphore
    rng: random.Random
    faults: Faults = attrs.field(factory=Faults)
    in_flight: int = 0
    max_in_flight: int = 0
    max_cold_in_flight: int = 0
    falls: int = 0
    cancelled: int = 0
    requests_since_cold: int = 0
    failing_until: float = 0.0
    runs_by_id: Counter[str] = attrs.field(factory=Counter)
    runs_by_path: Counter[str] = attrs.field(factory=Counter)
    bytes_by_id: dict[str, int] = attrs.field(factory=dict)

    @property
    def is_cold(self) -> bool:
        """Whether the server is still warming up."""
        return self.requests_since_cold < self.options.cold_requests


def make_app(state: ServerState) -> web.Application:
    """Return the server's HTTP application."""

    async def serve(request: web.Request) -> web.StreamResponse:
        return await _serve(state, request)

    async def set_faults(request: web.Request) -> web.Response:
        state.faults = msgspec.json.decode(await request.read(), type=Faults)
        if state.faults.turn_cold:
            state.requests_since_cold = 0
        await _announce(state)
        return web.Response()

    async def runs(_request: web.Request) -> web.Response:
        return web.json_response(
            {
                "runs_by_id": state.runs_by_id,
                "runs_by_path": state.runs_by_path,
                "bytes_by_id": state.bytes_by_id,
                "in_flight": state.in_flight,
                "max_in_flight": state.max_in_flight,
                "max_cold_in_flight": state.max_cold_in_flight,
                "falls": state.falls,
                "cancelled": state.cancelled,
            }
        )

    app = web.Application(client_max_size=2**40)
    app.router.add_put("/_/faults", set_faults)
    app.router.add_get("/_/runs", runs)
    app.router.add_route("*", "/{path:.*}", serve)
    return app


async def _serve(state: ServerState, request: web.Request) -> web.StreamResponse:
    faults = state.faults
    if faults.shed:
        return web.Response(status=503, headers={"Kingcuppond-Outcome": "not-run"})
    if faults.fail_fast or asyncio.get_running_loop().time() < state.failing_until:
        return web.Response(status=500, text="failed")
    request_id = request.headers.get("X-Id", "") or request.headers.get("Idempotency-Key", "")
    state.runs_by_id[request_id] += 1
    state.runs_by_path[request.path] += 1
    state.in_flight += 1
    state.max_in_flight = max(state.max_in_flight, state.in_flight)
    if state.is_cold:
        state.max_cold_in_flight = max(state.max_cold_in_flight, state.in_flight)
        if state.in_flight > state.options.cold_bears:
            state.falls += 1
            state.failing_until = asyncio.get_running_loop().time() + OVERLOAD_FAILURE_SECONDS
    try:
        async with state.slots:
            return await _process_request(state, request, request_id)
    except asyncio.CancelledError:
        state.cancelled += 1
        raise
    finally:
        state.in_flight -= 1
        state.requests_since_cold += 1


async def _process_request(
    state: ServerState, request: web.Request, request_id: str
) -> web.StreamResponse:
    size = 0
    async for chunk in request.content.iter_chunked(CHUNK_BYTES):
        size += len(chunk)
    state.bytes_by_id[request_id] = size
    if request.query.get("crash"):
        os._exit(1)
    service_ms = float(request.query.get("ms", state.options.service_ms))
    factor = state.faults.slow_factor * state.rng.uniform(0.5, 1.5)
    if state.is_cold:
        remaining_share = 1 - state.requests_since_cold / state.options.cold_requests
        factor *= 1 + (state.options.cold_factor - 1) * remaining_share
    await asyncio.sleep((service_ms * factor + state.rng.random() * state.faults.noise_ms) / 1000)
    nested = request.query.get("nested")
    nested_status = await _call_nested(state, request, nested) if nested else 0
    return await _send_answer(state, request, request_id, size, nested_status)


async def _send_answer(
    state: ServerState, request: web.Request, request_id: str, size: int, nested_status: int
) -> web.StreamResponse:
    bytes_left = int(request.query.get("bytes", 0))
    if not bytes_left:
        body = {"id": request_id, "path": request.path, "size": size, "nested": nested_status}
        headers = {"X-Server": state.options.address}
        response: web.StreamResponse = web.json_response(body, headers=headers)
        if state.faults.cut_answers:
            response.headers["Content-Length"] = "100000"
            return response
        return response
    response = web.StreamResponse(headers={"X-Id": request_id})
    response.enable_chunked_encoding()
    await response.prepare(request)
    padding = request_id.encode().ljust(CHUNK_BYTES, b".")
    while bytes_left > 0:
        await response.write(padding[:bytes_left])
        bytes_left -= CHUNK_BYTES
        if state.faults.cut_answers and request.transport is not None:
            request.transport.abort()
    await response.write_eof()
    return response


async def _call_nested(state: ServerState, request: web.Request, path: str) -> int:
    forwarded_headers = ("Kingcuppond-Deadline-Ms", "Kingcuppond-Depth", "Kingcuppond-Retry-Budget")
    headers = {name: request.headers[name] for name in forwarded_headers if name in request.headers}
    url = f"http://{state.options.daemon_caller_address}{path}"
    async with aiohttp.ClientSession() as session, session.get(url, headers=headers) as answer:
        await answer.read()
        return answer.status


async def _announce(state: ServerState) -> None:
    if state.faults.is_silent:
        return
    reported = state.faults.reported_in_flight
    announcement = {
        "service": state.options.service,
        "address": state.options.announced_address or state.options.address,
        "state": state.faults.state or ("cold" if state.is_cold else "warm"),
        "load": {
            "in_flight": state.in_flight if reported < 0 else reported,
            "slots": state.options.slots,
        },
    }
    url = f"http://{state.options.daemon_server_address}/v1/announcement"
    timeout = aiohttp.ClientTimeout(total=1)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.put(url, json=announcement) as answer,
        ):
            await answer.read()
    except (aiohttp.ClientError, TimeoutError):
        return


async def announce_forever(state: ServerState) -> None:
    """Announce the server about twice a second."""
    while True:
        await _announce(state)
        await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS * state.rng.uniform(0.8, 1.2))


async def start_http_server(state: ServerState) -> web.AppRunner:
    """Start the HTTP server in this process.

    :return: its runner, whose ``cleanup`` stops it
    """
    runner = web.AppRunner(make_app(state), handler_cancellation=True, access_log=None)
    await runner.setup()
    host, _, port = state.options.address.rpartition(":")
    await web.TCPSite(runner, host, int(port), backlog=1024).start()
    return runner


def make_state(options: Options) -> ServerState:
    """Return the initial state of a server."""
    return ServerState(options, asyncio.Semaphore(options.slots), random.Random(options.seed))


async def _main(options: Options) -> None:
    state = make_state(options)
    await start_http_server(state)
    await announce_forever(state)


def main() -> None:
    """Run the server until the process is terminated."""
    asyncio.run(_main(read_options(__doc__, Options)))


if __name__ == "__main__":
    main()
