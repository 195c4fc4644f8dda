"""Simulation of entries, agents, backend servers and callers of a region.

Nothing waits for real time: events are taken from a heap in order of their
time. The simulation drives the engines as the server processes do, with ticks,
polls and links that open and close, in the same order.
"""

import collections
import heapq
import itertools
import random

from egretthread.scheduling import (
    agentengine,
    entryengine,
    forwardedjobs,
    isolation,
    jobrecord,
    keptjobs,
    leaserule,
    linkchoice,
    pendingcounts,
    serverneeds,
    serverpoll,
    wantedlinks,
)
from egretthread.scheduling.agentboard import StartCall
from egretthread.scheduling.entryboard import Outcome
from egretthread.scheduling.jobspec import (
    JobSpec,
    OperatorState,
    Route,
    StepSpec,
)
from egretthread.scheduling.loadsettings import LoadSettings
from egretthread.scheduling.room import Room
from egretthread.scheduling.runmessage import EntryHello
from egretthread.scheduling.servercall import CallResult, PollResult, Verdict
from tests.scheduling import guarantees
from tests.scheduling.fakelog import FakeLog
from tests.scheduling.fakeserver import FakeServer

TICK_S = 0.02
LINK_DELAY_S = 0.001
RECONNECT_S = 0.05
LIVENESS_S = 2.5
RESUBMIT_S = 1.3
HEARTBEAT_INTERVAL_S = 1.5
UNIX_START_S = 1.7e9
JOIN_INTERVAL_S = 0.5
STORE_DELAY_S = 0.004
HELLO_INTERVAL_S = 1.0
MAX_HELLO_AGE_S = 3.0
# Time after which a call that did not reach the store is repeated.
STORE_RETRY_S = 0.1
# Time in which a crashed backend server starts again.
SERVER_RESTART_S = 3.3
# Time in which an entry that starts is linked with the others.
ENTRY_LINK_S = 0.02
# Time after which a silent link between entries is closed.
ENTRY_LIVENESS_S = 6.0

NO_LOAD_DECISIONS = LoadSettings()
ROUTE = Route("lookups", "h", "/p/", "match", 0, 3, 1.5, 1.6, 0.06)
LONG_ROUTE = Route("matches", "h", "/q/", "match", 2, 4, 1.5, 1.6, 0.06)


def job(name, count=4, cpu=1000, estimated_s=0.1):
    """Returns a job of one step."""
    step = StepSpec(count, Room(cpu, 64, 0), estimated_s)
    return JobSpec(name, "payload", (step,))


class Process:
    """A process that may be frozen or dead.

    Attributes:
        board: The blackboard of its engine.
        frozen_until_s: Until when it is frozen.
        polling: Whether an agent polls its backend server.
        writing: Partitions with a batch of progress being written.
        hellos: The last hello from each other entry and when it arrived, by
            the entry's name.
        sent_hello: The hello that it last sent; None before the first one.
        late_reads: Number of records that an entry has yet to read, as its
            reads are not answered.
    """

    def __init__(self, name, kind, board):
        self.name = name
        self.kind = kind
        self.board = board
        self.alive = True
        self.frozen_until_s = 0.0
        self.polling = False
        self.generation = 0
        self.writing = set()
        self.hellos = {}
        self.sent_hello = None
        self.late_reads = 0


class Link:
    """A link between an entry and an agent."""

    def __init__(self, entry, agent):
        self.entry = entry
        self.agent = agent
        self.entry_open = False
        self.agent_open = False
        self.dead = False
        self.last_received_s = {"entry": 0.0, "agent": 0.0}


