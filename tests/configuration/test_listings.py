"""Listings of a store that was restored from a copy: what is older, what was written since."""

import pytest

from kingcuppond.configuration.listings import SETTLE_SECONDS, ListingReader, ReadListing
from kingcuppond.configuration.replica import Configuration, VersionedObject
from kingcuppond.events.journal import Journal
from kingcuppond.store.era import make_version
from kingcuppond.store.interface import ListedObject, Listing
from tests.conftest import FakeTime

KIND = "kind"
FIRST_REVISION = 20
"""Revision of the first listing of era 2; that of the copy is unknown and lower."""


def make_listing(objects: dict[str, tuple[int, bytes]], revision: int, era: int = 2) -> Listing:
    """Make a listing from revision and body by name."""
    items = [
        ListedObject(name, make_version(era, item), body) for name, (item, body) in objects.items()
    ]
    return Listing(items, make_version(era, revision))


def make_reader(fake_time: FakeTime) -> ListingReader:
    """Make a reader that has read an empty listing of era 1."""
    reader = ListingReader(lambda kind, name, body: 0, fake_time.read)
    reader.read(KIND, make_listing({}, 1, era=1), {})
    return reader


def known_object(revision: int, body: bytes | None, era: int = 1) -> VersionedObject:
    return VersionedObject("a", make_version(era, revision), body, KIND)


def read_in_era_2(
    reader: ListingReader, objects: dict[str, tuple[int, bytes]], known: VersionedObject | None
) -> ReadListing:
    by_key = {} if known is None else {known.key: known}
    return reader.read(KIND, make_listing(objects, FIRST_REVISION), by_key)


def newer_body(result: ReadListing, known: VersionedObject | None) -> bytes | str | None:
    """Return the body that replaces the known one, or ``known`` if none does."""
    for item in result.objects:
        if known is None or item.head.order > known.head.order:
            return item.body
    return "known"


@pytest.mark.parametrize(
    ("listed", "known", "expected"),
    [
        ((15, b"1"), known_object(18, b"2"), "known"),
        ((15, b"1"), known_object(18, None), "known"),
        ((15, b"1"), known_object(15, b"1"), "known"),
        ((19, b"3"), known_object(18, b"2"), b"3"),
        ((19, b"3"), known_object(18, None), b"3"),
        ((15, b"1"), None, b"1"),
        (None, known_object(18, b"2"), "known"),
        (None, known_object(5, b"2"), "known"),
        (None, known_object(19, b"2", era=2), None),
        ((18, b"3"), known_object(18, b"2"), b"3"),
        ((18, b"3"), known_object(18, None), b"3"),
        ((19, b"3"), known_object(18, b"2", era=2), b"3"),
        ((17, b"3"), known_object(18, b"2", era=2), "known"),
    ],
    ids=[
        "the copy has an older object",
        "the copy has an object that was deleted since",
        "the object did not change",
        "an object with a larger revision is newer, whenever it was written",
        "an object written after a deletion is newer",
        "an unknown object is taken over",
        "the copy lacks an object",
        "an object may have been deleted since, or changed without this daemon's knowledge",
        "an object of the era that is missing was deleted",
        "a revision given out twice: the copy would have the content that is known",
        "a revision given out twice: what was deleted at it is not in the copy",
        "within the era the larger revision is newer",
        "within the era the smaller revision is older",
    ],
)
def test_first_listing_of_a_new_era(
    fake_time: FakeTime,
    listed: tuple[int, bytes] | None,
    known: VersionedObject | None,
    expected: bytes | str | None,
) -> None:
    result = read_in_era_2(make_reader(fake_time), {"a": listed} if listed else {}, known)
    assert newer_body(result, known) == expected


def test_a_listing_of_an_earlier_era_does_not_replace_a_change_of_a_later_one(
    fake_time: FakeTime,
) -> None:
    """Gossip delivered the change at a revision given out again; the listing was on its way."""
    reader = make_reader(fake_time)
    known = known_object(1, b"2", era=2)
    listing = make_listing({"a": (1, b"1")}, 1, era=1)
    assert newer_body(reader.read(KIND, listing, {known.key: known}), known) == "known"


def test_a_late_listing_of_an_earlier_era_does_not_show_what_the_copy_had(
    fake_time: FakeTime,
) -> None:
    """Of two kinds one may be listed in the new era while the other one's deletions are read."""
    reader, known = make_reader(fake_time), known_object(18, b"2")
    read_in_era_2(reader, {}, None)
    reader.read(KIND, make_listing({"a": (18, b"2")}, 18, era=1), {known.key: known})
    assert newer_body(read_in_era_2(reader, {}, known), known) == "known"


