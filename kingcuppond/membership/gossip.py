"""Gossip: dissemination of changes, and anti-entropy.

Pings (see ``kingcuppond.membership.pinging``) detect failures, and suspicions spread.  Changes
(members, configuration, quarantine notes, the era of the store) are forwarded to all contacts, each
only once by each daemon, and combined for some tens of milliseconds, so that they reach the whole
fleet in a few hops and few messages.  A ping carries a digest of the shared state; if the digests
of the two ends differ in several pings in a row, the ends exchange the parts that differ, and the
suspicions in them.  The daemons therefore converge after lost rumours, a restart or a healed
partition.

Few daemons have contacts in other data centres.  The others learn through them, by the ages in
pings, whether the other data centres are alive.
"""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Final

import attrs

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration, ObjectHead, VersionedObject
from kingcuppond.digest import digest_of
from kingcuppond.events.journal import Journal
from kingcuppond.membership.contacts import choose_contacts
from kingcuppond.membership.currency import DIGEST_MASK, make_currency
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.hearing import Hearing
from kingcuppond.membership.load_reports import LoadCollector
from kingcuppond.membership.messages import (
    CurrencyReport,
    IntroductionReply,
    IntroductionRequest,
    Member,
    ObjectsReply,
    ObjectsRequest,
    Rumours,
    StateReply,
    StateRequest,
)
from kingcuppond.membership.pinging import PING_TIMEOUT_SECONDS, Pinger
from kingcuppond.membership.rumour_queue import RumourQueue
from kingcuppond.membership.state import OBJECTS_PART, SharedState
from kingcuppond.membership.summaries import SummaryTable
from kingcuppond.membership.tasks import first_to_succeed, start_once
from kingcuppond.peers.transport import PeerTransport
from kingcuppond.quarantine.suspects import SuspectTable
from kingcuppond.store.era import EraTracker

COMBINE_SECONDS: Final = 0.03
"""How long changes wait to be combined; a change crosses the fleet in about ten hops."""

SYNC_TIMEOUT_SECONDS: Final = 2.0
JOIN_TIMEOUT_SECONDS: Final = PING_TIMEOUT_SECONDS
"""A daemon that does not answer a join within the timeout of a ping counts as unreachable."""

NEXT_INTRODUCTION_SECONDS: Final = 0.25
"""How long a joining daemon waits for an introduction before it asks the next daemon too."""

MAX_JOINED_NEIGHBOURS: Final = 2
HOUSEKEEPING_INTERVAL_SECONDS: Final = 0.2

PULL_DELAY_SECONDS: Final = 0.1
"""A daemon's own watch usually delivers an object sooner than this; then no pull is needed."""

RUMOUR_SECONDS: Final = 0.3
"""A change crosses the fleet as a rumour within this time, unless the rumour is lost."""


