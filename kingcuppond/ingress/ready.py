"""The readiness endpoint: whether the platform may send callers to this daemon."""

from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web

READY_PATH: Final = "/ready"


def make_ready_handler(
    is_ready: Callable[[], bool],
) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
    """Make the handler of the readiness address.

    :param is_ready: whether this daemon has the configuration and is not leaving
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if is_ready() else 503)

    return handle
