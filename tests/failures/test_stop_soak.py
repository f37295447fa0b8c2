"""A seeded soak of planned stops, restarts, signals and changes that come in series and overlap.

Callers keep using their open connections until the process has ended.  CI plays one seed; others
are played by hand: ``STOP_SOAK_SEEDS=1-50 pytest tests/failures/test_stop_soak.py``.
"""

import asyncio
import itertools
import os
import signal
import time
from collections import Counter
from random import Random

import aiohttp
import attrs
import pytest

from standins.fleet import Fleet, plan_service
from tests.failures.test_planned_stop import KILL_SECONDS
from tests.failures.test_platform import HOST, configure
from tests.failures.test_settings import read_settings, write_settings

CI_SEEDS = "1-1"
SERVICE = {"dc-1": 2, "dc-2": 2}
CALLERS_PER_VM = 8
TIMEOUTS_MS = {"GET": 4000, "POST": 2000}
SERVICE_TIMES_MS = (5, 5, 50, 300, 1200, 2500, 3500)
DEADLINES_MS = (500, 2000, 4000, 8000)
LOSS_SLACK_SECONDS = 0.2
EXCUSED_IF_SENT_WITHIN_SECONDS = 3.0
EXCUSED_IF_AT_WORK_AFTER_SECONDS = KILL_SECONDS * 5 / 6
DEADLINE_TOLERANCE_SECONDS = 0.05
TICK_SECONDS = 0.01
LAST_STOP_SECONDS = 4.0
FAULTS_SHOWN = 3
PROCESS_LINES = 6
PROCESS_EVENTS = ("E101", "E102", "E103", "E110", "E108")


def seeds() -> list[int]:
    first, _, last = os.environ.get("STOP_SOAK_SEEDS", CI_SEEDS).partition("-")
    return list(range(int(first), int(last or first) + 1))


@attrs.frozen
class Request:
    """A request and what its caller saw.

    :param status: HTTP status, 0 if the connection was lost before a complete answer
    :param is_accepted: whether the connection was established
    :param sent_at: monotonic time in seconds
    :param ended_at_ms: the wall clock, as in the logs
    """

    id: str
    vm: str
    method: str
    deadline_ms: int
    status: int
    is_accepted: bool
    sent_at: float
    ended_at: float
    ended_at_ms: int = attrs.field(factory=lambda: round(time.time() * 1000))

    @property
    def is_past_deadline(self) -> bool:
        limit = min(self.deadline_ms, TIMEOUTS_MS[self.method]) / 1000
        return self.ended_at - self.sent_at >= limit - DEADLINE_TOLERANCE_SECONDS


