"""Restores of the store in series, overlapping with faults of daemons, servers and the store.

A round has one to three restores and daemons that are killed, paused or restarted, and then waits
until keys are served everywhere.  In a round only daemons of one data centre lose what they have in
memory, since losses in both between a copy and the end of the renewal are allowed to lose a claim
(see docs/design/restored-store.md).  ``SOAK_SEEDS`` (``first-last``) and ``SOAK_ROUNDS`` set a
longer run.
"""

import asyncio
import contextlib
import itertools
import os
import random
import shutil
import signal
import time
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import pytest

from standins.fleet import Fleet, plan_service
from tests.failures.test_platform import (
    DRAIN_SECONDS,
    HOST,
    RECOVERY_SECONDS,
    configure,
    is_ready,
    wait_until,
)
from tests.failures.test_restored_store import restart_daemon

PLANS = plan_service("shop", {"dc-1": 2, "dc-2": 2})
DATA_CENTRES = sorted({plan.data_centre for plan in PLANS})
VM_NAMES = [plan.name for plan in PLANS]
ROUNDS = int(os.environ.get("SOAK_ROUNDS", "2"))
KEYS_PER_SECOND = 25.0
CALL_DEADLINE_MS = 2000
NOT_RUN_STATUSES = (408, 421, 429, 503)
LEAVING_SECONDS = 1.5
"""How long a leaving server is watched after the bound."""


def seeds() -> list[int]:
    first, _, last = os.environ.get("SOAK_SEEDS", "1").partition("-")
    return list(range(int(first), int(last or first) + 1))


def is_listening(fleet: Fleet, vm: str) -> bool:
    """Return whether a server answers."""
    try:
        fleet.runs(vm)
    except OSError:
        return False
    return True


