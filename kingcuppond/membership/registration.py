"""Discovery of daemons through the store: one object for each of a few daemons.

The settings may name a few seeds: other VMs whose daemons are contacted at the start.  With seeds,
a daemon can join the fleet while the store is down, and without a call to the store.  A daemon that
none of its seeds answers, or that has none, joins through the daemons registered in the store.  One
that is a seed itself joins through the first daemons that contact it.

A daemon without seeds registers when it starts.  Of those with seeds, only the few that act for
their data centre do, so that the number of objects does not grow with the fleet.  The object is
deleted on a planned stop.  It is not a heartbeat: liveness is detected by pings.  Registered
daemons, and a daemon that knows no other, re-read the listing periodically, so that two groups of
daemons that do not know each other merge.

A store that is restored from a copy may have lost the object, so a registered daemon then registers
again.  Objects that come back are left: an address that does not answer only costs a joining daemon
a timeout.
"""

import asyncio
from collections.abc import Callable, Container
from random import Random
from typing import Final

from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.gossip import Gossip
from kingcuppond.membership.messages import Member
from kingcuppond.settings.checks import has_valid_port
from kingcuppond.store.interface import (
    ABSENT_VERSION,
    Store,
    StoreError,
    decode_body,
    encode_body,
)

DAEMON_KIND: Final = "daemon"
MAX_JOIN_TARGETS: Final = 8
INITIAL_BACKOFF_SECONDS: Final = 0.2
MAX_BACKOFF_SECONDS: Final = 5.0
RELIST_INTERVAL_SECONDS: Final = 30.0

LONE_RELIST_INTERVAL_SECONDS: Final = 3.0
"""While no other member is known: the registered daemons that were asked may be gone."""

MAX_UNANSWERED_JOINS: Final = 3
"""Attempts to join after which a daemon relies on the store alone.

A daemon on a busy VM may answer late, and a listing may be stale or that of a restored copy.
"""

MAX_CONTACTS: Final = 2
CONTACT_POLL_SECONDS: Final = 0.05

SEED_RETRY_SECONDS: Final = 0.3
SEED_PATIENCE_SECONDS: Final = 1.0
"""How long a daemon waits for its seeds before it joins through the store too."""

ROLE_CHECK_INTERVAL_SECONDS: Final = 1.0

REWRITE_DELAY_SECONDS_PER_MEMBER: Final = 0.002
"""Claims and departures, which are more urgent, are written again before."""

REWRITE_SPREAD_SECONDS_PER_MEMBER: Final = 0.005
"""Without seeds all daemons are registered; the store takes 400 writes a second."""