class Region:
    """Simulated region of entries, agents, backend servers and callers.

    Attributes:
        now_s: The simulated time.
        rng: Source of all random choices.
        servers: Backend servers by agent.
        entries: Entries by name.
        agents: Agents by name.
        links: Open links by entry and agent.
        linked: Node ids of the entries and agents that link with each other,
            though a link may be down.
        cuts: Until when two processes are partitioned, by their names.
        entry_links: When the last message over each link between two entries
            arrives, by the node ids of its sender and receiver.
        sent_between: Messages sent between entries: time, names of the sender
            and the receiver, and the message.
        between_rng: Source of the delays of these messages.
        loses: Whether a message between entries is lost; for tests of it.
        answers: Every answer that a caller got: job, outcome and time.
        callers: Callers that wait for an answer, by job.
        lost_share: Share of calls to backend servers that are not answered.
        late_share: Share of these calls that are carried out seconds later.
        log: The log of kept jobs.
        unread_until_s: Until when the reads of an entry are not answered, by
            its name.
        is_partly_linked: Whether each agent links only with the entries that
            it selects, as agents do, instead of with all.
        crashes: Crashes of backend servers under a task: time, agent and task.
        load_settings: Which decisions under load its processes make.
        absent_entries: Further entries that are known but not there.
    """

    def __init__(
        self,
        entries=2,
        agents=4,
        cpu=8000,
        seed=1,
        work_s=None,
        zones="xyz",
        is_partly_linked=False,
        load_settings=NO_LOAD_DECISIONS,
        absent_entries=0,
    ):
        self.absent_entries = tuple(f"x{n}" for n in range(absent_entries))
        self.load_settings = load_settings
        self.now_s = 100.0
        self.rng = random.Random(seed)
        self.event_heap = []
        self.event_numbers = itertools.count()
        self.incarnations = itertools.count(1)
        self.lost_share = 0.0
        self.late_share = 0.0
        self.cuts = {}
        self.links = {}
        self.linked = set()
        self.entry_links = {}
        self.sent_between = []
        # Their delays leave the other random choices as they are.
        self.between_rng = random.Random(seed + 2)
        self.loses = lambda sender, receiver, message: False
        self.is_partly_linked = is_partly_linked
        self.entry_names = [f"e{number}" for number in range(entries)]
        self.work_s = work_s or (lambda name: 0.1)
        self.operators = OperatorState(
            offset=1, version=1, routes=(ROUTE, LONG_ROUTE)
        )
        self.log = FakeLog(3, random.Random(seed + 1))
        self.unread_until_s = {}
        self.entries = {}
        self.agents = {}
        self.servers = {}
        self.answers = []
        self.callers = {}
        self.crashes = []
        for number in range(agents):
            name = f"a{number}"
            zone = zones[number % len(zones)]
            drift = 0.02 if number % 2 else 0.0
            self.servers[name] = FakeServer(
                name, zone, cpu, self.now_s, self.work_s, drift
            )
        for number in range(entries):
            self.start_entry(f"e{number}", zones[number % len(zones)])
        for name in self.servers:
            self.start_agent(name)
            self.at(0.01, self.heartbeat, name)

    def at(self, after_s, function, *args):
        """Schedules a function call."""
        event = (self.now_s + after_s, next(self.event_numbers), function, args)
        heapq.heappush(self.event_heap, event)

    def run(self, seconds):
        """Runs the simulation for a number of seconds."""
        end_s = self.now_s + seconds
        while self.event_heap and self.event_heap[0][0] <= end_s:
            self.now_s, _, function, args = heapq.heappop(self.event_heap)
            function(*args)
        self.now_s = end_s

    def start_entry(self, name, zone):
        """Starts an entry's process."""
        node = f"{name}#{next(self.incarnations)}"
        board = entryengine.new_board(node, zone, self.now_s)
        process = self.entries[name] = Process(name, "entry", board)
        board.load = self.load_settings
        board.kept.partition_count = self.log.count
        entryengine.on_operators(board, self.operators)
        board.entries = (*self.entry_names, *self.absent_entries)
        self.at(TICK_S, self.tick, process)
        self.at(TICK_S, self.join, process)
        self.at(HELLO_INTERVAL_S, self.send_hello, process)
        for agent in self.agents.values():
            self._link(process, agent)
        for other in self.entries.values():
            if other is not process and other.alive:
                self.at(ENTRY_LINK_S, self._summarise, other, process)
                self.at(ENTRY_LINK_S, self.connect_entries, other, process)
        return process

    def send_hello(self, process):
        """Tells the other entries which partitions an entry has loaded."""
        if not process.alive:
            return
        self.at(HELLO_INTERVAL_S, self.send_hello, process)
        if self.now_s >= process.frozen_until_s:
            self._send_hello(process)

    def _send_hello(self, process):
        board = process.board
        hello = process.sent_hello = EntryHello(
            process.name,
            0,
            pendingcounts.loaded_parts(board),
            keptjobs.pending(board),
            needs=serverneeds.unmet(board),
        )
        for other in self.entries.values():
            if other is not process and not self.is_cut(
                process.name, other.name
            ):
                self.at(
                    ENTRY_LINK_S,
                    self.run_event,
                    other,
                    self._on_hello,
                    other,
                    hello,
                )

    def _on_hello(self, process, hello):
        hellos = process.hellos
        # The latest hello comes last.
        before, _ = hellos.pop(hello.address, (None, 0.0))
        if before is not None:
            pendingcounts.on_hello(process.board, before, hello)
        hellos[hello.address] = hello, self.now_s
        keptjobs.on_hellos(process.board, [each for each, _ in hellos.values()])

    def _drop_old_hellos(self, process):
        for name, (hello, at_s) in tuple(process.hellos.items()):
            if self.now_s - at_s >= MAX_HELLO_AGE_S:
                del process.hellos[name]
                gone = EntryHello(name, 0)
                pendingcounts.on_hello(process.board, hello, gone)

    def pending_jobs(self, process, route):
        """Returns the number of waiting kept jobs that an entry reports."""
        hellos = [hello for hello, _ in process.hellos.values()]
        return pendingcounts.total(process.board, route, hellos)

    def connect_entries(self, first, second):
        """Opens the links between two entries once they can be reached."""
        if not first.alive or not second.alive:
            return
        if self.is_cut(first.name, second.name):
            self.at(0.2, self.connect_entries, first, second)
            return
        for sender, receiver in ((first, second), (second, first)):
            node = receiver.board.node
            self.entry_links[sender.board.node, node] = self.now_s
            self.run_event(
                sender, forwardedjobs.on_link_open, sender.board, node
            )
            self.run_event(
                sender, forwardedjobs.on_hello, sender.board, node, True
            )

    def reset_entries(self, first, second):
        """Closes the links between two entries; messages on them are lost."""
        for sender, receiver in ((first, second), (second, first)):
            node = receiver.board.node
            self.entry_links.pop((sender.board.node, node), None)
            self.run_event(
                sender, forwardedjobs.on_link_closed, sender.board, node
            )
        self.at(RECONNECT_S, self.connect_entries, first, second)

    def send_between(self, sender, node, message):
        """Sends a message to another entry, after those sent before."""
        key = (sender.board.node, node)
        name = node.partition("#")[0]
        self.sent_between.append((self.now_s, sender.name, name, message))
        if key not in self.entry_links:
            return
        if self.loses(sender.name, name, message):
            return
        wait_s = LINK_DELAY_S * self.between_rng.uniform(0.5, 1.5)
        if self.is_cut(sender.name, name):
            wait_s += self.cuts[sender.name, name] - self.now_s
            if wait_s > ENTRY_LIVENESS_S:
                return
        at_s = max(self.now_s + wait_s, self.entry_links[key])
        self.entry_links[key] = at_s
        receiver = self.entries[name]
        self.at(at_s - self.now_s, self.deliver_between, key, receiver, message)

    def deliver_between(self, key, receiver, message):
        """Delivers a message unless its link was closed meanwhile."""
        if key not in self.entry_links or receiver.board.node != key[1]:
            return
        if self.now_s < receiver.frozen_until_s:
            wait_s = receiver.frozen_until_s - self.now_s + 1e-6
            self.at(wait_s, self.deliver_between, key, receiver, message)
            return
        self.run_event(
            receiver, forwardedjobs.on_message, receiver.board, key[0], message
        )

    def _summarise(self, sender, receiver):
        """Sends an entry that has started what another entry knows."""
        summary = isolation.summary(sender.board)
        self.run_event(receiver, isolation.adopt, receiver.board, summary)

    def start_agent(self, name):
        """Starts an agent's process."""
        number = next(self.incarnations)
        board = agentengine.new_board(f"{name}#{number}", number, self.now_s)
        board.load = self.load_settings
        process = self.agents[name] = Process(name, "agent", board)
        self.at(TICK_S, self.tick, process)
        for entry in self.entries.values():
            self._link(entry, process)
        return process

    def _link(self, entry, agent):
        """Opens a link soon, if the agent selects the entry."""
        if self.is_partly_linked:
            chosen = linkchoice.choose(agent.name, self.entry_names, ())
            if entry.name not in chosen:
                return
        self._link_pair(entry, agent)

    def _link_pair(self, entry, agent):
        """Opens a link soon, unless the two link with each other already."""
        pair = (entry.board.node, agent.board.node)
        if pair not in self.linked:
            self.linked.add(pair)
            self.at(0.005, self.connect, entry, agent)

    def kill(self, process, back_s):
        """Kills a process; a new one replaces it after `back_s`."""
        if not process.alive:
            return
        process.alive = False
        for link in tuple(self.links.values()):
            if process in (link.entry, link.agent):
                self.reset(link)
        if process.kind == "entry":
            for other in self.entries.values():
                if other is not process and other.alive:
                    self.reset_entries(process, other)
            zone = process.board.zone
            self.at(back_s, self.start_entry, process.name, zone)
            for caller in tuple(self.callers.values()):
                if caller["entry"] is process:
                    self.drop_caller(caller)
        else:
            self.at(back_s, self.start_agent, process.name)

    def freeze(self, process, seconds):
        """Freezes a process for a number of seconds."""
        process.frozen_until_s = max(
            process.frozen_until_s, self.now_s + seconds
        )

    def run_event(self, process, function, *args):
        """Runs an event of a process as soon as it is not frozen."""
        if not process.alive:
            return
        if self.now_s < process.frozen_until_s:
            wait_s = process.frozen_until_s - self.now_s + 1e-6
            self.at(wait_s, self.run_event, process, function, *args)
            return
        if process.kind == "entry":
            entryengine.set_time(
                process.board, self.now_s, self.now_s + UNIX_START_S
            )
        else:
            process.board.now_s = self.now_s
        function(*args)
        self.flush(process)

    def tick(self, process):
        """Runs one tick of a process's timer."""
        if not process.alive:
            return
        if self.now_s < process.frozen_until_s:
            self.at(
                process.frozen_until_s - self.now_s + 2e-6, self.tick, process
            )
            return
        engine = entryengine if process.kind == "entry" else agentengine
        self.run_event(process, engine.on_tick, process.board)
        if process.kind == "agent":
            for node in agentengine.silent_entries(process.board):
                name = node.partition("#")[0]
                self.reset_pair(name, process.name)
        self._check_liveness(process)
        if process.kind == "entry":
            self._drop_old_hellos(process)
            hello, board = process.sent_hello, process.board
            if hello and hello.parts != pendingcounts.loaded_parts(board):
                self._send_hello(process)
        self.at(TICK_S, self.tick, process)

    def _check_liveness(self, process):
        for link in tuple(self.links.values()):
            if process in (link.entry, link.agent) and not link.dead:
                silent_s = self.now_s - link.last_received_s[process.kind]
                if silent_s > LIVENESS_S:
                    self.reset(link)

    def connect(self, entry, agent):
        """Opens a link if both ends are reachable; otherwise retries later."""
        if self.entries.get(entry.name) is not entry or not entry.alive:
            return
        if self.agents.get(agent.name) is not agent or not agent.alive:
            return
        frozen = self.now_s < max(entry.frozen_until_s, agent.frozen_until_s)
        if frozen or self.is_cut(entry.name, agent.name):
            self.at(0.2, self.connect, entry, agent)
            return
        link = Link(entry, agent)
        link.last_received_s = {"entry": self.now_s, "agent": self.now_s}
        self.links[entry.name, agent.name] = link
        # The accepting end opens first, as in the handshake of real links.
        link.entry_open = True
        self.run_event(
            entry, entryengine.on_link_open, entry.board, agent.board.node
        )
        self.at(LINK_DELAY_S, self._open_agent, link)

    def _open_agent(self, link):
        if link.dead:
            return
        link.agent_open = True
        self.run_event(
            link.agent,
            agentengine.on_link_open,
            link.agent.board,
            link.entry.board.node,
        )

    def reset_pair(self, entry, agent):
        """Resets the link between two processes."""
        link = self.links.get((entry, agent))
        if link:
            self.reset(link)

    def reset(self, link):
        """Closes a link; messages in transit are lost."""
        if link.dead:
            return
        link.dead = True
        self.links.pop((link.entry.name, link.agent.name), None)
        self.run_event(
            link.entry,
            entryengine.on_link_closed,
            link.entry.board,
            link.agent.board.node,
        )
        self.run_event(
            link.agent,
            agentengine.on_link_closed,
            link.agent.board,
            link.entry.board.node,
        )
        self.at(RECONNECT_S, self.connect, link.entry, link.agent)

    def cut(self, entry, agent, seconds):
        """Partitions an entry and an agent for a number of seconds."""
        self.cuts[entry, agent] = self.now_s + seconds

    def cut_entries(self, first, second, seconds):
        """Partitions two entries for a number of seconds."""
        self.cut(first, second, seconds)
        self.cut(second, first, seconds)

    def is_cut(self, entry, agent):
        return self.now_s < self.cuts.get((entry, agent), 0.0)

    def send(self, process, node, message):
        """Sends a message over the open link to a node."""
        name = node.partition("#")[0]
        pair = (
            (process.name, name)
            if process.kind == "entry"
            else (name, process.name)
        )
        link = self.links.get(pair)
        if link is None or not getattr(link, f"{process.kind}_open"):
            return
        receiver = link.agent if process.kind == "entry" else link.entry
        if receiver.board.node != node:
            # Addressed to an earlier process of that name.
            return
        if self.is_cut(*pair):
            # Delivered late, if the link is still open when the partition ends.
            wait_s = self.cuts[pair] - self.now_s + LINK_DELAY_S
        else:
            wait_s = LINK_DELAY_S * self.rng.uniform(0.5, 1.5)
        at_s = max(self.now_s + wait_s, getattr(link, "last", 0.0))
        link.last = at_s
        self.at(at_s - self.now_s, self.deliver, link, process, message)

    def deliver(self, link, sender, message):
        """Delivers a message to its receiver."""
        to_entry = sender.kind == "agent"
        receiver = link.entry if to_entry else link.agent
        if link.dead:
            return
        if not to_entry and not link.agent_open:
            self.at(LINK_DELAY_S, self.deliver, link, sender, message)
            return
        if self.now_s < receiver.frozen_until_s:
            wait_s = receiver.frozen_until_s - self.now_s + 1e-6
            self.at(wait_s, self.deliver, link, sender, message)
            return
        link.last_received_s[receiver.kind] = self.now_s
        engine = entryengine if to_entry else agentengine
        self.run_event(
            receiver,
            engine.on_message,
            receiver.board,
            sender.board.node,
            message,
        )
        if not to_entry:
            self.run_event(receiver, agentengine.after_event, receiver.board)

    def flush(self, process):
        """Sends the messages, answers and calls that an engine has queued."""
        board = process.board
        outbox, board.outbox = board.outbox, []
        for node, message in outbox:
            self.send(process, node, message)
        if process.kind == "entry":
            answers, board.answers = board.answers, []
            for answer in answers:
                self.on_answer(process, answer)
            forwards = board.forwarding
            outgoing, forwards.outbox = forwards.outbox, []
            for node, message in outgoing:
                self.send_between(process, node, message)
            relays, board.relays = board.relays, []
            for crash in relays:
                for other in self.entries.values():
                    if other is not process:
                        self.at(
                            LINK_DELAY_S,
                            self.run_event,
                            other,
                            entryengine.on_crash,
                            other.board,
                            crash,
                        )
            for number in tuple(board.kept.partitions):
                self.write(process, number)
            for handover in keptjobs.take_handovers(board):
                self.at(
                    STORE_DELAY_S,
                    self.run_event,
                    process,
                    self._hand_over,
                    process,
                    handover,
                )
            return
        for name in wantedlinks.addresses(board):
            self._link_pair(self.entries[name], process)
        calls, board.calls = board.calls, []
        for call in calls:
            self.send_call(process, call)
        if not process.polling and agentengine.needs_poll(board):
            process.polling = True
            self.at(0.0, self.poll, process)

    def join(self, process):
        """Renews an entry's membership of the coordinators' group."""
        if not process.alive:
            return
        self.at(JOIN_INTERVAL_S, self.join, process)
        reached = self.log.reaches(process.name, self.now_s)
        if not reached or self.now_s < process.frozen_until_s:
            return
        generation, numbers = self.log.join(
            process.board.node, process.generation, self.now_s
        )
        if self.log.loses_answer(process.name, self.now_s):
            return
        until_s = self.now_s + leaserule.TENURE_S
        self.at(
            STORE_DELAY_S,
            self.run_event,
            process,
            self._on_joined,
            process,
            generation,
            numbers,
            until_s,
        )

    def _on_joined(self, process, generation, numbers, until_s):
        board = process.board
        process.generation = generation
        keptjobs.on_assigned(board, generation, numbers, until_s)
        for partition in board.kept.partitions.values():
            if not partition.is_loaded:
                self.at(STORE_DELAY_S, self.load, process, partition)
            elif self._reads(process) and not process.late_reads:
                # Submissions are read STORE_DELAY_S after they were stored.
                keptjobs.on_read(
                    board,
                    partition.number,
                    partition.epoch,
                    self.now_s - STORE_DELAY_S,
                )

    def _reads(self, process):
        """Whether the reads of an entry are answered."""
        return self.log.reaches(
            process.name, self.now_s
        ) and self.now_s >= self.unread_until_s.get(process.name, 0.0)

    def load(self, process, partition):
        """Reads a partition for its new coordinator."""
        log = self.log
        if not log.reaches(process.name, self.now_s) or partition.is_loaded:
            return
        keptjobs.begin_epoch(process.board, partition)
        if partition.epoch < log.epochs[partition.number]:
            return
        partition.former_epoch = log.epochs[partition.number]
        partition.first_epoch = partition.epoch
        log.epochs[partition.number] = partition.epoch
        submissions, progress, cancelled = log.read(partition.number)
        self.run_event(
            process,
            self._on_loaded,
            process,
            partition,
            submissions,
            progress,
            cancelled,
        )

    def _on_loaded(self, process, partition, submissions, progress, cancelled):
        board, key = process.board, (partition.number, partition.epoch)
        if (
            partition.is_loaded
            or board.kept.partitions.get(partition.number) is not partition
        ):
            return
        keptjobs.on_loaded(board, *key, submissions, progress)
        for job_id, change in cancelled:
            keptjobs.on_cancelled(board, *key, job_id, change)
        # Records that were written since the read are read next.
        for submission in self.log.read(partition.number)[0]:
            keptjobs.on_submitted(board, *key, submission)
        keptjobs.on_read(board, *key, self.now_s)
        handover = self.log.handovers.get(partition.number, -1)
        keptjobs.on_handover(board, *key, handover)

    def _hand_over(self, process, handover):
        """Stores the handover of a partition, with retries."""
        if not self.log.reaches(process.name, self.now_s):
            if self.now_s - handover.released_s < keptjobs.HANDOVER_S:
                self.at(
                    STORE_RETRY_S,
                    self.run_event,
                    process,
                    self._hand_over,
                    process,
                    handover,
                )
            return
        number = handover.number
        self.log.handovers[number] = handover.epoch
        self._publish_to(number, keptjobs.on_handover, handover.epoch)

    def write(self, process, number):
        """Writes the progress of a partition, one batch at a time."""
        if number in process.writing:
            return
        batch = keptjobs.take_batch(process.board, number)
        if batch is not None:
            process.writing.add(number)
            self.at(STORE_DELAY_S, self._write, process, batch)

    def _write(self, process, batch):
        reached = self.log.reaches(process.name, self.now_s)
        if not reached or self.log.loses_answer(process.name, self.now_s):
            if reached:
                self.log.write(batch)
            self.at(STORE_RETRY_S, self._write, process, batch)
            return
        is_written = self.log.write(batch)
        self.run_event(process, self._on_write, process, batch, is_written)

    def _on_write(self, process, batch, is_written):
        process.writing.discard(batch.partition)
        if is_written:
            keptjobs.on_written(process.board, batch)
        else:
            keptjobs.release(process.board, batch.partition, "fenced")

    def submit_kept(self, spec, route=ROUTE):
        """Submits a kept job; it may be submitted again."""
        unix_s = self.now_s + UNIX_START_S
        submission = jobrecord.Submission(spec, route, unix_s)
        value = jobrecord.encode_submission(submission)
        self.log.submissions.setdefault(spec.job, value)
        self._publish(spec.job, keptjobs.on_submitted, submission)

    def cancel_kept(self, job_id, route=ROUTE):
        """Cancels a kept job."""
        change = jobrecord.Cancellation(
            self.now_s + UNIX_START_S, route.name, jobrecord.path_of(route)
        )
        self.log.cancelled[job_id] = change
        self._publish(job_id, keptjobs.on_cancelled, job_id, change)

    def _publish(self, job_id, handler, *change):
        self._publish_to(self.log.partition_of(job_id), handler, *change)

    def _publish_to(self, number, handler, *change):
        for process in self.entries.values():
            self.at(
                STORE_DELAY_S,
                self.run_event,
                process,
                self._read,
                process,
                number,
                handler,
                *change,
            )

    def _read(self, process, number, handler, *change):
        if not self._reads(process):
            process.late_reads += 1
            self._read_late(process, number, handler, *change)
            return
        self._apply(process, number, handler, *change)

    def _read_late(self, *arguments):
        """Applies a record once the reads of an entry are answered again."""
        process, *record = arguments
        if not self._reads(process):
            self.at(
                STORE_RETRY_S,
                self.run_event,
                process,
                self._read_late,
                *arguments,
            )
            return
        process.late_reads -= 1
        self._apply(process, *record)

    def _apply(self, process, number, handler, *change):
        partition = process.board.kept.partitions.get(number)
        if partition is not None and partition.is_loaded:
            handler(process.board, number, partition.epoch, *change)

    def heartbeat(self, name):
        """Sends the periodic heartbeat of a backend server to its agent."""
        self._send_heartbeat(name)
        self.at(HEARTBEAT_INTERVAL_S, self.heartbeat, name)

    def _send_heartbeat(self, name):
        server = self.servers[name]
        if not server.down:
            record = server.heartbeat(self.now_s)
            agent = self.agents[name]
            clock_ms = server.clock_ms(self.now_s)
            self.run_event(
                agent,
                agentengine.on_heartbeat,
                agent.board,
                record,
                clock_ms,
            )

    def set_deadly(self, crash_after_s):
        """Makes some tasks crash the backend servers that start them.

        Args:
            crash_after_s: Returns how long after its start a task crashes its
                server; infinite for a sound task.
        """
        for name, server in self.servers.items():
            server.crash_after_s = crash_after_s
            self.at(TICK_S, self._crash_due, name)

    def _crash_due(self, name):
        """Crashes a server under a task whose time has come."""
        server = self.servers[name]
        for run in tuple(server.runs.values()):
            if run.crash_at_s <= self.now_s and not server.down:
                self.crashes.append((self.now_s, name, run.name))
                server.crash(self.now_s)
                self.at(SERVER_RESTART_S, self._restart_server, name)
        self.at(0.002, self._crash_due, name)

    def crash_server(self, name, back_s):
        """Crashes a server for a reason of its own; it is back in `back_s`."""
        server = self.servers[name]
        if not server.down:
            server.crash(self.now_s)
            self.at(back_s, self._restart_server, name)

    def _restart_server(self, name):
        self.servers[name].start_incarnation(self.now_s)
        self._send_heartbeat(name)

    def send_call(self, process, call):
        """Sends a start or stop call; its answer may be lost, or it is late."""
        server = self.servers[process.name]
        method = server.start if isinstance(call, StartCall) else server.stop
        if self.rng.random() < self.lost_share:
            if self.rng.random() < self.late_share:
                after_s = self.rng.uniform(2.0, 12.0)
                self.at(after_s, self._carry_out_late, method, call)
            else:
                self.at(0.001, self._carry_out_late, method, call)
            result = CallResult(Verdict.NO_ANSWER)
            wait_s = call.timeout_s
        else:
            result = None
            wait_s = 0.002
        self.at(wait_s, self._answer_call, process, call, method, result)

    def _carry_out_late(self, method, call):
        method(call, self.now_s)

    def _answer_call(self, process, call, method, result):
        if result is None:
            result = method(call, self.now_s)
        self.run_event(
            process,
            agentengine.on_call_result,
            process.board,
            call,
            result,
        )

    def poll(self, process):
        """Polls a backend server."""
        if not process.alive:
            return
        if self.now_s < process.frozen_until_s:
            self.at(
                process.frozen_until_s - self.now_s + 1e-6, self.poll, process
            )
            return
        board = process.board
        board.now_s = self.now_s
        if not agentengine.needs_poll(board):
            process.polling = False
            return
        call = serverpoll.next_poll(board)
        if self.rng.random() < self.lost_share:
            wait_s = 0.06 + call.wait_ms / 1000
            result = PollResult(Verdict.NO_ANSWER)
            self.at(wait_s, self._answer_poll, process, call, result)
            return
        # The lease is renewed when the call arrives; the runs are read later.
        first = self.servers[process.name].poll(call, self.now_s)
        if first.ended or first.verdict is not Verdict.OK:
            self.at(0.002, self._answer_poll, process, call, first)
        else:
            end_s = self.servers[process.name].next_end_s() - self.now_s
            wait_s = min(call.wait_ms / 1000, max(0.002, end_s))
            self.at(wait_s, self._poll_again, process, call)

    def _poll_again(self, process, call):
        result = self.servers[process.name].poll(call, self.now_s)
        self._answer_poll(process, call, result)

    def _answer_poll(self, process, call, result):
        self.run_event(
            process, agentengine.on_poll_result, process.board, call, result
        )
        wait_s = TICK_S if result.clock_ms == 0 else 0.0
        self.at(wait_s, self.poll, process)

    def submit(self, spec, entry=None, max_wait_s=3.0, route=ROUTE):
        """Submits a job to the given entry, or to a random one."""
        live = [e for e in self.entries.values() if e.alive]
        name = entry or (self.rng.choice(live).name if live else None)
        process = self.entries.get(name) if name else None
        caller = {
            "spec": spec,
            "entry": process,
            "max_wait_s": max_wait_s,
            "route": route,
            "until_s": self.now_s + max_wait_s,
        }
        self.callers[spec.job] = caller
        if process is None or not process.alive:
            self.drop_caller(caller)
            return
        self.at(max_wait_s, self._stop_waiting, caller)
        self.run_event(process, self._submit, process, caller)

    def _submit(self, process, caller):
        refusal = entryengine.submit(
            process.board,
            caller["spec"],
            caller["route"],
            caller["until_s"] - self.now_s,
        )
        if refusal:
            self.on_answer(process, refusal)

    def _stop_waiting(self, caller):
        if self.callers.get(caller["spec"].job) is caller:
            del self.callers[caller["spec"].job]
            self._cancel_at_entry(caller, "caller left")

    def _cancel_at_entry(self, caller, reason):
        entry = caller["entry"]
        if entry is not None:
            self.run_event(
                entry,
                entryengine.cancel,
                entry.board,
                caller["spec"].job,
                reason,
            )

    def drop_caller(self, caller, notify=False):
        """Breaks a caller's connection; the caller resubmits its job later."""
        job_id = caller["spec"].job
        if self.callers.get(job_id) is not caller:
            return
        del self.callers[job_id]
        # An attempt without an answer does not count as refused.
        self.answers.append((job_id, Outcome.CANCELLED, self.now_s))
        if notify:
            self._cancel_at_entry(caller, "connection reset")
        left_s = caller["until_s"] - self.now_s - RESUBMIT_S
        if left_s > 0:
            self.at(
                RESUBMIT_S,
                self.submit,
                caller["spec"],
                None,
                left_s,
                caller["route"],
            )

    def on_answer(self, process, answer):
        caller = self.callers.get(answer.job)
        if caller is None or caller["entry"] is not process:
            return
        if answer.outcome is Outcome.GIVEN_UP:
            self.answers.append((answer.job, answer.outcome, self.now_s))
            self.drop_caller(caller)
            return
        del self.callers[answer.job]
        self.answers.append((answer.job, answer.outcome, self.now_s))

    def finish(self, seconds=20.0):
        """Runs the simulation until all runs should have ended."""
        self.run(seconds)
        for server in self.servers.values():
            server.advance(self.now_s)

    def runs(self):
        """Returns every run by task: start, end and how it ended."""
        runs = collections.defaultdict(list)
        for server in self.servers.values():
            for name, _, start_s, end_s, outcome in server.history:
                runs[name].append((start_s, end_s, outcome))
            for run in server.runs.values():
                runs[run.name].append((run.started_s, self.now_s, "running"))
        return runs

    def violations(self):
        """Returns descriptions of all violated guarantees."""
        return guarantees.violations(self)
