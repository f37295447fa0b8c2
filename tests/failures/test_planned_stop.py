"""A planned stop with a time limit loses no request, with real processes and stand-ins.

As on the users' platform, a daemon that is still there at the end of its time is killed.
"""

import asyncio
import itertools
import signal
import time
from collections.abc import Iterator
from typing import Any

import aiohttp
import attrs
import pytest

from standins.fleet import Fleet, plan_service
from tests.failures.test_platform import HOST, VM_NAMES, configure, runs_of, send
from tests.failures.test_settings import read_settings, write_settings

PLANS = plan_service("shop", {"dc-1": 2, "dc-2": 1}, "--slots", "32")
KILL_SECONDS = 6.0
FULL_WAIT_SECONDS = 5.0
HANDLED_AFTER_SECONDS = 0.8
HELD_CALLERS = 32
LOG_CHARACTERS = 4000
SERVICE_MS = 1500
TIMEOUT_MS = 2000
STOPPING = VM_NAMES[0]
_IDS = itertools.count(1)


@attrs.frozen
class Reply:
    """What a caller saw.

    :param sent_at: seconds after SIGTERM
    :param status: HTTP status, or 0 if the connection was refused or broke
    :param runs: how often the request ran
    """

    id: str
    sent_at: float
    status: int
    is_closing: bool
    seconds: float
    runs: int

    @property
    def is_cut(self) -> bool:
        """Whether it ran and was given up before its deadline."""
        return bool(self.runs) and self.status != 200 and self.seconds < TIMEOUT_MS / 1000


@attrs.define
class Caller:
    """A caller with a connection of its own, which may have been opened before SIGTERM."""

    fleet: Fleet
    session: aiohttp.ClientSession

    async def send(self, method: str, path: str, deadline_ms: int = TIMEOUT_MS) -> tuple[str, int]:
        reply = await self.send_at(time.monotonic(), 0.0, method, path, deadline_ms)
        return reply.id, reply.status

    async def send_at(
        self, stopped_at: float, after: float, method: str, path: str, deadline_ms: int = TIMEOUT_MS
    ) -> Reply:
        request_id = f"stop-{next(_IDS)}"
        headers = {
            "Host": HOST,
            "X-Kingcuppond-Attempt-Id": request_id,
            "X-Kingcuppond-Deadline-Ms": str(deadline_ms),
        }
        await asyncio.sleep(max(0.0, stopped_at + after - time.monotonic()))
        started = time.monotonic()
        address = self.fleet.vms_by_name[STOPPING].caller
        data = b"body" if method == "POST" else None
        try:
            async with self.session.request(
                method, f"http://{address}{path}", headers=headers, data=data
            ) as response:
                await response.read()
                status = response.status
                is_closing = response.headers.get("Connection", "").lower() == "close"
        except (aiohttp.ClientError, OSError):
            status, is_closing = 0, True
        seconds = time.monotonic() - started
        runs = await asyncio.to_thread(runs_of, self.fleet, request_id)
        return Reply(request_id, started - stopped_at, status, is_closing, seconds, runs)


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with Fleet(PLANS, is_on_platform=True, log_level="debug") as running:
        configure(running)
        running.wait_until_ready()
        yield running


async def stop_as_the_platform_does(fleet: Fleet, stopped_at: float) -> None:
    """Send SIGTERM; the daemon must have exited before it would be killed."""
    fleet.signal(STOPPING, "daemon", signal.SIGTERM)
    process = fleet.vms_by_name[STOPPING].processes_by_role["daemon"]
    while time.monotonic() < stopped_at + KILL_SECONDS:
        if process.poll() is not None:
            return
        await asyncio.sleep(0.02)
    fleet.kill(STOPPING, "daemon")
    pytest.fail(f"the daemon had to be killed: {fleet.log(STOPPING, 'daemon')[-LOG_CHARACTERS:]}")


