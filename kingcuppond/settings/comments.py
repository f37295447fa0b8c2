"""JSON with comments: replaces the comments by spaces, so that all positions stay the same.

Imports next to nothing, since a starting daemon uses it before its libraries are imported.
"""

import re
from typing import Final

STRING_OR_COMMENT_PATTERN: Final = re.compile(r'"(?:\\.|[^"\\\n])*"|//[^\n]*|/\*.*?\*/', re.DOTALL)
NOT_NEWLINE_PATTERN: Final = re.compile(r"[^\n]")


def blank_comments(text: str) -> str:
    """Return the text with spaces in place of its comments."""
    return STRING_OR_COMMENT_PATTERN.sub(_blank_comment, text)


def _blank_comment(match: re.Match[str]) -> str:
    token = match.group()
    if token.startswith('"'):
        return token
    return NOT_NEWLINE_PATTERN.sub(" ", token)