@attrs.define
class Soak:
    """One run.

    :param stopped_at_by_vm: monotonic times of each first SIGTERM of a process, in seconds
    :param killed: daemons that were still there when the platform kills them, and their logs
    :param delays: start and end of each time in which the callers did not run, in seconds; the
        start of a process holds them up, on a busy machine for some tenths of a second
    """

    fleet: Fleet
    rng: Random
    requests: list[Request] = attrs.field(factory=list)
    stopped_at_by_vm: dict[str, list[float]] = attrs.field(factory=dict)
    killed: list[str] = attrs.field(factory=list)
    delays: list[tuple[float, float]] = attrs.field(factory=list)
    version: int = 1
    is_over: bool = False

    async def call_steadily(self, vm: str, seed: int, number: int) -> None:
        """Be one caller, with a connection of its own."""
        rng = Random(f"{seed} {vm} {number}")
        timeout = aiohttp.ClientTimeout(total=20)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            session._retry_connection = False
            for i in itertools.count():
                if self.is_over:
                    return
                request = await self.send(session, rng, vm, f"{vm}-{number}-{i}")
                self.requests.append(request)
                await asyncio.sleep(rng.random() * 0.2 if request.is_accepted else 0.2)

    async def send(
        self, session: aiohttp.ClientSession, rng: Random, vm: str, request_id: str
    ) -> Request:
        method, path = rng.choice([("GET", "/read/1"), ("POST", "/book/1")])
        deadline_ms = rng.choice(DEADLINES_MS)
        headers = {
            "Host": HOST,
            "X-Kingcuppond-Attempt-Id": request_id,
            "X-Kingcuppond-Deadline-Ms": str(deadline_ms),
        }
        if method == "POST" and rng.random() < 0.5:
            headers["Idempotency-Key"] = request_id
        address = self.fleet.vms_by_name[vm].caller
        url = f"http://{address}{path}?ms={rng.choice(SERVICE_TIMES_MS)}"
        data = bytes(rng.choice([1, 20_000])) if method == "POST" else None
        sent_at = time.monotonic()
        status, is_accepted = 0, True
        try:
            async with session.request(method, url, headers=headers, data=data) as response:
                await response.read()
                status = response.status
        except aiohttp.ClientConnectorError:
            is_accepted = False
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        ended_at = time.monotonic()
        return Request(request_id, vm, method, deadline_ms, status, is_accepted, sent_at, ended_at)

    async def stop_and_start(self, vm: str) -> None:
        """Stop a daemon once or twice, with further signals on the way, and start it again."""
        rng = Random(self.rng.random())
        await asyncio.sleep(rng.uniform(0.3, LAST_STOP_SECONDS))
        for _ in range(1 if rng.random() < 0.7 else 2):
            await self.stop(vm, rng)
            await asyncio.sleep(rng.choice([0.0, 0.5]))
            settings = self.fleet.vms_by_name[vm].settings
            write_settings(settings, read_settings(settings) | {"is_first_start": False})
            self.fleet.start_daemon(vm)
            await asyncio.sleep(rng.uniform(0.0, 2.0))

    async def stop(self, vm: str, rng: Random) -> None:
        process = self.fleet.vms_by_name[vm].processes_by_role["daemon"]
        if rng.random() < 0.5:
            process.send_signal(signal.SIGHUP)
        stopped_at, stopped_at_ms = time.monotonic(), round(time.time() * 1000)
        self.stopped_at_by_vm.setdefault(vm, []).append(stopped_at)
        process.send_signal(signal.SIGTERM)
        numbers = [signal.SIGHUP, signal.SIGTERM, signal.SIGINT]
        signals = sorted(
            (rng.uniform(0.0, KILL_SECONDS), rng.choice(numbers))
            for _ in range(rng.choice([0, 0, 3]))
        )
        while process.poll() is None:
            now = time.monotonic() - stopped_at
            if now >= KILL_SECONDS:
                lines = self.process_lines(vm)[-PROCESS_LINES:]
                self.killed.append("\n".join([f"{vm} stopped at {stopped_at_ms}", *lines]))
                self.fleet.kill(vm, "daemon")
            if signals and now >= signals[0][0]:
                process.send_signal(signals.pop(0)[1])
            await asyncio.sleep(0.01)

    async def watch_delays(self) -> None:
        while True:
            began_at = time.monotonic()
            await asyncio.sleep(TICK_SECONDS)
            if time.monotonic() > began_at + 2 * TICK_SECONDS:
                self.delays.append((began_at + TICK_SECONDS, time.monotonic()))

    async def change_configuration(self) -> None:
        while not self.is_over:
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            self.version += 1
            latency = f"{self.rng.choice([400, 500, 600])}ms"
            await asyncio.to_thread(
                configure,
                self.fleet,
                self.version,
                TargetLatency=latency,
                Timeout=f"{TIMEOUTS_MS['GET']}ms",
            )

    async def change_settings(self) -> None:
        names = list(self.fleet.vms_by_name)
        while not self.is_over:
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            vm = self.rng.choice(names)
            settings = self.fleet.vms_by_name[vm].settings
            silent_ms = self.rng.randint(2000, 5000)
            write_settings(settings, read_settings(settings) | {"server_silent_ms": silent_ms})

    async def play(self, seed: int) -> None:
        """Stop most of the daemons, one after another or at once, while callers call."""
        names = list(self.fleet.vms_by_name)
        callers = [
            asyncio.create_task(self.call_steadily(vm, seed, number))
            for vm in names
            for number in range(CALLERS_PER_VM)
        ]
        changes = [
            asyncio.create_task(self.change_configuration()),
            asyncio.create_task(self.change_settings()),
        ]
        watching = asyncio.create_task(self.watch_delays())
        stopping = self.rng.sample(names, 3)
        await asyncio.gather(*(self.stop_and_start(vm) for vm in stopping))
        self.is_over = True
        await asyncio.gather(*callers, *changes)
        watching.cancel()

    def is_excused(self, request: Request) -> bool:
        """Return whether a server was at work too long on a request that came early in a stop."""
        stops = [at for at in self.stopped_at_by_vm.get(request.vm, []) if at <= request.ended_at]
        return bool(stops) and (
            request.sent_at <= stops[-1] + EXCUSED_IF_SENT_WITHIN_SECONDS
            and request.ended_at >= stops[-1] + EXCUSED_IF_AT_WORK_AFTER_SECONDS
        )

    def own_delay(self, request: Request) -> float:
        """Return for how many seconds of a request its caller did not run."""
        return sum(
            max(0.0, min(ended_at, request.ended_at) - max(began_at, request.sent_at))
            for began_at, ended_at in self.delays
        )

    def fault(self, request: Request, runs: int) -> str:
        """Return what is wrong with the answer to a request; empty if nothing is."""
        seconds = request.ended_at - request.sent_at - self.own_delay(request)
        if request.method == "POST" and runs > 1:
            return f"ran {runs} times"
        if request.method == "POST" and runs and request.status in (408, 421, 429, 503):
            return "is told that it was not run, and it ran"
        if request.status not in (0, 200, 502, 503, 504):
            return "is denied"
        if request.status in (200, 503) or not request.is_accepted or request.is_past_deadline:
            return ""
        if runs and not self.is_excused(request):
            return "was passed on and given up"
        if not runs and not request.status and seconds > LOSS_SLACK_SECONDS:
            return "was kept and not answered"
        return ""

    def describe(self, request: Request) -> str:
        """Return when the daemon was stopped, and the log lines about a request and its daemon."""
        stops = [round(request.sent_at - at, 3) for at in self.stopped_at_by_vm.get(request.vm, [])]
        lines = [
            f"{vm}: {line}"
            for vm in self.fleet.vms_by_name
            for line in self.fleet.log(vm, "daemon").splitlines()
            if f'"{request.id}"' in line
        ]
        delay = self.own_delay(request)
        sent = f"sent {stops} s after the stops, the caller was delayed for {delay} s"
        return "\n".join([sent, *self.process_lines(request.vm), *lines])

    def process_lines(self, vm: str) -> list[str]:
        """Return the log lines of a daemon about its process."""
        lines = self.fleet.log(vm, "daemon").splitlines()
        return [line for line in lines if any(f'"{event}"' in line for event in PROCESS_EVENTS)]


