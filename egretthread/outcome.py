"""Outcomes of tasks and answers of jobs."""

import dataclasses
import enum


class OutcomeKind(enum.StrEnum):
    """The possible outcomes of a task when its job has ended."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The outcome of one task.

    Attributes:
        kind: Kind of the outcome.
        result: JSON text of the result; empty unless the kind is DONE.
        reason: Why the task is not DONE; empty if it is.
    """

    kind: OutcomeKind
    result: str = ""
    reason: str = ""

    def to_json(self) -> dict:
        """Returns the outcome as JSON data, with the result as text."""
        body = {"outcome": self.kind.value}
        if self.kind is OutcomeKind.DONE:
            body["result"] = self.result
        else:
            body["reason"] = self.reason
        return body


def done(result: str) -> Outcome:
    """Returns the outcome of a task that ran and returned a result."""
    return Outcome(OutcomeKind.DONE, result=result)


def failed(reason: str) -> Outcome:
    """Returns the outcome of a task that ran and failed."""
    return Outcome(OutcomeKind.FAILED, reason=reason)


def not_run(reason: str) -> Outcome:
    """Returns the outcome of a task that never started and never will."""
    return Outcome(OutcomeKind.NOT_RUN, reason=reason)


def unknown(reason: str) -> Outcome:
    """Returns the outcome of a task that may have run."""
    return Outcome(OutcomeKind.UNKNOWN, reason=reason)


@dataclasses.dataclass(frozen=True)
class JobAnswer:
    """The complete answer to a job.

    Attributes:
        key: The job key that the caller chose.
        outcomes: One outcome per task, by task index.
    """

    key: str
    outcomes: tuple[Outcome, ...]

    @property
    def complete(self) -> bool:
        """Whether every task is done; otherwise the job has failed."""
        return all(o.kind is OutcomeKind.DONE for o in self.outcomes)

    def to_json(self) -> dict:
        """Returns the answer as JSON data, with the results as text."""
        return {
            "key": self.key,
            "state": "complete" if self.complete else "failed",
            "tasks": [outcome.to_json() for outcome in self.outcomes],
        }