class Registration:
    """Joins a daemon to the fleet, and registers it in the store if others should find it there.

    :param seeds: peer addresses of the daemons to contact at the start, besides those registered
    :param has_rank: returns whether this daemon is one of those that act for their data centre
    """

    def __init__(
        self,
        store: Store,
        directory: Directory,
        gossip: Gossip,
        clock: Clock,
        journal: Journal,
        rng: Random,
        seeds: list[str],
        has_rank: Callable[[], bool],
    ) -> None:
        self.is_registered = False
        # Set once another daemon has sent its state, or once the daemons chosen from the store's
        # listing were asked, whether or not they replied.
        self.has_contacted_members = False
        # Set if an earlier process on this VM has left its object in the store.
        self.has_predecessor = False
        self._store = store
        self._directory = directory
        self._gossip = gossip
        self._clock = clock
        self._journal = journal
        self._rng = rng
        self._seeds = seeds
        self._has_rank = has_rank
        self._version: int | None = None
        self._may_exist = False
        self._is_rewrite_due = False
        self._era = 0

    def on_new_era(self, era: int) -> None:
        """Have this daemon registered again: a restored store may have lost its object."""
        if self.is_registered:
            self._version = None
            self._is_rewrite_due = True
        self._era = era

    async def run(self) -> None:
        """Join and register, then re-read the listing periodically."""
        await asyncio.gather(
            self._join_through_seeds(), self._join_through_contacts(), self._join_through_store()
        )
        await asyncio.gather(self._keep_registered(), self._relist())

    async def _join_through_seeds(self) -> None:
        while self._seeds and not self.has_contacted_members:
            if await self._gossip.join(self._seeds):
                self.has_contacted_members = True
                return
            await asyncio.sleep(SEED_RETRY_SECONDS * self._rng.uniform(0.5, 1.0))

    async def _join_through_contacts(self) -> None:
        """Join through the daemons that have contacted this one first.

        If the whole fleet restarts, the seeds of a daemon may not run yet, while others that name
        it as their seed already do.
        """
        while self._seeds and not self.has_contacted_members:
            contacts = self._contact_addresses()
            if contacts and await self._gossip.join(contacts):
                self.has_contacted_members = True
                return
            await asyncio.sleep(CONTACT_POLL_SECONDS)

    def _contact_addresses(self) -> list[str]:
        me = self._directory.me
        members = [member for member in self._directory.living() if member.vm != me.vm]
        chosen = self._rng.sample(members, min(MAX_CONTACTS, len(members)))
        return [member.peer_address for member in chosen]

    async def _join_through_store(self) -> None:
        if self._seeds:
            await self._wait_for_seeds()
            if self.has_contacted_members:
                return
        await self._register_with_backoff()
        await self._join_listed_members()
        self.has_contacted_members = True

    async def _join_listed_members(self) -> None:
        """Join until one of the registered daemons has sent its state, or none is there."""
        unanswered = 0
        while unanswered < MAX_UNANSWERED_JOINS:
            joined = await self._join({self._directory.me.vm})
            if joined.is_ok() and joined.ok:
                return
            unanswered += joined.is_ok()
            await asyncio.sleep(INITIAL_BACKOFF_SECONDS)

    async def _wait_for_seeds(self) -> None:
        end = self._clock.monotonic() + SEED_PATIENCE_SECONDS
        while not self.has_contacted_members and self._clock.monotonic() < end:
            await asyncio.sleep(SEED_RETRY_SECONDS / 4)

    async def _keep_registered(self) -> None:
        while True:
            await asyncio.sleep(ROLE_CHECK_INTERVAL_SECONDS * self._rng.uniform(0.5, 1.0))
            if self._is_rewrite_due:
                await self._register_again()
            elif not self.is_registered and self._has_rank():
                await self._register_with_backoff()

    async def _register_again(self) -> None:
        seconds_per_member = (
            REWRITE_DELAY_SECONDS_PER_MEMBER
            + REWRITE_SPREAD_SECONDS_PER_MEMBER * self._rng.random()
        )
        await asyncio.sleep(seconds_per_member * self._directory.living_count)
        # The store may be restored once more while this daemon registers.
        self._is_rewrite_due = False
        self.is_registered = False
        await self._register_with_backoff()
        if self.is_registered:
            self._journal.record(catalogue.REGISTERED_AGAIN, era=self._era)

    async def _relist(self) -> None:
        while True:
            is_alone = len(self._directory.members_by_vm) == 1
            interval_seconds = LONE_RELIST_INTERVAL_SECONDS if is_alone else RELIST_INTERVAL_SECONDS
            await asyncio.sleep(interval_seconds * self._rng.uniform(0.5, 1.5))
            if is_alone or self._has_rank():
                await self._join(self._directory.members_by_vm)

    async def _register_with_backoff(self) -> None:
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        while not self.is_registered and not self._directory.me.is_leaving:
            registered = await self._register()
            if registered.is_ok():
                self.is_registered = True
                return
            if not registered.error.is_conflict:
                self._journal.record(catalogue.STORE_DOWN, error=registered.error.message)
            await asyncio.sleep(backoff_seconds * self._rng.uniform(0.5, 1.0))
            backoff_seconds = min(backoff_seconds * 2, MAX_BACKOFF_SECONDS)

    async def deregister(self) -> None:
        """Delete this daemon's object from the store, if it may have one; a failure is ignored."""
        if self._version is None and self._may_exist:
            found = await self._store.get(DAEMON_KIND, self._directory.me.vm)
            if found.is_ok() and found.ok is not None:
                self._version = found.ok.version
        if self._version is not None:
            await self._store.delete(DAEMON_KIND, self._directory.me.vm, self._version)

    async def _register(self) -> Result[None, StoreError]:
        me = self._directory.me
        body = encode_body(me)
        expected = ABSENT_VERSION
        is_first_attempt = not self._may_exist
        if self._may_exist:
            # An earlier process, or an attempt whose answer was lost, may have written the object.
            found = await self._store.get(DAEMON_KIND, me.vm)
            if found.is_error():
                return Error(found.error)
            if found.ok is not None and _is_found_by(found.ok.body, me):
                self._version = found.ok.version
                return Ok(None)
            expected = ABSENT_VERSION if found.ok is None else found.ok.version
        self._may_exist = True
        written = await self._store.put(DAEMON_KIND, me.vm, body, expected)
        if written.is_error():
            self.has_predecessor |= is_first_attempt and written.error.is_conflict
            return Error(written.error)
        self._version = written.ok
        return Ok(None)

    async def _join(self, known: Container[str]) -> Result[bool, StoreError]:
        """Join up to ``MAX_JOIN_TARGETS`` registered daemons.

        :param known: VMs whose daemons are left out
        :return: whether one of them has sent its state, or there is none
        """
        listed = await self._store.list(DAEMON_KIND)
        if listed.is_error():
            return Error(listed.error)
        unknown = [item for item in listed.ok.items if item.name not in known]
        chosen = self._rng.sample(unknown, min(MAX_JOIN_TARGETS, len(unknown)))
        addresses = []
        for item in chosen:
            address = _read_peer_address(item.body)
            if address.is_ok():
                addresses.append(address.ok)
                continue
            self._journal.record(
                catalogue.REGISTRATION_UNREADABLE, member=item.name, error=address.error[:200]
            )
        return Ok(not addresses or await self._gossip.join(addresses))


def _read_peer_address(body: bytes) -> Result[str, str]:
    """Return the address at which a registered daemon is contacted, or why there is none."""
    member = decode_body(body, Member)
    if member.is_error():
        return Error(member.error.message)
    if not has_valid_port(member.ok.peer_address):
        return Error(f"{member.ok.peer_address!r} is not an address")
    return Ok(member.ok.peer_address)


def _is_found_by(body: bytes, me: Member) -> bool:
    """Return whether others find this daemon by an object, whatever else has changed since."""
    found = decode_body(body, Member)
    return found.is_ok() and _addresses(found.ok) == _addresses(me)


def _addresses(member: Member) -> tuple[str, ...]:
    return (
        member.data_centre,
        member.service,
        member.peer_address,
        member.relay_address,
        member.metrics_address,
    )
