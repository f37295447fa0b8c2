"""The table of organisations in the operators' configuration."""

from typing import Any

import msgspec
import pytest

from kingcuppond.configuration.objects import AllClasses
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.events.journal import Journal
from kingcuppond.organisations.organisation import Organisation, OrganisationTable
from kingcuppond.platform.configuration import PLATFORM_FORMAT
from tests.platform.test_configuration import COLUMNS, ROWS

TENANT_COLUMNS = ["Name", "ApiKeys", "Priority", "RatePerS", "Burst"]
GOOD = ["good", ["k1", "k2"], 0, 125, 12.5]


def encode(tenants: Any, is_public: bool | None = None) -> bytes:
    routes = {"Columns": [*COLUMNS, "Public"], "Rows": [[*row, is_public] for row in ROWS]}
    services = {"Columns": ["Name"], "Rows": [["b"]]}
    main = {"Version": 7, "Routes": routes, "Services": services}
    return msgspec.json.encode(main if tenants is None else main | {"Tenants": tenants})


def decode(body: bytes) -> AllClasses:
    decoded = PLATFORM_FORMAT.decode("config", "main", body).ok
    assert isinstance(decoded, AllClasses)
    return decoded


def table(rows: list[list[Any]]) -> OrganisationTable:
    found = decode(encode({"Columns": TENANT_COLUMNS, "Rows": rows})).organisations
    assert found is not None
    return found


def test_a_row_becomes_an_organisation() -> None:
    found = table([GOOD, ["small", ["k3"], None, None, None]])
    assert found.organisations == (
        Organisation("good", ("k1", "k2"), 0, 125.0, 12.5),
        Organisation("small", ("k3",)),
    )


def test_a_configuration_without_organisations_is_not_one_with_none_of_them() -> None:
    assert decode(encode(None)).organisations is None
    assert table([]) == OrganisationTable()


@pytest.mark.parametrize(("is_public", "expected"), [(True, True), (False, False), (None, False)])
def test_public_routes(is_public: bool | None, expected: bool) -> None:
    assert {it.is_public for it in decode(encode(None, is_public)).classes} == {expected}


@pytest.mark.parametrize(
    "row",
    [
        ["", ["k9"], 1, 5, 5],
        ["a\r\nb", ["k9"], 1, 5, 5],
        ["good", ["k9"], 1, 5, 5],
        ["bad", ["k9"], 1, -5, 5],
        ["bad", ["k9"], 1, 5, "many"],
        ["bad", ["k9"], 1, 5],
        ["bad", ["k9"], 1, 5, 5, 5],
        ["bad", ["k9", 5], 1, 5, 5],
        ["bad", ["k9"], "first", 5, 5],
        [5, ["k9"], 1, 5, 5],
    ],
    ids=str,
)
def test_an_odd_row_spoils_only_itself(row: list[Any], journal: Journal) -> None:
    """Guards against one bad entry that takes all keys, or the whole version, out of force."""
    body = encode({"Columns": TENANT_COLUMNS, "Rows": [GOOD, row]})
    decoded = decode(body)
    assert decoded.organisations is not None
    assert [it.name for it in decoded.organisations.organisations] == ["good"]
    assert decoded.organisations.unusable_keys == {"k9"}
    assert len(decoded.unusable) == 1
    configuration = Configuration(journal, PLATFORM_FORMAT)
    configuration.merge([VersionedObject("main", 1, body, "config")])
    assert not any("k9" in str(entry) for entry in journal.entries), "no key in the log"
