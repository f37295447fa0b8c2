"""Whether a new version is bad, judged against the old version beside it.

The load patterns are a version of which a part of the answers fails or is several times slower, at
once, some seconds after its start, under load only or on one class of work only; beside it, machine
noise that makes a quarter of all work seven times slower for half a second.

Each class, and all classes together, is compared on failures and on slow answers: those that take
more than four times the median of the old version.  Noise makes the answers of both versions slow
in the same proportion, so the question is whether the new version's proportion can be chance.  The
Chernoff bound answers it without an assumption on the size of the sample: n samples with a
proportion q, of which p was expected, have a probability of at most exp(-n KL(q, p)).
"""

import math
from collections.abc import Mapping, Sequence
from typing import Final

import attrs

from kingcuppond.rollouts.tallies import Tallies, Tally, count_of, median_bin, slower_than

BAD_EVIDENCE: Final = 7.0
"""A chance of 1 in 1,000 at most for each look, beside the floors below.  In 240 simulated
roll-outs of good versions, whose servers reported their machines' speed, no look exceeded 1.1."""

UNEXPLAINED_WEIGHT: Final = 0.5
"""Weight of latencies whose noise nobody has reported: with 0.7, one of 240 good versions exceeded
the limit."""

SUSPICIOUS_EVIDENCE: Final = 3.0
"""Above this, ``completed`` waits for more samples."""

DOUBTFUL_EVIDENCE: Final = 2.0
"""Above this, the share does not grow."""

FAILURE_FLOOR: Final = 0.02
"""Failures that a good version may have beyond those of the old one: a few servers that start."""

SLOW_FLOOR: Final = 0.04
"""Slow answers that it may have beyond those of the old one: the machines of the new servers may be
busier by chance."""

MIN_FAILURES: Final = 4
MIN_SLOW: Final = 4
MIN_OLD_SAMPLES: Final = 20
"""Fewer answers of the old version give no median to compare with."""

SLOW_BINS: Final = 4
"""Four times the median, in bins: below the seven times of noise and the eight times of a fault."""

QUIET_SHARE: Final = 0.05
"""With fewer slow answers of the old version, the reports of the machines' speed explain noise."""

QUIET_BLOCK: Final = 1.3

MEASURED_BLOCKS: Final = 1.5
"""Half seconds of noise that count as one, where the reports of the machines' speed explain it."""

ALL_CLASSES: Final = ""


@attrs.frozen
class Evidence:
    """The strongest sign that a version is bad.

    :param strength: natural logarithm of how unlikely it is for a good version
    :param class_name: the class that shows it, empty for all together
    :param what: ``failures`` or ``latency``
    """

    strength: float = 0.0
    class_name: str = ALL_CLASSES
    what: str = ""
    count: int = 0
    bad: int = 0

    @property
    def is_bad(self) -> bool:
        """Whether the version is judged bad."""
        return self.strength >= BAD_EVIDENCE

    @property
    def is_doubtful(self) -> bool:
        """Whether the share of the version should not grow now."""
        return self.strength >= DOUBTFUL_EVIDENCE

    @property
    def is_suspicious(self) -> bool:
        """Whether the version may be bad."""
        return self.strength >= SUSPICIOUS_EVIDENCE


NO_EVIDENCE: Final = Evidence()


@attrs.frozen
class Sample:
    """Answers of both versions over the same time.

    :param samples_per_block: answers that a new server gives in half a second, on average; noise
        hits all of them together, so they count as one sample of latency
    """

    old: Tallies
    new: Tallies
    samples_per_block: float = 1.0


def strongest(samples: Sequence[Sample]) -> Evidence:
    """Return the strongest evidence in several samples.

    :param samples: the first one of the whole time, which tells how much noise there is; the others
        of a part of it
    """
    if not samples:
        return NO_EVIDENCE
    is_explained = explains_noise(samples[0])
    usual_share = _slow_share(samples[0], is_normal=False)
    found = [_evidence_in(sample, is_explained, usual_share) for sample in samples]
    return max(found, key=lambda evidence: evidence.strength)


def _evidence_in(sample: Sample, is_explained: bool, usual_share: float) -> Evidence:
    best = NO_EVIDENCE
    for class_name, new in sample.new.items():
        best = _stronger(best, _failures(class_name, sample.old.get(class_name, Tally()), new))
    best = _stronger(best, _failures(ALL_CLASSES, _sum(sample.old), _sum(sample.new)))
    if not is_explained:
        return _stronger(best, _latency_in(sample, usual_share))
    best = _stronger(best, _latency_in(sample, None))
    # A version may slow down what its servers report too.  The few servers of the canary may all be
    # on slow machines for a while, so such answers count for less.
    block = MEASURED_BLOCKS * max(1.0, sample.samples_per_block)
    return _stronger(best, _latency_of_all(sample, block, usual_share))


