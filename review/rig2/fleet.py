"""A small deployment on loopback addresses.

The daemons are started with the command of the deploy file, each with the settings that its
template yields.  The platform's store is the project's stand-in, in a process of its own.  Servers
and clients live in the script's process.
"""

import asyncio
import itertools
import json
import os
import random
import shutil
import socket
import subprocess
import tempfile
import time
from pathlib import Path
from typing import Any

import attrs

from review.rig2.http import Answer, call, send
from review.rig2.server import Run, Server

ROOT = Path(__file__).resolve().parents[2]
# Each script has a loopback address of its own, so that scripts which run at once don't clash.
HOST = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}.1"
FIRST_PORT, LAST_PORT = 12_000, 30_000
READY_SECONDS = 40.0
POLL_SECONDS = 0.05
ADDRESS_KEYS = (
    "caller_address",
    "relay_address",
    "ready_address",
    "server_address",
    "application_address",
    "peer_address",
    "metrics_address",
)
ROUTE_COLUMNS = (
    "Name",
    "Host",
    "PathPrefix",
    "Kind",
    "Timeout",
    "TargetLatency",
    "Priority",
    "TrafficSplit",
    "MaxAttempts",
    "Service",
)
SERVICE_COLUMNS = ("Name", "HealthPath", "MaxConnections", "Protocol", "Tls", "ColdStart")
SITE_HOST = "shop.example"
_PORTS = iter(random.sample(range(FIRST_PORT, LAST_PORT), LAST_PORT - FIRST_PORT))
_IDS = itertools.count(1)


