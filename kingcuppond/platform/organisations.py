"""The organisations in the operators' configuration, as the platform's store holds them.

``Tenants`` is a table with ``Columns`` and ``Rows``.  Each row is decoded for itself: one that
can't be used is left out, and its keys are kept apart, since a request with such a key is not known
to be wrong.
"""

from typing import Any

import msgspec

from kingcuppond.configuration.objects import UnusableEntry
from kingcuppond.organisations.organisation import Organisation, OrganisationTable
from kingcuppond.platform.tables import Table, bounded, text_of


class _Tenant(msgspec.Struct):
    name: str = msgspec.field(name="Name")
    keys: list[str] = msgspec.field(name="ApiKeys", default_factory=list)
    priority: int | None = msgspec.field(name="Priority", default=None)
    rate_per_second: float = msgspec.field(name="RatePerS", default=0.0)
    burst: float = msgspec.field(name="Burst", default=0.0)


def decode_organisations(table: Table) -> tuple[OrganisationTable, list[UnusableEntry]]:
    """Decode the table of organisations.

    :return: the usable entries, and why each of the others isn't
    """
    organisations_by_name: dict[str, Organisation] = {}
    unusable: list[UnusableEntry] = []
    unusable_keys: set[str] = set()
    for row in table.rows:
        record = table.record(row)
        try:
            if len(row) != len(table.columns):
                raise ValueError(f"has {len(row)} values for {len(table.columns)} columns")
            organisation = _organisation(msgspec.convert(record, _Tenant))
            if organisation.name in organisations_by_name:
                raise ValueError("another entry has the same name")
        except (msgspec.MsgspecError, ValueError) as exc:
            unusable.append(UnusableEntry(text_of(record.get("Name")), str(exc)))
            unusable_keys.update(_texts(record.get("ApiKeys")))
            continue
        organisations_by_name[organisation.name] = organisation
    table_of_all = OrganisationTable(
        tuple(organisations_by_name.values()), frozenset(unusable_keys)
    )
    return table_of_all, unusable


def _organisation(tenant: _Tenant) -> Organisation:
    if not tenant.name or not tenant.name.isprintable():
        raise ValueError("the name must be one or more printable characters")
    for name, value in (("RatePerS", tenant.rate_per_second), ("Burst", tenant.burst)):
        # NaN compares false with everything.
        if not 0 <= value < float("inf"):
            raise ValueError(f"{name} must be a number from 0")
    return Organisation(
        tenant.name,
        tuple(tenant.keys),
        None if tenant.priority is None else bounded(tenant.priority),
        tenant.rate_per_second,
        tenant.burst,
    )


def _texts(value: Any) -> list[str]:
    return [item for item in value if isinstance(item, str)] if isinstance(value, list) else []