async def test_a_request_that_outlasts_a_planned_stop_is_answered(fleet: Fleet) -> None:
    """The daemon waited for it beyond its time limit, and was killed before it had answered."""
    configure(fleet, 2, Timeout="20000ms", Kind="unsafe")
    await asyncio.sleep(1.0)
    callers = [await open_caller(fleet, is_kept) for is_kept in (True, False)]
    stopped_at = time.monotonic()
    calls = [
        caller.send_at(stopped_at, 1.0, "GET", "/read/1?ms=9000", 15_000) for caller in callers
    ]
    replies, _ = await asyncio.gather(
        asyncio.gather(*calls), stop_as_the_platform_does(fleet, stopped_at)
    )
    for caller in callers:
        await caller.session.close()
    assert [(reply.status, reply.runs, reply.is_closing) for reply in replies] == [
        (502, 1, True),
        (502, 1, True),
    ], "they ran, so their outcome is unknown"
    assert all(reply.sent_at + reply.seconds > FULL_WAIT_SECONDS for reply in replies)


async def test_a_request_that_was_sent_to_no_server_by_the_end_is_told_so() -> None:
    """It waited for a slot, and was told that it may have run, so that it may not be repeated."""
    plans = plan_service("shop", {"dc-1": 2, "dc-2": 1}, "--slots", "1")
    with Fleet(plans, is_on_platform=True, log_level="debug") as fleet:
        configure(fleet, Timeout="20000ms", Kind="unsafe")
        fleet.wait_until_ready()
        other = fleet.vms_by_name[plans[1].name].caller
        path = "/read/1?ms=9000"
        busy: list[asyncio.Task[Any]] = []
        async with asyncio.timeout(10):
            while idle := [it for it in plans if not fleet.runs(it.name)["in_flight"]]:
                busy += [asyncio.create_task(send(other, path, deadline_ms=15_000)) for _ in idle]
                await asyncio.sleep(0.5)
        caller = await open_caller(fleet, is_kept=False)
        stopped_at = time.monotonic()
        reply, _ = await asyncio.gather(
            caller.send_at(stopped_at, 1.0, "POST", path, 15_000),
            stop_as_the_platform_does(fleet, stopped_at),
        )
        await caller.session.close()
        assert (reply.status, reply.runs, reply.is_closing) == (503, 0, True)
        assert reply.sent_at + reply.seconds > FULL_WAIT_SECONDS
        for call in busy:
            call.cancel()


async def test_a_request_that_never_arrives_whole_does_not_delay_the_exit(fleet: Fleet) -> None:
    """The close waited seconds for its handler, so that the daemon was killed."""
    configure(fleet, 2, Timeout="20000ms")
    await asyncio.sleep(1.0)
    host, port = fleet.vms_by_name[STOPPING].caller.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST /read/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Kingcuppond-Attempt-Id: half\r\n"
    writer.write(f"{head}X-Kingcuppond-Deadline-Ms: 15000\r\nContent-Length: 9\r\n\r\nb".encode())
    await writer.drain()
    await stop_as_the_platform_does(fleet, time.monotonic())
    assert (await reader.read()).startswith(b"HTTP/1.1 503 "), "it has certainly not run"
    writer.close()


async def open_caller(fleet: Fleet, is_kept: bool) -> Caller:
    timeout = aiohttp.ClientTimeout(total=20)
    caller = Caller(fleet, aiohttp.ClientSession(timeout=timeout))
    caller.session._retry_connection = False
    if is_kept:
        _, status = await caller.send("GET", "/read/1")
        assert status == 200
    return caller


async def test_late_requests_of_a_planned_stop_are_not_sent_and_cut(fleet: Fleet) -> None:
    """Requests that came late in the grace period were sent to a server and cut at its end."""
    moments = [1.5, 2.4, 2.8, 3.2, 3.6, 4.0, 4.4, 4.8, 5.0, 5.2]
    kinds = [("GET", "/read"), ("POST", "/book")]
    cases = [(*kind, is_kept) for kind in kinds for is_kept in (True, False)]
    callers = {
        (at, case): await open_caller(fleet, case[2])
        for at, case in itertools.product(moments, cases)
    }
    stopped_at = time.monotonic()
    calls = [
        caller.send_at(stopped_at, at, case[0], f"{case[1]}/1?ms={SERVICE_MS}")
        for (at, case), caller in callers.items()
    ]
    replies, _ = await asyncio.gather(
        asyncio.gather(*calls), stop_as_the_platform_does(fleet, stopped_at)
    )
    for caller in callers.values():
        await caller.session.close()
    assert [reply for reply in replies if reply.is_cut] == []
    assert {reply.status for reply in replies if not reply.runs} <= {0, 503}
    early = [reply for reply in replies if reply.sent_at < 2.5]
    assert {reply.status for reply in early} == {200}, "callers have not noticed yet"
    assert all(reply.is_closing for reply in replies)


