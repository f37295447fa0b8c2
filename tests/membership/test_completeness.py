"""A daemon that takes the configuration from another one as complete knows the holds too.

It may route requests from then on, and must not run a request that the others hold.
"""

import asyncio
from collections.abc import Callable

from kingcuppond.configuration.replica import VersionedObject
from kingcuppond.membership.messages import Rumours
from kingcuppond.quarantine.messages import QuarantineLevel, QuarantineNote
from tests.membership.network import Network, SimulatedDaemon, run_simulated, wait_until

HELD = "request-1"
OBJECT = VersionedObject("checkout", 1, b"{}", "class")
LIMIT_SECONDS = 5.0


def add_pair(network: Network) -> tuple[SimulatedDaemon, SimulatedDaemon]:
    """Add a daemon that has read the store, and one that has only met the first one."""
    reader, other = network.add("vm-1", "dc-1"), network.add("vm-2", "dc-1")
    reader.directory.merge(other.directory.me)
    other.directory.merge(reader.directory.me)
    reader.configuration.merge([OBJECT])
    reader.configuration.is_complete = True
    # As after a lost rumour, only the reader has the note.
    stamp = reader.suspects.clock.stamp()
    reader.suspects.merge(QuarantineNote(HELD, QuarantineLevel.HELD, stamp))
    return reader, other


def complete_with_holds(daemon: SimulatedDaemon) -> Callable[[], bool]:
    """Return a condition that holds once a daemon is complete, and fails if it lacks the hold."""

    def is_complete() -> bool:
        if daemon.configuration.is_complete:
            assert daemon.suspects.level(HELD) is QuarantineLevel.HELD
        return daemon.configuration.is_complete

    return is_complete


def test_a_pulled_configuration_comes_with_the_holds() -> None:
    """Guards against a daemon that is ready after a pull of the configuration alone."""

    async def scenario(network: Network) -> None:
        reader, other = add_pair(network)
        heads = tuple(item.head for item in reader.configuration.objects_by_key.values())
        reader.transport.tell(other.vm, Rumours(heads=heads))
        await wait_until(complete_with_holds(other), LIMIT_SECONDS)

    run_simulated(scenario)


def test_a_configuration_found_equal_by_a_ping_is_incomplete_without_the_holds() -> None:
    """Guards against a daemon that is ready since its objects alone equal those of another."""

    async def scenario(network: Network) -> None:
        _, other = add_pair(network)
        other.configuration.merge([OBJECT])
        other.tasks = [asyncio.create_task(loop()) for loop in other.gossip.loops()]
        await wait_until(complete_with_holds(other), LIMIT_SECONDS)

    run_simulated(scenario)
