"""A daemon's copy of the configuration.

The copy maps each object to the newest version received, whether from a listing, a watch or another
daemon.  Versions increase over the whole store and its eras, so a merge that keeps the larger one
is commutative and idempotent, and the copy only moves forward: a stale read, an old rumour or a
restart of a peer never restores an older object.  For the same reason a deletion is kept as a
version without a body (a tombstone).  If the operators number an object themselves, their number
goes before the version: a store that was restored may offer an older one at a newer version.
"""

from collections.abc import Callable, Iterable
from typing import Final

import attrs

from kingcuppond.configuration.objects import (
    CONFIGURATION_KIND,
    NATIVE_FORMAT,
    AllClasses,
    ClassOfWork,
    ClassRemoved,
    ConfigurationFormat,
    DataCentreState,
    MeasurementBudget,
    ServiceProperties,
    UnusableEntry,
)
from kingcuppond.configuration.paths import normal_path
from kingcuppond.digest import digest_of
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.organisations.organisation import OrganisationTable
from kingcuppond.store.era import format_version

DEFAULT_BUDGET: Final = MeasurementBudget()
ANY_HOST: Final = ""

ObjectKey = tuple[str, str]


@attrs.frozen
class ObjectHead:
    """The name and version of an object, without its body.

    :param release: the operators' own number of this change, 0 if they give none
    :param listed_era: era of the listing that contained the object, if the object may be of an
        earlier era than that; otherwise 0
    """

    kind: str
    name: str
    version: int
    release: int = 0
    listed_era: int = 0

    @property
    def order(self) -> tuple[int, int, int]:
        """Orders the changes of an object; the larger one is newer.

        Of two objects at one version, that of the later listing is newer: the store had lost the
        other one and gave its revision out again.
        """
        return self.release, self.version, self.listed_era


@attrs.frozen
class VersionedObject:
    """An object of the store at one version.

    :param name: name in the store
    :param version: the store's version of this change
    :param body: JSON, or ``None`` if the object was removed
    :param kind: kind in the store
    :param release: the operators' own number of this change, 0 if they give none
    :param listed_era: see :class:`ObjectHead`
    """

    name: str
    version: int
    body: bytes | None
    kind: str = CONFIGURATION_KIND
    release: int = 0
    listed_era: int = 0

    @property
    def key(self) -> ObjectKey:
        """Kind and name, unique in the store."""
        return self.kind, self.name

    @property
    def head(self) -> ObjectHead:
        """The part that is announced to other daemons."""
        return ObjectHead(self.kind, self.name, self.version, self.release, self.listed_era)


