"""Reports of the process benchmark as JSON, Markdown and plots."""

import dataclasses
import json
import pathlib

from egretthread_bench.processes import Outcome


def write(
    outcomes: list[Outcome], directory: pathlib.Path, commit: str
) -> None:
    """Writes `processes.json`, `processes.md` and plots.

    Plots are written only if matplotlib is installed.
    """
    directory.mkdir(parents=True, exist_ok=True)
    document = {
        "commit": commit,
        "outcomes": [dataclasses.asdict(outcome) for outcome in outcomes],
    }
    path = directory / "processes.json"
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
    text = markdown(outcomes, commit)
    (directory / "processes.md").write_text(text, encoding="utf-8")
    for outcome in outcomes:
        plot(outcome, directory / f"{outcome.scenario}.png")


def markdown(outcomes: list[Outcome], commit: str) -> str:
    """Returns the report as Markdown."""
    parts = [HEAD.format(commit=commit), response_table(outcomes)]
    parts += [message_table(outcomes), traffic_table(outcomes)]
    parts += [section(outcome) for outcome in outcomes]
    return "\n".join(parts)


HEAD = """# The real programs under load

Commit measured: {commit}. Entries, agents, backend server stand-ins and the
log stand-in ran as processes on loopback of one machine, which was shared
with other work. Response is the time that the caller's client measures; ideal
is the job's longest task plus two HTTP round trips measured without load. The
bound is one central queue over all slots on the same arrivals, without faults.
"""


def response_table(outcomes: list[Outcome]) -> str:
    """Returns the table of response times and outcomes."""
    head = (
        "scenario",
        "seed",
        "jobs",
        "tasks",
        "complete",
        "failed",
        "errors",
        "doubled",
        "p50",
        "p99",
        "bound p50",
        "bound p99",
    )
    rows = [
        (
            o.scenario,
            o.seed,
            o.jobs,
            o.tasks,
            o.complete,
            o.failed,
            sum(o.errors.values()),
            o.doubled,
            f"{o.p50:.2f}",
            f"{o.p99:.2f}",
            f"{o.bound_p50:.2f}",
            f"{o.bound_p99:.2f}",
        )
        for o in outcomes
    ]
    return "## Response / ideal\n\n" + table(head, rows)


def message_table(outcomes: list[Outcome]) -> str:
    """Returns the table of messages per task by class."""
    classes = sorted({name for o in outcomes for name in o.messages})
    head = ("scenario", *classes)
    rows = [
        (o.scenario, *(f"{o.messages.get(c, 0):.3f}" for c in classes))
        for o in outcomes
    ]
    return "## Messages per task\n\n" + table(head, rows)


def traffic_table(outcomes: list[Outcome]) -> str:
    """Returns the table of frames, waste and processor time."""
    head = (
        "scenario",
        "messages/task",
        "frames/task",
        "wasted",
        "busy refusals/task",
        "credits lapsed/task",
        "entry us/task",
        "agent us/task",
    )
    rows = [
        (
            o.scenario,
            f"{o.messages_per_task:.2f}",
            f"{o.frames_per_task:.2f}",
            f"{100 * o.wasted_share:.1f} %",
            f"{o.wasted['refused_busy']:.4f}",
            f"{o.wasted['credits_lapsed']:.4f}",
            f"{o.entry_cpu_us_per_task:.0f}",
            f"{o.agent_cpu_us_per_task:.0f}",
        )
        for o in outcomes
    ]
    text = "Messages exclude heartbeats, frames include them.\n\n"
    return "## Traffic and cost\n\n" + text + table(head, rows)


def section(outcome: Outcome) -> str:
    """Returns the section on one scenario."""
    lines = [f"## {outcome.scenario}\n"]
    lines += [f"- {line}" for line in outcome.log]
    tasks = ", ".join(f"{n} {k}" for k, n in outcome.tasks_by_outcome.items())
    lines.append(f"- tasks of answered jobs: {tasks}")
    lines += [f"- {n} tasks: {text}" for text, n in outcome.reasons.items()]
    if outcome.errors:
        lines.append(f"- errors: {outcome.errors}")
    if len(outcome.tenant_p99) > 1:
        ratios = ", ".join(
            f"{k} {v:.2f}" for k, v in outcome.tenant_p99.items()
        )
        lines.append(f"- p99 of response / ideal: {ratios}")
    head = (
        "part",
        "from s",
        "to s",
        "busy slots",
        "of all",
        "offered",
        "starts/s",
    )
    rows = [
        (
            p.name,
            f"{p.from_s:.0f}",
            f"{p.until_s:.0f}",
            f"{p.busy_slots:.1f}",
            f"{100 * p.busy_slots / outcome.slots:.1f} %",
            f"{p.offered_slots:.1f}",
            f"{p.starts_per_s:.1f}",
        )
        for p in outcome.periods
    ]
    lines += ["", table(head, rows)]
    return "\n".join(lines)


def table(head: tuple, rows: list[tuple]) -> str:
    """Returns a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    text = "\n".join("| " + " | ".join(map(str, row)) + " |" for row in lines)
    return text + "\n"


def plot(outcome: Outcome, path: pathlib.Path) -> None:
    """Plots the busy slots by second if matplotlib is installed."""
    try:
        import matplotlib
    except ImportError:
        return
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 2.5))
    axes.plot(outcome.busy_slots, label="busy slots")
    axes.axhline(outcome.slots, linestyle=":", label="slots")
    axes.set_xlabel("seconds")
    axes.set_ylim(bottom=0)
    axes.legend(loc="lower left", fontsize=7)
    axes.set_title(outcome.scenario, fontsize=9)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
