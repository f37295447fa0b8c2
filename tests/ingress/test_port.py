"""What the port answers while the daemon leaves and when it closes its connections."""

import asyncio
from collections.abc import AsyncIterator
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import attrs
import pytest
from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from expression import Ok, Result
from prometheus_client import CollectorRegistry

from kingcuppond.claims.attempts import AttemptTable
from kingcuppond.claims.guard import ClaimGuard
from kingcuppond.claims.messages import (
    AttemptQuery,
    AttemptState,
    ClaimRecord,
    ClaimReply,
    Verdict,
)
from kingcuppond.claims.peers import ClaimPeers
from kingcuppond.clock import Clock
from kingcuppond.configuration.objects import ClassOfWork, encode
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.dialect import DEADLINE_HEADER, KEY_HEADER, NATIVE_DIALECT, Dialect
from kingcuppond.events.journal import Journal
from kingcuppond.ingress.counts import CallCounts
from kingcuppond.ingress.draining import start_grace_period
from kingcuppond.ingress.in_progress import ANSWER_SECONDS, RequestsInProgress
from kingcuppond.ingress.port import CallPort
from kingcuppond.ingress.relayed_calls import RelayedCallPort
from kingcuppond.organisations.guard import make_organisation_guard
from kingcuppond.organisations.identification import KeyPolicy
from kingcuppond.outcomes import OUTCOME_HEADER, Failure
from kingcuppond.platform.calls import PLATFORM_DIALECT, SERVER_SEAL_HEADER
from kingcuppond.quarantine.suspects import SuspectTable
from kingcuppond.quotas.bucket import QuotaBound
from kingcuppond.quotas.guard import QuotaGuard
from kingcuppond.quotas.peers import QuotaPeers
from kingcuppond.routing.call import Answer, Body, Call
from kingcuppond.routing.headers import RELAY_HEADER
from kingcuppond.store.era import EraTracker
from tests.conftest import FakeTime
from tests.quotas.fleet import FakeMembers

LIMIT_SECONDS = 5.5


@attrs.define
class FakeRouter:
    """A router whose calls take as long as a test wants.

    :param calls: the calls that it was given
    :param is_sending: whether it sends them to a server at once
    :param may_end: set when the calls may end
    :param answer: what it returns
    """

    rng: Random
    calls: list[Call] = attrs.field(factory=list)
    may_end: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_sending: bool = True
    answer: Answer = attrs.field(factory=lambda: Answer(200, (), b"done"))
    sender: Any = attrs.field(
        factory=lambda: SimpleNamespace(typical_seconds=lambda _class_name: 0.1)
    )

    async def run(self, call: Call) -> Result[Answer, Failure]:
        self.calls.append(call)
        if self.is_sending:
            call.delivery.attempts.add(call.id)
        await self.may_end.wait()
        return Ok(self.answer)


async def _is_current() -> bool:
    """Return at once: this process was not paused."""
    return True


async def _never_current() -> bool:
    return await asyncio.Event().wait()


def make_port(
    clock: Clock, journal: Journal, dialect: Dialect = NATIVE_DIALECT
) -> tuple[CallPort, FakeRouter]:
    configuration = Configuration(journal)
    shop = ClassOfWork("book", "shop", "/shop", 4000, at_most_once=True)
    configuration.merge([VersionedObject("class/book", 1, encode(shop))])
    configuration.is_complete = True
    router = FakeRouter(Random(1))
    me = SimpleNamespace(is_leaving=True)
    directory: Any = SimpleNamespace(me=me)
    gate: Any = SimpleNamespace(directory=directory)
    unused: Any = None
    requests = RequestsInProgress("vm-1", clock, _is_current)
    port = CallPort(
        vm="vm-1",
        service="shop",
        dialect=dialect,
        choose_service=lambda class_of_work: class_of_work.service,
        configuration=configuration,
        directory=directory,
        router=router,  # type: ignore[arg-type]
        guard=unused,
        suspects=SuspectTable("vm-1", clock, journal),
        counts=CallCounts(CollectorRegistry()),
        clock=clock,
        journal=journal,
        next_id=lambda: "id",
        requests=requests,
        relayed=RelayedCallPort("vm-1", gate, b"", unused, clock, requests),
        organisations=make_organisation_guard(
            configuration, KeyPolicy(), lambda: False, clock.monotonic
        ),
        quotas=make_quota_guard(configuration, clock),
    )
    return port, router


def make_quota_guard(configuration: Configuration, clock: Clock) -> QuotaGuard:
    """Return the guard of a daemon that is alone."""
    members = FakeMembers({"vm-1": "dc-1"})
    peers = QuotaPeers(
        "vm-1", members, QuotaBound(), _ignore, clock.fleet_ms, lambda _name, _share: None
    )
    return QuotaGuard(
        configuration, peers, clock.monotonic, Random(1), lambda _name: None, lambda: None
    )


def _ignore(_vm: str, _message: object) -> None:
    """Send nothing."""


