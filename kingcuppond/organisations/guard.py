"""Tells whose request one is, by the configuration that this daemon has."""

from collections.abc import Callable, Sequence

import attrs
from expression import Ok, Result

from kingcuppond.configuration.objects import ClassOfWork
from kingcuppond.configuration.replica import Configuration
from kingcuppond.organisations.identification import KeyPolicy, identify
from kingcuppond.organisations.keyring import Keyring, make_keyring
from kingcuppond.organisations.organisation import Organisation, OrganisationTable
from kingcuppond.outcomes import NotRun


@attrs.define
class OrganisationGuard:
    """Identifies the organisations of requests.

    :param is_isolated: returns whether this daemon may have missed changes of the configuration
    :param now: monotonic clock, in seconds
    """

    configuration: Configuration
    policy: KeyPolicy
    is_isolated: Callable[[], bool]
    now: Callable[[], float]
    _table: OrganisationTable | None = None
    _keyring: Keyring | None = None
    _isolated_since: float | None = None

    def on_configuration_change(self) -> None:
        """Index the keys if they have changed; also called when the isolation begins or ends."""
        self._update_isolation()
        table = self.configuration.organisations
        if table == self._table:
            return
        self._table = table
        self._keyring = None if table is None else make_keyring(table)

    @property
    def needs_keys(self) -> bool:
        """Whether the configuration has organisations, so that requests carry keys."""
        return self._keyring is not None

    @property
    def withholds_keys(self) -> bool:
        """Whether servers don't get the key of a request.

        Where the settings have a bound on removed keys, there may be organisations in a version of
        the configuration that has not arrived yet.
        """
        return self.needs_keys or self.policy.revoke_seconds > 0.0

    def identify(
        self, keys: Sequence[str], class_of_work: ClassOfWork
    ) -> Result[Organisation | None, NotRun]:
        """Return the organisation of a request, ``None`` for one that needs none, or a refusal.

        :param keys: the values of the request's key header
        """
        if self._keyring is None or class_of_work.is_public:
            return Ok(None)
        identified = identify(keys, self._keyring, self.policy, self._isolated_seconds())
        return identified.map(lambda organisation: organisation)

    def _isolated_seconds(self) -> float | None:
        self._update_isolation()
        return None if self._isolated_since is None else self.now() - self._isolated_since

    def _update_isolation(self) -> None:
        if not self.is_isolated():
            self._isolated_since = None
        elif self._isolated_since is None:
            self._isolated_since = self.now()


def make_organisation_guard(
    configuration: Configuration,
    policy: KeyPolicy,
    is_isolated: Callable[[], bool],
    now: Callable[[], float],
) -> OrganisationGuard:
    """Make a guard that follows the configuration."""
    guard = OrganisationGuard(configuration, policy, is_isolated, now)
    configuration.on_change.append(guard.on_configuration_change)
    return guard
