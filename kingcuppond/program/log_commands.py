"""The commands that read log files: ``explain``, and the time line of files."""

import sys
from pathlib import Path
from typing import Annotated, Final

import typer

from kingcuppond.operators.logs import LogFile, explain, read_lines
from kingcuppond.program.output import EXIT_REFUSED, EXIT_USAGE, fail

STANDARD_INPUT: Final = Path("-")

LogOption = Annotated[
    list[Path], typer.Option("--log", help="Log file of one or more daemons; - reads the input.")
]


def explain_request(
    wanted: Annotated[str, typer.Argument(help="Id of a request or of a call.")],
    log: LogOption,
) -> None:
    """Tell the story of one request from the logs of all daemons.

    Example: kingcuppond explain 9c41d07be2a35f68 --log daemons.log
    """
    found = read_log_files(log)
    lines = explain(found.entries, wanted)
    if not lines:
        raise fail(f"no line of the logs names {wanted!r}", EXIT_REFUSED)
    print("\n".join(lines))


def read_log_files(paths: list[Path]) -> LogFile:
    """Read log files, or fail with one clear line."""
    lines: list[str] = []
    for path in paths:
        try:
            text = sys.stdin.read() if path == STANDARD_INPUT else path.read_text(errors="replace")
        except OSError as exc:
            raise fail(f"{path}: cannot be read: {exc.strerror}", EXIT_USAGE) from exc
        lines += text.splitlines()
    found = read_lines(lines)
    if not found.entries:
        raise fail(f"no log line of a daemon among {len(lines)} lines", EXIT_USAGE)
    return found
