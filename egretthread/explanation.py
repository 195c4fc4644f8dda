"""Explains the outcome of a request from the logs of several processes.

The clocks of the processes differ. The lines of other processes about the
request are therefore shifted, but only as far as is needed for them to lie
between the start and the end of the request at the entry that answered it.
"""

import dataclasses
from collections.abc import Callable, Sequence

from egretthread.logline import LogLine

# Events without a request that may have decided it: they tell what a process
# knew about the state of other processes and of itself.
STATE_EVENTS = frozenset(
    (
        "agent_lost",
        "agent_state",
        "agents_found",
        "group_lost",
        "lines_dropped",
        "operators_state",
        "process_paused",
        "route_confined",
        "server_lost",
        "server_silent",
        "server_state",
        "servers_isolated",
        "shutdown_began",
        "started",
        "store_lost",
        "zone_withdrawn",
    )
)
# Such lines are considered if they are at most this much older than the
# request.
STATE_LOOKBACK_S = 5.0
# Events of which one is the last line of a request at its entry.
ANSWER_EVENTS = ("job_answered", "job_refused", "forwarded_job_ended")

# Reasons of the end of a job that was forwarded to an entry which was lost.
LOST_REASONS = ("lost at the other entry", "other entry unreachable")


@dataclasses.dataclass(frozen=True)
class Explanation:
    """The outcome of one request and its cause.

    Attributes:
        lines: The lines about the request, in order.
        state_lines: Lines on the state of the processes at that time.
        outcome: How the request was answered; `unknown` if no line tells.
        cause: The cause of the outcome, as a sentence.
        cause_name: A short name of the cause; empty if none is known.
        deciding_line: The line that shows the cause, if any.
    """

    lines: tuple[LogLine, ...]
    state_lines: tuple[LogLine, ...]
    outcome: str
    cause: str
    cause_name: str
    deciding_line: LogLine | None


@dataclasses.dataclass(frozen=True)
class Cause:
    """One kind of cause.

    Attributes:
        name: A short name, for counts.
        outcomes: Outcomes that it explains.
        event: Event of the line that shows it.
        matches: Returns whether a line of that event shows it.
        text: The sentence; its placeholders are fields of the line.
    """

    name: str
    outcomes: tuple[str, ...]
    event: str
    matches: Callable[[LogLine], bool]
    text: str


def _always(line: LogLine) -> bool:
    return True


def _reason(text: str) -> Callable[[LogLine], bool]:
    return lambda line: line.fields.get("reason") == text


def _lost_to_a_share(reason: str) -> Callable[[LogLine], bool]:
    has_reason = _reason(reason)
    return lambda line: has_reason(line) and "lost_to" in line.fields