async def test_a_late_request_is_not_sent_and_cut_if_the_signal_is_handled_late(
    fleet: Fleet,
) -> None:
    """The time in which callers are served as usual began when the signal was handled."""
    configure(fleet, 2, Timeout="20000ms", Kind="unsafe")
    await asyncio.sleep(1.0)
    caller = await open_caller(fleet, is_kept=True)
    fleet.signal(STOPPING, "daemon", signal.SIGSTOP)
    stopped_at = time.monotonic()
    fleet.signal(STOPPING, "daemon", signal.SIGTERM)
    await asyncio.sleep(HANDLED_AFTER_SECONDS)
    fleet.signal(STOPPING, "daemon", signal.SIGCONT)
    reply, _ = await asyncio.gather(
        caller.send_at(stopped_at, 3.2, "POST", "/read/1?ms=9000", 15_000),
        stop_as_the_platform_does(fleet, stopped_at),
    )
    await caller.session.close()
    assert (reply.status, reply.runs) == (503, 0)


@pytest.mark.parametrize(
    ("is_kept", "is_busy", "held_at", "held_until"),
    [(True, False, 3.1, 3.6), (True, True, 4.9, 5.15), (False, True, 4.3, 4.6)],
    ids=["open connection, idle daemon", "open connection, at the end", "new connection"],
)
async def test_requests_that_arrive_while_the_process_is_held_up_are_answered(
    fleet: Fleet, is_kept: bool, is_busy: bool, held_at: float, held_until: float
) -> None:
    """Connections were closed before what had arrived meanwhile was read."""
    configure(fleet, 2, Timeout="20000ms", Kind="unsafe")
    await asyncio.sleep(1.0)
    callers = [await open_caller(fleet, is_kept) for _ in range(HELD_CALLERS)]
    other = await open_caller(fleet, is_kept=True)
    stopped_at = time.monotonic()

    async def hold_up() -> None:
        await asyncio.sleep(stopped_at + held_at - time.monotonic())
        fleet.signal(STOPPING, "daemon", signal.SIGSTOP)
        await asyncio.sleep(stopped_at + held_until - time.monotonic())
        fleet.signal(STOPPING, "daemon", signal.SIGCONT)

    service_ms = 9000 if is_busy else 1
    calls = [
        caller.send_at(stopped_at, held_at + 0.05, "POST", "/read/1?ms=3000", 15_000)
        for caller in callers
    ]
    replies, _, _, _ = await asyncio.gather(
        asyncio.gather(*calls),
        other.send_at(stopped_at, 0.1, "POST", f"/read/1?ms={service_ms}", 15_000),
        stop_as_the_platform_does(fleet, stopped_at),
        hold_up(),
    )
    for caller in [*callers, other]:
        await caller.session.close()
    seen = [(reply.status, reply.runs, reply.is_closing) for reply in replies]
    assert seen == [(503, 0, True)] * HELD_CALLERS


async def send_pipelined(fleet: Fleet, paths: list[str]) -> list[tuple[int, bool]]:
    """Send requests at once on one connection, and stop the daemon meanwhile.

    :return: status of each answer, and whether it announces the close of the connection
    """
    host, port = fleet.vms_by_name[STOPPING].caller.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for path in paths:
        head = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Kingcuppond-Deadline-Ms: 15000\r\n"
        writer.write(f"{head}X-Kingcuppond-Attempt-Id: stop-{next(_IDS)}\r\n\r\n".encode())
    await asyncio.sleep(0.2)
    received, _ = await asyncio.gather(
        reader.read(-1), stop_as_the_platform_does(fleet, time.monotonic())
    )
    writer.close()
    heads = received.decode().split("HTTP/1.1 ")[1:]
    return [(int(head[:3]), "connection: close" in head.lower()) for head in heads]


async def test_pipelined_requests_are_answered_in_a_planned_stop(fleet: Fleet) -> None:
    """What was read behind the request in progress was dropped with the connection."""
    assert await send_pipelined(fleet, ["/read/1?ms=400"] * 3) == [
        (200, False),
        (200, False),
        (200, True),
    ]


