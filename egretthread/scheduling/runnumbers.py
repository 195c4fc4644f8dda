"""Numbers of the runs of kept jobs' tasks, in the order of their starts.

The numbers of a task's runs rise across coordinators and backend servers, so
that the end of its last run can be told from that of an earlier one. A task is
started again only after the store has the number of its last run. What a
coordinator loads is therefore complete but for the last run of each task, which
its predecessor may have started since.
"""

from egretthread.scheduling.entryboard import IDLE_STATES, Job, Task, TaskState
from egretthread.scheduling.jobrecord import Progress

# Maximum number of tasks whose runs are listed in the progress of a job.
MAX_LISTED_TASKS = 1000


def restore(job: Job, progress: Progress) -> None:
    """Applies the numbers in stored progress to a job."""
    job.first_run = progress.superseded_all + 1
    for (step, index), number in progress.superseded.items():
        job.tasks[step][index].run = number


def begin(job: Job, progress: Progress) -> None:
    """Makes the numbers of all runs to come higher than any number in use.

    Args:
        job: A job that an earlier coordinator may have started.
        progress: Its progress when it was loaded.
    """
    known = max(progress.superseded.values(), default=0)
    job.first_run = max(progress.superseded_all, known) + 2


def next_number(task: Task) -> int:
    """Returns the number of the next run of a task."""
    return max(task.run + 1, task.job.first_run)


def on_refused(task: Task) -> None:
    """Frees the number of the last run of a task, which has not started."""
    task.run = max(0, task.run - 1)


def is_superseded(task: Task, progress: Progress, number: int) -> bool:
    """Whether a task has or may have been started again after a run.

    Args:
        task: The task.
        progress: The progress of its job when it was loaded.
        number: Number of the run.
    """
    own = progress.superseded.get((task.step, task.index), 0)
    if number <= max(progress.superseded_all, own):
        return True
    return bool(task.attempt) and number != task.run


def record(job: Job) -> tuple[int, dict[tuple[int, int], int]]:
    """Returns the fields on superseded runs in the progress of a job.

    Returns:
        `superseded_all` and `superseded` of the progress.
    """
    listed = {}
    for tasks in job.tasks:
        for task in tasks:
            number = task.run if task.state in IDLE_STATES else task.run - 1
            if number >= job.first_run and task.state is not TaskState.DONE:
                listed[task.step, task.index] = number
    if len(listed) > MAX_LISTED_TASKS:
        # The ends of all present runs will be void for the next coordinator.
        job.first_run = max(t.run for tasks in job.tasks for t in tasks) + 1
        listed = {}
    return job.first_run - 1, listed


def is_stored(task: Task, progress: Progress) -> bool:
    """Whether written progress covers the last run of a task."""
    own = progress.superseded.get((task.step, task.index), 0)
    return task.run <= max(progress.superseded_all, own)
