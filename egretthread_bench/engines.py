"""The real engines of entries and agents on the bench's event loop.

Jobs begin where their registration with the witnesses ends, so that the
bench measures the dispatch and nothing else.
"""

import collections

from egretthread import agent as agent_engine
from egretthread import config, ejection, lease, message, settings
from egretthread import entry as entry_engine
from egretthread.agentboard import StartOrder
from egretthread.blackboard import AgentState
from egretthread.controllers import agent_leases, dispatch, pool, reports
from egretthread.jobstate import JobState, Phase
from egretthread.outcome import done, failed
from egretthread.submission import Submission, TaskSpec
from egretthread_bench.benchentry import Belief, OpenJob
from egretthread_bench.experiment import Experiment
from egretthread_bench.fakeagent import FAILING_RUN_S
from egretthread_bench.postbox import Postbox
from egretthread_bench.workload import Arrival

SERVICE = "bench"
REGION = "region"
# Deadlines and leases that never end, in seconds.
NEVER_S = 1e9
# Waking intervals of the programs' shells, in seconds.
ENTRY_TICK_S = 0.05
CREDIT_TICK_S = 0.02
# Longest time a task may run, in seconds.
MAX_TASK_S = 60.0


def configuration(experiment: Experiment) -> config.Configuration:
    """Returns a configuration of one service open to every tenant."""
    names = tuple(tenant.name for tenant in experiment.tenants)
    organisations = tuple(
        config.Organisation(tenant.name, weight=tenant.weight)
        for tenant in experiment.tenants
    )
    zones = tuple(
        config.AvailabilityZone(f"zone{number}", REGION)
        for number in range(experiment.zones)
    )
    service = config.Service(
        SERVICE,
        names,
        REGION,
        slots=experiment.slots,
        eject_share=0.3 if experiment.eject else 0.0,
    )
    return config.Configuration(
        organisations, (service,), zones, retention_s=NEVER_S
    )


class EngineAgent:
    """An agent's engine with a fake backend server.

    Attributes:
        node: Its node id.
        zone: Its availability zone.
        slots: Its slots.
        board: The engine's blackboard.
        fails: Whether its backend server fails everything at once.
        entries: The entries, by node id.
    """

    def __init__(self, number: int, experiment: Experiment, postbox: Postbox):
        self.node = f"agent{number}#1"
        self.zone = f"zone{number % experiment.zones}"
        self.slots = experiment.slots
        self.postbox = postbox
        self.fails = False
        self.entries: dict[str, EngineEntry] = {}
        chosen = settings.AgentSettings(
            f"agent{number}", REGION, self.zone, SERVICE, "", "", (), "", 1, 1
        )
        self.board = agent_engine.new_board(chosen, 1)
        self.board.slots = self.slots
        self.board.lease = lease.AgentLease(1, NEVER_S)
        self.board.config_reply = message.HeartbeatReply(
            "", 0.0, 1, NEVER_S, False, False, self.slots, NEVER_S, 0.05
        )

    @property
    def lapsed(self) -> int:
        """Slots given as credits that lapsed unused."""
        return self.board.counters["credits_lapsed"]

    def begin(self, entries: list["EngineEntry"]) -> None:
        """Links the agent to the entries and starts its clock."""
        self.entries = {entry.node: entry for entry in entries}
        for entry in entries:
            self.board.received_by_entry[entry.node] = 0
            entry.join(self)
        self.postbox.loop.after(CREDIT_TICK_S, self._tick)

    def receive(self, node: str, item: message.Message) -> None:
        """Hands a message to the engine."""
        self._set_time()
        agent_engine.on_message(self.board, node, item)
        self._flush()

    def heartbeat(self, entries: list["EngineEntry"]) -> None:
        """Tells every entry of the free slots."""
        del entries
        self._set_time()
        agent_leases.send_heartbeats(self.board)
        self._flush()

    def _set_time(self) -> None:
        now_s = self.postbox.loop.now_s
        agent_engine.set_time(self.board, now_s, now_s)

    def _tick(self) -> None:
        if self.board.slot_requests:
            self._set_time()
            agent_engine.agent_tasks.give_credits(self.board)
            self._flush()
        self.postbox.loop.after(CREDIT_TICK_S, self._tick)

    def _flush(self) -> None:
        for order in self.board.to_start:
            run_s = FAILING_RUN_S if self.fails else float(order.payload)
            self.postbox.loop.after(run_s, self._finish, order)
        self.board.to_start.clear()
        for node, item in self.board.outbox:
            entry = self.entries[node]
            kind = type(item).__name__.lower()
            if is_refusal(item):
                kind = "refusal"
            self.postbox.send(
                kind, self.node, node, entry.receive, self.node, item
            )
        self.board.outbox.clear()

    def _finish(self, order: StartOrder) -> None:
        self._set_time()
        result = failed("it fails everything") if self.fails else done("1")
        agent_engine.on_finished(self.board, order, result)
        self._flush()


