"""Single outliers hardly change the typical latency of a class."""

from kingcuppond.typical_latency import TypicalLatencies


def test_first_sample_that_is_too_long_is_corrected_quickly() -> None:
    latencies = TypicalLatencies()
    latencies.update("c", 0.56, 1.0)
    for _ in range(15):
        latencies.update("c", 0.08, 1.0)
    assert latencies.seconds_by_class["c"] < 0.1


def test_occasional_long_samples_change_little() -> None:
    latencies = TypicalLatencies()
    for i in range(100):
        latencies.update("c", 0.56 if i % 5 == 0 else 0.08, 1.0)
    assert 0.07 < latencies.seconds_by_class["c"] < 0.09


def test_slowdown_of_the_machine_is_divided_out() -> None:
    latencies = TypicalLatencies()
    for slowdown in (1.0, 7.0, 2.0):
        latencies.update("c", 0.08 * slowdown, slowdown)
    assert abs(latencies.seconds_by_class["c"] - 0.08) < 1e-9


def test_lasting_change_is_followed() -> None:
    latencies = TypicalLatencies()
    for seconds in (0.08, 0.16):
        for _ in range(100):
            latencies.update("c", seconds, 1.0)
    assert latencies.seconds_by_class["c"] > 0.14
