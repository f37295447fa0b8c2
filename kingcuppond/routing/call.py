"""A call and the answer to it, as they pass through the daemon.

Bodies up to a limit are buffered in memory; longer ones are streamed.  Only a body that is buffered
as a whole can be sent a second time.
"""

import math
from collections.abc import AsyncIterator, Awaitable, Callable
from hashlib import blake2b
from typing import Any, Final

import attrs

from kingcuppond.outcomes import Reason
from kingcuppond.streams import StreamTooLongError

MAX_DEPTH: Final = 16
DEFAULT_RETRY_BUDGET: Final = 3
BODY_MEMORY_BYTES: Final = 65_536

HeaderPairs = tuple[tuple[str, str], ...]


@attrs.define
class Body:
    """The body of a call.

    :param buffered: the bytes that are held in memory
    :param rest: the bytes that are streamed after them, or ``None`` if there are none
    :param length: value of ``Content-Length``, or ``None`` if the caller sent none
    :param is_stream_started: whether ``stream`` was called
    :param read_bytes: number of bytes read so far
    """

    buffered: bytes = b""
    rest: AsyncIterator[bytes] | None = None
    length: int | None = 0
    is_stream_started: bool = False
    read_bytes: int = attrs.field(init=False)
    _is_rest_read: bool = attrs.field(default=False, init=False)
    _hash: Any = attrs.field(factory=lambda: blake2b(digest_size=16))

    def __attrs_post_init__(self) -> None:
        self.read_bytes = len(self.buffered)

    @property
    def is_buffered(self) -> bool:
        """Whether the whole body is in memory, so that it can be sent again."""
        return self.rest is None

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the whole body once."""
        self.is_stream_started = True
        if self.buffered:
            yield self.buffered
        async for chunk in self._read_rest():
            yield chunk

    async def _read_rest(self) -> AsyncIterator[bytes]:
        if self.rest is not None:
            async for chunk in self.rest:
                # The digest must not depend on which part of the start is in memory here.
                self._hash.update(chunk[max(0, BODY_MEMORY_BYTES - self.read_bytes) :])
                self.read_bytes += len(chunk)
                yield chunk
        self._is_rest_read = True

    @property
    def is_consumed(self) -> bool:
        """Whether streamed bytes are gone from memory, so that the body can't be sent again."""
        return self.is_stream_started and not self.is_buffered

    async def buffer(self) -> None:
        """Read a short body into memory, so that the call starts only when its body is complete."""
        if self.rest is None or self.length is None or self.length > BODY_MEMORY_BYTES:
            return
        await self.buffer_whole(lambda _size: True)

    async def buffer_whole(self, take_room: Callable[[int], bool]) -> None:
        """Read the whole body into memory.

        :param take_room: returns whether there is room for so many more bytes
        :raises StreamTooLongError: there is no room for all of it
        """
        self.is_stream_started = True
        chunks = [self.buffered]
        async for chunk in self._read_rest():
            if not take_room(len(chunk)):
                raise StreamTooLongError("there is no room for the whole body")
            chunks.append(chunk)
        self.buffered, self.rest = b"".join(chunks), None

    @property
    def tail_digest(self) -> str | None:
        """Digest of the bytes after the first ``BODY_MEMORY_BYTES``; ``None`` until the end."""
        return str(self._hash.hexdigest()) if self.is_buffered or self._is_rest_read else None

    async def digest(self) -> str:
        """Return the digest of the bytes after the first ``BODY_MEMORY_BYTES``.

        They are read first if the body is not being streamed.
        """
        if not self.is_buffered and not self.is_stream_started:
            async for _ in self.stream():
                pass
        return str(self._hash.hexdigest())


@attrs.define
class Delivery:
    """What is known about whether a call has run, for all its attempts together.

    :param attempts: ids of the attempts that may have run; one is added before anything is sent
        that a server needs to run it, and removed when it is known not to have run
    """

    attempts: set[str] = attrs.field(factory=set)

    @property
    def may_have_run(self) -> bool:
        """Whether the call may have run already, or may run yet."""
        return bool(self.attempts)


@attrs.frozen
class Call:
    """A call, or one attempt of it: a retry or hedge is a copy with a new id.

    :param id: id of the attempt, globally unique and never reused: VM, incarnation and a sequence
        number
    :param target: path and query as the caller sent them
    :param headers: end-to-end headers, in order
    :param deadline: time on this process's monotonic clock, in seconds
    :param retry_budget: how many further attempts the call and its nested calls may make
    :param is_on_trial: the request is suspected of crashing servers, so that a gate runs one such
        call at a time
    :param request_id: the caller's own id of the request, empty if it sent none
    :param caller_service: service of the VM where the request originated
    :param target_at: time on the monotonic clock, in seconds, when the class's latency target
        expires
    :param priority: priority of its class; larger numbers are shed first
    :param is_last_resort: no other server accepts it, so a late answer is better than none
    :param organisation: name of the organisation that it is served for, empty if there is none
    :param delivery: shared by all attempts of the call
    """

    id: str
    class_name: str
    service: str
    method: str
    target: str
    headers: HeaderPairs
    body: Body
    deadline: float
    depth: int
    retry_budget: int
    at_most_once: bool
    fingerprint: str
    is_on_trial: bool = False
    request_id: str = ""
    caller_service: str = ""
    target_at: float = math.inf
    priority: int = 0
    is_last_resort: bool = False
    organisation: str = ""
    delivery: Delivery = attrs.field(factory=Delivery)

    @property
    def is_repeatable(self) -> bool:
        """Whether the call may be retried after an unknown outcome."""
        return not self.at_most_once and self.body.is_buffered


async def _close_noop() -> None:
    return


@attrs.define
class Answer:
    """A server's answer; its body is buffered in ``body``, or streamed from ``chunks``.

    :param close: releases the exchange; must be called exactly once, also after a failure
    :param begun_slowdown: slowdown of the server's machine when the call started there
    """

    status: int
    headers: HeaderPairs
    body: bytes | None = None
    chunks: AsyncIterator[bytes] | None = None
    close: Callable[[], Awaitable[None]] = _close_noop
    begun_slowdown: float = 1.0


class InvalidAnswerError(Exception):
    """An answer is truncated or unusable and must not be passed on as a complete one.

    :param reason: why the outcome of the call is unknown
    """

    def __init__(self, message: str, reason: Reason = Reason.CONNECTION_LOST) -> None:
        super().__init__(message)
        self.reason = reason
