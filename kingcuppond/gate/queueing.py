"""Which of the calls that wait for a server goes next, and which one is refused.

The load patterns are more demand than capacity, kinds of calls of unequal urgency at one service,
and one organisation that sends many times its usual load.  The order is:

1. the priority of the class;
2. calls of servers before new requests: their request already holds a slot elsewhere, and its work
   is lost if they are refused;
3. calls that can still meet their target before those that can only be late;
4. the least time left until it must start to meet its target, in steps of 0.1 s;
5. the organisation of which the fewest calls have started lately.

If no waiting call has an organisation, the order after the second rule is by deadline: with the
other rules the replay showed no gain there.  A call without an organisation is not held against
others: where there are organisations, it is one of a public route, such as the calls that servers
make themselves.  When too many wait, the refused call is one of the least urgent priority, of the
organisation and then of the class with the most waiting calls there, so that a burst displaces its
own calls and not others.

A scan of the queue is enough, as it holds few calls for each slot.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Final

import attrs

RECENT_SECONDS: Final = 10.0
"""Time in which the weight of a start falls to about a third; as long as the platform's window for
retries, so that an organisation's burst counts for as long as its repeats do."""

URGENCY_STEP_SECONDS: Final = 0.1
"""Calls whose times left differ by less than this are equally urgent: about as long as a call waits
in a full queue."""

MAX_ORGANISATIONS: Final = 1024
MAX_EXPONENT: Final = 50.0
"""Weights grow with time instead of all being reduced; beyond this exponent they are scaled."""


@attrs.frozen
class Standing:
    """What a call's place in the queue depends on, beside its class and its deadline.

    :param organisation: empty if there is none
    :param is_nested: whether a server makes the call to answer another one
    :param target_at: monotonic time by which the answer is wanted
    :param run_seconds: typical time that the server takes for the answer, 0 if unknown
    """

    organisation: str = ""
    is_nested: bool = False
    target_at: float = math.inf
    run_seconds: float = 0.0


@attrs.frozen(eq=False)
class WaitingCall:
    """A call that waits.

    :param priority: smaller numbers are more urgent
    :param deadline: monotonic time by which the answer is due
    :param arrival: ordinal number of its arrival
    """

    class_name: str
    priority: int
    deadline: float
    arrival: int
    standing: Standing

    def is_late(self, now: float) -> bool:
        """Return whether the target can't be met any more."""
        return now > self.standing.target_at - self.standing.run_seconds

    @property
    def latest_start(self) -> float:
        """The monotonic time after which the deadline can't be met any more."""
        return self.deadline - self.standing.run_seconds


@attrs.define
class RecentStarts:
    """How many calls of each organisation have started lately, older ones counted less."""

    _weights: dict[str, float] = attrs.field(factory=dict)
    _epoch: float = 0.0

    def record(self, organisation: str, now: float) -> None:
        """Count a call that starts."""
        if not organisation:
            return
        exponent = (now - self._epoch) / RECENT_SECONDS
        if exponent > MAX_EXPONENT:
            scale = math.exp(-min(exponent, 700.0))
            self._weights = {name: weight * scale for name, weight in self._weights.items()}
            self._epoch, exponent = now, 0.0
        if organisation not in self._weights and len(self._weights) >= MAX_ORGANISATIONS:
            kept = sorted(self._weights, key=lambda name: self._weights[name])
            for name in kept[: MAX_ORGANISATIONS // 2]:
                del self._weights[name]
        self._weights[organisation] = self.weight(organisation) + math.exp(exponent)

    def weight(self, organisation: str) -> float:
        """Return a number that is larger the more calls of an organisation have started lately."""
        return self._weights.get(organisation, 0.0)


def next_call(waiting: Sequence[WaitingCall], starts: RecentStarts, now: float) -> WaitingCall:
    """Return the waiting call that goes next, of at least one."""
    has_organisations = any(call.standing.organisation for call in waiting)

    def key(call: WaitingCall) -> tuple[int, bool, bool, float, float, float, int]:
        if not has_organisations:
            return (
                call.priority,
                not call.standing.is_nested,
                False,
                0.0,
                0.0,
                call.deadline,
                call.arrival,
            )
        seconds_left = call.standing.target_at - call.standing.run_seconds - now
        return (
            call.priority,
            not call.standing.is_nested,
            call.is_late(now),
            seconds_left // URGENCY_STEP_SECONDS,
            starts.weight(call.standing.organisation),
            call.deadline,
            call.arrival,
        )

    return min(waiting, key=key)


def call_to_refuse(waiting: Sequence[WaitingCall], starts: RecentStarts, now: float) -> WaitingCall:
    """Return the call that is refused because too many wait, of at least one."""
    least_urgent = max((call.priority, not call.standing.is_nested) for call in waiting)
    considered = [
        call for call in waiting if (call.priority, not call.standing.is_nested) == least_urgent
    ]
    by_organisation = Counter(
        call.standing.organisation for call in considered if call.standing.organisation
    )
    by_class = Counter(call.class_name for call in considered)

    def key(call: WaitingCall) -> tuple[int, int, bool, float, float, int]:
        organisation = call.standing.organisation
        return (
            by_organisation[organisation],
            by_class[call.class_name],
            bool(by_organisation) and call.is_late(now),
            starts.weight(organisation),
            call.deadline,
            call.arrival,
        )

    return max(considered, key=key)


def hopeless_calls(waiting: Iterable[WaitingCall], now: float) -> list[WaitingCall]:
    """Return the calls that can't meet their deadline even if they start now."""
    return [call for call in waiting if now >= call.latest_start]
