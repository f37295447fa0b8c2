"""Summaries of load reach the daemons that need them, in few bytes, and expire."""

import asyncio
from random import Random
from typing import Any, cast

import attrs
import msgspec
import pytest

from kingcuppond.clock import Clock
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.load_reports import GateLoad, LoadCollector
from kingcuppond.membership.messages import Member, ServerLoad, Suspicion
from kingcuppond.membership.summaries import (
    MAX_SUMMARY_AGE_SECONDS,
    NEED_SECONDS,
    LoadNews,
    SummaryTable,
)
from kingcuppond.peers.transport import PeerTransport
from tests.conftest import FakeTime
from tests.membership.network import Network, SimulatedDaemon, run_simulated, wait_until

MAX_NEWS_BYTES = 2000
LOAD = GateLoad(8, 3, 0)


def make_table(data_centre: str = "a") -> SummaryTable:
    return SummaryTable(data_centre, Random(1))


def pass_on(sender: SummaryTable, receiver: SummaryTable, now: float) -> None:
    news = sender.make_news(now, receiver.data_centre)
    receiver.merge(news, sender.data_centre, now)


def test_only_what_a_daemon_needs_is_passed_on() -> None:
    """Hundreds of services would fill the pings of all daemons."""
    table = make_table()
    table.publish("shop", 8, 3, 0, 0.0)
    assert table.make_news(0.0, "a") == LoadNews()
    table.record_need("shop", 0.0)
    assert table.make_news(0.0, "a").summaries == {"a": {"shop": (1, 0, 8, 3, 0)}}
    assert table.make_news(NEED_SECONDS + 1, "a") == LoadNews(), "nobody has called it for long"


def test_a_need_that_goes_round_ends() -> None:
    """Two daemons that tell each other of a need must not keep it alive."""
    first, second = make_table(), make_table()
    first.record_need("shop", 0.0)
    for second_since in range(1, 60):
        pass_on(first, second, float(second_since))
        pass_on(second, first, second_since + 0.001)
    assert not first.is_needed("shop", 60.0)
    assert not second.is_needed("shop", 60.0)


def test_old_summaries_are_not_used_and_older_ones_not_taken() -> None:
    first, second = make_table("a"), make_table("b")
    first.record_need("shop", 0.0)
    first.publish("shop", 8, 3, 0, 0.0)
    earlier = first.make_news(0.5, "b")
    first.publish("shop", 8, 5, 0, 1.0)
    pass_on(first, second, 1.2)
    second.merge(earlier, "a", 1.3)
    found = second.find("a", "shop", 1.3)
    assert found is not None
    assert (found.load, found.measured_at) == (5, pytest.approx(1.0))
    third = make_table("b")
    pass_on(second, third, 2.0)
    pass_on(third, second, 2.5)
    assert second.find("a", "shop", 2.5) == found, "the same sum is no newer when it returns"
    assert second.find("a", "shop", 1.1 + MAX_SUMMARY_AGE_SECONDS) is None


def test_another_daemon_that_adds_up_continues_the_sequence() -> None:
    """Its sums were taken for older ones until it had caught up."""
    first, second, reader = make_table("a"), make_table("a"), make_table("b")
    first.record_need("shop", 0.0)
    for i in range(50):
        first.publish("shop", 8, 3, 0, i / 10)
    pass_on(first, second, 5.0)
    pass_on(first, reader, 5.0)
    second.publish("shop", 8, 4, 0, 5.1)
    pass_on(second, reader, 5.2)
    found = reader.find("a", "shop", 5.2)
    assert found is not None
    assert found.load == 4


def test_a_message_stays_small_however_many_services_are_needed() -> None:
    table = make_table()
    for data_centre in range(18):
        for service in range(310):
            news = {f"dc-{data_centre}": {f"service-{service}": (1000, 900, 80, 60, 10)}}
            table.merge(LoadNews({f"service-{service}": 0}, news), "a", 0.0)
    assert len(msgspec.msgpack.encode(table.make_news(0.1, "a"))) <= MAX_NEWS_BYTES


def test_a_lossy_link_appears_slow_and_a_cut_one_unknown() -> None:
    table = make_table()
    for second in range(20):
        table.record_round_trip("b", 0.011, float(second), is_answered=True)
        table.record_round_trip("c", 0.011, float(second), is_answered=True)
        table.record_round_trip("c", 0.5, second + 0.5, is_answered=False)
    assert table.round_trip_seconds("b", 19.5) == pytest.approx(0.011)
    assert (table.round_trip_seconds("c", 19.5) or 0.0) > 0.15
    for second in range(20, 26):
        table.record_round_trip("b", 0.5, float(second), is_answered=False)
    assert table.round_trip_seconds("b", 25.0) is None
    neighbour, stranger = make_table("a"), make_table("d")
    pass_on(table, neighbour, 20.0)
    pass_on(table, stranger, 20.0)
    assert neighbour.round_trip_seconds("c", 20.0) is not None
    assert stranger.round_trip_seconds("c", 20.0) is None, "it was measured from elsewhere"


@attrs.define
class FakeTransport:
    """A transport that keeps what was sent."""

    sent: list[tuple[str, ServerLoad]] = attrs.field(factory=list)
    handlers_by_type: dict[type, Any] = attrs.field(factory=dict)

    def tell(self, address: str, message: ServerLoad) -> None:
        self.sent.append((address, message))


