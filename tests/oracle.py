"""A plain record of starts and answers, and what must always hold of them.

It knows callers, tasks, availability zones and configurations, and nothing
of how the system decides.
"""

import collections
import dataclasses

from egretthread import config
from egretthread.agentboard import StartOrder
from egretthread.jobkey import JobRef
from egretthread.outcome import JobAnswer, Outcome, OutcomeKind
from egretthread.submission import Refusal, Submission

# A withdrawn zone or a draining backend server starts nothing after this.
STOP_WITHIN_S = 4.0
# A log that goes out this soon after a publication may hide it till it is
# back: nobody can have read it.
HIDDEN_WITHIN_S = 1.5
# A new configuration is in force by then at every entry that can read it.


class ViolationError(AssertionError):
    """Something that must always hold does not."""


@dataclasses.dataclass
class Request:
    """One caller's request.

    Attributes:
        submission: What was submitted.
        process: The process that it went to.
        sent_s: When.
        waiting: Whether the process took it.
        lost: Whether the process was not there to take it.
        result: The answer or refusal, once there is one.
    """

    submission: Submission
    process: object
    sent_s: float
    waiting: bool = False
    lost: bool = False
    result: JobAnswer | Refusal | None = None


@dataclasses.dataclass
class Start:
    """One start of one task.

    Attributes:
        number: Counts all starts.
        at_s: When.
        process: The agent.
        origin: The process that handed it out.
        payload: The task's payload.
        outcome: What the backend server made of it.
    """

    number: int
    at_s: float
    process: object
    origin: object
    payload: str
    outcome: Outcome | None = None


@dataclasses.dataclass
class Outage:
    """A time during which nobody can learn of a new configuration.

    Attributes:
        begin_s: When it began.
        unread_s: When the first configuration was published that no living
            entry had read by then.
        end_s: When it ended.
    """

    begin_s: float
    unread_s: float
    end_s: float = float("inf")

    def hides(self, published_s: float) -> bool:
        """Whether a publication cannot be known before the outage ends."""
        soon = self.begin_s <= published_s + HIDDEN_WITHIN_S
        unread = published_s >= self.unread_s
        return (soon or unread) and self.end_s > published_s


