"""What a listing of the store proves about the configuration.

As long as the store stays in one era, each object of a listing is as new as its revision says, and
an object that is missing was deleted.  A store that was restored from a copy lists old objects in
a new era.  The revision of the copy is not known, but nothing up to the first revision that this
daemon was told in the era is certain to have been written in it.  Such an object counts as one of
an earlier era: it replaces the known object only if its revision is larger, or the same with
another content.

What the copy lacks therefore stays in force until it is written again.  A deletion of an object
that the copy had is seen in the store's history.  Another write after the restore and before the
first listing may look like the copy.  So ``SETTLE_SECONDS`` after a daemon has heard of the era the
listing counts as it is: by then the operators are expected to have written again what was lost.
"""

from collections.abc import Callable, Mapping
from typing import Final

import attrs

from kingcuppond.configuration.replica import ObjectKey, VersionedObject
from kingcuppond.store.era import era_of, make_version, revision_of
from kingcuppond.store.interface import Listing, is_same_json

SETTLE_SECONDS: Final = 60.0
"""Operators need this long at most to write again what a restored store has lost."""


@attrs.frozen
class ReadListing:
    """What a listing proves.

    :param objects: the listed objects, and those that it shows to be deleted, with versions that
        are ordered across eras
    :param older: names of known objects that the store has older, since it was restored
    :param missing: names of known objects that the store lacks, since it was restored or because
        they were deleted since; the history of the store may tell
    """

    objects: list[VersionedObject]
    older: list[str]
    missing: list[str]


@attrs.frozen
class _Seen:
    """Version and objects of the latest listing of a kind."""

    version: int
    keys: frozenset[ObjectKey]


