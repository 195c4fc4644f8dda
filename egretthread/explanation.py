"""What became of one request, from the logs of several processes.

The clocks of processes differ. A line of another process about the request
is moved by no more than it takes to stand between the first and the last line
of the entry that answered it.
"""

import dataclasses
from collections.abc import Callable, Sequence

from egretthread.logline import LogLine

# Lines without a request that may have decided it: what a process believed.
STATE_EVENTS = frozenset(
    (
        "agent_lost",
        "agent_state",
        "group_lost",
        "lines_dropped",
        "operators_state",
        "process_paused",
        "server_lost",
        "server_silent",
        "server_state",
        "shutdown_began",
        "store_lost",
        "zone_withdrawn",
    )
)
# Such lines count when they are this much older than the request, at most.
AROUND_S = 5.0
# Answers: the last line of a request at its entry.
ANSWERS = ("job_answered", "job_refused")


@dataclasses.dataclass(frozen=True)
class Explanation:
    """What became of one request, and why.

    Attributes:
        lines: Its lines, in order.
        around: Lines on the state of the processes, at that time.
        outcome: How it was answered; empty when no line says so.
        cause: Why, in a sentence.
        deciding: The line that this rests on.
    """

    lines: tuple[LogLine, ...]
    around: tuple[LogLine, ...]
    outcome: str
    cause: str
    deciding: LogLine | None


@dataclasses.dataclass(frozen=True)
class Cause:
    """One kind of cause.

    Attributes:
        outcomes: Outcomes that it explains.
        event: Event of the line that shows it.
        holds: Whether a line shows it.
        text: The sentence; fields of the line fill its braces.
    """

    outcomes: tuple[str, ...]
    event: str
    holds: Callable[[LogLine], bool]
    text: str


def _always(line: LogLine) -> bool:
    return True


def _reason(text: str) -> Callable[[LogLine], bool]:
    return lambda line: line.fields.get("reason") == text


# The first one that holds is given. `late` is a completed request whose
# objective had passed.
CAUSES = (
    Cause(
        ("refused",),
        "job_refused",
        _reason("no backend server"),
        "no backend server of the service was usable at this entry",
    ),
    Cause(
        ("refused",),
        "job_refused",
        _reason("overload"),
        "it would have waited {wait_s} s for room, {slack_s} s were left:"
        " {ahead_cpu_s} core-seconds went first at {rate_cpu} cores, of"
        " {usable_cpu} usable ones",
    ),
    Cause(
        ("refused",),
        "job_answered",
        _reason("no room in time"),
        "others got the room first, and it could not have ended in time",
    ),
    Cause(
        ("failed",),
        "run_failed",
        _always,
        "a task failed {failures} times of {allowed} allowed, last on {agent}",
    ),
    Cause(
        ("given_up", "late"),
        "agent_lost",
        _always,
        "its agent {agent} was silent for {silent_s} s, and the tasks had to"
        " wait until they were surely over",
    ),
    Cause(
        ("given_up", "late"),
        "slow_run",
        lambda line: line.fields.get("room_elsewhere") == "false",
        "a task was slow on {agent} ({left_s} s left), and there was no room"
        " elsewhere",
    ),
    Cause(
        ("given_up", "late"),
        "run_slow",
        lambda line: line.fields.get("stalled") == "true",
        "a task stood still at {percent} % on its backend server after"
        " {age_s} s",
    ),
    Cause(
        ("given_up", "late"),
        "run_slow",
        _always,
        "a task was at {percent} % after {age_s} s, {expected_s} s were"
        " expected",
    ),
    Cause(
        ("given_up", "late"),
        "run_failed",
        _always,
        "a task failed on {agent} and was started again",
    ),
    Cause(
        ("given_up", "late"),
        "start_unanswered",
        _always,
        "a backend server did not answer the order to start a task",
    ),
    Cause(
        ("given_up", "late", "unknown"),
        "run_lapsed",
        _always,
        "the agent had not heard of {entry} for {silent_s} s and stopped a"
        " task: the entry ended, stood still or was cut off",
    ),
    Cause(
        ("given_up", "late"),
        "job_answered",
        lambda line: line.number("handed_s") > line.number("expected_s"),
        "the last task waited {handed_s} s for room",
    ),
    Cause(
        ("given_up", "late"),
        "job_answered",
        lambda line: line.number("runs") > line.number("tasks"),
        "tasks were started again: {runs} runs of {tasks} tasks",
    ),
    Cause(
        ("given_up", "late"),
        "job_answered",
        lambda line: line.number("took_s") > 1.3 * line.number("expected_s"),
        "its tasks ran longer than the {expected_s} s that were expected",
    ),
    Cause(
        ("cancelled",),
        "job_answered",
        _always,
        "{reason}, {took_s} s after it came",
    ),
    Cause(
        ("given_up",),
        "job_answered",
        _always,
        "{reason}, {took_s} s after it came",
    ),
    Cause(
        ("unsupported",),
        "job_unsupported",
        _always,
        "it asks for {feature}, which is not supported",
    ),
)


