"""Keeps the local server's reports about itself as fresh as admission decisions need them.

Servers share their machines, and their speed changes within milliseconds.  Each answer carries the
server's load at no extra cost.  Before a call is admitted on an older report, the health path is
queried, which a server answers at once; calls that wait for a report share one query.  While no
calls arrive, a slow periodic query keeps the report from becoming old, so that other daemons learn
in time that a server has become slow or cold.

Answers to calls don't tell whether the server is cold.  A busy server is therefore queried after a
few calls too, however fresh the report of its load is (see ``kingcuppond.gate.cold_rate_limiter``).
"""

import asyncio
from collections.abc import Callable
from typing import Final

import aiohttp
import attrs
from yarl import URL

from kingcuppond.clock import Clock
from kingcuppond.dialect import Headers, ServerLoad, ServerReport
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.gate.cold_rate_limiter import ColdRateLimiter
from kingcuppond.http_connections import forget_traceback
from kingcuppond.routing.call import InvalidAnswerError
from kingcuppond.routing.exchange import close_connection
from kingcuppond.streams import StreamTooLongError, read_limited

MAX_FRESH_AGE_SECONDS: Final = 0.03
"""A sixteenth of the half second for which a machine's speed usually stays the same."""

REFRESH_INTERVAL_SECONDS: Final = 1.0
"""Time between two queries while no other report arrives; a call that arrives queries at once."""

HEALTH_TIMEOUT_SECONDS: Final = 0.1
"""Timeout of a query on the same machine; about a hundred times the usual answer time."""

MAX_HEALTH_BYTES: Final = 65_536
"""Longest body of a health answer, of which only the head is used."""


@attrs.define
class ServerObserver:
    """The newest self-report of the server.

    :param health_path: returns the path to query, empty if there is none
    :param on_self_report: called with each report, and whether it came with a good health answer
    :param rate_limiter: knows whether the server may have become cold
    """

    session: aiohttp.ClientSession
    parse_server_report: Callable[[Headers], ServerReport]
    health_path: Callable[[], str]
    clock: Clock
    journal: Journal
    on_self_report: Callable[[ServerReport, bool], None]
    rate_limiter: ColdRateLimiter
    address: str = ""
    load: ServerLoad | None = None
    reported_at: float = float("-inf")
    queries: int = 0
    _refresh_task: "asyncio.Task[None] | None" = None

    @property
    def slowdown(self) -> float:
        """How long work takes at the server, as a multiple of the usual time."""
        return 1.0 if self.load is None else self.load.slowdown

    @property
    def age(self) -> float:
        """Seconds since the newest report of the load."""
        return self.clock.monotonic() - self.reported_at

    def record_report(self, headers: Headers, is_healthy: bool = False) -> None:
        """Store the self-report in the headers of an answer.

        :param is_healthy: whether the answer is a good one from the health path
        """
        self_report = self.parse_server_report(headers)
        if is_healthy and self_report.cold_ms is None:
            self_report = attrs.evolve(self_report, cold_ms=0)
        if self_report.load is not None:
            self.load = self_report.load
            self.reported_at = self.clock.monotonic()
        self.on_self_report(self_report, is_healthy)

    async def refresh(self) -> None:
        """Query the server if its report is old, or if it may have become cold.

        Without an address or a health path, nothing is queried.
        """
        is_load_old = self.age > MAX_FRESH_AGE_SECONDS
        if not (is_load_old or self.rate_limiter.is_check_due):
            return
        if not self.address or not self.health_path():
            return
        is_awaited = is_load_old or self.rate_limiter.is_check_overdue
        if self._refresh_task is None or self._refresh_task.done():
            self.rate_limiter.record_check()
            self._refresh_task = asyncio.create_task(self._query_health())
        if is_awaited:
            await asyncio.shield(self._refresh_task)

    def clear(self) -> None:
        """Drop the report, which no longer applies to the server."""
        self.load = None
        self.reported_at = float("-inf")

    async def run(self) -> None:
        """Query the server periodically, forever, while its report is old."""
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_SECONDS)
            if self.age > REFRESH_INTERVAL_SECONDS:
                await self.refresh()

    async def _query_health(self) -> None:
        self.queries += 1
        url = URL(f"http://{self.address}{self.health_path()}", encoded=True)
        try:
            async with (
                asyncio.timeout(HEALTH_TIMEOUT_SECONDS),
                self.session.get(url, allow_redirects=False) as answer,
            ):
                if self.parse_server_report(answer.headers).request_id:
                    close_connection(answer)
                    raise InvalidAnswerError("the answer belongs to an earlier call")
                await read_limited(MAX_HEALTH_BYTES, answer.content.readany)
        except (
            aiohttp.ClientError,
            InvalidAnswerError,
            StreamTooLongError,
            TimeoutError,
            OSError,
        ) as exc:
            forget_traceback(exc)
            # Not taken as a report; the calls themselves show whether the server is reachable.
            self.journal.record(
                catalogue.HEALTH_CHECK_FAILED, address=self.address, error=repr(exc)
            )
            return
        self.record_report(answer.headers, answer.status == 200)