class Oracle:
    """The record and the checks.

    Attributes:
        requests: All requests by job.
        starts: The starts by job and index.
        not_run: Tasks that some answer reported as not run.
        settled: Outcomes DONE and FAILED that answers gave, by task.
        answered: Digest whose tasks were answered or started, by job.
        published: (time, configuration) pairs in the order of the log.
        outages: Each time that the log, or most entries' way to it, was out.
        withdrawn_s: When each withdrawn zone was withdrawn.
        drained_s: When each draining backend server was marked.
        seen: Highest configuration offset seen, by node.
    """

    def __init__(self):
        self.requests = collections.defaultdict(list)
        self.starts: dict[tuple[JobRef, int], Start] = {}
        self.not_run: set[tuple[JobRef, int]] = set()
        self.settled: dict[tuple[JobRef, int], Outcome] = {}
        self.answered: dict[JobRef, str] = {}
        self.published: list[tuple[float, config.Configuration]] = []
        self.outages: list[Outage] = []
        self.withdrawn_s: dict[str, float] = {}
        self.drained_s: dict[str, float] = {}
        self.leaving_s: dict[object, float] = {}
        self.seen: dict[str, int] = {}
        self.counts = collections.Counter()

    # What happens.

    def on_process(self, process) -> None:
        """Notes a new incarnation."""
        self.seen[process.node] = -1

    def on_published(self, world, new: config.Configuration) -> None:
        """Notes an accepted configuration."""
        self.published.append((world.now_s, new))
        withdrawn = {zone.name for zone in new.zones if zone.withdrawn}
        _keep_since(self.withdrawn_s, withdrawn, world.now_s)
        drained = set(new.draining_servers)
        _keep_since(self.drained_s, drained, world.now_s)

    def begin_outage(self, world, read: int) -> "Outage":
        """Notes that the log goes out for a majority of the entries.

        Args:
            world: The world.
            read: How many configurations some living entry has read.
        """
        unread = [at_s for at_s, _ in self.published[read:]]
        outage = Outage(world.now_s, min(unread, default=float("inf")))
        self.outages.append(outage)
        return outage

    def end_outage(self, world, outage: "Outage") -> None:
        """Notes that the log is back."""
        outage.end_s = world.now_s

    def on_request(self, world, process, submission: Submission) -> Request:
        """Notes a caller's request."""
        request = Request(submission, process, world.now_s)
        self.requests[submission.job].append(request)
        self.counts["requests"] += 1
        return request

    def on_start(self, world, process, order: StartOrder, origin) -> Start:
        """Checks and notes the start of a task."""
        task = (order.job, order.index)
        self._check(
            task not in self.starts,
            f"{task} started twice: {self.starts.get(task)}",
        )
        self._check(task not in self.not_run, f"{task} ran, not_run was told")
        digest = self._digest_of(order)
        known = self.answered.setdefault(order.job, digest)
        self._check(known == digest, f"{task} of another content started")
        self._check_zone(world, process)
        self._check_refusals(order.job, origin)
        self.counts["starts"] += 1
        start = Start(
            self.counts["starts"], world.now_s, process, origin, order.payload
        )
        self.starts[task] = start
        return start

    def on_result(self, world, process, job: JobRef, result) -> None:
        """Hands a result to all callers who wait for it at a process."""
        for request in self.requests[job]:
            if request.process is process and request.waiting:
                request.waiting = False
                self.resolve(world, request, result)

    def resolve(self, world, request: Request, result) -> None:
        """Checks and notes what a caller is told."""
        self._check(request.result is None, "a caller was answered twice")
        request.result = result
        if isinstance(result, Refusal):
            self.counts[f"refused_{result.kind}"] += 1
            self._check_not_started(request)
        else:
            self.counts["answers"] += 1
            self._check_answer(request, result)

    # What must hold.

    def _check(self, holds: bool, text: str) -> None:
        if not holds:
            raise ViolationError(text)

    def _digest_of(self, order: StartOrder) -> str:
        digests = {
            request.submission.digest
            for request in self.requests[order.job]
            if order.index < len(request.submission.tasks)
            and request.submission.tasks[order.index].payload == order.payload
        }
        self._check(len(digests) == 1, f"{order} was never submitted")
        return digests.pop()

    def _check_zone(self, world, process) -> None:
        for since_s, what in (
            (self.withdrawn_s.get(process.zone), "a withdrawn zone"),
            (self.drained_s.get(process.name), "a draining server"),
            (self.leaving_s.get(process), "a leaving server"),
        ):
            if since_s is None:
                continue
            since_s = self._readable_s(since_s)
            late_s = world.now_s - since_s
            self._check(
                late_s <= STOP_WITHIN_S,
                f"start on {process.name} in {what} {late_s:.2f} s late",
            )

    def _readable_s(self, published_s: float) -> float:
        """Returns since when a publication could be read by anyone."""
        for outage in self.outages:
            if outage.hides(published_s):
                published_s = outage.end_s
        return published_s

    def _requests_at(self, job: JobRef, process) -> list[Request]:
        return [r for r in self.requests[job] if r.process is process]

    def _check_refusals(self, job: JobRef, origin) -> None:
        """A process starts nothing of a job that it said it did not start."""
        told = [r.result for r in self._requests_at(job, origin)]
        self._check(
            bool(told) and not all(_says_not_started(r) for r in told),
            f"a task of {job} started; {origin.name} had refused the job",
        )

    def _check_not_started(self, request: Request) -> None:
        """A refusal that says so is true: the request started nothing."""
        if request.result.started:
            return
        job = request.submission.job
        own = [
            start
            for task, start in self.starts.items()
            if task[0] == job
            and start.origin is request.process
            and start.at_s >= request.sent_s
        ]
        self._check(not own, f"{own} started; the request was refused")
        if all(_says_not_started(r.result) for r in self.requests[job]):
            started = [task for task in self.starts if task[0] == job]
            self._check(not started, f"{started} ran; all were refused")

    def _check_answer(self, request: Request, answer: JobAnswer) -> None:
        submission = request.submission
        job = submission.job
        self._check(answer.key == job.key, "an answer to another key")
        known = self.answered.setdefault(job, submission.digest)
        self._check(known == submission.digest, f"{job} answered for another")
        size = len(submission.tasks)
        self._check(len(answer.outcomes) == size, f"{job}: partial answer")
        for index, item in enumerate(answer.outcomes):
            self._check_outcome((job, index), item)

    def _check_outcome(self, task, item: Outcome) -> None:
        start = self.starts.get(task)
        settled = self.settled.get(task)
        if item.kind is OutcomeKind.NOT_RUN:
            self._check(start is None, f"{task} ran; not_run is false")
            self.not_run.add(task)
        elif item.kind is not OutcomeKind.UNKNOWN:
            self._check(start is not None, f"{task} never ran: {item}")
            self._check(item == start.outcome, f"{task} gave another result")
            self._check(settled in (None, item), f"{task} changed its outcome")
            self.settled[task] = item

    def check_configurations(self, world) -> None:
        """Checks that no process goes back to an older configuration."""
        for process in world.processes.values():
            board = process.board
            if process.kind == "entry":
                offset = board.config_offset
            else:
                offset = (
                    board.config_reply.config_offset
                    if board.config_reply
                    else -1
                )
            before = self.seen[process.node]
            self._check(
                offset >= before, f"{process.node} went from {before} back"
            )
            self.seen[process.node] = offset
            if process.kind == "entry" and offset >= 0:
                self._check(
                    board.configuration == self.published[offset][1],
                    f"{process.node} has something else in force",
                )
            if process.kind == "agent" and offset >= 0:
                self._check_view(process, self.published[offset][1])

    def _check_view(self, process, published: config.Configuration) -> None:
        view = process.board.config_reply
        withdrawn = published.zone(process.zone).withdrawn
        drained = process.name in published.draining_servers
        self._check(
            (view.withdrawn, view.draining) == (withdrawn, drained),
            f"{process.node} has something else in force",
        )

    def check_settled(self, world) -> None:
        """Checks, after all faults have ended, that everybody was told."""
        for job, requests in self.requests.items():
            for request in requests:
                if request.process.alive and request.waiting:
                    raise ViolationError(f"{job}: a caller still waits")
        offset = len(world.configs) - 1
        for process in world.processes.values():
            if process.alive and not process.leaving:
                self._check(
                    self.seen[process.node] == offset,
                    f"{process.node} has {self.seen[process.node]} in force,"
                    f" not {offset}",
                )


def _says_not_started(result: JobAnswer | Refusal | None) -> bool:
    return isinstance(result, Refusal) and not result.started


def _keep_since(since: dict[str, float], names: set[str], now_s: float) -> None:
    for name in set(since) - names:
        del since[name]
    for name in names - set(since):
        since[name] = now_s
