"""A key runs at most once though the store comes back from a copy without its claim."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, cast

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from kingcuppond.claims import log as log_module
from kingcuppond.claims.coordinator import (
    CONFIRMATION_WAIT_SECONDS,
    MAX_COMMIT_ATTEMPTS,
    ClaimCoordinator,
)
from kingcuppond.claims.keys import key_digest
from kingcuppond.claims.log import ShardLog
from kingcuppond.claims.messages import ClaimRecord, RenewalReply, RenewalRequest, Verdict
from kingcuppond.claims.segments import SegmentId
from kingcuppond.claims.shards import coordinators_of, shard_of
from kingcuppond.clock import Clock
from kingcuppond.events.journal import Journal
from kingcuppond.membership import directory as directory_module
from kingcuppond.membership.messages import Suspicion
from kingcuppond.store.era import EraTracker, revision_of
from kingcuppond.store.interface import Store
from tests.claims.fakes import FakeStore
from tests.claims.fleet import Fleet
from tests.membership.network import VirtualTimeLoop

DAEMONS = 3
KEYS = ["a", "b"]
STORE_FAULTS = st.lists(
    st.sampled_from(["ok", "ok", "lost", "dropped", "late", "refused", "restored", "answered"]),
    max_size=3,
)
TRANSPORT_FAULTS = st.lists(st.sampled_from(["ok", "ok", "lost", "unanswered", "slow"]), max_size=4)
OUTCOMES = st.lists(st.sampled_from(["answer", "not-run", "unknown", "slow"]), max_size=2)
SECONDS = st.sampled_from([0.0, 0.01, 0.3, 0.7, 3.0])


class RestoredStore(RuleBasedStateMachine):
    """Daemons that claim the same keys while the store is restored, messages and writes are lost or
    late, and daemons restart."""

    @initialize()
    def start(self) -> None:
        self.loop = VirtualTimeLoop()
        self.fleet = Fleet()
        self._run(self.fleet.start(DAEMONS))

    @rule(
        daemon=st.integers(0, DAEMONS - 1),
        key=st.sampled_from(KEYS),
        store_faults=STORE_FAULTS,
        transport_faults=TRANSPORT_FAULTS,
        outcomes=OUTCOMES,
        lost_writes=st.integers(0, 4),
        seconds=SECONDS,
    )
    def call(
        self,
        daemon: int,
        key: str,
        store_faults: list[str],
        transport_faults: list[str],
        outcomes: list[str],
        lost_writes: int,
        seconds: float,
    ) -> None:
        async def call() -> None:
            self.fleet.daemons[daemon].call(key)
            await asyncio.sleep(seconds)

        self.fleet.store.lost_writes = lost_writes
        self.fleet.store.faults = list(store_faults)
        self.fleet.transport_faults = deque(transport_faults)
        self.fleet.outcomes = deque(outcomes)
        self._run(call())

    @rule(key=st.sampled_from(KEYS), outcomes=OUTCOMES, seconds=SECONDS)
    def call_all(self, key: str, outcomes: list[str], seconds: float) -> None:
        async def call() -> None:
            for daemon in self.fleet.daemons:
                daemon.call(key)
            await asyncio.sleep(seconds)

        self.fleet.outcomes = deque(outcomes)
        self._run(call())

    @rule(
        daemon=st.integers(0, DAEMONS - 1),
        key=st.sampled_from(KEYS),
        lost_writes=st.integers(0, 3),
        restarted=st.sets(st.integers(0, DAEMONS - 1), max_size=1),
        hearing_seconds=st.lists(SECONDS, min_size=DAEMONS, max_size=DAEMONS),
        seconds=SECONDS,
    )
    def restore_and_retry(
        self,
        daemon: int,
        key: str,
        lost_writes: int,
        restarted: set[int],
        hearing_seconds: list[float],
        seconds: float,
    ) -> None:
        async def restore() -> None:
            self.fleet.hearing_seconds = hearing_seconds
            self.fleet.store.restore(lost_writes)
            for index in restarted:
                self.fleet.restart(index)
            await asyncio.sleep(seconds)
            self.fleet.daemons[daemon].call(key)

        self._run(restore())

    @rule(daemon=st.integers(0, DAEMONS - 1))
    def restart(self, daemon: int) -> None:
        async def restart() -> None:
            self.fleet.restart(daemon)

        self._run(restart())

    @rule()
    def late_writes_arrive(self) -> None:
        self.fleet.store.apply_late_writes()

    @rule(seconds=SECONDS)
    def wait(self, seconds: float) -> None:
        self._run(asyncio.sleep(seconds))

    @invariant()
    def no_key_runs_twice(self) -> None:
        if hasattr(self, "fleet"):
            assert self.fleet.errors == []

    def teardown(self) -> None:
        if hasattr(self, "fleet"):
            self._run(self.fleet.stop())
            self.loop.close()

    def _run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.loop.run_until_complete(coroutine)


TestRestoredStore = RestoredStore.TestCase
TestRestoredStore.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=20, deadline=None
)


@attrs.define
class Scenario:
    """A fleet in simulated time, and a key with its coordinator and two other daemons."""

    fleet: Fleet
    key: str
    coordinator: int
    owner: int
    third: int

    async def call(self, index: int, seconds: float = 5.0) -> str:
        """Send the key to a daemon and return the status of the answer or the reason of a failure.

        :param seconds: when to stop waiting, simulated
        """
        await asyncio.wait({task := self.fleet.daemons[index].call(self.key)}, timeout=seconds)
        if not task.done():
            return "pending"
        result = task.result()
        return str(result.ok.status) if result.is_ok() else result.error.reason.value

    def runs(self) -> list[str]:
        """Return the VMs of the attempts that ran."""
        return [attempt.id.partition("/")[0] for attempt in self.fleet.attempts]


def play(script: Callable[[Scenario], Coroutine[Any, Any, None]]) -> None:
    """Run a script with a fleet in era 1 in which the key "other" has run."""

    async def run() -> None:
        fleet = Fleet()
        await fleet.start(DAEMONS)
        directory = fleet.daemons[0].directory
        ranked = coordinators_of(shard_of(key_digest("booking", "k")), directory)
        coordinator, owner, third = (int(member.vm.removeprefix("vm")) for member in ranked)
        scenario = Scenario(fleet, "other", coordinator, owner, third)
        assert await scenario.call(owner) == "200"
        fleet.attempts.clear()
        scenario.key = "k"
        await script(scenario)
        assert fleet.errors == []
        await fleet.stop()

    loop = VirtualTimeLoop()
    loop.run_until_complete(run())
    loop.close()


def test_a_claim_that_the_store_and_the_coordinator_lost_is_written_again_by_its_owner() -> None:
    async def script(scenario: Scenario) -> None:
        fleet, owner = scenario.fleet, scenario.owner
        assert await scenario.call(owner) == "200"
        fleet.hearing_seconds[owner] = 1.2
        fleet.store.restore(1)
        fleet.restart(scenario.coordinator)
        await scenario.call(scenario.third, 1.0)
        assert scenario.runs() == [f"vm{owner}"]
        assert await scenario.call(scenario.third) == "200"
        assert scenario.runs() == [f"vm{owner}"]

    play(script)


def test_a_claim_that_the_store_and_its_owner_lost_is_written_again_by_the_coordinator() -> None:
    async def script(scenario: Scenario) -> None:
        fleet, owner = scenario.fleet, scenario.owner
        assert await scenario.call(owner) == "200"
        fleet.store.restore(1)
        fleet.restart(owner)
        # The next coordinator in rank has never seen the claim.
        fleet.daemons[scenario.coordinator].directory.publish_own_change(is_leaving=True)
        await asyncio.sleep(1)
        assert await scenario.call(scenario.third) == "key-ran"
        assert scenario.runs() == [f"vm{owner}"]

    play(script)


def test_a_claim_whose_owner_coordinates_it_is_written_again_by_the_keeper_of_a_copy() -> None:
    async def script(scenario: Scenario) -> None:
        fleet, owner = scenario.fleet, scenario.coordinator
        assert await scenario.call(owner) == "200"
        fleet.store.restore(1)
        fleet.restart(owner)
        await asyncio.sleep(1)
        assert await scenario.call(scenario.third) == "key-ran"
        assert scenario.runs() == [f"vm{owner}"]

    play(script)


def test_a_claim_outlasts_a_restart_of_all_daemons_in_turn_and_a_restore() -> None:
    async def script(scenario: Scenario) -> None:
        fleet = scenario.fleet
        assert await scenario.call(scenario.coordinator) == "200"
        for index in range(DAEMONS):
            await fleet.restart_as_planned(index)
        fleet.store.restore(1)
        await asyncio.sleep(1)
        assert await scenario.call(scenario.third) == "key-ran"
        assert scenario.runs() == [f"vm{scenario.coordinator}"]

    play(script)


def test_a_grant_that_arrives_after_the_restore_starts_no_run() -> None:
    async def script(scenario: Scenario) -> None:
        fleet = scenario.fleet
        fleet.transport_faults.append("slow")
        late = asyncio.create_task(scenario.call(scenario.owner))
        await asyncio.sleep(0.1)
        fleet.hearing_seconds = [0.0] * DAEMONS
        fleet.store.restore(1)
        fleet.restart(scenario.coordinator)
        await asyncio.sleep(0.1)
        assert await scenario.call(scenario.third, 0.2) == "200"
        assert await late == "claim-unavailable"
        assert scenario.runs() == [f"vm{scenario.third}"]

    play(script)


@pytest.mark.parametrize("is_answered", [True, False], ids=["hears", "is not answered"])
def test_a_grant_that_is_read_after_a_pause_starts_no_run_if_the_store_was_restored(
    is_answered: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The other daemons take the paused one for dead and go on without it."""
    monkeypatch.setattr(directory_module, "DEAD_AFTER_SECONDS", 0.0)

    async def script(scenario: Scenario) -> None:
        fleet = scenario.fleet
        owner = fleet.daemons[scenario.owner]

        async def catch_up() -> bool:
            if is_answered:
                owner.client.eras.observe(fleet.store.era)
            return is_answered

        owner.catch_up = catch_up
        fleet.transport_faults.append("slow")
        late = asyncio.create_task(scenario.call(scenario.owner))
        await asyncio.sleep(0.1)
        fleet.hearing_seconds = [0.0] * DAEMONS
        fleet.hearing_seconds[scenario.owner] = 10.0
        fleet.store.restore(1)
        fleet.restart(scenario.coordinator)
        others = [fleet.daemons[it].directory for it in (scenario.coordinator, scenario.third)]
        for directory in others:
            me = owner.directory.me
            directory.suspect(Suspicion(me.vm, me.incarnation, me.seq))
        await asyncio.sleep(0.01)
        for directory in others:
            directory.expire_suspicions()
        assert await scenario.call(scenario.third, 0.3) == "200"
        assert await late == "claim-unavailable"
        assert scenario.runs() == [f"vm{scenario.third}"]

    play(script)


