"""Which organisation holds a key."""

import pytest

from kingcuppond.organisations.keyring import is_wellformed, make_keyring
from kingcuppond.organisations.organisation import Organisation, OrganisationTable

FIRST = Organisation("first", ("k1", "k2"))
SECOND = Organisation("second", ("k3", "k1"))


def test_each_key_leads_to_its_holder() -> None:
    keyring = make_keyring(OrganisationTable((FIRST, SECOND)))
    assert keyring.find("k2") == FIRST
    assert keyring.find("k3") == SECOND
    assert keyring.find("k4") is None
    assert not keyring.holds("k4")


@pytest.mark.parametrize("key", ["k1", "left-out"])
def test_a_key_without_a_certain_holder_is_known_but_not_found(key: str) -> None:
    """Guards against a request that runs for the wrong organisation, or gets 401 for its key."""
    keyring = make_keyring(OrganisationTable((FIRST, SECOND), frozenset({"left-out"})))
    assert keyring.holds(key)
    assert keyring.find(key) is None


def test_a_key_that_is_listed_twice_by_one_organisation_is_its_own() -> None:
    """Guards against 503 for a valid key, as if two organisations held it."""
    organisation = Organisation("first", ("k1", "k1"))
    assert make_keyring(OrganisationTable((organisation,))).find("k1") == organisation


def test_keys_are_in_no_text_form() -> None:
    """Guards against keys in a log line or an error that shows a configuration."""
    table = OrganisationTable((FIRST,), frozenset({"left-out"}))
    text = f"{table!r} {make_keyring(table)!r}"
    assert not any(key in text for key in ("k1", "k2", "left-out"))


@pytest.mark.parametrize(
    ("key", "expected"),
    [("edev3nax7u", True), ("", False), ("a\x00", False), ("ñ", False), ("a" * 257, False)],
)
def test_form_of_a_key(key: str, expected: bool) -> None:
    assert is_wellformed(key) is expected
