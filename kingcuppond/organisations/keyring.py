"""Finds the organisation that holds a key.

The load is one look-up for each request, with keys chosen by clients that may try to guess one.
The table is indexed by a keyed hash of the key, so the time of a look-up depends neither on the
number of organisations nor on how many characters of a guess are right.
"""

import secrets
from hashlib import blake2b
from typing import Final

import attrs

from kingcuppond.organisations.organisation import Organisation, OrganisationTable

MAX_KEY_BYTES: Final = 256
DIGEST_BYTES: Final = 16
SECRET_BYTES: Final = 32


@attrs.frozen
class Keyring:
    """The keys of all organisations.

    :param holders_by_digest: the organisation that holds a key, by the key's digest, or ``None``
        if the configuration contains the key but does not say whose it is
    """

    secret: bytes = attrs.field(repr=False)
    holders_by_digest: dict[bytes, Organisation | None] = attrs.field(repr=False)

    def holds(self, key: str) -> bool:
        """Return whether the configuration contains a key."""
        return self._digest(key) in self.holders_by_digest

    def find(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key, or ``None``."""
        return self.holders_by_digest.get(self._digest(key))

    def _digest(self, key: str) -> bytes:
        return _digest(self.secret, key)


def make_keyring(table: OrganisationTable, secret: bytes | None = None) -> Keyring:
    """Index the keys of all organisations.

    A key that two organisations hold has no holder, since either could be the wrong one.

    :param secret: key of the hash; a random one by default
    """
    secret = secret or secrets.token_bytes(SECRET_BYTES)
    holders_by_digest: dict[bytes, Organisation | None] = {}
    for organisation in table.organisations:
        for key in set(organisation.keys):
            digest = _digest(secret, key)
            is_shared = digest in holders_by_digest
            holders_by_digest[digest] = None if is_shared else organisation
    for key in table.unusable_keys:
        holders_by_digest[_digest(secret, key)] = None
    return Keyring(secret, holders_by_digest)


def is_wellformed(key: str) -> bool:
    """Return whether a header's value can be a key at all."""
    return 0 < len(key) <= MAX_KEY_BYTES and key.isascii() and key.isprintable()


def _digest(secret: bytes, key: str) -> bytes:
    encoded = key.encode("utf-8", "surrogateescape")
    return blake2b(encoded, key=secret, digest_size=DIGEST_BYTES).digest()
