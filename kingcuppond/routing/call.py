"""A call on its way through kingcuppond, and the answer of a server on its way back.

A body is held in memory up to a bound; what is longer streams.  Only a body that is held whole can
be sent a second time.
"""

import math
from collections.abc import AsyncIterator, Awaitable, Callable
from hashlib import blake2b
from typing import Any, Final

import attrs

MAX_DEPTH: Final = 16
DEFAULT_RETRY_BUDGET: Final = 3
BODY_MEMORY_BYTES: Final = 65_536

HeaderPairs = tuple[tuple[str, str], ...]


@attrs.define
class Body:
    """The body of a call.

    :param first: the bytes held in memory
    :param rest: what streams after them, or ``None`` if ``first`` is the whole body
    :param length: value of ``Content-Length``, or ``None`` if the caller did not say
    """

    first: bytes = b""
    rest: AsyncIterator[bytes] | None = None
    length: int | None = 0
    is_taken: bool = False
    _hash: Any = attrs.field(factory=lambda: blake2b(digest_size=16))

    @property
    def is_whole(self) -> bool:
        """Whether the body can be sent again."""
        return self.rest is None

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the whole body once."""
        self.is_taken = True
        if self.first:
            yield self.first
        if self.rest is not None:
            async for chunk in self.rest:
                self._hash.update(chunk)
                yield chunk

    @property
    def is_spent(self) -> bool:
        """Whether bytes were sent on that are no longer held, so that no other server gets all."""
        return self.is_taken and not self.is_whole

    async def hold(self) -> None:
        """Read a short body into memory, so that the call begins only when it is complete."""
        if self.rest is None or self.length is None or self.length > BODY_MEMORY_BYTES:
            return
        self.first = b"".join([chunk async for chunk in self.stream()])
        self.rest = None

    async def digest(self) -> str:
        """Return the digest of all bytes after ``first``, reading what was not streamed yet."""
        if not self.is_whole and not self.is_taken:
            async for _ in self.stream():
                pass
        return str(self._hash.hexdigest())


@attrs.frozen
class Call:
    """One attempt to run a request.

    :param id: unique over the fleet and for all time: VM, incarnation and a number
    :param target: path and query as the caller wrote them
    :param headers: end-to-end headers, in order
    :param deadline: reading of this process's monotonic clock
    :param retry_budget: how many further attempts the call and its nested calls may make
    :param is_on_trial: the request is suspected of taking servers down
    :param request_id: the caller's own id of the request, empty if it gave none
    :param caller_service: service of the VM where the request began
    :param target_at: when the class's target is over; a reading of the monotonic clock
    :param priority: rank of its class; a larger number is shed first
    :param is_last_resort: no other server takes it, so one that is late is better than none
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

    @property
    def is_repeatable(self) -> bool:
        """Whether the call may be sent again after an unknown outcome."""
        return not self.at_most_once and self.body.is_whole


async def _close_nothing() -> None:
    return


@attrs.define
class Answer:
    """A server's answer; its body is in ``whole``, or comes from ``chunks``.

    :param close: ends the exchange; called exactly once, also after a failure
    :param begun_slowdown: how slow the server's machine was when the call began there
    """

    status: int
    headers: HeaderPairs
    whole: bytes | None = None
    chunks: AsyncIterator[bytes] | None = None
    close: Callable[[], Awaitable[None]] = _close_nothing
    begun_slowdown: float = 1.0


class BrokenAnswerError(Exception):
    """An answer broke off after its first bytes; what came must not pass for the whole."""
