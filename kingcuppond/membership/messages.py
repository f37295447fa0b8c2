"""Messages about members between daemons, and the rumours that carry state."""

from enum import StrEnum
from typing import NamedTuple

import attrs

from kingcuppond.configuration.replica import ObjectHead, VersionedObject
from kingcuppond.membership.summaries import LoadNews
from kingcuppond.quarantine.messages import QuarantineNote


class ServerState(StrEnum):
    """State of a server as its gate reports it."""

    ABSENT = "absent"
    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"


@attrs.frozen
class Member:
    """A daemon's description of itself.  Only the daemon itself creates newer versions.

    :param incarnation: of the daemon; increases with each of its starts
    :param seq: increases with each change within an incarnation
    :param relay_address: where its gate accepts calls from other daemons
    :param is_leaving: the daemon accepts no new work and is about to stop
    :param instance: id of the running server process, empty if servers do not report one
    :param born_ms: start time of the server in Unix milliseconds, 0 if unknown
    :param server_version: version of the server's program, empty if it states none or the
        deployment has no roll-outs
    :param store_era: newest era of the store in whose log all claims of the daemon are known to be
    :param is_store_lost: it ranks first among the watchers, and the store does not answer it;
        daemons of an earlier version then watch in its place
    """

    vm: str
    data_centre: str
    service: str
    relay_address: str
    peer_address: str
    metrics_address: str
    incarnation: int
    seq: int = 0
    state: ServerState = ServerState.ABSENT
    is_leaving: bool = False
    instance: str = ""
    born_ms: int = 0
    store_era: int = 0
    server_version: str = ""
    is_store_lost: bool = False

    @property
    def version(self) -> tuple[int, int]:
        """Orders the descriptions of the same VM; the larger one is newer."""
        return self.incarnation, self.seq


@attrs.frozen
class Suspicion:
    """A report by a daemon that pinged a member and got no reply.

    It applies to one version only: the member refutes it by publishing a newer version.
    """

    vm: str
    incarnation: int
    seq: int


@attrs.frozen
class Rumours:
    """State changes that daemons forward to each other.

    Configuration objects are announced by version only; a daemon that lacks one requests it.

    :param era: the newest era of the store that the sender has heard of
    """

    members: tuple[Member, ...] = ()
    heads: tuple[ObjectHead, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    notes: tuple[QuarantineNote, ...] = ()
    era: int = 0

    def __bool__(self) -> bool:
        return bool(self.members or self.heads or self.suspicions or self.notes)


class SourceCount(NamedTuple):
    """The newest count of a watcher, and how long ago it was counted.

    A tuple, as is the report, so that names don't add to each ping.

    :param source: identifies the watcher's process, 0 if no count is known
    """

    source: int
    number: int
    age_ms: int


class CurrencyReport(NamedTuple):
    """How current the sender's configuration is.

    :param objects: a part of the digest of the sender's configuration
    :param beats: of a watcher that runs
    :param follows: of a watcher that the store serves
    :param answers: of the store to a watcher
    """

    objects: int
    beats: SourceCount
    follows: SourceCount
    answers: SourceCount


@attrs.frozen
class Ping:
    """A liveness check of a daemon.

    :param digest: of the sender's state except suspicions
    :param heard_ms: by data centre, milliseconds since the newest sign of life of one of its
        members that the sender has heard, directly or through other daemons
    :param era: the newest era of the store that the sender has heard of
    :param load: summaries of load, only where the settings ask for them
    :param currency: ``None`` if the sender knows of no watcher, or is of an earlier version
    """

    digest: int
    heard_ms: dict[str, int] = attrs.field(factory=dict)
    era: int = 0
    load: LoadNews | None = None
    currency: CurrencyReport | None = None


@attrs.frozen
class Pong:
    """The reply to a ping.

    :param heard_ms: as in the ping
    :param digests_by_part: of each part of the state, if the digests of the two ends differ
    :param is_complete: whether the replying daemon has the whole configuration
    :param era: as in the ping
    :param load: as in the ping
    :param currency: as in the ping
    """

    digest: int
    heard_ms: dict[str, int] = attrs.field(factory=dict)
    is_complete: bool = False
    digests_by_part: dict[str, int] = attrs.field(factory=dict)
    era: int = 0
    load: LoadNews | None = None
    currency: CurrencyReport | None = None


@attrs.frozen
class ServerLoad:
    """The load of the sender's gate, for the daemon that adds up its data centre and service.

    :param slots_tenths: ten times the calls that may run at once
    :param load: calls that run or wait
    :param refused: calls refused as full in the last second
    :param need_age: seconds since some daemon routed a call to the service
    """

    service: str
    slots_tenths: int
    load: int
    refused: int
    need_age: int


@attrs.frozen
class MemberHead:
    """The name and version of a member's description of itself."""

    vm: str
    incarnation: int
    seq: int


@attrs.frozen
class StateRequest:
    """Starts an anti-entropy exchange that makes parts of the state equal at both ends.

    :param me: the sender's description of itself
    :param parts: names of the parts to be compared, or ``None`` for the whole state
    :param members: heads of the members in these parts
    :param objects: heads of the configuration objects, if they are one of the parts
    :param news: suspicions and quarantine notes in these parts
    """

    me: Member
    parts: tuple[str, ...] | None = None
    members: tuple[MemberHead, ...] = ()
    objects: tuple[ObjectHead, ...] = ()
    news: Rumours = Rumours()


@attrs.frozen
class StateReply:
    """What the receiver of a :class:`StateRequest` has and its sender lacks.

    :param objects: configuration objects that the sender of the request lacks
    :param is_complete: whether the objects and the quarantine notes were compared, and the replying
        daemon has the whole configuration
    :param wanted: VMs of members of which the sender of the request has a newer description
    """

    news: Rumours
    objects: tuple[VersionedObject, ...] = ()
    is_complete: bool = False
    wanted: tuple[str, ...] = ()


@attrs.frozen
class IntroductionRequest:
    """Asks a daemon, on joining the fleet, which others to contact.

    :param me: the sender's description of itself
    """

    me: Member


@attrs.frozen
class IntroductionReply:
    """The members of the joining daemon's data centre, and the bridges of the other ones."""

    members: tuple[Member, ...]


@attrs.frozen
class ObjectsRequest:
    """Requests the configuration objects that are newer than the given heads."""

    known: tuple[ObjectHead, ...]


@attrs.frozen
class ObjectsReply:
    """The requested configuration objects."""

    objects: tuple[VersionedObject, ...]
