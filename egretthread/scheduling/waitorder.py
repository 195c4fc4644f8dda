"""Queueing discipline: the order in which waiting tasks are dispatched.

Tasks are ordered by the priority that operators give to their route, and within
one priority by the latest start that meets the job's objective. A job that has
not started and can no longer meet its objective goes behind those that still
can, since any capacity that it uses would make another job late. A job that has
started keeps its position, since its finished work would be lost otherwise.
"""

from egretthread.scheduling.entryboard import Task


def sort_key(task: Task, now_s: float) -> tuple:
    """Returns the sort key of a waiting task; the lowest goes first."""
    order_s = latest_s(task) - task.job.lead_s
    return (is_late(task, now_s), task.job.route.priority, order_s)


def latest_s(task: Task) -> float:
    """Returns the latest start at which a task meets its job's objective."""
    return task.job.objective_s - task.job.expected_s[task.step]


def is_late(task: Task, now_s: float) -> bool:
    """Whether a task goes last because its job misses its objective."""
    return not task.job.may_have_started and now_s > latest_s(task)
