"""What daemons tell each other about claims, and the records of the log in the store."""

from enum import StrEnum

import attrs

from kingcuppond.routing.call import HeaderPairs


@attrs.frozen
class Record:
    """One record of a shard's log.

    :param key: digest of class and key
    :param content: digest of the request
    :param attempt: id of the attempt that claims the key
    :param at_ms: the fleet's time
    :param is_release: the attempt was not run and never will be, so the key is free again
    """

    key: bytes
    content: str
    attempt: str
    at_ms: int
    is_release: bool = False


@attrs.frozen
class ClaimAsk:
    """Asks the home of a shard to write a record."""

    shard: int
    record: Record


class Verdict(StrEnum):
    """What a home says to a record."""

    GRANTED = "granted"
    HELD = "held"
    UNAVAILABLE = "unavailable"


@attrs.frozen
class ClaimReply:
    """The answer to a record.

    :param holder: the record that holds the key, if another attempt does
    """

    verdict: Verdict
    holder: Record | None = None


class AttemptState(StrEnum):
    """What the owner of an attempt knows of it."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen
class KnownAnswer:
    """An answer that is still in the owner's memory."""

    status: int
    headers: HeaderPairs
    body: bytes


@attrs.frozen
class RecallAsk:
    """Asks the owner of an attempt what became of it.

    :param rest: digest of the part of the body that the content's digest leaves out
    """

    attempt: str
    content: str
    rest: str


@attrs.frozen
class RecallReply:
    """What became of an attempt."""

    state: AttemptState
    answer: KnownAnswer | None = None
    is_other_content: bool = False
