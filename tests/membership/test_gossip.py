"""A starting daemon does not wait for daemons that no longer exist.

After a restart it may route no call until its join ends, so a long timeout for unreachable seeds
would delay that.
"""

import asyncio
from random import Random
from typing import Any, cast

import attrs
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.gossip import Gossip
from kingcuppond.membership.messages import IntroductionReply, Member, Rumours, StateReply
from kingcuppond.membership.pinging import PING_TIMEOUT_SECONDS, SUSPECT_AFTER_MISSED_PINGS
from kingcuppond.peers.transport import PeerTransport
from kingcuppond.quarantine.suspects import SuspectTable
from kingcuppond.store.era import EraTracker


@attrs.define
class FakeTransport:
    """A transport whose peers answer at once or time out."""

    silent: frozenset[str]
    handlers_by_type: dict[type, Any] = attrs.field(factory=dict)
    longest_timeout: float = 0.0

    async def ask(
        self, address: str, message: object, reply_type: type, timeout: float
    ) -> Result[Any, str]:
        if address in self.silent:
            self.longest_timeout = max(self.longest_timeout, timeout)
            await asyncio.sleep(0)
            return Error("no answer in time")
        return Ok(
            IntroductionReply(()) if reply_type is IntroductionReply else StateReply(Rumours())
        )

    def tell(self, *arguments: object) -> None:
        pass


async def test_unreachable_seeds_do_not_delay_a_start(clock: Clock, journal: Journal) -> None:
    me = Member("vm-1", "dc-1", "shop", "a:1", "a:2", "a:3", 1)
    transport = FakeTransport(frozenset({"b:2", "c:2"}))
    gossip = Gossip(
        Directory(me, clock, journal),
        Configuration(journal),
        SuspectTable("vm-1", clock, journal),
        cast(PeerTransport, transport),
        EraTracker(),
        clock,
        journal,
        Random(1),
    )
    for _ in range(5):
        # The order in which the addresses are asked is random.
        assert await gossip.join(["b:2", "c:2", "d:2"])
    assert 0 < transport.longest_timeout < PING_TIMEOUT_SECONDS * SUSPECT_AFTER_MISSED_PINGS
    assert not await gossip.join(["b:2", "c:2"])
