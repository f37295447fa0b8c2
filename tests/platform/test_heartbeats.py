"""Heartbeats of the server beside the daemon are decoded, and those of other writers rejected."""

from typing import Any

import msgspec
import pytest

from kingcuppond.gate.announcements import Announcement, ConfiguredServer, Withdrawal
from kingcuppond.platform.heartbeats import decode_heartbeat

SERVER = ConfiguredServer("shop", "10.0.0.1:8080")
HEARTBEAT: dict[str, Any] = {
    "Service": "shop",
    "Address": "10.0.0.1:8080",
    "Zone": "dc-1",
    "Version": "v1",
    "Slots": 6,
    "State": "ready",
    "ColdRemaining": "0ms",
    "Sequence": 4,
    "born": 1778063521000,
}


@pytest.mark.parametrize("service", ["Quote-Desk", "quote desk", "z" * 64])
def test_service_may_have_any_name(service: str) -> None:
    """Guards against heartbeats that fail for the spelling of a service's name."""
    body = msgspec.json.encode({**HEARTBEAT, "Service": service})
    server = ConfiguredServer(service, SERVER.address)
    assert decode_heartbeat("PUT", "/instances/i-1", body, server).ok.service == service


def read(**changes: Any) -> Any:
    body = msgspec.json.encode({**HEARTBEAT, **changes})
    return decode_heartbeat("PUT", "/instances/i-1", body, SERVER)


@pytest.mark.parametrize(
    ("changes", "state", "cold_ms"),
    [
        ({}, "warm", 0),
        ({"ColdRemaining": "2.5s"}, "cold", 2500),
        ({"State": "draining"}, "draining", 0),
        ({"State": "draining", "ColdRemaining": "1s"}, "draining", 1000),
    ],
)
def test_decodes_heartbeat(changes: dict[str, Any], state: str, cold_ms: int) -> None:
    found = read(**changes).ok
    assert isinstance(found, Announcement)
    assert (found.state, found.cold_ms, found.load.slots) == (state, cold_ms, 6)
    assert (found.instance, found.born_ms, found.sequence) == ("i-1", 1778063521000, 4)


@pytest.mark.parametrize(
    "changes",
    [
        {"Slots": "6"},
        {"Slots": 0},
        {"State": "happy"},
        {"born": 1.5},
        {"Sequence": None},
        {"ColdRemaining": "soon"},
        {"Service": "other"},
        {"Address": "10.0.0.2:8080"},
        {"Address": "10.0.0.1:99999"},
        {"Slots": 10**30},
        {"Sequence": 10**30},
        {"born": 10**30},
        {"ColdRemaining": "9" * 400 + "s"},
    ],
    ids=str,
)
def test_rejects_invalid_field(changes: dict[str, Any]) -> None:
    assert read(**changes).is_error()


@pytest.mark.parametrize("missing", ["Service", "Address", "Slots", "State", "Sequence", "born"])
def test_rejects_missing_field(missing: str) -> None:
    body = msgspec.json.encode(
        {name: value for name, value in HEARTBEAT.items() if name != missing}
    )
    assert decode_heartbeat("PUT", "/instances/i-1", body, SERVER).is_error()


def test_rejects_body_that_is_not_json() -> None:
    assert decode_heartbeat("PUT", "/instances/i-1", b"\xff{", SERVER).is_error()


def test_delete_is_a_withdrawal_and_needs_no_body() -> None:
    assert decode_heartbeat("DELETE", "/instances/i-1", b"", SERVER).ok == Withdrawal("i-1")


@pytest.mark.parametrize("path", ["/instances/", "/instances/a/b", "/other/i-1"])
def test_rejects_other_path(path: str) -> None:
    assert decode_heartbeat("DELETE", path, b"", SERVER).is_error()


@pytest.mark.parametrize("version", ["v1", "2.0 (büro)", ""])
def test_the_version_of_a_server_is_taken_as_it_is(version: str) -> None:
    assert read(Version=version).ok.version == version


@pytest.mark.parametrize("version", [None, 7, ["v1"], "v" * 257])
def test_a_version_that_is_no_usable_text_does_not_spoil_a_heartbeat(version: Any) -> None:
    """Guards against a server that counts as absent for a field that few deployments need."""
    assert read(Version=version).ok.version == ""


def test_a_heartbeat_may_name_no_version() -> None:
    heartbeat = {name: value for name, value in HEARTBEAT.items() if name != "Version"}
    body = msgspec.json.encode(heartbeat)
    assert decode_heartbeat("PUT", "/instances/i-1", body, SERVER).ok.version == ""
