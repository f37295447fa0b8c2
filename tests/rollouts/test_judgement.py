"""Bad versions are found beside the machines' noise, and good ones are never taken for bad."""

import pytest

from kingcuppond.rollouts import judgement, session
from kingcuppond.rollouts.judgement import Sample, strongest
from kingcuppond.rollouts.session import Session
from kingcuppond.rollouts.tallies import Tally
from tests.rollouts.simulation import LARGE, SMALL, Fault, Kind, Outcome, simulate

SEEDS = range(3)
GOOD_SEEDS = range(40)
FAULTS = {
    "a part fails at once": Fault(0.3),
    "more than half fails at once": Fault(0.6),
    "a part is slow at once": Fault(0.3, is_slow=True),
    "more than half is slow at once": Fault(0.6, is_slow=True),
    "a part fails after 4 s": Fault(0.3, after_seconds=4.0),
    "a part fails after 8 s": Fault(0.3, after_seconds=8.0),
    "more than half is slow after 4 s": Fault(0.6, is_slow=True, after_seconds=4.0),
    "a part fails under load": Fault(0.3, min_in_flight=3),
    "more than half is slow under load": Fault(0.6, is_slow=True, min_in_flight=3),
    "a part of one class fails": Fault(0.3, kind="status"),
    "more than half of one class is slow": Fault(0.6, is_slow=True, kind="status"),
}


def run_all(fault: Fault | None, **options: object) -> list[Outcome]:
    return [simulate(seed, fault, **options) for seed in SEEDS]


@pytest.mark.parametrize("name", FAULTS)
def test_a_bad_version_is_rolled_back_in_its_bounds(name: str) -> None:
    for outcome in run_all(FAULTS[name]):
        assert outcome.state == "rolled_back"
        assert outcome.is_in_bounds


@pytest.mark.parametrize("fault", [Fault(0.4), Fault(0.6, is_slow=True)], ids=["fails", "slow"])
def test_a_bad_version_of_a_small_service_is_rolled_back(fault: Fault) -> None:
    for outcome in run_all(fault, kinds=SMALL, servers=6):
        assert outcome.state == "rolled_back"
        assert outcome.is_in_bounds


@pytest.mark.parametrize(
    ("kinds", "servers"), [(LARGE, 38), (SMALL, 6)], ids=["large service", "small service"]
)
def test_a_good_version_is_completed_whatever_the_noise(
    kinds: tuple[Kind, ...], servers: int
) -> None:
    for seed in GOOD_SEEDS:
        outcome = simulate(seed, kinds=kinds, servers=servers)
        assert outcome.state == "completed", seed
        assert outcome.ended_at < 12.0


def test_noise_that_nobody_reports_is_not_taken_for_a_bad_version() -> None:
    """Servers that do not report the speed of their machines."""
    for seed in GOOD_SEEDS:
        assert simulate(seed, reports_speed=False).state != "rolled_back", seed


def test_the_canary_has_load_since_its_share_goes_to_few_servers() -> None:
    """With the share on all servers, a version that is bad under load is found with everything."""
    fault = Fault(0.3, min_in_flight=4)
    spread = run_all(fault, canary_size=lambda share, servers: servers)
    assert sum(it.is_in_bounds for it in run_all(fault)) == len(SEEDS)
    assert sum(it.is_in_bounds for it in spread) < len(SEEDS)


def test_slow_answers_count_before_they_end(monkeypatch: pytest.MonkeyPatch) -> None:
    fault = Fault(0.6, is_slow=True)
    ended = [outcome.ended_at for outcome in run_all(fault)]
    monkeypatch.setattr(Session, "_add_running", lambda *_: None)
    assert sum(ended) < sum(outcome.ended_at for outcome in run_all(fault)) - 0.5


def test_the_latest_answers_are_judged_by_themselves(monkeypatch: pytest.MonkeyPatch) -> None:
    """A version that turns bad late is hidden by its good answers of before."""
    fault = Fault(0.3, after_seconds=8.0)
    ended = [outcome.ended_at for outcome in run_all(fault)]
    monkeypatch.setattr(session, "WINDOWS_SECONDS", (1e9,))
    assert sum(ended) < sum(outcome.ended_at for outcome in run_all(fault))


def test_latencies_are_compared_at_the_usual_speed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise a slow version is hidden by noise that the servers have reported."""
    fault = Fault(0.3, is_slow=True)
    ended = [outcome.ended_at for outcome in run_all(fault)]
    assert max(simulate(seed).strongest for seed in GOOD_SEEDS) < judgement.DOUBTFUL_EVIDENCE
    monkeypatch.setattr(judgement, "explains_noise", lambda sample: False)
    assert sum(ended) < sum(outcome.ended_at for outcome in run_all(fault)) - 5.0


def tally(count: int, failures: int = 0, slow: int = 0) -> Tally:
    result = Tally()
    for i in range(count):
        result.record(1.6 if failures <= i < failures + slow else 0.1, is_failure=i < failures)
    return result


@pytest.mark.parametrize("share", [0.0, 0.1, 0.5])
def test_a_version_that_fails_as_the_old_one_does_is_not_bad(share: float) -> None:
    """Both call a service that fails."""
    sample = Sample(
        {"read": tally(1000, int(1000 * share))}, {"read": tally(100, int(100 * share))}
    )
    assert not strongest([sample]).is_doubtful


def test_an_old_version_without_answers_gives_no_evidence_of_latency() -> None:
    assert strongest([Sample({}, {"read": tally(100, slow=50)})]).strength == 0.0


def test_failures_need_no_old_version_to_compare_with() -> None:
    assert strongest([Sample({}, {"read": tally(100, failures=50)})]).is_bad


def test_the_evidence_names_the_class() -> None:
    old = {"read": tally(500), "write": tally(500)}
    evidence = strongest([Sample(old, {"read": tally(200), "write": tally(40, failures=20)})])
    assert (evidence.class_name, evidence.what, evidence.bad) == ("write", "failures", 20)


def test_answers_of_one_server_at_one_time_count_as_one() -> None:
    """Without reports, noise hits all answers of a server in the same half second."""
    old = {"read": tally(1000, slow=250)}
    new = {"read": tally(40, slow=25)}
    assert (
        strongest([Sample(old, new, 1.0)]).strength
        > 2 * strongest([Sample(old, new, 6.0)]).strength
    )
