"""`egretthread zone`: withdraws and restores availability zones."""

from typing import Annotated

import typer

from egretthread import console, operators
from egretthread.commands import options, publishing

app = typer.Typer(no_args_is_help=True, help="Availability zones.")

Name = Annotated[str, typer.Argument(help="Name of the availability zone.")]


@app.command()
@console.reports_errors
def withdraw(
    name: Name,
    log_url: options.LogUrl,
    stream: options.Stream = options.DEFAULT_STREAM,
    author: options.Author = "",
    wait: options.Wait = False,
    admin: options.Admin = [],  # noqa: B006
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.AsJson = False,
) -> None:
    """Takes an availability zone out of service: no more tasks start there.

    The leases of the zone's agents expire within seconds after the change is
    in force at the entries.
    """
    target = publishing.Target(
        log_url, stream, author, wait, tuple(admin), timeout_s
    )
    publishing.change_and_report(
        target, lambda c: operators.withdraw_zone(c, name), as_json
    )


@app.command()
@console.reports_errors
def restore(
    name: Name,
    log_url: options.LogUrl,
    stream: options.Stream = options.DEFAULT_STREAM,
    author: options.Author = "",
    wait: options.Wait = False,
    admin: options.Admin = [],  # noqa: B006
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.AsJson = False,
) -> None:
    """Puts an availability zone back into service."""
    target = publishing.Target(
        log_url, stream, author, wait, tuple(admin), timeout_s
    )
    publishing.change_and_report(
        target, lambda c: operators.restore_zone(c, name), as_json
    )