def explain(lines: Sequence[LogLine], request: str) -> Explanation | None:
    """Returns what became of a request; None when no line mentions it.

    Args:
        lines: Events of all processes.
        request: Id of the request.
    """
    own = [line for line in lines if line.mentions(request)]
    if not own:
        return None
    own = _in_order(own)
    begin_s, end_s = own[0].at_s, own[-1].at_s
    begin_s = min(begin_s, end_s - _longest_s(own))
    sources = {line.source for line in own}
    names = {
        line.fields[key].partition("#")[0]
        for line in own
        for key in ("agent", "entry")
        if line.fields.get(key)
    }
    around = [
        line
        for line in lines
        if line.event in STATE_EVENTS
        and begin_s - AROUND_S <= line.at_s <= end_s
        and (line.source in sources or _is_about(line, names))
    ]
    outcome = _outcome(own)
    cause, deciding = _cause(outcome, [*own, *around])
    return Explanation(tuple(own), tuple(around), outcome, cause, deciding)


def _longest_s(lines: Sequence[LogLine]) -> float:
    """Returns how long the request took, as far as a line says so."""
    took_s = [line.number("took_s") for line in lines]
    return max((s for s in took_s if s == s), default=0.0)


def _is_about(line: LogLine, names: set[str]) -> bool:
    return line.fields.get("agent", "").partition("#")[0] in names


def _in_order(lines: Sequence[LogLine]) -> list[LogLine]:
    """Returns lines by time, after moving those of clocks that differ."""
    answers = [line for line in lines if line.event in ANSWERS]
    if not answers:
        return sorted(lines, key=lambda line: line.at_s)
    last = max(answers, key=lambda line: line.at_s)
    end_s = last.at_s
    begin_s = end_s - max(0.0, _longest_s([last]))
    moved = []
    for source in {line.source for line in lines}:
        own = [line for line in lines if line.source == source]
        shift_s = 0.0
        if source != last.source:
            shift_s = _shift_s(own, begin_s, end_s)
        moved += [
            dataclasses.replace(line, at_s=line.at_s + shift_s) for line in own
        ]
    return sorted(moved, key=lambda line: (line.at_s, line.event in ANSWERS))


def _shift_s(lines: Sequence[LogLine], begin_s: float, end_s: float) -> float:
    """Returns by how much a source's lines must move to fit into a span."""
    first_s = min(line.at_s for line in lines)
    last_s = max(line.at_s for line in lines)
    if first_s < begin_s:
        return begin_s - first_s
    return min(0.0, end_s - last_s)


def _outcome(lines: Sequence[LogLine]) -> str:
    """Returns how a request was answered in the end."""
    for line in reversed(lines):
        if line.event == "job_refused":
            return "refused"
        if line.event == "job_unsupported":
            return "unsupported"
        if line.event == "job_answered":
            outcome = line.fields.get("outcome", "")
            if outcome == "completed" and line.number("objective_left_s") < 0:
                return "late"
            return outcome
    return "unknown"


def _cause(
    outcome: str, lines: Sequence[LogLine]
) -> tuple[str, LogLine | None]:
    if outcome == "completed":
        return "it was completed in time", None
    for cause in CAUSES:
        if outcome not in cause.outcomes:
            continue
        for line in reversed(lines):
            if line.event == cause.event and cause.holds(line):
                return cause.text.format_map(_Fields(line.fields)), line
    if outcome == "unknown":
        return "no line tells its answer: the entry ended before it", None
    return "no line tells why", None


class _Fields(dict):
    """Fields of a line; one that is missing is shown as a question mark."""

    def __missing__(self, key: str) -> str:
        return "?"
