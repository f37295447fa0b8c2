"""For whom a request is served, or why it is refused."""

import pytest

from kingcuppond.organisations.identification import KeyPolicy, identify
from kingcuppond.organisations.keyring import make_keyring
from kingcuppond.organisations.organisation import Organisation, OrganisationTable
from kingcuppond.outcomes import Reason

SHOP = Organisation("shop", ("k1", "shared"))
KEYRING = make_keyring(OrganisationTable((SHOP, Organisation("other", ("shared",)))))
OPEN = KeyPolicy()
CLOSED = KeyPolicy(is_fail_closed=True, revoke_seconds=5.0)


@pytest.mark.parametrize("isolated_seconds", [None, 0.0, 60.0])
def test_a_known_key_is_served_also_while_isolated(isolated_seconds: float | None) -> None:
    assert identify(["k1"], KEYRING, OPEN, isolated_seconds).ok == SHOP


@pytest.mark.parametrize(
    "keys", [[], ["k9"], [""], ["k1", "k1"], ["k" * 10_000], ["k1\x7f"]], ids=len
)
def test_a_request_without_one_valid_key_is_unauthorized(keys: list[str]) -> None:
    assert identify(keys, KEYRING, OPEN, None).error.reason is Reason.UNAUTHORIZED


@pytest.mark.parametrize("keys", [["k9"], []], ids=["unknown key", "no key"])
@pytest.mark.parametrize("policy", [OPEN, CLOSED], ids=["open", "closed"])
def test_an_isolated_daemon_never_calls_a_key_invalid(policy: KeyPolicy, keys: list[str]) -> None:
    """Guards against 401 for a key that was added, or a route made public, during a cut."""
    assert identify(keys, KEYRING, policy, 1.0).error.reason is Reason.ISOLATED


def test_fail_closed_refuses_known_keys_once_a_removal_may_be_overdue() -> None:
    """Guards against a removed key that runs at a daemon which can't hear of its removal."""
    assert identify(["k1"], KEYRING, CLOSED, 4.9).is_ok()
    assert identify(["k1"], KEYRING, CLOSED, 5.0).error.reason is Reason.ISOLATED


def test_a_key_of_two_organisations_is_refused_for_the_moment() -> None:
    assert identify(["shared"], KEYRING, OPEN, None).error.reason is Reason.NOT_READY


def test_refusals_do_not_show_the_key() -> None:
    """Guards against keys in logs and in the bodies of refusals."""
    for key in ("secret-key", "shared"):
        assert key not in identify([key], KEYRING, OPEN, None).error.detail
