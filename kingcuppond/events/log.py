"""The log: one line of JSON for each event, on standard output.

``absl.logging`` decides on levels and takes the lines.  Two bounds keep the log from harming calls:

* Each kind of event has a rate.  Of what goes beyond, only the number is logged, now and then.
  Failures are kinds of their own, so successes never push them out.
* Lines wait in a bounded buffer, and standard output is written without blocking.  If nobody reads
  it, the newest lines are dropped and counted.
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
FLUSH_SECONDS: Final = 0.1
REPORT_SECONDS: Final = 5.0
BUFFER_BYTES: Final = 262_144
"""Some thousand lines: what a burst of failures writes until the next flush."""

LINES_PER_SECOND_BY_LEVEL: Final = {"debug": 5.0, "info": 10.0, "warning": 20.0, "error": 20.0}
"""For each kind of event; with ten kinds at once a daemon writes some 25 KB a second."""

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
class _Allowance:
    tokens: float
    filled_at: float


@attrs.define
class LineLimiter:
    """Lets a bounded number of lines of each kind of event through.

    :param now: monotonic clock
    """

    now: Callable[[], float]
    dropped_by_number: Counter[int] = attrs.field(factory=Counter)
    _allowances_by_number: dict[int, _Allowance] = attrs.field(factory=dict)

    def allows(self, entry: Entry) -> bool:
        """Tell whether an entry may be logged; if not, it is counted."""
        rate = LINES_PER_SECOND_BY_LEVEL[entry.level]
        now = self.now()
        allowance = self._allowances_by_number.get(entry.number)
        if allowance is None:
            allowance = _Allowance(rate * BURST_SECONDS, now)
            self._allowances_by_number[entry.number] = allowance
        refill = (now - allowance.filled_at) * rate
        allowance.tokens = min(rate * BURST_SECONDS, allowance.tokens + refill)
        allowance.filled_at = now
        if allowance.tokens < 1.0:
            self.dropped_by_number[entry.number] += 1
            return False
        allowance.tokens -= 1.0
        return True


@attrs.define
class LineStream:
    """A stream for a log handler that never blocks.

    :param descriptor: the file descriptor to write to
    :param dropped: lines that found no room in the buffer
    """

    descriptor: int
    dropped: int = 0
    _lines: deque[bytes] = attrs.field(factory=deque)
    _size: int = 0

    def write(self, text: str) -> int:
        """Keep text until the next flush of lines, if there is room."""
        data = text.encode("utf-8", "surrogateescape")
        if self._size + len(data) > BUFFER_BYTES:
            self.dropped += 1
            return 0
        self._lines.append(data)
        self._size += len(data)
        return len(text)

    def flush(self) -> None:
        """Do nothing: handlers flush after each line, which would cost a system call each."""

    def close(self) -> None:
        """Write what can be written; the descriptor is not ours to close."""
        self.flush_lines()

    def flush_lines(self) -> None:
        """Write what can be written without waiting."""
        while self._lines:
            data = b"".join(self._lines)
            self._lines.clear()
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has gone; there is nowhere left to say so.
                self._size = 0
                return
            self._size -= written
            if written < len(data):
                self._lines.append(data[written:])
                return


class LineFormatter(standard_logging.Formatter):
    """Formats an entry, or a line of a library, as one JSON object."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line."""
        entry = getattr(record, "entry", None)
        if isinstance(entry, Entry):
            return encode_line(entry)
        line: dict[str, Any] = {"level": record.levelname.lower(), "text": record.getMessage()}
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def encode_line(entry: Entry) -> str:
    """Return the line of an entry; see :func:`kingcuppond.operators.logs.read_lines`."""
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
    """Logs entries, bounded in rate and in memory.

    :param report: called with the number of lines dropped since the last time, and their kinds
    """

    stream: LineStream
    limiter: LineLimiter
    report: Callable[[int, str], None]
    lines: int = 0
    dropped: int = 0
    _counted: int = 0

    def log(self, entry: Entry) -> None:
        """Log an entry if its level and its rate allow it."""
        level = LEVELS_BY_NAME[entry.level]
        if level > logging.get_verbosity() or not self.limiter.allows(entry):
            return
        self.lines += 1
        number = STANDARD_LEVELS_BY_NAME[entry.level]
        record = standard_logging.LogRecord("absl", number, "", 0, entry.text, None, None)
        record.entry = entry
        logging.get_absl_logger().handle(record)

    async def run(self) -> None:
        """Write what waits, and tell now and then how much was dropped, for ever."""
        passed = 0.0
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            passed += FLUSH_SECONDS
            if passed >= REPORT_SECONDS:
                passed = 0.0
                self._report_dropped()
            self.stream.flush_lines()

    def _report_dropped(self) -> None:
        kinds = ", ".join(f"E{it}: {n}" for it, n in sorted(self.limiter.dropped_by_number.items()))
        unread = self.stream.dropped - self._counted
        self._counted = self.stream.dropped
        count = self.limiter.dropped_by_number.total() + unread
        self.limiter.dropped_by_number.clear()
        if count:
            self.dropped += count
            self.report(count, kinds or "no reader")


def make_log_writer(now: Callable[[], float], report: Callable[[int, str], None]) -> LogWriter:
    """Make the writer to standard output, and have ``absl.logging`` use it.

    :param now: monotonic clock
    """
    stream = LineStream(STANDARD_OUTPUT)
    os.set_blocking(STANDARD_OUTPUT, False)
    handler = logging.get_absl_handler()
    handler.python_handler.stream = stream
    handler.setFormatter(LineFormatter())
    logging.use_absl_handler()
    return LogWriter(stream, LineLimiter(now), report)
