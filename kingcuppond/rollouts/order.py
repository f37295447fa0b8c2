"""Orders of roll-outs, and the state of a roll-out that daemons share.

Operators write an order into the store; its status there says how far the roll-out is.  Finer
steps, and a roll-back before the store has it, are in a :class:`RolloutState`, which spreads among
the daemons as an object of the configuration does.  Its release orders the states of one service,
so that a daemon never returns to an earlier one.
"""

from enum import IntEnum, StrEnum
from typing import Final

import attrs
import msgspec

from kingcuppond.configuration.replica import VersionedObject
from kingcuppond.decoding import decode_json

ROLLOUTS_KIND: Final = "rollouts"

STATES_KIND: Final = "rollout-states"
"""Kind of the objects that are shared by the daemons only; the store has none of them."""

STEPS: Final = 1000
"""Resolution of a share in the release of a state."""

PHASE_BITS: Final = 4
STEP_BITS: Final = 11


class OrderStatus(StrEnum):
    """Values of the status that the store has for an order."""

    NONE = ""
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Phase(IntEnum):
    """Phases of a roll-out; a later one has the larger number."""

    WAITING = 0
    """The new version gets nothing before ``running`` is in the store."""

    CANARY = 1
    """The new version gets a small share, which every gate of it enforces."""

    RAMP = 2
    """The new version has shown nothing bad, and its share grows."""

    FINISHING = 3
    """The new version carries everything, and ``completed`` may be in the store already."""

    COMPLETED = 4
    """``completed`` is in the store: the old servers stop."""

    ROLLED_BACK = 5
    """The new version is bad and gets nothing any more."""


@attrs.frozen
class RolloutOrder:
    """An order as the store has it.

    :param name: of the object
    :param created: revision at which the object was created, 0 if unknown
    :param status: of this order; that of an earlier order of another version counts as none
    :param version: the store's version of the object
    """

    name: str
    service: str
    target_version: str
    duration_seconds: float
    created: int = 0
    status: OrderStatus = OrderStatus.NONE
    version: int = 0

    @property
    def id(self) -> str:
        """Tells this order from others of the service, whatever its status is."""
        return f"{self.created}/{self.duration_seconds:g}/{self.target_version}"


@attrs.frozen
class RolloutState:
    """How far a roll-out is, as the daemons know it.

    :param order: id of the order
    :param began_ms: the fleet's time at which the state began; orders the roll-outs of a service
    :param share: of the service's requests that may go to the new version
    :param is_wide: whether all new servers carry the canary's share, and not a few in turn
    """

    order: str
    began_ms: int
    phase: Phase
    share: float = 0.0
    is_wide: bool = False

    @property
    def release(self) -> int:
        """Orders the states of a service; the larger one is newer."""
        step = min(STEPS, round(self.share * STEPS))
        step = step << 1 | self.is_wide
        return (self.began_ms << PHASE_BITS | self.phase) << STEP_BITS | step

    @property
    def progress(self) -> tuple[Phase, float, bool]:
        """Orders the states of one order."""
        return self.phase, self.share, self.is_wide


def encode_state(service: str, state: RolloutState, version: int) -> VersionedObject:
    """Return a state as an object that the configuration takes and gossip spreads.

    :param version: the store's version of the order
    """
    body = msgspec.json.encode(state)
    return VersionedObject(service, version, body, STATES_KIND, state.release)


def decode_state(item: VersionedObject) -> RolloutState | None:
    """Return the state in an object, or ``None`` if there is none."""
    if item.body is None:
        return None
    decoded = decode_json(item.body, RolloutState)
    return decoded.ok if decoded.is_ok() else None
