"""Starts the project's own programs for the cases of the third review.

The daemons run with the command of the deploy file and settings rendered from its template, on
loopback addresses.  The store is the project's stand-in, the servers are ``review.rig3.server``.
"""

import json
import os
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request
from pathlib import Path
from types import TracebackType
from typing import Any, Final

import attrs

ROOT: Final = Path(__file__).resolve().parents[2]
READY_SECONDS: Final = 30.0

BOUNDS: Final = {"Grace": "6s", "BudgetExtraRetries": 58}
TENANT_BOUNDS: Final = {
    "FailClosed": False,
    "Revoke": "5000ms",
    "QuotaWindow": "5s",
    "QuotaOver": 0.1,
    "QuotaSlack": 20,
}


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template as the platform does, as far as the project's template needs it."""

    def find(path: str) -> Any:
        value: Any = fields
        for part in path.split("."):
            try:
                value = value[int(part)] if isinstance(value, list) else value[part]
            except (KeyError, IndexError):
                return None
        return value

    def section(match: re.Match[str]) -> str:
        return match[2] if find(match[1]) else ""

    def place(match: re.Match[str]) -> str:
        value = find(match[1])
        return json.dumps(value) if match[2] else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


@attrs.define
class Machine:
    """One machine: a daemon and its server."""

    name: str
    zone: str
    service: str
    ip: str
    settings: Path
    fields: dict[str, Any]
    daemon: "subprocess.Popen[bytes] | None" = None
    server: "subprocess.Popen[bytes] | None" = None

    @property
    def outbound(self) -> str:
        """Where clients of this machine send their requests."""
        return str(self.fields["Listen"]["Outbound"])


