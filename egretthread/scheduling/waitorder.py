"""Who waits: the order in which waiting tasks get room.

Queues go by the priority that operators give them; within one priority the
task goes first whose objective leaves it the least time. A task whose
objective can no longer be met goes behind those that can still meet theirs:
whatever it gets, somebody else would be late for it.
"""

from egretthread.scheduling.entryboard import Task


def sort_key(task: Task, now_s: float) -> tuple:
    """Returns the place of a waiting task; lower goes first."""
    job = task.job
    latest_s = job.objective_s - job.expected_s[task.step]
    hopeless = now_s > latest_s
    return (hopeless, job.route.priority, latest_s)