# The first cause that a line matches is reported. `late` is a request that was
# completed after its objective.
CAUSES = (
    Cause(
        "not accepted elsewhere",
        ("refused",),
        "forwarded_job_ended",
        lambda line: line.fields.get("was_accepted") == "false",
        "{reason}; it was forwarded to {entry}, which did not accept it",
    ),
    Cause(
        "lost at the other entry",
        ("given_up",),
        "forwarded_job_ended",
        lambda line: line.fields.get("reason") in LOST_REASONS,
        "it was forwarded to {entry}, and then: {reason}",
    ),
    Cause(
        "no backend server",
        ("refused",),
        "job_refused",
        _reason("no backend server"),
        "no backend server of the service was usable at this entry",
    ),
    Cause(
        "route confined",
        ("refused",),
        "job_refused",
        _reason("route confined"),
        "tasks of its route have crashed backend servers, and those that the"
        " route may still use are down",
    ),
    Cause(
        "no time left",
        ("refused",),
        "job_refused",
        _reason("no time left"),
        "the request had arrived, but could not be handled until {late_s} s"
        " after its caller stopped waiting: the entry had no configuration, or"
        " was paused or overloaded",
    ),
    Cause(
        "overload, share used up",
        ("refused",),
        "job_refused",
        _lost_to_a_share("overload"),
        "the expected wait for capacity was {wait_s} s, with {slack_s} s left:"
        " its share {share} used {share_cpu} cores, of {guaranteed_cpu}"
        " guaranteed ones, and share {lost_to} {lost_to_cpu} cores",
    ),
    Cause(
        "overload",
        ("refused",),
        "job_refused",
        _reason("overload"),
        "the expected wait for capacity was {wait_s} s, with {slack_s} s left:"
        " {ahead_cpu_s} core-seconds were ahead of it, processed at {rate_cpu}"
        " cores of {usable_cpu} usable ones",
    ),
    Cause(
        "just started",
        ("refused",),
        "agents_found",
        _always,
        "the entry had just started: when it knew its {agents} agents with"
        " {usable_cpu} cores, {after_s} s after its start, {waiting_tasks}"
        " tasks were waiting, and this one could not end in time",
    ),
    Cause(
        "no room in time, share used up",
        ("refused",),
        "job_answered",
        _lost_to_a_share("no room in time"),
        "it could not have ended in time: its share {share} used {share_cpu}"
        " cores, of {guaranteed_cpu} guaranteed ones, and share {lost_to}"
        " {lost_to_cpu} cores",
    ),
    Cause(
        "no room in time",
        ("refused",),
        "job_answered",
        _reason("no room in time"),
        "other jobs got the capacity first, and it could not have ended in"
        " time",
    ),
    Cause(
        "crashes backend servers",
        ("failed",),
        "job_answered",
        _reason("a task crashes backend servers"),
        "one of its tasks has crashed several backend servers, the last one"
        " while no other job was there",
    ),
    Cause(
        "task failed",
        ("failed",),
        "run_failed",
        _always,
        "a task failed {failures} times of {allowed} allowed, the last time on"
        " {agent}",
    ),
    Cause(
        "agent lost",
        ("given_up", "late"),
        "agent_lost",
        _always,
        "its agent {agent} was silent for {silent_s} s, and the tasks had to"
        " wait until their earlier runs had certainly ended",
    ),
    Cause(
        "server crashed",
        ("given_up", "late"),
        "run_lost",
        _always,
        "the backend server {server} crashed under a task after {age_s} s, and"
        " the task was started again",
    ),
    Cause(
        "slow run, no capacity elsewhere",
        ("given_up", "late"),
        "slow_run",
        lambda line: line.fields.get("room_elsewhere") == "false",
        "a task was slow on {agent} ({left_s} s left), and there was no"
        " capacity elsewhere",
    ),
    Cause(
        "stalled run",
        ("given_up", "late"),
        "run_slow",
        lambda line: line.fields.get("stalled") == "true",
        "a task stalled at {percent} % on its backend server after {age_s} s",
    ),
    Cause(
        "slow run",
        ("given_up", "late"),
        "run_slow",
        _always,
        "a task was at {percent} % after {age_s} s; {expected_s} s were"
        " expected",
    ),
    Cause(
        "run failed",
        ("given_up", "late"),
        "run_failed",
        _always,
        "a task failed on {agent} and was restarted",
    ),
    Cause(
        "start unanswered",
        ("given_up", "late"),
        "start_unanswered",
        _always,
        "a backend server did not answer the request to start a task",
    ),
    Cause(
        "run lapsed",
        ("given_up", "late", "unknown"),
        "run_lapsed",
        _always,
        "the agent had not heard from {entry} for {silent_s} s and stopped a"
        " task: the entry had ended, had stalled or was disconnected",
    ),
    Cause(
        "waited for capacity",
        ("given_up", "late"),
        "job_answered",
        lambda line: line.number("handed_s") > line.number("expected_s"),
        "the last task waited {handed_s} s for capacity",
    ),
    Cause(
        "run again",
        ("given_up", "late"),
        "job_answered",
        lambda line: line.number("runs") > line.number("tasks"),
        "tasks were restarted: {runs} runs of {tasks} tasks",
    ),
    Cause(
        "ran longer than expected",
        ("given_up", "late"),
        "job_answered",
        lambda line: line.number("took_s") > 1.3 * line.number("expected_s"),
        "its tasks ran longer than the {expected_s} s that were expected",
    ),
    Cause(
        "left by its caller",
        ("cancelled",),
        "job_answered",
        _always,
        "{reason}, {took_s} s after the request was received",
    ),
    Cause(
        "deadline passed",
        ("given_up",),
        "job_answered",
        _always,
        "{reason}, {took_s} s after the request was received",
    ),
    Cause(
        "answered by another entry",
        ("refused", "given_up", "failed", "cancelled"),
        "forwarded_job_ended",
        _always,
        "it was forwarded to {entry}, which answered: {reason}",
    ),
    Cause(
        "late at another entry",
        ("late",),
        "forwarded_job_ended",
        _always,
        "it was forwarded to {entry}, which took {there_s} s",
    ),
    Cause(
        "unsupported",
        ("unsupported",),
        "job_unsupported",
        _always,
        "it requires {feature}, which is not supported",
    ),
)


