"""A daemon's HTTP port for operators and metrics; it is read-only."""

import resource
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import msgspec
from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest

from kingcuppond.ingress.http_server import problem_response
from kingcuppond.outcomes import NotRun, Reason

METRICS_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
MEMORY_PAGE_BYTES: Final = resource.getpagesize()

PageReader = Callable[[], Any]


def make_handler(pages_by_path: dict[str, PageReader], registry: CollectorRegistry) -> Any:
    """Make the request handler of the port.

    :param pages_by_path: functions that return the content of each page
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "GET":
            return problem_response(NotRun(Reason.BAD_REQUEST, "only GET is allowed"))
        if request.path == "/metrics":
            return web.Response(
                body=generate_latest(registry), headers={"Content-Type": METRICS_TYPE}
            )
        page = pages_by_path.get(request.path)
        if page is None:
            return problem_response(NotRun(Reason.NO_CLASS, f"there is no page {request.path}"))
        return web.Response(body=msgspec.json.encode(page()), content_type="application/json")

    return handle


def resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * MEMORY_PAGE_BYTES


def cpu_seconds() -> float:
    """Return the processor time that this process has used, in seconds."""
    return time.process_time()
