"""The journal: a bounded in-memory record of one daemon's latest events.

Each event becomes an ``Entry`` with a stamp of the hybrid logical clock, so that ``kingcuppond
timeline`` can put the events of all daemons into one order.  The same entry is logged as one line
of JSON (see :mod:`kingcuppond.events.log`), so that one mechanism serves both.
"""

from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

from kingcuppond.clock import Clock
from kingcuppond.events.catalogue import Event

MAX_JOURNAL_ENTRIES: Final = 4096

Value = str | int | float | bool | None


@attrs.frozen
class Entry:
    """One event as it happened.

    :param stamp: time on the hybrid logical clock
    :param vm: VM of the daemon that recorded it
    :param number: number in the catalogue
    :param text: the filled-in template
    :param call: id of the call, empty if there is none
    :param request: the caller's id of the request, empty if there is none
    :param level: as in the catalogue
    :param at_ms: this daemon's wall clock, Unix milliseconds
    :param fields: inputs of the decision that the event reports, by name
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


def _discard(entry: Entry) -> None:
    """Discard the entry; the default for a journal without a log."""


@attrs.define
class Journal:
    """The latest events of a daemon.

    :param log: called with each new entry
    """

    vm: str
    clock: Clock
    log: Callable[[Entry], None] = _discard
    entries: deque[Entry] = attrs.field(factory=lambda: deque(maxlen=MAX_JOURNAL_ENTRIES))

    def record(self, event: Event, **fields: Value) -> None:
        """Record an event and log it.

        :param event: the kind, from the catalogue
        :param fields: values of the template's placeholders, and further inputs of the decision
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
