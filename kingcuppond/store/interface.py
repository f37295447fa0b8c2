"""Interface to the platform's store: versioned objects, conditional updates and watches.

A write has one of three outcomes, as a call does.  It is done; or it has failed without effect,
with ``is_conflict`` set in its ``StoreError`` if the object was at another version; or its answer
was lost, and it may have taken effect or may still do so, which ``is_outcome_unknown`` says.
Nothing is retried here: what to do after a lost answer depends on what was written.

Versions come from one counter of the whole store and from its era (see ``kingcuppond.store.era``),
so they order the changes of all objects, also after the store was restored from a copy.  They carry
the era of the answer in which they were read: an object that was in the copy has a version of the
new era too, once it is read in that era.  A write on the condition of a version of an earlier era
is a conflict.  The body of an object is JSON text; the store may change its whitespace.
"""

from collections.abc import AsyncIterator, Callable
from typing import Any, Final, Protocol, TypeVar

import attrs
import msgspec
from expression import Result

from kingcuppond.decoding import decode_json
from kingcuppond.store.era import EraTracker

ABSENT_VERSION: Final = 0

T = TypeVar("T")


@attrs.frozen
class StoreError:
    """A request to the store failed.

    :param message: description of the failure
    :param is_conflict: the object was not at the expected version
    :param is_outcome_unknown: a write may or may not have taken effect
    :param is_version_expired: the version to watch from is too old
    """

    message: str
    is_conflict: bool = False
    is_outcome_unknown: bool = False
    is_version_expired: bool = False


@attrs.frozen
class StoredObject:
    """An object as read."""

    version: int
    body: bytes


@attrs.frozen
class ListedObject:
    """An object in a listing."""

    name: str
    version: int
    body: bytes


@attrs.frozen
class Listing:
    """All objects of a kind, and the version of the store before the first of them was read."""

    items: list[ListedObject]
    version: int


@attrs.frozen
class ObjectChange:
    """A change reported by a watch; a body of ``None`` means that the object was deleted."""

    name: str
    version: int
    body: bytes | None


@attrs.frozen
class WatchResult:
    """The changes reported by a watch, and the version to watch from next."""

    changes: list[ObjectChange]
    version: int


class Store(Protocol):
    """Operations that the daemon and the commands need from a store."""

    eras: EraTracker
    """The newest era of the store that this process has heard of."""

    calls_by_operation: dict[str, int]
    """Number of requests made so far, by ``read``, ``watch`` and ``write``."""

    async def close(self) -> None:
        """Close all connections."""

    async def get(self, kind: str, name: str) -> Result[StoredObject | None, StoreError]:
        """Read an object; ``None`` if there is none."""

    async def list(self, kind: str) -> Result[Listing, StoreError]:
        """Read all objects of a kind."""

    async def put(
        self, kind: str, name: str, body: bytes, expected: int
    ) -> Result[int, StoreError]:
        """Write an object if it still has the expected version.

        :param expected: the version read before, or ``ABSENT_VERSION`` to create
        :return: the new version
        """

    async def delete(self, kind: str, name: str, expected: int) -> Result[int, StoreError]:
        """Delete an object if it still has the expected version.

        :return: a version that is at least that of the deleted object
        """

    async def watch(self, kind: str, after: int, wait_ms: int) -> Result[WatchResult, StoreError]:
        """Wait for changes of a kind.

        :param after: report changes that are newer than this version
        :param wait_ms: how long the store may hold the request if there are none, in milliseconds
        """


class StatusStore(Protocol):
    """Operations on objects that have a status beside the content that operators write."""

    async def get(self, kind: str, name: str) -> Result[StoredObject | None, StoreError]:
        """Read an object; ``None`` if there is none."""

    async def put_status(
        self, kind: str, name: str, status: bytes, expected: int
    ) -> Result[int, StoreError]:
        """Write the status of an object if the object still has the expected version.

        :return: the new version
        """


async def watch_until_error(
    store: Store, kind: str, after: int, next_wait_ms: Callable[[], int]
) -> AsyncIterator[Result[WatchResult, StoreError]]:
    """Watch repeatedly and yield each result, up to and including the first error.

    :param next_wait_ms: returns how long the store may hold the next watch, in milliseconds
    """
    while True:
        result = await store.watch(kind, after, next_wait_ms())
        yield result
        if result.is_error():
            return
        after = max(after, result.ok.version)


def is_same_json(first: bytes, second: bytes) -> bool:
    """Return whether two bodies encode the same value, regardless of whitespace."""
    if first == second:
        return True
    values = [decode_json(body, object) for body in (first, second)]
    try:
        return values[0].is_ok() and values[1].is_ok() and values[0].ok == values[1].ok
    except RecursionError:
        return False


def decode_body(body: bytes, type_: type[T]) -> Result[T, StoreError]:
    """Decode the body of an object."""
    return decode_json(body, type_).map_error(
        lambda error: StoreError(f"the body of the object cannot be decoded: {error}")
    )


def encode_body(value: Any) -> bytes:
    """Encode a value as the body of an object."""
    return msgspec.json.encode(value)
