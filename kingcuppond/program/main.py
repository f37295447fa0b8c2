"""The program ``kingcuppond`` and its commands.

A daemon starts on each VM, and again after each failure, so it imports nothing that only the
operators' commands need.
"""

import sys

import typer

from kingcuppond import VERSION
from kingcuppond.program import daemon_command

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="A load balancer for servers whose load shifts in milliseconds.",
)


def _show_version(wanted: bool) -> None:
    if wanted:
        print(f"kingcuppond {VERSION}")
        raise typer.Exit


@app.callback()
def root(
    version: bool = typer.Option(
        False, "--version", callback=_show_version, is_eager=True, help="Show the version."
    ),
) -> None:
    """A load balancer for servers whose load shifts in milliseconds."""


def _group(name: str, text: str) -> typer.Typer:
    group = typer.Typer(no_args_is_help=True, rich_markup_mode=None, help=text)
    app.add_typer(group, name=name)
    return group


def _add_commands() -> None:
    from kingcuppond.program import fleet_commands, log_commands, operator_commands

    classes = _group("class", "Classes of work and their targets.")
    classes.command("apply")(operator_commands.class_apply)
    classes.command("list")(operator_commands.class_list)
    classes.command("show")(operator_commands.class_show)
    classes.command("remove")(operator_commands.class_remove)
    budget = _group("budget", "What measuring the load may cost.")
    budget.command("set")(operator_commands.budget_set)
    budget.command("show")(operator_commands.budget_show)
    data_centres = _group("data-centre", "Take data centres out of service and back in.")
    data_centres.command("out")(operator_commands.data_centre_out)
    data_centres.command("in")(operator_commands.data_centre_in)
    data_centres.command("list")(operator_commands.data_centre_list)
    for command in (
        fleet_commands.status,
        fleet_commands.report,
        fleet_commands.timeline,
        fleet_commands.events,
    ):
        app.command()(command)
    app.command("explain")(log_commands.explain_request)


app.command()(daemon_command.daemon)
_group("settings", "Settings files.").command("check")(daemon_command.check)


def main() -> None:
    """Run the program."""
    if sys.argv[1:2] != ["daemon"]:
        _add_commands()
    app()
