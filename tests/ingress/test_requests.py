"""A request's deadline counts from its arrival, also if it had to wait before it was read."""

from random import Random

from aiohttp.test_utils import make_mocked_request

from kingcuppond.configuration.objects import ClassOfWork, encode
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.dialect import DEADLINE_HEADER, NATIVE_DIALECT
from kingcuppond.events.journal import Journal
from kingcuppond.ingress.requests import read_request
from kingcuppond.routing.split import TrafficSplitter


async def test_the_deadline_counts_from_the_arrival(journal: Journal) -> None:
    configuration = Configuration(journal)
    shop = ClassOfWork("browse", "shop", "/shop", 500, timeout_ms=2000)
    configuration.merge([VersionedObject("class/browse", 1, encode(shop))])
    configuration.is_complete = True
    request = make_mocked_request("GET", "/shop/a", headers={DEADLINE_HEADER: "800"})
    parsed = await read_request(
        request,
        configuration,
        NATIVE_DIALECT,
        "shop",
        TrafficSplitter(Random(1)).choose,
        100.0,
        lambda: 100.9,
        lambda: "id",
    )
    assert parsed.ok.call.deadline == 100.8
    assert parsed.ok.call.target_at == 100.5
    assert parsed.ok.started == 100.0
