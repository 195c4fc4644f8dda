"""Model of an agent with its backend server: slots and run times."""

import collections
import dataclasses

from egretthread import credit
from egretthread.jobkey import JobRef
from egretthread_bench.experiment import Rule
from egretthread_bench.network import Network

# Run time of a task at a backend server that fails every task, in seconds.
FAILING_RUN_S = 0.002


@dataclasses.dataclass(frozen=True)
class Start:
    """One task that is assigned to an agent.

    Attributes:
        job: The job.
        index: Index of the task within the job.
        run_s: Run time.
    """

    job: JobRef
    index: int
    run_s: float


@dataclasses.dataclass(frozen=True)
class FakeReport:
    """A message of an agent to an entry.

    Attributes:
        node: Node id of the agent.
        free: Slots that are free for any entry.
        credit: Slots newly held for the receiving entry.
        held: All slots held for the receiving entry.
        received: Number of tasks received from that entry so far.
        finished: Finished tasks.
        refused: Tasks refused for lack of a slot.
        failed: Whether the finished tasks failed.
    """

    node: str
    free: int
    credit: int
    held: int
    received: int
    finished: tuple[Start, ...] = ()
    refused: tuple[Start, ...] = ()
    failed: bool = False


class FakeAgent:
    """Runs tasks in slots and grants freed slots to waiting entries.

    Attributes:
        node: Node id.
        zone: Availability zone.
        slots: Number of slots.
        running: Number of running tasks.
        fails: Whether the backend server fails every task immediately.
        slot_requests: Slot requests by entry.
        held: Slots held for each entry.
        received: Number of tasks received so far, by entry.
        waiting: Tasks queued at the agent, if the rule lets agents queue.
        lapsed_credits: Number of credits that lapsed with no slot used.
    """

    def __init__(self, node, zone, slots, rule: Rule, network: Network):
        self.node = node
        self.zone = zone
        self.slots = slots
        self.rule = rule
        self.network = network
        self.running = 0
        self.fails = False
        self.slot_requests: dict = {}
        self.held: collections.Counter = collections.Counter()
        self.received: collections.Counter = collections.Counter()
        self.waiting: collections.deque = collections.deque()
        self.lapsed_credits = 0
        self._open_tasks: collections.Counter = collections.Counter()
        self._finished: dict = collections.defaultdict(list)

    @property
    def free(self) -> int:
        """Slots that are neither running a task, held nor queued for."""
        occupied = self.running + len(self.waiting) + self.held.total()
        return self.slots - occupied

    def on_assign(
        self, entry, tasks, want: int, since_s: float, may_queue: bool
    ) -> None:
        """Starts tasks that find a slot and queues or refuses the others."""
        self.received[entry] += len(tasks)
        count = len(tasks)
        held = self.held[entry]
        accepted = credit.accepted(
            count, self.free, held, may_queue, self.rule.credit
        )
        self.held[entry] -= min(held, count)
        if self.rule.agents_queue:
            accepted = count
        refused = tasks[accepted:]
        for task in tasks[:accepted]:
            self._open_tasks[entry, task.job] += 1
            if self.running < self.slots:
                self._start(entry, task)
            else:
                self.waiting.append((entry, task))
        if want or (refused and may_queue):
            wanted = max(want, len(refused))
            self.slot_requests[entry] = credit.SlotRequest(
                wanted, since_s, may_queue
            )
        elif self.rule.want_in_assign:
            self.slot_requests.pop(entry, None)
        credits = self._assign_credits()
        if refused:
            self._send_report(entry, credits, refused=tuple(refused))
        self._send_credits(credits)

    def on_want(
        self, entry, count: int, since_s: float, may_queue: bool
    ) -> None:
        """Records an entry's slot request, or withdraws it if `count` is 0."""
        if count:
            self.slot_requests[entry] = credit.SlotRequest(
                count, since_s, may_queue
            )
        else:
            self.slot_requests.pop(entry, None)
        self._send_credits(self._assign_credits())

    def heartbeat(self, entries) -> None:
        """Reports the free slots to all entries."""
        for entry in entries:
            self._send("heartbeat", entry, self._report(entry, {}))

    def _start(self, entry, task: Start) -> None:
        self.running += 1
        run_s = FAILING_RUN_S if self.fails else task.run_s
        self.network.loop.after(run_s, self._finish, entry, task)

    def _finish(self, entry, task: Start) -> None:
        self.running -= 1
        if self.waiting:
            self._start(*self.waiting.popleft())
        self._finished[entry].append(task)
        self._open_tasks[entry, task.job] -= 1
        is_last = not self._open_tasks[entry, task.job]
        if is_last:
            del self._open_tasks[entry, task.job]
        flush = self.rule.flush_reports and self.slot_requests
        credits = self._assign_credits()
        if is_last or flush or entry in credits:
            self._send_report(entry, credits)
        self._send_credits(credits)

    def _assign_credits(self) -> dict:
        """Grants free slots to the entries that have waited longest."""
        granted = credit.grant(self.slot_requests, self.free, self.rule.credit)
        credit.deduct_granted(self.slot_requests, granted)
        for entry, count in granted.items():
            self.held[entry] += count
            self.network.loop.after(
                self.rule.credit.hold_s,
                self._lapse,
                entry,
                self.received[entry],
                count,
            )
        return granted

    def _lapse(self, entry, received: int, granted: int) -> None:
        unused = min(
            self.held[entry], granted - self.received[entry] + received
        )
        if unused <= 0:
            return
        self.held[entry] -= unused
        self.lapsed_credits += unused == granted
        self._send_credits(self._assign_credits())

    def _send_credits(self, credits: dict) -> None:
        for entry in list(credits):
            if self._finished[entry]:
                self._send_report(entry, credits)
            else:
                self._send("credit", entry, self._report(entry, credits))

    def _send_report(self, entry, credits: dict, refused=()) -> None:
        """Reports finished and refused tasks to an entry.

        A credit for the entry is included in the report or sent separately,
        as the rule says.
        """
        if not self.rule.credit_in_report and entry in credits:
            self._send("credit", entry, self._report(entry, credits))
        finished = tuple(self._finished.pop(entry, ()))
        report = self._report(entry, credits, finished, refused)
        kind = "refusal" if refused else "report"
        self._send(kind, entry, report)

    def _report(self, entry, credits, finished=(), refused=()) -> FakeReport:
        return FakeReport(
            self.node,
            self.free,
            credits.pop(entry, 0),
            self.held[entry],
            self.received[entry],
            finished,
            refused,
            self.fails,
        )

    def _send(self, kind: str, entry, report: FakeReport) -> None:
        jobs = len({task.job for task in report.finished + report.refused})
        self.network.send(
            kind,
            self.node,
            entry.node,
            entry.on_report,
            report,
            count=max(1, jobs),
        )