def is_refusal(item: message.Message) -> bool:
    """Whether a message hands tasks back."""
    if not isinstance(item, message.Report):
        return False
    refused = message.TaskState.REFUSED
    return any(task.state is refused for task in item.tasks)


class EngineEntry:
    """An entry's engine, fed with jobs that are registered already.

    Attributes:
        node: Its node id.
        board: The engine's blackboard.
        quotas: The organisations' quotas.
        beliefs: Tasks sent to each agent, by node id.
        handed_back: Tasks that agents refused.
    """

    def __init__(self, number, experiment: Experiment, postbox, on_over):
        self.node = f"entry{number}#1"
        self.postbox = postbox
        self.on_over = on_over
        chosen = settings.EntrySettings(
            f"entry{number}", REGION, "zone0", "", "", "", "", ""
        )
        self.board = entry_engine.new_board(chosen, 1, 0.0, number)
        self.board.configuration = configuration(experiment)
        self.board.quotas.configure(self.board.configuration.organisations)
        self.board.lease_until_s = NEVER_S
        self.quotas = self.board.quotas
        self.agents: dict[str, EngineAgent] = {}
        self.beliefs: dict[str, Belief] = {}
        self.handed_back = 0
        self.open: dict = {}
        postbox.loop.after(ENTRY_TICK_S, self._tick)

    def join(self, agent: EngineAgent) -> None:
        """Takes an agent into the pool, past its ramp."""
        beat = message.Heartbeat(
            agent.node,
            agent.zone,
            SERVICE,
            1,
            1,
            agent.slots,
            agent.slots,
            True,
            False,
            0.0,
            0.0,
            0,
        )
        self.agents[agent.node] = agent
        self.beliefs[agent.node] = Belief(agent, agent.slots)
        self.board.agents[agent.node] = AgentState(
            agent.node, beat, 0.0, -ejection.RAMP_S, agent.slots
        )

    def submit(self, arrival: Arrival) -> None:
        """Hands a job to the dispatch as one that is registered."""
        self._set_time()
        ballot = message.Ballot(1, self.node)
        chosen = tuple(self.agents)
        if len(chosen) > pool.MAX_AGENTS:
            chosen = tuple(self.board.rng.sample(chosen, pool.MAX_AGENTS))
        tasks = tuple(TaskSpec(repr(run_s)) for run_s in arrival.run_s)
        state = JobState(
            Submission(arrival.job, SERVICE, "", tasks, NEVER_S),
            Phase.RUNNING,
            ballot,
            deadline_s=NEVER_S,
            created_s=self.board.now_s,
            agents=chosen,
            registration=message.Registration("", ballot, chosen, closed=True),
        )
        self.open[arrival.job] = OpenJob(arrival, len(tasks))
        self.board.jobs[arrival.job] = state
        dispatch.begin_running(self.board, state)
        self._flush()

    def receive(self, node: str, item: message.Message) -> None:
        """Hands a message to the engine."""
        self._set_time()
        if isinstance(item, message.Heartbeat):
            agent = self.board.agents[node]
            agent.heartbeat = item
            agent.heard_s = self.board.now_s
            reports.note_free(agent, item.free, item.received)
            dispatch.dispatch_to_agent(self.board, agent)
        else:
            if is_refusal(item):
                self.handed_back += len(item.tasks)
            entry_engine.on_message(self.board, node, item)
        self._flush()

    def update_health(self) -> None:
        """Ejects the backend servers that fail."""
        self._set_time()
        pool.update_probations(self.board)

    def _set_time(self) -> None:
        now_s = self.postbox.loop.now_s
        entry_engine.set_time(self.board, now_s, now_s)

    def _tick(self) -> None:
        self._set_time()
        dispatch.dispatch_service(self.board, SERVICE)
        self._flush()
        self.postbox.loop.after(ENTRY_TICK_S, self._tick)

    def _flush(self) -> None:
        for node, item in self.board.outbox:
            agent = self.agents[node]
            kind = type(item).__name__.lower()
            if isinstance(item, message.Assign):
                self.beliefs[node].sent += len(item.tasks)
            if isinstance(item, message.Want) and not item.count:
                kind = "unwant"
            self.postbox.send(
                kind, self.node, node, agent.receive, self.node, item
            )
        self.board.outbox.clear()
        finished, self.board.job_results = self.board.job_results, []
        self.board.samples.clear()
        for job, answer in finished:
            state = self.open.pop(job)
            del self.board.jobs[job]
            kinds = collections.Counter(o.kind for o in answer.outcomes)
            state.failed = len(answer.outcomes) - kinds["done"]
            self.on_over(state)
