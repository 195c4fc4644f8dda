"""`egretthread explain`: explains requests from the logs of processes."""

from typing import Annotated

import typer

from egretthread import console, explanation, logline, util
from egretthread import losses as lost_requests
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


@app.command()
@console.reports_errors
def losses(
    files: Files,
    interval_s: Annotated[
        float, typer.Option(help="Length of an interval, in seconds.", min=0.1)
    ] = 2.0,
    as_json: options.AsJson = False,
) -> None:
    """Counts the requests not served in time, by cause and by time."""
    lines = list(logline.read_files(files))
    found = lost_requests.find(lines)
    if not found.answered:
        raise NoLineError(
            "the files hold no answered request", "give the logs of entries"
        )
    begin_s = min(line.at_s for line in lines)
    console.emit(
        as_json,
        _losses_to_json(found, begin_s, interval_s),
        _losses_to_text(found, begin_s, interval_s),
    )


def _losses_to_text(
    found: lost_requests.Losses, begin_s: float, interval_s: float
) -> str:
    output = [
        f"{len(found.losses)} of {found.answered} answered requests were late"
        " or not served",
        "",
    ]
    for (outcome, cause), routes in found.by_cause().items():
        of_route = ", ".join(
            f"{route or 'unknown route'} {count}"
            for route, count in routes.most_common()
        )
        output.append(f"{routes.total():6d}  {outcome}: {cause} ({of_route})")
    output += ["", "by the time at which they were received, s:"]
    for at_s, causes in found.by_time(begin_s, interval_s).items():
        of_cause = ", ".join(
            f"{outcome}: {cause} {count}"
            for (outcome, cause), count in causes.most_common()
        )
        output.append(f"{at_s:8.1f} {causes.total():5d}  {of_cause}")
    return "\n".join(output)


def _losses_to_json(
    found: lost_requests.Losses, begin_s: float, interval_s: float
) -> dict:
    return {
        "answered": found.answered,
        "causes": [
            {"outcome": outcome, "cause": cause, "routes": dict(routes)}
            for (outcome, cause), routes in found.by_cause().items()
        ],
        "times": [
            {
                "at_s": at_s,
                "outcome": outcome,
                "cause": cause,
                "count": count,
            }
            for at_s, causes in found.by_time(begin_s, interval_s).items()
            for (outcome, cause), count in causes.items()
        ],
    }


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