@attrs.define
class Rig:
    """A small deployment, which runs while its context manager is active.

    :param services: service of each machine
    :param zones: zone of each machine
    :param tenants: keys of each tenant; none where requests carry no keys
    :param without_server: indexes of the machines whose server is started later
    :param has_front: whether the machines reach the store through ``review.rig3.front``
    """

    services: list[str]
    zones: list[str]
    routes: list[dict[str, Any]]
    record: Path
    tenants: dict[str, list[str]] = attrs.field(factory=dict)
    without_server: frozenset[int] = frozenset()
    has_front: bool = False
    folder: Path = attrs.field(factory=lambda: Path(tempfile.mkdtemp(prefix="review-")))
    machines: list[Machine] = attrs.field(factory=list)
    _processes: list["subprocess.Popen[bytes]"] = attrs.field(factory=list)
    _store: str = ""

    def __enter__(self) -> "Rig":
        self.record.write_text("")
        numbers = range(1, len(self.services) + 1)
        ports = _free_ports(7, [self.ip_of(number) for number in numbers])
        self._store = f"127.0.0.1:{ports[6]}"
        try:
            host, port = self._store.split(":")
            self.spawn("store", ["-m", "standins.platform", "--host", host, "--port", port])
            self._wait(lambda: _get(f"http://{self._store}/counts") is not None)
            self.put_config(1)
            for number, (service, zone) in enumerate(
                zip(self.services, self.zones, strict=True), 1
            ):
                self._add(f"side-{zone}-{number}", service, zone, self.ip_of(number), ports)
            if self.has_front:
                self._start_front()
            for number, machine in enumerate(self.machines):
                self.start_daemon(machine)
                if number not in self.without_server:
                    self.start_server(machine)
            for machine in self.machines:
                self.wait_ready(machine)
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(
        self,
        _type: type[BaseException] | None,
        _value: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def ip_of(self, number: int) -> str:
        """Return the address of a machine; each script has a network of its own."""
        pid = os.getpid()
        return f"127.{1 + pid % 250}.{1 + pid // 250 % 250}.{number}"

    def note(self, text: str) -> None:
        """Append a line to the record of the case."""
        with self.record.open("a") as file:
            file.write(text + "\n")

    def put_config(self, version: int) -> None:
        """Write the operator's configuration."""
        columns = ["Name", "Host", "PathPrefix", "Kind", "Timeout", "TargetLatency", "Priority"]
        columns += ["Service", "MaxAttempts"]
        rows = [[route.get(name) for name in columns] for route in self.routes]
        services = sorted(set(self.services))
        spec: dict[str, Any] = {
            "Version": version,
            "Routes": {"Columns": columns, "Rows": rows},
            "Services": {
                "Columns": ["Name", "HealthPath", "ColdPerS"],
                "Rows": [[name, "/health", 7.1] for name in services],
            },
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 1_000_000,
                "HeaderTimeout": "5s",
                "IdleTimeout": "30s",
            },
        }
        if self.tenants:
            rows = [[name, keys, 0, 0] for name, keys in self.tenants.items()]
            columns = ["Name", "ApiKeys", "RatePerS", "Burst"]
            spec["Tenants"] = {"Columns": columns, "Rows": rows}
        body: dict[str, Any] = {"Metadata": {"Name": "main"}, "Spec": spec}
        method, path = "POST", "config"
        if version > 1:
            method, path = "PUT", "config/main"
        request = urllib.request.Request(
            f"http://{self._store}/objects/{path}",
            json.dumps(body).encode(),
            {"Content-Type": "application/json"},
            method=method,
        )
        urllib.request.urlopen(request, timeout=5).close()

    def set_store_faults(self, **faults: object) -> None:
        """Replace the faults of the store."""
        request = urllib.request.Request(
            f"http://{self._store}/faults", json.dumps(faults).encode(), method="PUT"
        )
        urllib.request.urlopen(request, timeout=5).close()

    def _start_front(self) -> None:
        for machine in self.machines:
            port = self._store.rpartition(":")[2]
            machine.fields["Platform"]["Address"] = f"{machine.ip}:{port}"
        ips = ",".join(machine.ip for machine in self.machines)
        arguments = ["--store", self._store, "--control", str(self.front_file), "--ips", ips]
        self.spawn("front", ["-m", "review.rig3.front", *arguments])
        address = self.machines[-1].fields["Platform"]["Address"]
        self._wait(lambda: _get(f"http://{address}/counts") is not None)

    @property
    def front_file(self) -> Path:
        """The file that lists the addresses of the machines that the store turns away."""
        return self.folder / "front.json"

    def start_daemon(self, machine: Machine) -> None:
        """Start the daemon of a machine with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        template = (ROOT / deploy["roles"]["daemon"]["template"]).read_text()
        machine.settings.write_text(render(template, machine.fields))
        words = deploy["roles"]["daemon"]["run"].split()
        words = [str(machine.settings) if word.startswith("/etc/") else word for word in words]
        machine.daemon = self.spawn(f"{machine.name}-daemon", words[1:])
        machine.fields["FirstStart"] = False

    def trouble_file(self, machine: Machine) -> Path:
        """Return the file that tells a server to fail a part of its requests."""
        return self.folder / f"{machine.name}-trouble.json"

    def leave_file(self, machine: Machine) -> Path:
        """Return the file that tells a server to report that it is leaving."""
        return self.folder / f"{machine.name}-leave"

    @property
    def harm_file(self) -> Path:
        """The file that names the path and the caller of the request that crashes servers."""
        return self.folder / "harm.json"

    def start_server(self, machine: Machine, *options: str) -> None:
        """Start the server of a machine, always under the same id."""
        machine.server = self.spawn(
            f"{machine.name}-server",
            [
                *("-m", "review.rig3.server", "--service", machine.service),
                *("--address", machine.fields["AppAddr"], "--zone", machine.zone),
                *("--control", machine.fields["Listen"]["Control"]),
                *("--instance", f"i-{machine.name}"),
                *("--log", str(self.folder / f"{machine.name}-runs.jsonl")),
                *("--trouble", str(self.trouble_file(machine))),
                *("--leave", str(self.leave_file(machine))),
                *("--harm", str(self.harm_file)),
                *options,
            ],
        )

    def spawn(self, name: str, arguments: list[str]) -> "subprocess.Popen[bytes]":
        """Start a Python program at the root of the repository."""
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        return process

    def wait_ready(self, machine: Machine) -> None:
        """Wait until a daemon is ready and serves a request of each route."""
        ready = f"http://{machine.fields['Listen']['Ready']}/ready"
        self._wait(lambda: _get(ready) is not None)

    def runs(self) -> list[dict[str, Any]]:
        """Return what all servers have begun to run, and what was acknowledged to them."""
        return [
            json.loads(line)
            for machine in self.machines
            for path in [self.folder / f"{machine.name}-runs.jsonl"]
            if path.exists()
            for line in path.read_text().splitlines()
        ]

    def log(self, machine: Machine) -> str:
        """Return what a daemon has printed."""
        return (self.folder / f"{machine.name}-daemon.log").read_text()

    def _wait(self, is_reached: Any) -> None:
        end = time.monotonic() + READY_SECONDS
        while not is_reached():
            if time.monotonic() > end:
                raise TimeoutError("the deployment did not become ready")
            time.sleep(0.05)

    def _add(self, name: str, service: str, zone: str, ip: str, ports: list[int]) -> None:
        fields: dict[str, Any] = {
            "NodeName": name,
            "Zone": zone,
            "Service": service,
            "Ip": ip,
            "AppAddr": f"{ip}:{ports[0]}",
            "Listen": {
                "Inbound": f"{ip}:{ports[1]}",
                "Outbound": f"{ip}:{ports[2]}",
                "Ready": f"{ip}:{ports[3]}",
                "Control": f"{ip}:{ports[4]}",
            },
            "InternalPorts": [ports[5], ports[5]],
            "Platform": {"Address": self._store},
            "Seeds": [],
            "FirstStart": True,
            "Bounds": BOUNDS | (TENANT_BOUNDS if self.tenants else {}),
        }
        settings = self.folder / f"{name}.json"
        self.machines.append(Machine(name, zone, service, ip, settings, fields))


def exchange(address: str, request: bytes, seconds: float = 8.0) -> bytes:
    """Send a request on a new connection and return all bytes until its answer ends."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=seconds) as connection:
        connection.sendall(request)
        return read_answer(connection)


def read_answer(connection: socket.socket) -> bytes:
    """Read one answer; what has arrived by then if the connection ends or nothing comes."""
    data = b""
    try:
        while True:
            head, found, body = data.partition(b"\r\n\r\n")
            if found:
                length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
                if length is not None and len(body) >= int(length[1]):
                    return data
                if b"chunked" in head.lower() and body.endswith(b"0\r\n\r\n"):
                    return data
            piece = connection.recv(65536)
            if not piece:
                return data
            data += piece
    except OSError:
        return data


def _get(url: str) -> bytes | None:
    try:
        with urllib.request.urlopen(url, timeout=2) as answer:
            return bytes(answer.read())
    except OSError:
        return None


def _free_ports(count: int, ips: list[str]) -> list[int]:
    """Return ports that are free on the addresses of all machines."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = int(probe.getsockname()[1])
        if port in ports:
            continue
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        ports.append(port)
    return ports
