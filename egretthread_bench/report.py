"""Reports of benchmark results as JSON and Markdown, and comparisons."""

import dataclasses
import json
import pathlib

from egretthread_bench.policy import Result

# Name of the central queue in results.
BOUND = "central"
COLUMNS = (
    "rule",
    "load",
    "jobs",
    "p50",
    "p99",
    "p99 / bound",
    "messages / task",
    "wasted",
    "handed back",
    "failed",
    "refused jobs",
)


def write_json(results: list[Result], path: pathlib.Path) -> None:
    """Writes the results to a file."""
    rows = [dataclasses.asdict(result) for result in results]
    path.write_text(json.dumps(rows, indent=1) + "\n")


def read_json(path: pathlib.Path) -> list[Result]:
    """Returns the results of a file."""
    return [Result(**row) for row in json.loads(path.read_text())]


def markdown(results: list[Result]) -> str:
    """Returns the results as one table per experiment."""
    lines = [
        "# Policy bench",
        "",
        "Response times are divided by the ideal of each job: its longest",
        "task plus one round trip from caller to entry and one from entry to",
        "agent. `central` is one queue over all slots, on the same arrivals.",
        "Messages exclude heartbeats; wasted messages are refusals, credits",
        "that lapsed unused and withdrawn slot requests.",
    ]
    for name in dict.fromkeys(result.experiment for result in results):
        group = [r for r in results if r.experiment == name]
        lines += ["", f"## {name}", "", *_table(COLUMNS, _cells(group))]
        lines += ["", *_tenants(group), "", *_kinds(group)]
    return "\n".join(lines) + "\n"


def _cells(results: list[Result]) -> list[tuple[str, ...]]:
    bounds = {r.load: r.p99 for r in results if r.rule == BOUND}
    return [
        (
            result.rule,
            f"{result.load:.0%}",
            str(result.jobs),
            f"{result.p50:.3f}",
            f"{result.p99:.3f}",
            f"{result.p99 / bounds[result.load]:.3f}",
            f"{result.messages_per_task:.2f}",
            f"{result.wasted_share:.1%}",
            f"{result.handed_back_share:.1%}",
            f"{result.failed_share:.2%}",
            _pairs(result.refused_jobs, "{}"),
        )
        for result in results
    ]


def _tenants(results: list[Result]) -> list[str]:
    columns = ("rule", "load", "p99 by organisation")
    cells = [
        (result.rule, f"{result.load:.0%}", _pairs(result.tenant_p99, "{:.3f}"))
        for result in results
    ]
    return _table(columns, cells)


def _kinds(results: list[Result]) -> list[str]:
    columns = ("rule", "load", "messages per task by kind", "frames / task")
    cells = [
        (
            result.rule,
            f"{result.load:.0%}",
            _pairs(result.messages, "{:.3f}"),
            f"{result.frames_per_task:.2f}",
        )
        for result in results
        if result.messages
    ]
    return _table(columns, cells)


def _pairs(table: dict, form: str) -> str:
    pairs = [f"{key} {form.format(value)}" for key, value in table.items()]
    return ", ".join(pairs)


def _table(columns: tuple, rows: list[tuple]) -> list[str]:
    head = "| " + " | ".join(columns) + " |"
    rule = "|" + " --- |" * len(columns)
    return [head, rule, *("| " + " | ".join(row) + " |" for row in rows)]


def comparison(before: list[Result], after: list[Result]) -> str:
    """Returns a table of two runs with the results that both contain."""
    known = {(r.experiment, r.rule, r.load): r for r in before}
    columns = (
        "experiment",
        "rule",
        "load",
        "p50",
        "p99",
        "change",
        "messages / task",
        "wasted",
    )
    rows = []
    for new in after:
        old = known.get((new.experiment, new.rule, new.load))
        if old is not None:
            rows.append(_compared(old, new))
    return "\n".join(_table(columns, rows)) + "\n"


def _compared(old: Result, new: Result) -> tuple[str, ...]:
    return (
        new.experiment,
        new.rule,
        f"{new.load:.0%}",
        f"{old.p50:.3f} -> {new.p50:.3f}",
        f"{old.p99:.3f} -> {new.p99:.3f}",
        f"{new.p99 / old.p99 - 1:+.1%}",
        f"{old.messages_per_task:.2f} -> {new.messages_per_task:.2f}",
        f"{old.wasted_share:.1%} -> {new.wasted_share:.1%}",
    )
