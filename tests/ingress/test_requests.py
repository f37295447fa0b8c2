"""A request's deadline counts from its arrival, also if it had to wait before it was read."""

import asyncio
from random import Random

import pytest
from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from expression import Result

from kingcuppond.configuration.objects import ClassOfWork, encode
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.dialect import NATIVE_DIALECT, Dialect
from kingcuppond.events.journal import Journal
from kingcuppond.ingress.http_server import listen, make_server
from kingcuppond.ingress.requests import CallerRequest, read_request
from kingcuppond.organisations.guard import make_organisation_guard
from kingcuppond.organisations.identification import KeyPolicy
from kingcuppond.outcomes import Failure, Reason
from kingcuppond.platform.calls import PLATFORM_DIALECT
from kingcuppond.routing.split import TrafficSplitter

IMPORT = ClassOfWork("import", "shop", "/shop", 500, timeout_ms=600_000)


async def read(
    configuration: Configuration,
    deadline_ms: str,
    path: str = "/shop/a",
    dialect: Dialect = NATIVE_DIALECT,
    **headers: str,
) -> Result[CallerRequest, Failure]:
    """Read a request 0.9 s after its arrival at 100 s.

    :param headers: further headers, with underscores for dashes
    """
    all_headers = {dialect.deadline_header: deadline_ms}
    all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
    request = make_mocked_request("GET", path, headers=all_headers)
    return await read_request(
        request,
        configuration,
        dialect,
        "shop",
        TrafficSplitter(Random(1)).choose,
        100.0,
        lambda: 100.9,
        lambda: "id",
        make_organisation_guard(configuration, KeyPolicy(), lambda: False, lambda: 0.0),
    )


async def test_the_deadline_counts_from_the_arrival(journal: Journal) -> None:
    configuration = Configuration(journal)
    shop = ClassOfWork("browse", "shop", "/shop", 500, timeout_ms=2000)
    configuration.merge([VersionedObject("class/browse", 1, encode(shop))])
    configuration.is_complete = True
    parsed = await read(configuration, "800")
    assert parsed.ok.call.deadline == 100.8
    assert parsed.ok.call.target_at == 100.5
    assert parsed.ok.started == 100.0


@pytest.mark.parametrize("deadline_ms", ["600001", "850000", "9" * 30])
async def test_a_caller_may_wait_for_long(journal: Journal, deadline_ms: str) -> None:
    """Guards against 400 for a deadline beyond the longest timeout of the native format."""
    configuration = Configuration(journal)
    configuration.merge([VersionedObject("class/import", 1, encode(IMPORT))])
    configuration.is_complete = True
    parsed = await read(configuration, deadline_ms)
    assert parsed.ok.call.deadline == 100.0 + min(int(deadline_ms), IMPORT.timeout_ms) / 1000


@pytest.mark.parametrize(
    ("prefix", "path", "is_match"),
    [
        ("/devoluci%C3%B3n/", "/devoluci%C3%B3n/1", True),
        ("/a%20b/", "/a%20b/1", True),
        ("/a/b/", "/a%2Fb/1", False),
        ("/shop/", "//other/shop/1", False),
    ],
)
async def test_a_route_is_found_by_the_path_that_was_sent(
    journal: Journal, prefix: str, path: str, is_match: bool
) -> None:
    """Guards against 404 on a route whose prefix is percent-encoded, and against other routes."""
    configuration = Configuration(journal)
    item = ClassOfWork("returns", "shop", prefix, 500)
    configuration.merge([VersionedObject("class/returns", 1, encode(item))])
    configuration.is_complete = True
    parsed = await read(configuration, "800", path)
    assert parsed.is_ok() is is_match
    assert is_match or parsed.error.reason is Reason.NO_CLASS


@pytest.mark.parametrize("value", ["99", "soon"])
@pytest.mark.parametrize("name", ["Kingcuppond-Depth", "Kingcuppond-Retry-Budget"])
async def test_headers_of_the_native_dialect_are_the_callers_own_on_the_platform(
    journal: Journal, name: str, value: str
) -> None:
    """Guards against 400 for a proper request, as its header means something in another dialect."""
    configuration = Configuration(journal)
    configuration.merge([VersionedObject("class/import", 1, encode(IMPORT))])
    configuration.is_complete = True
    headers = {name.replace("-", "_"): value}
    native = await read(configuration, "800", **headers)
    assert native.error.reason is Reason.BAD_REQUEST
    parsed = await read(configuration, "800", dialect=PLATFORM_DIALECT, **headers)
    assert (name, value) in parsed.ok.call.headers


async def test_a_path_may_be_as_long_as_the_platform_allows() -> None:
    """Guards against 400 for a path between 8 and 16 kB; callers may send heads of 16 kB."""
    received: list[str] = []

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        received.append(request.raw_path)
        return web.Response()

    runner = (await listen(make_server(handle), "127.0.0.1:0")).ok
    reader, writer = await asyncio.open_connection(*runner.addresses[0])
    path = "/" + "a" * 16_000
    writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode())
    assert (await reader.read()).startswith(b"HTTP/1.1 200")
    assert received == [path]
    writer.close()
    await runner.cleanup()
