"""Starts a small deployment as separate processes on loopback addresses.

The daemons are started with the command of ``deploy/system.toml`` and with settings made from its
template; only the path of the settings file differs.  Each machine has a loopback address of its
own.  The store is the project's stand-in, the servers are those of this folder.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.error
import urllib.request
from functools import partial
from pathlib import Path
from types import TracebackType
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
READY_SECONDS = 40.0
CALLERS_PORT, RELAY_PORT, READY_PORT, CONTROL_PORT, APP_PORT = 8629, 8624, 8625, 8620, 8628
STORE_PORT, METRICS_PORT, PEER_PORT = 8627, 9464, 7600


class CannotRunError(Exception):
    """The deployment did not come up, so that the case says nothing."""


class Vm:
    """One machine: its addresses and its two processes."""

    def __init__(self, name: str, zone: str, service: str, ip: str) -> None:
        self.name, self.zone, self.service, self.ip = name, zone, service, ip
        self.callers, self.app = f"{ip}:{CALLERS_PORT}", f"{ip}:{APP_PORT}"
        self.daemon: subprocess.Popen[bytes] | None = None
        self.server: subprocess.Popen[bytes] | None = None


class Deployment:
    """The processes of a deployment, which run while its context manager is active.

    :param services: the service of each machine; zones are dealt in turn
    :param bounds: bounds of the site that differ from the ones below
    """

    def __init__(self, case: Path, services: list[str], zones: tuple[str, ...] = ("a", "b")):
        self.case = case
        self.folder = Path(tempfile.mkdtemp(prefix="kingcuppond-review-"))
        net = free_net()
        self.store = f"{net}.1:{STORE_PORT}"
        self.vms = [
            Vm(f"sidecar-{i + 1}", zones[i % len(zones)], service, f"{net}.{i + 10}")
            for i, service in enumerate(services)
        ]
        self.processes: list[subprocess.Popen[bytes]] = []
        self.record_file = (case / "record.txt").open("w", buffering=1)
        self.runs_file = self.folder / "runs.jsonl"
        self.runs_file.touch()
        self.switch = self.folder / "switch"
        self.started = time.time()
        self.store_program = ["standins.platform"]

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(
        self,
        _type: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
            return
        shutil.rmtree(self.folder)

    def record(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        line = f"{time.time() - self.started:8.3f} {text}"
        self.record_file.write(line + "\n")
        print(line, flush=True)

    def record_requests(self, replies: list["Reply"]) -> None:
        """Write what was sent, answered and run to the record, a line for each request."""
        runs_by_id: dict[str, list[str]] = {}
        for line in self.runs():
            if line["what"] == "run":
                run = f"{line['server']} at {line['at'] - self.started:.3f}"
                runs_by_id.setdefault(line["id"], []).append(run)
        for reply in sorted(replies, key=lambda it: it.sent_at):
            runs = ", ".join(runs_by_id.get(reply.attempt_id, [])) or "nowhere"
            self.record_file.write(
                f"{reply.attempt_id} sent at {reply.sent_at - self.started:.3f}: status "
                f"{reply.status}, {reply.end} after {reply.ended:.3f} s; ran on {runs}\n"
            )

    def spawn(self, name: str, arguments: list[str]) -> subprocess.Popen[bytes]:
        """Start a process of Python with nothing of the caller's environment but a few names."""
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {"PYTHONPATH": str(ROOT / "target/deps"), "LANG": "C.UTF-8"}
        environment["KINGCUPPOND_NODE_FILE"] = str(self.folder / f"{name}.json")
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.processes.append(process)
        return process

    def start_store(self) -> subprocess.Popen[bytes]:
        """Start the store."""
        host, _, port = self.store.rpartition(":")
        process = self.spawn("store", ["-m", "review.rig.store", "--host", host, "--port", port])
        self.wait_for(lambda: connects(self.store), "the store")
        return process

    def start_daemon(self, vm: Vm, first_start: bool = False) -> None:
        """Start the daemon of a machine."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["daemon"]
        values = self.settings(vm, first_start)
        text = render((ROOT / role["template"]).read_text(), values)
        file = self.folder / f"{vm.name}-daemon.json"
        file.write_text(text)
        words = role["run"].split()
        assert words[0] == "python3"
        arguments = [str(file) if word.startswith("/etc/") else word for word in words[1:]]
        vm.daemon = self.spawn(f"{vm.name}-daemon", arguments)

    def settings(self, vm: Vm, first_start: bool) -> dict[str, Any]:
        """Return the fields of the platform's settings that the template uses."""
        return {
            "NodeName": vm.name,
            "Zone": vm.zone,
            "Service": vm.service,
            "Ip": vm.ip,
            "AppAddr": vm.app,
            "FirstStart": first_start,
            "Seeds": [f"{other.ip}:{CONTROL_PORT}" for other in self.vms if other is not vm][:3],
            "InternalPorts": [PEER_PORT, PEER_PORT + 15],
            "Listen": {
                "Outbound": vm.callers,
                "Inbound": f"{vm.ip}:{RELAY_PORT}",
                "Ready": f"{vm.ip}:{READY_PORT}",
                "Control": f"{vm.ip}:{CONTROL_PORT}",
            },
            "Platform": {"Address": self.store},
            "Bounds": {"BudgetExtraRetries": 58, "Grace": "6s"},
        }

    def start_server(self, vm: Vm, *options: str) -> None:
        """Start the server of a machine."""
        arguments = ["-m", "review.rig.server", "--name", vm.name, "--service", vm.service]
        arguments += ["--zone", vm.zone, "--address", vm.app]
        arguments += ["--control", f"{vm.ip}:{CONTROL_PORT}", "--runs", str(self.runs_file)]
        arguments += ["--switch", str(self.switch), *options]
        vm.server = self.spawn(f"{vm.name}-server", arguments)

    def start(self, config: dict[str, Any], *server_options: str) -> None:
        """Start all processes, and wait until the daemons are ready and servers have registered."""
        self.start_store()
        self.put("config", "main", config)
        for vm in self.vms:
            self.start_daemon(vm, first_start=True)
        for vm in self.vms:
            self.start_server(vm, *server_options)
        for vm in self.vms:
            self.wait_for(partial(self.is_ready, vm), f"the daemon of {vm.name}")
        time.sleep(4.0)

    def is_ready(self, vm: Vm) -> bool:
        """Return whether a daemon answers 200 on its readiness address."""
        try:
            with urllib.request.urlopen(f"http://{vm.ip}:{READY_PORT}/ready", timeout=1) as got:
                return bool(got.status == 200)
        except OSError:
            return False

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Create or replace an object of the operator."""
        body = {"Metadata": {"Name": name}, "Spec": spec}
        url = f"http://{self.store}/objects/{kind}"
        try:
            send_json(f"{url}/{name}", body, "PUT")
        except urllib.error.HTTPError:
            send_json(url, body, "POST")
        self.record(f"operator: {kind}/{name} acknowledged")

    def delete(self, kind: str, name: str) -> None:
        """Remove an object of the operator."""
        send_json(f"http://{self.store}/objects/{kind}/{name}", None, "DELETE")
        self.record(f"operator: {kind}/{name} removed")

    def wait_for(self, condition: Any, what: str, seconds: float = READY_SECONDS) -> None:
        """Wait until a condition holds."""
        end = time.time() + seconds
        while not condition():
            if time.time() > end:
                raise CannotRunError(f"{what} did not come up")
            time.sleep(0.05)

    def runs(self) -> list[dict[str, Any]]:
        """Return what the servers have recorded."""
        lines = self.runs_file.read_text().splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]


def free_net() -> str:
    """Return the first three numbers of loopback addresses on which the ports are free."""
    ports = (CALLERS_PORT, RELAY_PORT, READY_PORT, CONTROL_PORT, APP_PORT, STORE_PORT)
    for _ in range(50):
        net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        try:
            for port in (*ports, METRICS_PORT, PEER_PORT):
                with socket.socket() as probe:
                    probe.bind((f"{net}.10", port))
        except OSError:
            continue
        return net
    raise CannotRunError("no free loopback addresses")


def render(template: str, values: dict[str, Any]) -> str:
    """Fill in the placeholders of a template, as the platform's page describes them."""

    def value(match: "re.Match[str]") -> str:
        path, _, as_json = match.group(1).partition("|")
        found: Any = values
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        if as_json:
            return json.dumps(found)
        return ",".join(found) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([^{}]+)\}\}", value, template)


