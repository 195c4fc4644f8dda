"""Compares the results of callers with the starts at backend servers."""

import asyncio
import collections
import dataclasses
import time

from egretthread import apierror, client
from egretthread.outcome import JobAnswer, OutcomeKind
from egretthread_standins import checks
from egretthread_standins.checks import Check
from egretthread_standins.cluster import Start

COMPLETE_KINDS = {OutcomeKind.DONE}


@dataclasses.dataclass(frozen=True)
class CallResult:
    """Result of one call of the client.

    Attributes:
        job: The submitted job.
        began_s: Unix time at which the call began.
        response_s: Response time.
        answer: The answer, or None if an error was raised.
        error: The error, or None if there was an answer.
    """

    job: client.Job
    began_s: float
    response_s: float
    answer: JobAnswer | None = None
    error: apierror.ApiError | None = None


class Audit:
    """Submits jobs and records the results of all calls.

    Attributes:
        calls: Results of the calls, in the order in which they ended.
        abandoned: Keys of jobs whose call was cancelled.
    """

    def __init__(self):
        self.calls: list[CallResult] = []
        self.abandoned: set[str] = set()

    async def submit(
        self, caller: client.AsyncClient, job: client.Job, rekey: bool = False
    ) -> CallResult:
        """Submits a job and records its answer or its error."""
        began_s = time.time()
        begun_s = time.monotonic()
        answer = error = None
        try:
            answer = await caller.submit(job, rekey)
        except apierror.ApiError as caught:
            error = caught
        except asyncio.CancelledError:
            self.abandoned.add(job.key)
            raise
        response_s = time.monotonic() - begun_s
        call = CallResult(job, began_s, response_s, answer, error)
        self.calls.append(call)
        return call

    def check(self, starts: list[Start]) -> list[Check]:
        """Returns the checks of all calls so far against all starts."""
        answers = [call for call in self.calls if call.answer]
        counts = collections.Counter((s.key, s.index) for s in starts)
        return [
            checks.equal("double starts", 0, count_double_starts(starts)),
            checks.equal(
                "inconsistent answers",
                0,
                sum(is_inconsistent(answer) for answer in answers),
            ),
            checks.equal(
                "false not_run",
                0,
                count_if(answers, OutcomeKind.NOT_RUN, lambda n: n > 0, counts),
            ),
            checks.equal(
                "outcomes of tasks that never started",
                0,
                count_if(answers, OutcomeKind.DONE, lambda n: n == 0, counts)
                + count_if(
                    answers, OutcomeKind.FAILED, lambda n: n == 0, counts
                ),
            ),
            checks.equal(
                "refused as not started, but started",
                0,
                self.false_refusals(counts),
            ),
            checks.equal("answers that changed", 0, count_changed(answers)),
            checks.figure("calls answered", len(answers)),
            checks.figure("calls refused", len(self.calls) - len(answers)),
            checks.figure("tasks started", len(starts)),
        ]

    def false_refusals(self, counts: collections.Counter) -> int:
        """Counts refusals that wrongly say that no task has started.

        Jobs of several calls or of an abandoned call are left out, as
        another call may have started their tasks.
        """
        started = {key for key, _ in counts}
        call_counts = collections.Counter(call.job.key for call in self.calls)
        return sum(
            call.job.key in started
            for call in self.calls
            if call.error
            and not call.error.may_have_started
            and call_counts[call.job.key] == 1
            and call.job.key not in self.abandoned
        )


def count_double_starts(starts: list[Start]) -> int:
    """Returns how many tasks started more than once."""
    counts = collections.Counter((s.key, s.index) for s in starts)
    return sum(count > 1 for count in counts.values())


def is_inconsistent(call: CallResult) -> bool:
    """Whether an answer lacks outcomes or has a wrong `complete`."""
    outcomes = call.answer.outcomes
    kinds = {outcome.kind for outcome in outcomes}
    if len(outcomes) != len(call.job.tasks):
        return True
    return call.answer.complete != (kinds == COMPLETE_KINDS)


def count_if(
    answers: list[CallResult], kind: OutcomeKind, is_wrong, counts
) -> int:
    """Counts outcomes of a kind whose number of starts is wrong.

    Args:
        answers: Calls that were answered.
        kind: The kind of outcome.
        is_wrong: Whether a number of starts contradicts the kind.
        counts: Number of starts of each task.
    """
    return sum(
        is_wrong(counts[call.answer.key, index])
        for call in answers
        for index, outcome in enumerate(call.answer.outcomes)
        if outcome.kind is kind
    )


def count_changed(answers: list[CallResult]) -> int:
    """Counts the jobs whose known outcomes differ between two answers."""
    outcomes_by_task = collections.defaultdict(set)
    for call in answers:
        for index, outcome in enumerate(call.answer.outcomes):
            if outcome.kind is not OutcomeKind.UNKNOWN:
                outcomes_by_task[call.answer.key, index].add(outcome)
    return len(
        {
            key
            for (key, _), outcomes in outcomes_by_task.items()
            if len(outcomes) > 1
        }
    )


def count_kinds(call: CallResult) -> dict[str, int]:
    """Returns the number of tasks with each outcome, or with the error."""
    if call.answer is None:
        return {call.error.kind: len(call.job.tasks)}
    return dict(
        collections.Counter(
            outcome.kind.value for outcome in call.answer.outcomes
        )
    )
