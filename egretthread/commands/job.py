"""`egretthread job`: submits, looks up and cancels jobs as a caller."""

import json
from collections.abc import Callable
from typing import Annotated

import typer

from egretthread import client, console, util
from egretthread.commands import options

app = typer.Typer(no_args_is_help=True, help="Jobs, as a caller sees them.")

Key = Annotated[str, typer.Argument(help="The job key.")]
JOB_KEYS = ("key", "service", "deadline_s", "tasks")
TASK_KEYS = ("payload", "memory_bytes", "run_s")


@app.command()
@console.reports_errors
def submit(
    file: options.InputFile,
    endpoint: options.Endpoints,
    token: options.Token,
    key: Annotated[
        str, typer.Option("--key", help="Job key, to submit a job again.")
    ] = "",
    rekey: Annotated[
        bool,
        typer.Option(
            "--rekey",
            help="Allow a new key while the key's shard is unavailable; only"
            " for a job that is submitted for the first time.",
        ),
    ] = False,
    as_json: options.AsJson = False,
) -> None:
    """Submits the job in a JSON file and prints its answer.

    The file holds `service`, `tasks` (each with a `payload`) and, optionally,
    `deadline_s` and `key`. Without a key, a new one is made and printed to
    standard error. If this command is interrupted, submit again with that key.
    """
    job = read_job(options.read_text(file), key)
    console.progress(f"submitting {len(job.tasks)} tasks under {job.key}")
    answer = call(endpoint, token, lambda c: c.submit(job, rekey))
    rows = [
        (index, outcome.kind, outcome.result or outcome.reason)
        for index, outcome in enumerate(answer.outcomes)
    ]
    data = answer.to_json()
    for task, outcome in zip(data["tasks"], answer.outcomes, strict=True):
        if "result" in task:
            task["result"] = json.loads(outcome.result)
    text = console.table(("TASK", "OUTCOME", "RESULT"), rows)
    console.emit(as_json, data, f"{answer.key} {data['state']}\n{text}")
    if not answer.complete:
        raise typer.Exit(console.EXIT_REFUSED)


@app.command()
@console.reports_errors
def status(
    key: Key,
    endpoint: options.Endpoints,
    token: options.Token,
    as_json: options.AsJson = False,
) -> None:
    """Prints the state of a job."""
    print_state(call(endpoint, token, lambda c: c.status(key)), as_json)


@app.command()
@console.reports_errors
def cancel(
    key: Key,
    endpoint: options.Endpoints,
    token: options.Token,
    as_json: options.AsJson = False,
) -> None:
    """Cancels a job: no more of its tasks start, running ones finish."""
    print_state(call(endpoint, token, lambda c: c.cancel(key)), as_json)


def print_state(status: client.JobStatus, as_json: bool) -> None:
    """Prints a job's key and state."""
    data = {"key": status.key, "state": status.state.value}
    console.emit(as_json, data, f"{status.key} {status.state}")


def call(endpoints: list[str], token: str, use: Callable):
    """Returns the result of a function that is called with a started client."""
    caller = client.Client(client.ClientSettings(tuple(endpoints), token))
    caller.start()
    try:
        return use(caller)
    finally:
        caller.close()


def read_job(text: str, key: str) -> client.Job:
    """Returns the job in JSON text.

    Args:
        text: The text of the job file.
        key: Overrides the file's key; without either, a new one is made.

    Raises:
        util.OptionError: The text holds faults; all of them are listed.
    """
    checker = util.OptionChecker()
    table = load(checker, text)
    checker.unknown_keys(table, "", JOB_KEYS)
    service = checker.text(table, "service", "service")
    deadline_s = checker.number(table, "deadline_s", "deadline_s", 30.0)
    bodies = table.get("tasks")
    if not isinstance(bodies, list) or not bodies:
        checker.fault("tasks", bodies, "give a list of at least one task")
        bodies = []
    tasks = tuple(
        read_task(checker, body, f"tasks[{index}]")
        for index, body in enumerate(bodies)
    )
    checker.finish("the job file")
    job_key = key or table.get("key") or client.new_key()
    return client.Job(job_key, service, tasks, deadline_s)


def load(checker: util.OptionChecker, text: str) -> dict:
    """Returns the JSON object in a text; records a fault if there is none."""
    try:
        table = json.loads(text)
    except ValueError as error:
        checker.fault("text", str(error), "write valid JSON")
        return {}
    if isinstance(table, dict):
        return table
    checker.fault("text", type(table).__name__, "write a JSON object")
    return {}


def read_task(
    checker: util.OptionChecker, body: object, path: str
) -> client.Task:
    """Returns one task of a job file."""
    if not isinstance(body, dict) or "payload" not in body:
        checker.fault(path, body, "give an object with a payload")
        return client.Task(None)
    checker.unknown_keys(body, path, TASK_KEYS)
    return client.Task(
        body["payload"],
        checker.integer(body, "memory_bytes", f"{path}.memory_bytes", 0),
        checker.number(body, "run_s", f"{path}.run_s", 0),
    )