@attrs.define
class FakePeers:
    """Coordinators that grant no claim before a test lets them."""

    attempts: AttemptTable = attrs.field(factory=AttemptTable)
    may_grant: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def submit(self, _record: ClaimRecord, _deadline: float) -> ClaimReply:
        await self.may_grant.wait()
        return ClaimReply(Verdict.GRANTED)


def make_guard(port: CallPort, peers: FakePeers) -> ClaimGuard:
    return ClaimGuard(
        cast(ClaimPeers, peers),
        EraTracker(),
        port.clock,
        port.journal,
        port.router.run,
        port.next_id,
        _is_current,
    )


async def send(port: CallPort, deadline_ms: int, key: str = "") -> web.StreamResponse:
    headers = {DEADLINE_HEADER: str(deadline_ms)}
    if key:
        headers[KEY_HEADER] = key
    return await port.handle_caller(make_mocked_request("POST", "/shop/a", headers=headers))


@pytest.mark.parametrize("key", ["", "k"], ids=["without a key", "with a key"])
@pytest.mark.parametrize("status", [408, 421, 429, 503])
async def test_an_answer_that_promises_too_much_is_not_passed_on(
    clock: Clock, journal: Journal, status: int, key: str
) -> None:
    """A daemon of an earlier version passes it on, or kept it for its key; it was sent again."""
    port, router = make_port(clock, journal, PLATFORM_DIALECT)
    peers = FakePeers()
    peers.may_grant.set()
    port.guard = make_guard(port, peers)
    router.may_end.set()
    router.answer = Answer(status, ((SERVER_SEAL_HEADER, "3e1b"),), b"failed")
    response = await send(port, deadline_ms=4000, key=key)
    assert (response.status, response.headers[OUTCOME_HEADER]) == (502, "unknown")
    assert SERVER_SEAL_HEADER not in response.headers


@pytest.mark.parametrize(("after_seconds", "is_served"), [(0.0, True), (2.0, True), (3.5, False)])
async def test_a_late_request_is_refused_before_it_is_sent(
    clock: Clock, journal: Journal, fake_time: FakeTime, after_seconds: float, is_served: bool
) -> None:
    """A request whose deadline was later than the grace period was sent, and cut at its end."""
    port, router = make_port(clock, journal)
    router.may_end.set()
    port.grace = start_grace_period(clock.monotonic(), LIMIT_SECONDS)
    fake_time.advance(after_seconds)
    response = await send(port, deadline_ms=4000)
    assert (response.status, len(router.calls)) == ((200, 1) if is_served else (503, 0))
    assert response.headers[OUTCOME_HEADER] == ("answered" if is_served else "not-run")
    assert response.keep_alive is False
    (entry,) = [entry for entry in journal.entries if entry.number == 512]
    assert entry.fields["leaving_ms"] == after_seconds * 1000
    assert entry.fields["deadline_left_ms"] == 4000


@pytest.mark.parametrize(
    ("is_sending", "status", "outcome"), [(True, 504, "unknown"), (False, 503, "not-run")]
)
async def test_the_close_answers_what_is_in_progress(
    clock: Clock, journal: Journal, is_sending: bool, status: int, outcome: str
) -> None:
    """Calls in progress at the end of the grace period lost their connection unanswered.

    Later those that no server had been sent were told that they may have run.
    """
    port, router = make_port(clock, journal)
    router.is_sending = is_sending
    port.grace = start_grace_period(clock.monotonic(), LIMIT_SECONDS)
    calls = [asyncio.create_task(send(port, deadline_ms=4000)) for _ in range(3)]
    await asyncio.sleep(0)
    assert len(router.calls) == 3
    await port.requests.close()
    responses = await asyncio.gather(*calls)
    assert {response.status for response in responses} == {status}
    assert {response.headers[OUTCOME_HEADER] for response in responses} == {outcome}


@pytest.mark.parametrize("limit_seconds", [0.0, LIMIT_SECONDS])
async def test_a_request_that_arrives_at_the_close_is_not_sent(
    clock: Clock, journal: Journal, limit_seconds: float
) -> None:
    """A request on a kept connection was sent while the connections were being closed."""
    port, router = make_port(clock, journal)
    port.grace = start_grace_period(clock.monotonic(), limit_seconds)
    await port.requests.close()
    response = await send(port, deadline_ms=100)
    assert (response.status, router.calls) == (503, [])


async def test_a_caller_that_disconnects_at_the_close_gets_no_answer(
    clock: Clock, journal: Journal
) -> None:
    port, _ = make_port(clock, journal)
    port.grace = start_grace_period(clock.monotonic(), LIMIT_SECONDS)
    call = asyncio.create_task(send(port, deadline_ms=4000))
    await asyncio.sleep(0)
    call.cancel()
    await port.requests.close()
    with pytest.raises(asyncio.CancelledError):
        await call
    assert [entry.number for entry in journal.entries if entry.number == 513] == [513]


