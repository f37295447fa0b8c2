"""Messages about members between daemons, and the rumours that carry state."""

from enum import StrEnum

import attrs

from kingcuppond.configuration.replica import ObjectHead, VersionedObject
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
    """State changes that daemons forward to each other, or the whole state of one daemon.

    Configuration objects are announced by version only; a daemon that lacks one requests it.
    """

    members: tuple[Member, ...] = ()
    heads: tuple[ObjectHead, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    notes: tuple[QuarantineNote, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.members or self.heads or self.suspicions or self.notes)


@attrs.frozen
class Ping:
    """A liveness check of a daemon; the digest covers the sender's state except suspicions."""

    digest: int


@attrs.frozen
class Pong:
    """The reply to a ping."""

    digest: int


@attrs.frozen
class SyncRequest:
    """The whole state of the sender; starts an anti-entropy exchange that makes both ends equal."""

    known: Rumours


@attrs.frozen
class SyncReply:
    """State that the receiver of a :class:`SyncRequest` has and its sender lacks.

    :param objects: configuration objects that the sender of the request lacks
    :param is_complete: whether the replying daemon has the whole configuration
    """

    news: Rumours
    objects: tuple[VersionedObject, ...]
    is_complete: bool


@attrs.frozen
class ObjectsRequest:
    """Requests the configuration objects that are newer than the given heads."""

    known: tuple[ObjectHead, ...]


@attrs.frozen
class ObjectsReply:
    """The requested configuration objects."""

    objects: tuple[VersionedObject, ...]
