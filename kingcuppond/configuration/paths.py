"""Comparison of paths that may be percent-encoded in different ways.

A prefix in the configuration and the path of a request may spell the same path differently:
``/devoluci%C3%B3n/`` and ``/devolución/``, or ``%c3`` and ``%C3``.  Both are compared in one normal
form.  In it, an encoded slash still differs from a slash that separates segments, and an encoded
percent sign from the start of an escape.
"""

import re
from typing import Final
from urllib.parse import unquote

KEPT_ESCAPE_PATTERN: Final = re.compile(r"%(2F|25)", re.IGNORECASE)


def normal_path(path: str) -> str:
    """Return the form of a path, or of a prefix that ends with a slash, that is compared."""
    if "%" not in path:
        return path
    kept = KEPT_ESCAPE_PATTERN.sub(lambda match: f"%25{match[1].upper()}", path)
    return unquote(kept, errors="surrogateescape")


def has_dot_segments(path: str) -> bool:
    """Return whether a path has ``.`` or ``..`` segments, in whatever way they are encoded."""
    return any(segment in (".", "..") for segment in unquote(path).split("/"))
