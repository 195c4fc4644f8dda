"""Judges the events of a run by all rules."""

from egretthread_standins.platformsite.site import Event
from egretthread_standins.soak import configrule, jobrules, runrules
from egretthread_standins.soak.breaks import Break

# Functions from events, in the order of their times, to breaks.
RULES = (
    runrules.overlaps,
    runrules.starts_after_end,
    runrules.starts_after_completion,
    runrules.early_starts,
    runrules.unasked_starts,
    runrules.rejected_starts,
    runrules.starts_while_draining,
    jobrules.disowned_jobs,
    jobrules.unfinished_jobs,
    jobrules.untrue_states,
    jobrules.hidden_jobs,
    jobrules.ended_processes,
    configrule.late_configurations,
)


def judge(events: list[Event]) -> list[Break]:
    """Returns what breaks a rule, in the order of its time."""
    ordered = sorted(events, key=lambda event: event.at_s)
    broken = [each for rule in RULES for each in rule(ordered)]
    return sorted(broken, key=lambda each: each.at_s)
