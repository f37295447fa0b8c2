"""The keys of callers at the ingress."""

from random import Random

import pytest
from aiohttp.test_utils import make_mocked_request
from expression import Result

from kingcuppond.configuration.objects import ClassOfWork, encode
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.dialect import ServerRequest
from kingcuppond.events.journal import Journal
from kingcuppond.ingress.requests import CallerRequest, read_request
from kingcuppond.organisations.guard import make_organisation_guard
from kingcuppond.organisations.identification import KeyPolicy
from kingcuppond.organisations.organisation import Organisation, OrganisationTable
from kingcuppond.outcomes import Failure, Reason
from kingcuppond.platform.calls import PLATFORM_DIALECT
from kingcuppond.routing.split import TrafficSplitter

READ = ClassOfWork("read", "shop", "/read", 500, priority=3)
OPEN = ClassOfWork("open", "shop", "/open", 500, priority=3, is_public=True)
TABLE = OrganisationTable(
    (Organisation("urgent", ("k1",), priority=0), Organisation("plain", ("k2",)))
)


async def read(
    journal: Journal,
    path: str,
    headers: dict[str, str],
    table: OrganisationTable | None = TABLE,
    policy: KeyPolicy | None = None,
) -> Result[CallerRequest, Failure]:
    configuration = Configuration(journal)
    guard = make_organisation_guard(
        configuration, policy or KeyPolicy(), lambda: False, lambda: 0.0
    )
    configuration.organisations = table
    for item in (READ, OPEN):
        configuration.merge([VersionedObject(f"class/{item.name}", 1, encode(item))])
    configuration.is_complete = True
    return await read_request(
        make_mocked_request("GET", path, headers=headers),
        configuration,
        PLATFORM_DIALECT,
        "shop",
        TrafficSplitter(Random(1)).choose,
        100.0,
        lambda: 100.0,
        lambda: "id",
        guard,
    )


@pytest.mark.parametrize(
    ("path", "key", "organisation", "priority"),
    [("/read", "k1", "urgent", 0), ("/read", "k2", "plain", 3), ("/open", "k1", "", 3)],
)
async def test_a_request_is_served_for_the_holder_of_its_key(
    journal: Journal, path: str, key: str, organisation: str, priority: int
) -> None:
    """Guards against a key that reaches a server, and a name that the client chose itself."""
    headers = {"Api-Key": key, "X-Kingcuppond-Tenant": "forged", "Accept": "text/plain"}
    call = (await read(journal, path, headers)).ok.call
    assert (call.organisation, call.priority) == (organisation, priority)
    assert call.headers == (("Accept", "text/plain"),)


async def test_a_request_without_a_valid_key_is_refused(journal: Journal) -> None:
    for headers in ({}, {"Api-Key": "k9"}):
        refused = await read(journal, "/read", headers)
        assert refused.error.reason is Reason.UNAUTHORIZED
        assert PLATFORM_DIALECT.failure_status(refused.error) == 401


async def test_without_organisations_the_header_is_the_callers_own(journal: Journal) -> None:
    """Guards against a changed request on deployments that have no keys."""
    call = (await read(journal, "/read", {"Api-Key": "k1"}, None)).ok.call
    assert call.headers == (("Api-Key", "k1"),)
    assert call.organisation == ""


async def test_a_key_is_withheld_before_the_version_with_the_organisations_arrives(
    journal: Journal,
) -> None:
    """A server got the key of a request that came just after the version was acknowledged."""
    policy = KeyPolicy(revoke_seconds=5.0)
    call = (await read(journal, "/read", {"Api-Key": "k1"}, None, policy)).ok.call
    assert call.headers == ()
    assert call.organisation == ""


def test_the_server_is_told_the_organisation() -> None:
    header = "X-Kingcuppond-Tenant"
    request = ServerRequest(250, 1, 1, "shop", "i-1", "urgent")
    assert PLATFORM_DIALECT.server_headers(request)[header] == "urgent"
    assert header not in PLATFORM_DIALECT.server_headers(ServerRequest(250, 1, 1, "shop", "i-1"))
