"""Counts the requests that were not served in time, by cause and by time."""

import collections
import dataclasses
from collections.abc import Sequence

from egretthread import explanation
from egretthread.logline import LogLine

# Cause of a loss that no line explains.
UNKNOWN_CAUSE = "unknown"


@dataclasses.dataclass(frozen=True)
class Loss:
    """One request that was answered late or not served.

    Attributes:
        job: Its id.
        received_s: When it was received, as Unix time.
        route: Its route.
        outcome: How it was answered; `late` if after its objective.
        cause: Short name of the cause.
    """

    job: str
    received_s: float
    route: str
    outcome: str
    cause: str


@dataclasses.dataclass(frozen=True)
class Losses:
    """Requests that were not served in time.

    Attributes:
        answered: Number of all answered requests.
        losses: The requests that were not served in time, the first one first.
    """

    answered: int
    losses: tuple[Loss, ...]

    def by_cause(self) -> dict[tuple[str, str], collections.Counter]:
        """Returns the losses by outcome and cause, as counts by route."""
        counts: dict[tuple[str, str], collections.Counter] = {}
        for loss in self.losses:
            routes = counts.setdefault(
                (loss.outcome, loss.cause), collections.Counter()
            )
            routes[loss.route] += 1
        return dict(sorted(counts.items(), key=lambda item: -item[1].total()))

    def by_time(
        self, begin_s: float, interval_s: float
    ) -> dict[float, collections.Counter]:
        """Returns the losses by interval, as counts by outcome and cause.

        Args:
            begin_s: Unix time at which the first interval begins.
            interval_s: Length of an interval.
        """
        counts: dict[float, collections.Counter] = {}
        for loss in self.losses:
            number = (loss.received_s - begin_s) // interval_s
            causes = counts.setdefault(
                number * interval_s, collections.Counter()
            )
            causes[loss.outcome, loss.cause] += 1
        return dict(sorted(counts.items()))


def find(lines: Sequence[LogLine]) -> Losses:
    """Finds the requests that were not served in time.

    A request that was answered more than once counts by its last answer. One
    whose entry ended before it answered leaves no line.
    """
    answers = {}
    related: dict[str, list[LogLine]] = collections.defaultdict(list)
    state_lines = []
    for line in lines:
        job = line.fields.get("job", "")
        if job:
            related[job].append(line)
        if line.event in explanation.ANSWER_EVENTS:
            answers[job] = line
        elif line.event in explanation.STATE_EVENTS:
            state_lines.append(line)
    losses = []
    for job, answer in answers.items():
        found = explanation.explain([*related[job], *state_lines], job)
        if found is None or found.outcome in ("completed", "cancelled"):
            continue
        took_s = answer.number("took_s")
        received_s = answer.at_s - (took_s if took_s == took_s else 0.0)
        losses.append(
            Loss(
                job,
                received_s,
                answer.fields.get("route", ""),
                found.outcome,
                found.cause_name or UNKNOWN_CAUSE,
            )
        )
    losses.sort(key=lambda loss: loss.received_s)
    return Losses(len(answers), tuple(losses))
