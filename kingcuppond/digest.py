"""Set digests for anti-entropy that can be updated incrementally.

The digest of a set is the exclusive or of its members' digests, so that a change of one member
costs two member digests and not a pass over the set.  The hash of a member must not be linear: with
a CRC, the same change at two members with names of equal length would cancel out.
"""

from hashlib import blake2b


def digest_of(*parts: object) -> int:
    """Return a 64-bit digest of the string forms of some values."""
    text = " ".join(str(part) for part in parts)
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())
