"""Digests of idempotency keys, which belong to the organisation that sent them.

A key means something to the callers of one organisation only, and to all callers where there are no
organisations: a repeat may arrive at any VM, so that the service there can't be a part of it.

The digest of an organisation's key begins with that of the same key without one, its *stem*.  So
both are in one shard, and claims that were made before keys belonged to organisations, by an
earlier version or an earlier configuration, still hold them.
"""

from hashlib import blake2b
from typing import Final

STEM_BYTES: Final = 16
ORGANISATION_BYTES: Final = 8


def key_digest(class_name: str, key: str, organisation: str = "") -> bytes:
    """Return the digest of a caller's idempotency key.

    :param organisation: name of the organisation that the request is served for, empty if there is
        none
    """
    stem = blake2b(_encode(f"{class_name}\0{key}"), digest_size=STEM_BYTES).digest()
    if not organisation:
        return stem
    return stem + blake2b(_encode(organisation), digest_size=ORGANISATION_BYTES).digest()


def stem_of(digest: bytes) -> bytes:
    """Return the digest of the same key without an organisation."""
    return digest[:STEM_BYTES]


def is_of_organisation(digest: bytes) -> bool:
    """Return whether a key belongs to an organisation."""
    return len(digest) > STEM_BYTES


def _encode(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")
