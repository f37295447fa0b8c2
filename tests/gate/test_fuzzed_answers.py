"""Whatever bytes a server writes, only its whole answer to a request is taken for that."""

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import attrs
import pytest

from kingcuppond.outcomes import NotRun
from kingcuppond.routing.call import InvalidAnswerError
from tests.gate.test_stale_refusals import ID, ScriptedServer, gate_of, refusal, run
from tests.routing.test_exchange import reset
from tests.servers import listening

REQUESTS = 100
MAX_BODY_BYTES = 100_000
"""Longer than what is buffered, so that some answers are streamed."""

FRAMINGS = ("length", "chunked", "none")
STALE = [refusal("503 Full", ""), refusal("421 Misdirected", ""), refusal("503 Full", "earlier")]


@attrs.frozen
class Plan:
    """What the server does with one request.

    :param body: the body of its true answer
    :param pieces: what it writes
    :param end: what happens to the connection afterwards: ``close``, ``reset`` or ``stay``
    :param is_refused: whether it refuses the request in the regular way
    :param stale: refusal of an earlier request, written first if the connection had one
    """

    body: bytes
    pieces: list[bytes]
    end: str
    is_refused: bool = False
    stale: bytes = b""


def make_answer(rng: Random, request_id: str, body: bytes, framing: str) -> tuple[bytes, bytes]:
    """Return the head and the framed body of an answer."""
    fields = [f"{ID}: {request_id}", "X-Kingcuppond-Server-Seal: 3e1b"]
    framed = body
    if framing == "length":
        fields.append(f"Content-Length: {len(body)}")
    elif framing == "chunked":
        fields.append("Transfer-Encoding: chunked")
        middle = rng.randrange(len(body))
        chunks = [chunk for chunk in (body[:middle], body[middle:]) if chunk]
        framed = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
        framed += b"0\r\n\r\n"
    rng.shuffle(fields)
    return "\r\n".join(["HTTP/1.1 200 OK", *fields, "", ""]).encode(), framed


def spoil_head(rng: Random, head: bytes) -> bytes:
    """Remove, repeat or replace a byte outside of the field that frames the body.

    If that field is spoilt, another body is framed correctly, which nobody can tell.
    """
    framing = re.search(rb"\r\n(Content-Length|Transfer-Encoding)[^\r]*\r\n", head)
    excluded = range(*framing.span()) if framing else range(0)
    at = rng.choice([i for i in range(len(head) - 4) if i not in excluded])
    new = rng.choice([b"", head[at : at + 1] * 2, bytes([rng.randrange(256)])])
    return head[:at] + new + head[at + 1 :]


def make_plan(rng: Random, request_id: str) -> Plan:
    body = f"{request_id} ".encode() * rng.choice([1, 1, 20, MAX_BODY_BYTES // 5])
    framing = rng.choice(FRAMINGS)
    head, framed = make_answer(rng, request_id, body, framing)
    end = rng.choice(["close", "reset"]) if framing == "none" else "stay"
    kind = rng.choice(["whole", "refused", "cut", "spoilt", "stale", "surplus"])
    answer = head + framed
    if kind == "refused":
        return Plan(body, [refusal("503 Full", request_id)], "stay", is_refused=True)
    if kind == "cut":
        # A body without a length may end anywhere if its connection is closed.
        cut_end = rng.choice(["close", "reset"])
        is_anywhere = framing != "none" or cut_end == "reset"
        answer = answer[: rng.randrange(len(answer if is_anywhere else head))]
        return Plan(body, split(rng, answer), cut_end)
    if kind == "spoilt":
        answer = spoil_head(rng, head) + framed
    elif kind == "stale":
        stale = rng.choice([b"", b"\r\n"]) + rng.choice(STALE)
        return Plan(body, split(rng, answer), end, stale=stale)
    elif kind == "surplus" and framing != "none":
        stale = rng.choice([*STALE, rng.randbytes(20), head + framed])
        answer += stale[: rng.randint(1, len(stale))]
    return Plan(body, split(rng, answer), end)


def split(rng: Random, data: bytes) -> list[bytes]:
    middle = rng.choice([0, rng.randint(0, len(data))])
    return [piece for piece in (data[:middle], data[middle:]) if piece]


@attrs.define
class PlannedServer:
    """Carries out the plan of each request, which it finds by the request's id."""

    plans_by_id: dict[str, Plan]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        is_used = False
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                found = re.search(rf"{ID}: (\S+)".encode(), head)
                assert found is not None
                plan = self.plans_by_id[found[1].decode()]
                for piece in [plan.stale, *plan.pieces] if is_used else plan.pieces:
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0.001)
                if plan.end == "reset":
                    reset(writer)
                if plan.end != "stay":
                    return
                is_used = True
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


@asynccontextmanager
async def serving(plans_by_id: dict[str, Plan]) -> AsyncIterator[ScriptedServer]:
    async with listening(PlannedServer(plans_by_id).serve) as address:
        yield ScriptedServer([], address)


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_only_the_whole_answer_to_a_request_is_a_success(seed: int) -> None:
    rng = Random(seed)
    plans_by_id = {f"r{i}": make_plan(rng, f"r{i}") for i in range(REQUESTS)}
    answered = 0
    async with serving(plans_by_id) as server, gate_of(server) as gate:
        for request_id, plan in plans_by_id.items():
            result = await run(gate, request_id, at_most_once=rng.random() < 0.2, seconds=0.5)
            if result.is_error():
                assert plan.is_refused or not isinstance(result.error, NotRun), plan
                continue
            try:
                body = result.ok.body
                if result.ok.chunks is not None:
                    body = b"".join([chunk async for chunk in result.ok.chunks])
                assert body == plan.body, plan
                answered += 1
            except InvalidAnswerError:
                pass
            finally:
                await result.ok.close()
    assert answered > REQUESTS / 4
