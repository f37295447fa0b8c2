"""State changes that wait to be forwarded, combined into few messages.

A burst of changes, such as the start of a fleet, would otherwise cost a message for each change and
contact.  Changes wait here for some tens of milliseconds; a newer one replaces an older one of the
same thing.  A contact is sent only what it may lack: not what it sent itself meanwhile, and not the
state of a third data centre, whose own bridges forward it.
"""

from collections.abc import Iterable

import attrs

from kingcuppond.configuration.replica import ObjectHead
from kingcuppond.membership.messages import Member, Rumours, Suspicion
from kingcuppond.quarantine.messages import QuarantineNote

RumourItem = Member | ObjectHead | Suspicion | QuarantineNote


@attrs.define
class _Waiting:
    """A change that waits.

    :param data_centre: of the member that it is about; empty if it is about none
    :param holders: VMs that are known to have it
    """

    item: RumourItem
    data_centre: str
    holders: set[str]


@attrs.define
class RumourQueue:
    """The changes that wait, each under the thing that it is about."""

    _waiting_by_subject: dict[tuple[str, ...], _Waiting] = attrs.field(factory=dict)

    def __bool__(self) -> bool:
        return bool(self._waiting_by_subject)

    def add(self, rumours: Rumours, members_by_vm: dict[str, Member], sender: str = "") -> None:
        """Add changes that this daemon did not know before.

        :param members_by_vm: all known members
        :param sender: the VM that sent them, empty if they are this daemon's own
        """
        for item in _items(rumours):
            vm = item.vm if isinstance(item, Member | Suspicion) else ""
            member = members_by_vm.get(vm)
            data_centre = "" if member is None else member.data_centre
            # A member has its own description, but must hear that it is suspected.
            holders = {sender, vm} if isinstance(item, Member) else {sender}
            self._waiting_by_subject[_subject(item)] = _Waiting(item, data_centre, holders)

    def add_holder(self, rumours: Rumours, sender: str) -> None:
        """Record that a daemon has some changes, since it sent them."""
        for item in _items(rumours):
            waiting = self._waiting_by_subject.get(_subject(item))
            if waiting is not None and waiting.item == item:
                waiting.holders.add(sender)

    def take(self, own_data_centre: str, contacts: Iterable[Member]) -> dict[str, Rumours]:
        """Remove all changes, and return what each contact may lack, by VM."""
        waiting = list(self._waiting_by_subject.values())
        self._waiting_by_subject.clear()
        rumours_by_vm = {}
        for contact in contacts:
            rumours = _combine(
                entry.item
                for entry in waiting
                if contact.vm not in entry.holders
                and _concerns(entry.data_centre, own_data_centre, contact.data_centre)
            )
            if rumours:
                rumours_by_vm[contact.vm] = rumours
        return rumours_by_vm


def _concerns(data_centre: str, own_data_centre: str, contact_data_centre: str) -> bool:
    """Return whether a change of a member is forwarded from here to a contact's data centre."""
    return contact_data_centre == own_data_centre or data_centre in (
        "",
        own_data_centre,
        contact_data_centre,
    )


def _items(rumours: Rumours) -> Iterable[RumourItem]:
    yield from rumours.members
    yield from rumours.heads
    yield from rumours.suspicions
    yield from rumours.notes


def _subject(item: RumourItem) -> tuple[str, ...]:
    match item:
        case Member():
            return "member", item.vm
        case ObjectHead():
            return "object", item.kind, item.name
        case Suspicion():
            return "suspicion", item.vm
        case QuarantineNote():
            return "note", item.fingerprint


def _combine(items: Iterable[RumourItem]) -> Rumours:
    chosen = list(items)
    return Rumours(
        members=tuple(item for item in chosen if isinstance(item, Member)),
        heads=tuple(item for item in chosen if isinstance(item, ObjectHead)),
        suspicions=tuple(item for item in chosen if isinstance(item, Suspicion)),
        notes=tuple(item for item in chosen if isinstance(item, QuarantineNote)),
    )
