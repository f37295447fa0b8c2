"""The log: one line of JSON for each event, on standard output.

``absl.logging`` holds the level and writes the lines.  Two limits keep logging from delaying calls:

* Each kind of event has a rate limit.  Lines beyond it are dropped, and their number is logged
  periodically.  Failures are kinds of their own, so frequent successes can't displace them.
* Lines are buffered up to a limit, and standard output is written without blocking.  If it is not
  read, the newest lines are dropped and counted.
"""

import asyncio
import logging as standard_logging
import os
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, Final

import attrs
import msgspec
from absl import logging

from kingcuppond.events.journal import Entry

STANDARD_OUTPUT: Final = 1
FLUSH_INTERVAL_SECONDS: Final = 0.2
DROP_REPORT_INTERVAL_SECONDS: Final = 5.0
BUFFER_BYTES: Final = 262_144
"""About a thousand lines: what a burst of failures writes between two flushes."""

LINES_PER_SECOND_BY_LEVEL: Final = {"debug": 5.0, "info": 10.0, "warning": 20.0, "error": 20.0}
"""For each kind of event; with ten kinds at once a daemon writes about 25 KB a second."""

BURST_SECONDS: Final = 5.0

LEVELS_BY_NAME: Final = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}

STANDARD_LEVELS_BY_NAME: Final = {
    "debug": standard_logging.DEBUG,
    "info": standard_logging.INFO,
    "warning": standard_logging.WARNING,
    "error": standard_logging.ERROR,
}


@attrs.define
class _TokenBucket:
    tokens: float
    refilled_at: float


@attrs.define
class LineRateLimiter:
    """Limits the rate of lines of each kind of event with a token bucket.

    :param now: monotonic clock
    """

    now: Callable[[], float]
    dropped_by_number: Counter[int] = attrs.field(factory=Counter)
    _buckets_by_number: dict[int, _TokenBucket] = attrs.field(factory=dict)

    def allows(self, entry: Entry) -> bool:
        """Return whether an entry may be logged, and count it if not."""
        rate = LINES_PER_SECOND_BY_LEVEL[entry.level]
        now = self.now()
        bucket = self._buckets_by_number.get(entry.number)
        if bucket is None:
            bucket = _TokenBucket(rate * BURST_SECONDS, now)
            self._buckets_by_number[entry.number] = bucket
        refill = (now - bucket.refilled_at) * rate
        bucket.tokens = min(rate * BURST_SECONDS, bucket.tokens + refill)
        bucket.refilled_at = now
        if bucket.tokens < 1.0:
            self.dropped_by_number[entry.number] += 1
            return False
        bucket.tokens -= 1.0
        return True


@attrs.define
class LineStream:
    """A buffered stream for a log handler that never blocks.

    :param descriptor: the file descriptor to write to
    :param dropped: number of lines dropped because the buffer was full
    """

    descriptor: int
    dropped: int = 0
    _lines: deque[bytes] = attrs.field(factory=deque)
    _buffered_bytes: int = 0

    def write(self, text: str) -> int:
        """Buffer text until the next :meth:`flush_lines`, or drop it if the buffer is full."""
        data = text.encode("utf-8", "surrogateescape")
        if self._buffered_bytes + len(data) > BUFFER_BYTES:
            self.dropped += 1
            return 0
        self._lines.append(data)
        self._buffered_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Do nothing: handlers flush after each line, which would take a system call for each."""

    def close(self) -> None:
        """Write what can be written; the stream does not own the descriptor, so it stays open."""
        self.flush_lines()

    def flush_lines(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._lines:
            data = b"".join(self._lines)
            self._lines.clear()
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed the pipe, so the error can't be logged either.
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._lines.append(data[written:])
                return


class LineFormatter(standard_logging.Formatter):
    """Formats an entry, or a log record of a library, as one JSON object."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line of a log record."""
        entry = getattr(record, "entry", None)
        if isinstance(entry, Entry):
            return encode_line(entry)
        line: dict[str, Any] = {"level": record.levelname.lower(), "text": record.getMessage()}
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def encode_line(entry: Entry) -> str:
    """Encode an entry as a line; :func:`kingcuppond.operators.logs.read_lines` decodes it."""
    line: dict[str, Any] = {
        "at_ms": entry.at_ms,
        "vm": entry.vm,
        "event": f"E{entry.number}",
        "level": entry.level,
    }
    for name in ("request", "call"):
        if getattr(entry, name):
            line[name] = getattr(entry, name)
    return msgspec.json.encode(
        {**line, "text": entry.text, **entry.fields, "stamp": entry.stamp}
    ).decode()


@attrs.define
class LogWriter:
    """Logs entries within a limit on rate and memory.

    :param report: called with the number of lines dropped since the last report, and their kinds
    :param lines: number of lines logged
    :param dropped: number of dropped lines reported
    """

    stream: LineStream
    limiter: LineRateLimiter
    report: Callable[[int, str], None]
    lines: int = 0
    dropped: int = 0
    _reported_stream_drops: int = 0

    def log(self, entry: Entry) -> None:
        """Log an entry if its level and the rate limit allow it."""
        level = LEVELS_BY_NAME[entry.level]
        if level > logging.get_verbosity() or not self.limiter.allows(entry):
            return
        self.lines += 1
        standard_level = STANDARD_LEVELS_BY_NAME[entry.level]
        record = standard_logging.LogRecord("absl", standard_level, "", 0, entry.text, None, None)
        record.entry = entry
        logging.get_absl_logger().handle(record)

    async def run(self) -> None:
        """Write buffered lines and report dropped ones periodically, until cancelled."""
        since_report_seconds = 0.0
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            since_report_seconds += FLUSH_INTERVAL_SECONDS
            if since_report_seconds >= DROP_REPORT_INTERVAL_SECONDS:
                since_report_seconds = 0.0
                self._report_dropped()
            self.stream.flush_lines()

    def _report_dropped(self) -> None:
        kinds = ", ".join(
            f"E{number}: {n}" for number, n in sorted(self.limiter.dropped_by_number.items())
        )
        stream_drops = self.stream.dropped - self._reported_stream_drops
        self._reported_stream_drops = self.stream.dropped
        count = self.limiter.dropped_by_number.total() + stream_drops
        self.limiter.dropped_by_number.clear()
        if count:
            self.dropped += count
            self.report(count, kinds or "output is not read")


def make_log_writer(now: Callable[[], float], report: Callable[[int, str], None]) -> LogWriter:
    """Make the writer to standard output and install it in ``absl.logging``.

    :param now: monotonic clock
    """
    stream = LineStream(STANDARD_OUTPUT)
    os.set_blocking(STANDARD_OUTPUT, False)
    handler = logging.get_absl_handler()
    handler.python_handler.stream = stream
    handler.setFormatter(LineFormatter())
    logging.use_absl_handler()
    return LogWriter(stream, LineRateLimiter(now), report)
