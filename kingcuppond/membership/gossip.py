"""Gossip: failure detection by pings, dissemination of changes, and anti-entropy.

One task per contact pings it.  A contact that misses two pings in a row is suspected, and the
suspicion spreads.  Changes (members, configuration, quarantine notes) are forwarded to all
contacts as soon as they arrive, each only once by each daemon, so they reach the whole fleet in a
few hops.  A ping carries a digest of the members, the configuration and the quarantine notes;
if the digests of the two ends differ in several pings in a row, the ends exchange their complete
state, which includes the suspicions.  The daemons therefore converge
after lost rumours, a restart or a healed partition.
"""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Final

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration, ObjectHead, VersionedObject
from kingcuppond.events.journal import Journal
from kingcuppond.membership.contacts import choose_contacts, ping_interval_seconds
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import (
    Member,
    ObjectsReply,
    ObjectsRequest,
    Ping,
    Pong,
    Rumours,
    Suspicion,
    SyncReply,
    SyncRequest,
)
from kingcuppond.peers.transport import PeerTransport
from kingcuppond.quarantine.suspects import SuspectTable

PING_TIMEOUT_SECONDS: Final = 0.5
SUSPECT_AFTER_MISSED_PINGS: Final = 2
SYNC_TIMEOUT_SECONDS: Final = 2.0
JOIN_TIMEOUT_SECONDS: Final = PING_TIMEOUT_SECONDS
"""A daemon that does not answer a join within the timeout of a ping counts as unreachable."""

SYNC_AFTER_DIGEST_MISMATCHES: Final = 3
REVIVE_INTERVAL_SECONDS: Final = 2.0
HOUSEKEEPING_INTERVAL_SECONDS: Final = 0.1
HEARD_WINDOW_SECONDS: Final = 2.0

PULL_DELAY_SECONDS: Final = 0.1
"""A daemon's own watch usually delivers an object sooner than this; then no pull is needed."""


