"""Test oracle: records starts and answers and checks the invariants.

It models callers, tasks, availability zones and configurations, and is
independent of the algorithms under test.
"""

import collections
import dataclasses

from egretthread import config
from egretthread.agentboard import StartCall
from egretthread.jobkey import JobRef
from egretthread.outcome import JobAnswer, Outcome, OutcomeKind
from egretthread.submission import Refusal, Submission

# A withdrawn zone, or a draining or stopping server, starts no task later
# than this after the change can be read.
STOP_BOUND_S = 4.0
# A new configuration is in force by then at every entry that can reach the
# log. If the log becomes unavailable earlier, no entry may have read the
# configuration, and it counts as unreadable until the log is back.
READABLE_WITHIN_S = 1.5


class ViolationError(AssertionError):
    """An invariant does not hold."""


@dataclasses.dataclass
class Request:
    """One request of a caller.

    Attributes:
        submission: The submitted job.
        process: The entry that it was sent to.
        sent_s: Time at which it was sent.
        waiting: Whether the entry accepted it and has not answered yet.
        lost: Whether the entry was dead or shutting down at that time.
        result: The answer or refusal, None until there is one.
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
        number: Sequence number among all starts, from 1.
        at_s: Time of the start.
        process: The agent.
        assigned_by: The entry that assigned the task.
        payload: The task's payload.
        outcome: Outcome that the backend server gave the task.
    """

    number: int
    at_s: float
    process: object
    assigned_by: object
    payload: str
    outcome: Outcome | None = None


@dataclasses.dataclass
class Outage:
    """A period in which no entry can read a new configuration.

    Attributes:
        begin_s: Start of the outage.
        unread_s: Time of the first publication that no live entry had read
            when the outage began.
        end_s: End of the outage; infinite while it lasts.
    """

    begin_s: float
    unread_s: float
    end_s: float = float("inf")

    def hides(self, published_s: float) -> bool:
        """Whether a publication cannot be read before the outage ends."""
        soon = self.begin_s <= published_s + READABLE_WITHIN_S
        unread = published_s >= self.unread_s
        return (soon or unread) and self.end_s > published_s


