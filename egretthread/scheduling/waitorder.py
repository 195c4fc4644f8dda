"""Who waits: the order in which waiting tasks get room.

Queues go by the priority that operators give them; within one priority the
task goes first whose objective leaves it the least time. A job that has not
started and can no longer meet its objective goes behind those that can still
meet theirs: whatever it gets, somebody else would be late for it. A job that
has started keeps its place, since its work would be lost otherwise.
"""

from egretthread.scheduling.entryboard import Task


def sort_key(task: Task, now_s: float) -> tuple:
    """Returns the place of a waiting task; lower goes first."""
    return (is_late(task, now_s), task.job.route.priority, latest_s(task))


def latest_s(task: Task) -> float:
    """Returns when a task must start to meet its job's objective."""
    return task.job.objective_s - task.job.expected_s[task.step]


def is_late(task: Task, now_s: float) -> bool:
    """Whether a task gives way because its job's objective is missed."""
    return not task.job.may_have_started and now_s > latest_s(task)
