"""The port for operators and metrics at a daemon: reads only, nothing can be changed here."""

import resource
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import msgspec
from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest

from kingcuppond.entry.http_server import problem_response
from kingcuppond.outcomes import NotRun, Reason

METRICS_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
PAGE_BYTES: Final = resource.getpagesize()

Page = Callable[[], Any]


def make_handler(pages_by_path: dict[str, Page], registry: CollectorRegistry) -> Any:
    """Make the handler of the port.

    :param pages_by_path: for each path a function that returns the page's message
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "GET":
            return problem_response(NotRun(Reason.BAD_REQUEST, "only GET is answered here"))
        if request.path == "/metrics":
            return web.Response(
                body=generate_latest(registry), headers={"Content-Type": METRICS_TYPE}
            )
        page = pages_by_path.get(request.path)
        if page is None:
            return problem_response(NotRun(Reason.NO_CLASS, f"no page {request.path}"))
        return web.Response(body=msgspec.json.encode(page()), content_type="application/json")

    return handle


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def cpu_seconds() -> float:
    """Return the processor time that this process has used."""
    return time.process_time()
