"""Fingerprints, which tell whether two requests are the same.

They are the same if their callers' service, host, method, target and whole body are.  The start of
a body is held in memory where the request arrives; a longer body is streamed, so that the rest is
known only where it has been read to its end.  Until then the fingerprint is *partial*: it covers
the start, and the complete fingerprint is the partial one with a digest of the rest appended.
"""

from hashlib import blake2b
from typing import Final

PARTIAL_END: Final = "-"
"""The last character of partial fingerprints, which no digest contains."""


def fingerprint(
    caller_service: str, host: str, method: str, target: str, start: bytes, is_partial: bool = False
) -> str:
    """Return the fingerprint of a request.

    :param caller_service: service of the VM where the request originated
    :param host: host name in lower case
    :param target: path and query
    :param start: the body, or the part of it that is held in memory
    :param is_partial: whether the body has more bytes
    """
    digest = blake2b(digest_size=12)
    texts = (caller_service, host, method, target)
    for part in (*(text.encode("utf-8", "surrogateescape") for text in texts), start):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest() + (PARTIAL_END if is_partial else "")


def is_partial(fingerprint_: str) -> bool:
    """Return whether a fingerprint covers only the start of a body."""
    return fingerprint_.endswith(PARTIAL_END)
