"""The replica never goes back to an older version, in whatever order versions arrive."""

from random import Random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppond.clock import Clock
from kingcuppond.configuration.objects import ClassOfWork, DataCentreState, encode
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.events.journal import Journal
from kingcuppond.store.era import make_version

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


def make_released_object(name: str, era: int, revision: int, release: int) -> VersionedObject:
    """Make the object of an era and the operators' own number, the same on each call."""
    number = revision + 10 * era + 30 * release
    item = make_object(name, number)
    return attrs.evolve(item, version=make_version(era, revision), release=release)


OBJECTS = st.lists(st.builds(make_object, st.sampled_from(NAMES), st.integers(1, 9)), max_size=20)
RELEASED_OBJECTS = st.lists(
    st.builds(
        make_released_object,
        st.sampled_from(NAMES),
        st.integers(0, 2),
        st.integers(1, 9),
        st.integers(0, 3),
    ),
    max_size=20,
)


@settings(derandomize=True, max_examples=200)
@given(RELEASED_OBJECTS, RELEASED_OBJECTS)
def test_daemons_agree_after_an_exchange_across_eras(
    first_objects: list[VersionedObject], second_objects: list[VersionedObject]
) -> None:
    """Guards against two daemons that each take their own object for the newer one."""
    first, second = make_configuration(), make_configuration()
    first.merge(first_objects)
    second.merge(second_objects)
    before = [*first.objects_by_key.values(), *second.objects_by_key.values()]
    for sender, receiver in ((first, second), (second, first)):
        sent = [it for it in sender.objects_by_key.values() if receiver.is_newer(it.head)]
        assert receiver.merge(sent) == sent
        assert receiver.merge(sent) == []
    assert first.objects_by_key == second.objects_by_key
    assert first.digest == second.digest
    for item in before:
        assert not first.is_newer(item.head)


@settings(derandomize=True, max_examples=200)
@given(OBJECTS | RELEASED_OBJECTS, st.integers(0, 1000))
def test_any_order_gives_the_same_copy(objects: list[VersionedObject], seed: int) -> None:
    first, second = make_configuration(), make_configuration()
    first.merge(objects)
    shuffled = objects + objects
    Random(seed).shuffle(shuffled)
    for item in shuffled:
        before = dict(second.objects_by_key)
        second.merge([item])
        for name, old in before.items():
            assert second.objects_by_key[name].head.order >= old.head.order
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


@pytest.mark.parametrize(
    ("prefix", "path", "is_match"),
    [
        ("/devoluci%C3%B3n/", "/devoluci%C3%B3n/1", True),
        ("/devoluci%C3%B3n/", "/devoluci%c3%b3n/1", True),
        ("/devolución/", "/devoluci%C3%B3n/1", True),
        ("/shop/", "/sh%6Fp/1", True),
        ("/a%20b/", "/a%20b/1", True),
        ("/a%2Fb/", "/a%2fb/1", True),
        ("/a/b/", "/a%2Fb/1", False),
        ("/a%2Fb/", "/a/b/1", False),
        ("/100%25/", "/100%25/1", True),
        ("/%FF/", "/%ff/1", True),
        ("/%FF/", "/%FE/1", False),
        ("/shop/", "//other/shop/1", False),
    ],
)
def test_match_compares_paths_and_not_their_spelling(
    prefix: str, path: str, is_match: bool
) -> None:
    """Guards against 404 on a route whose prefix is percent-encoded."""
    configuration = make_configuration()
    item = ClassOfWork("a", "shop", prefix, 100)
    configuration.classes_by_name["a"] = item
    configuration.merge([VersionedObject("class/b", 1, encode(ClassOfWork("b", "shop", "/b", 1)))])
    assert (configuration.match("GET", path) == item) is is_match


def test_a_malformed_object_keeps_the_previous_one() -> None:
    configuration = make_configuration()
    configuration.merge([make_object("data-centre/a", 1)])
    configuration.merge([VersionedObject("data-centre/a", 2, b"{")])
    assert configuration.is_out("a")
    assert configuration.version == 2
