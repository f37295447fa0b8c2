"""Commands that change configuration: classes of work, the measuring budget, data centres."""

import asyncio
import os
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Annotated, Final, TypeVar

import attrs
import typer
from expression import Result

from kingcuppond.configuration.objects import (
    BUDGET_NAME,
    CLASS_PREFIX,
    CONFIGURATION_KIND,
    DATA_CENTRE_PREFIX,
    ClassOfWork,
    ConfigurationObject,
    DataCentreState,
    MeasurementBudget,
    NativeClassOfWork,
    decode,
    encode,
)
from kingcuppond.operators.changes import Changed, ChangeError, change
from kingcuppond.operators.fleet_reader import find_members
from kingcuppond.platform.store import PlatformStore
from kingcuppond.program.output import (
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    error_exit,
    print_output,
    table,
)
from kingcuppond.settings.daemon import DaemonSettings, OperatorSettings
from kingcuppond.settings.jsonc import read_file
from kingcuppond.store.interface import Store

SETTINGS_VARIABLE: Final = "KINGCUPPOND_SETTINGS"

SettingsOption = Annotated[
    Path | None,
    typer.Option(
        "--settings",
        help=f"Settings file that names the platform; default: ${SETTINGS_VARIABLE}.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
VersionOption = Annotated[
    int | None, typer.Option("--if-version", help="Refuse unless the object has this version.")
]
FileArgument = Annotated[Path, typer.Argument(help="JSON with comments.")]
NameArgument = Annotated[str, typer.Argument()]

T = TypeVar("T")
O = TypeVar("O", bound=ConfigurationObject)  # noqa: E741


def with_store(settings: Path | None, work: Callable[[Store], Awaitable[T]]) -> T:
    """Run asynchronous work with a client of the store that the settings name."""
    address = _platform_address(settings)

    async def run() -> T:
        store = PlatformStore(address)
        try:
            return await work(store)
        finally:
            await store.close()

    return asyncio.run(run())


def class_apply(
    file: FileArgument,
    settings: SettingsOption = None,
    if_version: VersionOption = None,
    as_json: JsonOption = False,
) -> None:
    """Create or change a class of work from a file.

    Example: kingcuppond class apply booking.json
    """
    item = _read(file, NativeClassOfWork)
    _change(settings, CLASS_PREFIX + item.name, encode(item), if_version, as_json)


def class_list(settings: SettingsOption = None, as_json: JsonOption = False) -> None:
    """List all classes of work with their targets.

    Example: kingcuppond class list
    """
    classes = read_all(settings, CLASS_PREFIX, ClassOfWork)
    rows = [
        [
            item.name,
            item.service,
            item.method,
            item.path_prefix,
            f"{item.answer_within_ms} ms",
            "never twice" if item.at_most_once else "",
        ]
        for item in classes
    ]
    header = ["class", "service", "method", "path", "answer within", ""]
    print_output(classes, table(header, rows), as_json)


def class_show(
    name: NameArgument, settings: SettingsOption = None, as_json: JsonOption = False
) -> None:
    """Show one class of work and its version.

    Example: kingcuppond class show booking
    """
    read = with_store(settings, lambda store: store.get(CONFIGURATION_KIND, CLASS_PREFIX + name))
    if read.is_error():
        raise error_exit(f"platform: {read.error.message}", EXIT_UNREACHABLE)
    if read.ok is None:
        raise error_exit(f"there is no class {name}", EXIT_REFUSED)
    item = _decode(CLASS_PREFIX + name, read.ok.body, ClassOfWork)
    lines = [f"{key}: {value}" for key, value in attrs.asdict(item).items()]
    print_output(item, "\n".join([*lines, f"version: {read.ok.version}"]), as_json)


def class_remove(
    name: NameArgument,
    settings: SettingsOption = None,
    if_version: VersionOption = None,
    as_json: JsonOption = False,
) -> None:
    """Remove a class of work.

    Example: kingcuppond class remove booking
    """
    _change(settings, CLASS_PREFIX + name, None, if_version, as_json)


def budget_set(
    file: FileArgument,
    settings: SettingsOption = None,
    if_version: VersionOption = None,
    as_json: JsonOption = False,
) -> None:
    """Set what measuring the load may cost each daemon in any second.

    Example: kingcuppond budget set budget.json
    """
    _change(settings, BUDGET_NAME, encode(_read(file, MeasurementBudget)), if_version, as_json)


def budget_show(settings: SettingsOption = None, as_json: JsonOption = False) -> None:
    """Show what measuring the load may cost.

    Example: kingcuppond budget show
    """
    found = read_all(settings, BUDGET_NAME, MeasurementBudget)
    budget = found[0] if found else MeasurementBudget()
    print_output(budget, f"bytes per second: {budget.bytes_per_second}", as_json)


def data_centre_out(
    name: NameArgument, settings: SettingsOption = None, as_json: JsonOption = False
) -> None:
    """Take a data centre out of service: it gets no new work.

    Example: kingcuppond data-centre out montevideo-2
    """
    _set_data_centre(name, DataCentreState(name, "out"), settings, as_json)


def data_centre_in(
    name: NameArgument, settings: SettingsOption = None, as_json: JsonOption = False
) -> None:
    """Take a data centre back into service.

    Example: kingcuppond data-centre in montevideo-2
    """
    _set_data_centre(name, DataCentreState(name, "in"), settings, as_json)


def data_centre_list(settings: SettingsOption = None, as_json: JsonOption = False) -> None:
    """List the data centres, and whether each is in service.

    Example: kingcuppond data-centre list
    """
    states = {item.name: item for item in read_all(settings, DATA_CENTRE_PREFIX, DataCentreState)}
    for name in _known_data_centres(settings):
        states.setdefault(name, DataCentreState(name))
    ordered = [states[name] for name in sorted(states)]
    rows = [[item.name, item.state] for item in ordered]
    print_output(ordered, table(["data centre", "state"], rows), as_json)


def _set_data_centre(
    name: str, state: DataCentreState, settings: Path | None, as_json: bool
) -> None:
    known = {item.name for item in read_all(settings, DATA_CENTRE_PREFIX, DataCentreState)}
    if name not in known:
        known |= _known_data_centres(settings)
    if name not in known:
        names = ", ".join(sorted(known)) or "none"
        raise error_exit(f"no data centre {name!r}; known: {names}", EXIT_REFUSED)
    _change(settings, DATA_CENTRE_PREFIX + name, encode(state), None, as_json)


def _known_data_centres(settings: Path | None) -> set[str]:
    found = with_store(settings, lambda store: find_members(store, Random()))
    return {member.data_centre for member in found.default_value([])}


def _platform_address(settings: Path | None) -> str:
    path = settings or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    if path == Path():
        raise error_exit(f"name a settings file with --settings or {SETTINGS_VARIABLE}", EXIT_USAGE)
    operator = read_file(path, OperatorSettings)
    if operator.is_ok():
        return operator.ok.platform_address
    daemon = read_file(path, DaemonSettings)
    if daemon.is_ok():
        return daemon.ok.platform_address
    raise error_exit(str(operator.error), EXIT_USAGE)


def _read(file: Path, type_: type[T]) -> T:
    read = read_file(file, type_)
    if read.is_error():
        raise error_exit(str(read.error), EXIT_USAGE)
    return read.ok


def _decode(name: str, body: bytes, type_: type[O]) -> O:
    decoded = decode(name, body)
    if decoded.is_error() or not isinstance(decoded.ok, type_):
        raise error_exit(f"{name} in the platform's store can't be decoded", EXIT_REFUSED)
    return decoded.ok


def read_all(settings: Path | None, prefix: str, type_: type[O]) -> list[O]:
    async def read(store: Store) -> list[O] | str:
        listed = await store.list(CONFIGURATION_KIND)
        if listed.is_error():
            return listed.error.message
        found = []
        for item in listed.ok.items:
            if item.name.startswith(prefix):
                found.append(_decode(item.name, item.body, type_))
        return found

    result = with_store(settings, read)
    if isinstance(result, str):
        raise error_exit(f"platform: {result}", EXIT_UNREACHABLE)
    return result


def _change(
    settings: Path | None,
    name: str,
    body: bytes | None,
    if_version: int | None,
    as_json: bool,
) -> None:
    async def work(store: Store) -> Result[Changed, ChangeError]:
        return await change(store, name, body, if_version)

    changed = with_store(settings, work)
    if changed.is_error():
        raise error_exit(changed.error.message, changed.error.exit_code)
    result = changed.ok
    text = f"{name}: accepted as version {result.version}"
    if not result.is_new:
        text = f"{name}: unchanged; it has had this content since version {result.version}"
    print_output(result, text, as_json)
