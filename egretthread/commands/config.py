"""`egretthread config`: check, show and publish the configuration."""

import dataclasses
from typing import Annotated

import typer

from egretthread import configtext, console, operators
from egretthread.commands import options, publishing

app = typer.Typer(no_args_is_help=True, help="The operators' configuration.")


@app.command()
@console.reports_errors
def check(file: options.InputFile, as_json: options.AsJson = False) -> None:
    """Checks a configuration file and lists all faults."""
    configuration = configtext.loads(options.read_text(file))
    counts = {
        field: len(getattr(configuration, field))
        for field in ("organisations", "services", "zones")
    }
    summary = ", ".join(f"{count} {name}" for name, count in counts.items())
    console.emit(as_json, {"faults": [], **counts}, f"no faults: {summary}")


@app.command()
@console.reports_errors
def show(
    log_url: options.LogUrl,
    stream: options.Stream = options.DEFAULT_STREAM,
    as_json: options.AsJson = False,
) -> None:
    """Prints the configuration that was published last, as TOML."""

    async def work(log: operators.LogClient):
        return await operators.fetch(log, stream)

    published = publishing.with_log(log_url, work)
    console.progress(
        f"offset {published.offset} by {published.author or 'nobody'};"
        f" publish the next one with --expect {published.next_offset}"
    )
    text = configtext.dumps(published.configuration)
    console.emit(as_json, dataclasses.asdict(published), text.rstrip("\n"))


@app.command()
@console.reports_errors
def publish(
    file: options.InputFile,
    log_url: options.LogUrl,
    expect: Annotated[
        int,
        typer.Option(
            "--expect", min=0, help="The offset that `config show` printed."
        ),
    ],
    stream: options.Stream = options.DEFAULT_STREAM,
    author: options.Author = "",
    wait: options.Wait = False,
    admin: options.Admin = [],  # noqa: B006
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.AsJson = False,
) -> None:
    """Publishes a configuration file unless another one was published."""
    target = publishing.Target(
        log_url, stream, author, wait, tuple(admin), timeout_s
    )
    publishing.check_target(target)
    configuration = configtext.loads(options.read_text(file))

    async def work(log: operators.LogClient):
        return await operators.publish(
            log, stream, configuration, expect, author
        )

    publishing.report_published(
        target, publishing.with_log(log_url, work), as_json
    )


@app.command()
@console.reports_errors
def history(
    log_url: options.LogUrl,
    stream: options.Stream = options.DEFAULT_STREAM,
    count: Annotated[
        int, typer.Option("--count", min=1, help="Number of records to read.")
    ] = 20,
    as_json: options.AsJson = False,
) -> None:
    """Lists who changed what, oldest first."""

    async def work(log: operators.LogClient):
        return await operators.history(log, stream, count)

    changes = publishing.with_log(log_url, work)
    rows = [history_row(change) for change in changes]
    headers = ("OFFSET", "TIME", "AUTHOR", "CHANGES")
    console.emit(
        as_json,
        [dataclasses.asdict(change) for change in changes],
        console.table(headers, rows),
    )


def history_row(change: operators.Change) -> tuple[str, ...]:
    """Returns one record of the history as cells of a table."""
    if change.fault:
        text = f"skipped: {change.fault}"
    elif change.changes is None:
        text = "(oldest record shown)"
    else:
        text = "; ".join(change.changes) or "(nothing)"
    time = console.utc_time(change.at_s)
    return (str(change.offset), time, change.author, text)
