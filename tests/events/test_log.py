"""The log is bounded in rate and in memory, and never waits for its reader."""

import contextlib
import json
import os
import time
from collections.abc import Iterator

import attrs
import pytest

from kingcuppond.events.journal import Entry
from kingcuppond.events.log import BUFFER_BYTES, LineLimiter, LineStream, encode_line
from tests.conftest import FakeTime

ENTRY = Entry(
    1, "vm-1", 502, "call c not run: full", "c", "r", "info", 5, {"reason": "full", "ms": 3}
)


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_a_line_is_one_json_object() -> None:
    line = json.loads(encode_line(ENTRY))
    assert (line["event"], line["request"], line["reason"], line["ms"]) == ("E502", "r", "full", 3)
    assert line["vm"] == "vm-1"


def test_a_kind_of_event_has_a_rate(fake_time: FakeTime) -> None:
    limiter = LineLimiter(fake_time.read)
    allowed = 0
    for _ in range(100):
        fake_time.move(0.1)
        allowed += sum(limiter.allows(ENTRY) for _ in range(100))
    assert allowed <= 10 * 10 + 50, "ten seconds of ten a second, and a burst of five"
    assert limiter.dropped_by_number[502] == 10_000 - allowed


def test_successes_do_not_push_out_failures(fake_time: FakeTime) -> None:
    limiter = LineLimiter(fake_time.read)
    success = attrs.evolve(ENTRY, number=511, level="debug")
    for _ in range(10_000):
        limiter.allows(success)
    assert limiter.allows(ENTRY)


def test_a_reader_that_stops_costs_no_wait(pipe: tuple[int, int]) -> None:
    stream = LineStream(pipe[1])
    started = time.monotonic()
    for _ in range(200):
        for _ in range(100):
            stream.write("x" * 100 + "\n")
        stream.flush_lines()
    assert stream.dropped > 0
    assert stream._size <= BUFFER_BYTES
    assert time.monotonic() - started < 30, "writing must not wait for the reader"


def test_what_was_kept_is_written_once_there_is_a_reader_again(pipe: tuple[int, int]) -> None:
    stream = LineStream(pipe[1])
    for i in range(3000):
        stream.write(f"line {i:05d} {'x' * 40}\n")
    os.set_blocking(pipe[0], False)
    read = b""
    while stream._lines:
        stream.flush_lines()
        with contextlib.suppress(BlockingIOError):
            read += os.read(pipe[0], 1_000_000)
    lines = read.decode().splitlines()
    assert lines == [f"line {i:05d} {'x' * 40}" for i in range(3000)]


def test_a_reader_that_has_gone_is_no_failure(pipe: tuple[int, int]) -> None:
    reader, writer = os.pipe()
    os.close(reader)
    stream = LineStream(writer)
    stream.write("line\n")
    stream.flush_lines()
    os.close(writer)
