"""Scores of deployments on the operators' bench, beside earlier figures."""

import dataclasses
import json
import pathlib
import subprocess
import tomllib

from egretthread import util

# A day whose worth fell by more than this has become worse; less is noise.
MAX_DROP = 0.03


class SiteScoreError(util.EgretthreadError):
    """A deployment could not be scored."""

    kind = "site_score"


@dataclasses.dataclass(frozen=True)
class DayScore:
    """Score of one day.

    Attributes:
        name: Name of the day.
        worth: Its worth, 0 to 1.
        problem: The fault or the broken rules; empty if there are none.
    """

    name: str
    worth: float
    problem: str = ""


@dataclasses.dataclass(frozen=True)
class SiteScore:
    """Score of one deployment.

    Attributes:
        site: Name of the deployment.
        entry: Id of the journal entry.
        gate: Whether it passed its gate on the days that were played.
        days: Scores of its days.
    """

    site: str
    entry: str
    gate: bool
    days: tuple[DayScore, ...]


@dataclasses.dataclass(frozen=True)
class Comparison:
    """One day beside its earlier figure.

    Attributes:
        site: Name of the deployment.
        day: Score of the day.
        before: Earlier worth; None if there is none.
    """

    site: str
    day: DayScore
    before: float | None

    @property
    def drop(self) -> float:
        """How much the worth fell; 0 without an earlier figure."""
        return 0.0 if self.before is None else self.before - self.day.worth

    @property
    def is_worse(self) -> bool:
        """Whether the day broke a rule or fell too far."""
        return bool(self.day.problem) or self.drop > MAX_DROP


def load_figures(path: pathlib.Path) -> dict[str, dict[str, float]]:
    """Returns the earlier worth of each day, by deployment and day.

    Raises:
        SiteScoreError: The file is missing or malformed.
    """
    try:
        tables = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SiteScoreError(
            f"{path}: {error}", "give a TOML file with a table for each site"
        ) from error
    return {
        site: {day: float(worth) for day, worth in days.items()}
        for site, days in tables.items()
    }


def parse_entry(text: str) -> SiteScore:
    """Returns the score in a journal entry of the bench.

    Raises:
        SiteScoreError: The run did not finish.
    """
    entry = json.loads(text)
    if not entry["days"]:
        raise SiteScoreError(
            f"journal entry {entry['id']} holds no day: {entry['error']}",
            "score the site again",
        )
    return SiteScore(
        entry["site"],
        entry["id"],
        bool(entry["figures"].get("gate")),
        tuple(
            DayScore(day["name"], day["G"], _problem(day))
            for day in entry["days"]
        ),
    )


def _problem(day: dict) -> str:
    if day["fault"]:
        return str(day["fault"])
    return ", ".join(sorted(day["rules"]))


def score(
    bench: pathlib.Path,
    site: pathlib.Path,
    options: tuple[str, ...],
    journal: pathlib.Path,
) -> SiteScore:
    """Scores one deployment on the bench.

    Args:
        bench: The program of the bench.
        site: Site file of the deployment.
        options: Further options of the bench's command `score`.
        journal: Directory in which the bench leaves its entry.

    Raises:
        SiteScoreError: The run left no finished entry.
    """
    known = set(journal.glob("*.json"))
    # A failed gate also ends the command with an error.
    subprocess.run((bench, "score", site, *options), check=False)
    for path in sorted(set(journal.glob("*.json")) - known):
        text = path.read_text()
        if json.loads(text).get("site") == site.stem:
            return parse_entry(text)
    raise SiteScoreError(
        f"the score of {site} left no entry in {journal}",
        "see what the bench printed above",
    )


def compare(
    scores: list[SiteScore], figures: dict[str, dict[str, float]]
) -> list[Comparison]:
    """Returns each day beside its earlier figure."""
    return [
        Comparison(each.site, day, figures.get(each.site, {}).get(day.name))
        for each in scores
        for day in each.days
    ]


def table(rows: list[Comparison]) -> str:
    """Returns the comparison as a table in Markdown."""
    lines = ["| site, day | before | now | drop | |", "|---|---|---|---|---|"]
    for row in rows:
        before = "-" if row.before is None else f"{row.before:.3f}"
        verdict = row.day.problem or ("worse" if row.is_worse else "")
        lines.append(
            f"| {row.site} {row.day.name} | {before} | {row.day.worth:.3f}"
            f" | {row.drop:+.3f} | {verdict} |"
        )
    return "\n".join(lines)
