"""What callers were told, compared with what backend servers recorded."""

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
class Told:
    """What one call of the client ended with.

    Attributes:
        job: The job that was submitted.
        began_s: Unix time of the call.
        response_s: How long it took.
        answer: The answer; None when an error was raised.
        error: The error; None when there was an answer.
    """

    job: client.Job
    began_s: float
    response_s: float
    answer: JobAnswer | None = None
    error: apierror.ApiError | None = None


class Audit:
    """Submits jobs and keeps what each caller was told.

    Attributes:
        told: What each call ended with, in the order of their ends.
        cut_off: Keys of the calls that were given up.
    """

    def __init__(self):
        self.told: list[Told] = []
        self.cut_off: set[str] = set()

    async def submit(
        self, caller: client.AsyncClient, job: client.Job, rekey: bool = False
    ) -> Told:
        """Submits a job and keeps its answer or its error."""
        began_s = time.time()
        begun_s = time.monotonic()
        answer = error = None
        try:
            answer = await caller.submit(job, rekey)
        except apierror.ApiError as caught:
            error = caught
        except asyncio.CancelledError:
            self.cut_off.add(job.key)
            raise
        response_s = time.monotonic() - begun_s
        told = Told(job, began_s, response_s, answer, error)
        self.told.append(told)
        return told

    def check(self, starts: list[Start]) -> list[Check]:
        """Returns the checks of all that was told so far."""
        answers = [told for told in self.told if told.answer]
        counts = collections.Counter((s.key, s.index) for s in starts)
        return [
            checks.equal("double starts", 0, doubled(starts)),
            checks.equal(
                "partial answers", 0, sum(is_partial(t) for t in answers)
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
                "refused unstarted, yet started",
                0,
                self.false_refusals(counts),
            ),
            checks.equal("answers that changed", 0, changed(answers)),
            checks.figure("calls answered", len(answers)),
            checks.figure("calls refused", len(self.told) - len(answers)),
            checks.figure("tasks started", len(starts)),
        ]

    def false_refusals(self, counts: collections.Counter) -> int:
        """Counts refused calls that say nothing started, when it did."""
        started = {key for key, _ in counts}
        calls = collections.Counter(told.job.key for told in self.told)
        return sum(
            told.job.key in started
            for told in self.told
            if told.error
            and not told.error.may_have_started
            and calls[told.job.key] == 1
            and told.job.key not in self.cut_off
        )


def doubled(starts: list[Start]) -> int:
    """Returns how many tasks started more than once."""
    counts = collections.Counter((s.key, s.index) for s in starts)
    return sum(count > 1 for count in counts.values())


def is_partial(told: Told) -> bool:
    """Whether an answer lacks outcomes, or claims to be complete wrongly."""
    outcomes = told.answer.outcomes
    kinds = {outcome.kind for outcome in outcomes}
    if len(outcomes) != len(told.job.tasks):
        return True
    return told.answer.complete != (kinds == COMPLETE_KINDS)


def count_if(answers: list[Told], kind: OutcomeKind, fails, counts) -> int:
    """Counts outcomes of a kind whose number of starts is wrong."""
    return sum(
        fails(counts[told.answer.key, index])
        for told in answers
        for index, outcome in enumerate(told.answer.outcomes)
        if outcome.kind is kind
    )


def changed(answers: list[Told]) -> int:
    """Counts the jobs whose known outcomes differ between two answers."""
    by_key = collections.defaultdict(set)
    for told in answers:
        for index, outcome in enumerate(told.answer.outcomes):
            if outcome.kind is not OutcomeKind.UNKNOWN:
                by_key[told.answer.key, index].add(outcome)
    return len({key for (key, _), seen in by_key.items() if len(seen) > 1})


def kinds(told: Told) -> dict[str, int]:
    """Returns how many tasks have which outcome."""
    if told.answer is None:
        return {told.error.kind: len(told.job.tasks)}
    return dict(
        collections.Counter(
            outcome.kind.value for outcome in told.answer.outcomes
        )
    )
