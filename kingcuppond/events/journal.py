"""The journal: the latest events of one daemon, kept in memory with a bound.

Each event becomes an ``Entry`` with a stamp of the hybrid logical clock, so that ``kingcuppond
timeline`` can put the events of all daemons into one order.  The same entry is logged as one line
of JSON (see :mod:`kingcuppond.events.log`), so there is one mechanism for both.
"""

from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

from kingcuppond.clock import Clock
from kingcuppond.events.catalogue import Event

JOURNAL_ENTRIES: Final = 4096

Value = str | int | float | bool | None


@attrs.frozen
class Entry:
    """One event as it happened.

    :param stamp: hybrid logical clock
    :param vm: the daemon that saw it
    :param number: number in the catalogue
    :param text: the filled-in template
    :param call: id of the call, or empty
    :param request: the caller's own id of the request, or empty
    :param level: as in the catalogue
    :param at_ms: this daemon's wall clock, Unix milliseconds
    :param fields: what decided the event, by name
    """

    stamp: int
    vm: str
    number: int
    text: str
    call: str = ""
    request: str = ""
    level: str = "info"
    at_ms: int = 0
    fields: dict[str, Value] = attrs.field(factory=dict)


def _drop(entry: Entry) -> None:
    """Log nothing: a journal outside a daemon is only read."""


@attrs.define
class Journal:
    """The bounded record of a daemon's events.

    :param log: called with each entry
    """

    vm: str
    clock: Clock
    log: Callable[[Entry], None] = _drop
    entries: deque[Entry] = attrs.field(factory=lambda: deque(maxlen=JOURNAL_ENTRIES))

    def record(self, event: Event, **fields: Value) -> None:
        """Keep an event and log it.

        :param event: the kind, from the catalogue
        :param fields: values for the places of its template, and further inputs of the decision
        """
        entry = Entry(
            stamp=self.clock.stamp(),
            vm=self.vm,
            number=event.number,
            text=event.template.format(**fields),
            call=str(fields.pop("call", "")),
            request=str(fields.pop("request", "")),
            level=event.level,
            at_ms=self.clock.wall_ms(),
            fields=fields,
        )
        self.entries.append(entry)
        self.log(entry)
