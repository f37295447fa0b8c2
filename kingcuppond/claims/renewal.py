"""Writes claims again after the store was restored from a copy, and then publishes the new era.

The restored store may lack claims whose attempts have run.  Such a claim is still known to the
owner of the attempt, to the coordinator that wrote it, and to the daemon that keeps a copy (see
``copies.py``).  When a daemon hears of a new era, it first writes what its copies of the logs hold
and the store lacks, then has the claims of its own attempts and the copies that it keeps written,
and only then publishes the era in its description.  No coordinator grants a new
claim in an era that a living member has not published.

From the moment that a daemon knows the new era it starts no attempt by a claim that was granted in
an earlier one, so the claims to be written again are those that it knows then.
"""

import asyncio
from typing import Final

import attrs

from kingcuppond.claims.coordinator import ClaimCoordinator
from kingcuppond.claims.log import MAX_APPENDED_RECORDS
from kingcuppond.claims.messages import AttemptQuery, AttemptState, ClaimRecord, RenewalRequest
from kingcuppond.claims.peers import REPLY_TIMEOUT_SECONDS, ClaimPeers
from kingcuppond.claims.shards import shard_of
from kingcuppond.clock import Clock
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.store.era import EraTracker

RETRY_DELAY_SECONDS: Final = 0.1


@attrs.define
class _Renewal:
    """The claims that are being written again.

    :param count: number of claims
    :param requests: those that have not succeeded yet
    :param attempts_by_key: this daemon's own attempts among them
    :param holders: claims of other attempts that hold one of the keys too
    """

    era: int
    count: int
    requests: list[RenewalRequest]
    attempts_by_key: dict[bytes, str]
    holders: list[ClaimRecord] = attrs.field(factory=list)


class ClaimRenewal:
    """Brings the claims that this daemon knows into the log of each new era.

    :param eras: the newest era of the store that this daemon knows
    """

    def __init__(
        self,
        directory: Directory,
        peers: ClaimPeers,
        coordinator: ClaimCoordinator,
        eras: EraTracker,
        clock: Clock,
        journal: Journal,
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._coordinator = coordinator
        self._eras = eras
        self._clock = clock
        self._journal = journal
        self._begun: _Renewal | None = None
        self._wake = asyncio.Event()
        eras.on_new_era.append(lambda _era: self._wake.set())

    async def run(self) -> None:
        """Renew the claims whenever a new era becomes known."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._directory.me.store_era < self._eras.era:
                if not await self.renew_all(self._eras.era):
                    await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def renew_all(self, era: int) -> bool:
        """Write all known claims to the log of an era, and publish the era.

        :return: whether all of them are in the log; another call then goes on with the others
        """
        if self._begun is None or self._begun.era != era:
            own = self._peers.attempts.granted_claims()
            known = [*own, *self._peers.copies.claims()]
            attempts_by_key = {claim.key: claim.attempt for claim in own}
            self._begun = _Renewal(era, len(known), _make_requests(known, era), attempts_by_key)
        renewal = self._begun
        if not await self._coordinator.renew_own(era):
            return False
        replies = await asyncio.gather(*(self._peers.renew(it) for it in renewal.requests))
        sent = list(zip(renewal.requests, replies, strict=True))
        renewal.holders += [
            holder for _, reply in sent if reply.is_done for holder in reply.holders
        ]
        renewal.requests = [request for request, reply in sent if not reply.is_done]
        if renewal.requests:
            return False
        self._journal.record(catalogue.CLAIMS_RENEWED, era=era, count=renewal.count)
        self._directory.publish_own_change(store_era=era)
        self._begun = None
        for holder in renewal.holders:
            attempt = renewal.attempts_by_key.get(holder.key)
            if attempt is not None:
                await self._report_second_holder(holder, attempt)
        return True

    async def _report_second_holder(self, holder: ClaimRecord, attempt: str) -> None:
        query = AttemptQuery(holder.attempt, holder.content, "")
        reply = await self._peers.query(query, self._clock.monotonic() + REPLY_TIMEOUT_SECONDS)
        if reply.state is not AttemptState.NOT_RUN:
            self._journal.record(
                catalogue.CLAIMED_TWICE,
                key=holder.key.hex(),
                attempt=attempt,
                other=holder.attempt,
                state=reply.state.value,
            )


def _make_requests(claims: list[ClaimRecord], era: int) -> list[RenewalRequest]:
    claims_by_shard: dict[int, list[ClaimRecord]] = {}
    for claim in claims:
        claims_by_shard.setdefault(shard_of(claim.key), []).append(claim)
    return [
        RenewalRequest(shard, tuple(group[start : start + MAX_APPENDED_RECORDS]), era)
        for shard, group in claims_by_shard.items()
        for start in range(0, len(group), MAX_APPENDED_RECORDS)
    ]