def test_a_late_write_on_a_revision_given_out_again_replaces_no_claim() -> None:
    async def script(scenario: Scenario) -> None:
        fleet = scenario.fleet
        shard = shard_of(key_digest("booking", "k"))
        coordinator = fleet.daemons[scenario.coordinator].coordinator
        # Copies that are written again would take the revision.
        coordinator.on_granted.clear()
        for i, fault in enumerate(["ok", "ok", "ok", "late"]):
            fleet.store.faults = [fault, *["dropped"] * MAX_COMMIT_ATTEMPTS]
            await coordinator.submit(shard, ClaimRecord(bytes([i]), "f", f"vm9/1/{i}", 1))
        fleet.store.faults = []
        fleet.store.restore(2)
        fleet.restart(scenario.coordinator)
        await asyncio.sleep(1)
        assert await scenario.call(scenario.owner) == "200"
        assert fleet.store.version == revision_of(fleet.store.late[0][3])
        fleet.store.apply_late_writes()
        fleet.restart(scenario.coordinator)
        await asyncio.sleep(1)
        assert await scenario.call(scenario.third) == "200"
        assert scenario.runs() == [f"vm{scenario.owner}"]

    play(script)


def test_a_claim_that_a_late_write_brought_back_is_written_again_before_it_is_granted() -> None:
    async def script(scenario: Scenario) -> None:
        store = scenario.fleet.store
        shard = shard_of(key_digest("booking", "k"))
        coordinator = scenario.fleet.daemons[scenario.coordinator].coordinator
        store.faults = ["late", *["dropped"] * MAX_COMMIT_ATTEMPTS]
        claim = ClaimRecord(b"key", "f", "vm9/1/1", 1)
        await coordinator.submit(shard, claim)
        store.faults = []
        store.restore(0)
        store.apply_late_writes()
        await asyncio.sleep(1)
        assert (await coordinator.submit(shard, claim)).verdict is Verdict.GRANTED
        written = store.objects[f"claims-{shard:02d}", SegmentId(2, 0).name]
        assert b"vm9/1/1" in written.body

    play(script)


