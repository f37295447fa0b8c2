"""The replica never goes back to an older version, in whatever order versions arrive."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppond.clock import Clock
from kingcuppond.configuration.objects import ClassOfWork, DataCentreState, encode
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.events.journal import Journal

NAMES = ["data-centre/a", "data-centre/b", "class/c"]


def make_object(name: str, version: int) -> VersionedObject:
    """Make the object that the store had under a name at a version, the same on each call."""
    body = None
    if version % 4:
        state = "out" if version % 2 else "in"
        value: ClassOfWork | DataCentreState = ClassOfWork("c", "shop", "/c", 100 + version)
        if name.startswith("data-centre"):
            value = DataCentreState(name.partition("/")[2], state)  # type: ignore[arg-type]
        body = encode(value)
    return VersionedObject(name, version, body)


def make_configuration() -> Configuration:
    return Configuration(Journal("vm", Clock()))


OBJECTS = st.lists(st.builds(make_object, st.sampled_from(NAMES), st.integers(1, 9)), max_size=20)


@settings(derandomize=True, max_examples=200)
@given(OBJECTS, st.integers(0, 1000))
def test_any_order_gives_the_same_copy(objects: list[VersionedObject], seed: int) -> None:
    first, second = make_configuration(), make_configuration()
    first.merge(objects)
    shuffled = objects + objects
    Random(seed).shuffle(shuffled)
    for item in shuffled:
        before = dict(second.objects_by_key)
        second.merge([item])
        for name, old in before.items():
            assert second.objects_by_key[name].version >= old.version
    assert first.objects_by_key == second.objects_by_key
    assert first.data_centres_out == second.data_centres_out
    assert first.classes_by_name == second.classes_by_name
    assert first.digest == second.digest


def test_match_prefers_longest_prefix_then_exact_method() -> None:
    configuration = make_configuration()
    for version, item in enumerate(
        [
            ClassOfWork("all", "shop", "/shop", 100),
            ClassOfWork("book", "shop", "/shop/book", 100),
            ClassOfWork("post", "shop", "/shop/book", 100, method="POST"),
        ],
        start=1,
    ):
        configuration.merge([VersionedObject(f"class/{item.name}", version, encode(item))])
    found = [
        getattr(configuration.match(method, path), "name", None)
        for method, path in [
            ("GET", "/shop/a"),
            ("GET", "/shop/book/1"),
            ("POST", "/shop/book/1"),
            ("GET", "/other"),
        ]
    ]
    assert found == ["all", "book", "post", None]


def test_a_malformed_object_keeps_the_previous_one() -> None:
    configuration = make_configuration()
    configuration.merge([make_object("data-centre/a", 1)])
    configuration.merge([VersionedObject("data-centre/a", 2, b"{")])
    assert configuration.is_out("a")
    assert configuration.version == 2