async def test_pipelined_requests_are_answered_at_the_end_of_a_planned_stop(fleet: Fleet) -> None:
    """A request that waited behind one that is given up was dropped with the connection."""
    configure(fleet, 2, Timeout="20000ms")
    await asyncio.sleep(1.0)
    assert await send_pipelined(fleet, ["/read/1?ms=9000", "/read/1"]) == [
        (502, False),
        (503, True),
    ], "the second one has not run"


async def test_signals_and_a_configuration_during_a_planned_stop_cut_no_request(
    fleet: Fleet,
) -> None:
    """A reload, a new configuration and a second SIGTERM do not shorten the grace period."""
    callers = [await open_caller(fleet, is_kept=True) for _ in range(9)]
    stopped_at = time.monotonic() + 0.6
    calls = [
        caller.send_at(stopped_at, -0.6 + 0.2 * i, "POST", f"/book/1?ms={SERVICE_MS}")
        for i, caller in enumerate(callers)
    ]
    replies = asyncio.gather(*calls)
    daemon = fleet.vms_by_name[STOPPING].processes_by_role["daemon"]
    settings = fleet.vms_by_name[STOPPING].settings
    await asyncio.sleep(0.5)
    write_settings(settings, read_settings(settings) | {"server_silent_ms": 4321})
    daemon.send_signal(signal.SIGHUP)
    await asyncio.to_thread(configure, fleet, 2, Timeout="1900ms")
    await asyncio.sleep(max(0.0, stopped_at - time.monotonic()))
    daemon.send_signal(signal.SIGHUP)
    stopping = asyncio.create_task(stop_as_the_platform_does(fleet, stopped_at))
    await asyncio.sleep(0.3)
    daemon.send_signal(signal.SIGHUP)
    daemon.send_signal(signal.SIGTERM)
    await asyncio.to_thread(configure, fleet, 3, Timeout="1800ms")
    await asyncio.sleep(0.5)
    daemon.send_signal(signal.SIGINT)
    assert [(reply.status, reply.runs) for reply in await replies] == [(200, 1)] * len(calls)
    await stopping
    for caller in callers:
        await caller.session.close()


async def test_a_planned_stop_beside_the_server_cuts_no_relayed_call(fleet: Fleet) -> None:
    """The other daemons' calls at the server of the stopping one end in its grace period."""
    other = VM_NAMES[1]
    address = fleet.vms_by_name[other].caller
    calls = [
        asyncio.create_task(send(address, f"/book/{i}?ms={SERVICE_MS}", "POST")) for i in range(24)
    ]
    await asyncio.sleep(0.4)
    assert fleet.runs(STOPPING)["in_flight"] > 0, "some of them were relayed"
    await stop_as_the_platform_does(fleet, time.monotonic())
    replies = await asyncio.gather(*calls)
    assert [reply for reply in replies if reply.status != 200] == []


@pytest.mark.parametrize("after_listening_seconds", [0.0, 0.01, 0.05, 0.2])
async def test_a_stop_while_a_daemon_starts_leaves_no_request_unanswered(
    fleet: Fleet, after_listening_seconds: float
) -> None:
    fleet.kill(STOPPING, "daemon")
    fleet.start_daemon(STOPPING)
    host, port = fleet.vms_by_name[STOPPING].caller.split(":")
    end = time.monotonic() + 10.0
    while True:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            break
        except OSError:
            assert time.monotonic() < end
            await asyncio.sleep(0.001)
    request_id = f"stop-{next(_IDS)}"
    head = f"POST /book/1?ms=300 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 1\r\n"
    writer.write(f"{head}X-Kingcuppond-Attempt-Id: {request_id}\r\n\r\nb".encode())
    await asyncio.sleep(after_listening_seconds)
    received, _ = await asyncio.gather(
        reader.read(-1), stop_as_the_platform_does(fleet, time.monotonic())
    )
    writer.close()
    runs = await asyncio.to_thread(runs_of, fleet, request_id)
    assert (received[:13], runs) in [(b"HTTP/1.1 503 ", 0), (b"HTTP/1.1 200 ", 1)]
