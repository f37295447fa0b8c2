"""A daemon's copy of the configuration.

The copy is a map from object name to the newest version heard, whoever told it: the store, a watch
or another daemon.  Versions grow over the whole store, so taking the larger one is commutative and
idempotent, and the copy can only move forward: a stale read, an old rumour or a restart of a peer
never brings an older object back.  A deletion is kept as a version with no body, for the same
reason.
"""

from collections.abc import Callable, Iterable
from typing import Final

import attrs

from kingcuppond.configuration.objects import (
    BUDGET_NAME,
    DATA_CENTRE_PREFIX,
    Budget,
    ClassOfWork,
    DataCentreState,
    decode,
)
from kingcuppond.digest import digest_of
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal

DEFAULT_BUDGET: Final = Budget()


@attrs.frozen
class VersionedObject:
    """An object of the store at one version.

    :param name: name in the store
    :param version: the store's version of this change
    :param body: JSON, or ``None`` if the object was removed
    """

    name: str
    version: int
    body: bytes | None


@attrs.define
class Configuration:
    """The newest configuration that this daemon has heard of."""

    journal: Journal
    objects_by_name: dict[str, VersionedObject] = attrs.field(factory=dict)
    classes_by_name: dict[str, ClassOfWork] = attrs.field(factory=dict)
    data_centres_out: set[str] = attrs.field(factory=set)
    budget: Budget = DEFAULT_BUDGET
    is_ready: bool = False
    version: int = 0
    digest: int = 0
    on_change: list[Callable[[], None]] = attrs.field(factory=list)

    def merge(self, objects: Iterable[VersionedObject]) -> list[VersionedObject]:
        """Take what is newer than the copy.

        :return: the objects that were news
        """
        news = []
        for item in objects:
            known = self.objects_by_name.get(item.name)
            if known is None or known.version < item.version:
                self.digest ^= _hash(item) ^ (0 if known is None else _hash(known))
                self.objects_by_name[item.name] = item
                self.version = max(self.version, item.version)
                self._apply(item)
                news.append(item)
        if news:
            for call in self.on_change:
                call()
        return news

    def is_out(self, data_centre: str) -> bool:
        """Tell whether operators took a data centre out of service."""
        return data_centre in self.data_centres_out

    def match(self, method: str, path: str) -> ClassOfWork | None:
        """Find the class of a request: the longest path prefix, then the exact method."""
        best: ClassOfWork | None = None
        for candidate in self.classes_by_name.values():
            if candidate.method not in ("*", method) or not path.startswith(candidate.path_prefix):
                continue
            if best is None or _rank(candidate) > _rank(best):
                best = candidate
        return best

    def _apply(self, item: VersionedObject) -> None:
        if item.body is None:
            self._remove(item.name)
            self.journal.record(
                catalogue.CONFIGURATION_CHANGED, name=item.name, version=item.version
            )
            return
        decoded = decode(item.name, item.body)
        if decoded.is_error():
            self.journal.record(
                catalogue.CONFIGURATION_REFUSED,
                name=item.name,
                version=item.version,
                error=decoded.error.message,
            )
            return
        match decoded.ok:
            case ClassOfWork() as class_of_work:
                self.classes_by_name[class_of_work.name] = class_of_work
            case DataCentreState(name=name, state="out"):
                self.data_centres_out.add(name)
            case DataCentreState(name=name):
                self.data_centres_out.discard(name)
            case Budget() as budget:
                self.budget = budget
        self.journal.record(catalogue.CONFIGURATION_CHANGED, name=item.name, version=item.version)

    def _remove(self, name: str) -> None:
        if name == BUDGET_NAME:
            self.budget = DEFAULT_BUDGET
            return
        prefix, _, rest = name.partition("/")
        if f"{prefix}/" == DATA_CENTRE_PREFIX:
            self.data_centres_out.discard(rest)
        else:
            self.classes_by_name.pop(rest, None)


def _rank(candidate: ClassOfWork) -> tuple[int, bool, str]:
    return len(candidate.path_prefix), candidate.method != "*", candidate.name


def _hash(item: VersionedObject) -> int:
    return digest_of(item.name, item.version)