@attrs.define
class Configuration:
    """The newest configuration that this daemon has received.

    :param is_complete: whether all objects as of some moment were received, and not only changes
    :param version: the newest version of the store that this daemon has heard of
    :param release: the operators' own version number of the configuration, 0 if they give none
    :param organisations: the organisations whose requests carry keys, ``None`` if there are no keys
    :param changed_at: monotonic time in seconds of the last change of this copy
    """

    journal: Journal
    format: ConfigurationFormat = NATIVE_FORMAT
    objects_by_key: dict[ObjectKey, VersionedObject] = attrs.field(factory=dict)
    classes_by_name: dict[str, ClassOfWork] = attrs.field(factory=dict)
    services_by_name: dict[str, ServiceProperties] = attrs.field(factory=dict)
    data_centres_out: set[str] = attrs.field(factory=set)
    organisations: OrganisationTable | None = None
    budget: MeasurementBudget = DEFAULT_BUDGET
    is_complete: bool = False
    version: int = 0
    release: int = 0
    digest: int = 0
    changed_at: float = 0.0
    on_change: list[Callable[[], None]] = attrs.field(factory=list)
    _is_required_in_force: bool = False
    _unusable: tuple[UnusableEntry, ...] = ()
    _entries_by_host: dict[str, list["_ClassEntry"]] = attrs.field(factory=dict)

    @property
    def version_text(self) -> str:
        """The version as text for people."""
        return format_version(self.version)

    @property
    def is_ready(self) -> bool:
        """Whether requests can be routed: the copy is complete and the required object in force."""
        return self.is_complete and (self.format.required is None or self._is_required_in_force)

    def merge(self, objects: Iterable[VersionedObject]) -> list[VersionedObject]:
        """Take over the objects that are newer than the copy.

        :return: the objects that were newer
        """
        accepted = []
        for item in objects:
            if not self.is_newer(item.head):
                continue
            known = self.objects_by_key.get(item.key)
            self.digest ^= _object_digest(item) ^ (0 if known is None else _object_digest(known))
            self.objects_by_key[item.key] = item
            self.version = max(self.version, item.version)
            self._apply(item)
            accepted.append(item)
        if accepted:
            self.changed_at = self.journal.clock.monotonic()
            self._index_classes()
            self.notify_changed()
        return accepted

    def notify_changed(self) -> None:
        """Call all change callbacks."""
        for callback in self.on_change:
            callback()

    def is_newer(self, head: ObjectHead) -> bool:
        """Return whether a version is newer than that in the copy."""
        known = self.objects_by_key.get((head.kind, head.name))
        return known is None or known.head.order < head.order

    def is_out(self, data_centre: str) -> bool:
        """Return whether operators took a data centre out of service."""
        return data_centre in self.data_centres_out

    def match(
        self, method: str, path: str, host: str = ANY_HOST
    ) -> ClassOfWork | UnusableEntry | None:
        """Return the class of a request, or ``None``.

        :param path: path of the request as its caller sent it, without the query

        Classes of the request's host take precedence over those of any host, then longer path
        prefixes over shorter ones, then an exact method over ``*``.
        """
        path = normal_path(path)
        for name in (host, ANY_HOST) if host else (ANY_HOST,):
            for entry in self._entries_by_host.get(name, ()):
                if path.startswith(entry.prefix) and entry.method in ("*", method):
                    return entry.item
        return None

    def _apply(self, item: VersionedObject) -> None:
        decoded = self.format.decode(item.kind, item.name, item.body)
        if decoded.is_error():
            self.journal.record(
                catalogue.CONFIGURATION_REFUSED,
                name=item.name,
                version=format_version(item.version),
                error=decoded.error.message,
            )
            return
        if item.key == self.format.required:
            self._is_required_in_force = True
        match decoded.ok:
            case AllClasses() as everything:
                self.release = everything.release
                self._unusable = everything.unusable
                self._record_unusable(item, everything.unusable)
                self.classes_by_name = {entry.name: entry for entry in everything.classes}
                self.services_by_name = {entry.name: entry for entry in everything.services}
                self.organisations = everything.organisations
            case ClassOfWork() as class_of_work:
                self.classes_by_name[class_of_work.name] = class_of_work
            case ClassRemoved(name=name):
                self.classes_by_name.pop(name, None)
            case DataCentreState(name=name, state="out"):
                self.data_centres_out.add(name)
            case DataCentreState(name=name):
                self.data_centres_out.discard(name)
            case MeasurementBudget() as budget:
                self.budget = budget
        self.journal.record(
            catalogue.CONFIGURATION_CHANGED,
            name=item.name,
            version=format_version(item.version),
            release=item.release,
        )

    def _record_unusable(self, item: VersionedObject, entries: Iterable[UnusableEntry]) -> None:
        for entry in entries:
            self.journal.record(
                catalogue.CONFIGURATION_REFUSED,
                name=f"{entry.name} in {item.name}",
                version=format_version(item.version),
                error=entry.message,
            )

    def _index_classes(self) -> None:
        by_host: dict[str, list[_ClassEntry]] = {}
        items: list[ClassOfWork | UnusableEntry] = [*self.classes_by_name.values()]
        items += [entry for entry in self._unusable if entry.path_prefix]
        for item in items:
            entry = _ClassEntry(normal_path(item.path_prefix), item)
            by_host.setdefault(item.host, []).append(entry)
        for entries in by_host.values():
            entries.sort(key=_match_precedence, reverse=True)
        self._entries_by_host = by_host


@attrs.frozen
class _ClassEntry:
    """A class of work, or one that can't be used, and its prefix in normal form."""

    prefix: str
    item: ClassOfWork | UnusableEntry

    @property
    def method(self) -> str:
        return self.item.method if isinstance(self.item, ClassOfWork) else "*"


def _match_precedence(entry: _ClassEntry) -> tuple[int, bool, str]:
    return len(entry.prefix), entry.method != "*", entry.item.name


def _object_digest(item: VersionedObject) -> int:
    return digest_of(item.kind, item.name, item.version, item.release, item.listed_era)
