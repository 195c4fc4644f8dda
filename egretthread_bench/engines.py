"""The real engines of entries and agents on the benchmark's event loop.

Jobs are submitted as already registered with the witnesses, so that the
benchmark measures only the dispatch.
"""

import collections

from egretthread import agent as agent_engine
from egretthread import config, ejection, lease, message, settings
from egretthread import entry as entry_engine
from egretthread.agentboard import StartCall
from egretthread.blackboard import AgentState
from egretthread.controllers import agent_leases, dispatch, pool, reports
from egretthread.jobstate import JobState, Phase
from egretthread.outcome import done, failed
from egretthread.submission import Submission, TaskSpec
from egretthread_bench.benchentry import AgentEstimate, OpenJob
from egretthread_bench.experiment import Experiment
from egretthread_bench.fakeagent import FAILING_RUN_S
from egretthread_bench.network import Network
from egretthread_bench.workload import Arrival

SERVICE = "bench"
REGION = "region"
# Deadline and lease that never expire, in seconds.
NEVER_S = 1e9
# Tick intervals of the server processes, in seconds.
ENTRY_TICK_S = 0.05
CREDIT_TICK_S = 0.02
# Longest time a task may run, in seconds.
MAX_TASK_S = 60.0


def configuration(experiment: Experiment) -> config.Configuration:
    """Returns a configuration of one service for all tenants."""
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
    """An agent's engine with a simulated backend server.

    Attributes:
        node: Node id.
        zone: Availability zone.
        slots: Number of slots.
        board: Blackboard of the engine.
        fails: Whether the backend server fails every task immediately.
        entries: The entries by node id.
    """

    def __init__(self, number: int, experiment: Experiment, network: Network):
        self.node = f"agent{number}#1"
        self.zone = f"zone{number % experiment.zones}"
        self.slots = experiment.slots
        self.network = network
        self.fails = False
        self.entries: dict[str, EngineEntry] = {}
        own_settings = settings.AgentSettings(
            f"agent{number}", REGION, self.zone, SERVICE, "", "", (), "", 1, 1
        )
        self.board = agent_engine.new_board(own_settings, 1)
        self.board.slots = self.slots
        self.board.lease = lease.AgentLease(1, NEVER_S)
        self.board.config_reply = message.HeartbeatReply(
            "", 0.0, 1, NEVER_S, False, False, self.slots, NEVER_S, 0.05
        )

    @property
    def lapsed_credits(self) -> int:
        """Number of slots granted as credits that lapsed unused."""
        return self.board.counters["credits_lapsed"]

    def begin(self, entries: list["EngineEntry"]) -> None:
        """Connects the agent to the entries and starts its timer."""
        self.entries = {entry.node: entry for entry in entries}
        for entry in entries:
            self.board.received_by_entry[entry.node] = 0
            entry.join(self)
        self.network.loop.after(CREDIT_TICK_S, self._tick)

    def receive(self, node: str, received: message.Message) -> None:
        """Passes a message to the engine."""
        self._set_time()
        agent_engine.on_message(self.board, node, received)
        self._process_output()

    def heartbeat(self, entries: list["EngineEntry"]) -> None:
        """Reports the free slots to all entries."""
        del entries
        self._set_time()
        agent_leases.send_heartbeats(self.board)
        self._process_output()

    def _set_time(self) -> None:
        now_s = self.network.loop.now_s
        agent_engine.set_time(self.board, now_s, now_s)

    def _tick(self) -> None:
        if self.board.slot_requests:
            self._set_time()
            agent_engine.agent_tasks.grant_credits(self.board)
            self._process_output()
        self.network.loop.after(CREDIT_TICK_S, self._tick)

    def _process_output(self) -> None:
        for call in self.board.to_start:
            run_s = FAILING_RUN_S if self.fails else float(call.payload)
            self.network.loop.after(run_s, self._finish, call)
        self.board.to_start.clear()
        for node, sent in self.board.outbox:
            entry = self.entries[node]
            kind = type(sent).__name__.lower()
            if is_refusal(sent):
                kind = "refusal"
            self.network.send(
                kind, self.node, node, entry.receive, self.node, sent
            )
        self.board.outbox.clear()

    def _finish(self, call: StartCall) -> None:
        self._set_time()
        result = (
            failed("the server fails all tasks") if self.fails else done("1")
        )
        agent_engine.on_finished(self.board, call, result)
        self._process_output()


