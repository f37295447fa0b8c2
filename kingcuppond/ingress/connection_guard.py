"""The accepted connections of a daemon, on all its ports, and their limits.

A connection that exceeds a limit of its own is closed at once.  If the connections together exceed
a limit, some are closed (see :mod:`kingcuppond.ingress.connection_limits`).  What was closed and
why is counted, and reported in one event for each port and reason, at most every few seconds.
"""

import asyncio
import resource
from collections import Counter as Tally
from collections.abc import Callable
from enum import StrEnum
from typing import Final, Protocol

import attrs
from prometheus_client import CollectorRegistry, Counter, Gauge

from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.ingress.connection_limits import (
    TICK_SECONDS,
    ConnectionLimits,
    ConnectionView,
    choose_connections_to_close,
    choose_connections_to_shed,
)

PORTS_FOR_CALLS: Final = ("caller_address", "relay_address", "")
"""Keys of the addresses for calls; empty for a server outside a daemon."""

REPORT_TICKS: Final = 5
"""Ticks between two reports of closed connections."""


CLOSED_PART: Final = 16
"""This part of the allowed connections is closed at once, as the choice looks at each of them."""

RECHECK_PART: Final = 16
"""All connections are looked at again once this part of the allowed bytes has been added."""


class CloseReason(StrEnum):
    """Why a connection was closed; the values are labels of a metric."""

    COUNT = "connections"
    BYTES = "bytes"
    HEAD_BYTES = "head-bytes"
    HEAD_TIME = "head-time"
    UNREAD = "unread"


class GuardedConnection(Protocol):
    """What the guard needs of a connection."""

    @property
    def port(self) -> str:
        """Return the key of its address in the settings."""

    def view(self) -> ConnectionView:
        """Return its present state."""

    def abort(self) -> None:
        """Close it without sending what is buffered."""

    def tick(self, limits: ConnectionLimits) -> CloseReason | None:
        """Count a tick, and return why it must be closed, if so."""


def _discard(_port: str, _reason: CloseReason, _count: int) -> None:
    """Report nothing; the default for servers outside a daemon."""


