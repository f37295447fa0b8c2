"""Conditional updates of configuration, with an exit code for each outcome.

Of two operators who change the same object at the same time, one gets a conflict.  When the store's
answer to a write is lost, the object is read back; the write is never repeated, since a second
write could undo a change that another operator made in between.  If the store is restored from a
copy meanwhile, what is read back tells nothing of the write: the copy may hold an older state with
the same content.
"""

import asyncio
from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.configuration.objects import CONFIGURATION_KIND
from kingcuppond.store.interface import (
    ABSENT_VERSION,
    Store,
    StoredObject,
    StoreError,
    is_same_json,
)

READ_BACK_ATTEMPTS: Final = 5
READ_BACK_INTERVAL_SECONDS: Final = 0.3
EXIT_CONFLICT: Final = 1
EXIT_UNREACHABLE: Final = 3
EXIT_UNKNOWN: Final = 4


@attrs.frozen
class ChangeError:
    """A change was not made, or its outcome is unknown.

    :param exit_code: exit code of the command
    """

    message: str
    exit_code: int


@attrs.frozen
class Changed:
    """An accepted change, which is in force from now on and does not revert.

    :param version: version of the written object; of a removal, the version that was removed, or
        ``ABSENT_VERSION`` if reading back showed that the object is gone
    :param is_new: false if the object already had the wanted content
    """

    version: int
    is_new: bool = True


async def change(
    store: Store, name: str, body: bytes | None, expected: int | None = None
) -> Result[Changed, ChangeError]:
    """Write or remove an object of configuration.

    :param body: the new content, or ``None`` to remove it
    :param expected: the version that the operator has seen, or ``None`` for the present one
    """
    read = await store.get(CONFIGURATION_KIND, name)
    if read.is_error():
        return Error(_store_failure(read.error))
    era = store.eras.era
    found = read.ok
    version = ABSENT_VERSION if found is None else found.version
    if expected is not None and expected != version:
        return Error(_version_conflict(name, version))
    if found is None and body is None:
        return Error(ChangeError(f"{name} does not exist", EXIT_CONFLICT))
    if found is not None and body is not None and is_same_json(found.body, body):
        return Ok(Changed(version, is_new=False))
    if body is None:
        written = await store.delete(CONFIGURATION_KIND, name, version)
    else:
        written = await store.put(CONFIGURATION_KIND, name, body, version)
    if written.is_ok():
        return Ok(Changed(written.ok))
    if written.error.is_outcome_unknown:
        return await _read_back(store, name, body, version, era)
    if written.error.is_conflict:
        return Error(_version_conflict(name, version))
    return Error(_store_failure(written.error))


async def _read_back(
    store: Store, name: str, body: bytes | None, version: int, era: int
) -> Result[Changed, ChangeError]:
    for _ in range(READ_BACK_ATTEMPTS):
        await asyncio.sleep(READ_BACK_INTERVAL_SECONDS)
        read = await store.get(CONFIGURATION_KIND, name)
        if read.is_error():
            continue
        if store.eras.era != era:
            return Error(_unknown_outcome(name, "the store was restored from a copy meanwhile"))
        current = ABSENT_VERSION if read.ok is None else read.ok.version
        if current == version:
            # The write may still be in flight, so the old version does not prove that it failed.
            continue
        if _has_content(read.ok, body):
            return Ok(Changed(current))
        return Error(_version_conflict(name, current))
    return Error(_unknown_outcome(name, "the platform's answer was lost"))


def _has_content(found: StoredObject | None, body: bytes | None) -> bool:
    if found is None or body is None:
        return found is None and body is None
    return is_same_json(found.body, body)


def _unknown_outcome(name: str, cause: str) -> ChangeError:
    message = f"{cause}; it is unknown whether {name} was changed; check it before you try again"
    return ChangeError(message, EXIT_UNKNOWN)


def _version_conflict(name: str, version: int) -> ChangeError:
    message = f"{name} was changed by someone else (now version {version}); nothing was written"
    return ChangeError(message, EXIT_CONFLICT)


def _store_failure(error: StoreError) -> ChangeError:
    return ChangeError(f"platform: {error.message}; nothing was written", EXIT_UNREACHABLE)
