"""Messages between daemons about requests that may take servers down."""

from enum import IntEnum

import attrs


class QuarantineLevel(IntEnum):
    """Quarantine state of a request."""

    CLEARED = 0
    SUSPECTED = 1
    HELD = 2


@attrs.frozen
class QuarantineNote:
    """The quarantine state of one request.

    :param fingerprint: identifies the request; partial if its server went away before it had the
        whole body
    :param level: current state
    :param stamp: hybrid logical clock time at which the state was set
    :param servers: VMs whose servers went away while running the request
    :param server_version: version of the last of these servers, empty if it is not known
    """

    fingerprint: str
    level: QuarantineLevel
    stamp: int
    servers: tuple[str, ...] = ()
    server_version: str = ""
