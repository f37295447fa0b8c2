"""The journal: the latest events of one daemon, kept in memory with a bound.

An event is logged through ``absl.logging`` and kept as an ``Entry`` with a stamp of the hybrid
logical clock, so that ``kingcuppond timeline`` can put the events of all daemons into one order.
Debug events (one or more for each call) stay out of the log at the default level but are kept
here.
"""

from collections import deque
from typing import Final

import attrs
from absl import logging

from kingcuppond.clock import Clock
from kingcuppond.events.catalogue import Event

JOURNAL_ENTRIES: Final = 4096
ABSL_LEVELS: Final = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


@attrs.frozen
class Entry:
    """One event as it happened.

    :param stamp: hybrid logical clock
    :param vm: the daemon that saw it
    :param number: number in the catalogue
    :param text: the filled-in template
    :param call: id of the call, or empty
    """

    stamp: int
    vm: str
    number: int
    text: str
    call: str = ""


@attrs.define
class Journal:
    """The bounded record of a daemon's events."""

    vm: str
    clock: Clock
    entries: deque[Entry] = attrs.field(factory=lambda: deque(maxlen=JOURNAL_ENTRIES))

    def record(self, event: Event, **fields: object) -> None:
        """Log an event and keep it.

        :param event: the kind, from the catalogue
        :param fields: values for the places of its template
        """
        text = event.template.format(**fields)
        call = str(fields.get("call", ""))
        self.entries.append(Entry(self.clock.stamp(), self.vm, event.number, text, call))
        level = ABSL_LEVELS[event.level]
        # The library would find the caller's frame before it drops what is below the verbosity.
        if level <= logging.get_verbosity():
            logging.log(level, "E%d %s", event.number, text)
