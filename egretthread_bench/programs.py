"""Commands of the benchmarks that run the real programs."""

import asyncio
import dataclasses
import json
import pathlib
import subprocess
from typing import Annotated

import typer

from egretthread import console
from egretthread_bench import ablation, processreport, scenario
from egretthread_bench import cost as costs
from egretthread_bench import plays as day_plays
from egretthread_bench import processes as runs
from egretthread_bench import scale as scales
from egretthread_bench import sites as site_scores

app = typer.Typer(no_args_is_help=True, help="Benchmarks of the real programs.")

Directory = Annotated[
    pathlib.Path, typer.Option(help="Directory of the report.")
]

Measured = Annotated[
    str,
    typer.Option(help="Measured commit, if it cannot be read from Git."),
]


def commit() -> str:
    """Returns the commit of the working directory, with `+` if modified."""
    described = subprocess.run(
        ("git", "describe", "--always", "--dirty=+"),
        capture_output=True,
        text=True,
        check=False,
    )
    return described.stdout.strip() or "unknown"


@app.command()
@console.reports_errors
def processes(
    experiments: Annotated[
        list[pathlib.Path], typer.Argument(help="Scenarios as TOML files.")
    ],
    directory: Directory = pathlib.Path("bench-report"),
    measured: Measured = "",
) -> None:
    """Runs scenarios on the real programs and writes a report."""
    outcomes = []
    for path in experiments:
        chosen = scenario.load(path)
        console.progress(f"{chosen.name}: {chosen.duration_s:.0f} s of load")
        outcomes.append(asyncio.run(runs.run(chosen)))
    processreport.write(outcomes, directory, measured or commit())
    print(processreport.markdown(outcomes, measured or commit()))


@app.command()
@console.reports_errors
def cost(directory: Directory = pathlib.Path("bench-report")) -> None:
    """Measures processor time, memory and traffic of an entry and an agent."""
    entries, agents = asyncio.run(costs.measure())
    costs.print_costs(entries, agents)
    directory.mkdir(parents=True, exist_ok=True)
    document = {
        "commit": commit(),
        "entries": [dataclasses.asdict(entry_cost) for entry_cost in entries],
        "agents": [dataclasses.asdict(agent_cost) for agent_cost in agents],
    }
    path = directory / "cost.json"
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")


@app.command()
@console.reports_errors
def scale(directory: Directory = pathlib.Path("bench-report")) -> None:
    """Measures how the resource usage grows with the size of a region."""
    slopes = scales.measure()
    directory.mkdir(parents=True, exist_ok=True)
    text = f"Commit measured: {commit()}\n\n{scales.markdown(slopes)}"
    (directory / "scale.md").write_text(text, encoding="utf-8")
    document = [
        {**dataclasses.asdict(slope), "slope": slope.slope} for slope in slopes
    ]
    path = directory / "scale.json"
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
    print(text)


if __name__ == "__main__":
    app()


@app.command()
@console.reports_errors
def sites(
    bench: Annotated[
        pathlib.Path, typer.Argument(help="Program of the operators' bench.")
    ],
    site_files: Annotated[
        list[pathlib.Path], typer.Argument(help="Site files.")
    ],
    figures: Annotated[
        pathlib.Path, typer.Option(help="TOML file of earlier figures.")
    ] = pathlib.Path("experiments/sites.toml"),
    full: Annotated[
        bool, typer.Option(help="Play all standard days, not only the quick.")
    ] = False,
    jobs: Annotated[int, typer.Option(help="Processor cores to use.")] = 2,
    why: Annotated[
        str, typer.Option(help="Line for the journal.")
    ] = "score beside the earlier figures",
) -> None:
    """Scores deployments one after the other beside their earlier figures.

    It fails if a day broke a rule or its worth fell by more than 0.03.
    """
    known = site_scores.load_figures(figures)
    options = ("--jobs", str(jobs), "--why", why)
    options += () if full else ("--quick",)
    scores = [
        site_scores.score(bench, site, options, pathlib.Path("journal"))
        for site in site_files
    ]
    rows = site_scores.compare(scores, known)
    print(site_scores.table(rows))
    if any(row.is_worse for row in rows) or not all(s.gate for s in scores):
        raise typer.Exit(1)


