"""Messages between daemons about claims, and the records of the claim log in the store.

All field names and enum values are encoded, in messages or in the store.
"""

from enum import StrEnum

import attrs

from kingcuppond.routing.call import HeaderPairs


@attrs.frozen
class ClaimRecord:
    """A record of a shard's claim log.

    :param key: digest of the class name, the idempotency key and its organisation
    :param content: digest of the request's method, its target and the part of its body that is held
        in memory
    :param attempt: id of the attempt that claims the key
    :param at_ms: the fleet's time in milliseconds
    :param is_release: the attempt has not run and never will, so its key is free again
    :param era: era of the store's log to which the record was appended
    """

    key: bytes
    content: str
    attempt: str
    at_ms: int
    is_release: bool = False
    era: int = 0


@attrs.frozen
class ClaimRequest:
    """Asks the coordinator of a shard to write a record.

    :param era: the newest era of the store that the sender knows
    """

    shard: int
    record: ClaimRecord
    era: int = 0


@attrs.frozen
class ClaimCopy:
    """Tells a further daemon of granted claims and releases; there is no reply.

    :param era: era of the store's log that holds them
    """

    records: tuple[ClaimRecord, ...]
    era: int


class Verdict(StrEnum):
    """How a coordinator replies to a record; ``GRANTED`` also confirms a written release."""

    GRANTED = "granted"
    HELD = "held"
    UNAVAILABLE = "unavailable"


@attrs.frozen
class ClaimReply:
    """The reply to a :class:`ClaimRequest`.

    :param holder: the record of another attempt that holds the key, if the verdict is ``HELD``;
        a claim that is written again is granted even so
    :param era: era of the store in which the record was found in the log, if it was granted
    """

    verdict: Verdict
    holder: ClaimRecord | None = None
    era: int = 0


@attrs.frozen
class RenewalRequest:
    """Asks the coordinator of a shard to write claims again that a restored store may have lost.

    :param records: granted claims that may have run: of the sender's attempts, and copies of others
    :param era: the era of the store in which they must be in the log
    """

    shard: int
    records: tuple[ClaimRecord, ...]
    era: int


@attrs.frozen
class RenewalReply:
    """The reply to a :class:`RenewalRequest`.

    :param is_done: whether all records are in the log of the requested era or a newer one
    :param holders: the records of other attempts that hold one of the keys too
    """

    is_done: bool
    holders: tuple[ClaimRecord, ...] = ()


class AttemptState(StrEnum):
    """The state of an attempt, as its owner knows it.

    ``UNKNOWN``: the owner does not know the attempt, or not whether it ran.
    """

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen
class CachedAnswer:
    """A complete answer that the owner of an attempt still has in memory."""

    status: int
    headers: HeaderPairs
    body: bytes


@attrs.frozen
class AttemptQuery:
    """Asks the owner of an attempt for its state and answer.

    :param content: digest of the request, as in :class:`ClaimRecord`
    :param rest: digest of the part of the body that ``content`` leaves out
    """

    attempt: str
    content: str
    rest: str


@attrs.frozen
class AttemptReply:
    """The reply to an :class:`AttemptQuery`.

    :param is_other_content: the attempt belongs to a different request with the same key
    """

    state: AttemptState
    answer: CachedAnswer | None = None
    is_other_content: bool = False
