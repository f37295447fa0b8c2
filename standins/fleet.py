"""Starts a small fleet on this machine as separate processes: platform, servers, daemons.

Used by the demo, the tests with real processes and the bench.  All listen on 127.0.0.1; each
stands for a VM of its own.  Only processes that were started here are ended, by their id.
"""

import contextlib
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Final

import attrs

from standins.link import Link

HOST: Final = "127.0.0.1"
READY_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.05
STOP_SECONDS: Final = 20.0
FIRST_PORT: Final = 10_000
PORTS_PER_RUN: Final = 2000
WARM_UP_CALLERS: Final = 64


@attrs.frozen
class VmPlan:
    """One VM of the fleet.

    :param server_options: further options of the stand-in server
    """

    name: str
    data_centre: str
    service: str
    server_options: tuple[str, ...] = ()


@attrs.define
class Vm:
    """The addresses and processes of one VM."""

    plan: VmPlan
    caller: str
    peer: str
    server_port: str
    metrics: str
    server: str
    ready: str
    settings: Path
    processes_by_role: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)


@attrs.define
class Fleet:
    """A running fleet; use it as a context manager.

    :param linked_stores: VMs whose daemon reaches the store over a link of its own
    :param linked_servers: VMs whose daemon reaches its server over a link of its own
    :param is_on_platform: daemons and servers speak the users' platform's protocol
    """

    plans: Sequence[VmPlan]
    daemon_options: tuple[str, ...] = ()
    linked_stores: tuple[str, ...] = ()
    linked_servers: tuple[str, ...] = ()
    platform_options: tuple[str, ...] = ()
    log_level: str = "info"
    is_on_platform: bool = False
    first_start: bool = True
    folder: Path = attrs.field(init=False)
    platform: str = attrs.field(init=False)
    vms_by_name: dict[str, Vm] = attrs.field(factory=dict)
    store_links_by_name: dict[str, Link] = attrs.field(factory=dict)
    server_links_by_name: dict[str, Link] = attrs.field(factory=dict)
    _platform_process: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> "Fleet":
        self.folder = Path(tempfile.mkdtemp(prefix="kingcuppond-"))
        (self.folder / "fleet.key").write_text(secrets.token_hex(32))
        ports = free_ports(1 + 7 * len(self.plans))
        self.platform = f"{HOST}:{ports.pop()}"
        self.operator_settings.write_text(json.dumps({"platform_address": self.platform}))
        try:
            self.start_platform()
            for plan in self.plans:
                self._add(plan, [f"{HOST}:{ports.pop()}" for _ in range(7)])
            for name in self.vms_by_name:
                self.start(name)
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_args: object) -> None:
        self.stop()

    @property
    def operator_settings(self) -> Path:
        """The settings file for operators' commands."""
        return self.folder / "operator.json"

    def start(self, name: str) -> None:
        """Start the daemon and the server of a VM."""
        self.start_daemon(name)
        self.start_server(name)

    def start_platform(self) -> None:
        """Start the platform's store, empty."""
        port = self.platform.rpartition(":")[2]
        arguments = ["standins.platform", "--port", port, *self.platform_options]
        self._platform_process = self._spawn("platform", arguments)
        self._wait_for(f"http://{self.platform}/counts")

    def start_daemon(self, name: str) -> None:
        """Start the daemon of a VM."""
        vm = self.vms_by_name[name]
        arguments = ["kingcuppond", "daemon", "--settings", str(vm.settings), *self.daemon_options]
        vm.processes_by_role["daemon"] = self._spawn(f"{name}-daemon", arguments)

    def start_server(self, name: str, options: Sequence[str] = ()) -> None:
        """Start the server of a VM."""
        vm = self.vms_by_name[name]
        if self.is_on_platform:
            vm.processes_by_role["server"] = self._spawn(
                f"{name}-server",
                [
                    *("standins.platform_server", "--service", vm.plan.service),
                    *("--address", vm.server, "--daemon-server-address", vm.server_port),
                    *("--data-centre", vm.plan.data_centre, *vm.plan.server_options, *options),
                ],
            )
            return
        arguments = ["standins.server", "--service", vm.plan.service, "--address", vm.server]
        if name in self.server_links_by_name:
            link = self.server_links_by_name[name]
            arguments += ["--announced-address", f"{HOST}:{link.listen}"]
        arguments += ["--daemon-server-address", vm.server_port]
        arguments += ["--daemon-caller-address", vm.caller]
        arguments += [*vm.plan.server_options, *options]
        vm.processes_by_role["server"] = self._spawn(f"{name}-server", arguments)

    def signal(self, name: str, role: str, number: signal.Signals) -> None:
        """Send a signal to a process of a VM."""
        self.vms_by_name[name].processes_by_role[role].send_signal(number)

    def kill(self, name: str, role: str) -> None:
        """Kill a process of a VM and wait for its end."""
        process = self.vms_by_name[name].processes_by_role[role]
        process.kill()
        process.wait()

    def wait_exit(self, name: str, role: str, seconds: float = STOP_SECONDS) -> int:
        """Wait for a process to end by itself and return its exit code."""
        return self.vms_by_name[name].processes_by_role[role].wait(seconds)

    def stop(self) -> None:
        """End all processes that were started."""
        processes = [p for vm in self.vms_by_name.values() for p in vm.processes_by_role.values()]
        if self._platform_process is not None:
            processes.append(self._platform_process)
        for link in (*self.store_links_by_name.values(), *self.server_links_by_name.values()):
            link.stop()
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()

    def command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run an operator's command."""
        return subprocess.run(
            [sys.executable, "-m", "kingcuppond", *arguments],
            env={**os.environ, "KINGCUPPOND_SETTINGS": str(self.operator_settings)},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def operate(self, *arguments: str) -> str:
        """Run an operator's command that must succeed, and return what it prints."""
        done = self.command(*arguments)
        if done.returncode:
            raise RuntimeError(f"{' '.join(arguments)} ended with {done.returncode}: {done.stderr}")
        return done.stdout

    def apply_class(self, **values: object) -> None:
        """Apply a class of work."""
        path = self.folder / "class.json"
        path.write_text(json.dumps(values))
        self.operate("class", "apply", str(path))

    def set_platform_faults(self, **faults: object) -> None:
        """Set the faults of the platform; those left out are off."""
        put_json(f"http://{self.platform}/faults", faults)

    def set_server_faults(self, name: str, **faults: object) -> None:
        """Set the faults of a server; those left out are off."""
        put_json(f"http://{self.vms_by_name[name].server}/_/faults", faults)

    def runs(self, name: str) -> dict[str, Any]:
        """Return what a server ran."""
        return get_json(f"http://{self.vms_by_name[name].server}/_/runs")

    def runs_of(self, request_id: str) -> int:
        """Return how often a request ran, over all servers that are up."""
        total = 0
        for name, vm in self.vms_by_name.items():
            process = vm.processes_by_role.get("server")
            if process is not None and process.poll() is None:
                total += self.runs(name)["runs_by_id"].get(request_id, 0)
        return total

    def status(self, name: str) -> dict[str, Any]:
        """Return what a daemon sees."""
        return get_json(f"http://{self.vms_by_name[name].metrics}/v1/status")

    def log(self, name: str, role: str) -> str:
        """Return the log of a process."""
        return (self.folder / f"{name}-{role}.log").read_text()

    def wait_until_ready(self, names: Sequence[str] | None = None) -> None:
        """Wait until the daemons know each other, the configuration and their warm servers."""
        names = list(self.vms_by_name) if names is None else names
        end = time.monotonic() + READY_SECONDS
        for name in names:
            while not self._is_ready(name, len(names)):
                if time.monotonic() > end:
                    raise TimeoutError(f"{name} is not ready")
                time.sleep(POLL_SECONDS)

    def warm_up(self, path: str) -> None:
        """Send calls until every gate lets more than half of its server's slots be used."""
        end = time.monotonic() + READY_SECONDS
        with ThreadPoolExecutor(WARM_UP_CALLERS) as pool:
            while time.monotonic() < end:
                states = [self.status(name) for name in self.vms_by_name]
                cold = [state["vm"] for state in states if state["limit"] * 2 <= state["slots"]]
                if not cold:
                    return
                urls = [f"http://{self.vms_by_name[name].caller}{path}" for name in cold]
                list(pool.map(_read_quietly, urls * (WARM_UP_CALLERS // len(urls) + 1)))
        raise TimeoutError("servers did not become warm")

    def _is_ready(self, name: str, members: int) -> bool:
        try:
            status = self.status(name)
        except (OSError, ValueError):
            return False
        alive = [
            m
            for m in status["members"]
            if m["condition"] == "alive" and m["member"]["state"] in ("warm", "cold")
        ]
        return len(alive) >= members and status["configuration_version"] > 0

    def _link(self, target: str) -> Link:
        (port,) = free_ports(1)
        return Link(port, int(target.rpartition(":")[2])).start()

    def _add(self, plan: VmPlan, addresses: list[str]) -> None:
        caller, peer, server_port, metrics, server, relay, ready = addresses
        settings = self.folder / f"{plan.name}.json"
        store = self.platform
        if plan.name in self.linked_stores:
            link = self.store_links_by_name[plan.name] = self._link(self.platform)
            store = f"{HOST}:{link.listen}"
        if plan.name in self.linked_servers:
            self.server_links_by_name[plan.name] = self._link(server)
        values: dict[str, object] = {
            "vm": plan.name,
            "data_centre": plan.data_centre,
            "service": plan.service,
            "caller_address": caller,
            "peer_address": peer,
            "server_address": server_port,
            "metrics_address": metrics,
            "platform_address": store,
            "log_level": self.log_level,
        }
        if self.is_on_platform:
            values |= {
                "protocol": "platform",
                "relay_address": relay,
                "ready_address": ready,
                "application_address": server,
                "is_first_start": self.first_start,
                "grace_ms": 6000,
                "suspect_hold_ms": 0,
                "watch_wait_ms": 20_000,
            }
        else:
            values["fleet_key_file"] = "fleet.key"
        settings.write_text("// one VM of a test fleet\n" + json.dumps(values, indent=2))
        self.vms_by_name[plan.name] = Vm(
            plan, caller, peer, server_port, metrics, server, ready, settings
        )

    def _spawn(self, name: str, arguments: Sequence[str]) -> subprocess.Popen[bytes]:
        with (self.folder / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def _wait_for(self, url: str) -> None:
        end = time.monotonic() + READY_SECONDS
        while time.monotonic() < end:
            try:
                get_json(url)
            except (OSError, ValueError):
                time.sleep(POLL_SECONDS)
            else:
                return
        raise TimeoutError(url)


def free_ports(count: int) -> list[int]:
    """Return ports that are free, below the range for outgoing connections.

    Each parallel run of tests has a range of its own, and a process takes no port twice.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_PORTS)
        with socket.socket() as taken:
            try:
                taken.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
    return ports


def _port_range() -> Iterator[int]:
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw9").removeprefix("gw"))
    first = FIRST_PORT + PORTS_PER_RUN * (worker % 10)
    while True:
        yield from range(first, first + PORTS_PER_RUN)


_PORTS: Final = _port_range()


def get_json(url: str) -> dict[str, Any]:
    """Read a JSON page."""
    with urllib.request.urlopen(url, timeout=5) as answer:
        return dict(json.loads(answer.read()))


def _read_quietly(url: str) -> None:
    with contextlib.suppress(OSError), urllib.request.urlopen(url, timeout=5) as answer:
        answer.read()


def put_json(url: str, value: object, method: str = "PUT") -> None:
    """Send a JSON value."""
    request = urllib.request.Request(url, json.dumps(value).encode(), method=method)
    with urllib.request.urlopen(request, timeout=5) as answer:
        answer.read()


def plan_service(
    service: str, counts_by_data_centre: dict[str, int], *options: str
) -> list[VmPlan]:
    """Plan the VMs of one service."""
    return [
        VmPlan(f"{data_centre}-{service}-{i + 1}", data_centre, service, tuple(options))
        for data_centre, count in counts_by_data_centre.items()
        for i in range(count)
    ]
