"""An invalid file gives a one-line error with the path, the line, the key and what is allowed."""

from pathlib import Path

import pytest

from kingcuppond.configuration.objects import NativeClassOfWork
from kingcuppond.settings.daemon import DaemonSettings, load
from kingcuppond.settings.jsonc import parse_text, read_file

GOOD = """// who this daemon is
{
  "vm": "mvd-1", "data_centre": "montevideo-1", "service": "booking",
  "caller_address": "10.0.0.1:8000",  // callers
  "peer_address": "10.0.0.1:8001", /* daemons
  */ "server_address": "127.0.0.1:8002",
  "metrics_address": "10.0.0.1:8003",
  "platform_address": "10.0.9.1:7000",
  "fleet_key_file": "fleet // not a comment.key"
}"""


def test_removes_comments_but_not_from_strings() -> None:
    settings = parse_text(GOOD, "s.json", DaemonSettings).ok
    assert settings.fleet_key_file == "fleet // not a comment.key"
    assert settings.log_level == "info"


def test_the_fleets_retries_may_be_a_fraction() -> None:
    """The platform derives its bound from the size of the fleet."""
    text = GOOD.replace("{", '{"fleet_retries": 30.7,', 1)
    assert parse_text(text, "s.json", DaemonSettings).ok.fleet_retries == 30.7


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('"10.0.0.1:8003"', "8003", "s.json:7: key 'metrics_address': Expected `str`, got `int`"),
        (
            '"vm"',
            '"vn"',
            "s.json:3: unknown key 'vn'; allowed: application_address, caller_address",
        ),
        (
            '"10.0.0.1:8001"',
            '"host:8001"',
            "s.json:5: key 'peer_address': 'host:8001' is not an IP",
        ),
        ('"10.0.0.1:8001"', '"1.2.3.4:99999"', "s.json:5: key 'peer_address': '1.2.3.4:99999' is"),
        ('"mvd-1"', '"Mvd 1"', "s.json:3: key 'vm': 'Mvd 1' is not a name"),
        ('"vm": "mvd-1",', "", "s.json:1: key 'vm' is missing"),
        (
            '"vm"',
            '"kill_after": "6", "vm"',
            "s.json:3: key 'kill_after': '6' is not a duration such as 1500ms or 2.5s",
        ),
        (
            '"vm"',
            '"kill_after": "400ms", "vm"',
            "s.json:3: key 'kill_after': 400ms is not more than 500 ms",
        ),
        ('"mvd-1",', '"mvd-1"', "s.json:3: is not JSON with comments: Expecting ','"),
        ('"service"', '"vm"', "s.json: is not JSON with comments: key 'vm' appears twice"),
        (GOOD, "[]", "s.json:1: must hold one JSON object"),
        (GOOD, "[" * 100_000, "s.json: is not JSON with comments"),
    ],
    ids=[
        "wrong type",
        "unknown key",
        "host name instead of an IP address",
        "port out of range",
        "invalid name",
        "duration without a unit",
        "too short to stop in",
        "missing key",
        "missing comma",
        "duplicate key",
        "not an object",
        "nested too deeply",
    ],
)
def test_refuses(old: str, new: str, expected: str) -> None:
    error = parse_text(GOOD.replace(old, new), "s.json", DaemonSettings).error
    assert str(error).startswith(expected)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('"answer_within_ms": 0', "key 'answer_within_ms': 0 is not in the range 1 to 600000"),
        ('"answer_within_ms": 50, "method": "FETCH"', "key 'method': 'FETCH' is not one of *, GET"),
        ('"answer_within_ms": 50, "at_most_once": 1', "key 'at_most_once': Expected `bool`"),
    ],
    ids=["out of range", "not an allowed value", "number instead of a boolean"],
)
def test_refuses_class(text: str, expected: str) -> None:
    whole = '{"name": "a", "service": "b", "path_prefix": "/",\n' + text + "}"
    error = parse_text(whole, "c.json", NativeClassOfWork).error
    assert str(error).startswith(f"c.json:2: {expected}")


def test_unreadable_file(tmp_path: Path) -> None:
    error = read_file(tmp_path / "none.json", DaemonSettings).error
    assert str(error) == f"{tmp_path / 'none.json'}: cannot be read: No such file or directory"


@pytest.mark.parametrize(
    ("key", "expected"),
    [(None, "fleet key cannot be read"), ("abc", "64 hexadecimal"), ("zz" * 32, "64 hexadecimal")],
    ids=["missing", "too short", "not hexadecimal"],
)
def test_refuses_fleet_key(tmp_path: Path, key: str | None, expected: str) -> None:
    path = tmp_path / "s.json"
    path.write_text(GOOD)
    if key is not None:
        (tmp_path / "fleet // not a comment.key").parent.mkdir(exist_ok=True)
        path.write_text(GOOD.replace("fleet // not a comment.key", "k"))
        (tmp_path / "k").write_text(key)
    assert expected in str(load(path).error)
