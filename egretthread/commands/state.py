"""`egretthread state`: dumps the state of running processes."""

import asyncio
import json
from typing import Annotated

import typer

from egretthread import adminclient, console
from egretthread.commands import options

app = typer.Typer(no_args_is_help=True, help="State of running processes.")


@app.command()
@console.reports_errors
def dump(
    address: Annotated[
        str, typer.Argument(help="Admin address, host:port, of a process.")
    ],
    as_json: options.AsJson = False,
) -> None:
    """Prints the state of an entry or agent as JSON."""
    state = asyncio.run(adminclient.fetch_state(address))
    console.emit(as_json, state, json.dumps(state, indent=2))


@app.callback()
def group() -> None:
    """State of running processes.

    Without this callback, Typer would merge the only command `dump` with
    the group.
    """
