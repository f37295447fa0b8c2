"""Sends the counts of a gate to the daemon that decides, while a roll-out is running."""

import asyncio
from typing import Final

import attrs

from kingcuppond.membership.directory import Directory
from kingcuppond.peers.transport import PeerTransport
from kingcuppond.rollouts.decider import RolloutDecider
from kingcuppond.rollouts.gate_share import GateShare
from kingcuppond.rollouts.messages import RolloutReply, RolloutReport

MIN_INTERVAL_SECONDS: Final = 0.25

SECONDS_PER_GATE: Final = 0.005
"""The deciding daemon gets at most 200 reports a second, however many gates the service has."""

INTERVALS_PER_ROLLBACK: Final = 10
"""Reports within the time that a roll-back may take."""

REPLY_TIMEOUT_SECONDS: Final = 0.5
IDLE_POLL_SECONDS: Final = 0.2


@attrs.define
class RolloutReporter:
    """Reports for one gate.

    :param rollback_seconds: time within which no more calls may go to a bad version
    :param reports: number of reports that were sent
    """

    share: GateShare
    decider: RolloutDecider
    directory: Directory
    transport: PeerTransport
    rollback_seconds: float
    reports: int = 0

    async def run(self) -> None:
        """Report while there is a roll-out of the gate's service; never returns."""
        while True:
            report = self.share.make_report()
            if report is None:
                await asyncio.sleep(IDLE_POLL_SECONDS)
                continue
            reply = await self._send(report)
            if reply is not None:
                self.share.apply_reply(report, reply)
            await asyncio.sleep(self._interval_seconds())

    async def _send(self, report: RolloutReport) -> RolloutReply | None:
        self.reports += 1
        me = self.directory.me
        vm = self.decider.decider_of(report.service)
        if vm == me.vm:
            return await self.decider.on_report(vm, report)
        member = self.directory.members_by_vm[vm]
        reply = await self.transport.ask(
            member.peer_address, report, RolloutReply, REPLY_TIMEOUT_SECONDS
        )
        return reply.ok if reply.is_ok() else None

    def _interval_seconds(self) -> float:
        gates = len(self.directory.members_by_service.get(self.directory.me.service, {}))
        interval = max(MIN_INTERVAL_SECONDS, SECONDS_PER_GATE * gates)
        return min(interval, max(0.05, self.rollback_seconds / INTERVALS_PER_ROLLBACK))
