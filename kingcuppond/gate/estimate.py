"""How long a call would take at the server now.

The time of each class is learnt at the usual speed of the machine: what an answer took, divided by
how slow the machine was when the call began.  A call that would come too late here may still come
in time elsewhere, so it is told at once and not after it was late.
"""

from typing import Final

import attrs

WEIGHT: Final = 0.1
"""Of one answer in the mean: some ten answers change it."""

MAX_CLASSES: Final = 1000


@attrs.define
class WorkEstimate:
    """The usual time of each class, in seconds."""

    seconds_by_class: dict[str, float] = attrs.field(factory=dict)

    def learn(self, class_name: str, seconds: float, slowdown: float) -> None:
        """Take an answer that took so long while the machine was so slow."""
        usual = seconds / max(slowdown, 1.0)
        known = self.seconds_by_class.get(class_name)
        if known is None and len(self.seconds_by_class) >= MAX_CLASSES:
            self.seconds_by_class.clear()
        self.seconds_by_class[class_name] = (
            usual if known is None else known + WEIGHT * (usual - known)
        )
