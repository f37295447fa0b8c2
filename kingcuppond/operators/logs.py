"""Reading the log lines of daemons back, and telling the story of one request from them.

Lines may come from many processes in one file, with something before the JSON, such as the time and
the name that a log collector adds.  What is no line of a daemon is left out and counted.
"""

from collections.abc import Iterable
from typing import Any, Final

import attrs
import msgspec

from kingcuppond.clock import COUNTER_BITS
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Entry

OWN_KEYS: Final = frozenset({"at_ms", "vm", "event", "level", "request", "call", "text", "stamp"})

AROUND_MS: Final = 5000
"""What a daemon lost so long before a request may have decided it."""

MOST_CONTEXT: Final = 20
"""More lines would hide the story; the time line has them all."""

CONTEXT_EVENTS: Final = frozenset(
    event.number
    for event in (
        catalogue.MEMBER_DEAD,
        catalogue.MEMBER_SUSPECTED,
        catalogue.ISOLATED,
        catalogue.SERVER_SILENT,
        catalogue.SERVER_DRAINING,
        catalogue.WATCH_LOST,
        catalogue.STORE_DOWN,
        catalogue.CONFIGURATION_CHANGED,
        catalogue.DAEMON_LEAVING,
        catalogue.DAEMON_STARTED,
        catalogue.LINES_DROPPED,
    )
)
LAST_EVENTS: Final = frozenset(
    event.number
    for event in (
        catalogue.CALL_NOT_RUN,
        catalogue.CALL_UNKNOWN,
        catalogue.REQUEST_ANSWERED,
        catalogue.REQUEST_REFUSED,
    )
)


@attrs.frozen
class LogFile:
    """What was read.

    :param entries: in causal order
    :param unread: lines that are no line of a daemon
    """

    entries: list[Entry]
    unread: int


def read_lines(lines: Iterable[str]) -> LogFile:
    """Read log lines of any number of daemons."""
    entries = []
    unread = 0
    for line in lines:
        entry = _read_line(line)
        if entry is None:
            unread += bool(line.strip())
        else:
            entries.append(entry)
    entries.sort(key=lambda entry: (entry.stamp, entry.vm))
    return LogFile(entries, unread)


def _read_line(line: str) -> Entry | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        value: Any = msgspec.json.decode(line[start:].strip())
        return Entry(
            stamp=int(value["stamp"]),
            vm=str(value["vm"]),
            number=int(str(value["event"]).removeprefix("E")),
            text=str(value["text"]),
            call=str(value.get("call", "")),
            request=str(value.get("request", "")),
            level=str(value["level"]),
            at_ms=int(value["at_ms"]),
            fields={name: it for name, it in value.items() if name not in OWN_KEYS},
        )
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError, AttributeError):
        return None


def explain(entries: list[Entry], wanted: str) -> list[str]:
    """Tell the story of a request, or of one call, in plain words.

    :param entries: in causal order
    :param wanted: the id of the request or of a call
    :return: lines of text; none if nothing is known of it
    """
    requests = {entry.request for entry in entries if wanted in (entry.request, entry.call)}
    story = [
        entry
        for entry in entries
        if wanted in (entry.request, entry.call) or (entry.request and entry.request in requests)
    ]
    if not story:
        return []
    first = story[0].stamp >> COUNTER_BITS
    last = story[-1].stamp >> COUNTER_BITS
    vms = {entry.vm for entry in story}
    context = [
        entry
        for entry in entries
        if entry.number in CONTEXT_EVENTS
        and entry.vm in vms
        and first - AROUND_MS <= entry.stamp >> COUNTER_BITS <= last
    ]
    lines = [f"request {wanted}: {len(story)} events at {', '.join(sorted(vms))}"]
    lines += [_tell(entry, first) for entry in story]
    ends = [entry for entry in story if entry.number in LAST_EVENTS]
    lines.append(f"end: {ends[-1].text}" if ends else "end: not logged; the lines may be dropped")
    if context:
        lines.append(f"at these daemons, from {AROUND_MS // 1000} s before until then:")
        lines += [_tell(entry, first) for entry in context[-MOST_CONTEXT:]]
        left_out = len(context) - MOST_CONTEXT
        if left_out > 0:
            lines.append(f"and {left_out} earlier ones; kingcuppond timeline shows all")
    return lines


def _tell(entry: Entry, first_ms: int) -> str:
    offset = (entry.stamp >> COUNTER_BITS) - first_ms
    inputs = ", ".join(
        f"{name} {value}"
        for name, value in entry.fields.items()
        if value is not None and f"{value}" not in entry.text
    )
    text = f"{offset:+6d} ms  {entry.vm}  E{entry.number} {entry.text}"
    return f"{text} ({inputs})" if inputs else text
