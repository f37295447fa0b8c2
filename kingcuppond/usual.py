"""How long a good answer of each class usually takes, at the usual speed of the machines.

A machine's speed may have changed since it was last heard, so single answers can be many times too
long.  The usual time therefore follows shorter answers quickly and longer ones slowly, and no
answer counts for more than twice of it.
"""

from typing import Final

import attrs

DOWN_WEIGHT: Final = 0.2
"""Of a shorter answer: a few of them correct a first one that was too long."""

UP_WEIGHT: Final = 0.05
"""Of a longer answer: some twenty of them change it."""

MOST_RATIO: Final = 2.0
LEAST_SECONDS: Final = 0.0001
"""No answer counts as faster, so that ratios of times stay finite."""

MAX_CLASSES: Final = 1000


@attrs.define
class UsualTimes:
    """The usual time of each class, in seconds."""

    seconds_by_class: dict[str, float] = attrs.field(factory=dict)

    def learn(self, class_name: str, seconds: float, slowdown: float) -> None:
        """Take a good answer.

        :param slowdown: how slow the machine was when the call began, as a multiple of the usual
        """
        sample = max(seconds / max(slowdown, 1.0), LEAST_SECONDS)
        known = self.seconds_by_class.get(class_name)
        if known is None:
            if len(self.seconds_by_class) >= MAX_CLASSES:
                self.seconds_by_class.clear()
            self.seconds_by_class[class_name] = sample
            return
        weight = DOWN_WEIGHT if sample < known else UP_WEIGHT
        self.seconds_by_class[class_name] = known + weight * (
            min(sample, MOST_RATIO * known) - known
        )
