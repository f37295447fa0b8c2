"""Discovery of daemons through the store: one object per daemon.

A daemon writes its object once when it starts and deletes it on a planned stop.  The object is not
a heartbeat: liveness is detected by pings.  Daemons that watch the store, and a daemon that knows
no other, re-read the listing periodically, so that two groups of daemons that do not know each
other merge.

The settings may name a few seeds: other VMs whose daemons are contacted at the start.  With seeds,
a daemon can join the fleet while the store is down.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.gossip import Gossip
from kingcuppond.membership.messages import Member
from kingcuppond.store.interface import (
    ABSENT_VERSION,
    Store,
    StoreError,
    decode_body,
    encode_body,
    is_same_json,
)

DAEMON_KIND: Final = "daemon"
MAX_JOIN_TARGETS: Final = 8
INITIAL_BACKOFF_SECONDS: Final = 0.2
MAX_BACKOFF_SECONDS: Final = 5.0
RELIST_INTERVAL_SECONDS: Final = 30.0
SEED_RETRY_SECONDS: Final = 0.3


class Registration:
    """Registers a daemon in the store and joins it to the fleet.

    :param seeds: peer addresses of the daemons to contact at the start, besides those registered
    :param is_watching: returns whether this daemon watches the store for its data centre
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
        is_watching: Callable[[], bool],
    ) -> None:
        self.is_registered = False
        # Set once a seed has replied, or once the daemons chosen from the store's listing were
        # asked, whether or not they replied.
        self.has_contacted_members = False
        self._store = store
        self._directory = directory
        self._gossip = gossip
        self._clock = clock
        self._journal = journal
        self._rng = rng
        self._seeds = seeds
        self._is_watching = is_watching

    async def run(self) -> None:
        """Register and join, with backoff and jitter, then re-read the listing periodically."""
        await asyncio.gather(self._join_through_seeds(), self._join_through_store())
        while True:
            await asyncio.sleep(RELIST_INTERVAL_SECONDS * self._rng.uniform(0.5, 1.5))
            if self._is_watching() or len(self._directory.members_by_vm) == 1:
                await self._join_unknown_members()

    async def _join_through_seeds(self) -> None:
        while self._seeds and not self.has_contacted_members:
            if await self._gossip.join(self._seeds):
                self.has_contacted_members = True
                return
            await asyncio.sleep(SEED_RETRY_SECONDS * self._rng.uniform(0.5, 1.0))

    async def _join_through_store(self) -> None:
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        while not self.is_registered:
            registered = await self._register()
            if registered.is_ok():
                self.is_registered = True
                break
            self._journal.record(catalogue.STORE_DOWN, error=registered.error.message)
            await asyncio.sleep(backoff_seconds * self._rng.uniform(0.5, 1.0))
            backoff_seconds = min(backoff_seconds * 2, MAX_BACKOFF_SECONDS)
        while not await self._join_unknown_members():
            await asyncio.sleep(INITIAL_BACKOFF_SECONDS)
        self.has_contacted_members = True

    async def deregister(self) -> None:
        """Delete this daemon's object from the store; a failure is ignored."""
        found = await self._store.get(DAEMON_KIND, self._directory.me.vm)
        if found.is_ok() and found.ok is not None:
            await self._store.delete(DAEMON_KIND, self._directory.me.vm, found.ok.version)

    async def _register(self) -> Result[None, StoreError]:
        # Safe to retry after a lost answer: the next attempt reads the object and finds it written.
        me = self._directory.me
        body = encode_body(me)
        found = await self._store.get(DAEMON_KIND, me.vm)
        if found.is_error():
            return Error(found.error)
        if found.ok is not None and is_same_json(found.ok.body, body):
            return Ok(None)
        expected = ABSENT_VERSION if found.ok is None else found.ok.version
        return (await self._store.put(DAEMON_KIND, me.vm, body, expected)).map(lambda _: None)

    async def _join_unknown_members(self) -> bool:
        """Join up to ``MAX_JOIN_TARGETS`` registered daemons that the directory does not know.

        :return: whether the store returned the listing
        """
        listed = await self._store.list(DAEMON_KIND)
        if listed.is_error():
            return False
        known = self._directory.members_by_vm
        unknown = [item for item in listed.ok.items if item.name not in known]
        chosen = self._rng.sample(unknown, min(MAX_JOIN_TARGETS, len(unknown)))
        addresses = []
        for item in chosen:
            member = decode_body(item.body, Member)
            if member.is_ok():
                addresses.append(member.ok.peer_address)
                continue
            self._journal.record(
                catalogue.REGISTRATION_UNREADABLE, member=item.name, error=member.error.message
            )
        if addresses:
            await self._gossip.join(addresses)
        return True
