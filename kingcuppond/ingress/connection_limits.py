"""Limits for the connections of clients that are not under control, and which ones to close.

Clients that keep the platform's limits (a head of 16,384 bytes within 3 s, some hundreds of
connections) reach none of the defaults.  Time is counted in ticks of the daemon, which it does not
make while it is paused, so that no client pays for time that the daemon lost.
"""

from collections.abc import Iterable
from typing import Final

import attrs

DEFAULT_MAX_CONNECTIONS: Final = 2000
"""The smallest VM has 4,100 descriptors, 200 for files; the rest is for connections to others."""

DEFAULT_MAX_HEAD_BYTES: Final = 32_768
"""Twice what the platform allows, since a head that another daemon relays has further headers."""

DEFAULT_MAX_HEAD_MS: Final = 10_000
"""More than three times what the platform allows."""

DEFAULT_MAX_BUFFERED_BYTES: Final = 33_554_432
"""With 2,000 connections, the daemon stays below the 200 MB of the smallest VM."""

TICK_SECONDS: Final = 1.0

UNREAD_TICKS: Final = 30
"""Ticks after which a client that reads nothing of its answer has given up."""

MAX_READ_AHEAD: Final = 4
"""Pipelined requests that are parsed before the first one is answered."""

SMALL_PORT_PART: Final = 8
"""A port other than those for calls has this part of the connections: few clients use it."""

DESCRIPTOR_SHARE: Final = 0.6
"""Part of the process's descriptors for accepted connections; others are for those it opens."""

SILENT_RANK: Final = 3
"""Rank of a connection that has sent no request for a tick, the first to be closed."""

SHED_SHARE: Final = 0.75
"""Part of the allowed bytes that is left after connections were closed for their bytes."""


@attrs.frozen
class ConnectionLimits:
    """The limits of one daemon.

    :param max_connections: most accepted connections of all ports
    :param max_head_bytes: longest head, also longest framing of a body without any content
    :param max_head_ms: longest time from the first byte of a head to its end
    :param max_buffered_bytes: most bytes of requests and answers in the buffers of all connections
    """

    max_connections: int = DEFAULT_MAX_CONNECTIONS
    max_head_bytes: int = DEFAULT_MAX_HEAD_BYTES
    max_head_ms: int = DEFAULT_MAX_HEAD_MS
    max_buffered_bytes: int = DEFAULT_MAX_BUFFERED_BYTES

    @property
    def head_ticks(self) -> int:
        """Ticks that a head may see; the first one may come at once after its first byte."""
        return 1 + -int(-self.max_head_ms // (1000 * TICK_SECONDS))

    def within(self, descriptors: int) -> "ConnectionLimits":
        """Return the limits of a process that may have so many descriptors."""
        most = max(1, int(descriptors * DESCRIPTOR_SHARE))
        return attrs.evolve(self, max_connections=min(self.max_connections, most))

    def max_on_port(self, is_for_calls: bool) -> int:
        """Return the most connections of one port."""
        if is_for_calls:
            return self.max_connections
        return max(1, self.max_connections // SMALL_PORT_PART)


@attrs.frozen
class ConnectionView:
    """What decides whether a connection is closed.

    :param number: its number in the order of acceptance
    :param is_trusted: whether it has carried a call of another daemon
    :param has_request: whether a request is in progress
    :param is_complete: whether the request in progress was received completely
    :param is_unread: whether its client lets an answer wait
    :param is_queued: whether the request in progress was pipelined and has not begun
    :param requests: requests that were received on it so far
    :param ticks: ticks since its last request began, or since it was accepted
    :param bytes: bytes in its buffers
    """

    number: int
    is_trusted: bool = False
    has_request: bool = False
    is_complete: bool = True
    is_unread: bool = False
    is_queued: bool = False
    requests: int = 0
    ticks: int = 0
    bytes: int = 0

    @property
    def is_kept(self) -> bool:
        """Whether it is never closed for others: its request may run, or it is of a daemon."""
        may_run = self.has_request and self.is_complete and not self.is_queued
        return self.is_trusted or (may_run and not self.is_unread)


def choose_connections_to_close(
    connections: Iterable[ConnectionView], silent_count: int = 1
) -> list[ConnectionView]:
    """Choose the connections that make room for new ones: none if all are kept.

    Those that have sent no request for a tick or longer go first, then those that are new, then
    those that are idle after a request, and last those whose request is incomplete or has not
    begun, or whose answer is not read.  The newest goes first, as a flood is newer than the
    connections of ordinary clients.

    :param silent_count: how many are chosen if so many have sent no request for a tick; of the
        others only one is
    """
    candidates = [view for view in connections if not view.is_kept]
    silent = [view for view in candidates if _preference(view)[0] == SILENT_RANK]
    if silent:
        return sorted(silent, key=_preference, reverse=True)[: max(1, silent_count)]
    return [max(candidates, key=_preference)] if candidates else []


def _preference(view: ConnectionView) -> tuple[int, int]:
    if view.has_request:
        rank = 0
    elif view.requests:
        rank = 1
    else:
        rank = SILENT_RANK if view.ticks else 2
    return rank, view.number


def choose_connections_to_shed(
    connections: Iterable[ConnectionView], max_bytes: int
) -> list[ConnectionView]:
    """Choose the connections with the most bytes, until the rest is well below the most allowed."""
    views = list(connections)
    excess = sum(view.bytes for view in views) - max_bytes
    if excess <= 0:
        return []
    excess += round(max_bytes * (1 - SHED_SHARE))
    chosen = []
    for view in sorted(views, key=lambda view: view.bytes, reverse=True):
        if excess <= 0 or not view.bytes:
            break
        if not view.is_kept:
            chosen.append(view)
            excess -= view.bytes
    return chosen
