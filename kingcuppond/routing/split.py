"""Traffic splitting: divides the requests of a class among services by weight.

Smooth weighted round robin: each request adds every service's weight to its credit; the service
with the highest credit gets the request, and the sum of all weights is subtracted from its credit.
Any sequence of requests is thus divided by weight to within one request.  The credits start at
random values, so that daemons with few requests each do not all start with the same service.
"""

from random import Random

import attrs

from kingcuppond.configuration.objects import ClassOfWork, ServiceShare


@attrs.define
class _Credits:
    split: tuple[ServiceShare, ...]
    credit_by_service: dict[str, float]


@attrs.define
class TrafficSplitter:
    """Keeps the credits of all classes with a traffic split."""

    rng: Random
    _credits_by_class: dict[str, _Credits] = attrs.field(factory=dict)

    def choose(self, class_of_work: ClassOfWork) -> str:
        """Select the service for the next request of a class."""
        split = class_of_work.split
        total = sum(part.weight for part in split)
        if total <= 0:
            return class_of_work.service
        credits = self._credits_by_class.get(class_of_work.name)
        if credits is None or credits.split != split:
            start = {part.service: self.rng.uniform(0, total) for part in split}
            credits = self._credits_by_class[class_of_work.name] = _Credits(split, start)
        for part in split:
            credits.credit_by_service[part.service] += part.weight
        eligible = [part.service for part in split if part.weight > 0]
        chosen = max(eligible, key=credits.credit_by_service.__getitem__)
        credits.credit_by_service[chosen] -= total
        return chosen