@app.command()
@console.reports_errors
def plays(
    site: Annotated[pathlib.Path, typer.Argument(help="Site file.")],
    days: Annotated[
        list[str], typer.Argument(help="Names of days, or TOML files.")
    ],
    bench: Annotated[
        pathlib.Path, typer.Option(help="Program of the operators' bench.")
    ],
    why: Annotated[str, typer.Option(help="Line for the journal.")],
    out: Annotated[pathlib.Path, typer.Option(help="Directory of reports.")],
    checkout: Annotated[
        pathlib.Path, typer.Option(help="Repository that is played.")
    ] = pathlib.Path("."),
    seeds: Annotated[
        str, typer.Option(help="Seeds, separated by commas.")
    ] = "1,2,3",
    jobs: Annotated[int, typer.Option(help="Days played at once.")] = 3,
    log: Annotated[
        str, typer.Option(help="Machines whose logs are kept.")
    ] = "",
    charge_cpu: Annotated[
        bool, typer.Option(help="Charge processor time.")
    ] = False,
) -> None:
    """Plays days of a deployment, each with several seeds."""
    options = ("--why", why)
    if log:
        options += ("--log", log)
    if not charge_cpu:
        options += ("--no-cpu",)
    wanted = [
        day_plays.Play(site.resolve(), day, int(seed))
        for seed in seeds.split(",")
        for day in days
    ]
    missing = day_plays.play_all(
        bench.resolve(), checkout, wanted, out.resolve(), options, jobs
    )
    for play in missing:
        console.progress(f"{play.name} left no report")
    if missing:
        raise typer.Exit(1)


@app.command()
@console.reports_errors
def pairs(old: pathlib.Path, new: pathlib.Path) -> None:
    """Compares the plays of two versions, day by day and seed by seed."""
    print(day_plays.table(day_plays.pair_up(old, new)))


@app.command()
@console.reports_errors
def ablate(
    site: Annotated[pathlib.Path, typer.Argument(help="Site file.")],
    days: Annotated[list[str], typer.Argument(help="Names of days.")],
    bench: Annotated[
        pathlib.Path, typer.Option(help="Program of the operators' bench.")
    ],
    complete: Annotated[
        pathlib.Path, typer.Option(help="Reports of the complete code.")
    ],
    out: Annotated[
        pathlib.Path, typer.Option(help="Directory of copies and reports.")
    ],
    mechanisms: Annotated[
        pathlib.Path, typer.Option(help="TOML file of the mechanisms.")
    ] = pathlib.Path("experiments/ablation.toml"),
    only: Annotated[
        str, typer.Option(help="Names of mechanisms, separated by commas.")
    ] = "",
    checkout: Annotated[
        pathlib.Path, typer.Option(help="Repository that is played.")
    ] = pathlib.Path("."),
    seeds: Annotated[
        str, typer.Option(help="Seeds, separated by commas.")
    ] = "1",
    jobs: Annotated[int, typer.Option(help="Days played at once.")] = 3,
) -> None:
    """Plays days with one mechanism off at a time, and prints what it costs."""
    wanted = [
        day_plays.Play(site.resolve(), day, int(seed))
        for seed in seeds.split(",")
        for day in days
    ]
    print(
        "| switched off | gain of worth | late, refused, failed: on | off | |"
    )
    print("|---|---|---|---|---|")
    for mechanism in ablation.load(mechanisms):
        if only and mechanism.name not in only.split(","):
            continue
        copy = out.resolve() / f"{mechanism.name}.copy"
        ablation.clone(checkout.resolve(), copy)
        ablation.switch_off(copy, mechanism)
        reports = out.resolve() / mechanism.name
        why = f"trial: ablation, without {mechanism.name}"
        options = ("--no-cpu", "--why", why)
        day_plays.play_all(
            bench.resolve(), copy, wanted, reports, options, jobs
        )
        pairs = day_plays.pair_up(complete, reports)
        print(day_plays.summary(mechanism.name, pairs), flush=True)
