"""`egretthread settings`: check the settings files of the processes."""

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
    role: Annotated[Role, typer.Argument(help="Which process's settings.")],
    file: Annotated[pathlib.Path, typer.Argument(help="TOML file.")],
    as_json: options.AsJson = False,
) -> None:
    """Checks a settings file and lists every fault."""
    loaded = LOADERS[role](file)
    data = {"faults": [], "name": loaded.name, "role": role.value}
    console.emit(as_json, data, f"no faults: {role} {loaded.name}")


@app.callback()
def group() -> None:
    """Keeps `check` a command of the group, though it is the only one."""
