"""A region of real engines over a fake clock, fake links and a fake log.

Nothing here waits: events stand in a heap by their time. Each process has
its own monotonic clock and an error of its wall clock within the bound.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable

from egretthread import (
    agent,
    config,
    entry,
    jobform,
    jobkey,
    members,
    message,
    outcome,
    settings,
)
from egretthread.agentboard import StartOrder
from egretthread.controllers import agent_tasks
from egretthread.submission import Refusal, SingleRequest, Submission, TaskSpec
from tests import oracle

UNIX_START_S = 1_750_000_000.0
ENTRY_TICK_S = 0.05
CREDIT_TICK_S = 0.02
CONNECT_S = 0.25
LIVENESS_S = 3.0
LOG_POLL_S = 0.25
LOG_WRITE_S = 0.5
HEALTH_S = 1.0
HAND_OVER_S = 5.0
SHUTDOWN_S = 30.0
SERVICE = "match"
GIBIBYTE_BYTES = 2**30

Change = Callable[[config.Configuration], config.Configuration]

CONFIGURATION = config.Configuration(
    organisations=(
        config.Organisation("dublin", starts_per_s=1e6),
        config.Organisation(
            "varna", starts_per_s=1e6, during_log_outage="stop"
        ),
    ),
    services=(config.Service(SERVICE, ("dublin", "varna"), slots=4),),
    zones=tuple(config.AvailabilityZone(z, "r") for z in "abc"),
    shards=2,
    retention_s=120.0,
    max_deadline_s=30.0,
)


@dataclasses.dataclass(eq=False)
class Process:
    """One incarnation of a process.

    Attributes:
        name: Its name.
        kind: `entry` or `agent`.
        zone: Its availability zone.
        node: Its node id.
        board: The engine's blackboard.
        clock_s: What its monotonic clock shows at the world's time 0.
        error_s: Error of its wall clock.
        alive: Whether it exists.
        paused: Whether it is stopped for now.
        inbox: What waits for it while it is paused.
        links: Its ends of open links, the newest last.
        next_offsets: Offset of the next record to read, by stream.
        read_s: When each stream was last read, by the process's clock.
        backend_up: Whether its backend server is reachable.
        refuses_tasks: Whether its backend server answers its health check
            and refuses every task.
        leaving: Whether it shuts down gracefully.
    """

    name: str
    kind: str
    zone: str
    node: str
    board: object
    clock_s: float
    error_s: float
    alive: bool = True
    paused: bool = False
    inbox: list = dataclasses.field(default_factory=list)
    links: list = dataclasses.field(default_factory=list)
    next_offsets: dict = dataclasses.field(default_factory=collections.Counter)
    read_s: dict = dataclasses.field(default_factory=dict)
    backend_up: bool = True
    refuses_tasks: bool = False
    leaving: bool = False

    def link_to(self, node: str) -> "Link | None":
        """Returns the newest open link to a node."""
        for link in reversed(self.links):
            if link.peer_of(self).node == node:
                return link
        return None


@dataclasses.dataclass(eq=False)
class Link:
    """A connection of two processes.

    Attributes:
        ends: The dialling process and the one it dialled.
        broken: Whether it carries nothing any more, at once.
        silent: Whether it lost track and never will carry anything again.
        stalled: Messages that a partition holds up, with their receivers.
        last_s: When the last message arrives, by receiver.
        disorder: Messages that will next arrive out of order.
        duplicates: Messages that will next arrive twice.
        delay_s: Added to the next messages' way.
    """

    ends: tuple[Process, Process]
    broken: bool = False
    silent: bool = False
    stalled: list = dataclasses.field(default_factory=list)
    last_s: dict = dataclasses.field(default_factory=dict)
    disorder: int = 0
    duplicates: int = 0
    delay_s: float = 0.0

    def peer_of(self, process: Process) -> Process:
        """Returns the process at the other end."""
        first, second = self.ends
        return second if process is first else first


class World:
    """All processes, links, the log and the callers of one region.

    Attributes:
        rng: Source of latencies and run times.
        now_s: The true time.
        events: Heap of (time, number, function).
        oracle: Checks what must always hold.
        processes: The newest incarnation by name.
        echoes: Until when all messages of a type arrive twice.
        run_times_s: What tasks take, of which chance picks one.
        slow_share: Share of the tasks that wait long before they start.
        behaviour: What backend servers make of a payload; chance if None.
        boards: The blackboards of all incarnations.
        links: All links that are not broken.
        cut: Names cut off from the other processes.
        cut_pairs: Pairs of names cut off from each other.
        log_cut: Names cut off from the log.
        log_out: Whether the log answers nobody.
        outage: The oracle's note of that, if any.
        log_outage: Its note that most entries are cut off from the log.
        log_slow_s: Added to the time of each read of the log.
        stream_cut: Names cut off from one stream, with its name.
        streams: Both streams by name.
        configs: Records of the configuration stream.
        members: Records of the members stream.
        assigned_by: Who handed out each task, by agent, job and index.
        faults: Whether tasks and backend servers may fail by chance.
        request_attempts: Jobs that a single request became, by its first one.
        request_results: Results of single requests, by the first job of each.
        sent_counts: Messages sent, by name of their class.
        entry_names: Names of all entries.
        agent_names: Names of all agents.
    """

    def __init__(
        self,
        seed: int,
        entries: int = 3,
        agents: int = 6,
        configuration: config.Configuration = CONFIGURATION,
        faults: bool = True,
    ):
        self.rng = random.Random(seed)
        self.faults = faults
        self.now_s = 0.0
        self.events: list = []
        self.numbers = itertools.count()
        self.oracle = oracle.Oracle()
        self.processes: dict[str, Process] = {}
        self.boards: list = []
        self.behaviour: Callable[[str], outcome.Outcome] | None = None
        self.echoes: dict[type, float] = {}
        self.run_times_s = (0.005, 0.05, 0.3, 2.0)
        self.slow_share = 0.05 if faults else 0.0
        self.links: list[Link] = []
        self.cut: set[str] = set()
        self.cut_pairs: set[frozenset[str]] = set()
        self.log_cut: set[str] = set()
        self.log_out = False
        self.outage: oracle.Outage | None = None
        self.log_outage: oracle.Outage | None = None
        self.log_slow_s = 0.0
        self.stream_cut: set[tuple[str, str]] = set()
        self.configs: list[config.Configuration] = []
        self.members: list[str] = []
        self.streams = {"config": self.configs, "members": self.members}
        self.assigned_by: dict[tuple, list] = collections.defaultdict(list)
        self.request_attempts = collections.defaultdict(list)
        self.request_results: dict = {}
        self.sent_counts = collections.Counter()
        self.configs.append(configuration)
        self.oracle.on_published(self, configuration)
        self.entry_names = tuple(f"e{n + 1}" for n in range(entries))
        self.agent_names = tuple(f"a{n + 1}" for n in range(agents))
        for name in (*self.entry_names, *self.agent_names):
            self.start(name)

    # Time.

    def at(self, delay_s: float, function: Callable[[], None]) -> None:
        """Plans an event."""
        item = (self.now_s + delay_s, next(self.numbers), function)
        heapq.heappush(self.events, item)

    def run(self, duration_s: float) -> None:
        """Lets time pass."""
        end_s = self.now_s + duration_s
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, function = heapq.heappop(self.events)
            function()
        self.now_s = end_s
        self.oracle.check_configurations(self)

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Lets time pass until a condition holds; returns whether it does."""
        end_s = self.now_s + limit_s
        while not condition():
            if self.now_s >= end_s:
                return False
            self.run(0.05)
        return True

    # Processes.

    def start(self, name: str) -> Process:
        """Starts an incarnation of a process."""
        bound_s = CONFIGURATION.clock_error_s
        error_s = self.rng.uniform(-bound_s, bound_s)
        unix_s = UNIX_START_S + self.now_s + error_s
        incarnation = int(unix_s * 1000)
        zone = "abc"[int(name[1:]) % 3]
        kind = "entry" if name.startswith("e") else "agent"
        clock_s = self.rng.uniform(100.0, 1e6)
        process = Process(name, kind, zone, "", None, clock_s, error_s)
        if kind == "entry":
            process.board = entry.new_board(
                _entry_settings(name, zone),
                incarnation,
                clock_s + self.now_s,
                self.rng.getrandbits(32),
            )
            process.board.address = name
        else:
            process.board = agent.new_board(
                agent_settings(name, zone, self.entry_names), incarnation
            )
        process.node = process.board.node
        self.processes[name] = process
        self.boards.append(process.board)
        self.oracle.on_process(process)
        jitter_s = self.rng.random()
        if kind == "entry":
            self.every(process, ENTRY_TICK_S, jitter_s, _entry_tick)
            self.every(process, 1.0, jitter_s, _entry_second)
            for stream in self.streams:
                poll = functools.partial(self._poll_log, process, stream)
                self.at(jitter_s * 0.1, poll)
            self.every(process, LOG_WRITE_S, jitter_s, self._write_log)
        else:
            self.every(process, 1.0, jitter_s, _agent_tick)
            self.every(process, CREDIT_TICK_S, jitter_s, _credit_tick)
            self.every(process, HEALTH_S, jitter_s, _check_health)
        self.every(process, CONNECT_S, jitter_s * 0.1, self._dial)
        return process

    def every(
        self,
        process: Process,
        period_s: float,
        first_s: float,
        function: Callable[[Process], None],
    ) -> None:
        """Calls a function of a process again and again while it lives."""

        def turn() -> None:
            function(process)
            self.at(period_s, event)

        def event() -> None:
            self.call(process, turn)

        self.at(first_s * period_s, event)

    def call(self, process: Process, function: Callable[[], None]) -> None:
        """Has a process handle an event, now or when it is resumed."""
        if not process.alive:
            return
        if process.paused:
            process.inbox.append(function)
            return
        board = process.board
        now_s = process.clock_s + self.now_s
        unix_s = UNIX_START_S + self.now_s + process.error_s
        if process.kind == "entry":
            entry.set_time(board, now_s, unix_s)
        else:
            agent.set_time(board, now_s, unix_s)
        function()
        self._pump(process)

    def _pump(self, process: Process) -> None:
        board = process.board
        outbox, board.outbox = board.outbox, []
        for node, item in outbox:
            self.sent_counts[type(item).__name__] += 1
            link = process.link_to(node)
            if link is not None:
                self._send(link, process, item)
        if process.kind == "agent":
            orders, board.to_start = board.to_start, []
            for order in orders:
                self._plan_start(process, order)
            return
        self._take_requests(process)
        finished, board.job_results = board.job_results, []
        for job, result in finished:
            self.oracle.on_result(self, process, job, result)
        board.lookup_results.clear()

    def _take_requests(self, process: Process) -> None:
        """Tells the oracle of the jobs that single requests became."""
        board = process.board
        for job, state in board.requests.items():
            if job not in self.oracle.requests:
                submission = board.jobs[job].submission
                self.oracle.on_request(self, process, submission)
                self.request_attempts[state.job].append(job)
        self.request_results.update(board.request_results)
        board.request_results.clear()

    def kill(self, name: str) -> None:
        """Ends a process at once."""
        process = self.processes[name]
        process.alive = False
        for link in list(process.links):
            self.break_link(link)

    def restart(self, name: str) -> None:
        """Starts a new incarnation, after killing the present one."""
        if self.processes[name].alive:
            self.kill(name)
        self.start(name)

    def shut_down(self, name: str) -> None:
        """Shuts a process down gracefully."""
        process = self.processes[name]
        if process.leaving or not process.alive:
            return
        process.leaving = True
        engine = entry if process.kind == "entry" else agent

        def begin() -> None:
            self.oracle.leaving_s[process] = self.now_s
            engine.begin_shutdown(process.board)

        self.call(process, begin)
        begun_s = self.now_s
        idle_s = None

        def check(item: Process) -> None:
            nonlocal idle_s
            waited_s = self.now_s - begun_s
            if not engine.is_idle(item.board) and waited_s < SHUTDOWN_S:
                return
            if idle_s is None:
                idle_s = self.now_s
            is_witness = item.kind == "agent" and item.board.witness.shards
            if is_witness and self.now_s - idle_s < HAND_OVER_S:
                return
            if item.kind == "entry":
                record = members.entry_down_record(_member(item))
                self._append_members(item, record, None)
            # What was sent before the end still arrives.
            self.at(0.02, functools.partial(self._end, item))

        self.every(process, 0.1, 1.0, check)

    def _end(self, process: Process) -> None:
        if process.alive and not process.paused:
            process.alive = False
            for link in list(process.links):
                self.break_link(link)

    def pause(self, name: str) -> None:
        """Stops a process without its knowledge."""
        process = self.processes[name]
        if process.paused or not process.alive:
            return
        process.paused = True
        paused_s = self.now_s

        def give_up() -> None:
            if process.paused and self.now_s - paused_s >= LIVENESS_S:
                for link in list(process.links):
                    self.break_link(link, drop=False)

        self.at(LIVENESS_S, give_up)

    def resume(self, name: str) -> None:
        """Lets a paused process go on with what has waited for it."""
        process = self.processes[name]
        if not process.paused:
            return
        process.paused = False
        inbox, process.inbox = process.inbox, []
        for function in inbox:
            self.call(process, function)

    # Links.

    def _dial(self, process: Process) -> None:
        for address in self._wanted(process):
            target = self.processes.get(address)
            if target is None or target is process or not target.alive:
                continue
            if target.paused or self.is_cut(process, target):
                continue
            if not any(
                link.peer_of(process) is target for link in process.links
            ):
                self._connect(process, target)

    def _wanted(self, process: Process) -> tuple[str, ...]:
        board = process.board
        if process.kind == "agent":
            return board.entries or board.settings.entries
        return tuple(e.address for e in board.membership.entries.values())

    def is_cut(self, one: Process, other: Process) -> bool:
        """Whether a partition lies between two processes."""
        if frozenset((one.name, other.name)) in self.cut_pairs:
            return True
        return (one.name in self.cut) != (other.name in self.cut)

    def _connect(self, dialler: Process, target: Process) -> None:
        link = Link((dialler, target))
        self.links.append(link)
        for process in link.ends:
            process.links.append(link)
            node = link.peer_of(process).node
            opened = functools.partial(_on_open, process, node)
            self.call(process, opened)

    def break_link(self, link: Link, drop: bool = True) -> None:
        """Ends a link; each end notices after a while of its own.

        Args:
            link: The link.
            drop: Whether what is under way is lost.
        """
        if link in self.links:
            self.links.remove(link)
        link.broken = drop
        for process in link.ends:
            delay_s = self.rng.uniform(0.0, 0.05)
            if not drop:
                delay_s = max(delay_s, self._way_s(link, process))
            self.at(delay_s, functools.partial(self._close_end, link, process))

    def _way_s(self, link: Link, process: Process) -> float:
        return max(0.0, link.last_s.get(process.name, 0.0) - self.now_s)

    def _close_end(self, link: Link, process: Process) -> None:
        def close() -> None:
            if link not in process.links:
                return
            process.links.remove(link)
            node = link.peer_of(process).node
            if process.link_to(node) is None:
                _on_close(process, node)

        self.call(process, close)

    def blackhole_link(self, link: Link) -> None:
        """Makes a link swallow everything until its ends give it up."""
        link.silent = True
        self.at(LIVENESS_S, lambda: self.break_link(link))

    def partition(
        self, names: set[str], pairs: set[frozenset[str]] = frozenset()
    ) -> None:
        """Cuts some processes off from the others.

        Args:
            names: Processes that reach one another only.
            pairs: Pairs that do not reach each other either.
        """
        self.cut = set(names)
        self.cut_pairs = set(pairs)
        for link in list(self.links):
            if self.is_cut(*link.ends):
                self._stall(link)

    def _stall(self, link: Link) -> None:
        since_s = self.now_s

        def give_up() -> None:
            silent = self.now_s - since_s >= LIVENESS_S
            if silent and link in self.links and self.is_cut(*link.ends):
                self.break_link(link)

        self.at(LIVENESS_S, give_up)

    def heal(self) -> None:
        """Ends the partition; what it held up goes on."""
        self.cut = set()
        self.cut_pairs = set()
        for link in list(self.links):
            stalled, link.stalled = link.stalled, []
            for sender, item in stalled:
                self._send(link, sender, item)

    def _send(self, link: Link, sender: Process, item: object) -> None:
        if link.silent or link.broken:
            return
        if self.is_cut(*link.ends):
            link.stalled.append((sender, item))
            return
        receiver = link.peer_of(sender)
        way_s = self.rng.uniform(0.0005, 0.002) + link.delay_s
        arrives_s = max(self.now_s + way_s, link.last_s.get(receiver.name, 0.0))
        if link.disorder:
            link.disorder -= 1
            arrives_s = self.now_s + way_s + self.rng.uniform(0.0, 0.1)
        else:
            link.last_s[receiver.name] = arrives_s
        delay_s = arrives_s - self.now_s
        deliver = functools.partial(self._deliver, link, sender, item)
        self.at(delay_s, deliver)
        echoed = self.echoes.get(type(item), 0.0) >= self.now_s
        if link.duplicates or echoed:
            link.duplicates -= 0 if echoed else 1
            late_s = delay_s + self.rng.choice((0.001, 0.01, 0.1, 1.0, 8.0))
            again = functools.partial(self._take, receiver, sender, item)
            self.at(late_s, lambda: self.call(receiver, again))

    def _deliver(self, link: Link, sender: Process, item: object) -> None:
        if link.broken or link.silent:
            return
        if self.is_cut(*link.ends):
            link.stalled.append((sender, item))
            return
        receiver = link.peer_of(sender)

        def take() -> None:
            if link in receiver.links and not link.broken:
                self._take(receiver, sender, item)

        self.call(receiver, take)

    def _take(self, receiver: Process, sender: Process, item: object) -> None:
        if isinstance(item, message.Assign):
            for task in item.tasks:
                key = (receiver.node, item.job, task.index)
                hand_out = (item.ballot, task.attempt, sender)
                self.assigned_by[key].append(hand_out)
        engine = entry if receiver.kind == "entry" else agent
        engine.on_message(receiver.board, sender.node, item)

    # The log.

    def log_reaches(self, process: Process, stream: str = "config") -> bool:
        """Whether a process reaches a stream of the log now."""
        if self.log_out or process.name in self.log_cut:
            return False
        return (process.name, stream) not in self.stream_cut

    def _poll_log(self, process: Process, stream: str) -> None:
        self.call(process, lambda: self._read_log(process, stream))

    def _read_log(self, process: Process, stream: str) -> None:
        def again() -> None:
            self._poll_log(process, stream)

        if not self.log_reaches(process, stream):
            self.at(LOG_POLL_S, again)
            return
        sent_s = process.clock_s + self.now_s
        records = list(enumerate(self.streams[stream]))
        first = process.next_offsets[stream]
        if self.faults and self.rng.random() < 0.1:
            # The log may be read again from an earlier offset.
            first = max(0, first - 2)
        take = functools.partial(
            self._take_records, process, stream, records[first:], sent_s
        )
        way_s = self.rng.uniform(0.002, 0.01) + self.log_slow_s
        self.at(way_s, lambda: self.call(process, take))
        self.at(way_s + LOG_POLL_S, again)
        if self.faults and self.rng.random() < 0.05:
            # An answer may come once more, late.
            self.at(way_s + 1.0, lambda: self.call(process, take))

    def _take_records(
        self, process: Process, stream: str, records: list, sent_s: float
    ) -> None:
        board = process.board
        for offset, record in records:
            if stream == "config":
                entry.on_configuration(board, offset, record)
            else:
                entry.on_members_record(board, offset, record)
            following = max(process.next_offsets[stream], offset + 1)
            process.next_offsets[stream] = following
        read_s = process.read_s
        read_s[stream] = max(read_s.get(stream, sent_s), sent_s)
        if len(read_s) == len(self.streams):
            entry.on_log_read(board, min(read_s.values()))

    def _write_log(self, process: Process) -> None:
        if "members" not in process.read_s or process.leaving:
            return
        board = process.board
        own = _member(process)
        record = board.proposal
        if board.membership.entries.get(own.name) != own:
            record = members.entry_up_record(own)
        board.proposal = ""
        if record:
            expected = process.next_offsets["members"]
            self._append_members(process, record, expected)

    def _append_members(
        self, process: Process, record: str, expected: int | None
    ) -> None:
        def append() -> None:
            if expected is None or expected == len(self.members):
                self.members.append(record)

        if self.log_reaches(process, "members"):
            self.at(self.rng.uniform(0.002, 0.2), append)

    def publish(self, change: Change, lost: bool = False) -> None:
        """Has an operator publish a change of the newest configuration.

        The operator reads, appends at the expected offset and begins anew
        when another came first; a lost answer is resolved by reading.

        Args:
            change: Turns the newest configuration into the wanted one.
            lost: Whether the answer to the append is lost.
        """
        if self.log_out:
            return
        latest = self.configs[-1] if self.configs else None
        expected = len(self.configs)
        changed = change(latest)
        self.at(
            self.rng.uniform(0.001, 0.02),
            lambda: self._append_config(expected, changed, change, lost),
        )

    def _append_config(
        self,
        expected: int,
        changed: config.Configuration,
        change: Change,
        lost: bool,
    ) -> None:
        if self.log_out:
            return
        if expected != len(self.configs):
            self.publish(change, lost)
            return
        self.configs.append(changed)
        self.oracle.on_published(self, changed)
        if lost and changed not in self.configs[expected:]:
            self.publish(change)

    def set_log_unavailable(self, out: bool) -> None:
        """Takes the log out of service, or brings it back."""
        self.log_out = out
        if out:
            offsets = [
                process.next_offsets["config"]
                for process in self.processes.values()
                if process.alive
            ]
            read = max(offsets, default=0)
            self.outage = self.oracle.begin_outage(self, read)
        elif self.outage is not None:
            self.oracle.end_outage(self, self.outage)

    def disconnect_from_log(self, names: set[str]) -> None:
        """Cuts entries off from the log while others reach it.

        Entries that are a majority of those they know of can't tell this
        from an outage: the promise that gives way.
        """
        self.log_cut = set(names)
        self._note_cut()

    def disconnect_from_stream(self, name: str, stream: str) -> None:
        """Cuts an entry off from one stream of the log."""
        self.stream_cut.add((name, stream))
        self._note_cut()

    def join_streams(self) -> None:
        """Lets all entries reach both streams again."""
        self.stream_cut.clear()
        self._note_cut()

    def _note_cut(self) -> None:
        if self.log_outage is not None:
            self.oracle.end_outage(self, self.log_outage)
            self.log_outage = None
        names = self.log_cut.union(name for name, _ in self.stream_cut)
        for name in names:
            known = self.processes[name].board.membership.entries
            if 2 * len(names.intersection(known)) > len(known):
                read = len(self.configs)
                self.log_outage = self.oracle.begin_outage(self, read)
                return

    # Tasks.

    def _plan_start(self, process: Process, order: StartOrder) -> None:
        slow = self.rng.random() < self.slow_share
        way_s = self.rng.uniform(0.1, 2.0) if slow else 0.001
        event = functools.partial(self._start_task, process, order)
        self.at(way_s, lambda: self.call(process, event))

    def _start_task(self, process: Process, order: StartOrder) -> None:
        if not process.backend_up or process.refuses_tasks:
            agent_tasks.cancel_start(
                process.board, order, message.Refusal.BACKEND_UNREACHABLE
            )
            return
        if not agent.may_start(process.board, order):
            return
        start = self.oracle.on_start(
            self, process, order, self._origin(process, order)
        )
        result = self._result(order, start)
        start.outcome = result
        run_s = self.rng.choice(self.run_times_s)
        if self.faults and self.rng.random() < 0.02:
            run_s = 15.0

        def finish() -> None:
            agent.on_finished(process.board, order, result)

        self.at(run_s, lambda: self.call(process, finish))

    def _origin(self, process: Process, order: StartOrder) -> Process:
        """Returns the process that handed out the task about to start."""
        key = (process.node, order.job, order.index)
        hand_outs = [
            item for item in self.assigned_by[key] if item[1] == order.attempt
        ]
        return max(hand_outs, key=lambda item: item[0])[2]

    def _result(self, order: StartOrder, start: object) -> outcome.Outcome:
        if self.behaviour is not None:
            return self.behaviour(order.payload)
        draw = self.rng.random() if self.faults else 1.0
        if draw < 0.03:
            return outcome.unknown("the backend server gave no answer")
        if draw < 0.1:
            return outcome.failed(f"start {start.number}")
        return outcome.done(f'"{order.payload} {start.number}"')

    # Callers.

    def new_submission(
        self,
        name: str,
        count: int,
        organisation: str = "dublin",
        deadline_s: float = 20.0,
        tag: str = "",
        age_s: float = 0.0,
        memory_bytes: int = 0,
    ) -> Submission:
        """Returns a job with a key issued some time ago."""
        issued_s = UNIX_START_S + self.now_s - age_s
        tasks = tuple(
            TaskSpec(f"{name}/{tag}/{index}", memory_bytes)
            for index in range(count)
        )
        job = jobkey.JobRef(organisation, jobkey.make_key(issued_s, name))
        digest = jobform.digest(SERVICE, tasks)
        return Submission(job, SERVICE, digest, tasks, deadline_s)

    def submit(self, name: str, submission: Submission) -> "oracle.Request":
        """Submits a job through an entry; its result comes later."""
        process = self.processes[name]
        request = self.oracle.on_request(self, process, submission)
        if process.leaving or not process.alive:
            request.lost = True
            return request

        def take() -> None:
            board = process.board
            refusal = entry.submit(board, submission)
            known = board.jobs.get(submission.job)
            if refusal is not None:
                self.oracle.resolve(self, request, refusal)
            elif known is not None and known.answer is not None:
                self.oracle.resolve(self, request, known.answer)
            else:
                request.waiting = True

        self.call(process, take)
        return request

    def request(
        self, name: str, idempotent: bool, deadline_s: float = 20.0
    ) -> jobkey.JobRef | Refusal:
        """Sends a single request; its result comes in `results`."""
        single = SingleRequest(
            "dublin", SERVICE, TaskSpec('"single"'), deadline_s, idempotent
        )
        process = self.processes[name]
        taken = []

        def take() -> None:
            taken.append(entry.request(process.board, single))

        self.call(process, take)
        return taken[0]

    def cancel(self, name: str, job: jobkey.JobRef) -> None:
        """Cancels a job through an entry."""
        process = self.processes[name]
        look_up = functools.partial(entry.look_up, process.board, job, True)
        self.call(process, look_up)

    def heal_all(self) -> None:
        """Ends every fault and restarts what is dead."""
        self.heal()
        self.disconnect_from_log(set())
        self.join_streams()
        self.log_slow_s = 0.0
        if self.log_out:
            self.set_log_unavailable(False)
        for name, process in list(self.processes.items()):
            process.backend_up = True
            process.refuses_tasks = False
            self.resume(name)
            if not process.alive:
                self.start(name)


