"""Fixtures of the tests that read answers."""

import aiohttp.client_proto
import aiohttp.http_parser
import pytest


@pytest.fixture(params=["C", "Python"])
def each_parser(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Run a test with both parsers of the library; the one in Python is its fallback."""
    if request.param == "Python":
        parser = aiohttp.http_parser.HttpResponseParserPy
        monkeypatch.setattr(aiohttp.client_proto, "HttpResponseParser", parser)
