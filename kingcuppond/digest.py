"""Digests that can be combined by exclusive or.

The digest of a set is the exclusive or of its members' digests, so that one change costs two of
them and not a pass over the set.  The hash of a member must not be linear: with a CRC, the same
change at two members with names of the same length would cancel out.
"""

from hashlib import blake2b


def digest_of(*parts: object) -> int:
    """Return a 64-bit digest of a few values."""
    text = " ".join(str(part) for part in parts)
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())
