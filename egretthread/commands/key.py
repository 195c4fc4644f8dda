"""`egretthread key`: makes, rotates and retires access keys."""

import dataclasses
import time
from typing import Annotated

import tomli_w
import typer

from egretthread import console, operators
from egretthread.commands import options, publishing

app = typer.Typer(no_args_is_help=True, help="Access keys.")

Organisation = Annotated[str, typer.Argument(help="Name of the organisation.")]
KeyName = Annotated[
    str,
    typer.Option("--name", help="Name of the key; by default from the time."),
]


@app.command()
@console.reports_errors
def make(
    organisation: Organisation,
    name: KeyName = "",
    as_json: options.AsJson = False,
) -> None:
    """Makes an access key: the token for the callers, and its hash.

    Add the hash to the organisation in the configuration and publish it. The
    token is not stored and cannot be shown again.
    """
    token, key = operators.make_access_key(organisation, name or time_name())
    hashed = dataclasses.asdict(key)
    table = {"name": organisation, "access_keys": [hashed]}
    toml = tomli_w.dumps({"organisations": [table]}).rstrip("\n")
    data = {"organisation": organisation, "token": token, "access_key": hashed}
    console.emit(as_json, data, f"token: {token}\n\n{toml}")


@app.command()
@console.reports_errors
def rotate(
    organisation: Organisation,
    log_url: options.LogUrl,
    name: KeyName = "",
    stream: options.Stream = options.DEFAULT_STREAM,
    author: options.Author = "",
    as_json: options.AsJson = False,
) -> None:
    """Makes an access key and publishes it; the newest older one stays valid.

    The token is not stored and cannot be shown again.
    """
    token, key = operators.make_access_key(organisation, name or time_name())

    def add_key(configuration: operators.Configuration):
        return operators.rotate_key(configuration, organisation, key)

    target = publishing.Target(log_url, stream, author)
    published = publishing.change(target, add_key)
    console.progress(f"published at offset {published.offset}")
    data = {
        "organisation": organisation,
        "token": token,
        "name": key.name,
        "offset": published.offset,
    }
    console.emit(as_json, data, token)


@app.command()
@console.reports_errors
def retire(
    organisation: Organisation,
    name: Annotated[str, typer.Argument(help="Name of the key.")],
    log_url: options.LogUrl,
    stream: options.Stream = options.DEFAULT_STREAM,
    author: options.Author = "",
    as_json: options.AsJson = False,
) -> None:
    """Removes an access key; it is refused from then on."""
    publishing.change_and_report(
        publishing.Target(log_url, stream, author),
        lambda c: operators.retire_key(c, organisation, name),
        as_json,
    )


def time_name() -> str:
    """Returns a key name made from the current time."""
    return time.strftime("k%Y%m%d-%H%M%S", time.gmtime())
