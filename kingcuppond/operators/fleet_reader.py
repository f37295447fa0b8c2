"""Reading a page of every daemon, given only the platform's address.

One daemon is found through the store, and it names the others, so the number of reads of the store
does not grow with the fleet.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final, Generic, TypeVar

import aiohttp
import attrs
from expression import Error, Ok, Result

from kingcuppond.decoding import decode_json
from kingcuppond.membership.messages import Member
from kingcuppond.membership.registration import DAEMON_KIND
from kingcuppond.operators.messages import DaemonStatus
from kingcuppond.store.interface import Store, decode_body
from kingcuppond.streams import StreamTooLongError, read_limited

MAX_DAEMONS_TRIED: Final = 8
READ_TIMEOUT_SECONDS: Final = 2.0
MAX_CONCURRENT_READS: Final = 50

MAX_PAGE_BYTES: Final = 16_777_216
"""The status page of a daemon in a fleet of 2,000 members has less than a tenth of it."""

T = TypeVar("T")
ProgressCallback = Callable[[int, int], None]


@attrs.frozen
class ReadError:
    """The fleet could not be read."""

    message: str


@attrs.frozen
class FleetPages(Generic[T]):
    """Pages of the daemons that answered, and the VMs of those that did not."""

    pages: list[T]
    silent: list[str]


async def find_members(store: Store, rng: Random) -> Result[list[Member], ReadError]:
    """Return the members of the fleet as one of its daemons lists them."""
    listed = await store.list(DAEMON_KIND)
    if listed.is_error():
        return Error(ReadError(f"platform: {listed.error.message}"))
    items = listed.ok.items
    for item in rng.sample(items, min(MAX_DAEMONS_TRIED, len(items))):
        decoded = decode_body(item.body, Member)
        if decoded.is_error():
            continue
        member = decoded.ok
        async with aiohttp.ClientSession() as session:
            status = await _read_page(session, member, "/v1/status", DaemonStatus)
        if status is not None:
            return Ok([known.member for known in status.members])
    return Error(ReadError("none of the daemons that were contacted answered"))


async def read_fleet(
    members: list[Member], path: str, type_: type[T], progress: ProgressCallback
) -> FleetPages[T]:
    """Read one page of each daemon, up to ``MAX_CONCURRENT_READS`` at a time."""
    pages: list[T] = []
    silent: list[str] = []
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_READS)

    async def read_one(session: aiohttp.ClientSession, member: Member) -> None:
        async with semaphore:
            page = await _read_page(session, member, path, type_)
        if page is None:
            silent.append(member.vm)
        else:
            pages.append(page)
        progress(len(pages) + len(silent), len(members))

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(*(read_one(session, member) for member in members))
    return FleetPages(pages, sorted(silent))


async def _read_page(
    session: aiohttp.ClientSession, member: Member, path: str, type_: type[T]
) -> T | None:
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_SECONDS)
    url = f"http://{member.metrics_address}{path}"
    try:
        async with session.get(url, timeout=timeout) as answer:
            body = await read_limited(MAX_PAGE_BYTES, answer.content.readany)
    except (aiohttp.ClientError, StreamTooLongError, TimeoutError, OSError, ValueError):
        return None
    decoded = decode_json(body, type_)
    return decoded.ok if decoded.is_ok() else None
