"""Parsing the log lines of daemons, and explaining from them what happened to one request.

One file may hold the lines of many processes, with a prefix before the JSON, such as the time and
the name that a log collector adds.  Lines that no daemon wrote are skipped and counted.
"""

from collections.abc import Iterable
from typing import Any, Final

import attrs
import msgspec

from kingcuppond.clock import COUNTER_BITS
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Entry

RESERVED_KEYS: Final = frozenset(
    {"at_ms", "vm", "event", "level", "request", "call", "text", "stamp"}
)

CONTEXT_BEFORE_MS: Final = 5000
"""How long before a request an event of its daemons may still have affected it."""

MAX_CONTEXT_LINES: Final = 20
"""More lines would bury the request's own events; ``kingcuppond timeline`` shows all."""

CONTEXT_EVENT_NUMBERS: Final = frozenset(
    event.number
    for event in (
        catalogue.MEMBER_DEAD,
        catalogue.MEMBER_SUSPECTED,
        catalogue.ISOLATED,
        catalogue.SERVER_SILENT,
        catalogue.SERVER_DRAINING,
        catalogue.WATCH_FAILED,
        catalogue.STORE_DOWN,
        catalogue.CONFIGURATION_CHANGED,
        catalogue.DAEMON_LEAVING,
        catalogue.DAEMON_DRAINED,
        catalogue.DAEMON_STARTED,
        catalogue.LINES_DROPPED,
    )
)
FINAL_EVENT_NUMBERS: Final = frozenset(
    event.number
    for event in (
        catalogue.CALL_NOT_RUN,
        catalogue.CALL_UNKNOWN,
        catalogue.REQUEST_ANSWERED,
        catalogue.REQUEST_REJECTED,
        catalogue.REQUEST_UNANSWERED,
    )
)


@attrs.frozen
class LogFile:
    """The entries of log files.

    :param entries: in causal order
    :param skipped_lines: number of lines that no daemon wrote
    """

    entries: list[Entry]
    skipped_lines: int


def read_lines(lines: Iterable[str]) -> LogFile:
    """Parse the log lines of any number of daemons."""
    entries = []
    skipped_lines = 0
    for line in lines:
        entry = _parse_line(line)
        if entry is None:
            skipped_lines += bool(line.strip())
        else:
            entries.append(entry)
    entries.sort(key=lambda entry: (entry.stamp, entry.vm))
    return LogFile(entries, skipped_lines)


def _parse_line(line: str) -> Entry | None:
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
            fields={name: it for name, it in value.items() if name not in RESERVED_KEYS},
        )
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError, AttributeError, RecursionError):
        return None


def explain(entries: list[Entry], wanted: str) -> list[str]:
    """Describe what happened to a request, given its id or that of one of its calls.

    :param entries: in causal order
    :param wanted: id of the request or of a call
    :return: lines of text, none if no entry has the id
    """
    requests = {entry.request for entry in entries if wanted in (entry.request, entry.call)}
    matching = [
        entry
        for entry in entries
        if wanted in (entry.request, entry.call) or (entry.request and entry.request in requests)
    ]
    if not matching:
        return []
    first_ms = matching[0].stamp >> COUNTER_BITS
    last_ms = matching[-1].stamp >> COUNTER_BITS
    vms = {entry.vm for entry in matching}
    context = [
        entry
        for entry in entries
        if entry.number in CONTEXT_EVENT_NUMBERS
        and entry.vm in vms
        and first_ms - CONTEXT_BEFORE_MS <= entry.stamp >> COUNTER_BITS <= last_ms
    ]
    lines = [f"request {wanted}: {len(matching)} events at {', '.join(sorted(vms))}"]
    lines += [_format_entry(entry, first_ms) for entry in matching]
    ends = [entry for entry in matching if entry.number in FINAL_EVENT_NUMBERS]
    lines.append(
        f"end: {ends[-1].text}" if ends else "end: not logged; its line may have been dropped"
    )
    if context:
        lines.append(
            f"other events at these daemons, from {CONTEXT_BEFORE_MS // 1000} s before the request"
            " to its end:"
        )
        lines += [_format_entry(entry, first_ms) for entry in context[-MAX_CONTEXT_LINES:]]
        omitted = len(context) - MAX_CONTEXT_LINES
        if omitted > 0:
            lines.append(f"{omitted} earlier ones are omitted; kingcuppond timeline shows all")
    return lines


def _format_entry(entry: Entry, first_ms: int) -> str:
    offset = (entry.stamp >> COUNTER_BITS) - first_ms
    inputs = ", ".join(
        f"{name} {value}"
        for name, value in entry.fields.items()
        if value is not None and f"{value}" not in entry.text
    )
    text = f"{offset:+6d} ms  {entry.vm}  E{entry.number} {entry.text}"
    return f"{text} ({inputs})" if inputs else text