def is_refusal(sent: message.Message) -> bool:
    """Whether a message is a report with refused tasks."""
    if not isinstance(sent, message.Report):
        return False
    refused = message.TaskState.REFUSED
    return any(task.state is refused for task in sent.tasks)


class EngineEntry:
    """An entry's engine that gets jobs which are already registered.

    Attributes:
        node: Node id.
        board: Blackboard of the engine.
        quotas: Quotas of the organisations.
        agents: The agents by node id.
        estimates: Counts the tasks sent to each agent, by node id.
        refused_tasks: Number of tasks that agents refused.
        open_jobs: Jobs that are not answered yet.
    """

    def __init__(self, number, experiment: Experiment, network, on_job_done):
        self.node = f"entry{number}#1"
        self.network = network
        self.on_job_done = on_job_done
        own_settings = settings.EntrySettings(
            f"entry{number}", REGION, "zone0", "", "", "", "", ""
        )
        self.board = entry_engine.new_board(own_settings, 1, 0.0, number)
        self.board.configuration = configuration(experiment)
        self.board.quotas.configure(self.board.configuration.organisations)
        self.board.lease_until_s = NEVER_S
        self.quotas = self.board.quotas
        self.agents: dict[str, EngineAgent] = {}
        self.estimates: dict[str, AgentEstimate] = {}
        self.refused_tasks = 0
        self.open_jobs: dict = {}
        network.loop.after(ENTRY_TICK_S, self._tick)

    def join(self, agent: EngineAgent) -> None:
        """Adds an agent to the pool as if its ramp-up were over."""
        heartbeat = message.Heartbeat(
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
        self.estimates[agent.node] = AgentEstimate(agent, agent.slots)
        self.board.agents[agent.node] = AgentState(
            agent.node, heartbeat, 0.0, -ejection.RAMP_S, agent.slots
        )

    def submit(self, arrival: Arrival) -> None:
        """Dispatches a job as one that is already registered."""
        self._set_time()
        ballot = message.Ballot(1, self.node)
        agents = tuple(self.agents)
        if len(agents) > pool.MAX_AGENTS:
            agents = tuple(self.board.rng.sample(agents, pool.MAX_AGENTS))
        tasks = tuple(TaskSpec(repr(run_s)) for run_s in arrival.run_s)
        state = JobState(
            Submission(arrival.job, SERVICE, "", tasks, NEVER_S),
            Phase.RUNNING,
            ballot,
            deadline_s=NEVER_S,
            created_s=self.board.now_s,
            agents=agents,
            registration=message.Registration("", ballot, agents, closed=True),
        )
        self.open_jobs[arrival.job] = OpenJob(arrival, len(tasks))
        self.board.jobs[arrival.job] = state
        dispatch.begin_running(self.board, state)
        self._process_output()

    def receive(self, node: str, received: message.Message) -> None:
        """Passes a message to the engine, or applies a heartbeat."""
        self._set_time()
        if isinstance(received, message.Heartbeat):
            agent = self.board.agents[node]
            agent.heartbeat = received
            agent.last_received_s = self.board.now_s
            reports.record_free_slots(agent, received.free, received.received)
            dispatch.dispatch_to_agent(self.board, agent)
        else:
            if is_refusal(received):
                self.refused_tasks += len(received.tasks)
            entry_engine.on_message(self.board, node, received)
        self._process_output()

    def update_health(self) -> None:
        """Ejects the backend servers that fail."""
        self._set_time()
        pool.update_probations(self.board)

    def _set_time(self) -> None:
        now_s = self.network.loop.now_s
        entry_engine.set_time(self.board, now_s, now_s)

    def _tick(self) -> None:
        self._set_time()
        dispatch.dispatch_service(self.board, SERVICE)
        self._process_output()
        self.network.loop.after(ENTRY_TICK_S, self._tick)

    def _process_output(self) -> None:
        for node, sent in self.board.outbox:
            agent = self.agents[node]
            kind = type(sent).__name__.lower()
            if isinstance(sent, message.Assign):
                self.estimates[node].sent += len(sent.tasks)
            if isinstance(sent, message.Want) and not sent.count:
                kind = "unwant"
            self.network.send(
                kind, self.node, node, agent.receive, self.node, sent
            )
        self.board.outbox.clear()
        finished, self.board.job_results = self.board.job_results, []
        self.board.samples.clear()
        for job, answer in finished:
            state = self.open_jobs.pop(job)
            del self.board.jobs[job]
            kinds = collections.Counter(o.kind for o in answer.outcomes)
            state.failed = len(answer.outcomes) - kinds["done"]
            self.on_job_done(state)
