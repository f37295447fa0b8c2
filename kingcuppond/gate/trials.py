"""Keeps held requests from the server, and marks suspected ones as calls on trial.

A body that is being streamed may be that of a suspected request, whose start is the same.  It is
then read into memory before the server gets any of it, so that the whole request is compared.

Load: only bodies that start like that of a suspected or held request are read ahead, at most
``MAX_READ_AHEAD_BYTES`` of them at a time; a body for which there is no room is refused.
"""

from collections.abc import Awaitable, Callable
from typing import Final

import aiohttp
import attrs
from aiohttp import web
from expression import Error, Result

from kingcuppond.outcomes import Failure, NotRun, Reason
from kingcuppond.quarantine.fingerprints import is_partial
from kingcuppond.quarantine.messages import QuarantineLevel
from kingcuppond.quarantine.suspects import SuspectTable
from kingcuppond.routing.call import Answer, Call
from kingcuppond.streams import StreamTooLongError

MAX_READ_AHEAD_BYTES: Final = 16_777_216

RunCall = Callable[[Call], Awaitable[Result[Answer, Failure]]]


@attrs.define
class Trials:
    """Decides whether a call may run, and whether on trial.

    :param free_bytes: what bodies that are read ahead may still hold
    """

    suspects: SuspectTable
    free_bytes: int = MAX_READ_AHEAD_BYTES

    async def run(
        self, call: Call, refuse: Callable[[], NotRun | None], run: RunCall
    ) -> Result[Answer, Failure]:
        """Run a call unless its request is held.

        :param refuse: returns why no call may run now; asked before a body is read ahead
        """
        level = self.suspects.level(call.fingerprint)
        if not (is_partial(call.fingerprint) and level is QuarantineLevel.SUSPECTED):
            return await self._run_unless_held(call, run)
        refusal = refuse()
        if refusal is None and (call.body.length or 0) > self.free_bytes:
            refusal = _no_room()
        if refusal is not None:
            return Error(refusal)
        held_bytes = 0

        def take_room(size: int) -> bool:
            nonlocal held_bytes
            if size > self.free_bytes:
                return False
            held_bytes += size
            self.free_bytes -= size
            return True

        try:
            failure = await read_ahead(call.body.buffer_whole(take_room))
            if failure is not None:
                return Error(failure)
            # Whoever sent the call knew only its start: the whole request may be a harmless one.
            whole = attrs.evolve(
                call, fingerprint=f"{call.fingerprint}{call.body.tail_digest}", is_on_trial=False
            )
            return await self._run_unless_held(whole, run)
        finally:
            self.free_bytes += held_bytes

    async def _run_unless_held(self, call: Call, run: RunCall) -> Result[Answer, Failure]:
        level = self.suspects.level(call.fingerprint)
        if level is QuarantineLevel.HELD:
            detail = f"request {call.fingerprint} is held because it takes servers down"
            return Error(NotRun(Reason.HARMFUL, detail))
        if level is QuarantineLevel.SUSPECTED:
            call = attrs.evolve(call, is_on_trial=True)
        return await run(call)


async def read_ahead(reading: Awaitable[None]) -> NotRun | None:
    """Read a body before the server gets any of it, and return why that failed, if it did."""
    try:
        await reading
    except TimeoutError:
        return NotRun(Reason.DEADLINE, "the request body did not arrive before the deadline")
    except StreamTooLongError:
        return _no_room()
    except (OSError, aiohttp.ClientError, web.RequestPayloadError) as exc:
        return NotRun(Reason.BAD_REQUEST, f"the request body ended early: {exc!r}")
    return None


def _no_room() -> NotRun:
    return NotRun(
        Reason.FULL, "there is no room to compare the body with those of suspected requests"
    )


def whole_fingerprint(call: Call) -> str:
    """Return the fingerprint of a call as far as its body has been read by now."""
    tail = call.body.tail_digest
    if not is_partial(call.fingerprint) or tail is None:
        return call.fingerprint
    return f"{call.fingerprint}{tail}"
