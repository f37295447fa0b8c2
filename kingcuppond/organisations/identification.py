"""Decides for which organisation a request is served, or why it is refused.

The load is clients that nobody controls: requests without a key, with a wrong one or a withdrawn
one, beside those of organisations whose key has just been added or removed.  A refusal with 401
tells the client that its key is wrong, so it needs a daemon that knows the keys in force; one that
may have missed a change of them refuses for the moment only.
"""

from collections.abc import Sequence
from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.organisations.keyring import Keyring, is_wellformed
from kingcuppond.organisations.organisation import Organisation
from kingcuppond.outcomes import NotRun, Reason

NO_VALID_KEY: Final = NotRun(Reason.UNAUTHORIZED, "the request carries no valid key")
UNKNOWN_WHILE_ISOLATED: Final = NotRun(
    Reason.ISOLATED, "no key that is known here, and this daemon may have missed a change"
)
CLOSED: Final = NotRun(
    Reason.ISOLATED, "this daemon has been cut off for longer than a key may outlast its removal"
)
AMBIGUOUS: Final = NotRun(Reason.NOT_READY, "the configuration does not say whose key this is")


@attrs.frozen
class KeyPolicy:
    """What a daemon does that may have missed a change of the keys.

    :param is_fail_closed: whether it refuses known keys too, once a removal could have been missed
    :param revoke_seconds: time within which a removed key must be refused
    """

    is_fail_closed: bool = False
    revoke_seconds: float = 0.0


def identify(
    keys: Sequence[str], keyring: Keyring, policy: KeyPolicy, isolated_seconds: float | None
) -> Result[Organisation, NotRun]:
    """Return the organisation of a request that needs a key, or why the request is refused.

    :param keys: the values of the request's key header
    :param isolated_seconds: for how long this daemon has been isolated, ``None`` if it is not
    """
    unknown = NO_VALID_KEY if isolated_seconds is None else UNKNOWN_WHILE_ISOLATED
    if len(keys) != 1 or not is_wellformed(keys[0]):
        # A version that this daemon has missed may have made the route public.
        return Error(unknown)
    if _is_closed(policy, isolated_seconds):
        return Error(CLOSED)
    organisation = keyring.find(keys[0])
    if organisation is not None:
        return Ok(organisation)
    if keyring.holds(keys[0]):
        return Error(AMBIGUOUS)
    return Error(unknown)


def _is_closed(policy: KeyPolicy, isolated_seconds: float | None) -> bool:
    if isolated_seconds is None or not policy.is_fail_closed:
        return False
    return isolated_seconds >= policy.revoke_seconds
