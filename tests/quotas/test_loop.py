"""The task and the metrics of the quotas."""

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any

from prometheus_client import CollectorRegistry

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events.journal import Journal
from kingcuppond.membership.directory import Directory
from kingcuppond.membership.messages import Member
from kingcuppond.organisations.organisation import Organisation, OrganisationTable
from kingcuppond.quotas.bucket import QuotaBound
from kingcuppond.quotas.loop import LOOP_SECONDS, MAX_LABELS, QuotaCounts, make_quotas


async def test_there_is_a_task_only_while_organisations_have_rates(
    clock: Clock, journal: Journal
) -> None:
    """Guards against a cost for deployments without quotas."""
    configuration = Configuration(journal)
    address = "127.0.0.1:1"
    me = Member("vm-1", "dc-1", "shop", address, address, address, 1)
    transport: Any = SimpleNamespace(handlers_by_type={})
    guard, loop = make_quotas(
        QuotaBound(),
        configuration,
        Directory(me, clock, journal),
        transport,
        clock,
        journal,
        Random(1),
        CollectorRegistry(),
    )
    others = asyncio.all_tasks()
    configuration.notify_changed()
    configuration.organisations = OrganisationTable((Organisation("a"),))
    configuration.notify_changed()
    assert asyncio.all_tasks() == others
    limited = Organisation("a", (), None, 5.0, 0.0)
    configuration.organisations = OrganisationTable((limited,))
    for _ in range(2):
        configuration.notify_changed()
    assert len(asyncio.all_tasks() - others) == 1
    assert guard.admit(limited, clock.monotonic()).is_ok()
    await asyncio.sleep(2 * LOOP_SECONDS)
    assert guard.peers.coordinators_by_shard, "a daemon that is alone is its own coordinator"
    configuration.organisations = None
    configuration.notify_changed()
    await asyncio.sleep(3 * LOOP_SECONDS)
    assert asyncio.all_tasks() == others
    configuration.organisations = OrganisationTable((limited,))
    configuration.notify_changed()
    assert len(asyncio.all_tasks() - others) == 1
    loop.stop()


def test_the_names_in_the_metrics_are_bounded() -> None:
    """Guards against a metric that grows with the number of organisations."""
    registry = CollectorRegistry()
    counts = QuotaCounts(registry)
    for index in range(2 * MAX_LABELS):
        counts.count_refused(f"o{index}")
    name = "kingcuppond_quota_refused_total"
    samples = [it for metric in registry.collect() for it in metric.samples if it.name == name]
    assert len(samples) == MAX_LABELS
    assert sum(sample.value for sample in samples) == 2 * MAX_LABELS
