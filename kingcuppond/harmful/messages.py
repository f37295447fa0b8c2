"""What daemons tell each other about requests that may take servers down."""

from enum import IntEnum

import attrs


class Level(IntEnum):
    """How far the case against a request has come."""

    CLEARED = 0
    SUSPECTED = 1
    HELD = 2


@attrs.frozen
class HarmNote:
    """The state of one request's case.

    :param fingerprint: digest of the request's content
    :param level: the newest level
    :param stamp: when it was set, by the hybrid logical clock
    :param servers: the VMs whose servers went away under it
    """

    fingerprint: str
    level: Level
    stamp: int
    servers: tuple[str, ...] = ()
