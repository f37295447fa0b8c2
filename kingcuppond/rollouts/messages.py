"""Messages about roll-outs between the gates of a service and the daemon that decides."""

import attrs

from kingcuppond.rollouts.order import RolloutState
from kingcuppond.rollouts.tallies import Tallies


@attrs.frozen
class RolloutReport:
    """What a gate has counted since an order; a report replaces those before it.

    :param order: id of the order
    :param version: of the server
    :param incarnation: of the daemon; its counts begin anew with each start
    :param age_ms: how long the sender has known of the order
    :param granted: calls that the gate was granted, if its server has the new version
    :param used: calls that it has admitted of these
    :param tallies: answers by class of work
    :param running: calls in progress, as if they had been answered now
    """

    service: str
    order: str
    version: str
    incarnation: int
    age_ms: int
    granted: int
    used: int
    tallies: Tallies
    running: Tallies = attrs.field(factory=dict)


@attrs.frozen
class RolloutReply:
    """The answer to a report.

    :param granted: calls that the gate may have admitted since the order
    :param age_ms: how long the fleet has known of the order
    :param state: of the roll-out, if the daemon knows one
    """

    granted: int
    age_ms: int
    state: RolloutState | None = None
