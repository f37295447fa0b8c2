"""The ways of speaking that a daemon's settings choose from.

A protocol joins the dialect of calls, the form of the server's announcements and the format of the
configuration.
"""

from typing import Final, Literal

import attrs

from kingcuppond.configuration.objects import OWN_FORMAT, ConfigurationFormat
from kingcuppond.dialect import OWN_DIALECT, Dialect
from kingcuppond.gate.announcements import ReadMessage, read_announcement
from kingcuppond.platform.calls import PLATFORM_DIALECT
from kingcuppond.platform.configuration import PLATFORM_FORMAT
from kingcuppond.platform.heartbeats import read_heartbeat


@attrs.frozen
class Protocol:
    """How callers, the server and operators speak to a daemon.

    :param read_message: decodes what the server says of itself
    """

    dialect: Dialect
    format: ConfigurationFormat
    read_message: ReadMessage


PROTOCOLS_BY_NAME: Final[dict[Literal["kingcuppond", "platform"], Protocol]] = {
    "kingcuppond": Protocol(OWN_DIALECT, OWN_FORMAT, read_announcement),
    "platform": Protocol(PLATFORM_DIALECT, PLATFORM_FORMAT, read_heartbeat),
}
