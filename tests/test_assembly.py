"""What a daemon is assembled from, by its settings."""

from typing import Any, cast

import attrs
import pytest

from kingcuppond.assembly import read_gate_load
from kingcuppond.daemon import Daemon
from kingcuppond.gate.gate import Gate
from kingcuppond.membership.load_reports import GateLoad
from kingcuppond.membership.messages import Ping, Pong, ServerLoad
from kingcuppond.outcomes import NotRun, Reason
from kingcuppond.routing.view import GateReport
from kingcuppond.settings.daemon import DaemonSettings
from standins.addresses import free_addresses


@pytest.mark.parametrize("is_measured", [False, True])
async def test_summaries_are_collected_only_where_the_settings_ask(is_measured: bool) -> None:
    """All other deployments send what they sent before."""
    settings = DaemonSettings(
        *("vm-1", "dc-1", "shop", *free_addresses(5)),
        leaves_data_centre="measured" if is_measured else "penalty",
    )
    daemon = Daemon(settings, b"")
    names = {loop.__name__ for loop in daemon.gossip.loops()}
    pong = await daemon.transport.handlers_by_type[Ping]("vm-1", Ping(0))
    await daemon.on_stop()
    assert (daemon.router.leaving is not None) == is_measured
    assert ("collect_load" in names) == is_measured
    assert (ServerLoad in daemon.transport.handlers_by_type) == is_measured
    assert isinstance(pong, Pong)
    assert (pong.load is not None) == is_measured


@attrs.define
class FakeGate:
    """A gate with a given report."""

    load: int
    slowdown: float = 1.0
    refused_by_reason: dict[Reason, int] = attrs.field(factory=dict)
    refused_for: NotRun | None = None

    def report(self) -> GateReport:
        return GateReport(self.load, 8, self.slowdown)

    def refusal(self) -> NotRun | None:
        return self.refused_for


def test_the_load_of_a_gate() -> None:
    def read(gate: FakeGate) -> GateLoad:
        return read_gate_load(cast(Gate, cast(Any, gate)))

    refused = {Reason.FULL: 3, Reason.SERVER_SLOW: 9, Reason.LEAVING: 9}
    assert read(FakeGate(2, refused_by_reason=refused)) == GateLoad(8, 2, 3)
    assert read(FakeGate(5, slowdown=7.0)).slots == 5, "the free slots of a slow server"
    assert read(FakeGate(0, slowdown=4.0)).slots == 2
    leaving = NotRun(Reason.LEAVING, "leaving")
    assert read(FakeGate(2, refused_for=leaving)).slots == 0
