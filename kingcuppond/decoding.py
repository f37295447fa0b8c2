"""Decoding of JSON that others wrote: servers, operators, other daemons and other writers.

Content can't make decoding raise: values that are nested too deeply for the decoder are read as
``null``, so that they spoil only the entry that contains them, and whatever does not fit its type
is an error.
"""

import re
from typing import Annotated, Final, TypeVar

import msgspec
from expression import Error, Ok, Result

MAX_DEPTH: Final = 64
"""Deeper values are read as ``null`` if the text is too deep to be decoded as it is."""

TOKEN_PATTERN: Final = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)

MessageInt = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
"""An integer that fits in a message to another daemon."""

T = TypeVar("T")


def decode_json(body: bytes, type_: type[T]) -> Result[T, str]:
    """Decode JSON; the error says why it can't be decoded."""
    try:
        return Ok(msgspec.json.decode(body, type=type_))
    except RecursionError:
        pass
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return Error(str(exc))
    try:
        return Ok(msgspec.json.decode(cut_deep_values(body), type=type_))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return Error(str(exc))


def cut_deep_values(body: bytes) -> bytes:
    """Return JSON text in which arrays and objects below ``MAX_DEPTH`` levels are ``null``."""
    pieces = []
    depth = 0
    kept_to = 0
    for token in TOKEN_PATTERN.finditer(body):
        if token[0] in (b"[", b"{"):
            if depth == MAX_DEPTH:
                pieces += [body[kept_to : token.start()], b"null"]
            depth += 1
        elif token[0] in (b"]", b"}"):
            depth -= 1
            if depth == MAX_DEPTH:
                kept_to = token.end()
    return b"".join([*pieces, body[kept_to:]])
