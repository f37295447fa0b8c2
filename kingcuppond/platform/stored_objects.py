"""Objects as the platform's store sends them, and their bodies as its client returns them."""

from typing import Final

import msgspec

from kingcuppond.rollouts.order import ROLLOUTS_KIND
from kingcuppond.store.era import make_version
from kingcuppond.store.interface import ObjectChange

KINDS_WITH_STATUS: Final = frozenset({ROLLOUTS_KIND})
"""Kinds whose bodies, as this client returns them, hold the status and the revision of creation."""


class WireMetadata(msgspec.Struct):
    """The name and the revisions of an object."""

    name: str = msgspec.field(name="Name")
    revision: int = msgspec.field(name="Rev", default=0)
    created_revision: int = msgspec.field(name="CreatedRev", default=0)


class WireObject(msgspec.Struct):
    """An object."""

    metadata: WireMetadata = msgspec.field(name="Metadata")
    spec: msgspec.Raw = msgspec.field(name="Spec", default=msgspec.Raw(b"null"))
    status: msgspec.Raw = msgspec.field(name="Status", default=msgspec.Raw(b"null"))


class WirePage(msgspec.Struct):
    """A page of a listing."""

    revision: int = msgspec.field(name="StoreRevision")
    items: list[WireObject] = msgspec.field(name="items", default_factory=list)
    has_more: bool = msgspec.field(name="HasMore", default=False)


class WireEvent(msgspec.Struct):
    """A change in the answer to a watch."""

    object_: WireObject = msgspec.field(name="Object")
    is_deleted: bool = msgspec.field(name="Deleted", default=False)


class WireEvents(msgspec.Struct):
    """The answer to a watch."""

    revision: int = msgspec.field(name="StoreRevision")
    events: list[WireEvent] = msgspec.field(name="events", default_factory=list)


def body_of(kind: str, item: WireObject) -> bytes:
    """Return the body of an object, for some kinds with its status."""
    if kind not in KINDS_WITH_STATUS:
        return bytes(item.spec)
    content = {"Created": item.metadata.created_revision, "Spec": item.spec, "Status": item.status}
    return msgspec.json.encode(content)


def to_change(kind: str, event: WireEvent, era: int) -> ObjectChange:
    """Return a change as the interface of the store has it."""
    # A deletion event carries the revision of the deletion.
    body = None if event.is_deleted else body_of(kind, event.object_)
    metadata = event.object_.metadata
    return ObjectChange(metadata.name, make_version(era, metadata.revision), body)
