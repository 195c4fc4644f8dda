"""`egretthread state`: dumps of what running processes know."""

import asyncio
import json
from typing import Annotated

import typer

from egretthread import adminclient, console
from egretthread.commands import options

app = typer.Typer(no_args_is_help=True, help="States of running processes.")


@app.command()
@console.reports_errors
def dump(
    address: Annotated[
        str, typer.Argument(help="Admin address, host:port, of a process.")
    ],
    as_json: options.AsJson = False,
) -> None:
    """Prints the state of an entry or agent, as JSON."""
    state = asyncio.run(adminclient.fetch_state(address))
    console.emit(as_json, state, json.dumps(state, indent=2))


@app.callback()
def group() -> None:
    """Keeps `dump` a command of the group, though it is the only one."""