@attrs.define
class ListingReader:
    """Reads the listings of one daemon.

    :param release_of: returns the operators' own number from kind, name and body of an object
    :param now: monotonic clock, in seconds
    """

    release_of: Callable[[str, str, bytes | None], int]
    now: Callable[[], float]
    _era: int = 0
    _first_revision: int = 0
    _era_heard_at: float = float("-inf")
    _keys_of_era: set[ObjectKey] = attrs.field(factory=set)
    _doubted_by_key: dict[ObjectKey, VersionedObject] = attrs.field(factory=dict)
    _seen_by_kind: dict[str, _Seen] = attrs.field(factory=dict)

    @property
    def is_settled(self) -> bool:
        """Whether the operators have had the time to write again what the store has lost."""
        return self.now() - self._era_heard_at > SETTLE_SECONDS

    def read(
        self,
        kind: str,
        listing: Listing,
        known: Mapping[ObjectKey, VersionedObject],
        deletions_by_name: Mapping[str, int] | None = None,
    ) -> ReadListing:
        """Return what a listing proves.

        :param known: the objects of all kinds that this daemon has
        :param deletions_by_name: versions of the newest deletions in the history before the listing
        """
        if era_of(listing.version) < self._era:
            # Another kind was listed in the new era meanwhile; this one will be listed again.
            return ReadListing([], [], [])
        self._enter_era(listing.version)
        listed = {(kind, item.name): item for item in listing.items}
        deletions_by_name = deletions_by_name or {}
        result = ReadListing([], [], [])
        doubted = {key: it for key, it in self._doubted_by_key.items() if it.kind != kind}
        for key, item in listed.items():
            found = known.get(key)
            release = self.release_of(kind, item.name, item.body)
            as_listed = VersionedObject(item.name, item.version, item.body, kind, release)
            ordered = self._order(as_listed, found)
            result.objects.append(ordered)
            if ordered.version != item.version:
                doubted[key] = as_listed
            if found is not None and _is_older(ordered, found):
                result.older.append(item.name)
        for key, found in known.items():
            if found.kind != kind or found.body is None or key in listed:
                continue
            if self._is_deleted(found, listing.version):
                result.objects.append(VersionedObject(found.name, listing.version, None, kind))
            elif era_of(found.version) < self._era:
                version = self._deletion_version(found, deletions_by_name.get(found.name, 0))
                if version > found.version:
                    deleted = VersionedObject(found.name, version, None, kind)
                    result.objects.append(attrs.evolve(deleted, listed_era=self._era))
                else:
                    result.missing.append(found.name)
        self._keys_of_era.update(listed)
        self._doubted_by_key = doubted
        self._seen_by_kind[kind] = _Seen(listing.version, frozenset(listed))
        return result

    def take_newer(self, known: Mapping[ObjectKey, VersionedObject]) -> list[VersionedObject]:
        """Return what the latest listings prove to be newer than the known objects.

        Another daemon may have brought the known object after the listing was read.  A change of
        the era at a smaller revision was made before the listed one, so the listed object is not
        older than what the copy lacks.  If the listing lacks the object, it was deleted.
        """
        result = []
        for key, listed in list(self._doubted_by_key.items()):
            found = known.get(key)
            if found is None:
                continue
            ordered = self._order(listed, found)
            if found.head.order < ordered.head.order:
                result.append(ordered)
            if era_of(found.version) >= self._era:
                del self._doubted_by_key[key]
        for key, found in known.items():
            seen = self._seen_by_kind.get(found.kind)
            if seen is None or found.body is None or key in seen.keys:
                continue
            if self._is_deleted(found, seen.version):
                result.append(VersionedObject(found.name, seen.version, None, found.kind))
        return result

    def _enter_era(self, version: int) -> None:
        if era_of(version) <= self._era:
            return
        self._era = era_of(version)
        self._first_revision = revision_of(version)
        self._era_heard_at = self.now()
        self._keys_of_era.clear()
        self._doubted_by_key.clear()
        self._seen_by_kind.clear()

    def _order(self, listed: VersionedObject, known: VersionedObject | None) -> VersionedObject:
        """Return a listed object with a version that is ordered across eras."""
        version = self._version(listed, known)
        if version == listed.version:
            return listed
        listed_era = era_of(listed.version)
        if known is not None and version == known.version and _is_same(known, listed.body):
            listed_era = known.listed_era
        return attrs.evolve(listed, version=version, listed_era=listed_era)

    def _version(self, listed: VersionedObject, known: VersionedObject | None) -> int:
        revision = revision_of(listed.version)
        if not self._era or revision > self._first_revision:
            return listed.version
        if known is None:
            return make_version(0, revision)
        if era_of(known.version) >= self._era or (
            self.is_settled and not _is_same(known, listed.body)
        ):
            return listed.version
        return self._version_after(known, revision, listed.body)

    def _deletion_version(self, known: VersionedObject, version: int) -> int:
        """Return the version of a deletion in the history, which may be that of the copy."""
        if revision_of(version) > self._first_revision:
            return version
        return self._version_after(known, revision_of(version), None)

    def _version_after(self, known: VersionedObject, revision: int, body: bytes | None) -> int:
        """Return the version of a change that may be of the era of the known object or later."""
        era = era_of(known.version)
        is_repeated = revision == revision_of(known.version) and not _is_same(known, body)
        if is_repeated and known.listed_era < self._era:
            # The revision was given out twice: a copy that had it would have the known content.
            era += 1
        return make_version(era, revision)

    def _is_deleted(self, known: VersionedObject, listed_version: int) -> bool:
        # The listing may be stale: it proves nothing about changes newer than its version.
        if known.version >= listed_version:
            return False
        is_of_era = era_of(known.version) == self._era or known.key in self._keys_of_era
        return is_of_era or self.is_settled


def _is_older(listed: VersionedObject, known: VersionedObject) -> bool:
    is_of_earlier_era = listed.head.order < known.head.order
    return is_of_earlier_era and not _is_same(known, listed.body)


def _is_same(known: VersionedObject, body: bytes | None) -> bool:
    if known.body is None or body is None:
        return known.body is body
    return is_same_json(known.body, body)