class Oracle:
    """Records what callers and backend servers see and checks invariants.

    Attributes:
        requests: All requests by job.
        starts: Starts by job and index.
        not_run: Tasks that an answer reported as not run.
        settled: Outcomes DONE and FAILED of answers, by task.
        answered: Digest of the tasks that were answered or started, by job.
        published: (time, configuration) pairs in the order of the log.
        outages: Outages of the log for all or a majority of the entries.
        withdrawn_s: Time of the withdrawal of each withdrawn zone.
        drained_s: Time at which each draining server was marked.
        shutdown_began_s: Time at which each process began to shut down.
        seen: Offset of the last configuration seen in force, by node.
        counts: Numbers of requests, starts, answers and refusals.
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
        self.shutdown_began_s: dict[object, float] = {}
        self.seen: dict[str, int] = {}
        self.counts = collections.Counter()

    def on_process(self, process) -> None:
        """Records a new incarnation."""
        self.seen[process.node] = -1

    def on_published(self, world, new: config.Configuration) -> None:
        """Records a published configuration."""
        self.published.append((world.now_s, new))
        withdrawn = {zone.name for zone in new.zones if zone.withdrawn}
        _track_since(self.withdrawn_s, withdrawn, world.now_s)
        drained = set(new.draining_servers)
        _track_since(self.drained_s, drained, world.now_s)

    def begin_outage(self, world, read: int) -> "Outage":
        """Records that a majority of the entries cannot reach the log.

        Args:
            world: The simulated region.
            read: Number of configurations that a live entry has read.
        """
        unread = [at_s for at_s, _ in self.published[read:]]
        outage = Outage(world.now_s, min(unread, default=float("inf")))
        self.outages.append(outage)
        return outage

    def end_outage(self, world, outage: "Outage") -> None:
        """Records the end of an outage."""
        outage.end_s = world.now_s

    def on_request(self, world, process, submission: Submission) -> Request:
        """Records a request of a caller."""
        request = Request(submission, process, world.now_s)
        self.requests[submission.job].append(request)
        self.counts["requests"] += 1
        return request

    def on_start(self, world, process, call: StartCall, assigned_by) -> Start:
        """Checks and records the start of a task."""
        task = (call.job, call.index)
        self._check(
            task not in self.starts,
            f"{task} started twice: {self.starts.get(task)}",
        )
        self._check(
            task not in self.not_run, f"{task} started after a not_run outcome"
        )
        digest = self._digest_of(call)
        known = self.answered.setdefault(call.job, digest)
        self._check(known == digest, f"{task} started with other content")
        self._check_stopped(world, process)
        self._check_assigner(call.job, assigned_by)
        self.counts["starts"] += 1
        start = Start(
            self.counts["starts"],
            world.now_s,
            process,
            assigned_by,
            call.payload,
        )
        self.starts[task] = start
        return start

    def on_result(self, world, process, job: JobRef, result) -> None:
        """Delivers a result to all callers who wait for it at an entry."""
        for request in self.requests[job]:
            if request.process is process and request.waiting:
                request.waiting = False
                self.resolve(world, request, result)

    def resolve(self, world, request: Request, result) -> None:
        """Checks and records the result that a caller receives."""
        self._check(request.result is None, "a caller was answered twice")
        request.result = result
        if isinstance(result, Refusal):
            self.counts[f"refused_{result.kind}"] += 1
            self._check_not_started(request)
        else:
            self.counts["answers"] += 1
            self._check_answer(request, result)

    def _check(self, holds: bool, text: str) -> None:
        if not holds:
            raise ViolationError(text)

    def _digest_of(self, call: StartCall) -> str:
        digests = {
            request.submission.digest
            for request in self.requests[call.job]
            if call.index < len(request.submission.tasks)
            and request.submission.tasks[call.index].payload == call.payload
        }
        self._check(len(digests) == 1, f"{call} was never submitted")
        return digests.pop()

    def _check_stopped(self, world, process) -> None:
        for since_s, state in (
            (self.withdrawn_s.get(process.zone), "a withdrawn zone"),
            (self.drained_s.get(process.name), "a draining server"),
            (self.shutdown_began_s.get(process), "a stopping server"),
        ):
            if since_s is None:
                continue
            since_s = self._effective_s(since_s)
            late_s = world.now_s - since_s
            self._check(
                late_s <= STOP_BOUND_S,
                f"start on {process.name} in {state} {late_s:.2f} s late",
            )

    def _effective_s(self, published_s: float) -> float:
        """Returns the time from which a publication could be read."""
        for outage in self.outages:
            if outage.hides(published_s):
                published_s = outage.end_s
        return published_s

    def _requests_at(self, job: JobRef, process) -> list[Request]:
        return [r for r in self.requests[job] if r.process is process]

    def _check_assigner(self, job: JobRef, assigned_by) -> None:
        """Checks that an entry starts no task of a job that it refused.

        The entry may have told a caller that it started no task of the job.
        """
        results = [r.result for r in self._requests_at(job, assigned_by)]
        self._check(
            bool(results)
            and not all(_is_unstarted_refusal(r) for r in results),
            f"a task of {job} started; {assigned_by.name} had refused the job",
        )

    def _check_not_started(self, request: Request) -> None:
        """Checks that a refused request started no task, if it says so."""
        if request.result.started:
            return
        job = request.submission.job
        own = [
            start
            for task, start in self.starts.items()
            if task[0] == job
            and start.assigned_by is request.process
            and start.at_s >= request.sent_s
        ]
        self._check(not own, f"{own} started, but the request was refused")
        if all(_is_unstarted_refusal(r.result) for r in self.requests[job]):
            started = [task for task in self.starts if task[0] == job]
            self._check(
                not started, f"{started} ran, but all requests were refused"
            )

    def _check_answer(self, request: Request, answer: JobAnswer) -> None:
        submission = request.submission
        job = submission.job
        self._check(
            answer.key == job.key, f"{job} answered with key {answer.key}"
        )
        known = self.answered.setdefault(job, submission.digest)
        self._check(
            known == submission.digest, f"{job} answered for other content"
        )
        size = len(submission.tasks)
        self._check(len(answer.outcomes) == size, f"{job}: partial answer")
        for index, outcome in enumerate(answer.outcomes):
            self._check_outcome((job, index), outcome)

    def _check_outcome(self, task, outcome: Outcome) -> None:
        start = self.starts.get(task)
        settled = self.settled.get(task)
        if outcome.kind is OutcomeKind.NOT_RUN:
            self._check(start is None, f"{task} ran, but is reported not_run")
            self.not_run.add(task)
        elif outcome.kind is not OutcomeKind.UNKNOWN:
            self._check(start is not None, f"{task} never ran: {outcome}")
            self._check(
                outcome == start.outcome, f"{task} is reported as {outcome}"
            )
            self._check(
                settled in (None, outcome), f"{task} changed its outcome"
            )
            self.settled[task] = outcome

    def check_configurations(self, world) -> None:
        """Checks that no process returns to an older configuration."""
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
                offset >= before,
                f"{process.node} went back from offset {before} to {offset}",
            )
            self.seen[process.node] = offset
            if process.kind == "entry" and offset >= 0:
                self._check(
                    board.configuration == self.published[offset][1],
                    f"{process.node} has a configuration in force that"
                    f" differs from offset {offset}",
                )
            if process.kind == "agent" and offset >= 0:
                self._check_config_reply(process, self.published[offset][1])

    def _check_config_reply(
        self, process, published: config.Configuration
    ) -> None:
        reply = process.board.config_reply
        withdrawn = published.zone(process.zone).withdrawn
        drained = process.name in published.draining_servers
        self._check(
            (reply.withdrawn, reply.draining) == (withdrawn, drained),
            f"{process.node} has another state in force than was published",
        )

    def check_settled(self, world) -> None:
        """Checks, after all faults, that callers and processes are current.

        Every caller must have its result, and every process the newest
        configuration.
        """
        for job, requests in self.requests.items():
            for request in requests:
                if request.process.alive and request.waiting:
                    raise ViolationError(f"{job}: a caller is still waiting")
        offset = len(world.configs) - 1
        for process in world.processes.values():
            if process.alive and not process.shutting_down:
                self._check(
                    self.seen[process.node] == offset,
                    f"{process.node} has offset {self.seen[process.node]} in"
                    f" force instead of {offset}",
                )


def _is_unstarted_refusal(result: JobAnswer | Refusal | None) -> bool:
    return isinstance(result, Refusal) and not result.started


def _track_since(
    since: dict[str, float], names: set[str], now_s: float
) -> None:
    for name in set(since) - names:
        del since[name]
    for name in names - set(since):
        since[name] = now_s