def free_port() -> int:
    """Return a port that nothing uses now, below those of outgoing connections."""
    while True:
        port = next(_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


def route(name: str, kind: str, service: str, timeout: str = "2000ms") -> list[Any]:
    """Return a row of the routes; its prefix is its name."""
    return [name, SITE_HOST, f"/{name}/", kind, timeout, "600ms", 1, None, 2, service]


@attrs.frozen
class Sent:
    """One request of a client and what became of it; times are monotonic, in seconds."""

    at: float
    machine: str
    method: str
    path: str
    attempt_id: str
    answer: Answer
    ended_at: float


@attrs.frozen
class Machine:
    """A machine with its daemon and its server."""

    name: str
    zone: str
    service: str
    addresses: dict[str, str]
    server: Server


@attrs.define
class Fleet:
    """The processes and stand-ins of one run.

    :param plans: name, zone and service of each machine
    :param store_address_by_machine: where daemons find the store, if there is a proxy before it
    :param answer_bytes: least length of the servers' answers
    :param work_seconds: how long the servers work on a request
    :param record: lines of ``record.txt``
    """

    plans: list[tuple[str, str, str]]
    routes: list[list[Any]]
    store_address: str = attrs.field(factory=lambda: f"{HOST}:{free_port()}")
    store_address_by_machine: dict[str, str] = attrs.field(factory=dict)
    further_settings: dict[str, Any] = attrs.field(factory=dict)
    folder: Path = attrs.field(factory=lambda: Path(tempfile.mkdtemp(prefix="review2-")))
    machines: dict[str, Machine] = attrs.field(factory=dict)
    daemons: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)
    others: list[subprocess.Popen[bytes]] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    sent: list[Sent] = attrs.field(factory=list)
    answer_bytes: int = 0
    work_seconds: float = 0.01
    record: list[str] = attrs.field(factory=list)
    started: float = attrs.field(factory=time.monotonic)

    def note(self, text: str) -> None:
        """Write a line to the record, with the time since the start of the script."""
        self.record.append(f"{time.monotonic() - self.started:8.3f} s  {text}")

    async def start(self) -> None:
        """Start everything, and wait until all daemons know each other and the configuration."""
        port = self.store_address.rpartition(":")[2]
        arguments = ["standins.platform", "--host", HOST, "--port", port]
        self.others.append(self._spawn("store", arguments))
        await self._until_store_answers()
        await self.configure(1, self.routes)
        for name, zone, service in self.plans:
            addresses = {key: f"{HOST}:{free_port()}" for key in ADDRESS_KEYS}
            server = Server(
                name,
                zone,
                service,
                addresses["application_address"],
                addresses["server_address"],
                self.runs,
                self.answer_bytes,
                self.work_seconds,
            )
            self.machines[name] = Machine(name, zone, service, addresses, server)
            self._write_settings(self.machines[name], is_first_start=True)
            self.start_daemon(name)
            await server.start()
        await self.until_ready()
        self.note(f"{len(self.machines)} machines are ready")

    def start_daemon(self, name: str) -> None:
        """Start the daemon of a machine as the deploy file says."""
        arguments = ["kingcuppond", "daemon", "--settings", str(self.folder / f"{name}.json")]
        self.daemons[name] = self._spawn(name, arguments)

    def kill_daemons(self, names: list[str]) -> None:
        """Kill daemons at once; a later start is no first one."""
        for name in names:
            self.daemons[name].kill()
        for name in names:
            self.daemons[name].wait()
            self._write_settings(self.machines[name], is_first_start=False)
        self.note(f"killed the daemons of {', '.join(names)}")

    def stop(self) -> None:
        """Kill what is still running and delete the temporary folder."""
        processes = [*self.daemons.values(), *self.others]
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()
        shutil.rmtree(self.folder)

    async def configure(self, version: int, routes: list[list[Any]]) -> float:
        """Write the configuration; return when the store acknowledged it."""
        services = sorted({service for _, _, service in self.plans})
        rows = [[name, "/health", 220, "h1", False, "3s"] for name in services]
        spec = {
            "Version": version,
            "Routes": {"Columns": ROUTE_COLUMNS, "Rows": routes},
            "Services": {"Columns": SERVICE_COLUMNS, "Rows": rows},
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 67108864,
                "HeaderTimeout": "3000ms",
                "IdleTimeout": "15000ms",
            },
        }
        return await self.put("config", "main", spec)

    async def put(self, kind: str, name: str, spec: Any) -> float:
        """Write an object as the operator does; return when the store acknowledged it."""
        body = {"Metadata": {"Name": name}, "Spec": spec}
        answer = await call(self.store_address, "PUT", f"/objects/{kind}/{name}", body)
        if answer.status == 404:
            answer = await call(self.store_address, "POST", f"/objects/{kind}", body)
        if answer.status not in (200, 201):
            raise RuntimeError(f"the store answered {answer.status} to the operator")
        self.note(f"the store acknowledged {kind}/{name}")
        return time.monotonic()

    async def request(
        self, machine: str, method: str, path: str, body: bytes | None = None
    ) -> Sent:
        """Send a client's request to the daemon of a machine."""
        attempt_id = f"attempt-{next(_IDS):05d}"
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {SITE_HOST}\r\n"
            f"X-Kingcuppond-Attempt-Id: {attempt_id}\r\nX-Kingcuppond-Deadline-Ms: 4000\r\n"
        )
        if body is not None:
            head += f"Content-Length: {len(body)}\r\n"
        at = time.monotonic()
        address = self.machines[machine].addresses["caller_address"]
        answer = await send(address, f"{head}\r\n".encode() + (body or b""))
        sent = Sent(at, machine, method, path, attempt_id, answer, time.monotonic())
        self.sent.append(sent)
        return sent

    def runs_of(self, attempt_id: str) -> list[Run]:
        """Return where a request ran."""
        return [run for run in self.runs if run.attempt_id == attempt_id]

    async def status(self, name: str) -> dict[str, Any]:
        """Return the status page of a daemon."""
        address = self.machines[name].addresses["metrics_address"]
        return dict(json.loads((await call(address, "GET", "/v1/status")).body))

    async def until_ready(self) -> None:
        """Wait until each daemon knows all others, their servers and the configuration."""
        end = time.monotonic() + READY_SECONDS
        for name in self.machines:
            while not await self._is_ready(name):
                if time.monotonic() > end:
                    raise TimeoutError(f"the daemon of {name} did not become ready")
                await asyncio.sleep(POLL_SECONDS)

    def write_record(self, path: Path) -> None:
        """Write what was sent, answered and run."""
        lines = [*self.record, "", "requests: time sent, machine, request, answer, where it ran"]
        for item in self.sent:
            ran = ", ".join(
                f"{run.server} ({self.machines[run.server].service}): {run.line}"
                for run in self.runs_of(item.attempt_id)
            )
            status = item.answer.status or item.answer.error
            lines.append(
                f"{item.at - self.started:8.3f} s  {item.machine}  {item.method} {item.path} "
                f"{item.attempt_id}  -> {status}; ran at: {ran or 'no server'}"
            )
        path.write_text("\n".join(lines) + "\n")

    async def _is_ready(self, name: str) -> bool:
        try:
            status = await self.status(name)
        except ValueError:
            return False
        warm = [
            member
            for member in status["members"]
            if member["condition"] == "alive" and member["member"]["state"] in ("warm", "cold")
        ]
        return len(warm) >= len(self.machines) and status["configuration_version"] > 0

    async def _until_store_answers(self) -> None:
        end = time.monotonic() + READY_SECONDS
        while (await call(self.store_address, "GET", "/counts")).status != 200:
            if time.monotonic() > end:
                raise TimeoutError("the store did not start")
            await asyncio.sleep(POLL_SECONDS)

    def _write_settings(self, machine: Machine, is_first_start: bool) -> None:
        settings = {
            "vm": machine.name,
            "data_centre": machine.zone,
            "service": machine.service,
            "protocol": "platform",
            **machine.addresses,
            "platform_address": self.store_address_by_machine.get(machine.name, self.store_address),
            "seeds": [],
            "is_first_start": is_first_start,
            "fleet_retries": 58,
            "grace_ms": 5500,
            "kill_after": "6s",
            "server_silent_ms": 6000,
            "suspect_hold_ms": 0,
            "watch_wait_ms": 20000,
            "detour_ms": 25,
            "log_level": "debug",
            **self.further_settings,
        }
        (self.folder / f"{machine.name}.json").write_text(json.dumps(settings))

    def _spawn(self, name: str, arguments: list[str]) -> subprocess.Popen[bytes]:
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                ["python3", "-m", *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
