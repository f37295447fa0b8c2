"""Reading a JSON file with comments into an attrs class, with errors that name the line.

Comments are replaced by spaces, character by character, so that every position in the remaining
text is a position in the file.  ``json_source_map`` then gives the position of each key and value.
An invalid file yields one ``FileError`` with the path, the line, the key and what is allowed.
"""

import json
import re
from pathlib import Path
from typing import Any, Final, TypeVar, cast

import attrs
import json_source_map
import msgspec
from expression import Error, Ok, Result

from kingcuppond.settings.comments import blank_comments

MAX_FILE_BYTES: Final = 1_000_000
VALIDATION_ERROR_PATTERN: Final = re.compile(r"(?P<what>.*) - at `\$(?P<path>.*)`$", re.DOTALL)

T = TypeVar("T")


@attrs.frozen
class FileError:
    """An error in a file, and its position."""

    path: str
    line: int | None
    message: str

    def __str__(self) -> str:
        location = self.path if self.line is None else f"{self.path}:{self.line}"
        return f"{location}: {self.message}"


def read_file(path: Path, type_: type[T]) -> Result[T, FileError]:
    """Read one object of an attrs class from a file.

    :param path: the file, JSON with ``//`` and ``/* */`` comments
    :param type_: an attrs class; its validators run too
    :return: the object, or the file's error
    """
    try:
        text = path.read_bytes()[: MAX_FILE_BYTES + 1].decode()
    except (OSError, UnicodeDecodeError) as exc:
        reason = exc.strerror if isinstance(exc, OSError) else "is not UTF-8 text"
        return Error(FileError(str(path), None, f"cannot be read: {reason}"))
    if len(text) > MAX_FILE_BYTES:
        return Error(FileError(str(path), None, f"is larger than {MAX_FILE_BYTES} bytes"))
    return parse_text(text, str(path), type_)


def parse_text(text: str, path: str, type_: type[T]) -> Result[T, FileError]:
    """Parse the text of a file; see :func:`read_file`."""
    plain = blank_comments(text)
    try:
        raw = json.loads(plain, object_pairs_hook=_reject_duplicate_keys)
        entries = json_source_map.calculate(plain)
    except json.JSONDecodeError as exc:
        return Error(FileError(path, exc.lineno, f"is not JSON with comments: {exc.msg}"))
    except (ValueError, RecursionError) as exc:
        return Error(FileError(path, None, f"is not JSON with comments: {exc}"))
    if not isinstance(raw, dict):
        return Error(FileError(path, 1, "must hold one JSON object"))
    fields = {field.name: field for field in attrs.fields(cast(Any, type_))}
    for key in raw:
        if key not in fields:
            allowed = ", ".join(sorted(fields))
            line = entries[f"/{_escape(key)}"].key_start.line + 1
            return Error(FileError(path, line, f"unknown key {key!r}; allowed: {allowed}"))
    for name, field in fields.items():
        if field.default is attrs.NOTHING and name not in raw:
            return Error(FileError(path, 1, f"key {name!r} is missing"))
    return _convert(raw, entries, path, type_)


def _convert(
    raw: dict[str, Any], entries: dict[str, Any], path: str, type_: type[T]
) -> Result[T, FileError]:
    try:
        return Ok(msgspec.convert(raw, type_, strict=True))
    except msgspec.ValidationError as exc:
        match = VALIDATION_ERROR_PATTERN.match(str(exc))
        reason = match["what"] if match else str(exc)
        key = match["path"].lstrip(".").partition(".")[0] if match else ""
    # msgspec gives no path for errors of attrs validators, so these put the key before a colon.
    if not key and reason.partition(":")[0] in raw:
        key, _, reason = reason.partition(":")
    entry = entries.get(f"/{_escape(key)}")
    line = 1 if entry is None else entry.value_start.line + 1
    return Error(FileError(path, line, f"key {key!r}: {reason.strip()}"))


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) < len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"key {duplicate!r} appears twice")
    return result


def _escape(key: str) -> str:
    return key.replace("~", "~0").replace("/", "~1")
