"""The requests of a class are split among services by weight."""

from random import Random

import attrs
import pytest

from kingcuppond.configuration.objects import ClassOfWork, ServiceShare
from kingcuppond.routing.split import SplitChooser

PLAIN = ClassOfWork("c", "a", "/c", 100)


def split(*weights: int) -> ClassOfWork:
    shares = tuple(ServiceShare(f"s{i}", weight) for i, weight in enumerate(weights))
    return attrs.evolve(PLAIN, split=shares)


@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (97, 3), (100, 0)])
def test_consecutive_requests_are_split_by_weight(weights: tuple[int, ...]) -> None:
    chooser = SplitChooser(Random(1))
    chosen = [chooser.choose(split(*weights)) for _ in range(200)]
    for i, weight in enumerate(weights):
        expected = 200 * weight / sum(weights)
        assert abs(chosen.count(f"s{i}") - expected) <= len(weights)


def test_a_class_without_a_split_goes_to_its_service() -> None:
    assert SplitChooser(Random(1)).choose(PLAIN) == "a"


def test_new_weights_take_effect_at_once() -> None:
    chooser = SplitChooser(Random(1))
    for _ in range(50):
        chooser.choose(split(100, 0))
    chosen = [chooser.choose(split(0, 100)) for _ in range(50)]
    assert chosen == ["s1"] * 50
