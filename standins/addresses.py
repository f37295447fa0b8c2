"""Draws loopback addresses for processes that tests and benchmarks start.

Each drawing process has a loopback host of its own, derived from its id.  Test runs side by side
therefore never draw the same address, neither for two listeners nor while a listener restarts.
"""

import os
import socket
from collections.abc import Iterator
from itertools import cycle
from typing import Final

FIRST_PORT: Final = 10_000
PORT_COUNT: Final = 20_000
"""All ports are below the range that the system uses for outgoing connections."""

HOSTS_PER_BLOCK: Final = 254
BLOCKS_PER_NETWORK: Final = 256


def host_of(process_id: int) -> str:
    """Return the loopback host of a process; no two ids below 2^22 have the same."""
    block, host = divmod(process_id, HOSTS_PER_BLOCK)
    network, block = divmod(block, BLOCKS_PER_NETWORK)
    return f"127.{network + 1}.{block}.{host + 1}"


def free_addresses(count: int) -> list[str]:
    """Return addresses on which nothing listens, as host and port.

    A process draws no address twice before it has drawn all others.
    """
    host = host_of(os.getpid())
    addresses: list[str] = []
    while len(addresses) < count:
        port = next(_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        addresses.append(f"{host}:{port}")
    return addresses


_PORTS: Final[Iterator[int]] = cycle(range(FIRST_PORT, FIRST_PORT + PORT_COUNT))
