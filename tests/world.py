"""A simulated region: real engines on a simulated clock, network and log.

The simulation never sleeps: it takes events from a heap in the order of their
time. Each process has a monotonic clock of its own and a wall clock whose
error stays within the configured bound.
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
    nodeid,
    outcome,
    settings,
)
from egretthread.agentboard import StartCall
from egretthread.controllers import agent_tasks
from egretthread.submission import Refusal, SingleRequest, Submission, TaskSpec
from tests import oracle

UNIX_START_S = 1_750_000_000.0
ENTRY_TICK_S = 0.05
CREDIT_TICK_S = 0.02
CONNECT_INTERVAL_S = 0.25
LINK_TIMEOUT_S = 3.0
LOG_POLL_INTERVAL_S = 0.25
LOG_WRITE_INTERVAL_S = 0.5
HEALTH_CHECK_INTERVAL_S = 1.0
WITNESS_HANDOVER_S = 5.0
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
        name: Name of the process, the same for all of its incarnations.
        kind: `entry` or `agent`.
        zone: Availability zone.
        node: Node id of this incarnation.
        board: Blackboard of the engine.
        clock_s: Reading of the monotonic clock at simulated time 0.
        clock_error_s: Error of the wall clock.
        alive: Whether the process is running or paused.
        paused: Whether the process is suspended, as by SIGSTOP.
        inbox: Event handlers deferred until the process is resumed.
        links: Open links of the process, oldest first.
        next_offsets: Offset of the next record to read, by stream.
        read_s: Time of the last read of each stream, by the process's
            monotonic clock.
        backend_up: Whether the agent's backend server is reachable.
        refuses_tasks: Whether the agent's backend server passes its health
            check but refuses every task.
        shutting_down: Whether a graceful shutdown has begun.
    """

    name: str
    kind: str
    zone: str
    node: str
    board: object
    clock_s: float
    clock_error_s: float
    alive: bool = True
    paused: bool = False
    inbox: list = dataclasses.field(default_factory=list)
    links: list = dataclasses.field(default_factory=list)
    next_offsets: dict = dataclasses.field(default_factory=collections.Counter)
    read_s: dict = dataclasses.field(default_factory=dict)
    backend_up: bool = True
    refuses_tasks: bool = False
    shutting_down: bool = False

    def link_to(self, node: str) -> "Link | None":
        """Returns the newest open link to a node, or None."""
        for link in reversed(self.links):
            if link.peer_of(self).node == node:
                return link
        return None


