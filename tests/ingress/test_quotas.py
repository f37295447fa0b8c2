"""Requests over their organisation's quota at the ingress."""

import asyncio

import pytest
from aiohttp import web
from aiohttp.test_utils import make_mocked_request

from kingcuppond.clock import Clock
from kingcuppond.events.journal import Journal
from kingcuppond.ingress.port import CallPort
from kingcuppond.organisations.organisation import Organisation, OrganisationTable
from kingcuppond.platform.calls import PLATFORM_DIALECT
from kingcuppond.quotas.ledger import OrganisationCount, ShardLink
from kingcuppond.quotas.members import organisation_id, shard_of
from tests.ingress.test_port import FakeRouter, make_port

ID = organisation_id("a")
TABLE = OrganisationTable((Organisation("a", ("k1",), None, 50.0, 10.0),))


def make_limited_port(clock: Clock, journal: Journal) -> tuple[CallPort, FakeRouter]:
    port, router = make_port(clock, journal)
    port.dialect = PLATFORM_DIALECT
    port.configuration.organisations = TABLE
    port.organisations.on_configuration_change()
    port.quotas.on_configuration_change()
    port.quotas.peers.refresh(clock.monotonic())
    return port, router


def link(port: CallPort) -> ShardLink:
    return port.quotas.peers.links[shard_of(ID)]


def count(port: CallPort) -> OrganisationCount:
    return link(port).counts_by_id[ID]


async def send(port: CallPort) -> web.StreamResponse:
    headers = {"Api-Key": "k1"}
    return await port.handle_caller(make_mocked_request("GET", "/shop/a", headers=headers))


async def test_a_request_over_the_quota_is_not_routed(clock: Clock, journal: Journal) -> None:
    port, router = make_limited_port(clock, journal)
    router.may_end.set()
    assert (await send(port)).status == 200
    link(port).shares_by_id = {ID: 0.0}
    link(port).shares_until = clock.monotonic() + 1
    response = await send(port)
    assert (response.status, len(router.calls)) == (429, 1)
    assert response.headers["Kingcuppond-Outcome"] == "not-run"
    assert response.headers["Retry-After"] == "5.000"
    assert count(port).total == (1, 0, 1)


@pytest.mark.parametrize("is_sent", [True, False])
async def test_a_request_whose_caller_leaves_is_credited_if_it_was_not_sent(
    clock: Clock, journal: Journal, is_sent: bool
) -> None:
    """Guards against a quota that is used up by requests that never ran."""
    port, router = make_limited_port(clock, journal)
    router.is_sending = is_sent
    call = asyncio.create_task(send(port))
    await asyncio.sleep(0)
    call.cancel()
    with pytest.raises(asyncio.CancelledError):
        await call
    assert count(port).total == (1, 0 if is_sent else 1, 0)


async def test_a_request_that_is_refused_for_another_reason_is_not_counted(
    clock: Clock, journal: Journal
) -> None:
    port, _ = make_limited_port(clock, journal)
    await port.requests.close()
    assert (await send(port)).status == 503
    assert ID not in link(port).counts_by_id
