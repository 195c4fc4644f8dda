"""`egretthread server`: drains backend servers and ends the drain."""

from typing import Annotated

import typer

from egretthread import console, operators
from egretthread.commands import options, publishing

app = typer.Typer(no_args_is_help=True, help="Backend servers.")

Name = Annotated[
    str, typer.Argument(help="Name of the agent of the backend server.")
]


@app.command()
@console.reports_errors
def drain(
    name: Name,
    log_url: options.LogUrl,
    stream: options.Stream = options.DEFAULT_STREAM,
    author: options.Author = "",
    wait: options.Wait = False,
    admin: options.Admin = [],  # noqa: B006
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.AsJson = False,
) -> None:
    """Drains a backend server: it gets no new tasks, running ones finish."""
    target = publishing.Target(
        log_url, stream, author, wait, tuple(admin), timeout_s
    )
    publishing.change_and_report(
        target, lambda c: operators.drain_server(c, name), as_json
    )


@app.command()
@console.reports_errors
def undrain(
    name: Name,
    log_url: options.LogUrl,
    stream: options.Stream = options.DEFAULT_STREAM,
    author: options.Author = "",
    wait: options.Wait = False,
    admin: options.Admin = [],  # noqa: B006
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.AsJson = False,
) -> None:
    """Lets a backend server take new tasks again."""
    target = publishing.Target(
        log_url, stream, author, wait, tuple(admin), timeout_s
    )
    publishing.change_and_report(
        target, lambda c: operators.undrain_server(c, name), as_json
    )
