"""Daemons that claim keys of one shard, in one process and in simulated time.

Guard, coordinator, renewal, attempts and log are the product's own; the store, the transport, the
spreading of descriptions and eras, and the servers are replaced.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar, cast

import attrs
from expression import Error, Ok, Result

from kingcuppond.claims.attempts import AttemptTable
from kingcuppond.claims.confirmation import make_confirmed_era
from kingcuppond.claims.coordinator import ClaimCoordinator
from kingcuppond.claims.guard import ClaimGuard
from kingcuppond.claims.peers import ClaimPeers
from kingcuppond.claims.renewal import ClaimRenewal
from kingcuppond.clock import Clock
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member
from kingcuppond.outcomes import Failure, NotRun, Reason, Unknown
from kingcuppond.peers.transport import PeerError, PeerTransport
from kingcuppond.routing.call import Answer, Body, Call
from kingcuppond.store.interface import Store
from tests.claims.fakes import FakeClient, FakeStore

CALL_SECONDS = 5.0

T = TypeVar("T")


@attrs.define
class Attempt:
    """An attempt that was passed on to a server.

    :param remembered_by: processes that know its claim: its owner and the coordinator that wrote it
    :param has_not_run: the server has refused it
    """

    id: str
    key: str
    remembered_by: set[tuple[str, int]]
    has_not_run: bool = False
    is_forgotten: bool = False


@attrs.define
class Fleet:
    """Daemons, their store, and what servers were asked to run.

    :param transport_faults: of the next messages: ``ok``, ``lost`` before the other end acts,
        ``unanswered`` after it has acted, or ``slow``, which is answered after half a second
    :param outcomes: of the next attempts: ``answer``, ``not-run``, ``unknown`` or ``slow``, an
        answer after two seconds
    :param hearing_seconds: time until each daemon hears of a description or of an era
    """

    store: FakeStore = attrs.field(factory=lambda: FakeStore(era=1))
    daemons: list["Daemon"] = attrs.field(factory=list)
    transport_faults: deque[str] = attrs.field(factory=deque)
    outcomes: deque[str] = attrs.field(factory=deque)
    hearing_seconds: list[float] = attrs.field(factory=lambda: [0.1, 0.1, 0.1])
    attempts: list[Attempt] = attrs.field(factory=list)
    errors: list[str] = attrs.field(factory=list)
    tasks: list["asyncio.Task[Any]"] = attrs.field(factory=list)
    asked: list[Any] = attrs.field(factory=list)

    async def start(self, count: int) -> None:
        self.store.on_restore.append(self._after_restore)
        for index in range(count):
            self.daemons.append(Daemon(self, index, 1))
        for daemon in self.daemons:
            daemon.join()
        await asyncio.sleep(1)

    async def stop(self) -> None:
        for daemon in self.daemons:
            daemon.stop()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def restart(self, index: int) -> None:
        """Kill a daemon, and start it again without what it had in memory."""
        old = self.daemons[index]
        old.stop()
        self.daemons[index] = Daemon(self, index, old.incarnation + 1)
        self.daemons[index].join()
        self._mark_forgotten()

    async def restart_as_planned(self, index: int) -> None:
        """Stop a daemon, and start it again without what it had in memory."""
        self.daemons[index].peers.hand_over()
        await asyncio.sleep(0.01)
        self.restart(index)
        await asyncio.sleep(1)

    def _after_restore(self) -> None:
        self._mark_forgotten()
        for daemon, seconds in zip(self.daemons, self.hearing_seconds, strict=True):
            call_later(seconds, daemon.client.eras.observe, self.store.era)

    def _mark_forgotten(self) -> None:
        living = {daemon.process for daemon in self.daemons}
        stored = b"".join(stored.body for stored in self.store.objects.values())
        for attempt in self.attempts:
            is_known = (
                attempt.remembered_by & living
                or f'"{attempt.id}"'.encode() in stored
                or any(daemon.has_copy(attempt.id) for daemon in self.daemons)
            )
            attempt.is_forgotten |= not is_known


class Daemon:
    """One daemon."""

    def __init__(self, fleet: Fleet, index: int, incarnation: int) -> None:
        loop = asyncio.get_running_loop()
        self.fleet = fleet
        self.index = index
        self.incarnation = incarnation
        vm = f"vm{index}"
        self.client = FakeClient(fleet.store)
        clock = Clock(loop.time, loop.time, loop.time)
        self.journal = Journal(vm, clock)
        me = Member(vm, "dc", "shop", vm, vm, vm, incarnation)
        self.directory = Directory(me, clock, self.journal)
        self.directory.on_own_change.append(self._spread)
        self.handlers_by_type: dict[type, Any] = {}
        store = cast(Store, self.client)
        self.coordinator = ClaimCoordinator(
            store,
            self.client.eras,
            make_confirmed_era(self.directory, lambda: len(self.directory.members_by_vm) > 1),
            clock,
            self.journal,
        )
        self.peers = ClaimPeers(
            self.directory,
            cast(PeerTransport, self),
            self.coordinator,
            AttemptTable(),
            self.client.eras,
            clock,
        )
        self.renewal = ClaimRenewal(
            self.directory, self.peers, self.coordinator, self.client.eras, clock, self.journal
        )
        self.guard = ClaimGuard(
            self.peers,
            self.client.eras,
            clock,
            self.journal,
            self._run,
            self.next_id,
            self._wait_until_current,
        )
        self.catch_up: Callable[[], Awaitable[bool]] = _return_at_once
        self.last_id = 0
        self.is_stopped = False
        self.tasks: list[asyncio.Task[Any]] = []
        self.renewal_task = self._create_task(self.renewal.run())

    @property
    def process(self) -> tuple[str, int]:
        return self.directory.me.vm, self.incarnation

    def next_id(self) -> str:
        self.last_id += 1
        return f"{self.directory.me.vm}/{self.incarnation}/{self.last_id}"

    def join(self) -> None:
        for other in self.fleet.daemons:
            self.directory.merge(other.directory.me)
        self._spread(self.directory.me)
        seconds = self.fleet.hearing_seconds[self.index]
        call_later(seconds, self.client.eras.observe, self.fleet.store.era)

    def stop(self) -> None:
        self.is_stopped = True
        for task in self.tasks:
            task.cancel()
        self.coordinator.stop()

    def call(self, key: str, organisation: str = "") -> "asyncio.Task[Result[Answer, Failure]]":
        """Start a call with a key."""
        deadline = asyncio.get_running_loop().time() + CALL_SECONDS
        call = Call(
            self.next_id(),
            "booking",
            "shop",
            "POST",
            "/book",
            (),
            Body(),
            deadline,
            0,
            0,
            True,
            "f",
            organisation=organisation,
        )
        return self._create_task(self.guard.run_once(call, key))

    async def ask(
        self, address: str, message: Any, reply_type: type, timeout: float
    ) -> Result[Any, PeerError]:
        """Take the place of the transport."""
        faults = self.fleet.transport_faults
        self.fleet.asked.append(message)
        fault = faults.popleft() if faults else "ok"
        other = next(it for it in self.fleet.daemons if it.directory.me.vm == address)
        if fault == "lost" or other.is_stopped:
            await asyncio.sleep(timeout)
            return Error(PeerError("no reply"))
        # The other end goes on when the sender has given up.
        handling = other._create_task(other.handle(self.directory.me.vm, message))
        try:
            async with asyncio.timeout(timeout):
                reply = await asyncio.shield(handling)
                await asyncio.sleep({"unanswered": timeout + 1, "slow": 0.5}.get(fault, 0.001))
                return Ok(reply)
        except TimeoutError:
            return Error(PeerError("no reply"))
        except asyncio.CancelledError:
            if handling.cancelled():
                return Error(PeerError("no reply"))
            raise

    def tell(self, address: str, message: Any) -> None:
        """Take the place of the transport."""
        other = next(it for it in self.fleet.daemons if it.directory.me.vm == address)
        if not other.is_stopped:
            other._create_task(other.handle(self.directory.me.vm, message))

    async def handle(self, sender: str, message: Any) -> Any:
        return await self.handlers_by_type[type(message)](sender, message)

    async def _wait_until_current(self) -> bool:
        return await self.catch_up()

    def _create_task(self, coroutine: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        self.fleet.tasks.append(task)
        return task

    def _spread(self, member: Member) -> None:
        for other in self.fleet.daemons:
            if other is not self:
                seconds = self.fleet.hearing_seconds[other.index]
                call_later(seconds, other.directory.merge, member)

    async def _run(self, call: Call) -> Result[Answer, Failure]:
        claims = self.peers.attempts.granted_claims()
        key = next(claim.key.hex() for claim in claims if claim.attempt == call.id)
        writers = {it.process for it in self.fleet.daemons if it.has_written(call.id)}
        attempt = Attempt(call.id, key, {self.process} | writers)
        for other in self.fleet.attempts:
            if other.key == key and not other.has_not_run and not other.is_forgotten:
                self.fleet.errors.append(f"{call.id} runs though {other.id} has run")
        self.fleet.attempts.append(attempt)
        outcomes = self.fleet.outcomes
        outcome = outcomes.popleft() if outcomes else "answer"
        if outcome == "slow":
            await asyncio.sleep(2)
        if outcome == "not-run":
            attempt.has_not_run = True
            return Error(NotRun(Reason.CLAIM_UNAVAILABLE, "refused"))
        if outcome == "unknown":
            return Error(Unknown(Reason.KEY_RAN, "lost"))
        return Ok(Answer(200, (), call.id.encode()))

    def has_written(self, attempt: str) -> bool:
        logs = [shard.log for shard in self.coordinator._shards_by_number.values()]
        held = [claim for log in logs for claims in log.claims_by_key.values() for claim in claims]
        return any(claim.attempt == attempt for claim in held)

    def has_copy(self, attempt: str) -> bool:
        return any(claim.attempt == attempt for claim in self.peers.copies.claims())


async def _return_at_once() -> bool:
    return True


def call_later(seconds: float, function: Any, *arguments: Any) -> None:
    asyncio.get_running_loop().call_later(seconds, function, *arguments)
