"""Requests of a class are divided among services by weight."""

from random import Random

import attrs
import pytest

from kingcuppond.configuration.objects import ClassOfWork, ServiceShare
from kingcuppond.routing.split import TrafficSplitter

CLASS_WITHOUT_SPLIT = ClassOfWork("c", "a", "/c", 100)


def make_class(*weights: int) -> ClassOfWork:
    shares = tuple(ServiceShare(f"s{i}", weight) for i, weight in enumerate(weights))
    return attrs.evolve(CLASS_WITHOUT_SPLIT, split=shares)


@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (97, 3), (100, 0)])
def test_requests_are_divided_by_weight(weights: tuple[int, ...]) -> None:
    splitter = TrafficSplitter(Random(1))
    chosen = [splitter.choose(make_class(*weights)) for _ in range(200)]
    for i, weight in enumerate(weights):
        expected = 200 * weight / sum(weights)
        assert abs(chosen.count(f"s{i}") - expected) <= len(weights)


def test_class_without_a_split_uses_its_service() -> None:
    assert TrafficSplitter(Random(1)).choose(CLASS_WITHOUT_SPLIT) == "a"


def test_new_weights_take_effect_at_once() -> None:
    splitter = TrafficSplitter(Random(1))
    for _ in range(50):
        splitter.choose(make_class(100, 0))
    chosen = [splitter.choose(make_class(0, 100)) for _ in range(50)]
    assert chosen == ["s1"] * 50