def test_claims_that_the_copy_holds_do_not_delay_the_first_grant() -> None:
    """Each daemon remembers thousands of attempts; here all are of one shard."""

    async def script(scenario: Scenario) -> None:
        fleet = scenario.fleet
        shard = shard_of(key_digest("booking", "k"))
        coordinator = fleet.daemons[scenario.coordinator].coordinator
        claims = [
            ClaimRecord(bytes([0, shard]) + i.to_bytes(4), "f", f"vm{i % DAEMONS}/1/x{i}", 1)
            for i in range(9000)
        ]
        await asyncio.gather(*(coordinator.submit(shard, claim) for claim in claims))
        for i, claim in enumerate(claims):
            attempts = fleet.daemons[i % DAEMONS].peers.attempts
            attempts.start(claim.attempt, claim.content)
            attempts.record_grant(claim)
        fleet.store.restore(0)
        await asyncio.sleep(1)
        assert await scenario.call(scenario.owner) == "200"

    play(script)


def test_claims_of_other_shards_are_not_sent_again_until_a_slow_one_has_replied() -> None:
    """In a large fleet a coordinator gets hundreds of requests, and replies late to some."""

    async def script(scenario: Scenario) -> None:
        fleet = scenario.fleet
        for i in range(20):
            scenario.key = f"key {i}"
            assert await scenario.call(scenario.owner) == "200"
        # One shard gets no reply from any of its coordinators, twice.
        owner = fleet.daemons[scenario.owner].peers
        lost = 2
        renew = owner.renew

        async def renew_or_lose(request: RenewalRequest) -> RenewalReply:
            nonlocal lost
            if request.shard == shard_of(key_digest("booking", "key 0")) and lost:
                lost -= 1
                return RenewalReply(is_done=False)
            return await renew(request)

        owner.renew = renew_or_lose  # type: ignore[method-assign]
        fleet.asked.clear()
        fleet.store.restore(0)
        await asyncio.sleep(2)
        assert fleet.daemons[scenario.owner].directory.me.store_era == fleet.store.era
        sent = [
            message.shard
            for message in fleet.asked
            if isinstance(message, RenewalRequest)
            and message.records[0].attempt.startswith(f"vm{scenario.owner}/")
        ]
        assert len(sent) == len(set(sent))

    play(script)


