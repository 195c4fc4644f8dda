"""Output and exit codes of the command line."""

import datetime
import functools
import json
import sys
from collections.abc import Callable, Sequence

import typer

from egretthread import util

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3
EXIT_RACED = 4

EXIT_CODES_HELP = (
    "Exit codes: 0 success; 1 refused or failed; 2 usage error; 3 a service"
    " did not answer, try again; 4 another operator published first."
)

# Exit code of each error kind; all other kinds exit with EXIT_REFUSED.
EXIT_BY_KIND = {
    "append_unresolved": EXIT_UNAVAILABLE,
    "connection_lost": EXIT_UNAVAILABLE,
    "deadline_exceeded": EXIT_UNAVAILABLE,
    "log_unavailable": EXIT_UNAVAILABLE,
    "not_in_force": EXIT_UNAVAILABLE,
    "overloaded": EXIT_UNAVAILABLE,
    "process_unreachable": EXIT_UNAVAILABLE,
    "quota_exceeded": EXIT_UNAVAILABLE,
    "shard_unavailable": EXIT_UNAVAILABLE,
    "superseded": EXIT_UNAVAILABLE,
    "unavailable": EXIT_UNAVAILABLE,
    "append_conflict": EXIT_RACED,
    "configuration_raced": EXIT_RACED,
}


def emit(as_json: bool, data: object, text: str) -> None:
    """Prints a result to standard output, as JSON or as text."""
    typer.echo(json.dumps(data) if as_json else text)


def progress(text: str) -> None:
    """Prints one line of progress to standard error."""
    typer.echo(text, err=True)


def table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Returns rows of cells as text in aligned columns."""
    lines = [tuple(headers), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def utc_time(at_s: float) -> str:
    """Returns a Unix time as ISO 8601 text in UTC, without fractions."""
    moment = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def reports_errors(command: Callable) -> Callable:
    """Decorates a command to print typed errors and exit with their code."""

    @functools.wraps(command)
    def wrapper(*args, **kwargs):
        try:
            return command(*args, **kwargs)
        except util.EgretthreadError as error:
            print_error(error, kwargs.get("as_json", False))
            code = EXIT_BY_KIND.get(error.kind, EXIT_REFUSED)
            raise typer.Exit(code) from error

    return wrapper


def print_error(error: util.EgretthreadError, as_json: bool) -> None:
    """Prints an error to standard error, as JSON or as text."""
    if as_json:
        print(json.dumps(error_body(error)), file=sys.stderr)
        return
    faults = error_faults(error)
    typer.echo(f"error: {headline(error.message, faults)}", err=True)
    for fault in faults:
        typer.echo(f"  {fault}", err=True)
    typer.echo(f"remedy: {error.remedy}", err=True)


def headline(message: str, faults: list[str]) -> str:
    """Returns a message without the faults, which are printed below it."""
    if not faults:
        return message
    return message.partition(faults[0])[0].rstrip(": ")


def error_body(error: util.EgretthreadError) -> dict:
    """Returns the JSON object that describes an error."""
    body = {
        "kind": error.kind,
        "message": error.message,
        "remedy": error.remedy,
        "faults": error_faults(error),
    }
    may_have_started = getattr(error, "may_have_started", None)
    if may_have_started is not None:
        body["may_have_started"] = may_have_started
    return body


def error_faults(error: util.EgretthreadError) -> list[str]:
    """Returns the faults listed by an error, as lines of text."""
    return [str(fault) for fault in getattr(error, "faults", ())]
