"""An organisation as operators configure it."""

import attrs


@attrs.frozen
class Organisation:
    """An organisation whose requests are told apart by their keys.

    The keys are left out of the text form, which may end in a log.
    """

    name: str
    """Name, unique in the configuration; servers receive it."""

    keys: tuple[str, ...] = attrs.field(default=(), repr=False)
    """The keys that its requests may carry."""

    priority: int | None = None
    """Priority of its requests, or ``None`` for that of their class."""

    rate_per_second: float = 0.0
    """Requests per second that the whole fleet runs for it; 0 for no limit."""

    burst: float = 0.0
    """Requests beyond the rate that it may send at once."""


@attrs.frozen
class OrganisationTable:
    """All organisations of a configuration.

    :param unusable_keys: keys of entries that can't be used; nobody knows whose they are
    """

    organisations: tuple[Organisation, ...] = ()
    unusable_keys: frozenset[str] = attrs.field(default=frozenset(), repr=False)
