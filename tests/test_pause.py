"""After a pause nothing is decided before the daemon has caught up."""

import asyncio

import attrs
import pytest

from kingcuppond.clock import Clock
from kingcuppond.events.journal import Journal
from kingcuppond.pause import DELAY_MEMORY_SECONDS, PAUSE_SECONDS, RETRY_SECONDS, PauseGuard
from tests.conftest import FakeTime


@attrs.define
class Peers:
    """The other daemons, which answer when they are told to."""

    asked: int = 0
    may_answer: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_unreachable: bool = False

    async def catch_up(self) -> bool:
        self.asked += 1
        if self.is_unreachable:
            return False
        await self.may_answer.wait()
        return True


@pytest.fixture
def boot_time() -> FakeTime:
    return FakeTime()


@pytest.fixture
def peers() -> Peers:
    return Peers()


@pytest.fixture
def guard(boot_time: FakeTime, peers: Peers, journal: Journal) -> PauseGuard:
    clock = Clock(boot_time.read, boot_time.read, boot_time.read)
    return PauseGuard(clock, journal, peers.catch_up)


async def test_calls_wait_after_a_pause_until_others_were_asked(
    guard: PauseGuard, boot_time: FakeTime, peers: Peers
) -> None:
    boot_time.advance(5.0)
    calls = [asyncio.create_task(guard.wait_until_current()) for _ in range(3)]
    await asyncio.sleep(0.01)
    assert peers.asked == 1
    assert not any(call.done() for call in calls)
    peers.may_answer.set()
    await asyncio.wait_for(asyncio.gather(*calls), 0.5)
    await guard.wait_until_current()
    assert peers.asked == 1


async def test_a_short_delay_is_no_pause(
    guard: PauseGuard, boot_time: FakeTime, peers: Peers
) -> None:
    for _ in range(20):
        boot_time.advance(PAUSE_SECONDS * 0.9)
        await guard.wait_until_current()
    assert peers.asked == 0


async def test_a_daemon_that_nobody_answered_stays_stale_until_somebody_does(
    guard: PauseGuard, boot_time: FakeTime, peers: Peers
) -> None:
    """Its gate refuses new work meanwhile, since what it was allowed to do may have ended."""
    peers.is_unreachable = True
    boot_time.advance(5.0)
    await guard.wait_until_current()
    assert guard.is_stale
    peers.is_unreachable = False
    peers.may_answer.set()
    async with asyncio.timeout(2 * RETRY_SECONDS + 0.5):
        while guard.is_stale:
            await asyncio.sleep(0.01)


async def test_a_pause_while_catching_up_makes_the_answer_too_old(
    guard: PauseGuard, boot_time: FakeTime, peers: Peers
) -> None:
    boot_time.advance(5.0)
    waiting = asyncio.create_task(guard.wait_until_current())
    await asyncio.sleep(0.01)
    boot_time.advance(5.0)
    peers.may_answer.set()
    await guard.wait_until_current()
    await waiting
    assert peers.asked == 2


async def test_calls_do_not_wait_forever(
    guard: PauseGuard, boot_time: FakeTime, journal: Journal
) -> None:
    boot_time.advance(5.0)
    await asyncio.wait_for(guard.wait_until_current(), 2.0)
    assert guard.is_stale
    async with asyncio.timeout(1.0):
        while journal.entries[-1].number != 109:
            await asyncio.sleep(0.01)


async def test_a_signal_that_is_handled_after_a_delay_may_be_as_old_as_the_delay(
    guard: PauseGuard, boot_time: FakeTime
) -> None:
    assert guard.max_signal_age() == 0.0
    boot_time.advance(0.6)
    assert guard.max_signal_age() == pytest.approx(0.6)
    await guard.wait_until_current()
    boot_time.advance(0.02)
    await guard.wait_until_current()
    age = guard.max_signal_age()
    assert age == pytest.approx(0.62), "other events were handled before it"
    boot_time.advance(DELAY_MEMORY_SECONDS)
    assert guard.max_signal_age() == pytest.approx(DELAY_MEMORY_SECONDS)
