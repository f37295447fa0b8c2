"""What daemons ask each other about claims: to write a record, and for the state of an attempt."""

import asyncio
from typing import Final

from kingcuppond.claims.attempts import AttemptTable
from kingcuppond.claims.coordinator import UNAVAILABLE, ClaimCoordinator
from kingcuppond.claims.copies import ClaimCopies, owner_of
from kingcuppond.claims.messages import (
    AttemptQuery,
    AttemptReply,
    AttemptState,
    ClaimRecord,
    ClaimReply,
    ClaimRequest,
    RenewalReply,
    RenewalRequest,
    Verdict,
)
from kingcuppond.claims.shards import coordinators_of, shard_of
from kingcuppond.clock import Clock
from kingcuppond.membership.directory import Directory
from kingcuppond.peers.transport import PeerTransport
from kingcuppond.store.era import EraTracker

MAX_COORDINATORS_ASKED: Final = 3
REPLY_TIMEOUT_SECONDS: Final = 1.0


class ClaimPeers:
    """The coordinators of all shards and the owners of all attempts, this daemon included.

    :param attempts: the attempts of this daemon
    :param copies: copies of claims that this daemon keeps for others
    :param eras: the newest era of the store that this daemon knows
    """

    def __init__(
        self,
        directory: Directory,
        transport: PeerTransport,
        coordinator: ClaimCoordinator,
        attempts: AttemptTable,
        eras: EraTracker,
        clock: Clock,
    ) -> None:
        self.attempts = attempts
        self.copies = ClaimCopies(directory, transport, eras, clock)
        self._directory = directory
        self._transport = transport
        self._coordinator = coordinator
        self._eras = eras
        self._clock = clock
        coordinator.on_granted.append(self._send_copies)
        transport.handlers_by_type[ClaimRequest] = coordinator.on_claim_request
        transport.handlers_by_type[RenewalRequest] = coordinator.on_renewal_request
        transport.handlers_by_type[AttemptQuery] = self._on_attempt_query

    async def submit(self, record: ClaimRecord, deadline: float) -> ClaimReply:
        """Have a record written by the shard's coordinator, or by the next in rank if it fails.

        Submitting a record to several coordinators is safe: the log takes a record only once.

        :param deadline: monotonic time in seconds
        """
        shard = shard_of(record.key)
        for member in coordinators_of(shard, self._directory)[:MAX_COORDINATORS_ASKED]:
            timeout = self._reply_timeout(deadline)
            if timeout <= 0:
                return UNAVAILABLE
            if member.vm == self._directory.me.vm:
                reply = await self._submit_locally(shard, record, timeout)
            else:
                request = ClaimRequest(shard, record, self._eras.era)
                result = await self._transport.ask(
                    member.peer_address, request, ClaimReply, timeout
                )
                reply = result.default_value(UNAVAILABLE)
            if reply.verdict is not Verdict.UNAVAILABLE:
                return reply
            if not record.is_release and not self._coordinator.is_confirmed:
                # The next coordinator would wait for the same members.
                return UNAVAILABLE
        return UNAVAILABLE

    async def renew(self, request: RenewalRequest) -> RenewalReply:
        """Have claims written again by the shard's coordinator, or by the next in rank."""
        for member in coordinators_of(request.shard, self._directory)[:MAX_COORDINATORS_ASKED]:
            if member.vm == self._directory.me.vm:
                reply = await self._coordinator.renew(request)
            else:
                result = await self._transport.ask(
                    member.peer_address, request, RenewalReply, REPLY_TIMEOUT_SECONDS
                )
                reply = result.default_value(RenewalReply(is_done=False))
            if reply.is_done:
                return reply
        return RenewalReply(is_done=False)

    async def query(self, query: AttemptQuery, deadline: float) -> AttemptReply:
        """Ask the owner of an attempt for its state; unknown if the owner does not answer.

        :param deadline: monotonic time in seconds
        """
        owner = self._directory.members_by_vm.get(owner_of(query.attempt))
        if owner is None:
            return AttemptReply(AttemptState.UNKNOWN)
        if owner.vm == self._directory.me.vm:
            return self.attempts.lookup(query)
        timeout = self._reply_timeout(deadline)
        reply = await self._transport.ask(owner.peer_address, query, AttemptReply, timeout)
        return reply.default_value(AttemptReply(AttemptState.UNKNOWN))

    def hand_over(self) -> None:
        """Send the claims that this daemon knows to another one, before it stops."""
        self.copies.hand_over(self.attempts.granted_claims())

    def _send_copies(self, shard: int, records: list[ClaimRecord], era: int) -> None:
        self.copies.send(records, era, coordinators_of(shard, self._directory))

    async def _on_attempt_query(self, _sender: str, query: AttemptQuery) -> AttemptReply:
        return self.attempts.lookup(query)

    async def _submit_locally(self, shard: int, record: ClaimRecord, timeout: float) -> ClaimReply:
        try:
            async with asyncio.timeout(timeout):
                return await self._coordinator.submit(shard, record)
        except TimeoutError:
            return UNAVAILABLE

    def _reply_timeout(self, deadline: float) -> float:
        # Half of the time left, so that a second coordinator can still be asked and the call can
        # still run.
        return min(REPLY_TIMEOUT_SECONDS, (deadline - self._clock.monotonic()) / 2)
