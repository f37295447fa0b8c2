"""What others wrote can make a message to a peer fail, but not the task that sends it."""

from collections.abc import AsyncIterator

import attrs
import pytest

from kingcuppond.clock import Clock
from kingcuppond.events.journal import Journal
from kingcuppond.peers.transport import PeerTransport
from standins.addresses import free_addresses

ADDRESSES = ["10.0.0.9:99999", "10.0.0.9:-1", "10.0.0.9", "a b:1", "::::", ""]


@attrs.frozen
class Note:
    number: int


@pytest.fixture
async def transport(clock: Clock, journal: Journal) -> AsyncIterator[PeerTransport]:
    (address,) = free_addresses(1)
    transport = PeerTransport("vm-1", address, None, {"note": Note}, clock, journal)
    await transport.start()
    yield transport
    await transport.close()


@pytest.mark.parametrize("address", ADDRESSES)
async def test_an_address_that_is_none_fails_the_message(
    transport: PeerTransport, journal: Journal, address: str
) -> None:
    """Guards against tasks that end, or connect elsewhere, for a port out of range."""
    transport.tell(address, Note(1))
    assert (await transport.ask(address, Note(1), Note, 0.5)).is_error()
    dropped = [item for item in journal.entries if item.number == 801]
    assert len(dropped) == 2


async def test_a_number_that_is_too_large_fails_the_message(transport: PeerTransport) -> None:
    transport.tell("127.0.0.1:9", Note(10**30))
    assert (await transport.ask("127.0.0.1:9", Note(10**30), Note, 0.5)).is_error()
