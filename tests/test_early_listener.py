"""Callers can connect while the program is still being imported."""

import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from kingcuppond.early_listener import SIGNALS, listen_early, take_socket


@pytest.fixture(autouse=True)
def restore_signals() -> Iterator[None]:
    yield
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)


def write_settings(folder: Path, address: str) -> Path:
    path = folder / "daemon.json"
    path.write_text(f'// "caller_address": "x"\n{{"vm": "a", "caller_address": "{address}"}}')
    return path


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=5)


def test_callers_can_connect_before_the_daemon_exists(tmp_path: Path) -> None:
    """Guards against callers that are refused while a daemon starts after a loss of power."""
    address = free_address()
    listen_early(["daemon", "--settings", str(write_settings(tmp_path, address))])
    listening = take_socket(address)
    assert listening is not None
    with listening, connect(address):
        assert take_socket(address) is None, "it is handed over once"


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["status", "--settings", "FILE"],
        ["daemon"],
        ["daemon", "--settings"],
        ["daemon", "--settings", "/nowhere/daemon.json"],
    ],
    ids=str,
)
def test_other_command_lines_listen_nowhere(tmp_path: Path, arguments: list[str]) -> None:
    address = free_address()
    path = str(write_settings(tmp_path, address))
    listen_early([path if it == "FILE" else it for it in arguments])
    assert take_socket(address) is None


@pytest.mark.parametrize(
    "text", ["", "[]", "{", '{"caller_address": 5}', '{"caller_address": "h:99999"}', "[" * 100_000]
)
def test_invalid_settings_are_left_to_their_check(tmp_path: Path, text: str) -> None:
    """Guards against a stack trace in place of the error that names the line."""
    path = tmp_path / "daemon.json"
    path.write_text(text)
    listen_early(["daemon", "--settings", str(path)])


def test_an_address_in_use_is_left_to_the_daemon(tmp_path: Path) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        listen_early(["daemon", "--settings", str(write_settings(tmp_path, address))])
        assert take_socket(address) is None


def test_the_module_imports_no_library() -> None:
    """Guards against a listener that is late because of its own imports."""
    code = "import sys, kingcuppond.early_listener; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], check=True, capture_output=True, text=True
    ).stdout.split()
    assert not {"aiohttp", "attr", "msgspec", "typer", "asyncio"} & set(loaded)