@pytest.mark.parametrize(
    ("headers", "status"), [({}, 503), ({RELAY_HEADER: "{}"}, 400)], ids=["caller", "daemon"]
)
async def test_the_close_answers_what_waits_for_a_paused_daemon(
    clock: Clock, journal: Journal, headers: dict[str, str], status: int
) -> None:
    """Requests that waited until the daemon had caught up were closed unanswered."""
    port, router = make_port(clock, journal)
    port.requests.wait_until_current = _never_current
    port.grace = start_grace_period(clock.monotonic(), LIMIT_SECONDS)
    request = make_mocked_request("GET", "/shop/a", headers=headers)
    call = asyncio.create_task(port.handle(request))
    await asyncio.sleep(0)
    async with asyncio.timeout(10 * ANSWER_SECONDS):
        await port.requests.close()
        response = await call
    assert (response.status, router.calls) == (status, [])
    assert response.keep_alive is False


@pytest.mark.parametrize("is_granted", [False, True], ids=["not claimed", "claimed"])
async def test_the_close_ends_a_claimed_call_before_it_is_told_not_to_have_run(
    clock: Clock, journal: Journal, is_granted: bool
) -> None:
    """A call that waited for its claim or for a gate was told that it may have run."""
    port, router = make_port(clock, journal)
    router.is_sending = False
    peers = FakePeers()
    port.guard = make_guard(port, peers)
    port.grace = start_grace_period(clock.monotonic(), LIMIT_SECONDS)
    if is_granted:
        peers.may_grant.set()
    call = asyncio.create_task(send(port, deadline_ms=4000, key="k"))
    await asyncio.sleep(0.01)
    await port.requests.close()
    response = await call
    assert (response.status, response.headers[OUTCOME_HEADER]) == (503, "not-run")
    assert port.is_idle, "the call was not left to run later"
    attempt = peers.attempts.lookup(AttemptQuery("id", "", ""))
    assert attempt.state is AttemptState.NOT_RUN, "a retry elsewhere may claim the key"
    peers.may_grant.set()
    router.may_end.set()
    await asyncio.sleep(0.01)
    assert len(router.calls) == is_granted


async def test_the_close_leaves_the_outcome_of_a_claimed_call_unknown_once_it_is_sent(
    clock: Clock, journal: Journal
) -> None:
    port, _ = make_port(clock, journal)
    peers = FakePeers()
    peers.may_grant.set()
    port.guard = make_guard(port, peers)
    call = asyncio.create_task(send(port, deadline_ms=4000, key="k"))
    await asyncio.sleep(0.01)
    await port.requests.close()
    response = await call
    assert (response.status, response.headers[OUTCOME_HEADER]) == (504, "unknown")
    assert peers.attempts.lookup(AttemptQuery("id", "", "")).state is AttemptState.UNKNOWN


@attrs.define
class LongAnswer:
    """A streamed answer, which holds a slot of a gate until it is closed.

    :ivar closes: how often it was closed
    """

    closes: int = 0

    def make(self) -> Answer:
        return Answer(200, (), chunks=_no_chunks(), close=self._close)

    async def _close(self) -> None:
        self.closes += 1


async def _no_chunks() -> AsyncIterator[bytes]:
    yield b""


@pytest.mark.parametrize("rounds_before", range(6))
async def test_the_long_answer_to_a_claimed_call_is_closed_if_its_caller_has_left(
    clock: Clock, journal: Journal, rounds_before: int
) -> None:
    """Guards against slots of a gate that are lost for good, as nobody took such an answer."""
    port, router = make_port(clock, journal)
    peers = FakePeers()
    peers.may_grant.set()
    port.guard = make_guard(port, peers)
    long_answer = LongAnswer()
    router.answer = long_answer.make()
    call = asyncio.create_task(send(port, deadline_ms=4000, key="k"))
    await asyncio.sleep(0.01)
    router.may_end.set()
    for _ in range(rounds_before):
        await asyncio.sleep(0)
    call.cancel()
    await asyncio.wait({call})
    await asyncio.sleep(0.01)
    assert port.is_idle
    assert long_answer.closes == 1
    assert peers.attempts.lookup(AttemptQuery("id", "", "")).state is AttemptState.ANSWERED


async def test_the_answer_to_a_claimed_call_is_closed_if_its_caller_leaves_during_the_upload(
    clock: Clock, journal: Journal
) -> None:
    """The answer came before the body, whose digest was awaited with the answer in hand."""

    async def upload() -> AsyncIterator[bytes]:
        await asyncio.Event().wait()
        yield b""

    port, router = make_port(clock, journal)
    peers = FakePeers()
    peers.may_grant.set()
    guard = make_guard(port, peers)
    long_answer = LongAnswer()
    router.answer = attrs.evolve(long_answer.make(), body=b"done", chunks=None)
    router.may_end.set()
    deadline = clock.monotonic() + 4.0
    body = Body(rest=upload(), length=None)
    call = Call("id", "book", "shop", "POST", "/shop", (), body, deadline, 1, 0, True, "f")
    running = asyncio.create_task(guard.run_once(call, "k"))
    await asyncio.sleep(0.01)
    running.cancel()
    await asyncio.wait({running})
    assert long_answer.closes == 1
    assert peers.attempts.lookup(AttemptQuery("id", "", "")).state is AttemptState.ANSWERED