class Gossip:
    """The gossip protocol as run by one daemon.

    :param rng: source of the jitter of timers and of the choice of dead members to contact
    """

    def __init__(
        self,
        directory: Directory,
        configuration: Configuration,
        suspect_requests: SuspectTable,
        transport: PeerTransport,
        clock: Clock,
        journal: Journal,
        rng: Random,
    ) -> None:
        self.directory = directory
        self.heard_at_by_vm: dict[str, float] = {}
        self._configuration = configuration
        self._suspect_requests = suspect_requests
        self._transport = transport
        self._clock = clock
        self._journal = journal
        self._rng = rng
        self._contacts: dict[str, Member] = {}
        self._ping_tasks_by_vm: dict[str, asyncio.Task[None]] = {}
        self._contacts_generation = -1
        self._pull_tasks_by_vm: dict[str, asyncio.Task[None]] = {}
        transport.handlers_by_type[Ping] = self._on_ping
        transport.handlers_by_type[Rumours] = self._on_rumours
        transport.handlers_by_type[SyncRequest] = self._on_sync
        transport.handlers_by_type[ObjectsRequest] = self._on_objects_request
        directory.on_own_change.append(lambda me: self.spread(Rumours(members=(me,))))
        suspect_requests.on_change.append(lambda note: self.spread(Rumours(notes=(note,))))

    def loops(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Return the loops that run for the lifetime of the daemon."""
        return [self._keep_house, self._revive_dead]

    def stop(self) -> None:
        """Cancel all pings and pulls."""
        for task in (*self._ping_tasks_by_vm.values(), *self._pull_tasks_by_vm.values()):
            task.cancel()
        self._ping_tasks_by_vm.clear()

    def spread(self, news: Rumours, except_vm: str = "") -> None:
        """Send changes to all contacts, except to the daemon that they came from."""
        if not news:
            return
        for vm, member in self._contacts.items():
            if vm != except_vm:
                self._transport.tell(member.peer_address, news)

    def spread_objects(self, objects: list[VersionedObject]) -> None:
        """Merge objects of the store into the configuration and announce those that were newer."""
        accepted = self._configuration.merge(objects)
        self.spread(Rumours(heads=tuple(item.head for item in accepted)))

    async def join(self, addresses: list[str]) -> bool:
        """Exchange the complete state with a few daemons, so that both ends know each other.

        A starting daemon may be unable to route calls before this ends, and some of the addresses
        may belong to daemons that no longer exist, so the timeout is no longer than that of a ping.

        :param addresses: peer addresses to contact concurrently
        :return: whether any of them answered
        """
        syncs = [self._sync(address, JOIN_TIMEOUT_SECONDS) for address in addresses]
        return any(await asyncio.gather(*syncs))

    def longest_silence_seconds(self) -> float:
        """Return the seconds since the last message of the contact that has been silent longest.

        Contacts that were never heard are left out.
        """
        now = self._clock.monotonic()
        heard = [self.heard_at_by_vm[vm] for vm in self._contacts if vm in self.heard_at_by_vm]
        return now - min(heard, default=now)

    def hears_majority(self) -> bool:
        """Return whether the data centres heard recently contain more than half of all members.

        A data centre counts as heard if any member of it was heard; the daemon's own data centre
        counts only if another member of it was heard or it has no other member.  Dead members stay
        in the total: to a daemon that is cut off, the unreachable rest of the fleet looks dead, and
        it must not conclude that the fleet has shrunk.
        """
        heard_since = self._clock.monotonic() - HEARD_WINDOW_SECONDS
        me = self.directory.me
        members_by_data_centre: dict[str, int] = {}
        heard = set()
        for vm, member in self.directory.members_by_vm.items():
            count = members_by_data_centre.get(member.data_centre, 0)
            members_by_data_centre[member.data_centre] = count + 1
            if vm != me.vm and self.heard_at_by_vm.get(vm, heard_since) > heard_since:
                heard.add(member.data_centre)
        if members_by_data_centre[me.data_centre] == 1:
            heard.add(me.data_centre)
        heard_members = sum(members_by_data_centre[name] for name in heard)
        return heard_members * 2 > len(self.directory.members_by_vm)

    def _digest(self) -> int:
        return self.directory.digest ^ self._configuration.digest ^ self._suspect_requests.digest

    async def _on_ping(self, sender: str, ping: Ping) -> Pong:
        self._record_heard(sender)
        return Pong(self._digest())

    async def _on_rumours(self, sender: str, rumours: Rumours) -> None:
        self._record_heard(sender)
        self.spread(self._merge(rumours), except_vm=sender)
        self._schedule_pull(sender, rumours.heads)

    async def _on_sync(self, sender: str, request: SyncRequest) -> SyncReply:
        self._record_heard(sender)
        news = self._newer_than(request.known)
        self.spread(self._merge(request.known), except_vm=sender)
        self._schedule_pull(sender, request.known.heads)
        objects = self._objects_newer_than(request.known.heads)
        return SyncReply(news, objects, self._configuration.is_complete)

    async def _on_objects_request(self, sender: str, request: ObjectsRequest) -> ObjectsReply:
        self._record_heard(sender)
        return ObjectsReply(self._objects_newer_than(request.known))

    def _record_heard(self, vm: str) -> None:
        self.heard_at_by_vm[vm] = self._clock.monotonic()

    def _merge(self, rumours: Rumours) -> Rumours:
        """Merge all but the heads, whose objects arrive separately, and return what was new."""
        return Rumours(
            members=tuple(m for m in rumours.members if self.directory.merge(m)),
            suspicions=tuple(s for s in rumours.suspicions if self.directory.suspect(s)),
            notes=tuple(n for n in rumours.notes if self._suspect_requests.merge(n)),
        )

    def _snapshot(self) -> Rumours:
        return Rumours(
            members=tuple(self.directory.members_by_vm.values()),
            heads=tuple(item.head for item in self._configuration.objects_by_key.values()),
            suspicions=tuple(self.directory.suspicions()),
            notes=tuple(self._suspect_requests.notes()),
        )

    def _newer_than(self, known: Rumours) -> Rumours:
        members = {m.vm: m.version for m in known.members}
        notes = {n.fingerprint: n.stamp for n in known.notes}
        own = self._snapshot()
        return Rumours(
            members=tuple(m for m in own.members if members.get(m.vm, (0, 0)) < m.version),
            suspicions=own.suspicions,
            notes=tuple(n for n in own.notes if notes.get(n.fingerprint) != n.stamp),
        )

    async def _sync(self, address: str, timeout: float = SYNC_TIMEOUT_SECONDS) -> bool:
        request = SyncRequest(self._snapshot())
        reply = await self._transport.ask(address, request, SyncReply, timeout)
        if reply.is_error():
            return False
        self.spread(self._merge(reply.ok.news))
        # Objects received one at a time may be only a part of the configuration.  It is known to be
        # complete only if the other daemon's was.
        self._configuration.is_complete |= reply.ok.is_complete
        self.spread_objects(list(reply.ok.objects))
        return True

    def _objects_newer_than(self, heads: tuple[ObjectHead, ...]) -> tuple[VersionedObject, ...]:
        known = {(head.kind, head.name): head.version for head in heads}
        own = self._configuration.objects_by_key.values()
        return tuple(item for item in own if known.get(item.key, 0) < item.version)

    def _schedule_pull(self, vm: str, heads: tuple[ObjectHead, ...]) -> None:
        """Schedule a request for the objects that a daemon announced, unless they arrive before."""
        if vm in self._pull_tasks_by_vm or not any(map(self._configuration.is_newer, heads)):
            return
        task = asyncio.create_task(self._pull_objects(vm, heads))
        self._pull_tasks_by_vm[vm] = task
        task.add_done_callback(lambda _: self._pull_tasks_by_vm.pop(vm, None))

    async def _pull_objects(self, vm: str, heads: tuple[ObjectHead, ...]) -> None:
        await asyncio.sleep(PULL_DELAY_SECONDS * self._rng.uniform(0.5, 1.5))
        member = self.directory.members_by_vm.get(vm)
        if member is None or not any(map(self._configuration.is_newer, heads)):
            return
        request = ObjectsRequest(self._snapshot().heads)
        reply = await self._transport.ask(
            member.peer_address, request, ObjectsReply, SYNC_TIMEOUT_SECONDS
        )
        if reply.is_ok():
            self.spread_objects(list(reply.ok.objects))

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_SECONDS)
            self.directory.expire_suspicions()
            self._suspect_requests.expire()
            if self._contacts_generation != self.directory.generation:
                self._contacts_generation = self.directory.generation
                self._choose_contacts()

    def _choose_contacts(self) -> None:
        self._contacts = choose_contacts(self.directory.me, self.directory.living())
        for vm in list(self._ping_tasks_by_vm):
            if vm not in self._contacts:
                self._ping_tasks_by_vm.pop(vm).cancel()
        for vm in self._contacts:
            if vm not in self._ping_tasks_by_vm:
                self._ping_tasks_by_vm[vm] = asyncio.create_task(self._ping_contact(vm))
                # The new contact has not received the earlier announcements of this daemon.
                news = Rumours(members=(self.directory.me,))
                self._transport.tell(self._contacts[vm].peer_address, news)

    async def _ping_contact(self, vm: str) -> None:
        missed = 0
        mismatches = 0
        while True:
            interval_seconds = ping_interval_seconds(len(self._contacts))
            await asyncio.sleep(interval_seconds * self._rng.uniform(0.8, 1.2))
            member = self.directory.members_by_vm.get(vm)
            if member is None:
                return
            ping = Ping(self._digest())
            address = member.peer_address
            reply = await self._transport.ask(address, ping, Pong, PING_TIMEOUT_SECONDS)
            if reply.is_error():
                missed += 1
                self._handle_missed_ping(member, missed)
                continue
            missed = 0
            self._record_heard(vm)
            self.directory.clear_suspicion(vm)
            mismatches = mismatches + 1 if reply.ok.digest != self._digest() else 0
            if mismatches >= SYNC_AFTER_DIGEST_MISMATCHES:
                mismatches = 0
                await self._sync(address)

    def _handle_missed_ping(self, member: Member, missed: int) -> None:
        if missed < SUSPECT_AFTER_MISSED_PINGS:
            return
        # The connection may be broken while the member is alive: the next ping opens a new one.
        self._transport.disconnect(member.peer_address)
        suspicion = Suspicion(member.vm, member.incarnation, member.seq)
        if self.directory.suspect(suspicion):
            self.spread(Rumours(suspicions=(suspicion,)))

    async def _revive_dead(self) -> None:
        while True:
            await asyncio.sleep(REVIVE_INTERVAL_SECONDS * self._rng.uniform(0.5, 1.5))
            dead = self.directory.dead()
            if dead:
                # The sync delivers the suspicion to the member; its refutation revives it.
                await self._sync(self._rng.choice(dead).peer_address)
