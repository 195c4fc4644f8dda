"""`egretthread request`: sends single requests as a caller."""

import json
from typing import Annotated

import typer

from egretthread import client, console, util
from egretthread.commands import job, options
from egretthread.outcome import OutcomeKind

app = typer.Typer(
    no_args_is_help=True, help="Single requests, one task without a job key."
)

REQUEST_KEYS = (
    "service",
    "payload",
    "deadline_s",
    "idempotent",
    "memory_bytes",
    "run_s",
)


@app.callback()
def group() -> None:
    """Single requests, one task without a job key."""


@app.command()
@console.reports_errors
def submit(
    file: options.InputFile,
    endpoint: options.Endpoints,
    token: options.Token,
    idempotent: Annotated[
        bool,
        typer.Option(
            "--idempotent",
            help="The task can run more than once without harm: retry it where"
            " needed.",
        ),
    ] = False,
    as_json: options.AsJson = False,
) -> None:
    """Sends the request in a JSON file and prints its outcome.

    The file holds `service`, `payload` and, optionally, `deadline_s`,
    `idempotent`, `memory_bytes` and `run_s`.
    """
    single = read_request(options.read_text(file), idempotent)
    outcome = job.call(endpoint, token, lambda c: c.request(single))
    data = outcome.to_json()
    if outcome.kind is OutcomeKind.DONE:
        data["result"] = json.loads(outcome.result)
    text = f"{outcome.kind} {outcome.result or outcome.reason}"
    console.emit(as_json, data, text)
    if outcome.kind is not OutcomeKind.DONE:
        raise typer.Exit(console.EXIT_REFUSED)


def read_request(text: str, idempotent: bool) -> client.SingleRequest:
    """Returns the single request in JSON text.

    Args:
        text: The text of the request file.
        idempotent: Makes it idempotent even if the file does not.

    Raises:
        util.OptionError: The text holds faults; all of them are listed.
    """
    checker = util.OptionChecker()
    table = job.load(checker, text)
    checker.unknown_keys(table, "", REQUEST_KEYS)
    if "payload" not in table:
        checker.fault("payload", None, "give a payload")
    single = client.SingleRequest(
        checker.text(table, "service", "service"),
        table.get("payload"),
        checker.number(table, "deadline_s", "deadline_s", 30.0),
        checker.boolean(table, "idempotent", "idempotent", False) or idempotent,
        checker.integer(table, "memory_bytes", "memory_bytes", 0),
        checker.number(table, "run_s", "run_s", 0),
    )
    checker.finish("the request file")
    return single
