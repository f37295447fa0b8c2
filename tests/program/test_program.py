"""The command line: help with examples, one-line errors, exit codes."""

import json
import socket
import subprocess
import sys
from pathlib import Path

import pytest

COMMANDS = [
    ["daemon"],
    ["settings", "check"],
    ["class", "apply"],
    ["class", "list"],
    ["class", "show"],
    ["class", "remove"],
    ["budget", "set"],
    ["budget", "show"],
    ["data-centre", "out"],
    ["data-centre", "in"],
    ["data-centre", "list"],
    ["status"],
    ["report"],
    ["timeline"],
    ["explain"],
    ["events"],
]


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "kingcuppond", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={"PATH": "/usr/bin"},
    )


@pytest.mark.parametrize("command", COMMANDS, ids=" ".join)
def test_help_shows_an_example(command: list[str]) -> None:
    done = run(*command, "--help")
    assert done.returncode == 0
    assert f"Example: kingcuppond {' '.join(command)}" in " ".join(done.stdout.split())


def write_settings(folder: Path, **changes: object) -> Path:
    values: dict[str, object] = {
        "vm": "a",
        "data_centre": "b",
        "service": "c",
        "caller_address": "127.0.0.1:9391",
        "peer_address": "127.0.0.1:9392",
        "server_address": "127.0.0.1:9393",
        "metrics_address": "127.0.0.1:9394",
        "platform_address": "127.0.0.1:9395",
        "fleet_key_file": "key",
    }
    (folder / "key").write_text("ab" * 32)
    path = folder / "settings.json"
    path.write_text(json.dumps({**values, **changes}))
    return path


@pytest.mark.parametrize("command", [["settings", "check"], ["daemon", "--settings"]], ids=str)
@pytest.mark.parametrize(
    ("changes", "expected"),
    [({"vmm": "x"}, "unknown key 'vmm'"), ({"vm": 5}, "key 'vm': Expected `str`")],
    ids=["unknown key", "wrong type"],
)
def test_invalid_settings(
    tmp_path: Path, command: list[str], changes: dict[str, object], expected: str
) -> None:
    path = write_settings(tmp_path, **changes)
    done = run(*command, str(path))
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert f"{path}:1: {expected}" in done.stderr


@pytest.mark.parametrize("key", ["caller_address", "peer_address", "metrics_address"])
def test_address_in_use(tmp_path: Path, key: str) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        done = run("daemon", "--settings", str(write_settings(tmp_path, **{key: address})))
    assert done.returncode == 2
    last = done.stderr.strip().splitlines()[-1]
    assert f"key '{key}': {address} can't be used" in last
    assert "Traceback" not in done.stderr


def test_valid_settings_pass_the_check(tmp_path: Path) -> None:
    done = run("settings", "check", str(write_settings(tmp_path)))
    assert (done.returncode, "good" in done.stdout) == (0, True)


@pytest.mark.parametrize(
    ("arguments", "exit_code"),
    [
        (["class", "list"], 2),
        (["class", "list", "--settings", "none.json"], 2),
        (["class", "frob"], 2),
        (["class", "list", "--settings", "SETTINGS"], 3),
        (["data-centre", "out", "x", "--settings", "SETTINGS"], 3),
        (["status", "--settings", "SETTINGS"], 3),
    ],
    ids=["no settings", "no such file", "no such command", "list", "out", "status"],
)
def test_exit_codes(tmp_path: Path, arguments: list[str], exit_code: int) -> None:
    path = str(write_settings(tmp_path))
    done = run(*[path if argument == "SETTINGS" else argument for argument in arguments])
    assert done.returncode == exit_code
    assert "Traceback" not in done.stderr
