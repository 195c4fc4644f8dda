"""Plays of single days on the operators' bench, old and new code in pairs.

Without processor time, a play of the same code on the same seed nearly repeats,
so that two versions are compared by the differences of their pairs.
"""

import concurrent.futures
import dataclasses
import json
import math
import pathlib
import statistics
import subprocess

from egretthread import util


class PlayError(util.EgretthreadError):
    """A day could not be played, or its report could not be read."""

    kind = "play"


@dataclasses.dataclass(frozen=True)
class Play:
    """One day to be played.

    Attributes:
        site: Site file of the deployment.
        day: Name of the day, or a TOML file.
        seed: Seed of its luck.
    """

    site: pathlib.Path
    day: str
    seed: int

    @property
    def name(self) -> str:
        """Name of its report, without the ending."""
        return f"{self.site.stem}.{pathlib.Path(self.day).stem}.{self.seed}"


@dataclasses.dataclass(frozen=True)
class Figures:
    """What a report tells of one play.

    Attributes:
        worth: Worth of the day, 0 to 1.
        asked: Number of jobs.
        late: Number answered after their objective.
        refused: Number refused.
        failed: Number that failed or got no answer.
        problem: The fault or the broken rules; empty if there are none.
    """

    worth: float
    asked: int
    late: int
    refused: int
    failed: int
    problem: str = ""


@dataclasses.dataclass(frozen=True)
class Pair:
    """Two plays of the same day and seed, on old and on new code."""

    name: str
    old: Figures
    new: Figures

    @property
    def gain(self) -> float:
        """How much more worth the new code has."""
        return self.new.worth - self.old.worth


def play_all(
    bench: pathlib.Path,
    checkout: pathlib.Path,
    plays: list[Play],
    out: pathlib.Path,
    options: tuple[str, ...],
    jobs: int,
) -> list[Play]:
    """Plays days side by side; returns those that left no report.

    Reports that are there already are kept, so that an interrupted series is
    completed by another call.

    Args:
        bench: The program of the bench.
        checkout: The repository to be played, in which the journal is written.
        plays: The days.
        out: Directory of the reports.
        options: Further options of the bench's command `run`.
        jobs: Number of days played at once.
    """
    out.mkdir(parents=True, exist_ok=True)
    left = [p for p in plays if not (out / f"{p.name}.json").exists()]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for each in left:
            pool.submit(_play, bench, checkout, each, out, options)
    return [p for p in plays if not (out / f"{p.name}.json").exists()]


def _play(
    bench: pathlib.Path,
    checkout: pathlib.Path,
    play: Play,
    out: pathlib.Path,
    options: tuple[str, ...],
) -> None:
    """Plays one day; its report appears in `out` once it is complete."""
    part = out / f"{play.name}.part"
    command = (
        str(bench),
        "run",
        str(play.site),
        play.day,
        "--seed",
        str(play.seed),
        "--jobs",
        "1",
        "--report",
        str(part),
        *options,
    )
    with (
        (out / f"{play.name}.txt").open("w") as table,
        (out / f"{play.name}.log").open("w") as log,
    ):
        subprocess.run(
            command, cwd=checkout, stdout=table, stderr=log, check=False
        )
    if part.exists():
        part.rename(out / f"{play.name}.json")


def read_figures(path: pathlib.Path) -> Figures:
    """Returns the figures of a report.

    Raises:
        PlayError: The report is missing or malformed.
    """
    try:
        report = json.loads(path.read_text())
        counts = report["all"]
        problem = str(report["fault"] or ", ".join(sorted(report["breaks"])))
        return Figures(
            float(report["G"]),
            int(counts["n"]),
            int(counts["late"]),
            int(counts["refused"]),
            int(counts["failed"]),
            problem,
        )
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise PlayError(
            f"{path} is no report of a play: {error!r}", "play the day again"
        ) from error


def pair_up(old: pathlib.Path, new: pathlib.Path) -> list[Pair]:
    """Returns the days of which both directories hold a report.

    Raises:
        PlayError: They have none in common, or a report is malformed.
    """
    names = sorted(
        {path.name for path in old.glob("*.json")}
        & {path.name for path in new.glob("*.json")}
    )
    if not names:
        raise PlayError(
            f"{old} and {new} hold no report of the same play",
            "play the same days and seeds into both",
        )
    return [
        Pair(
            name.removesuffix(".json"),
            read_figures(old / name),
            read_figures(new / name),
        )
        for name in names
    ]


def mean_gain(pairs: list[Pair]) -> tuple[float, float]:
    """Returns the mean gain and its standard error.

    The standard error of a single pair is not known, and so infinite.
    """
    gains = [pair.gain for pair in pairs]
    mean = statistics.fmean(gains)
    if len(gains) < 2:
        return mean, math.inf
    return mean, statistics.stdev(gains) / math.sqrt(len(gains))


def table(pairs: list[Pair]) -> str:
    """Returns pairs as a table in Markdown, with the mean gain of each site."""
    lines = [
        "| play | worth, old | new | gain | late, refused, failed | new | |",
        "|---|---|---|---|---|---|---|",
    ]
    for pair in pairs:
        lines.append(
            f"| {pair.name} | {pair.old.worth:.3f} | {pair.new.worth:.3f}"
            f" | {pair.gain:+.3f} | {_counts(pair.old)} | {_counts(pair.new)}"
            f" | {pair.new.problem} |"
        )
    for site in sorted({pair.name.partition(".")[0] for pair in pairs}):
        of_site = [p for p in pairs if p.name.partition(".")[0] == site]
        mean, error = mean_gain(of_site)
        old = statistics.fmean(pair.old.worth for pair in of_site)
        new = statistics.fmean(pair.new.worth for pair in of_site)
        lines.append(
            f"| {site}, mean of {len(of_site)} | {old:.3f} | {new:.3f}"
            f" | {mean:+.4f} ± {error:.4f} | | | |"
        )
    return "\n".join(lines)


def summary(name: str, pairs: list[Pair]) -> str:
    """Returns the mean gain of pairs as a row of a table in Markdown."""
    mean, error = mean_gain(pairs)
    counts = [
        ", ".join(
            str(sum(getattr(figures, field) for figures in side))
            for field in ("late", "refused", "failed")
        )
        for side in (
            [pair.old for pair in pairs],
            [pair.new for pair in pairs],
        )
    ]
    problems = sorted({pair.new.problem for pair in pairs} - {""})
    return (
        f"| {name} | {mean:+.4f} ± {error:.4f} | {counts[0]} | {counts[1]}"
        f" | {', '.join(problems)} |"
    )


def _counts(figures: Figures) -> str:
    return f"{figures.late}, {figures.refused}, {figures.failed}"
