"""Output of commands: text or JSON on success, one line and an exit code on failure."""

import sys
from typing import Any, Final

import msgspec
import typer

EXIT_REFUSED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNREACHABLE: Final = 3


def error_exit(message: str, exit_code: int) -> typer.Exit:
    """Print an error to standard error and return the exception that exits the program."""
    print(f"kingcuppond: {message}", file=sys.stderr)
    return typer.Exit(exit_code)


def print_output(value: Any, text: str, as_json: bool) -> None:
    """Print a value as JSON, or the text that describes it."""
    print(msgspec.json.encode(value).decode() if as_json else text)


def show_progress(done: int, total: int) -> None:
    """Print the progress of a long read to standard error, if that is a terminal."""
    if sys.stderr.isatty():
        end = "\n" if done == total else "\r"
        print(f"read {done} of {total} daemons", end=end, file=sys.stderr, flush=True)


def table(header: list[str], rows: list[list[str]]) -> str:
    """Format rows as a table with aligned columns."""
    widths = [max(len(row[i]) for row in [header, *rows]) for i in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in [header, *rows]
    ]
    return "\n".join(lines)
