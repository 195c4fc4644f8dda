"""`egretthread explain` and `egretthread logs`: what the logs tell."""

from typing import Annotated

import typer

from egretthread import console, explanation, logline, util
from egretthread.commands import options

app = typer.Typer(no_args_is_help=True, help="What the logs tell.")

Files = Annotated[
    list[str],
    typer.Argument(help="Log files of processes; - is standard input."),
]


class NoLineError(util.EgretthreadError):
    """No line mentions a request."""

    kind = "no_line"


@app.command()
@console.reports_errors
def request(
    id: Annotated[str, typer.Argument(help="Id of the request or job.")],
    files: Files,
    as_json: options.AsJson = False,
) -> None:
    """Prints what became of a request, and why."""
    found = explanation.explain(logline.read_files(files), id)
    if found is None:
        raise NoLineError(
            f"no line mentions {id}",
            "give the logs of all entries; one that ended before it answered"
            " leaves no line",
        )
    console.emit(as_json, _as_table(found), _as_text(found))


@app.command()
@console.reports_errors
def lines(
    files: Files,
    event: Annotated[str, typer.Option(help="Only this event.")] = "",
    mentions: Annotated[
        str, typer.Option(help="Only lines with a field of this value.")
    ] = "",
    since_s: Annotated[
        float, typer.Option(help="Seconds after the first line.")
    ] = 0.0,
    until_s: Annotated[
        float, typer.Option(help="Seconds after the first line.")
    ] = float("inf"),
) -> None:
    """Prints the lines of several logs in the order of their times."""
    found = sorted(logline.read_files(files), key=lambda line: line.at_s)
    if not found:
        raise NoLineError("the files hold no event", "give logs of processes")
    begin_s = found[0].at_s
    for line in found:
        if event and line.event != event:
            continue
        if mentions and not line.mentions(mentions):
            continue
        if since_s <= line.at_s - begin_s <= until_s:
            typer.echo(logline.format_line(line, begin_s))


def _as_text(found: explanation.Explanation) -> str:
    begin_s = found.lines[0].at_s
    rows = [f"outcome: {found.outcome}", f"cause: {found.cause}", ""]
    for line in found.lines:
        mark = ">" if line == found.deciding else " "
        rows.append(f"{mark} {logline.format_line(line, begin_s)}")
    if found.around:
        rows += ["", "at that time:"]
        for line in found.around:
            mark = ">" if line == found.deciding else " "
            rows.append(f"{mark} {logline.format_line(line, begin_s)}")
    return "\n".join(rows)


def _as_table(found: explanation.Explanation) -> dict:
    return {
        "outcome": found.outcome,
        "cause": found.cause,
        "lines": [line.fields for line in found.lines],
        "around": [line.fields for line in found.around],
    }
