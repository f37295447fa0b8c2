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

    :param fingerprint: digest of the request's content
    :param level: current state
    :param stamp: hybrid logical clock time at which the state was set
    :param servers: VMs whose servers went away while running the request
    """

    fingerprint: str
    level: QuarantineLevel
    stamp: int
    servers: tuple[str, ...] = ()
