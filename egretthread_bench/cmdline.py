"""Command line of the benchmarks."""

import pathlib
from typing import Annotated

import typer

from egretthread_bench import experiment, policy, programs, report

app = typer.Typer(
    no_args_is_help=True, help="Benchmark the policies and the programs."
)
app.registered_commands.extend(programs.app.registered_commands)


@app.command("policy")
def run_policy(
    experiments: Annotated[
        pathlib.Path, typer.Argument(help="TOML file of experiments")
    ] = pathlib.Path("experiments/policy.toml"),
    out: Annotated[
        pathlib.Path, typer.Option(help="Directory of the reports")
    ] = pathlib.Path("build/bench"),
    only: Annotated[
        str, typer.Option(help="Run only the experiment of this name")
    ] = "",
) -> None:
    """Runs the decision modules against simulated agents and reports."""
    results = []
    for definition in experiment.load_experiments(experiments):
        if only in ("", definition.name):
            results.extend(_run_experiment(definition))
    out.mkdir(parents=True, exist_ok=True)
    report.write_json(results, out / "policy.json")
    text = report.markdown(results)
    (out / "policy.md").write_text(text)
    typer.echo(text)


def _run_experiment(
    definition: experiment.Experiment,
) -> list[policy.Result]:
    results = []
    for load in definition.loads:
        results.append(policy.bound(definition, load))
        for name, rule in definition.rules:
            result = policy.measure(definition, name, rule, load)
            typer.echo(
                f"experiment={definition.name} rule={name} load={load}"
                f" p99={result.p99:.3f} run_s={result.run_s:.1f}",
                err=True,
            )
            results.append(result)
    return results


@app.command("compare")
def compare(before: pathlib.Path, after: pathlib.Path) -> None:
    """Prints two JSON reports side by side."""
    old = report.read_json(before)
    new = report.read_json(after)
    typer.echo(report.comparison(old, new))


def main() -> None:
    """Runs the command line."""
    app()