def _member(process: Process) -> members.EntryMember:
    return members.EntryMember(
        process.name, message.node_incarnation(process.node), process.name
    )


def _entry_tick(process: Process) -> None:
    entry.on_tick(process.board)


def _entry_second(process: Process) -> None:
    entry.on_slow_tick(process.board)


def _agent_tick(process: Process) -> None:
    agent.on_tick(process.board)


def _credit_tick(process: Process) -> None:
    if process.board.slot_requests:
        agent_tasks.give_credits(process.board)


def _check_health(process: Process) -> None:
    agent.set_healthy(process.board, process.backend_up)


def _on_open(process: Process, node: str) -> None:
    if process.kind == "agent":
        agent.on_link_open(process.board, node)
    elif node.startswith("a"):
        entry.on_agent_link_open(process.board, node)
    else:
        entry.on_entry_link_open(process.board, node)


def _on_close(process: Process, node: str) -> None:
    if process.kind == "agent":
        agent.on_link_closed(process.board, node)
    elif node.startswith("a"):
        entry.on_agent_link_closed(process.board, node)
    else:
        entry.on_entry_link_closed(process.board, node)


def _entry_settings(name: str, zone: str) -> settings.EntrySettings:
    return settings.EntrySettings(
        name=name,
        region="r",
        zone=zone,
        http_address="",
        admin_address="",
        peer_address="",
        log_url="",
        shared_key="",
    )


def agent_settings(
    name: str, zone: str, entries: tuple[str, ...]
) -> settings.AgentSettings:
    return settings.AgentSettings(
        name=name,
        region="r",
        zone=zone,
        service=SERVICE,
        admin_address="",
        backend_url="",
        entries=entries,
        shared_key="",
        processors=32,
        memory_bytes=128 * GIBIBYTE_BYTES,
        slots=2,
    )