@attrs.define
class ConnectionGuard:
    """Enforces the limits of all connections of a daemon.

    :param report: called with the port, the reason and the number of connections that were closed
    :ivar buffered_bytes: bytes in the buffers of all connections, at most: bytes that were taken
        out since the last event of their connection are included
    :ivar closed: numbers of connections that were closed, by port and reason
    """

    limits: ConnectionLimits = attrs.field(factory=ConnectionLimits)
    report: Callable[[str, CloseReason, int], None] = _discard
    buffered_bytes: int = 0
    closed: Tally[tuple[str, CloseReason]] = attrs.field(factory=Tally)
    _reported: Tally[tuple[str, CloseReason]] = attrs.field(factory=Tally)
    _trusted: set[int] = attrs.field(factory=set)
    _connections: dict[int, GuardedConnection] = attrs.field(factory=dict)
    _bytes_by_number: dict[int, int] = attrs.field(factory=dict)
    _count_by_port: Tally[str] = attrs.field(factory=Tally)
    _closing_bytes_by_number: dict[int, int] = attrs.field(factory=dict)
    _bytes_to_check: int = 0
    _last_number: int = 0
    _ticks: int = 0
    _timer: asyncio.TimerHandle | None = None

    @property
    def count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    @property
    def is_tight(self) -> bool:
        """Whether more than half of the allowed bytes is held, also for connections that close."""
        held = self.buffered_bytes + sum(self._closing_bytes_by_number.values())
        return held > self.limits.max_buffered_bytes // 2

    def add(self, connection: GuardedConnection) -> int:
        """Add a connection that was accepted, and close another one if there are too many.

        If no other one may be closed, the new one is.

        :return: its number
        """
        self._last_number = number = self._last_number + 1
        port = connection.port
        if self._count_by_port[port] >= self.limits.max_on_port(port in PORTS_FOR_CALLS):
            self._make_room(connection, port)
        elif self.count - len(self._trusted) >= self.limits.max_connections:
            self._make_room(connection, None)
        self._connections[number] = connection
        self._bytes_by_number[number] = 0
        self._count_by_port[port] += 1
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TICK_SECONDS, self._tick)
        return number

    def trust(self, number: int) -> None:
        """Take a connection out of the limits of their number."""
        connection = self._connections.get(number)
        if connection is not None:
            self._trusted.add(number)
            self._count_by_port[connection.port] -= 1

    def remove(self, number: int) -> None:
        """Remove a connection that was lost; nothing is held for it any more."""
        self._forget(number)
        self._closing_bytes_by_number.pop(number, None)

    def set_bytes(self, number: int, count: int) -> None:
        """Record the bytes in the buffers of a connection, and close some if there are too many."""
        if number not in self._connections:
            return
        self._update(number, count)
        max_bytes = self.limits.max_buffered_bytes
        if self.buffered_bytes <= max(max_bytes, self._bytes_to_check):
            return
        views = [connection.view() for connection in self._connections.values()]
        for view in views:
            self._update(view.number, view.bytes)
        for view in choose_connections_to_shed(views, max_bytes):
            self.close(view.number, CloseReason.BYTES)
        # Not all may be closed, and a look at each of them is not due for each event of one.
        self._bytes_to_check = self.buffered_bytes + max_bytes // RECHECK_PART

    def close(self, number: int, reason: CloseReason) -> None:
        """Close a connection, and count it."""
        connection = self._connections.get(number)
        if connection is not None:
            self.count_closed(connection.port, reason)
            self._closing_bytes_by_number[number] = self._bytes_by_number[number]
            self._forget(number)
            connection.abort()

    def count_closed(self, port: str, reason: CloseReason) -> None:
        """Count a connection of a port that exceeds a limit."""
        self.closed[port, reason] += 1

    def _forget(self, number: int) -> None:
        connection = self._connections.pop(number, None)
        if connection is None:
            return
        self.buffered_bytes -= self._bytes_by_number.pop(number)
        if number in self._trusted:
            self._trusted.remove(number)
        else:
            self._count_by_port[connection.port] -= 1

    def _update(self, number: int, count: int) -> None:
        self.buffered_bytes += count - self._bytes_by_number[number]
        self._bytes_by_number[number] = count

    def _make_room(self, newcomer: GuardedConnection, port: str | None) -> None:
        """Close connections, of one port or of any, and else the new one."""
        views = (
            connection.view()
            for connection in self._connections.values()
            if port is None or connection.port == port
        )
        chosen = choose_connections_to_close(views, self.limits.max_connections // CLOSED_PART)
        for view in chosen:
            self.close(view.number, CloseReason.COUNT)
        if not chosen:
            self.count_closed(newcomer.port, CloseReason.COUNT)
            newcomer.abort()

    def _tick(self) -> None:
        # A timer that is late, because the process was paused, fires once.
        self._timer = None
        self._ticks += 1
        self._bytes_to_check = 0
        for number, connection in list(self._connections.items()):
            reason = connection.tick(self.limits)
            if reason is not None:
                self.close(number, reason)
        has_news = self.closed != self._reported
        if has_news and self._ticks % REPORT_TICKS == 0:
            for (port, closed_for), count in (self.closed - self._reported).items():
                self.report(port, closed_for, count)
            self._reported = self.closed.copy()
            has_news = False
        if self._connections or has_news:
            self._timer = asyncio.get_running_loop().call_later(TICK_SECONDS, self._tick)


def make_connection_guard(
    limits: ConnectionLimits, journal: Journal, registry: CollectorRegistry
) -> ConnectionGuard:
    """Make the guard of a daemon, with its metrics and events."""
    closed = Counter(
        "kingcuppond_connections_closed",
        "Connections that were closed for a limit, by port and reason",
        ["port", "reason"],
        registry=registry,
    )

    def report(port: str, reason: CloseReason, count: int) -> None:
        closed.labels(port, reason.value).inc(count)
        journal.record(catalogue.CONNECTIONS_CLOSED, port=port, count=count, reason=reason.value)

    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    guard = ConnectionGuard(limits.within(descriptors), report)
    connections = Gauge(
        "kingcuppond_connections", "Connections that are open now", registry=registry
    )
    connections.set_function(lambda: guard.count)
    buffered = Gauge(
        "kingcuppond_connection_bytes",
        "Bytes in the buffers of all connections, at most",
        registry=registry,
    )
    buffered.set_function(lambda: guard.buffered_bytes)
    return guard
