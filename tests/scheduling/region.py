"""Entries and agents over fake links, with fake backend servers and callers.

Nothing here waits: events stand in a heap by their time. What the real
shells do around the engines (ticks, looks, links that open and close) is done
here in the same order.
"""

import collections
import heapq
import itertools
import random

from egretthread.scheduling import (
    agentengine,
    entryengine,
    jobrecord,
    keptjobs,
    runlooks,
)
from egretthread.scheduling.agentboard import StartCall
from egretthread.scheduling.entryboard import Outcome
from egretthread.scheduling.jobspec import (
    JobSpec,
    OperatorState,
    Route,
    StepSpec,
)
from egretthread.scheduling.room import Room
from egretthread.scheduling.servercall import CallResult, PollResult, Verdict
from tests.scheduling.fakelog import TTL_S, FakeLog
from tests.scheduling.fakeserver import FakeServer

TICK_S = 0.02
DELAY_S = 0.001
RECONNECT_S = 0.05
LIVENESS_S = 2.5
RESUBMIT_S = 1.3
HEARTBEAT_S = 1.5
UNIX_START_S = 1.7e9
JOIN_S = 0.5
STORE_S = 0.004

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
        thaws_s: Until when it stands still.
    """

    def __init__(self, name, kind, board):
        self.name = name
        self.kind = kind
        self.board = board
        self.alive = True
        self.thaws_s = 0.0
        self.looking = False
        self.generation = 0
        self.writing = set()


class Link:
    """A link between an entry and an agent, with messages on their way."""

    def __init__(self, entry, agent):
        self.entry = entry
        self.agent = agent
        self.entry_open = False
        self.agent_open = False
        self.dead = False
        self.heard_s = {"entry": 0.0, "agent": 0.0}


class Region:
    """Entries, agents, backend servers and callers.

    Attributes:
        now_s: The time.
        rng: Source of all choices.
        servers: Backend servers by agent.
        entries: Entries by name.
        agents: Agents by name.
        links: Open links by entry and agent.
        cuts: Until when nothing passes between an entry and an agent.
        answers: Every answer that a caller got: job, outcome and time.
        lost_share: Share of calls to backend servers without an answer.
        log: The log of kept jobs.
    """

    def __init__(self, entries=2, agents=4, cpu=8000, seed=1, work_s=None):
        self.now_s = 100.0
        self.rng = random.Random(seed)
        self.heap = []
        self.numbers = itertools.count()
        self.incarnations = itertools.count(1)
        self.lost_share = 0.0
        self.late_share = 0.0
        self.cuts = {}
        self.links = {}
        self.work_s = work_s or (lambda name: 0.1)
        self.operators = OperatorState(
            offset=1, version=1, routes=(ROUTE, LONG_ROUTE)
        )
        self.log = FakeLog(3, random.Random(seed + 1))
        self.entries = {}
        self.agents = {}
        self.servers = {}
        self.answers = []
        self.callers = {}
        for number in range(agents):
            name = f"a{number}"
            zone = "xyz"[number % 3]
            drift = 0.02 if number % 2 else 0.0
            self.servers[name] = FakeServer(
                name, zone, cpu, self.now_s, self.work_s, drift
            )
        for number in range(entries):
            self.start_entry(f"e{number}", "xyz"[number % 3])
        for name in self.servers:
            self.start_agent(name)
            self.at(0.01, self.heartbeat, name)

    # Time.

    def at(self, after_s, function, *args):
        """Plans a call."""
        item = (self.now_s + after_s, next(self.numbers), function, args)
        heapq.heappush(self.heap, item)

    def run(self, seconds):
        """Plays a span of time."""
        end_s = self.now_s + seconds
        while self.heap and self.heap[0][0] <= end_s:
            self.now_s, _, function, args = heapq.heappop(self.heap)
            function(*args)
        self.now_s = end_s

    # Processes.

    def start_entry(self, name, zone):
        """Starts an entry's process."""
        node = f"{name}#{next(self.incarnations)}"
        board = entryengine.new_board(node, zone, self.now_s)
        process = self.entries[name] = Process(name, "entry", board)
        board.kept.partition_count = self.log.count
        entryengine.on_operators(board, self.operators)
        self.at(TICK_S, self.tick, process)
        self.at(TICK_S, self.join, process)
        for agent in self.agents.values():
            self.at(0.005, self.connect, process, agent)
        return process

    def start_agent(self, name):
        """Starts an agent's process."""
        number = next(self.incarnations)
        board = agentengine.new_board(f"{name}#{number}", number, self.now_s)
        process = self.agents[name] = Process(name, "agent", board)
        self.at(TICK_S, self.tick, process)
        for entry in self.entries.values():
            self.at(0.005, self.connect, entry, process)
        return process

    def kill(self, process, back_s):
        """Kills a process; another takes its place later."""
        process.alive = False
        for link in tuple(self.links.values()):
            if process in (link.entry, link.agent):
                self.reset(link)
        if process.kind == "entry":
            zone = process.board.zone
            self.at(back_s, self.start_entry, process.name, zone)
            for waiting in tuple(self.callers.values()):
                if waiting["entry"] is process:
                    self.break_off(waiting)
        else:
            self.at(back_s, self.start_agent, process.name)

    def freeze(self, process, seconds):
        """Lets a process stand still."""
        process.thaws_s = max(process.thaws_s, self.now_s + seconds)

    def enter(self, process, function, *args):
        """Runs an event of a process, once it does not stand still."""
        if not process.alive:
            return
        if self.now_s < process.thaws_s:
            wait_s = process.thaws_s - self.now_s + 1e-6
            self.at(wait_s, self.enter, process, function, *args)
            return
        if process.kind == "entry":
            entryengine.set_time(
                process.board, self.now_s, self.now_s + UNIX_START_S
            )
        else:
            process.board.now_s = self.now_s
        function(*args)
        self.pump(process)

    def tick(self, process):
        """One turn of a process's timer."""
        if not process.alive:
            return
        if self.now_s < process.thaws_s:
            self.at(process.thaws_s - self.now_s + 2e-6, self.tick, process)
            return
        engine = entryengine if process.kind == "entry" else agentengine
        self.enter(process, engine.on_tick, process.board)
        if process.kind == "agent":
            for node in agentengine.silent_entries(process.board):
                name = node.partition("#")[0]
                self.reset_pair(name, process.name)
        self._check_liveness(process)
        self.at(TICK_S, self.tick, process)

    def _check_liveness(self, process):
        for link in tuple(self.links.values()):
            if process in (link.entry, link.agent) and not link.dead:
                silent_s = self.now_s - link.heard_s[process.kind]
                if silent_s > LIVENESS_S:
                    self.reset(link)

    # Links.

    def connect(self, entry, agent):
        """Opens a link, if both ends are there; tries again otherwise."""
        if self.entries.get(entry.name) is not entry or not entry.alive:
            return
        if self.agents.get(agent.name) is not agent or not agent.alive:
            return
        frozen = self.now_s < max(entry.thaws_s, agent.thaws_s)
        if frozen or self.is_cut(entry.name, agent.name):
            self.at(0.2, self.connect, entry, agent)
            return
        link = Link(entry, agent)
        link.heard_s = {"entry": self.now_s, "agent": self.now_s}
        self.links[entry.name, agent.name] = link
        # The accepting end opens first, as in the real handshake.
        link.entry_open = True
        self.enter(entry, entryengine.on_link, entry.board, agent.board.node)
        self.at(DELAY_S, self._open_agent, link)

    def _open_agent(self, link):
        if link.dead:
            return
        link.agent_open = True
        self.enter(
            link.agent,
            agentengine.on_link,
            link.agent.board,
            link.entry.board.node,
        )

    def reset_pair(self, entry, agent):
        """Resets the link between two processes."""
        link = self.links.get((entry, agent))
        if link:
            self.reset(link)

    def reset(self, link):
        """Closes a link; what is on its way is lost."""
        if link.dead:
            return
        link.dead = True
        self.links.pop((link.entry.name, link.agent.name), None)
        self.enter(
            link.entry,
            entryengine.on_link_closed,
            link.entry.board,
            link.agent.board.node,
        )
        self.enter(
            link.agent,
            agentengine.on_link_closed,
            link.agent.board,
            link.entry.board.node,
        )
        self.at(RECONNECT_S, self.connect, link.entry, link.agent)

    def cut(self, entry, agent, seconds):
        """Lets nothing pass between an entry and an agent."""
        self.cuts[entry, agent] = self.now_s + seconds

    def is_cut(self, entry, agent):
        return self.now_s < self.cuts.get((entry, agent), 0.0)

    def send(self, process, node, item):
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
        if self.is_cut(*pair):
            # Comes late if the link lives until the cut is over.
            wait_s = self.cuts[pair] - self.now_s + DELAY_S
        else:
            wait_s = DELAY_S * self.rng.uniform(0.5, 1.5)
        at_s = max(self.now_s + wait_s, getattr(link, "last", 0.0))
        link.last = at_s
        self.at(at_s - self.now_s, self.deliver, link, process, item)

    def deliver(self, link, sender, item):
        """Hands a message to its receiver."""
        to_entry = sender.kind == "agent"
        receiver = link.entry if to_entry else link.agent
        if link.dead:
            return
        if not to_entry and not link.agent_open:
            self.at(DELAY_S, self.deliver, link, sender, item)
            return
        if self.now_s < receiver.thaws_s:
            wait_s = receiver.thaws_s - self.now_s + 1e-6
            self.at(wait_s, self.deliver, link, sender, item)
            return
        link.heard_s[receiver.kind] = self.now_s
        engine = entryengine if to_entry else agentengine
        self.enter(
            receiver,
            engine.on_message,
            receiver.board,
            sender.board.node,
            item,
        )
        if not to_entry:
            self.enter(receiver, agentengine.after_event, receiver.board)

    def pump(self, process):
        """Carries out what an engine wants done."""
        board = process.board
        outbox, board.outbox = board.outbox, []
        for node, item in outbox:
            self.send(process, node, item)
        if process.kind == "entry":
            answers, board.answers = board.answers, []
            for answer in answers:
                self.on_answer(process, answer)
            for part in tuple(board.kept.partitions):
                self.write(process, part)
            return
        calls, board.calls = board.calls, []
        for call in calls:
            self.order(process, call)
        if not process.looking and agentengine.needs_look(board):
            process.looking = True
            self.at(0.0, self.poll, process)

    # The job log.

    def join(self, process):
        """One call by which an entry stays in the group."""
        if not process.alive:
            return
        self.at(JOIN_S, self.join, process)
        reached = self.log.reaches(process.name, self.now_s)
        if not reached or self.now_s < process.thaws_s:
            return
        generation, parts = self.log.join(
            process.name, process.generation, self.now_s
        )
        if self.log.loses_answer():
            return
        until_s = self.now_s + TTL_S - 0.1
        self.at(
            STORE_S,
            self.enter,
            process,
            self._on_joined,
            process,
            generation,
            parts,
            until_s,
        )

    def _on_joined(self, process, generation, parts, until_s):
        board = process.board
        process.generation = generation
        keptjobs.on_assigned(board, generation, parts, until_s)
        for part in board.kept.partitions.values():
            if not part.is_loaded:
                self.at(STORE_S, self.load, process, part)

    def load(self, process, part):
        """Reads a partition for its new coordinator."""
        log = self.log
        reached = log.reaches(process.name, self.now_s)
        if not reached or part.generation < log.epochs[part.number]:
            return
        log.epochs[part.number] = part.generation
        submissions, progress, cancelled = log.read(part.number)
        self.enter(
            process,
            self._on_loaded,
            process,
            part,
            submissions,
            progress,
            cancelled,
        )

    def _on_loaded(self, process, part, submissions, progress, cancelled):
        board, key = process.board, (part.number, part.generation)
        if part.is_loaded or board.kept.partitions.get(part.number) is not part:
            return
        keptjobs.on_loaded(board, *key, submissions, progress)
        for job_id in cancelled:
            keptjobs.on_cancelled(board, *key, job_id)
        # What was written between the read and now is read next.
        for submission in self.log.read(part.number)[0]:
            keptjobs.on_submitted(board, *key, submission)

    def write(self, process, part):
        """Writes the progress of a partition, one batch at a time."""
        if part in process.writing:
            return
        batch = keptjobs.take_batch(process.board, part)
        if batch is not None:
            process.writing.add(part)
            self.at(STORE_S, self._write, process, batch)

    def _write(self, process, batch):
        reached = self.log.reaches(process.name, self.now_s)
        if not reached or self.log.loses_answer():
            if reached:
                self.log.write(batch)
            self.at(0.1, self._write, process, batch)
            return
        is_written = self.log.write(batch)
        self.enter(process, self._on_write, process, batch, is_written)

    def _on_write(self, process, batch, is_written):
        process.writing.discard(batch.partition)
        if is_written:
            keptjobs.on_written(process.board, batch)
        else:
            keptjobs.release(process.board, batch.partition, "fenced")

    def submit_kept(self, spec, route=ROUTE):
        """Submits a kept job; it may be submitted again."""
        submission = jobrecord.Submission(spec, route, self.now_s)
        value = jobrecord.encode_submission(submission)
        self.log.submissions.setdefault(spec.job, value)
        self._publish(spec.job, keptjobs.on_submitted, submission)

    def cancel_kept(self, job_id):
        """Cancels a kept job."""
        self.log.cancelled.add(job_id)
        self._publish(job_id, keptjobs.on_cancelled, job_id)

    def _publish(self, job_id, handler, item):
        number = self.log.part(job_id)
        for process in self.entries.values():
            self.at(
                STORE_S,
                self.enter,
                process,
                self._read,
                process,
                number,
                handler,
                item,
            )

    def _read(self, process, number, handler, item):
        part = process.board.kept.partitions.get(number)
        if part is not None and part.is_loaded:
            handler(process.board, number, part.generation, item)

    # Backend servers.

    def heartbeat(self, name):
        """One heartbeat of a backend server."""
        server = self.servers[name]
        if not server.down:
            record = server.heartbeat(self.now_s)
            agent = self.agents[name]
            clock_ms = server.clock_ms(self.now_s)
            self.enter(
                agent,
                agentengine.on_heartbeat,
                agent.board,
                record,
                clock_ms,
            )
        self.at(HEARTBEAT_S, self.heartbeat, name)

    def order(self, process, call):
        """Sends an order; it or its answer may be lost or late."""
        server = self.servers[process.name]
        carry = server.start if isinstance(call, StartCall) else server.stop
        if self.rng.random() < self.lost_share:
            if self.rng.random() < self.late_share:
                after_s = self.rng.uniform(2.0, 12.0)
                self.at(after_s, self._carry_late, carry, call)
            else:
                self.at(0.001, self._carry_late, carry, call)
            result = CallResult(Verdict.NO_ANSWER)
            wait_s = call.timeout_s
        else:
            result = None
            wait_s = 0.002
        self.at(wait_s, self._answer_order, process, call, carry, result)

    def _carry_late(self, carry, call):
        carry(call, self.now_s)

    def _answer_order(self, process, call, carry, result):
        if result is None:
            result = carry(call, self.now_s)
        self.enter(
            process,
            agentengine.on_call_result,
            process.board,
            call,
            result,
        )

    def poll(self, process):
        """One look at a backend server."""
        if not process.alive:
            return
        if self.now_s < process.thaws_s:
            self.at(process.thaws_s - self.now_s + 1e-6, self.poll, process)
            return
        board = process.board
        board.now_s = self.now_s
        if not agentengine.needs_look(board):
            process.looking = False
            return
        call = runlooks.next_look(board)
        if self.rng.random() < self.lost_share:
            wait_s = 0.06 + call.wait_ms / 1000
            look = PollResult(Verdict.NO_ANSWER)
            self.at(wait_s, self._answer_look, process, call, look)
            return
        # The lease is renewed when the call arrives, the rows are read later.
        first = self.servers[process.name].poll(call, self.now_s)
        if first.ended or first.verdict is not Verdict.OK:
            self.at(0.002, self._answer_look, process, call, first)
        else:
            end_s = self.servers[process.name].next_end_s() - self.now_s
            wait_s = min(call.wait_ms / 1000, max(0.002, end_s))
            self.at(wait_s, self._look_again, process, call)

    def _look_again(self, process, call):
        look = self.servers[process.name].poll(call, self.now_s)
        self._answer_look(process, call, look)

    def _answer_look(self, process, call, look):
        self.enter(process, agentengine.on_look, process.board, call, look)
        wait_s = TICK_S if look.clock_ms == 0 else 0.0
        self.at(wait_s, self.poll, process)

    # Callers.

    def submit(self, spec, entry=None, patience_s=3.0, route=ROUTE):
        """Submits a job to an entry, a random one when none is named."""
        live = [e for e in self.entries.values() if e.alive]
        name = entry or (self.rng.choice(live).name if live else None)
        process = self.entries.get(name) if name else None
        waiting = {
            "spec": spec,
            "entry": process,
            "patience_s": patience_s,
            "route": route,
            "until_s": self.now_s + patience_s,
        }
        self.callers[spec.job] = waiting
        if process is None or not process.alive:
            self.break_off(waiting)
            return
        self.at(patience_s, self._lose_patience, waiting)
        self.enter(process, self._submit, process, waiting)

    def _submit(self, process, waiting):
        refusal = entryengine.submit(
            process.board,
            waiting["spec"],
            waiting["route"],
            waiting["until_s"] - self.now_s,
        )
        if refusal:
            self.on_answer(process, refusal)

    def _lose_patience(self, waiting):
        if self.callers.get(waiting["spec"].job) is waiting:
            del self.callers[waiting["spec"].job]
            self._close_at_entry(waiting, "caller left")

    def _close_at_entry(self, waiting, why):
        entry = waiting["entry"]
        if entry is not None:
            self.enter(
                entry,
                entryengine.cancel,
                entry.board,
                waiting["spec"].job,
                why,
            )

    def break_off(self, waiting, notify=False):
        """Breaks a caller's connection; it submits the job again later."""
        job_id = waiting["spec"].job
        if self.callers.get(job_id) is not waiting:
            return
        del self.callers[job_id]
        # An attempt without an answer is no refusal.
        self.answers.append((job_id, Outcome.CANCELLED, self.now_s))
        if notify:
            self._close_at_entry(waiting, "connection reset")
        left_s = waiting["until_s"] - self.now_s - RESUBMIT_S
        if left_s > 0:
            self.at(
                RESUBMIT_S,
                self.submit,
                waiting["spec"],
                None,
                left_s,
                waiting["route"],
            )

    def on_answer(self, process, answer):
        waiting = self.callers.get(answer.job)
        if waiting is None or waiting["entry"] is not process:
            return
        if answer.outcome is Outcome.GIVEN_UP:
            self.answers.append((answer.job, answer.outcome, self.now_s))
            self.break_off(waiting)
            return
        del self.callers[answer.job]
        self.answers.append((answer.job, answer.outcome, self.now_s))

    # Verdicts.

    def finish(self, seconds=20.0):
        """Lets everything end."""
        self.run(seconds)
        for server in self.servers.values():
            server.advance(self.now_s)

    def runs(self):
        """Returns every run by task: start, end and how it ended."""
        runs = collections.defaultdict(list)
        for server in self.servers.values():
            for name, _, start_s, end_s, how in server.history:
                runs[name].append((start_s, end_s, how))
            for run in server.runs.values():
                runs[run.name].append((run.started_s, self.now_s, "running"))
        return runs

    def violations(self):
        """Returns what was done wrong, as texts."""
        found = []
        runs = self.runs()
        for name, rows in runs.items():
            rows.sort()
            for one, other in itertools.pairwise(rows):
                if other[0] < one[1] - 1e-6:
                    found.append(f"two runs at once: {name} {one} {other}")
        found += self._kept_faults(runs)
        started = {name.job for name in runs}
        outcomes = collections.defaultdict(list)
        for job_id, outcome, _ in self.answers:
            outcomes[job_id].append(outcome)
        for job_id, seen in outcomes.items():
            refused = all(one is Outcome.REFUSED for one in seen)
            if refused and job_id in started and job_id not in self.callers:
                found.append(f"refused though it has run: {job_id}")
            if seen[-1] is Outcome.COMPLETED:
                for name in runs:
                    if name.job != job_id:
                        continue
                    if not any(row[2] == "done" for row in runs[name]):
                        found.append(f"completed without {name}")
        return found

    def _kept_faults(self, runs):
        """Returns what was done wrong with kept jobs."""
        found = []
        for server in self.servers.values():
            for name, end_s, how in server.noted:
                if name.job not in self.log.submissions or how != "done":
                    continue
                for run in runs[name]:
                    if run[0] > end_s:
                        found.append(f"start after its end: {name} {run}")
        for job_id, state in self.log.states().items():
            if state == "open":
                found.append(f"kept job not ended: {job_id}")
            if state == "completed":
                done = {
                    name
                    for name, rows in runs.items()
                    if name.job == job_id
                    and any(row[2] == "done" for row in rows)
                }
                spec = jobrecord.decode_submission(
                    self.log.submissions[job_id]
                ).spec
                if len(done) != sum(step.count for step in spec.steps):
                    found.append(f"completed without its tasks: {job_id}")
        return found
