"""The protocols that a daemon's settings choose from.

A protocol combines a dialect for calls, a decoder for the server's messages and a format of the
configuration.
"""

from typing import Final, Literal

import attrs

from kingcuppond.configuration.objects import NATIVE_FORMAT, ConfigurationFormat
from kingcuppond.dialect import NATIVE_DIALECT, Dialect
from kingcuppond.gate.announcements import MessageDecoder, decode_announcement
from kingcuppond.platform.calls import PLATFORM_DIALECT
from kingcuppond.platform.configuration import PLATFORM_FORMAT
from kingcuppond.platform.heartbeats import decode_heartbeat
from kingcuppond.platform.rollouts import with_rollouts


@attrs.frozen
class Protocol:
    """The formats in which callers, the server and operators communicate with a daemon.

    :param dialect: headers and statuses of calls
    :param format: format of the configuration
    :param decode_message: decodes the server's announcements
    """

    dialect: Dialect
    format: ConfigurationFormat
    decode_message: MessageDecoder


def format_of(protocol: Protocol, has_rollouts: bool) -> ConfigurationFormat:
    """Return the format of the configuration in a deployment."""
    return with_rollouts(protocol.format) if has_rollouts else protocol.format


PROTOCOLS_BY_NAME: Final[dict[Literal["kingcuppond", "platform"], Protocol]] = {
    "kingcuppond": Protocol(NATIVE_DIALECT, NATIVE_FORMAT, decode_announcement),
    "platform": Protocol(PLATFORM_DIALECT, PLATFORM_FORMAT, decode_heartbeat),
}