def test_a_claim_that_no_coordinator_can_grant_yet_is_refused_after_one_wait() -> None:
    async def script(scenario: Scenario) -> None:
        fleet = scenario.fleet
        fleet.daemons[scenario.third].renewal_task.cancel()
        fleet.store.restore(0)
        await asyncio.sleep(1)
        refused = await scenario.call(scenario.owner, CONFIRMATION_WAIT_SECONDS + 0.1)
        assert refused == "claim-unavailable"

    play(script)


async def test_a_claim_that_one_late_write_brought_back_and_another_removed_is_held(
    clock: Clock, journal: Journal
) -> None:
    """The first late write gets the revision that is the condition of the second."""
    store = FakeStore(era=1)
    eras = EraTracker(1)
    ran, first, second, third, retry = (
        ClaimRecord(key, "f", f"vm9/1/{i}", clock.fleet_ms())
        for i, key in enumerate([b"key", b"1", b"2", b"3", b"key"])
    )

    async def append(record: ClaimRecord, fault: str) -> None:
        store.faults = [fault]
        log = ShardLog(0, cast(Store, store))
        await log.load(clock.fleet_ms())
        await log.append([record])

    await append(first, "ok")
    await append(ran, "late")
    await append(second, "ok")
    await append(third, "late")
    await append(ran, "ok")
    store.restore(2)
    earlier, later = store.late
    confirmed_era = 1
    coordinator = ClaimCoordinator(cast(Store, store), eras, lambda: confirmed_era, clock, journal)
    store.late = [earlier]
    store.apply_late_writes()
    eras.observe(2)
    assert (await coordinator.renew(RenewalRequest(0, (ran,), 2))).is_done
    store.late = [later]
    store.apply_late_writes()
    confirmed_era = 2
    assert (await coordinator.submit(0, retry)).verdict is Verdict.HELD
    coordinator.stop()


async def test_a_claim_that_late_writes_changed_behind_later_segments_is_held(
    clock: Clock, journal: Journal, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The copy ends in segment 0; late writes bring back the first claims of two later ones."""
    monkeypatch.setattr(log_module, "SEGMENT_BYTES", 350)
    store = FakeStore(era=1)

    async def append(key: bytes, fault: str) -> ClaimRecord:
        record = ClaimRecord(key, "f", f"vm9/1/{key.decode()}", clock.fleet_ms())
        store.faults = [fault]
        log = ShardLog(0, cast(Store, store))
        await log.load(clock.fleet_ms())
        await log.append([record])
        return record

    await append(b"first", "ok")
    ran = await append(b"key", "late")
    await append(b"second", "ok")
    await append(b"third", "late")
    await append(b"key", "ok")
    await append(b"fourth", "ok")
    for begins_segment in (b"a", b"b"):
        await append(begins_segment, "late")
        for i in range(4):
            await append(begins_segment * (2 + i), "ok")
    lost_writes = store.version - 1
    store.restore(lost_writes)
    claimed, removing, *begun = store.late
    store.late = [claimed, *begun]
    store.apply_late_writes()
    assert len(store.objects) == 3
    confirmed_era = 1
    eras = EraTracker(2)
    coordinator = ClaimCoordinator(cast(Store, store), eras, lambda: confirmed_era, clock, journal)
    assert (await coordinator.renew(RenewalRequest(0, (ran,), 2))).is_done
    store.late = [removing]
    store.apply_late_writes()
    confirmed_era = 2
    retry = ClaimRecord(b"key", "f", "vm9/1/retry", clock.fleet_ms())
    assert (await coordinator.submit(0, retry)).verdict is Verdict.HELD
    coordinator.stop()
