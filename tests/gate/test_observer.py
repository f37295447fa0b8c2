"""Only the answer to a health query is taken as the server's report about its health."""

import asyncio
import gc
from collections.abc import Callable

import aiohttp
import pytest

from kingcuppond.clock import Clock
from kingcuppond.dialect import ServerReport
from kingcuppond.events.journal import Journal
from kingcuppond.gate import observer
from kingcuppond.gate.cold_rate_limiter import DUE_SHARE, ColdRateLimiter
from kingcuppond.gate.observer import ServerObserver
from kingcuppond.platform.calls import PLATFORM_DIALECT
from kingcuppond.routing.exchange import open_session
from tests.gate.test_stale_refusals import answer, serving
from tests.routing.test_endless import assert_closed
from tests.routing.test_endless import serving as serving_endless
from tests.routing.test_truncated_heads import serving as cutting
from tests.servers import listening

HEALTHY = b"HTTP/1.1 200 OK\r\nX-Kingcuppond-Instance-Id: i\r\nX-Kingcuppond-Server-Load: 3,0,8\r\n"
HEALTHY_COLD = HEALTHY + b"X-Kingcuppond-Cold-Ms: 900\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture(autouse=True)
def long_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let no query time out on a busy machine."""
    monkeypatch.setattr(observer, "HEALTH_TIMEOUT_SECONDS", 5.0)


def make_observer(
    session: aiohttp.ClientSession,
    address: str,
    take_report: Callable[[ServerReport, bool], None] = lambda _report, _is_healthy: None,
    limiter: ColdRateLimiter | None = None,
) -> ServerObserver:
    clock = Clock()
    return ServerObserver(
        session,
        PLATFORM_DIALECT.parse_server_report,
        lambda: "/health",
        clock,
        Journal("vm-1", clock),
        take_report,
        limiter or ColdRateLimiter(lambda: None, clock.monotonic),
        address,
    )


async def query(
    address: str, times: int, shared_session: aiohttp.ClientSession | None = None
) -> list[tuple[ServerReport, bool]]:
    """Return the reports that the queries led to, and whether each was a good one."""
    reports: list[tuple[ServerReport, bool]] = []
    session = shared_session or open_session()
    server_observer = make_observer(
        session, address, lambda report, is_healthy: reports.append((report, is_healthy))
    )
    for _ in range(times):
        server_observer.clear()
        await server_observer.refresh()
    if shared_session is None:
        await session.close()
    return reports


async def test_answer_to_a_call_is_no_health_report() -> None:
    """It says nothing of being cold, so that a cold server would get the full load."""
    stale = answer("a")
    async with serving([HEALTHY_COLD], [stale, HEALTHY_COLD]) as server:
        reports = await query(server.address, times=2)
        assert [(report.cold_ms, is_healthy) for report, is_healthy in reports] == [(900, True)]


@pytest.mark.usefixtures("no_collector")
async def test_a_truncated_answer_is_freed() -> None:
    """Guards against answers that break off and stay in memory until the collector runs."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n"

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + bytes(30_000))
        await writer.drain()

    async with listening(serve) as address:
        assert await query(address, times=1) == []
        assert not any(isinstance(item, aiohttp.ClientResponse) for item in gc.get_objects())


async def test_query_after_the_answer_to_a_call_gets_a_new_connection() -> None:
    """On the old one, the late health answer would be read as the answer to a call."""
    async with serving([answer("a")]) as server:
        session = open_session()
        assert await query(server.address, 1, session) == []
        server.pieces_by_request = [[HEALTHY_COLD]]
        assert len(await query(server.address, 1, session)) == 1
        assert server.connections == 2
        await session.close()


async def test_cut_health_answer_is_no_report() -> None:
    async with cutting() as server:
        for cut in range(len(HEALTHY_COLD)):
            server.answer = HEALTHY_COLD[:cut]
            assert await query(server.address, times=1) == []
        server.answer = HEALTHY_COLD
        assert len(await query(server.address, times=1)) == 1


