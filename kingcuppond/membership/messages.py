"""What daemons tell each other about members, and the rumours that carry all soft state."""

from enum import StrEnum

import attrs

from kingcuppond.configuration.replica import ObjectHead, VersionedObject
from kingcuppond.harmful.messages import HarmNote


class ServerState(StrEnum):
    """What the gate says of its server."""

    ABSENT = "absent"
    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"


@attrs.frozen
class Member:
    """What a daemon says of itself.  Only the daemon itself makes a newer version.

    :param incarnation: larger after each start of the VM's daemon
    :param seq: larger after each change within an incarnation
    :param relay_address: where its gate takes calls from other daemons
    :param is_leaving: the daemon takes no new work and is about to stop
    :param instance: id of the server's present incarnation, empty if servers have none
    :param born_ms: Unix milliseconds of the server's start, 0 if unknown
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
        """Orders what was said of the same VM."""
        return self.incarnation, self.seq


@attrs.frozen
class Suspicion:
    """A contact of a member says that it does not answer.

    It concerns one version only: the member ends it by telling a newer one.
    """

    vm: str
    incarnation: int
    seq: int


@attrs.frozen
class Rumours:
    """News that is passed on from daemon to daemon.

    Of objects of configuration only the versions are told; who lacks one asks for it.
    """

    members: tuple[Member, ...] = ()
    heads: tuple[ObjectHead, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    notes: tuple[HarmNote, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.members or self.heads or self.suspicions or self.notes)


@attrs.frozen
class Ping:
    """Asks whether a daemon lives; the digest sums up all soft state of the sender."""

    digest: int


@attrs.frozen
class Pong:
    """The answer to a ping."""

    digest: int


@attrs.frozen
class SyncAsk:
    """Everything that the sender knows, so that both ends know the same afterwards."""

    known: Rumours


@attrs.frozen
class SyncReply:
    """What the asked daemon knows and the sender did not.

    :param objects: objects of configuration that the sender lacked
    :param is_complete: whether the asked daemon has the whole configuration
    """

    news: Rumours
    objects: tuple[VersionedObject, ...]
    is_complete: bool


@attrs.frozen
class ObjectsAsk:
    """Asks for objects of configuration that are newer than the heads."""

    known: tuple[ObjectHead, ...]


@attrs.frozen
class ObjectsReply:
    """The objects that were asked for."""

    objects: tuple[VersionedObject, ...]
