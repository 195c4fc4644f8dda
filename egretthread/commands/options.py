"""Options shared by several commands."""

import pathlib
import sys
from typing import Annotated

import typer

from egretthread import operators

AsJson = Annotated[
    bool, typer.Option("--json", help="Print JSON for other programs.")
]
LogUrl = Annotated[
    str,
    typer.Option(
        "--log-url",
        envvar="EGRETTHREAD_LOG_URL",
        help="Base URL of the platform's log service.",
    ),
]
Stream = Annotated[
    str,
    typer.Option(
        "--stream",
        envvar="EGRETTHREAD_STREAM",
        help="Name of the configuration stream.",
    ),
]
Author = Annotated[
    str,
    typer.Option(
        "--author",
        envvar="EGRETTHREAD_AUTHOR",
        help="Name of the publisher; by default your login name.",
    ),
]
Admin = Annotated[
    list[str],
    typer.Option(
        "--admin",
        envvar="EGRETTHREAD_ADMIN",
        help="Admin address, host:port, of a process to wait for; may be"
        " repeated.",
    ),
]
Wait = Annotated[
    bool,
    typer.Option(
        "--wait",
        help="Wait until the configuration is in force at every --admin"
        " address.",
    ),
]
TimeoutS = Annotated[
    float,
    typer.Option("--timeout-s", min=0.0, help="Longest wait, in seconds."),
]
InputFile = Annotated[
    pathlib.Path,
    typer.Argument(help="A file, or - for standard input."),
]
Endpoints = Annotated[
    list[str],
    typer.Option(
        "--endpoint",
        envvar="EGRETTHREAD_ENDPOINTS",
        help="Base URL of an entry or of a load balancer; may be repeated.",
    ),
]
# Should be set in the environment, since other users can see the arguments of
# a command.
Token = Annotated[
    str,
    typer.Option(
        "--token",
        envvar="EGRETTHREAD_TOKEN",
        help="Access key, ORGANISATION.SECRET; better set in the environment.",
    ),
]

DEFAULT_STREAM = operators.DEFAULT_STREAM
DEFAULT_TIMEOUT_S = 10.0


def read_text(path: pathlib.Path) -> str:
    """Returns the text of a file, or of standard input for `-`.

    Raises:
        typer.BadParameter: The file can't be read as text.
    """
    if str(path) == "-":
        return sys.stdin.read()
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise typer.BadParameter(f"{path}: {error}") from error