async def test_health_answer_without_end_takes_no_memory() -> None:
    """It was held in memory until the query's timeout."""
    head = HEALTHY + b"Transfer-Encoding: chunked\r\n\r\n"
    async with serving_endless(head, b"10000\r\n" + b"x" * 65_536 + b"\r\n") as server:
        assert await asyncio.wait_for(query(server.address, times=1), 3.0) == []
        await assert_closed(server, 1.0)


WARM = HEALTHY + b"X-Kingcuppond-Cold-Ms: 0\r\nContent-Length: 0\r\n\r\n"
LOAD = {"X-Kingcuppond-Server-Load": "3,0,8"}
COLD_PER_SECOND = 7.1
MAX_COLD_STARTS = COLD_PER_SECOND * 1.5 + 5
"""What the users' platform allows a cold server within one second."""


@pytest.mark.parametrize("per_second", [30, 100, 400])
async def test_a_busy_server_that_becomes_cold_is_asked_in_time(per_second: int) -> None:
    """Guards against the full load for a cold server whose answers to calls tell its load only."""
    health = WARM

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(health)
            await writer.drain()

    clock = Clock()
    limiter = ColdRateLimiter(lambda: COLD_PER_SECOND, clock.monotonic)

    def take_report(report: ServerReport, _is_healthy: bool) -> None:
        if report.cold_ms is not None:
            limiter.set_cold_ms(report.cold_ms)

    session = open_session()
    async with listening(serve) as address:
        server_observer = make_observer(session, address, take_report, limiter)
        started_at = []
        for call in range(per_second * 2):
            if call == per_second:
                health = HEALTHY_COLD
                turned_cold_at = clock.monotonic()
            server_observer.record_report(LOAD)
            await server_observer.refresh()
            if limiter.may_start():
                limiter.record_start()
                started_at.append(clock.monotonic())
            await asyncio.sleep(1 / per_second)
        await session.close()
    while_cold = [at for at in started_at if turned_cold_at <= at < turned_cold_at + 0.9]
    assert len(started_at) > per_second / 2, "the server is busy before it becomes cold"
    assert len(while_cold) <= MAX_COLD_STARTS
    assert server_observer.queries < len(started_at), "not each call costs a query"


@pytest.mark.parametrize("cold_per_second", [0.0, 0.4, 1.0, 7.1])
async def test_queries_of_a_busy_server_are_bounded(cold_per_second: float) -> None:
    """Guards against a query before each call where a cold server handles few of them."""
    queries_per_second = 60
    clock = Clock()
    limiter = ColdRateLimiter(lambda: cold_per_second, clock.monotonic)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(WARM)
            await writer.drain()

    session = open_session()
    async with listening(serve) as address:
        server_observer = make_observer(session, address, limiter=limiter)
        started = clock.monotonic()
        while clock.monotonic() < started + 1.0:
            server_observer.record_report(LOAD)
            await server_observer.refresh()
            limiter.record_start()
            await asyncio.sleep(0.002)
        seconds = clock.monotonic() - started
        await session.close()
    assert server_observer.queries <= queries_per_second * seconds


async def test_calls_do_not_wait_for_a_server_that_answers_no_health_query() -> None:
    """Each query may take long; one that fails is not repeated before each call."""
    clock = Clock()
    limiter = ColdRateLimiter(lambda: COLD_PER_SECOND, clock.monotonic)
    session = open_session()
    server_observer = make_observer(session, "127.0.0.1:9", limiter=limiter)
    for _ in range(100):
        server_observer.record_report(LOAD)
        await server_observer.refresh()
        limiter.record_start()
        await asyncio.sleep(0.005)
    assert 1 < server_observer.queries <= 100 / (COLD_PER_SECOND * DUE_SHARE)
    await asyncio.sleep(0.1)
    await session.close()
