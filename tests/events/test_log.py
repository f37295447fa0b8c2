"""The log is limited in rate and memory, and never blocks on its reader."""

import contextlib
import json
import os
import time
from collections.abc import Iterator

import attrs
import pytest

from kingcuppond.events.journal import Entry
from kingcuppond.events.log import BUFFER_BYTES, LineRateLimiter, LineStream, encode_line
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


def test_line_is_one_json_object() -> None:
    line = json.loads(encode_line(ENTRY))
    assert (line["event"], line["request"], line["reason"], line["ms"]) == ("E502", "r", "full", 3)
    assert line["vm"] == "vm-1"


def test_rate_limit_of_one_kind_of_event(fake_time: FakeTime) -> None:
    limiter = LineRateLimiter(fake_time.read)
    allowed = 0
    for _ in range(100):
        fake_time.advance(0.1)
        allowed += sum(limiter.allows(ENTRY) for _ in range(100))
    assert allowed <= 10 * 10 + 50, "10 s at 10 lines a second, plus a burst of 50"
    assert limiter.dropped_by_number[502] == 10_000 - allowed


def test_frequent_successes_do_not_suppress_failures(fake_time: FakeTime) -> None:
    limiter = LineRateLimiter(fake_time.read)
    success = attrs.evolve(ENTRY, number=511, level="debug")
    for _ in range(10_000):
        limiter.allows(success)
    assert limiter.allows(ENTRY)


def test_writing_does_not_block_when_nobody_reads(pipe: tuple[int, int]) -> None:
    stream = LineStream(pipe[1])
    started = time.monotonic()
    for _ in range(200):
        for _ in range(100):
            stream.write("x" * 100 + "\n")
        stream.flush_lines()
    assert stream.dropped > 0
    assert stream._buffered_bytes <= BUFFER_BYTES
    assert time.monotonic() - started < 30, "writing must not wait for the reader"


def test_buffered_lines_are_written_when_the_reader_resumes(pipe: tuple[int, int]) -> None:
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


def test_closed_reader_is_not_an_error(pipe: tuple[int, int]) -> None:
    reader, writer = os.pipe()
    os.close(reader)
    stream = LineStream(writer)
    stream.write("line\n")
    stream.flush_lines()
    os.close(writer)
