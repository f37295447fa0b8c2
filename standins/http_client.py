"""Blocking HTTP requests to daemons and stand-ins, for tests with real processes."""

import contextlib
import json
import urllib.request
from typing import Any


def get_json(url: str) -> dict[str, Any]:
    """Fetch a JSON object."""
    with urllib.request.urlopen(url, timeout=5) as answer:
        return dict(json.loads(answer.read()))


def get_ignoring_errors(url: str) -> None:
    """Fetch a page and ignore its content."""
    with contextlib.suppress(OSError), urllib.request.urlopen(url, timeout=5) as answer:
        answer.read()


def is_success(url: str) -> bool:
    """Return whether a page is served, with a status that is no error."""
    try:
        with urllib.request.urlopen(url, timeout=5):
            return True
    except OSError:
        return False


def put_json(url: str, value: object, method: str = "PUT") -> None:
    """Send a value as JSON."""
    request = urllib.request.Request(url, json.dumps(value).encode(), method=method)
    with urllib.request.urlopen(request, timeout=5) as answer:
        answer.read()
