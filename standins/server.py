"""A stand-in for a server: slots, a service time, and the faults that real ones have.

It announces itself to its daemon, runs requests in its slots, and counts what it ran.

* Requests: any method and path.  The query may say ``ms=`` (service time), ``bytes=`` (size of the
  answer), ``nested=`` (a path to call through the daemon first) and ``crash=1`` (the process dies).
* ``PUT /_/faults`` sets the faults, ``GET /_/runs`` tells what ran.  Both bypass the slots.

The model of speed: a request takes ``service_ms`` times a random factor, times ``slow_factor``,
and times ``cold_factor`` while cold, which fades over ``cold_requests`` requests.  A cold server
that gets more than ``cold_bears`` requests at once falls over: it answers 500 to all for a second.
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

ANNOUNCE_SECONDS: Final = 0.5
FALLEN_SECONDS: Final = 1.0
CHUNK_BYTES: Final = 65_536


@attrs.define
class Faults:
    """The faults that are on.

    :param state: what the server announces, or empty for the truth
    :param slow_factor: multiplies every service time
    :param fail_fast: answer 500 at once
    :param shed: answer "not run" at once
    :param is_silent: make no announcements
    :param reported_in_flight: a false load to report, or negative for the truth
    :param turn_cold: become cold again, once
    :param cut_answers: break answers off in the middle
    :param noise_ms: every request waits up to so long behind noisy neighbours
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
    """How the server behaves when nothing is wrong."""

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
    """What the server knows of itself."""

    options: Options
    slots: asyncio.Semaphore
    rng: random.Random
    faults: Faults = attrs.field(factory=Faults)
    in_flight: int = 0
    max_in_flight: int = 0
    max_cold_in_flight: int = 0
    falls: int = 0
    cancelled: int = 0
    warmth: int = 0
    fallen_until: float = 0.0
    runs_by_id: Counter[str] = attrs.field(factory=Counter)
    runs_by_path: Counter[str] = attrs.field(factory=Counter)
    bytes_by_id: dict[str, int] = attrs.field(factory=dict)

    @property
    def is_cold(self) -> bool:
        """Whether the server is in its cold start."""
        return self.warmth < self.options.cold_requests


def make_app(state: ServerState) -> web.Application:
    """Make the server's HTTP application."""

    async def serve(request: web.Request) -> web.StreamResponse:
        return await _serve(state, request)

    async def set_faults(request: web.Request) -> web.Response:
        state.faults = msgspec.json.decode(await request.read(), type=Faults)
        if state.faults.turn_cold:
            state.warmth = 0
        await _announce_once(state)
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
    if faults.fail_fast or asyncio.get_running_loop().time() < state.fallen_until:
        return web.Response(status=500, text="failed")
    name = request.headers.get("X-Id", "") or request.headers.get("Idempotency-Key", "")
    state.runs_by_id[name] += 1
    state.runs_by_path[request.path] += 1
    state.in_flight += 1
    state.max_in_flight = max(state.max_in_flight, state.in_flight)
    if state.is_cold:
        state.max_cold_in_flight = max(state.max_cold_in_flight, state.in_flight)
        if state.in_flight > state.options.cold_bears:
            state.falls += 1
            state.fallen_until = asyncio.get_running_loop().time() + FALLEN_SECONDS
    try:
        async with state.slots:
            return await _run(state, request, name)
    except asyncio.CancelledError:
        state.cancelled += 1
        raise
    finally:
        state.in_flight -= 1
        state.warmth += 1


async def _run(state: ServerState, request: web.Request, name: str) -> web.StreamResponse:
    size = 0
    async for chunk in request.content.iter_chunked(CHUNK_BYTES):
        size += len(chunk)
    state.bytes_by_id[name] = size
    if request.query.get("crash"):
        os._exit(1)
    service_ms = float(request.query.get("ms", state.options.service_ms))
    factor = state.faults.slow_factor * state.rng.uniform(0.5, 1.5)
    if state.is_cold:
        left = 1 - state.warmth / state.options.cold_requests
        factor *= 1 + (state.options.cold_factor - 1) * left
    await asyncio.sleep((service_ms * factor + state.rng.random() * state.faults.noise_ms) / 1000)
    nested = request.query.get("nested")
    nested_status = await _call_nested(state, request, nested) if nested else 0
    return await _answer(state, request, name, size, nested_status)


async def _answer(
    state: ServerState, request: web.Request, name: str, size: int, nested_status: int
) -> web.StreamResponse:
    length = int(request.query.get("bytes", 0))
    if not length:
        body = {"id": name, "path": request.path, "size": size, "nested": nested_status}
        headers = {"X-Server": state.options.address}
        response: web.StreamResponse = web.json_response(body, headers=headers)
        if state.faults.cut_answers:
            response.headers["Content-Length"] = "100000"
            return response
        return response
    response = web.StreamResponse(headers={"X-Id": name})
    response.enable_chunked_encoding()
    await response.prepare(request)
    block = name.encode().ljust(CHUNK_BYTES, b".")
    while length > 0:
        await response.write(block[:length])
        length -= CHUNK_BYTES
        if state.faults.cut_answers and request.transport is not None:
            request.transport.abort()
    await response.write_eof()
    return response


async def _call_nested(state: ServerState, request: web.Request, path: str) -> int:
    passed = ("Kingcuppond-Deadline-Ms", "Kingcuppond-Depth", "Kingcuppond-Retry-Budget")
    headers = {name: request.headers[name] for name in passed if name in request.headers}
    url = f"http://{state.options.daemon_caller_address}{path}"
    async with aiohttp.ClientSession() as session, session.get(url, headers=headers) as answer:
        await answer.read()
        return answer.status


async def _announce_once(state: ServerState) -> None:
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
        await _announce_once(state)
        await asyncio.sleep(ANNOUNCE_SECONDS * state.rng.uniform(0.8, 1.2))


async def run_server(state: ServerState) -> web.AppRunner:
    """Start the server in this process; ``cleanup`` of the runner ends it."""
    runner = web.AppRunner(make_app(state), handler_cancellation=True, access_log=None)
    await runner.setup()
    host, _, port = state.options.address.rpartition(":")
    await web.TCPSite(runner, host, int(port), backlog=1024).start()
    return runner


def make_state(options: Options) -> ServerState:
    """Make the state of a server."""
    return ServerState(options, asyncio.Semaphore(options.slots), random.Random(options.seed))


async def _main(options: Options) -> None:
    state = make_state(options)
    await run_server(state)
    await announce_forever(state)


def main() -> None:
    """Run the stand-in until it is ended."""
    asyncio.run(_main(read_options(__doc__, Options)))


if __name__ == "__main__":
    main()
