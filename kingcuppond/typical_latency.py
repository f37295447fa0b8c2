"""Typical latency of the successful calls of each class, at the usual speed of the machines.

The speed of a machine may have changed since its last report, so that single latencies can be many
times too long.  The typical latency is therefore an exponential moving average that follows shorter
latencies quickly and longer ones slowly, and a sample counts as at most twice the average.
"""

from typing import Final

import attrs

DECREASE_WEIGHT: Final = 0.2
"""Weight of a sample below the average: a few of them correct a first one that was too long."""

INCREASE_WEIGHT: Final = 0.05
"""Weight of a sample above the average: it takes about twenty of them to move it."""

MAX_SAMPLE_RATIO: Final = 2.0
MIN_SAMPLE_SECONDS: Final = 0.0001
"""Lower bound of a sample, so that ratios of latencies stay finite."""

MAX_CLASSES: Final = 1000


@attrs.define
class TypicalLatencies:
    """The typical latency of each class, in seconds."""

    seconds_by_class: dict[str, float] = attrs.field(factory=dict)

    def update(self, class_name: str, seconds: float, slowdown: float) -> None:
        """Update the typical latency of a class with a successful call.

        :param seconds: latency of the call
        :param slowdown: slowdown of the machine when the call started, by which the latency is
            divided; 1 is the usual speed
        """
        sample = max(seconds / max(slowdown, 1.0), MIN_SAMPLE_SECONDS)
        previous = self.seconds_by_class.get(class_name)
        if previous is None:
            if len(self.seconds_by_class) >= MAX_CLASSES:
                self.seconds_by_class.clear()
            self.seconds_by_class[class_name] = sample
            return
        weight = DECREASE_WEIGHT if sample < previous else INCREASE_WEIGHT
        self.seconds_by_class[class_name] = previous + weight * (
            min(sample, MAX_SAMPLE_RATIO * previous) - previous
        )
