"""`egretthread explain`: explains requests from the logs of processes."""

from typing import Annotated

import typer

from egretthread import console, explanation, logline, util
from egretthread.commands import options

app = typer.Typer(
    no_args_is_help=True, help="Explanations from the logs of processes."
)

Files = Annotated[
    list[str],
    typer.Argument(help="Log files of processes; - is standard input."),
]


class NoLineError(util.EgretthreadError):
    """The logs hold no line of the requested kind."""

    kind = "no_line"


@app.command()
@console.reports_errors
def request(
    id: Annotated[str, typer.Argument(help="Id of the request or job.")],
    files: Files,
    as_json: options.AsJson = False,
) -> None:
    """Prints the outcome of a request and its cause."""
    found = explanation.explain(logline.read_files(files), id)
    if found is None:
        raise NoLineError(
            f"no line mentions {id}",
            "give the logs of all entries; an entry that ended before it"
            " answered leaves no line",
        )
    console.emit(as_json, _to_json(found), _to_text(found))


@app.command()
@console.reports_errors
def lines(
    files: Files,
    event: Annotated[str, typer.Option(help="Only this event.")] = "",
    mentions: Annotated[
        str, typer.Option(help="Only lines with a field that has this value.")
    ] = "",
    since_s: Annotated[
        float, typer.Option(help="Begin, in seconds after the first line.")
    ] = 0.0,
    until_s: Annotated[
        float, typer.Option(help="End, in seconds after the first line.")
    ] = float("inf"),
) -> None:
    """Prints the lines of several logs, ordered by time."""
    events = sorted(logline.read_files(files), key=lambda line: line.at_s)
    if not events:
        raise NoLineError(
            "the files hold no event", "give the log files of processes"
        )
    begin_s = events[0].at_s
    for line in events:
        if event and line.event != event:
            continue
        if mentions and not line.mentions(mentions):
            continue
        if since_s <= line.at_s - begin_s <= until_s:
            typer.echo(logline.format_line(line, begin_s))


def _to_text(found: explanation.Explanation) -> str:
    begin_s = found.lines[0].at_s
    output = [f"outcome: {found.outcome}", f"cause: {found.cause}", ""]
    for line in found.lines:
        mark = ">" if line == found.deciding_line else " "
        output.append(f"{mark} {logline.format_line(line, begin_s)}")
    if found.state_lines:
        output += ["", "state of the processes at that time:"]
        for line in found.state_lines:
            mark = ">" if line == found.deciding_line else " "
            output.append(f"{mark} {logline.format_line(line, begin_s)}")
    return "\n".join(output)


def _to_json(found: explanation.Explanation) -> dict:
    return {
        "outcome": found.outcome,
        "cause": found.cause,
        "lines": [line.fields for line in found.lines],
        "around": [line.fields for line in found.state_lines],
    }
