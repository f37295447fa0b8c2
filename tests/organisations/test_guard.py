"""The organisations of the configuration that is in force."""

from kingcuppond.clock import Clock
from kingcuppond.configuration.objects import ClassOfWork
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events.journal import Journal
from kingcuppond.organisations.guard import make_organisation_guard
from kingcuppond.organisations.identification import KeyPolicy
from kingcuppond.organisations.organisation import Organisation, OrganisationTable
from kingcuppond.outcomes import Reason
from tests.conftest import FakeTime

READ = ClassOfWork("read", "shop", "/read", 500)
PUBLIC = ClassOfWork("public", "shop", "/public", 500, is_public=True)
SHOP = Organisation("shop", ("k1",))


def test_without_organisations_no_request_needs_a_key(journal: Journal) -> None:
    """Guards against 401 on a deployment whose configuration has no organisations."""
    configuration = Configuration(journal)
    guard = make_organisation_guard(configuration, KeyPolicy(), lambda: False, lambda: 0.0)
    configuration.notify_changed()
    assert not guard.needs_keys
    assert guard.identify([], READ).ok is None


def test_an_empty_table_makes_all_keys_invalid(journal: Journal) -> None:
    configuration = Configuration(journal)
    guard = make_organisation_guard(configuration, KeyPolicy(), lambda: False, lambda: 0.0)
    configuration.organisations = OrganisationTable()
    configuration.notify_changed()
    assert guard.needs_keys
    assert guard.identify(["k1"], READ).error.reason is Reason.UNAUTHORIZED
    assert guard.identify(["k1"], PUBLIC).ok is None


def test_a_key_counts_from_the_change_that_adds_it_to_that_which_removes_it(
    journal: Journal,
) -> None:
    configuration = Configuration(journal)
    guard = make_organisation_guard(configuration, KeyPolicy(), lambda: False, lambda: 0.0)
    for table, is_valid in [
        (OrganisationTable((SHOP,)), True),
        (OrganisationTable((Organisation("shop", ("k2",)),)), False),
        (OrganisationTable((SHOP,)), True),
    ]:
        configuration.organisations = table
        configuration.notify_changed()
        assert guard.identify(["k1"], READ).is_ok() is is_valid


def test_isolation_counts_from_its_beginning(
    journal: Journal, clock: Clock, fake_time: FakeTime
) -> None:
    """Guards against a removed key that runs longer, as no request came when isolation began."""
    configuration = Configuration(journal, organisations=OrganisationTable((SHOP,)))
    isolated = False
    policy = KeyPolicy(is_fail_closed=True, revoke_seconds=5.0)
    guard = make_organisation_guard(configuration, policy, lambda: isolated, clock.monotonic)
    configuration.notify_changed()
    isolated = True
    configuration.notify_changed()
    fake_time.advance(5.0)
    assert guard.identify(["k1"], READ).error.reason is Reason.ISOLATED
    isolated = False
    assert guard.identify(["k1"], READ).ok == SHOP