def explain(lines: Sequence[LogLine], request: str) -> Explanation | None:
    """Explains the outcome of a request; None if no line mentions it.

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
    state_lines = [
        line
        for line in lines
        if line.event in STATE_EVENTS
        and begin_s - STATE_LOOKBACK_S <= line.at_s <= end_s
        and (line.source in sources or _is_about_agent(line, names))
    ]
    outcome = _outcome(own)
    name, cause, deciding_line = _cause(outcome, [*own, *state_lines])
    return Explanation(
        tuple(own), tuple(state_lines), outcome, cause, name, deciding_line
    )


def _longest_s(lines: Sequence[LogLine]) -> float:
    """Returns how long the request took; 0 if no line tells."""
    took_s = [line.number("took_s") for line in lines]
    return max((s for s in took_s if s == s), default=0.0)


def _is_about_agent(line: LogLine, names: set[str]) -> bool:
    return line.fields.get("agent", "").partition("#")[0] in names


def _in_order(lines: Sequence[LogLine]) -> list[LogLine]:
    """Returns the lines by time, corrected for clocks that differ."""
    answers = [line for line in lines if line.event in ANSWER_EVENTS]
    if not answers:
        return sorted(lines, key=lambda line: line.at_s)
    last = max(answers, key=lambda line: line.at_s)
    end_s = last.at_s
    begin_s = end_s - max(0.0, _longest_s([last]))
    shifted = []
    for source in {line.source for line in lines}:
        own = [line for line in lines if line.source == source]
        shift_s = 0.0
        if source != last.source:
            shift_s = _shift_s(own, begin_s, end_s)
        shifted += [
            dataclasses.replace(line, at_s=line.at_s + shift_s) for line in own
        ]
    return sorted(
        shifted,
        key=lambda line: (
            line.at_s,
            line.event in ANSWER_EVENTS,
            line.event == "forwarded_job_ended",
        ),
    )


def _shift_s(lines: Sequence[LogLine], begin_s: float, end_s: float) -> float:
    """Returns the smallest shift that moves a source's lines into a span."""
    first_s = min(line.at_s for line in lines)
    last_s = max(line.at_s for line in lines)
    if first_s < begin_s:
        return begin_s - first_s
    return min(0.0, end_s - last_s)


def _outcome(lines: Sequence[LogLine]) -> str:
    """Returns the outcome of a request, `unknown` if no line tells it."""
    for line in reversed(lines):
        if line.event == "job_refused":
            return "refused"
        if line.event == "job_unsupported":
            return "unsupported"
        if line.event in ("job_answered", "forwarded_job_ended"):
            outcome = line.fields.get("outcome", "")
            if outcome == "completed" and line.number("objective_left_s") < 0:
                return "late"
            return outcome
    return "unknown"


def _cause(
    outcome: str, lines: Sequence[LogLine]
) -> tuple[str, str, LogLine | None]:
    """Returns the cause of an outcome: its name, a sentence and its line."""
    if outcome == "completed":
        return "", "it was completed in time", None
    for cause in CAUSES:
        if outcome not in cause.outcomes:
            continue
        for line in reversed(lines):
            if line.event == cause.event and cause.matches(line):
                text = cause.text.format_map(_Fields(line.fields))
                return cause.name, text, line
    if outcome == "unknown":
        return "", "no line shows its answer: the entry ended before it", None
    return "", "no line shows the cause", None


class _Fields(dict):
    """Fields of a line; missing fields are shown as question marks."""

    def __missing__(self, key: str) -> str:
        return "?"
