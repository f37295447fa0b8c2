"""Tables in the platform's objects: names of columns, and a list of values for each row."""

from typing import Any, Final

import msgspec

MAX_COUNT: Final = 1_000_000
"""Larger counts and priorities count as this one, so that they fit in any message."""


class Table(msgspec.Struct):
    """A table; a value of null means omitted."""

    columns: list[str] = msgspec.field(name="Columns")
    rows: list[list[Any]] = msgspec.field(name="Rows")

    def record(self, row: list[Any]) -> dict[str, Any]:
        """Return the values of a row by column."""
        return {
            name: value for name, value in zip(self.columns, row, strict=False) if value is not None
        }

    def records(self) -> list[dict[str, Any]]:
        """Return all rows, each by column."""
        return [self.record(row) for row in self.rows]


def bounded(number: int) -> int:
    """Return a number that fits in any message."""
    return max(-MAX_COUNT, min(number, MAX_COUNT))


def text_of(value: Any) -> str:
    """Return a text, or an empty one for any other value."""
    return value if isinstance(value, str) else ""
