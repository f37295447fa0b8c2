"""The commands that read the fleet: status, report, timeline and events."""

from datetime import UTC, datetime
from pathlib import Path
from random import Random
from typing import Annotated, TypeVar

import typer

from kingcuppond.clock import stamp_to_ms
from kingcuppond.configuration.objects import CLASS_PREFIX, ClassOfWork
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Entry
from kingcuppond.membership.messages import Member
from kingcuppond.operators.fleet_reader import FleetPages, ReadError, find_members, read_fleet
from kingcuppond.operators.messages import CountsPage, DaemonStatus, EventsPage
from kingcuppond.operators.report import add_counts, describe, make_report
from kingcuppond.program.log_commands import read_log_files
from kingcuppond.program.operator_commands import (
    JsonOption,
    SettingsOption,
    read_all,
    with_store,
)
from kingcuppond.program.output import (
    EXIT_UNREACHABLE,
    error_exit,
    print_output,
    show_progress,
    table,
)
from kingcuppond.store.era import format_version
from kingcuppond.store.interface import Store

T = TypeVar("T")


def status(settings: SettingsOption = None, as_json: JsonOption = False) -> None:
    """Show what each daemon sees: its server, its gate, the members, requests that are held.

    Example: kingcuppond status
    """
    fleet = _read_pages(settings, "/v1/status", DaemonStatus)
    pages = sorted(fleet.pages, key=lambda page: page.vm)
    rows = [_status_row(page) for page in pages]
    header = [
        "vm",
        "data centre",
        "service",
        "server",
        "running",
        "limit",
        "members",
        "version",
        "",
    ]
    lines = [table(header, rows)]
    lines += [f"{vm}: does not answer" for vm in fleet.silent]
    held = {note.fingerprint: note for page in pages for note in page.held}
    for note in held.values():
        servers = ", ".join(note.servers)
        lines.append(f"held: request {note.fingerprint} took down the servers beside {servers}")
    print_output(fleet, "\n".join(lines), as_json)


def report(settings: SettingsOption = None, as_json: JsonOption = False) -> None:
    """Show the target of each class and how far it was met since the daemons started.

    Example: kingcuppond report
    """
    classes = read_all(settings, CLASS_PREFIX, ClassOfWork)
    fleet = _read_pages(settings, "/v1/counts", CountsPage)
    reports = []
    for item in classes:
        counts = [c for page in fleet.pages for c in page.counts if c.name == item.name]
        reports.append(make_report(item, add_counts(item.name, counts)))
    lines = [describe(one) for one in reports]
    if fleet.silent:
        lines.append("not counted, since they do not answer: " + ", ".join(fleet.silent))
    print_output(reports, "\n".join(lines), as_json)


def timeline(
    settings: SettingsOption = None,
    request: Annotated[str, typer.Option(help="Only events of this call or request.")] = "",
    server: Annotated[str, typer.Option(help="Only events that concern this VM.")] = "",
    data_centre: Annotated[str, typer.Option(help="Only events of this data centre.")] = "",
    log: Annotated[
        list[Path] | None,
        typer.Option(
            "--log", help="Read log files instead of the daemons; - reads standard input."
        ),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Show the events of all daemons in causal order.

    Example: kingcuppond timeline --server montevideo-1-booking-2
    """
    if log:
        events, silent = read_log_files(log).entries, []
    else:
        fleet = _read_pages(settings, "/v1/events", EventsPage, data_centre)
        events = [entry for page in fleet.pages for entry in page.events]
        silent = fleet.silent
    wanted = [word for word in (request, server) if word]
    entries = [entry for entry in events if all(_concerns(entry, word) for word in wanted)]
    _show_entries(entries, silent, as_json)


def events(
    settings: SettingsOption = None,
    number: Annotated[int, typer.Option(help="Only events of this number.")] = 0,
    show_catalogue: Annotated[
        bool, typer.Option("--catalogue", help="List all event numbers with their meanings.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Show the latest events by number, or what the numbers mean.

    Example: kingcuppond events --number 507
    """
    if show_catalogue:
        kinds = list(catalogue.ALL.values())
        rows = [[f"E{kind.number}", kind.level, kind.template] for kind in kinds]
        print_output(kinds, table(["event", "level", "text"], rows), as_json)
        return
    fleet = _read_pages(settings, "/v1/events", EventsPage)
    entries = [
        entry for page in fleet.pages for entry in page.events if number in (0, entry.number)
    ]
    _show_entries(entries, fleet.silent, as_json)


def _read_pages(
    settings: Path | None, path: str, type_: type[T], data_centre: str = ""
) -> FleetPages[T]:
    async def read(store: Store) -> FleetPages[T] | ReadError:
        found = await find_members(store, Random())
        if found.is_error():
            return found.error
        members: list[Member] = [
            member for member in found.ok if data_centre in ("", member.data_centre)
        ]
        return await read_fleet(members, path, type_, show_progress)

    result = with_store(settings, read)
    if isinstance(result, ReadError):
        raise error_exit(result.message, EXIT_UNREACHABLE)
    return result


def _status_row(page: DaemonStatus) -> list[str]:
    states = [member.condition for member in page.members]
    notes = []
    if page.is_isolated:
        notes.append("cut off")
    if page.data_centre in page.data_centres_out:
        notes.append("out of service")
    return [
        page.vm,
        page.data_centre,
        page.service,
        page.server_state,
        str(page.in_flight),
        f"{page.limit}/{page.slots}",
        f"{states.count('alive')}/{len(states)}",
        format_version(page.configuration_version),
        ", ".join(notes),
    ]


def _concerns(entry: Entry, word: str) -> bool:
    return word in (entry.vm, entry.call, entry.request) or word in entry.text


def _show_entries(entries: list[Entry], silent: list[str], as_json: bool) -> None:
    ordered = sorted(entries, key=lambda entry: (entry.stamp, entry.vm))
    rows = [[_time(entry.stamp), entry.vm, f"E{entry.number}", entry.text] for entry in ordered]
    lines = [table(["time", "vm", "event", "text"], rows)]
    lines += [f"{vm}: does not answer" for vm in silent]
    print_output(ordered, "\n".join(lines), as_json)


def _time(stamp: int) -> str:
    moment = datetime.fromtimestamp(stamp_to_ms(stamp) / 1000, UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]
