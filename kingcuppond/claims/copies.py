"""Copies of granted claims at a further daemon, in case a restored store has lost them.

The owner of an attempt and the coordinator that wrote its claim know the claim.  They may be one
daemon, or two that fail together with their data centre.  For such a claim the coordinator sends a
copy to a third daemon, in another data centre if there is one, before it grants the claim.  The
keeper of the copy has it written again like the claims of its own attempts.

A daemon that stops as planned sends what it knows to another one, so that a series of restarts
loses no claim.

Nobody waits for a copy to arrive, so a claim can still be lost together with its daemon in the
moment in which it is granted, or while messages are lost.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

import attrs

from kingcuppond.claims.messages import ClaimCopy, ClaimRecord
from kingcuppond.clock import Clock
from kingcuppond.membership.contacts import rendezvous_hash
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member
from kingcuppond.peers.transport import PeerTransport
from kingcuppond.store.era import EraTracker

KEEP_SECONDS: Final = 600.0
"""Far longer than the seconds by which a copy of the store is old."""

MAX_COPIES: Final = 20_000
MAX_MESSAGE_RECORDS: Final = 500


@attrs.frozen
class _Copy:
    record: ClaimRecord
    received_at: float


@attrs.define
class ClaimCopies:
    """The copies that this daemon keeps for others.

    :param eras: the newest era of the store that this daemon knows
    """

    directory: Directory
    transport: PeerTransport
    eras: EraTracker
    clock: Clock
    _copies_by_attempt: OrderedDict[str, _Copy] = attrs.field(factory=OrderedDict)

    def __attrs_post_init__(self) -> None:
        self.transport.handlers_by_type[ClaimCopy] = self._on_copy

    def send(self, records: Iterable[ClaimRecord], era: int, ranked: list[Member]) -> None:
        """Send a further daemon the granted claims that could be lost with this one.

        :param records: claims and releases
        :param era: era of the log that holds them
        :param ranked: the coordinators of their shard in order of rank
        """
        me = self.directory.me
        others = [member for member in ranked if member.vm != me.vm]
        distant = [member for member in others if member.data_centre != me.data_centre]
        if not others:
            return
        known_elsewhere = {member.vm for member in distant or others}
        copied = tuple(it for it in records if owner_of(it.attempt) not in known_elsewhere)
        if copied:
            keeper = (distant or others)[0]
            self.transport.tell(keeper.peer_address, ClaimCopy(copied, era))

    def hand_over(self, own: Iterable[ClaimRecord]) -> None:
        """Send another daemon the recent claims that this one knows, before it stops.

        :param own: claims of this daemon's own attempts
        """
        me = self.directory.me
        others = [
            member
            for member in self.directory.living()
            if member.vm != me.vm
            and not member.is_leaving
            and not self.directory.is_suspected(member.vm)
        ]
        if not others:
            return
        successor = min(others, key=lambda it: rendezvous_hash(f"claims-of-{me.vm}", it.vm))
        oldest_ms = self.clock.fleet_ms() - 1000 * KEEP_SECONDS
        claims = [claim for claim in own if claim.at_ms > oldest_ms] + self.claims()
        for start in range(0, len(claims), MAX_MESSAGE_RECORDS):
            records = tuple(claims[start : start + MAX_MESSAGE_RECORDS])
            self.transport.tell(successor.peer_address, ClaimCopy(records, self.eras.era))

    def claims(self) -> list[ClaimRecord]:
        """Return the claims of which this daemon keeps copies."""
        self._drop_old()
        return [copy.record for copy in self._copies_by_attempt.values()]

    async def _on_copy(self, _sender: str, message: ClaimCopy) -> None:
        if message.era < self.eras.era:
            # This daemon may have published already that it has written its claims again.
            return
        for record in message.records:
            if record.is_release:
                self._copies_by_attempt.pop(record.attempt, None)
            else:
                self._copies_by_attempt[record.attempt] = _Copy(record, self.clock.monotonic())
        while len(self._copies_by_attempt) > MAX_COPIES:
            self._copies_by_attempt.popitem(last=False)
        self._drop_old()

    def _drop_old(self) -> None:
        oldest = self.clock.monotonic() - KEEP_SECONDS
        while self._copies_by_attempt:
            attempt, copy = next(iter(self._copies_by_attempt.items()))
            if copy.received_at >= oldest:
                return
            del self._copies_by_attempt[attempt]


def owner_of(attempt: str) -> str:
    """Return the VM of the daemon that owns an attempt."""
    return attempt.rsplit("/", 2)[0]
