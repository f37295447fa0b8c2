"""Commands that read log files: ``explain``, and the reader for ``timeline --log``."""

import sys
from pathlib import Path
from typing import Annotated, Final

import typer

from kingcuppond.operators.logs import LogFile, explain, read_lines
from kingcuppond.program.output import EXIT_REFUSED, EXIT_USAGE, error_exit

STANDARD_INPUT: Final = Path("-")

LogOption = Annotated[
    list[Path],
    typer.Option("--log", help="Log file of one or more daemons; - reads standard input."),
]


def explain_request(
    wanted: Annotated[str, typer.Argument(help="Id of a request or of a call.")],
    log: LogOption,
) -> None:
    """Explain what happened to one request, from the logs of all daemons.

    Example: kingcuppond explain 9c41d07be2a35f68 --log daemons.log
    """
    found = read_log_files(log)
    lines = explain(found.entries, wanted)
    if not lines:
        raise error_exit(f"no log line has the request or call id {wanted!r}", EXIT_REFUSED)
    print("\n".join(lines))


def read_log_files(paths: list[Path]) -> LogFile:
    """Read log files, or exit with an error if they hold no line of a daemon."""
    lines: list[str] = []
    for path in paths:
        try:
            text = sys.stdin.read() if path == STANDARD_INPUT else path.read_text(errors="replace")
        except OSError as exc:
            raise error_exit(f"{path}: cannot be read: {exc.strerror}", EXIT_USAGE) from exc
        lines += text.splitlines()
    found = read_lines(lines)
    if not found.entries:
        raise error_exit(f"none of the {len(lines)} lines is a log line of a daemon", EXIT_USAGE)
    return found
