"""The addresses of a daemon: which handler serves each of them, and its listening sockets."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

import attrs
from aiohttp import web
from expression import Error, Ok, Result

from kingcuppond.early_listener import take_socket
from kingcuppond.ingress.connection_guard import ConnectionGuard, make_connection_guard
from kingcuppond.ingress.connection_limits import ConnectionLimits
from kingcuppond.ingress.http_server import has_unsent_bytes, listen, make_server, stop_accepting
from kingcuppond.ingress.ready import make_ready_handler
from kingcuppond.operators.http_handler import make_handler
from kingcuppond.operators.messages import CountsPage, EventsPage
from kingcuppond.operators.status import read_status

if TYPE_CHECKING:
    from kingcuppond.daemon import Daemon

CALLER_ADDRESS_KEY: Final = "caller_address"

Handler = Callable[[web.BaseRequest], Any]


@attrs.frozen
class BindError:
    """An address of the settings can't be bound.

    :param key: key of the address in the settings
    """

    key: str
    address: str
    message: str


@attrs.define
class Listeners:
    """The HTTP servers of a daemon, by the keys of their addresses in the settings.

    :param guard: the connections of all of them
    """

    guard: ConnectionGuard
    _runners_by_key: dict[str, web.ServerRunner] = attrs.field(factory=dict)

    async def bind(self, key: str, address: str, handler: Handler) -> Result[None, BindError]:
        """Start to accept connections at an address."""
        server = make_server(handler, self.guard, key)
        listening = await listen(server, address, take_socket(address))
        if listening.is_error():
            return Error(BindError(key, address, listening.error.strerror or "in use"))
        self._runners_by_key[key] = listening.ok
        return Ok(None)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether a part of any answer waits until its caller reads on."""
        return any(has_unsent_bytes(runner) for runner in self._runners_by_key.values())

    async def stop_accepting_callers(self) -> None:
        """Stop accepting connections of callers; open ones continue."""
        runner = self._runners_by_key.get(CALLER_ADDRESS_KEY)
        if runner is not None:
            await stop_accepting(runner)

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(*(runner.cleanup() for runner in self._runners_by_key.values()))


def make_listeners(daemon: "Daemon") -> Listeners:
    """Make the listeners of a daemon, with the limits of its settings."""
    settings = daemon.settings
    limits = ConnectionLimits(
        settings.max_connections,
        settings.max_head_bytes,
        settings.max_head_ms,
        settings.max_buffered_bytes,
    )
    return Listeners(make_connection_guard(limits, daemon.journal, daemon.registry))


def make_handlers(daemon: "Daemon") -> dict[str, Handler]:
    """Return the handler of each address, by its key in the settings."""
    settings = daemon.settings
    pages: dict[str, Callable[[], Any]] = {
        "/v1/status": lambda: read_status(daemon),
        "/v1/events": lambda: EventsPage(settings.vm, list(daemon.journal.entries)),
        "/v1/counts": lambda: CountsPage(settings.vm, daemon.port.counts.read()),
    }
    handlers: dict[str, Handler] = {
        "server_address": daemon.server_port.handle,
        "metrics_address": make_handler(pages, daemon.registry),
    }
    if settings.ready_address:
        handlers["ready_address"] = make_ready_handler(
            lambda: daemon.configuration.is_ready and not daemon.directory.me.is_leaving
        )
    if settings.relay_address:
        handlers["relay_address"] = daemon.port.relayed.handle
        handlers[CALLER_ADDRESS_KEY] = daemon.port.handle_caller
    else:
        handlers[CALLER_ADDRESS_KEY] = daemon.port.handle
    return handlers
