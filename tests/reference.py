"""Reference model of the dispatcher: one process that never fails."""

import collections
from collections.abc import Callable

from egretthread import config
from egretthread.jobkey import JobRef
from egretthread.outcome import JobAnswer, Outcome, not_run
from egretthread.submission import Refusal, Submission


class ReferenceDispatcher:
    """Answers every submission synchronously.

    Attributes:
        configuration: The configuration in force.
        run: Runs the task of a payload.
        unix_s: Wall clock, set by the caller.
        max_worker_bytes: Memory of the largest worker.
        jobs: Digest and answer of each job.
        queue: Payloads still to run.
    """

    def __init__(
        self,
        configuration: config.Configuration,
        run: Callable[[str], Outcome],
        max_worker_bytes: int,
    ):
        self.configuration = configuration
        self.run = run
        self.unix_s = 0.0
        self.max_worker_bytes = max_worker_bytes
        self.jobs: dict[JobRef, tuple[str, JobAnswer]] = {}
        self.queue: collections.deque = collections.deque()

    def submit(self, submission: Submission) -> JobAnswer | str:
        """Returns the answer, or the kind of the refusal, to a submission."""
        known = self.jobs.get(submission.job)
        expired = (
            submission.job.issued_s
            < self.unix_s - self.configuration.retention_s
        )
        if known is not None and not expired:
            digest, answer = known
            return answer if digest == submission.digest else "key_conflict"
        service = self.configuration.service(submission.service)
        if (
            service is None
            or submission.job.organisation not in service.organisations
        ):
            return "unknown_service"
        if expired:
            return "key_expired"
        if submission.job.issued_s > self.unix_s + 1.0:
            return "key_in_future"
        answer = JobAnswer(submission.job.key, self._outcomes(submission))
        self.jobs[submission.job] = (submission.digest, answer)
        return answer

    def _outcomes(self, submission: Submission) -> tuple[Outcome, ...]:
        required_bytes = max(task.memory_bytes for task in submission.tasks)
        if required_bytes > self.max_worker_bytes:
            return (not_run(""),) * len(submission.tasks)
        self.queue.extend(task.payload for task in submission.tasks)
        outcomes = []
        while self.queue:
            outcomes.append(self.run(self.queue.popleft()))
        return tuple(outcomes)


def comparable(result: JobAnswer | Refusal | str) -> object:
    """Returns what both versions must agree on, without texts of reasons."""
    if isinstance(result, JobAnswer):
        return [
            (outcome.kind.value, outcome.result) for outcome in result.outcomes
        ]
    return result.kind if isinstance(result, Refusal) else result
