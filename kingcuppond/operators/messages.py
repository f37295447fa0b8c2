"""The pages that a daemon serves to operators, as JSON over HTTP."""

import attrs

from kingcuppond.events.journal import Entry
from kingcuppond.ingress.counts import ClassCounts
from kingcuppond.membership.messages import Member
from kingcuppond.quarantine.messages import QuarantineNote


@attrs.frozen
class MemberStatus:
    """A member as one daemon sees it."""

    member: Member
    condition: str


@attrs.frozen
class DaemonStatus:
    """The state of a daemon and of the fleet as that daemon sees it.

    :param configuration_version: the newest version of the store that it knows of
    :param measuring_bytes: bytes of load reports that it has sent since it started
    """

    vm: str
    data_centre: str
    service: str
    configuration_version: int
    data_centres_out: list[str]
    is_watching: bool
    is_isolated: bool
    server_state: str
    in_flight: int
    waiting: int
    limit: int
    slots: int
    attempts: int
    claim_commits: int
    control_bytes: int
    control_messages: int
    measuring_bytes: int
    resident_bytes: int
    cpu_seconds: float
    members: list[MemberStatus]
    held: list[QuarantineNote]


@attrs.frozen
class EventsPage:
    """The latest events of a daemon."""

    vm: str
    events: list[Entry]


@attrs.frozen
class CountsPage:
    """The raw counts of a daemon."""

    vm: str
    counts: list[ClassCounts]
