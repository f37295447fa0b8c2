"""Failure detection by pings.

One task per contact pings it.  A contact that misses two pings in a row is suspected.  A ping and
its reply also carry the digests that reveal lost rumours, when each data centre was last heard, how
current the configuration is, and summaries of load.
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final, Protocol

import attrs

from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.contacts import Contacts
from kingcuppond.membership.currency import Currency
from kingcuppond.membership.hearing import Hearing
from kingcuppond.membership.messages import CurrencyReport, Member, Ping, Pong, Rumours, Suspicion
from kingcuppond.membership.state import COMPLETING_PARTS, SharedState
from kingcuppond.membership.summaries import LoadNews, SummaryTable
from kingcuppond.membership.tasks import start_once
from kingcuppond.peers.transport import PeerTransport
from kingcuppond.store.era import EraTracker

PING_TIMEOUT_SECONDS: Final = 0.5
SUSPECT_AFTER_MISSED_PINGS: Final = 2
SYNC_AFTER_DIGEST_MISMATCHES: Final = 3
VERIFYING_PINGS: Final = 3
"""Members that are pinged before a whole data centre is suspected."""

REVIVE_INTERVAL_SECONDS: Final = 2.0
REVIVES_PER_INTERVAL: Final = 16
"""Dead members that the whole fleet pings in each interval."""


class Sync(Protocol):
    """Makes parts of the state equal here and at another daemon."""

    def __call__(self, address: str, *, parts: tuple[str, ...] | None = None) -> Awaitable[bool]:
        """Return whether the other daemon answered."""


@attrs.define
class Pinger:
    """The pings of one daemon, and the suspicions that follow from them.

    :param rng: source of the jitter of timers and of the choice of members to ping
    :param spread: sends changes to all contacts soon
    :param currency: how current this daemon's configuration is
    :param receive_currency: takes the report of another daemon
    :param contacts: the current contacts of this daemon
    :param summaries: summaries of load that pings carry, ``None`` where the settings ask for none
    """

    hearing: Hearing
    state: SharedState
    eras: EraTracker
    transport: PeerTransport
    journal: Journal
    rng: Random
    spread: Callable[[Rumours], None]
    sync: Sync
    currency: Currency
    receive_currency: Callable[[str, CurrencyReport | None], None]
    contacts: Contacts = attrs.field(factory=Contacts)
    summaries: SummaryTable | None = None
    _ping_tasks_by_vm: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    _verification_tasks_by_data_centre: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.transport.handlers_by_type[Ping] = self._on_ping

    def stop(self) -> None:
        """Cancel all pings."""
        checks = self._verification_tasks_by_data_centre
        for task in [*self._ping_tasks_by_vm.values(), *checks.values()]:
            task.cancel()
        self._ping_tasks_by_vm.clear()

    def follow(self, contacts: Contacts) -> list[Member]:
        """Ping the given contacts from now on, and no others; return those that are new."""
        self.contacts = contacts
        for vm in list(self._ping_tasks_by_vm):
            if vm not in contacts.pinged_by_vm:
                self._ping_tasks_by_vm.pop(vm).cancel()
        added = []
        for vm, member in contacts.pinged_by_vm.items():
            if vm not in self._ping_tasks_by_vm:
                self._ping_tasks_by_vm[vm] = asyncio.create_task(self._ping_contact(vm))
                added.append(member)
        return added

    async def ping(self, member: Member) -> Pong | None:
        """Ping a member; return its reply, or ``None`` if there was none in time."""
        load = self._load_news(member.data_centre)
        ping = Ping(
            self.state.digest,
            self.hearing.ages_ms(),
            self.eras.era,
            load,
            self.currency.make_report(),
        )
        started = self._now()
        reply = await self.transport.ask(member.peer_address, ping, Pong, PING_TIMEOUT_SECONDS)
        self._record_round_trip(member, started, reply.is_ok())
        if reply.is_error():
            return None
        self._merge_load(member.vm, reply.ok.load)
        self.hearing.record_message(member.vm, reply.ok.heard_ms)
        self.eras.observe(reply.ok.era)
        self.receive_currency(member.vm, reply.ok.currency)
        return reply.ok

    async def revive_dead(self) -> None:
        """Ping a dead member now and then, forever, so that it is found after a partition heals."""
        directory = self.state.directory
        while True:
            await asyncio.sleep(REVIVE_INTERVAL_SECONDS * self.rng.uniform(0.5, 1.5))
            dead = directory.dead()
            share = REVIVES_PER_INTERVAL / directory.living_count
            if not dead or self.rng.random() >= share:
                continue
            member = self.rng.choice(dead)
            if await self.ping(member) is not None:
                # The sync delivers the suspicion to the member; its refutation revives it.
                await self.sync(member.peer_address)

    async def _on_ping(self, sender: str, ping: Ping) -> Pong:
        directory = self.state.directory
        self.hearing.record_message(sender, ping.heard_ms)
        self._merge_load(sender, ping.load)
        self.eras.observe(ping.era)
        self.receive_currency(sender, ping.currency)
        suspicion = directory.suspicion_of(sender)
        if suspicion is not None:
            # The sender is alive; it can only end the suspicion by refuting it.
            address = directory.members_by_vm[sender].peer_address
            self.transport.tell(address, Rumours(suspicions=(suspicion,)))
        digest = self.state.digest
        parts = {} if digest == ping.digest else self.state.digests_by_part()
        is_complete = self.state.configuration.is_complete
        member = directory.members_by_vm.get(sender)
        # A daemon in another data centre gets what this one knows with the pings that go there.
        is_near = member is not None and member.data_centre == directory.me.data_centre
        load = self._load_news(directory.me.data_centre) if is_near else None
        return Pong(
            digest,
            self.hearing.ages_ms(),
            is_complete,
            parts,
            self.eras.era,
            load,
            self.currency.make_report(),
        )

    def _load_news(self, receiver_data_centre: str) -> LoadNews | None:
        if self.summaries is None:
            return None
        return self.summaries.make_news(self._now(), receiver_data_centre)

    def _merge_load(self, sender: str, load: LoadNews | None) -> None:
        member = self.state.directory.members_by_vm.get(sender)
        if self.summaries is not None and load is not None and member is not None:
            self.summaries.merge(load, member.data_centre, self._now())

    def _record_round_trip(self, member: Member, started: float, is_answered: bool) -> None:
        if self.summaries is not None:
            now = self._now()
            seconds = now - started
            self.summaries.record_round_trip(member.data_centre, seconds, now, is_answered)

    def _now(self) -> float:
        return self.hearing.clock.monotonic()

    async def _ping_contact(self, vm: str) -> None:
        directory, configuration = self.state.directory, self.state.configuration
        missed = 0
        mismatches = 0
        while True:
            interval_seconds = self.contacts.ping_interval_seconds(vm)
            await asyncio.sleep(interval_seconds * self.rng.uniform(0.8, 1.2))
            member = directory.members_by_vm.get(vm)
            if member is None:
                return
            pong = await self.ping(member)
            if pong is None:
                missed += 1
                self._handle_missed_ping(member, missed)
                continue
            missed = 0
            directory.clear_suspicion(vm)
            parts = self.state.differing_parts(pong)
            if not any(part in parts for part in COMPLETING_PARTS):
                configuration.is_complete |= pong.is_complete
            mismatches = mismatches + 1 if parts else 0
            if mismatches >= SYNC_AFTER_DIGEST_MISMATCHES:
                mismatches = 0
                await self.sync(member.peer_address, parts=parts)

    def _handle_missed_ping(self, member: Member, missed: int) -> None:
        if missed < SUSPECT_AFTER_MISSED_PINGS:
            return
        # The connection may be broken while the member is alive: the next ping opens a new one.
        self.transport.disconnect(member.peer_address)
        self._suspect(member)
        if member.data_centre != self.state.directory.me.data_centre:
            self._verify_data_centre(member.data_centre)

    def _suspect(self, *members: Member) -> None:
        suspicions = (Suspicion(it.vm, it.incarnation, it.seq) for it in members)
        recorded = tuple(it for it in suspicions if self.state.directory.suspect(it))
        self.spread(Rumours(suspicions=recorded))

    def _verify_data_centre(self, data_centre: str) -> None:
        """Start to find out whether a whole data centre is unreachable.

        Its other members are not contacts of this daemon, and those that would detect their
        failure may have failed with them.
        """
        tasks = self._verification_tasks_by_data_centre
        start_once(tasks, data_centre, lambda: self._ping_data_centre(data_centre))

    async def _ping_data_centre(self, data_centre: str) -> None:
        directory = self.state.directory
        members = [
            member
            for member in directory.members_by_vm.values()
            if member.data_centre == data_centre and not directory.is_suspected(member.vm)
        ]
        if not members:
            return
        sample = self.rng.sample(members, min(VERIFYING_PINGS, len(members)))
        if not any(await asyncio.gather(*(self.ping(member) for member in sample))):
            self.journal.record(
                catalogue.DATA_CENTRE_SUSPECTED, data_centre=data_centre, pinged=len(sample)
            )
            self._suspect(*members)
