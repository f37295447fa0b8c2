"""Orders of roll-outs as the platform's store holds them: ``rollouts/SERVICE``.

The client of the store returns content, status and the revision of creation of such an object
together.  Only the part of the daemon that handles roll-outs reads them; the configuration keeps
them, so that they spread and never go back.
"""

from typing import Final

import attrs
import msgspec
from expression import Error, Ok, Result

from kingcuppond.configuration.objects import (
    ConfigurationChange,
    ConfigurationFormat,
    KeptObject,
    ObjectError,
)
from kingcuppond.configuration.replica import VersionedObject
from kingcuppond.decoding import MessageInt, decode_json
from kingcuppond.durations import parse_duration_ms
from kingcuppond.rollouts.order import ROLLOUTS_KIND, STATES_KIND, OrderStatus, RolloutOrder

MIN_DURATION_MS: Final = 1000
MAX_DURATION_MS: Final = 86_400_000
"""Outside of these bounds an order is taken as a mistake and refused."""


class _Spec(msgspec.Struct):
    target_version: str = msgspec.field(name="TargetVersion")
    duration: str = msgspec.field(name="Duration")
    service: str = msgspec.field(name="Service", default="")


class _Status(msgspec.Struct):
    state: str = msgspec.field(name="State", default="")
    target_version: str = msgspec.field(name="TargetVersion", default="")


class _Object(msgspec.Struct):
    spec: _Spec = msgspec.field(name="Spec")
    status: _Status | None = msgspec.field(name="Status", default=None)
    created: MessageInt = msgspec.field(name="Created", default=0)


def decode_order(item: VersionedObject) -> Result[RolloutOrder, ObjectError]:
    """Decode an order; its body is that of the store's client."""
    decoded = decode_json(item.body or b"", _Object)
    if decoded.is_error():
        return Error(ObjectError(item.name, decoded.error))
    spec, status = decoded.ok.spec, decoded.ok.status or _Status()
    try:
        duration_ms = parse_duration_ms(spec.duration)
    except ValueError as exc:
        return Error(ObjectError(item.name, str(exc)))
    if not MIN_DURATION_MS <= duration_ms <= MAX_DURATION_MS or not spec.target_version:
        message = f"Duration {spec.duration} or TargetVersion {spec.target_version!r} is unusable"
        return Error(ObjectError(item.name, message))
    return Ok(
        RolloutOrder(
            name=item.name,
            service=spec.service or item.name,
            target_version=spec.target_version,
            duration_seconds=duration_ms / 1000,
            created=decoded.ok.created,
            status=_status_of(status, spec.target_version),
            version=item.version,
        )
    )


def _status_of(status: _Status, target_version: str) -> OrderStatus:
    if status.target_version != target_version or status.state not in list(OrderStatus):
        return OrderStatus.NONE
    return OrderStatus(status.state)


def encode_status(order: RolloutOrder, status: OrderStatus) -> bytes:
    """Encode the status of an order."""
    return msgspec.json.encode({"State": status.value, "TargetVersion": order.target_version})


def with_rollouts(base: ConfigurationFormat) -> ConfigurationFormat:
    """Return a format that has orders of roll-outs and their shared states too."""

    def decode(
        kind: str, name: str, body: bytes | None
    ) -> Result[ConfigurationChange, ObjectError]:
        if kind == STATES_KIND or (kind == ROLLOUTS_KIND and body is None):
            return Ok(KeptObject(name))
        if kind == ROLLOUTS_KIND:
            return decode_order(VersionedObject(name, 0, body, kind)).map(
                lambda order: KeptObject(order.name)
            )
        return base.decode(kind, name, body)

    return attrs.evolve(base, kinds=(*base.kinds, ROLLOUTS_KIND), decode=decode)
