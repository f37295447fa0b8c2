"""Runs a small fleet on this machine as separate processes: platform store, servers and daemons.

The demo, the tests with real processes and the benchmarks use it.  All processes listen on
loopback addresses; a daemon and its server stand for one VM.  Only processes that were started here
are ended, by their id.
"""

import json
import os
import secrets
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Final

import attrs

from standins.addresses import free_addresses
from standins.http_client import get_ignoring_errors, get_json, is_success, put_json
from standins.link import Link

READY_TIMEOUT_SECONDS: Final = 30.0
POLL_INTERVAL_SECONDS: Final = 0.05
EXIT_TIMEOUT_SECONDS: Final = 20.0
WARM_UP_CALLERS: Final = 64


@attrs.frozen
class VmPlan:
    """Configuration of one VM of the fleet.

    :param server_options: additional command line options of the fake server
    """

    name: str
    data_centre: str
    service: str
    server_options: tuple[str, ...] = ()


@attrs.define
class Vm:
    """The addresses and processes of one VM.

    :param caller: where its daemon accepts callers' requests
    :param peer: where its daemon talks to other daemons
    :param server_port: where its daemon accepts messages of the server
    :param metrics: where its daemon serves metrics and status
    :param server: where its server accepts requests
    :param ready: where its daemon answers readiness probes
    """

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
    """A fleet of processes, which runs while its context manager is active.

    :param linked_stores: names of VMs whose daemon reaches the store through its own ``Link``
    :param linked_servers: names of VMs whose daemon reaches its server through its own ``Link``
    :param is_on_platform: whether daemons and servers use the protocol of the users' platform
    :param first_start: the setting ``is_first_start`` of all daemons, if ``is_on_platform``
    :param further_settings: further settings of all daemons
    :param kill_after: the setting ``kill_after`` of all daemons, if ``is_on_platform``
    """

    plans: Sequence[VmPlan]
    daemon_options: tuple[str, ...] = ()
    linked_stores: tuple[str, ...] = ()
    linked_servers: tuple[str, ...] = ()
    platform_options: tuple[str, ...] = ()
    log_level: str = "info"
    is_on_platform: bool = False
    first_start: bool = True
    kill_after: str = "6s"
    further_settings: dict[str, object] = attrs.field(factory=dict)
    folder: Path = attrs.field(init=False)
    platform: str = attrs.field(init=False)
    vms_by_name: dict[str, Vm] = attrs.field(factory=dict)
    store_links_by_name: dict[str, Link] = attrs.field(factory=dict)
    server_links_by_name: dict[str, Link] = attrs.field(factory=dict)
    _platform_process: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> "Fleet":
        self.folder = Path(tempfile.mkdtemp(prefix="kingcuppond-"))
        (self.folder / "fleet.key").write_text(secrets.token_hex(32))
        addresses = free_addresses(1 + 7 * len(self.plans))
        self.platform = addresses.pop()
        self.operator_settings.write_text(json.dumps({"platform_address": self.platform}))
        try:
            self.start_platform()
            for plan in self.plans:
                self._add_vm(plan, [addresses.pop() for _ in range(7)])
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
        """The settings file that operator commands use."""
        return self.folder / "operator.json"

    def start(self, name: str) -> None:
        """Start the daemon and the server of a VM."""
        self.start_daemon(name)
        self.start_server(name)

    def start_platform(self) -> None:
        """Start the platform store without any objects."""
        host, _, port = self.platform.rpartition(":")
        arguments = ["standins.platform", "--host", host, "--port", port, *self.platform_options]
        self._platform_process = self._spawn("platform", arguments)
        self._wait_until_reachable(f"http://{self.platform}/counts")

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
            arguments += ["--announced-address", link.address]
        arguments += ["--daemon-server-address", vm.server_port]
        arguments += ["--daemon-caller-address", vm.caller]
        arguments += [*vm.plan.server_options, *options]
        vm.processes_by_role["server"] = self._spawn(f"{name}-server", arguments)

    def signal(self, name: str, role: str, number: signal.Signals) -> None:
        """Send a signal to a process of a VM.

        :param role: ``daemon`` or ``server``
        """
        self.vms_by_name[name].processes_by_role[role].send_signal(number)

    def kill(self, name: str, role: str) -> None:
        """Kill a process of a VM and wait until it has exited."""
        process = self.vms_by_name[name].processes_by_role[role]
        process.kill()
        process.wait()

    def wait_exit(self, name: str, role: str, seconds: float = EXIT_TIMEOUT_SECONDS) -> int:
        """Wait until a process exits by itself.

        :return: its exit code
        """
        return self.vms_by_name[name].processes_by_role[role].wait(seconds)

    def stop(self) -> None:
        """Kill all processes and delete the fleet's folder."""
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
        """Run an operator command and return its result, whatever its exit code is."""
        return subprocess.run(
            [sys.executable, "-m", "kingcuppond", *arguments],
            env={**os.environ, "KINGCUPPOND_SETTINGS": str(self.operator_settings)},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def operate(self, *arguments: str) -> str:
        """Run an operator command that must succeed.

        :return: its standard output
        :raises RuntimeError: if its exit code is not 0
        """
        result = self.command(*arguments)
        if result.returncode:
            raise RuntimeError(
                f"kingcuppond {' '.join(arguments)} failed with exit code "
                f"{result.returncode}: {result.stderr}"
            )
        return result.stdout

    def apply_class(self, **values: object) -> None:
        """Apply a class of work."""
        path = self.folder / "class.json"
        path.write_text(json.dumps(values))
        self.operate("class", "apply", str(path))

    def set_platform_faults(self, **faults: object) -> None:
        """Replace the faults of the platform store; those left out are off."""
        put_json(f"http://{self.platform}/faults", faults)

    def copy_platform(self) -> None:
        """Mark the present state of the platform store, for ``restore_platform``."""
        put_json(f"http://{self.platform}/copy", {})

    def restore_platform(self, **options: float) -> None:
        """Return the platform store to an earlier state; the stand-in describes the options."""
        put_json(f"http://{self.platform}/restore", options)

    def set_server_faults(self, name: str, **faults: object) -> None:
        """Replace the faults of a server; those left out are off."""
        put_json(f"http://{self.vms_by_name[name].server}/_/faults", faults)

    def runs(self, name: str) -> dict[str, Any]:
        """Return the counters of a server."""
        return get_json(f"http://{self.vms_by_name[name].server}/_/runs")

    def runs_of(self, request_id: str) -> int:
        """Return how often a request ran on all servers whose process is running."""
        total = 0
        for name, vm in self.vms_by_name.items():
            process = vm.processes_by_role.get("server")
            if process is not None and process.poll() is None:
                total += self.runs(name)["runs_by_id"].get(request_id, 0)
        return total

    def status(self, name: str) -> dict[str, Any]:
        """Return the status page of a daemon."""
        return get_json(f"http://{self.vms_by_name[name].metrics}/v1/status")

    def log(self, name: str, role: str) -> str:
        """Return the log of a process.

        :param role: ``daemon`` or ``server``
        """
        return (self.folder / f"{name}-{role}.log").read_text()

    def wait_until_ready(
        self, names: Sequence[str] | None = None, seconds: float = READY_TIMEOUT_SECONDS
    ) -> None:
        """Wait until daemons know each other and their servers, and have the configuration.

        :param names: VMs whose daemons are waited for, all by default; each must know at least as
            many live members, with a server that accepts work
        :raises TimeoutError: after ``seconds``
        """
        names = list(self.vms_by_name) if names is None else names
        end = time.monotonic() + seconds
        for name in names:
            while not self._is_ready(name, len(names)):
                if time.monotonic() > end:
                    raise TimeoutError(f"the daemon of {name} did not become ready in time")
                time.sleep(POLL_INTERVAL_SECONDS)

    def warm_up(self, path: str) -> None:
        """Send calls until every gate's concurrency limit is above half of its server's slots.

        :raises TimeoutError: after ``READY_TIMEOUT_SECONDS``
        """
        end = time.monotonic() + READY_TIMEOUT_SECONDS
        with ThreadPoolExecutor(WARM_UP_CALLERS) as pool:
            while time.monotonic() < end:
                states = [self.status(name) for name in self.vms_by_name]
                cold = [state["vm"] for state in states if state["limit"] * 2 <= state["slots"]]
                if not cold:
                    return
                urls = [f"http://{self.vms_by_name[name].caller}{path}" for name in cold]
                list(pool.map(get_ignoring_errors, urls * (WARM_UP_CALLERS // len(urls) + 1)))
        raise TimeoutError("the gates did not raise their concurrency limits in time")

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
        return len(alive) >= members and is_success(f"http://{self.vms_by_name[name].ready}/ready")

    def _start_link(self, target: str) -> Link:
        (address,) = free_addresses(1)
        return Link(address, target).start()

    def _add_vm(self, plan: VmPlan, addresses: list[str]) -> None:
        caller, peer, server_port, metrics, server, relay, ready = addresses
        settings = self.folder / f"{plan.name}.json"
        store = self.platform
        if plan.name in self.linked_stores:
            link = self.store_links_by_name[plan.name] = self._start_link(self.platform)
            store = link.address
        if plan.name in self.linked_servers:
            self.server_links_by_name[plan.name] = self._start_link(server)
        values: dict[str, object] = {
            "vm": plan.name,
            "data_centre": plan.data_centre,
            "service": plan.service,
            "caller_address": caller,
            "peer_address": peer,
            "server_address": server_port,
            "metrics_address": metrics,
            "ready_address": ready,
            "platform_address": store,
            "log_level": self.log_level,
        }
        if self.is_on_platform:
            values |= {
                "protocol": "platform",
                "relay_address": relay,
                "application_address": server,
                "is_first_start": self.first_start,
                "kill_after": self.kill_after,
                "suspect_hold_ms": 0,
                "watch_wait_ms": 20_000,
            }
        else:
            values["fleet_key_file"] = "fleet.key"
        values |= self.further_settings
        settings.write_text("// one VM of a test fleet\n" + json.dumps(values, indent=2))
        self.vms_by_name[plan.name] = Vm(
            plan, caller, peer, server_port, metrics, server, ready, settings
        )

    def _spawn(self, name: str, arguments: Sequence[str]) -> subprocess.Popen[bytes]:
        with (self.folder / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def _wait_until_reachable(self, url: str) -> None:
        end = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < end:
            try:
                get_json(url)
            except (OSError, ValueError):
                time.sleep(POLL_INTERVAL_SECONDS)
            else:
                return
        raise TimeoutError(url)


def plan_service(
    service: str, counts_by_data_centre: dict[str, int], *options: str
) -> list[VmPlan]:
    """Return plans for the VMs of one service.

    :param options: additional command line options of the fake servers
    """
    return [
        VmPlan(f"{data_centre}-{service}-{i + 1}", data_centre, service, tuple(options))
        for data_centre, count in counts_by_data_centre.items()
        for i in range(count)
    ]
