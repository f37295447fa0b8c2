"""The usual time of a class is robust against single long answers."""

from kingcuppond.usual import UsualTimes


def test_a_first_answer_that_was_too_long_is_corrected_soon() -> None:
    usual = UsualTimes()
    usual.learn("c", 0.56, 1.0)
    for _ in range(15):
        usual.learn("c", 0.08, 1.0)
    assert usual.seconds_by_class["c"] < 0.1


def test_long_answers_between_others_change_little() -> None:
    usual = UsualTimes()
    for i in range(100):
        usual.learn("c", 0.56 if i % 5 == 0 else 0.08, 1.0)
    assert 0.07 < usual.seconds_by_class["c"] < 0.09


def test_the_slowdown_of_a_vm_is_divided_out() -> None:
    usual = UsualTimes()
    for slowdown in (1.0, 7.0, 2.0):
        usual.learn("c", 0.08 * slowdown, slowdown)
    assert abs(usual.seconds_by_class["c"] - 0.08) < 1e-9


def test_a_lasting_change_is_followed() -> None:
    usual = UsualTimes()
    for seconds in (0.08, 0.16):
        for _ in range(100):
            usual.learn("c", seconds, 1.0)
    assert usual.seconds_by_class["c"] > 0.14