@dataclasses.dataclass(eq=False)
class Link:
    """A connection between two processes.

    Attributes:
        ends: The dialling process and the process that it dialled.
        broken: Whether the link is closed and drops messages in flight.
        silent: Whether the link drops every message without an error.
        stalled: Messages held back by a partition, with their senders.
        last_s: Arrival time of the last message, by name of the receiver.
        disorder: Number of next messages that may arrive out of order.
        duplicates: Number of next messages that arrive twice.
        delay_s: Latency added to every message.
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
    """All processes, links and callers of one region, and its log.

    Attributes:
        rng: Source of latencies and run times.
        now_s: Simulated time, without any clock error.
        events: Heap of (time, sequence number, function).
        oracle: Checks the invariants.
        processes: Newest incarnation of each process, by name.
        duplicated_until_s: Time until which each message of a class is
            delivered twice, by class.
        run_times_s: Run times that tasks draw from.
        slow_share: Share of the tasks that start only after a long delay.
        behaviour: Maps a payload to the outcome of its task; outcomes are
            random if None.
        boards: Blackboards of all incarnations.
        links: All links that are not closed.
        isolated: Names of processes partitioned from all others.
        partitioned_pairs: Pairs of names partitioned from each other.
        disconnected_from_log: Names of processes that cannot reach the log.
        log_unavailable: Whether the log is unavailable to every process.
        full_outage: Outage recorded by the oracle while `log_unavailable`.
        majority_outage: Outage recorded by the oracle while a majority of
            the entries cannot reach the log.
        log_slow_s: Latency added to each read of the log.
        disconnected_from_stream: Pairs of a process and a stream of the log
            that it cannot reach, by name.
        streams: Both streams by name.
        configs: Records of the configuration stream.
        members: Records of the members stream.
        assigned_by: Assignments of each task as (ballot, attempt, entry), by
            agent, job and index.
        faults: Whether tasks and backend servers fail at random, and the log
            delivers records again.
        request_attempts: Jobs submitted for each single request, by the
            first of them.
        request_results: Results of single requests, by the first job of each.
        sent_counts: Number of messages sent, by class name.
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
        self.event_numbers = itertools.count()
        self.oracle = oracle.Oracle()
        self.processes: dict[str, Process] = {}
        self.boards: list = []
        self.behaviour: Callable[[str], outcome.Outcome] | None = None
        self.duplicated_until_s: dict[type, float] = {}
        self.run_times_s = (0.005, 0.05, 0.3, 2.0)
        self.slow_share = 0.05 if faults else 0.0
        self.links: list[Link] = []
        self.isolated: set[str] = set()
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.disconnected_from_log: set[str] = set()
        self.log_unavailable = False
        self.full_outage: oracle.Outage | None = None
        self.majority_outage: oracle.Outage | None = None
        self.log_slow_s = 0.0
        self.disconnected_from_stream: set[tuple[str, str]] = set()
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

    def at(self, delay_s: float, function: Callable[[], None]) -> None:
        """Schedules a function to run after a delay."""
        event = (self.now_s + delay_s, next(self.event_numbers), function)
        heapq.heappush(self.events, event)

    def run(self, duration_s: float) -> None:
        """Processes the events of a period of simulated time."""
        end_s = self.now_s + duration_s
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, function = heapq.heappop(self.events)
            function()
        self.now_s = end_s
        self.oracle.check_configurations(self)

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Runs until a condition holds or the limit has passed.

        Returns:
            Whether the condition holds.
        """
        end_s = self.now_s + limit_s
        while not condition():
            if self.now_s >= end_s:
                return False
            self.run(0.05)
        return True

    def start(self, name: str) -> Process:
        """Starts a new incarnation of a process."""
        bound_s = CONFIGURATION.clock_error_s
        clock_error_s = self.rng.uniform(-bound_s, bound_s)
        unix_s = UNIX_START_S + self.now_s + clock_error_s
        incarnation = int(unix_s * 1000)
        zone = "abc"[int(name[1:]) % 3]
        kind = "entry" if name.startswith("e") else "agent"
        clock_s = self.rng.uniform(100.0, 1e6)
        process = Process(name, kind, zone, "", None, clock_s, clock_error_s)
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
            self.every(process, 1.0, jitter_s, _entry_slow_tick)
            for stream in self.streams:
                poll = functools.partial(self._poll_log, process, stream)
                self.at(jitter_s * 0.1, poll)
            self.every(process, LOG_WRITE_INTERVAL_S, jitter_s, self._write_log)
        else:
            self.every(process, 1.0, jitter_s, _agent_tick)
            self.every(process, CREDIT_TICK_S, jitter_s, _credit_tick)
            self.every(
                process, HEALTH_CHECK_INTERVAL_S, jitter_s, _check_health
            )
        self.every(process, CONNECT_INTERVAL_S, jitter_s * 0.1, self._dial)
        return process

    def every(
        self,
        process: Process,
        period_s: float,
        first_s: float,
        function: Callable[[Process], None],
    ) -> None:
        """Calls a function of a process periodically while it is alive.

        Args:
            process: The process.
            period_s: Time between two calls.
            first_s: Time of the first call, in periods from now.
            function: The function, called with the process.
        """

        def run_and_reschedule() -> None:
            function(process)
            self.at(period_s, fire)

        def fire() -> None:
            self.call(process, run_and_reschedule)

        self.at(first_s * period_s, fire)

    def call(self, process: Process, function: Callable[[], None]) -> None:
        """Runs an event handler of a process, deferred while it is paused."""
        if not process.alive:
            return
        if process.paused:
            process.inbox.append(function)
            return
        board = process.board
        now_s = process.clock_s + self.now_s
        unix_s = UNIX_START_S + self.now_s + process.clock_error_s
        if process.kind == "entry":
            entry.set_time(board, now_s, unix_s)
        else:
            agent.set_time(board, now_s, unix_s)
        function()
        self._process_output(process)

    def _process_output(self, process: Process) -> None:
        board = process.board
        outbox, board.outbox = board.outbox, []
        for node, sent in outbox:
            self.sent_counts[type(sent).__name__] += 1
            link = process.link_to(node)
            if link is not None:
                self._send(link, process, sent)
        if process.kind == "agent":
            start_calls, board.to_start = board.to_start, []
            for start_call in start_calls:
                self._schedule_start(process, start_call)
            return
        self._record_requests(process)
        finished, board.job_results = board.job_results, []
        for job, result in finished:
            self.oracle.on_result(self, process, job, result)
        board.lookup_results.clear()

    def _record_requests(self, process: Process) -> None:
        """Registers the jobs of single requests with the oracle."""
        board = process.board
        for job, state in board.requests.items():
            if job not in self.oracle.requests:
                submission = board.jobs[job].submission
                self.oracle.on_request(self, process, submission)
                self.request_attempts[state.job].append(job)
        self.request_results.update(board.request_results)
        board.request_results.clear()

    def kill(self, name: str) -> None:
        """Kills a process and breaks its links."""
        process = self.processes[name]
        process.alive = False
        for link in list(process.links):
            self.break_link(link)

    def restart(self, name: str) -> None:
        """Starts a new incarnation, after killing the current one."""
        if self.processes[name].alive:
            self.kill(name)
        self.start(name)

    def shut_down(self, name: str) -> None:
        """Shuts a process down gracefully."""
        process = self.processes[name]
        if process.shutting_down or not process.alive:
            return
        process.shutting_down = True
        engine = entry if process.kind == "entry" else agent

        def begin() -> None:
            self.oracle.shutdown_began_s[process] = self.now_s
            engine.begin_shutdown(process.board)

        self.call(process, begin)
        begun_s = self.now_s
        idle_s = None

        def check_idle(stopping: Process) -> None:
            nonlocal idle_s
            waited_s = self.now_s - begun_s
            if not engine.is_idle(stopping.board) and waited_s < SHUTDOWN_S:
                return
            if idle_s is None:
                idle_s = self.now_s
            is_witness = (
                stopping.kind == "agent" and stopping.board.witness.shards
            )
            if is_witness and self.now_s - idle_s < WITNESS_HANDOVER_S:
                return
            if stopping.kind == "entry":
                record = members.entry_down_record(_member(stopping))
                self._append_members(stopping, record, None)
            # Messages sent before the process exits are still delivered.
            self.at(0.02, functools.partial(self._terminate, stopping))

        self.every(process, 0.1, 1.0, check_idle)

    def _terminate(self, process: Process) -> None:
        if process.alive and not process.paused:
            process.alive = False
            for link in list(process.links):
                self.break_link(link)

    def pause(self, name: str) -> None:
        """Suspends a process, as SIGSTOP does; its links then time out."""
        process = self.processes[name]
        if process.paused or not process.alive:
            return
        process.paused = True
        paused_s = self.now_s

        def time_out_links() -> None:
            if process.paused and self.now_s - paused_s >= LINK_TIMEOUT_S:
                for link in list(process.links):
                    self.break_link(link, drop=False)

        self.at(LINK_TIMEOUT_S, time_out_links)

    def resume(self, name: str) -> None:
        """Resumes a paused process, which runs its deferred handlers."""
        process = self.processes[name]
        if not process.paused:
            return
        process.paused = False
        inbox, process.inbox = process.inbox, []
        for function in inbox:
            self.call(process, function)

    def _dial(self, process: Process) -> None:
        for address in self._addresses_to_dial(process):
            target = self.processes.get(address)
            if target is None or target is process or not target.alive:
                continue
            if target.paused or self.is_partitioned(process, target):
                continue
            if not any(
                link.peer_of(process) is target for link in process.links
            ):
                self._connect(process, target)

    def _addresses_to_dial(self, process: Process) -> tuple[str, ...]:
        board = process.board
        if process.kind == "agent":
            return board.entries or board.settings.entries
        return tuple(e.address for e in board.membership.entries.values())

    def is_partitioned(self, first: Process, second: Process) -> bool:
        """Whether a partition separates two processes."""
        if frozenset((first.name, second.name)) in self.partitioned_pairs:
            return True
        return (first.name in self.isolated) != (second.name in self.isolated)

    def _connect(self, dialler: Process, target: Process) -> None:
        link = Link((dialler, target))
        self.links.append(link)
        for process in link.ends:
            process.links.append(link)
            node = link.peer_of(process).node
            opened = functools.partial(_on_open, process, node)
            self.call(process, opened)

    def break_link(self, link: Link, drop: bool = True) -> None:
        """Closes a link; each end notices it after a delay of its own.

        Args:
            link: The link.
            drop: Whether messages in flight are lost.
        """
        if link in self.links:
            self.links.remove(link)
        link.broken = drop
        for process in link.ends:
            delay_s = self.rng.uniform(0.0, 0.05)
            if not drop:
                delay_s = max(delay_s, self._remaining_delay_s(link, process))
            self.at(delay_s, functools.partial(self._close_end, link, process))

    def _remaining_delay_s(self, link: Link, process: Process) -> float:
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
        """Makes a link drop every message until its ends time out."""
        link.silent = True
        self.at(LINK_TIMEOUT_S, lambda: self.break_link(link))

    def partition(
        self, names: set[str], pairs: set[frozenset[str]] = frozenset()
    ) -> None:
        """Partitions some processes from the others.

        Args:
            names: Processes that reach one another, but no other process.
            pairs: Further pairs of processes that cannot reach each other.
        """
        self.isolated = set(names)
        self.partitioned_pairs = set(pairs)
        for link in list(self.links):
            if self.is_partitioned(*link.ends):
                self._stall(link)

    def _stall(self, link: Link) -> None:
        since_s = self.now_s

        def time_out() -> None:
            timed_out = self.now_s - since_s >= LINK_TIMEOUT_S
            if (
                timed_out
                and link in self.links
                and self.is_partitioned(*link.ends)
            ):
                self.break_link(link)

        self.at(LINK_TIMEOUT_S, time_out)

    def heal(self) -> None:
        """Ends the partition; the messages that it held back are sent."""
        self.isolated = set()
        self.partitioned_pairs = set()
        for link in list(self.links):
            stalled, link.stalled = link.stalled, []
            for sender, sent in stalled:
                self._send(link, sender, sent)

    def _send(self, link: Link, sender: Process, sent: object) -> None:
        if link.silent or link.broken:
            return
        if self.is_partitioned(*link.ends):
            link.stalled.append((sender, sent))
            return
        receiver = link.peer_of(sender)
        latency_s = self.rng.uniform(0.0005, 0.002) + link.delay_s
        arrives_s = max(
            self.now_s + latency_s, link.last_s.get(receiver.name, 0.0)
        )
        if link.disorder:
            link.disorder -= 1
            arrives_s = self.now_s + latency_s + self.rng.uniform(0.0, 0.1)
        else:
            link.last_s[receiver.name] = arrives_s
        delay_s = arrives_s - self.now_s
        deliver = functools.partial(self._deliver, link, sender, sent)
        self.at(delay_s, deliver)
        by_class = self.duplicated_until_s.get(type(sent), 0.0) >= self.now_s
        if link.duplicates or by_class:
            link.duplicates -= 0 if by_class else 1
            late_s = delay_s + self.rng.choice((0.001, 0.01, 0.1, 1.0, 8.0))
            redeliver = functools.partial(self._receive, receiver, sender, sent)
            self.at(late_s, lambda: self.call(receiver, redeliver))

    def _deliver(self, link: Link, sender: Process, sent: object) -> None:
        if link.broken or link.silent:
            return
        if self.is_partitioned(*link.ends):
            link.stalled.append((sender, sent))
            return
        receiver = link.peer_of(sender)

        def receive() -> None:
            if link in receiver.links and not link.broken:
                self._receive(receiver, sender, sent)

        self.call(receiver, receive)

    def _receive(
        self, receiver: Process, sender: Process, received: object
    ) -> None:
        if isinstance(received, message.Assign):
            for task in received.tasks:
                key = (receiver.node, received.job, task.index)
                assignment = (received.ballot, task.attempt, sender)
                self.assigned_by[key].append(assignment)
        engine = entry if receiver.kind == "entry" else agent
        engine.on_message(receiver.board, sender.node, received)

    def log_reaches(self, process: Process, stream: str = "config") -> bool:
        """Whether a process can reach a stream of the log now."""
        if self.log_unavailable or process.name in self.disconnected_from_log:
            return False
        return (process.name, stream) not in self.disconnected_from_stream

    def _poll_log(self, process: Process, stream: str) -> None:
        self.call(process, lambda: self._read_log(process, stream))

    def _read_log(self, process: Process, stream: str) -> None:
        def poll_again() -> None:
            self._poll_log(process, stream)

        if not self.log_reaches(process, stream):
            self.at(LOG_POLL_INTERVAL_S, poll_again)
            return
        sent_s = process.clock_s + self.now_s
        records = list(enumerate(self.streams[stream]))
        first = process.next_offsets[stream]
        if self.faults and self.rng.random() < 0.1:
            # A reader may start again from an earlier offset, so that it
            # gets some records twice.
            first = max(0, first - 2)
        apply = functools.partial(
            self._apply_records, process, stream, records[first:], sent_s
        )
        latency_s = self.rng.uniform(0.002, 0.01) + self.log_slow_s
        self.at(latency_s, lambda: self.call(process, apply))
        self.at(latency_s + LOG_POLL_INTERVAL_S, poll_again)
        if self.faults and self.rng.random() < 0.05:
            # A response may be delivered a second time, 1 s late.
            self.at(latency_s + 1.0, lambda: self.call(process, apply))

    def _apply_records(
        self, process: Process, stream: str, records: list, sent_s: float
    ) -> None:
        board = process.board
        for offset, record in records:
            if stream == "config":
                entry.on_configuration(board, offset, record)
            else:
                entry.on_members_record(board, offset, record)
            next_offset = max(process.next_offsets[stream], offset + 1)
            process.next_offsets[stream] = next_offset
        read_s = process.read_s
        read_s[stream] = max(read_s.get(stream, sent_s), sent_s)
        if len(read_s) == len(self.streams):
            entry.on_log_read(board, min(read_s.values()))

    def _write_log(self, process: Process) -> None:
        if "members" not in process.read_s or process.shutting_down:
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
        """Publishes a change of the newest configuration, as an operator.

        The operator reads the newest configuration, appends the changed one
        at the expected offset and retries if another append came first. If
        the response is lost, a read tells whether the append succeeded.

        Args:
            change: Returns the changed configuration for the newest one.
            lost: Whether the response to the append is lost.
        """
        if self.log_unavailable:
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
        if self.log_unavailable:
            return
        if expected != len(self.configs):
            self.publish(change, lost)
            return
        self.configs.append(changed)
        self.oracle.on_published(self, changed)
        if lost and changed not in self.configs[expected:]:
            self.publish(change)

    def set_log_unavailable(self, unavailable: bool) -> None:
        """Makes the log unavailable to every process, or available again."""
        self.log_unavailable = unavailable
        if unavailable:
            offsets = [
                process.next_offsets["config"]
                for process in self.processes.values()
                if process.alive
            ]
            read = max(offsets, default=0)
            self.full_outage = self.oracle.begin_outage(self, read)
        elif self.full_outage is not None:
            self.oracle.end_outage(self, self.full_outage)

    def disconnect_from_log(self, names: set[str]) -> None:
        """Disconnects entries from the log while others can reach it.

        Entries that are a majority of the members they know of cannot tell
        this from an outage of the log. They continue with the configuration
        in force, so a new one takes effect only when they reach the log
        again, which may be later than its bound.
        """
        self.disconnected_from_log = set(names)
        self._update_majority_outage()

    def disconnect_from_stream(self, name: str, stream: str) -> None:
        """Disconnects an entry from one stream of the log."""
        self.disconnected_from_stream.add((name, stream))
        self._update_majority_outage()

    def reconnect_streams(self) -> None:
        """Reconnects all entries to both streams of the log."""
        self.disconnected_from_stream.clear()
        self._update_majority_outage()

    def _update_majority_outage(self) -> None:
        if self.majority_outage is not None:
            self.oracle.end_outage(self, self.majority_outage)
            self.majority_outage = None
        names = self.disconnected_from_log.union(
            name for name, _ in self.disconnected_from_stream
        )
        for name in names:
            known = self.processes[name].board.membership.entries
            if 2 * len(names.intersection(known)) > len(known):
                read = len(self.configs)
                self.majority_outage = self.oracle.begin_outage(self, read)
                return

    def _schedule_start(self, process: Process, start_call: StartCall) -> None:
        slow = self.rng.random() < self.slow_share
        delay_s = self.rng.uniform(0.1, 2.0) if slow else 0.001
        start_task = functools.partial(self._start_task, process, start_call)
        self.at(delay_s, lambda: self.call(process, start_task))

    def _start_task(self, process: Process, start_call: StartCall) -> None:
        if not process.backend_up or process.refuses_tasks:
            agent_tasks.cancel_start(
                process.board, start_call, message.Refusal.BACKEND_UNREACHABLE
            )
            return
        if not agent.may_start(process.board, start_call):
            return
        start = self.oracle.on_start(
            self, process, start_call, self._assigner(process, start_call)
        )
        result = self._result(start_call, start)
        start.outcome = result
        run_s = self.rng.choice(self.run_times_s)
        if self.faults and self.rng.random() < 0.02:
            run_s = 15.0

        def finish() -> None:
            agent.on_finished(process.board, start_call, result)

        self.at(run_s, lambda: self.call(process, finish))

    def _assigner(self, process: Process, start_call: StartCall) -> Process:
        """Returns the entry that assigned the task about to start."""
        key = (process.node, start_call.job, start_call.index)
        assignments = [
            assignment
            for assignment in self.assigned_by[key]
            if assignment[1] == start_call.attempt
        ]
        return max(assignments, key=lambda assignment: assignment[0])[2]

    def _result(self, start_call: StartCall, start: object) -> outcome.Outcome:
        if self.behaviour is not None:
            return self.behaviour(start_call.payload)
        draw = self.rng.random() if self.faults else 1.0
        if draw < 0.03:
            return outcome.unknown("the backend server did not respond")
        if draw < 0.1:
            return outcome.failed(f"start {start.number}")
        return outcome.done(f'"{start_call.payload} {start.number}"')

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
        """Returns a submission whose key was issued `age_s` ago."""
        issued_s = UNIX_START_S + self.now_s - age_s
        tasks = tuple(
            TaskSpec(f"{name}/{tag}/{index}", memory_bytes)
            for index in range(count)
        )
        job = jobkey.JobRef(organisation, jobkey.make_key(issued_s, name))
        digest = jobform.digest(SERVICE, tasks)
        return Submission(job, SERVICE, digest, tasks, deadline_s)

    def submit(self, name: str, submission: Submission) -> "oracle.Request":
        """Submits a job to an entry; the result is set on the request."""
        process = self.processes[name]
        request = self.oracle.on_request(self, process, submission)
        if process.shutting_down or not process.alive:
            request.lost = True
            return request

        def submit() -> None:
            board = process.board
            refusal = entry.submit(board, submission)
            known = board.jobs.get(submission.job)
            if refusal is not None:
                self.oracle.resolve(self, request, refusal)
            elif known is not None and known.answer is not None:
                self.oracle.resolve(self, request, known.answer)
            else:
                request.waiting = True

        self.call(process, submit)
        return request

    def request(
        self, name: str, idempotent: bool, deadline_s: float = 20.0
    ) -> jobkey.JobRef | Refusal:
        """Sends a single request; `request_results` receives its result."""
        single = SingleRequest(
            "dublin", SERVICE, TaskSpec('"single"'), deadline_s, idempotent
        )
        process = self.processes[name]
        replies = []

        def submit() -> None:
            replies.append(entry.request(process.board, single))

        self.call(process, submit)
        return replies[0]

    def cancel(self, name: str, job: jobkey.JobRef) -> None:
        """Cancels a job through an entry."""
        process = self.processes[name]
        cancel = functools.partial(entry.look_up, process.board, job, True)
        self.call(process, cancel)

    def heal_all(self) -> None:
        """Ends every fault and restarts all processes that are not alive."""
        self.heal()
        self.disconnect_from_log(set())
        self.reconnect_streams()
        self.log_slow_s = 0.0
        if self.log_unavailable:
            self.set_log_unavailable(False)
        for name, process in list(self.processes.items()):
            process.backend_up = True
            process.refuses_tasks = False
            self.resume(name)
            if not process.alive:
                self.start(name)


def _member(process: Process) -> members.EntryMember:
    return members.EntryMember(
        process.name, nodeid.node_incarnation(process.node), process.name
    )


def _entry_tick(process: Process) -> None:
    entry.on_tick(process.board)


def _entry_slow_tick(process: Process) -> None:
    entry.on_slow_tick(process.board)


def _agent_tick(process: Process) -> None:
    agent.on_tick(process.board)


def _credit_tick(process: Process) -> None:
    if process.board.slot_requests:
        agent_tasks.grant_credits(process.board)


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
