"""A small fake of an agent with its backend server: slots and run times."""

import collections
import dataclasses

from egretthread import credit
from egretthread.jobkey import JobRef
from egretthread_bench.experiment import Rule
from egretthread_bench.postbox import Postbox

# Run time of a task on a backend server that fails everything, in seconds.
FAILING_RUN_S = 0.002


@dataclasses.dataclass(frozen=True)
class Start:
    """One task handed to an agent.

    Attributes:
        job: Its job.
        index: Its index within the job.
        run_s: Its run time.
    """

    job: JobRef
    index: int
    run_s: float


@dataclasses.dataclass(frozen=True)
class FakeReport:
    """What an agent tells an entry.

    Attributes:
        node: The agent.
        free: Slots free for anyone.
        credit: Slots newly held for the receiver.
        held: All slots held for the receiver.
        received: Tasks the agent has got from the receiver so far.
        finished: Tasks that ended.
        refused: Tasks that found no slot.
        failed: Whether the backend server failed the finished tasks.
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
    """Runs tasks on slots and gives freed slots to entries that wait.

    Attributes:
        node: Its node id.
        zone: Its availability zone.
        slots: Its slots.
        running: Tasks that run.
        fails: Whether its backend server fails everything at once.
        wishes: Wishes by entry that waits for slots.
        held: Slots held by entry.
        received: Tasks got so far, by entry.
        waiting: Tasks queued here, when the rule lets agents queue.
        lapsed: Credits of which no Assign used any slot.
    """

    def __init__(self, node, zone, slots, rule: Rule, postbox: Postbox):
        self.node = node
        self.zone = zone
        self.slots = slots
        self.rule = rule
        self.postbox = postbox
        self.running = 0
        self.fails = False
        self.wishes: dict = {}
        self.held: collections.Counter = collections.Counter()
        self.received: collections.Counter = collections.Counter()
        self.waiting: collections.deque = collections.deque()
        self.lapsed = 0
        self._open: collections.Counter = collections.Counter()
        self._finished: dict = collections.defaultdict(list)

    @property
    def free(self) -> int:
        """Slots that neither run a task nor are held or queued for."""
        taken = self.running + len(self.waiting) + self.held.total()
        return self.slots - taken

    def on_assign(
        self, entry, tasks, want: int, since_s: float, may_queue: bool
    ) -> None:
        """Starts what finds a slot; queues or refuses the rest."""
        self.received[entry] += len(tasks)
        count = len(tasks)
        held = self.held[entry]
        room = credit.accepted(
            count, self.free, held, may_queue, self.rule.credit
        )
        self.held[entry] -= min(held, count)
        if self.rule.agents_queue:
            room = count
        refused = tasks[room:]
        for task in tasks[:room]:
            self._open[entry, task.job] += 1
            if self.running < self.slots:
                self._start(entry, task)
            else:
                self.waiting.append((entry, task))
        if want or (refused and may_queue):
            wanted = max(want, len(refused))
            self.wishes[entry] = credit.SlotRequest(wanted, since_s, may_queue)
        elif self.rule.want_in_assign:
            self.wishes.pop(entry, None)
        credits = self._assign_credits()
        if refused:
            self._tell(entry, credits, refused=tuple(refused))
        self._send_credits(credits)

    def on_want(
        self, entry, count: int, since_s: float, may_queue: bool
    ) -> None:
        """Remembers or forgets that an entry waits for slots."""
        if count:
            self.wishes[entry] = credit.SlotRequest(count, since_s, may_queue)
        else:
            self.wishes.pop(entry, None)
        self._send_credits(self._assign_credits())

    def heartbeat(self, entries) -> None:
        """Tells every entry of the free slots."""
        for entry in entries:
            self._send("heartbeat", entry, self._report(entry, {}))

    def _start(self, entry, task: Start) -> None:
        self.running += 1
        run_s = FAILING_RUN_S if self.fails else task.run_s
        self.postbox.loop.after(run_s, self._finish, entry, task)

    def _finish(self, entry, task: Start) -> None:
        self.running -= 1
        if self.waiting:
            self._start(*self.waiting.popleft())
        self._finished[entry].append(task)
        self._open[entry, task.job] -= 1
        is_last = not self._open[entry, task.job]
        if is_last:
            del self._open[entry, task.job]
        flush = self.rule.flush_reports and self.wishes
        credits = self._assign_credits()
        if is_last or flush or entry in credits:
            self._tell(entry, credits)
        self._send_credits(credits)

    def _assign_credits(self) -> dict:
        """Gives free slots to the entries that have waited longest."""
        granted = credit.grant(self.wishes, self.free, self.rule.credit)
        credit.deduct_granted(self.wishes, granted)
        for entry, count in granted.items():
            self.held[entry] += count
            self.postbox.loop.after(
                self.rule.credit.hold_s,
                self._lapse,
                entry,
                self.received[entry],
                count,
            )
        return granted

    def _lapse(self, entry, received: int, given: int) -> None:
        unused = min(self.held[entry], given - self.received[entry] + received)
        if unused <= 0:
            return
        self.held[entry] -= unused
        self.lapsed += unused == given
        self._send_credits(self._assign_credits())

    def _send_credits(self, credits: dict) -> None:
        for entry in list(credits):
            if self._finished[entry]:
                self._tell(entry, credits)
            else:
                self._send("credit", entry, self._report(entry, credits))

    def _tell(self, entry, credits: dict, refused=()) -> None:
        """Sends what ended or was refused, and a credit along or beside."""
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
        self.postbox.send(
            kind,
            self.node,
            entry.node,
            entry.on_report,
            report,
            count=max(1, jobs),
        )
