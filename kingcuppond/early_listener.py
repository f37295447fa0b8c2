"""Listens for callers before the program is imported.

The imports take half a second, and more than a second on a VM with half a core.  After a loss of
power the callers that connect in this time would be refused, and would use up their retries.  The
kernel now keeps their connections until the daemon accepts them, or until they give up.

What goes wrong here is left to the check of the settings and to the daemon, which binds its
addresses later and reports why it can't.
"""

import json
import signal
import socket
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from kingcuppond.settings.comments import blank_comments

COMMAND: Final = "daemon"
SETTINGS_OPTION: Final = "--settings"
ADDRESS_KEY: Final = "caller_address"
LISTEN_BACKLOG: Final = 1024

SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

_sockets_by_address: dict[str, socket.socket] = {}


def listen_early(arguments: Sequence[str]) -> None:
    """Listen at the address for callers, if the arguments are those of a daemon.

    :param arguments: the command line without the program's name
    """
    if COMMAND not in arguments[:1]:
        return
    try:
        address = _read_address(Path(arguments[arguments.index(SETTINGS_OPTION) + 1]))
        _sockets_by_address[address] = _listen(address)
        # Without a handler they end the process, and the requests that have arrived are lost.
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    except (LookupError, OSError, ValueError, TypeError, AttributeError, RecursionError):
        return


def accept_signals() -> None:
    """Deliver the signals that arrived during the imports; their handlers must be installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)


def take_socket(address: str) -> socket.socket | None:
    """Return the socket that listens at an address since the start, once."""
    return _sockets_by_address.pop(address, None)


def _read_address(path: Path) -> str:
    return str(json.loads(blank_comments(path.read_text(encoding="utf-8")))[ADDRESS_KEY])


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, int(port)))
        listening.listen(LISTEN_BACKLOG)
    except BaseException:
        listening.close()
        raise
    listening.setblocking(False)
    return listening