def make_collectors(clock: Clock, count: int) -> dict[str, tuple[LoadCollector, FakeTransport]]:
    """Make the collectors of a service's members, all of one data centre."""
    members = [Member(f"vm-{i}", "a", "shop", "r", f"vm-{i}", "m", 1) for i in range(count)]
    collectors = {}
    for me in members:
        directory = Directory(me, clock, Journal(me.vm, clock))
        for member in members:
            directory.merge(member)
        table, transport = make_table(), FakeTransport()
        table.record_need("shop", clock.monotonic())
        collector = LoadCollector(
            directory, cast(PeerTransport, transport), table, clock, lambda: LOAD
        )
        collectors[me.vm] = (collector, transport)
    return collectors


async def step_all(collectors: dict[str, tuple[LoadCollector, FakeTransport]]) -> set[str]:
    """Let all report, and return the VMs that add up."""
    receivers = set()
    for vm, (collector, transport) in collectors.items():
        transport.sent.clear()
        collector.step()
        for address, report in transport.sent:
            receivers.add(address)
            await collectors[address][0].transport.handlers_by_type[ServerLoad](vm, report)
    for vm in receivers:
        collectors[vm][0].step()
    return receivers


async def test_one_daemon_adds_up_and_another_one_follows_it(
    clock: Clock, fake_time: FakeTime
) -> None:
    collectors = make_collectors(clock, 5)
    receivers = await step_all(collectors)
    assert len(receivers) == 1
    (first,) = receivers
    found = collectors[first][0].table.find("a", "shop", clock.monotonic())
    assert found is not None
    assert (found.slots, found.load) == (40, 15)
    del collectors[first]
    for collector, _ in collectors.values():
        collector.directory.suspect(Suspicion(first, 1, 0))
    fake_time.advance(2.0)
    (second,) = await step_all(collectors)
    found = collectors[second][0].table.find("a", "shop", clock.monotonic())
    assert found is not None
    assert found.slots == 32


async def test_the_report_of_a_lost_server_expires(clock: Clock, fake_time: FakeTime) -> None:
    """Its slots would count as spare capacity for good."""
    collectors = make_collectors(clock, 5)
    (adding,) = await step_all(collectors)
    del collectors[next(vm for vm in collectors if vm != adding)]
    fake_time.advance(2.0)
    await step_all(collectors)
    found = collectors[adding][0].table.find("a", "shop", clock.monotonic())
    assert found is not None
    assert found.slots == 32


async def test_nothing_is_reported_for_a_service_that_nobody_calls(
    clock: Clock, fake_time: FakeTime
) -> None:
    collectors = make_collectors(clock, 5)
    fake_time.advance(NEED_SECONDS + 1)
    assert await step_all(collectors) == set()


async def test_refusals_are_those_of_the_last_second(clock: Clock, fake_time: FakeTime) -> None:
    """After a pause of the reports, all refusals since its start appeared as one second's."""
    ((collector, _),) = make_collectors(clock, 1).values()
    refused = [0]
    collector.read_load = lambda: GateLoad(8, 8, refused[0])
    for _ in range(6):
        refused[0] += 10
        collector.step()
        fake_time.advance(0.5)
    found = collector.table.find("a", "shop", clock.monotonic())
    assert found is not None
    assert found.refused == 20
    refused[0] += 5000
    fake_time.advance(20.0)
    collector.step()
    found = collector.table.find("a", "shop", clock.monotonic())
    assert found is not None
    assert found.refused == 0


def test_many_servers_report_less_often(clock: Clock) -> None:
    """The messages to the daemon that adds up must not grow with the servers."""
    few, many = make_collectors(clock, 3), make_collectors(clock, 100)
    assert few["vm-0"][0].interval_seconds() == 0.5
    assert 100 / many["vm-0"][0].interval_seconds() <= 40


def carry(daemon: SimulatedDaemon) -> SummaryTable:
    gossip = daemon.gossip
    table = make_table(daemon.directory.me.data_centre)
    transport = cast(PeerTransport, daemon.transport)
    clock = gossip.hearing.clock
    gossip.carry_load(table, LoadCollector(daemon.directory, transport, table, clock, lambda: LOAD))
    return table


def test_summaries_reach_a_whole_fleet_in_few_bytes() -> None:
    """Also daemons without a contact in another data centre learn its load and the round trip."""
    data_centres = [f"dc-{i}" for i in range(3)]
    found: list[float] = []

    async def scenario(network: Network, is_carried: bool) -> None:
        tables = {}
        for i in range(30):
            daemon = network.add(f"vm-{i:04}", data_centres[i % 3])
            if is_carried:
                tables[daemon.vm] = carry(daemon)
        seeds = [f"vm-{i:04}" for i in range(3)]
        for vm, daemon in network.daemons_by_vm.items():
            daemon.start([seed for seed in seeds if seed != vm], network.rng)
        await asyncio.sleep(4.0)
        loop = asyncio.get_running_loop()
        if is_carried:
            tables["vm-0004"].record_need("shop", loop.time())

            def is_known() -> bool:
                now = loop.time()
                return all(
                    (summary := table.find(name, "shop", now)) is not None
                    and summary.slots == 80
                    and (
                        name == table.data_centre or table.round_trip_seconds(name, now) is not None
                    )
                    for table in tables.values()
                    for name in data_centres
                )

            assert await wait_until(is_known, 12.0) <= 8.0
        network.traffic.clear()
        await asyncio.sleep(10.0)
        if is_carried:
            assert is_known()
        found.append(sum(network.traffic.bytes_between.values()) / 10)
        found.append(sum(network.traffic.bytes_inside.values()) / 10 / 30)

    for is_carried in (False, True):
        run_simulated(lambda network, is_on=is_carried: scenario(network, is_on))
    between_before, inside_before, between, inside = found
    print(found)
    assert between <= 1.3 * between_before
    assert inside - inside_before <= 1500
