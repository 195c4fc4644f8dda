"""`egretthread settings`: checks the settings files of processes."""

import enum
import pathlib
from typing import Annotated

import typer

from egretthread import console, settings
from egretthread.commands import options

app = typer.Typer(no_args_is_help=True, help="Settings files of processes.")


class Role(enum.StrEnum):
    """The processes that have settings."""

    ENTRY = "entry"
    AGENT = "agent"


LOADERS = {Role.ENTRY: settings.load_entry, Role.AGENT: settings.load_agent}


@app.command()
@console.reports_errors
def check(
    role: Annotated[Role, typer.Argument(help="Role of the process.")],
    file: Annotated[pathlib.Path, typer.Argument(help="TOML file.")],
    as_json: options.AsJson = False,
) -> None:
    """Checks a settings file and lists all faults."""
    loaded = LOADERS[role](file)
    data = {"faults": [], "name": loaded.name, "role": role.value}
    console.emit(as_json, data, f"no faults: {role} {loaded.name}")


@app.callback()
def group() -> None:
    """Settings files of processes.

    Without this callback, Typer would merge the only command `check` with
    the group.
    """