def _latency_of_all(sample: Sample, block: float, usual_share: float) -> Evidence:
    whole = _SlowCounts()
    for class_name, new in sample.new.items():
        old = sample.old.get(class_name, Tally())
        counts = _count_slow(old.latencies, new.latencies)
        whole = whole if counts is None else whole.plus(counts)
    return _latency(ALL_CLASSES, whole, block, usual_share)


def explains_noise(sample: Sample) -> bool:
    """Return whether the reports of the machines' speed explain the noise of the old version."""
    return _slow_share(sample, is_normal=True) <= QUIET_SHARE


def _slow_share(sample: Sample, is_normal: bool) -> float:
    """Return the share of slow answers of the old version."""
    good = slow = 0
    for tally in sample.old.values():
        latencies = _latencies(tally, is_normal)
        median = median_bin(latencies)
        if median is not None:
            good += sum(latencies.values())
            slow += slower_than(latencies, median + SLOW_BINS)
    return slow / good if good else 0.0


def _latency_in(sample: Sample, usual_share: float | None) -> Evidence:
    """Return the evidence in the latencies.

    :param usual_share: of slow answers where latencies count as measured; ``None`` to compare them
        at the usual speed of the machines
    """
    is_normal = usual_share is None
    best = NO_EVIDENCE
    whole = _SlowCounts()
    total = max(1, count_of(sample.new))
    for class_name, new in sample.new.items():
        old = sample.old.get(class_name, Tally())
        counts = _count_slow(_latencies(old, is_normal), _latencies(new, is_normal))
        if counts is not None:
            whole = whole.plus(counts)
            block = sample.samples_per_block * new.count / total
            best = _stronger(best, _latency(class_name, counts, block, usual_share))
    return _stronger(best, _latency(ALL_CLASSES, whole, sample.samples_per_block, usual_share))


@attrs.frozen
class _SlowCounts:
    """Good answers of both versions, and how many of them are slow."""

    old: int = 0
    new: int = 0
    slow_old: int = 0
    slow_new: int = 0

    def plus(self, other: "_SlowCounts") -> "_SlowCounts":
        return _SlowCounts(
            self.old + other.old,
            self.new + other.new,
            self.slow_old + other.slow_old,
            self.slow_new + other.slow_new,
        )


def _count_slow(old: Mapping[int, int], new: Mapping[int, int]) -> _SlowCounts | None:
    median = median_bin(old)
    if median is None or sum(old.values()) < MIN_OLD_SAMPLES:
        return None
    limit = median + SLOW_BINS
    return _SlowCounts(
        sum(old.values()), sum(new.values()), slower_than(old, limit), slower_than(new, limit)
    )


def _latencies(tally: Tally, is_normal: bool) -> Mapping[int, int]:
    return tally.normal_latencies if is_normal else tally.latencies


def _failures(class_name: str, old: Tally, new: Tally) -> Evidence:
    if new.failures < MIN_FAILURES:
        return NO_EVIDENCE
    expected = (old.failures / old.count if old.count else 0.0) + FAILURE_FLOOR
    strength = new.count * _divergence(new.failures / new.count, expected)
    return Evidence(strength, class_name, "failures", new.count, new.failures)


def _latency(
    class_name: str, counts: _SlowCounts, block: float, usual_share: float | None
) -> Evidence:
    if counts.slow_new < MIN_SLOW or not counts.old:
        return NO_EVIDENCE
    slow_old = counts.slow_old / counts.old
    if usual_share is None:
        # Little is left that is common to the answers of one server.
        block = min(block, QUIET_BLOCK)
    else:
        # The old version's answers in a short time may have met little noise by chance.
        slow_old = max(slow_old, usual_share)
        block = max(1.0, block) / UNEXPLAINED_WEIGHT
    # The expectation is itself a sample, which is smaller while most calls go to the new version.
    weight = counts.new / max(1.0, block) * counts.old / (counts.old + counts.new)
    strength = weight * _divergence(counts.slow_new / counts.new, slow_old + SLOW_FLOOR)
    return Evidence(strength, class_name, "latency", counts.new, counts.slow_new)


def _divergence(proportion: float, expected: float) -> float:
    """Return the Kullback-Leibler divergence, 0 unless the proportion exceeds the expected one."""
    if proportion <= expected or expected >= 1.0:
        return 0.0
    result = proportion * math.log(proportion / expected)
    if proportion < 1.0:
        result += (1 - proportion) * math.log((1 - proportion) / (1 - expected))
    return result


def _sum(tallies: Mapping[str, Tally]) -> Tally:
    whole = Tally()
    for tally in tallies.values():
        whole.add(tally)
    return whole


def _stronger(first: Evidence, second: Evidence) -> Evidence:
    return second if second.strength > first.strength else first