class Gossip:
    """The gossip protocol as run by one daemon.

    :param rng: source of the jitter of timers and of the choice of members to contact
    """

    def __init__(
        self,
        directory: Directory,
        configuration: Configuration,
        suspect_requests: SuspectTable,
        transport: PeerTransport,
        eras: EraTracker,
        clock: Clock,
        journal: Journal,
        rng: Random,
    ) -> None:
        self.directory = directory
        self.hearing = Hearing(directory, clock)
        self._configuration = configuration
        self._state = SharedState(directory, configuration, suspect_requests)
        self._transport = transport
        self._eras = eras
        self._rng = rng
        self.currency = make_currency(
            _source_of(directory.me), lambda: configuration.digest, clock.monotonic
        )
        self.pinger = Pinger(
            self.hearing,
            self._state,
            eras,
            transport,
            journal,
            rng,
            self.spread,
            self._sync,
            self.currency,
            self._receive_currency,
        )
        self.load_loops: list[Callable[[], Coroutine[Any, Any, None]]] = []
        self._queue = RumourQueue()
        self._flush_handle: asyncio.TimerHandle | None = None
        self._is_era_due = False
        self._contacts_generation = -1
        self._pull_tasks_by_vm: dict[str, asyncio.Task[None]] = {}
        self._catch_up_tasks_by_vm: dict[str, asyncio.Task[None]] = {}
        transport.handlers_by_type[Rumours] = self._on_rumours
        transport.handlers_by_type[StateRequest] = self._on_state_request
        transport.handlers_by_type[IntroductionRequest] = self._on_introduction_request
        transport.handlers_by_type[ObjectsRequest] = self._on_objects_request
        directory.on_own_change.append(lambda me: self.spread(Rumours(members=(me,))))
        suspect_requests.on_change.append(lambda note: self.spread(Rumours(notes=(note,))))
        eras.on_new_era.append(self._spread_era)

    def loops(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Return the loops that run for the lifetime of the daemon."""
        return [self._keep_house, self.pinger.revive_dead, *self.load_loops]

    def carry_load(self, summaries: SummaryTable, collector: LoadCollector) -> None:
        """Have pings carry summaries of load, and collect them; call it before the start."""
        self.pinger.summaries = summaries
        self.load_loops.append(collector.collect_load)

    def stop(self) -> None:
        """Send what waits to be sent, and cancel all pings and pulls."""
        self._flush()
        self.pinger.stop()
        for tasks_by_vm in (self._pull_tasks_by_vm, self._catch_up_tasks_by_vm):
            for task in list(tasks_by_vm.values()):
                task.cancel()

    def spread(self, news: Rumours, sender: str = "") -> None:
        """Send changes to all contacts soon, except to the daemon that they came from."""
        if not news:
            return
        self._queue.add(news, self.directory.members_by_vm, sender)
        if news.notes:
            # A harmful request may be on its way to the next server.
            self._flush()
        else:
            self._flush_soon()

    def spread_objects(self, objects: list[VersionedObject]) -> None:
        """Merge objects of the store into the configuration and announce those that were newer."""
        accepted = self._configuration.merge(objects)
        self.spread(Rumours(heads=tuple(item.head for item in accepted)))

    async def join(self, addresses: list[str]) -> bool:
        """Make this daemon and the fleet known to each other, through a few known addresses.

        One of the addresses introduces the members of this data centre, two of which send the whole
        state.  If none of them has the whole configuration, the introducing daemon is asked for its
        state too.  A starting daemon may be unable to route calls before this ends, and some of the
        addresses may belong to daemons that no longer exist, so the timeout is no longer than that
        of a ping.

        Daemons that start at the same time may be introduced to each other in separate groups, as
        no introducer knows the others yet.  The other addresses are therefore told of this daemon
        as well, so that the groups find each other.  The seeds of a fleet receive about as many of
        these messages as requests for an introduction, one or two from each daemon that starts.

        :param addresses: peer addresses to contact
        :return: whether another daemon sent its state
        """
        introducer = await first_to_succeed(
            self._rng.sample(addresses, len(addresses)),
            self._ask_introduction,
            NEXT_INTRODUCTION_SECONDS,
        )
        if introducer is None:
            return False
        me = self.directory.me
        for address in addresses:
            if address != introducer:
                self._transport.tell(address, Rumours(members=(me,), era=self._eras.era))
        neighbours = [
            member.peer_address
            for member in self.directory.living()
            if member.data_centre == me.data_centre and member.vm != me.vm
        ]
        chosen = self._rng.sample(neighbours, min(MAX_JOINED_NEIGHBOURS, len(neighbours)))
        syncs = [self._sync(address, JOIN_TIMEOUT_SECONDS) for address in chosen]
        is_synced = any(await asyncio.gather(*syncs))
        if not self._configuration.is_complete and introducer not in chosen:
            is_synced |= await self._sync(introducer, JOIN_TIMEOUT_SECONDS)
        return is_synced

    async def catch_up(self) -> bool:
        """Ask two contacts for what changed while this process was paused.

        :return: whether any of them has told, or there is no other member
        """
        contacts = list(self.pinger.contacts.pinged_by_vm.values())
        chosen = self._rng.sample(contacts, min(MAX_JOINED_NEIGHBOURS, len(contacts)))
        told = await asyncio.gather(*(self._ask_for_changes(member) for member in chosen))
        return any(told) or len(self.directory.members_by_vm) == 1

    async def _ask_for_changes(self, member: Member) -> bool:
        # Connections may have broken during the pause.
        self._transport.disconnect(member.peer_address)
        pong = await self.pinger.ping(member)
        if pong is None:
            return False
        parts = self._state.differing_parts(pong)
        return not parts or await self._sync(member.peer_address, PING_TIMEOUT_SECONDS, parts)

    async def _ask_introduction(self, address: str) -> bool:
        request = IntroductionRequest(self.directory.me)
        reply = await self._transport.ask(address, request, IntroductionReply, JOIN_TIMEOUT_SECONDS)
        if reply.is_error():
            return False
        self._merge_and_spread(Rumours(members=reply.ok.members))
        return True

    async def _on_rumours(self, sender: str, rumours: Rumours) -> None:
        self.hearing.record_message(sender)
        self._merge_and_spread(rumours, sender)
        self._schedule_pull(sender, rumours.heads)

    async def _on_introduction_request(
        self, sender: str, request: IntroductionRequest
    ) -> IntroductionReply:
        self._merge_and_spread(Rumours(members=(request.me,)), sender)
        self.hearing.record_message(sender)
        return self._state.introduce(request.me)

    async def _on_state_request(self, sender: str, request: StateRequest) -> StateReply:
        reply = self._state.answer_request(request)
        self._merge_and_spread(attrs.evolve(request.news, members=(request.me,)), sender)
        self.hearing.record_message(sender)
        self._schedule_pull(sender, request.objects)
        return reply

    async def _on_objects_request(self, sender: str, request: ObjectsRequest) -> ObjectsReply:
        self.hearing.record_message(sender)
        return ObjectsReply(self._state.objects_newer_than(request.known))

    def _spread_era(self, _era: int) -> None:
        self._is_era_due = True
        self._flush_soon()

    def _merge_and_spread(self, rumours: Rumours, sender: str = "") -> None:
        self._eras.observe(rumours.era)
        self._queue.add_holder(rumours, sender)
        self.spread(self._state.merge(rumours), sender)

    def _flush_soon(self) -> None:
        if self._flush_handle is None:
            loop = asyncio.get_running_loop()
            self._flush_handle = loop.call_later(COMBINE_SECONDS, self._flush)

    def _flush(self) -> None:
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
        contacts = self.pinger.contacts.informed_by_vm
        rumours_by_vm = self._queue.take(self.directory.me.data_centre, contacts.values())
        if self._is_era_due:
            self._is_era_due = False
            rumours_by_vm = {vm: Rumours() for vm in contacts} | rumours_by_vm
        for vm, rumours in rumours_by_vm.items():
            message = attrs.evolve(rumours, era=self._eras.era)
            self._transport.tell(contacts[vm].peer_address, message)

    async def _sync(
        self,
        address: str,
        timeout: float = SYNC_TIMEOUT_SECONDS,
        parts: tuple[str, ...] | None = None,
    ) -> bool:
        """Make some parts of the state equal here and at another daemon.

        :param parts: names of the parts, or ``None`` for the whole state
        :return: whether the other daemon answered
        """
        request = self._state.make_request(parts)
        reply = await self._transport.ask(address, request, StateReply, timeout)
        if reply.is_error():
            return False
        self._merge_and_spread(reply.ok.news)
        # Objects received one at a time may be only a part of the configuration.  It is known to be
        # complete only if the other daemon's was.
        self._configuration.is_complete |= reply.ok.is_complete
        self.spread_objects(list(reply.ok.objects))
        known = self.directory.members_by_vm
        wanted = tuple(known[vm] for vm in reply.ok.wanted if vm in known)
        if wanted:
            self._transport.tell(address, Rumours(members=wanted))
        return True

    def _schedule_pull(self, vm: str, heads: tuple[ObjectHead, ...]) -> None:
        """Schedule a request for the objects that a daemon announced, unless they arrive before."""
        if any(map(self._configuration.is_newer, heads)):
            start_once(self._pull_tasks_by_vm, vm, lambda: self._pull_objects(vm, heads))

    async def _pull_objects(self, vm: str, heads: tuple[ObjectHead, ...]) -> None:
        await asyncio.sleep(PULL_DELAY_SECONDS * self._rng.uniform(0.5, 1.5))
        member = self.directory.members_by_vm.get(vm)
        if member is None or not any(map(self._configuration.is_newer, heads)):
            return
        if not self._configuration.is_complete:
            # A state exchange also tells whether the objects are the whole configuration.
            await self._sync(member.peer_address, parts=(OBJECTS_PART,))
            return
        await self._fetch_objects(member)

    async def _fetch_objects(self, member: Member) -> bool:
        """Fetch the objects that another daemon has newer; return whether it answered."""
        request = ObjectsRequest(self._state.object_heads())
        reply = await self._transport.ask(
            member.peer_address, request, ObjectsReply, SYNC_TIMEOUT_SECONDS
        )
        if reply.is_ok():
            self.spread_objects(list(reply.ok.objects))
        return reply.is_ok()

    def _receive_currency(self, vm: str, report: CurrencyReport | None) -> None:
        currency = self.currency
        if report is None or not currency.is_news(report) or not self._configuration.is_complete:
            return
        if currency.has_objects_of(report):
            currency.take_over(report)
        elif currency.follows.silent_seconds() > RUMOUR_SECONDS:
            # The rumour of a change would have arrived by now.
            start_once(self._catch_up_tasks_by_vm, vm, lambda: self._catch_up_with(vm, report))

    async def _catch_up_with(self, vm: str, report: CurrencyReport) -> None:
        member = self.directory.members_by_vm.get(vm)
        if member is not None and await self._fetch_objects(member):
            self.currency.take_over(report)

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_SECONDS)
            self.directory.expire_suspicions()
            self._state.suspect_requests.expire()
            if self._contacts_generation != self.directory.generation:
                self._contacts_generation = self.directory.generation
                self._choose_contacts()

    def _choose_contacts(self) -> None:
        directory = self.directory
        contacts = choose_contacts(directory.me, directory.living(), directory.suspected())
        for member in self.pinger.follow(contacts):
            # The new contact has not received the earlier announcements of this daemon.
            news = Rumours(members=(directory.me,), era=self._eras.era)
            self._transport.tell(member.peer_address, news)


def _source_of(member: Member) -> int:
    """Return what identifies a process among those that count, which is never 0."""
    return digest_of(member.vm, member.incarnation) & DIGEST_MASK or 1