def test_daemons_that_start_in_different_eras_agree_on_a_revision_given_out_twice(
    fake_time: FakeTime, journal: Journal
) -> None:
    """Neither has known the object before, and each listing may be that of a copy."""
    before, after = (
        ListingReader(lambda kind, name, body: 0, fake_time.read).read(
            KIND, make_listing({"a": (18, body)}, 18, era), {}
        )
        for era, body in ((1, b"1"), (2, b"2"))
    )
    first, second = Configuration(journal), Configuration(journal)
    first.merge(before.objects)
    second.merge(after.objects)
    assert first.digest != second.digest
    first.merge(after.objects)
    second.merge(before.objects)
    assert first.objects_by_key == second.objects_by_key
    assert [it.body for it in first.objects_by_key.values()] == [b"2"]


def test_an_unchanged_object_is_not_announced_again_after_a_restore(fake_time: FakeTime) -> None:
    """All daemons would fetch it from each other."""
    reader = ListingReader(lambda kind, name, body: 0, fake_time.read)
    (known,) = reader.read(KIND, make_listing({"a": (15, b"1")}, 18, era=1), {}).objects
    result = read_in_era_2(reader, {"a": (15, b"1")}, known)
    assert newer_body(result, known) == "known"


def test_what_is_written_after_the_first_listing_is_newer_than_all_before(
    fake_time: FakeTime,
) -> None:
    reader, known = make_reader(fake_time), known_object(90, b"2")
    read_in_era_2(reader, {}, None)
    listing = make_listing({"a": (FIRST_REVISION + 1, b"3")}, FIRST_REVISION + 1)
    assert newer_body(reader.read(KIND, listing, {known.key: known}), known) == b"3"


@pytest.mark.parametrize(
    ("deleted_at", "expected"),
    [(19, None), (18, None), (17, "known"), (FIRST_REVISION + 1, None), (0, "known")],
    ids=[
        "later than known",
        "at the known revision",
        "maybe of the copy",
        "of the new era",
        "not in the history",
    ],
)
def test_a_deletion_in_the_history_counts(
    fake_time: FakeTime, deleted_at: int, expected: str | None
) -> None:
    """An evacuation that ended just after the restore would otherwise last for a minute more."""
    reader, known = make_reader(fake_time), known_object(18, b"2")
    read_in_era_2(reader, {}, None)
    listing = make_listing({}, FIRST_REVISION + 2)
    deletions = {"a": make_version(2, deleted_at)} if deleted_at else {}
    result = reader.read(KIND, listing, {known.key: known}, deletions)
    assert newer_body(result, known) == expected
    assert bool(result.missing) == (expected == "known")


def test_an_object_that_disappears_within_the_era_was_deleted(fake_time: FakeTime) -> None:
    """Its version may still be that of the era before."""
    reader, known = make_reader(fake_time), known_object(15, b"1")
    read_in_era_2(reader, {"a": (15, b"1")}, known)
    assert newer_body(read_in_era_2(reader, {}, known), known) is None


@pytest.mark.parametrize(
    ("listed", "known", "expected"),
    [
        ((15, b"1"), known_object(18, b"2"), b"1"),
        (None, known_object(18, b"2"), None),
        ((15, b"2"), known_object(18, b"2"), "known"),
    ],
    ids=["older object", "missing object", "the same content"],
)
def test_the_listing_counts_once_operators_had_time_to_write_again(
    fake_time: FakeTime,
    listed: tuple[int, bytes] | None,
    known: VersionedObject,
    expected: bytes | str | None,
) -> None:
    """Operators could otherwise never go back to what the copy holds: writing it changes nothing"""
    reader = make_reader(fake_time)
    objects = {"a": listed} if listed else {}
    first = read_in_era_2(reader, objects, known)
    assert newer_body(first, known) == "known"
    assert bool(first.older or first.missing) == (expected != "known")
    fake_time.advance(SETTLE_SECONDS + 1)
    assert newer_body(read_in_era_2(reader, objects, known), known) == expected


def test_a_daemon_that_starts_after_a_restore_does_not_make_the_copy_newer(
    fake_time: FakeTime,
) -> None:
    """What it lists must not replace what the others know."""
    reader = ListingReader(lambda kind, name, body: 0, fake_time.read)
    result = read_in_era_2(reader, {"a": (15, b"1")}, None)
    assert result.objects[0].head.order < known_object(18, b"2").head.order


def test_a_second_restore_does_not_make_what_it_holds_newer_than_the_first_loss(
    fake_time: FakeTime,
) -> None:
    """An object that was lost in the first one and not written again stays in force."""
    reader, known = make_reader(fake_time), known_object(18, b"2")
    read_in_era_2(reader, {"a": (15, b"1")}, known)
    listing = make_listing({"a": (15, b"1")}, FIRST_REVISION + 5, era=3)
    assert newer_body(reader.read(KIND, listing, {known.key: known}), known) == "known"


def test_a_store_without_eras_is_never_doubted(fake_time: FakeTime) -> None:
    reader = ListingReader(lambda kind, name, body: 0, fake_time.read)
    known = known_object(5, b"1", era=0)
    result = reader.read(KIND, make_listing({}, 9, era=0), {known.key: known})
    assert newer_body(result, known) is None
    result = reader.read(KIND, make_listing({"a": (6, b"2")}, 9, era=0), {known.key: known})
    assert newer_body(result, known) == b"2"