@pytest.mark.parametrize("seed", seeds())
async def test_stops_in_series_and_at_once_lose_no_request(seed: int) -> None:
    rng = Random(seed)
    plans = plan_service("shop", SERVICE, "--slots", str(rng.choice([4, 32])))
    with Fleet(plans, is_on_platform=True, log_level="debug") as fleet:
        configure(fleet, Timeout=f"{TIMEOUTS_MS['GET']}ms")
        fleet.wait_until_ready()
        soak = Soak(fleet, rng)
        await soak.play(seed)
        counts = sum((Counter(fleet.runs(vm)["runs_by_id"]) for vm in fleet.vms_by_name), Counter())
        found = [
            f"{request} {fault}\n{soak.describe(request)}"
            for request in soak.requests
            if (fault := soak.fault(request, counts[request.id]))
        ]
        unknown = [request for request in soak.requests if request.status == 502]
        print(
            f"seed {seed}: {len(soak.requests)} requests,",
            f"{sum(map(len, soak.stopped_at_by_vm.values()))} stops,",
            f"{sum(not counts[request.id] for request in unknown)} of {len(unknown)} answers 502",
            "to requests that had not run",
        )
    assert not found, f"seed {seed}\n" + "\n".join(found[:FAULTS_SHOWN])
    assert not soak.killed, f"seed {seed}\n" + "\n".join(soak.killed)
