"""The end of a daemon's process."""

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

from standins.addresses import free_addresses
from standins.http_client import get_json

START_SECONDS = 30.0
GRACE_MS = 1000
EXIT_SECONDS = 10.0
TEARDOWN_SECONDS = 30
SLOW_TEARDOWN = f"""
import atexit, time
from kingcuppond.program.main import main
atexit.register(time.sleep, {TEARDOWN_SECONDS})
main()
"""


def test_the_teardown_of_the_interpreter_does_not_delay_the_exit(tmp_path: Path) -> None:
    """On a busy machine the process was killed during its teardown."""
    keys = ("caller", "peer", "server", "metrics", "platform")
    addresses = {
        f"{key}_address": address for key, address in zip(keys, free_addresses(5), strict=True)
    }
    identity = {"vm": "vm-1", "data_centre": "dc-1", "service": "shop", "grace_ms": GRACE_MS}
    settings = tmp_path / "daemon.json"
    settings.write_text(json.dumps(identity | addresses))
    process = subprocess.Popen(
        [sys.executable, "-c", SLOW_TEARDOWN, "daemon", "--settings", str(settings)]
    )
    try:
        end = time.monotonic() + START_SECONDS
        while not is_started(addresses["metrics_address"]):
            assert time.monotonic() < end
            time.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        assert process.wait(EXIT_SECONDS) == 0
    finally:
        process.kill()
        process.wait()


def is_started(address: str) -> bool:
    try:
        return bool(get_json(f"http://{address}/v1/status"))
    except OSError:
        return False