def make_config(
    version: int, services: list[str], routes: list[dict[str, Any]], cold_per_s: float = 7.1
) -> dict[str, Any]:
    """Return the operator's configuration."""
    columns = ["Name", "Host", "PathPrefix", "Kind", "Timeout", "TargetLatency", "Priority"]
    columns += ["TrafficSplit", "MaxAttempts", "Service"]
    rows = [[route.get(column) for column in columns] for route in routes]
    service_columns = ["Name", "HealthPath", "MaxConnections", "Protocol", "Tls"]
    service_columns += ["ColdStart", "ColdPerS"]
    service_rows = [[it, "/health", 220, "h1", False, "3s", cold_per_s] for it in services]
    return {
        "Version": version,
        "Routes": {"Columns": columns, "Rows": rows},
        "Services": {"Columns": service_columns, "Rows": service_rows},
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        },
    }


def route(name: str, prefix: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return one route of the configuration, with the figures of the site file."""
    found: dict[str, Any] = {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "Service": service,
    }
    found |= {"Timeout": "2000ms", "TargetLatency": "600ms", "Priority": 1, "MaxAttempts": 2}
    return found | changes


def send_json(url: str, value: Any, method: str) -> None:
    """Send a call with a JSON body."""
    data = None if value is None else json.dumps(value).encode()
    headers = {"Content-Type": "application/json"}
    request = urllib.request.Request(url, data, headers, method=method)
    with urllib.request.urlopen(request, timeout=5) as got:
        got.read()


def connects(address: str) -> bool:
    """Return whether something listens at an address."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), 1).close()
    except OSError:
        return False
    return True


class Reply:
    """What a client saw of one request.

    :ivar sent_at: wall clock in seconds
    :ivar status: HTTP status, 0 if no head arrived
    :ivar is_complete: whether the whole answer arrived
    :ivar ended: seconds from sending until the answer or the connection ended
    """

    def __init__(self, attempt_id: str) -> None:
        self.attempt_id = attempt_id
        self.sent_at = time.time()
        self.status = 0
        self.head: dict[str, str] = {}
        self.body = b""
        self.taken = 0
        self.is_complete = False
        self.ended = 0.0
        self.end = ""


async def send(
    address: str,
    attempt_id: str,
    path: str,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 4000,
    give_up_s: float | None = None,
) -> Reply:
    """Send a request over a new connection, and read the answer until the client's deadline."""
    reply = Reply(attempt_id)
    host, _, port = address.rpartition(":")
    limit = deadline_ms / 1000 if give_up_s is None else give_up_s
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(host, int(port))
            request = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            request += f"X-Kingcuppond-Attempt-Id: {attempt_id}\r\n"
            request += f"X-Kingcuppond-Deadline-Ms: {deadline_ms}\r\n"
            if method != "GET":
                request += f"Content-Length: {len(body)}\r\n"
            writer.write(request.encode() + b"\r\n" + body)
            await _read_answer(reader, reply)
            reply.end = "answered"
    except TimeoutError:
        reply.end = "the client left"
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        reply.end = f"the connection ended: {exc!r}"
    reply.ended = time.time() - reply.sent_at
    if writer is not None:
        writer.close()
    return reply


async def _read_answer(reader: asyncio.StreamReader, reply: Reply) -> None:
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    reply.status = int(raw[0].split(" ")[1])
    pairs = (line.partition(":") for line in raw[1:] if line)
    reply.head = {name.lower(): value.strip() for name, _, value in pairs}
    if reply.head.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            await reader.readexactly(size + 2)
            reply.taken += size
        await reader.readexactly(2)
    else:
        reply.body = await reader.readexactly(int(reply.head.get("content-length", "0")))
        reply.taken = len(reply.body)
    reply.is_complete = True


def check_is_serving(replies: list[Reply]) -> None:
    """Check that most requests were answered with success, as the case says nothing otherwise.

    :raises CannotRunError: they were not
    """
    good = sum(reply.status == 200 for reply in replies)
    if good * 3 < len(replies):
        raise CannotRunError(f"only {good} of {len(replies)} requests were answered with success")


def has_trouble() -> bool:
    """Return whether the disruption of the case is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play: Any, case: Path) -> int:
    """Run a case and return the exit code: 1 broken, 0 held, 2 could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        return 1 if play(case) else 0
    except CannotRunError as exc:
        print(f"could not run: {exc}")
        return 2
    except Exception as exc:
        print(f"could not run: {exc!r}")
        return 2