@attrs.define
class Soak:
    """A fleet, the calls sent to it and what was found.

    :param statuses_by_id: answer of each call that has ended, 0 if its connection broke
    :param earlier_runs: runs at servers that were replaced since
    :param refusals_by_key: the last answer to each key other than 200
    :param refusals: number of all such answers
    """

    fleet: Fleet
    rng: random.Random
    statuses_by_id: dict[str, int] = attrs.field(factory=dict)
    earlier_runs: Counter[str] = attrs.field(factory=Counter)
    refusals_by_key: dict[str, str] = attrs.field(factory=dict)
    refusals: Counter[str] = attrs.field(factory=Counter)
    errors: list[str] = attrs.field(factory=list)
    notes: list[str] = attrs.field(factory=list)
    is_over: asyncio.Event = attrs.field(factory=asyncio.Event)
    started_at: float = attrs.field(factory=time.monotonic)
    _ids: Any = attrs.field(factory=lambda: itertools.count(1))

    def note(self, text: str) -> None:
        self.notes.append(f"{time.monotonic() - self.started_at:7.2f} {text}")

    async def call(self, vm: str, key: str, ms: int = 5) -> int:
        """Send a key to a daemon and return the status of the answer."""
        id_ = f"{key}#{next(self._ids)}"
        headers = {
            "Host": HOST,
            "Idempotency-Key": key,
            "X-Kingcuppond-Attempt-Id": id_,
            "X-Kingcuppond-Deadline-Ms": str(CALL_DEADLINE_MS),
        }
        url = f"http://{self.fleet.vms_by_name[vm].caller}/book/{key}?ms={ms}"
        timeout = aiohttp.ClientTimeout(total=10)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, headers=headers, data=b"body") as response,
            ):
                text = await response.text()
                status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            status, text = 0, repr(exc)
        if status != 200:
            self.refusals_by_key[key] = f"{status} {text}"
            self.refusals[f"{status} {text[:120]}"] += 1
        self.statuses_by_id[id_] = status
        return status

    async def send_and_repeat(self, key: str) -> None:
        """Send a key to several daemons, most of the times one after the other."""
        rng = random.Random(f"{key}-{self.rng.random()}")
        ms = rng.choice([1, 5, 50, 300])
        await self.call(rng.choice(VM_NAMES), key, ms)
        for _ in range(rng.randint(1, 4)):
            seconds = rng.choice([0.0, 0.05, 0.5, 2.0, 4.0]) * rng.uniform(0.5, 1.5)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.is_over.wait(), seconds)
            await self.call(rng.choice(VM_NAMES), key, ms)

    async def send_keys(self) -> None:
        async with asyncio.TaskGroup() as group:
            for i in itertools.count():
                if self.is_over.is_set():
                    return
                group.create_task(self.send_and_repeat(f"k{i}"))
                await asyncio.sleep(self.rng.expovariate(KEYS_PER_SECOND))

    async def count_runs(self, vm: str) -> Counter[str]:
        return Counter((await asyncio.to_thread(self.fleet.runs, vm))["runs_by_id"])

    async def restore_repeatedly(self, began_at: float) -> None:
        """Restore the store one to three times, never to a state of before the round."""
        for _ in range(self.rng.choice([1, 1, 2, 3])):
            await asyncio.sleep(self.rng.choice([0.1, 1.0, 2.0]) * self.rng.uniform(0.5, 1.5))
            down_seconds = self.rng.choice([0.0, 0.1, 1.0])
            age = self.rng.uniform(0.0, 1.0) * (time.monotonic() - began_at)
            self.note(f"restore: down {down_seconds}, copy {age:.2f} s old")
            await asyncio.to_thread(
                self.fleet.restore_platform, seconds=age, down_seconds=down_seconds
            )
            self.note("restored")

    async def disturb_daemon(self, vm: str) -> None:
        """Kill, pause or restart a daemon once or twice."""
        for _ in range(self.rng.choice([1, 1, 2])):
            await asyncio.sleep(self.rng.uniform(0.0, 2.5))
            fault = self.rng.choice(["kill", "kill", "pause", "stop"])
            seconds = self.rng.choice([0.2, 1.0, 4.0]) * self.rng.uniform(0.7, 1.3)
            self.note(f"{fault} {vm} for {seconds:.1f}")
            if fault == "pause":
                self.fleet.signal(vm, "daemon", signal.SIGSTOP)
                await asyncio.sleep(seconds)
                self.fleet.signal(vm, "daemon", signal.SIGCONT)
                self.note(f"continued {vm}")
                continue
            if fault == "kill":
                self.fleet.kill(vm, "daemon")
            else:
                self.fleet.signal(vm, "daemon", signal.SIGTERM)
                await asyncio.to_thread(self.fleet.wait_exit, vm, "daemon")
            await asyncio.sleep(seconds / 4)
            restart_daemon(self.fleet, vm)
            self.note(f"started {vm}")

    async def disturb_store(self) -> None:
        """Lose or delay answers and writes of the store for a moment."""
        await asyncio.sleep(self.rng.uniform(0.0, 3.0))
        faults: dict[str, int] = self.rng.choice(
            [
                {},
                {"lose_answers": self.rng.randint(1, 10)},
                {"late_writes_ms": self.rng.choice([300, 1500])},
                {"delay_ms": self.rng.choice([50, 300])},
                {"old_era_answers": self.rng.randint(1, 6)},
            ]
        )
        self.note(f"store: {faults}")
        await asyncio.to_thread(self.fleet.set_platform_faults, **faults)
        await asyncio.sleep(self.rng.uniform(0.3, 1.5))
        await asyncio.to_thread(self.fleet.set_platform_faults)
        self.note("store: no faults")

    async def let_server_leave(self, vm: str) -> None:
        """Let a server announce that it leaves, check that it gets no calls, and replace it."""
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        fleet = self.fleet
        await asyncio.to_thread(fleet.set_server_faults, vm, is_withdrawn=True)
        acknowledged = (await asyncio.to_thread(fleet.runs, vm))["acknowledged"]
        is_bound = "withdrawn" in acknowledged
        self.note(f"{vm} leaves, acknowledged: {is_bound}")
        await asyncio.sleep(DRAIN_SECONDS / 2)
        # A late heartbeat arrives, and the health path answers as usual.
        await asyncio.to_thread(fleet.set_server_faults, vm)
        await asyncio.sleep(DRAIN_SECONDS / 2)
        before = await self.count_runs(vm)
        await asyncio.sleep(LEAVING_SECONDS)
        after = await self.count_runs(vm)
        if is_bound and after != before:
            self.errors.append(f"{vm} has left and got {dict(after - before)}")
        await asyncio.to_thread(fleet.set_server_faults, vm, is_withdrawn=True)
        self.earlier_runs += await self.count_runs(vm)
        fleet.kill(vm, "server")
        fleet.start_server(vm)
        await wait_until(lambda: is_listening(fleet, vm))
        self.note(f"{vm} has a new server")

    async def wait_until_served(self) -> None:
        """Wait until each daemon is ready and serves a new key."""
        started = time.monotonic()
        unserved = list(VM_NAMES)
        refused_keys_by_vm: dict[str, str] = {}
        while unserved:
            if time.monotonic() - started > RECOVERY_SECONDS:
                self.errors.append(f"{unserved} serve no new key {RECOVERY_SECONDS} s later")
                return
            keys = {vm: f"probe{next(self._ids)}" for vm in unserved}
            statuses = await asyncio.gather(*(self.call(vm, key) for vm, key in keys.items()))
            for vm, status in zip(unserved, statuses, strict=True):
                if status != 200:
                    refused_keys_by_vm[vm] = keys[vm]
                elif vm in refused_keys_by_vm:
                    self.note(f"{vm} serves after {self.refusals_by_key[refused_keys_by_vm[vm]]}")
            unserved = [vm for vm, status in zip(unserved, statuses, strict=True) if status != 200]
            await asyncio.sleep(0.05)
        self.note(f"served after {time.monotonic() - started:.2f} s")
        await wait_until(lambda: all(is_ready(self.fleet, vm) for vm in VM_NAMES))

    async def wait_until_renewed(self) -> None:
        """Wait until all daemons have published the same era, as each daemon sees it."""

        def is_renewed() -> bool:
            eras = {
                entry["member"].get("store_era", 0)
                for vm in VM_NAMES
                for entry in self.fleet.status(vm)["members"]
                if entry["condition"] == "alive"
            }
            return len(eras) == 1

        await wait_until(is_renewed)

    async def play_round(self) -> None:
        began_at = time.monotonic()
        data_centre = self.rng.choice(DATA_CENTRES)
        candidates = [plan.name for plan in PLANS if plan.data_centre == data_centre]
        victims = self.rng.sample(candidates, self.rng.choice([1, 1, len(candidates)]))
        leaving = self.rng.choice(VM_NAMES)
        faults: list[Callable[[], Awaitable[None]]] = [
            lambda: self.restore_repeatedly(began_at),
            self.disturb_store,
        ]
        faults += [partial(self.disturb_daemon, vm) for vm in victims]
        if self.rng.random() < 0.7:
            faults.append(lambda: self.let_server_leave(leaving))
        await asyncio.gather(*(fault() for fault in faults))
        await self.wait_until_served()
        await self.wait_until_renewed()

    async def check_runs(self) -> None:
        """Check that no key has run twice, and that nothing answered with "not run" has run."""
        runs = self.earlier_runs
        for vm in VM_NAMES:
            runs += await self.count_runs(vm)
        runs_by_key: Counter[str] = Counter()
        for id_, count in runs.items():
            runs_by_key[id_.partition("#")[0]] += count
        for key, count in runs_by_key.items():
            if count > 1:
                calls = {
                    id_: (status, runs.get(id_, 0))
                    for id_, status in self.statuses_by_id.items()
                    if id_.partition("#")[0] == key
                }
                self.errors.append(f"{key} ran {count} times; status and runs by call: {calls}")
        self.errors += [
            f"{id_} was answered with {status} and has run"
            for id_, status in self.statuses_by_id.items()
            if status in NOT_RUN_STATUSES and runs.get(id_, 0)
        ]


@pytest.mark.parametrize("seed", seeds())
async def test_keys_and_departures_outlast_a_series_of_restores(seed: int, tmp_path: Path) -> None:
    with Fleet(PLANS, is_on_platform=True, log_level="debug") as fleet:
        configure(fleet)
        await asyncio.to_thread(fleet.wait_until_ready)
        soak = Soak(fleet, random.Random(seed))
        await soak.wait_until_served()
        load = asyncio.create_task(soak.send_keys())
        try:
            for _ in range(ROUNDS):
                await soak.play_round()
            soak.is_over.set()
            await load
            await soak.check_runs()
        except Exception as exc:
            soak.errors.append(repr(exc))
            load.cancel()
            traceback.print_exc()
        for log in fleet.folder.glob("*.log"):
            shutil.copy(log, tmp_path)
    (tmp_path / "addresses").write_text(repr(fleet.vms_by_name))
    statuses = dict(sorted(Counter(soak.statuses_by_id.values()).items()))
    print(f"seed {seed}: {statuses}", *soak.notes, *soak.refusals.most_common(8), sep="\n")
    print(*soak.errors, sep="\n")
    assert not soak.errors, f"logs are in {tmp_path}"
    assert statuses.get(200, 0) > 0
