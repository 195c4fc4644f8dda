"""Measures how memory, traffic and processor time grow with sizes.

Each figure is measured at three or more sizes on one machine. Its slope is
that of a least-squares linear regression; capacity estimates are based on it.
"""

import asyncio
import dataclasses
import gc
import pathlib
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Sequence

from egretthread import (
    accesskey,
    agent,
    config,
    configtext,
    entry,
    jobform,
    ledger,
    members,
    message,
    outcome,
    settings,
    wire,
    witness,
)
from egretthread.blackboard import EntryBoard
from egretthread.controllers import answers, dispatch, slot_requests
from egretthread.jobkey import JobRef, make_key
from egretthread.jobstate import Assignment, JobState, Phase
from egretthread.message import Ballot, Registration
from egretthread_bench.deployment import Deployment, Site, read_usage

REGION = "eire-east"
SERVICE = "ledger-match"
ZONES = ("eire-east-a", "eire-east-b", "eire-east-c")
ISSUED_S = 1_750_000_000.0
JOB_SIZES = (10, 50, 190)
JOB_COUNTS = (200, 400, 800)
RECORD_COUNTS = (1000, 2000, 4000)
AGENT_COUNTS = (11, 100, 400)
FLEETS = (500, 1000, 2000, 4000)
SHARD_COUNTS = (64, 256, 1024)
ORGANISATION_COUNTS = (2, 20, 82)
MAX_REGISTERED = 64
IDLE_MEASURE_S = 10.0
AGENTS_PER_SINK = 50
RESULT_BYTES = 100
TASK_RUN_S = 0.4


@dataclasses.dataclass(frozen=True)
class Slope:
    """One figure at several sizes.

    Attributes:
        name: Name of the figure.
        size: Name of what the sizes count.
        unit: Unit of the values.
        sizes: The sizes.
        values: The value at each size.
    """

    name: str
    size: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    @property
    def slope(self) -> float:
        """Growth of the value per unit of size."""
        return statistics.linear_regression(self.sizes, self.values).slope

    @property
    def intercept(self) -> float:
        """Value at size 0."""
        return statistics.linear_regression(self.sizes, self.values).intercept


def allocated_bytes(make: Callable[[], object]) -> int:
    """Returns the memory of the object that a function returns."""
    gc.collect()
    tracemalloc.start()
    result = make()
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return used_bytes


def min_cpu_s(function: Callable[[], object], repeat: int = 3) -> float:
    """Returns the minimum processor time of several calls of a function."""
    times_s = []
    for _ in range(repeat):
        begun_s = time.process_time()
        function()
        times_s.append(time.process_time() - begun_s)
    return min(times_s)


def entry_settings() -> settings.EntrySettings:
    """Returns settings of an entry that is not started."""
    return settings.EntrySettings(
        name="entry-1",
        region=REGION,
        zone=ZONES[0],
        http_address="127.0.0.1:0",
        admin_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        log_url="http://127.0.0.1:1",
        shared_key="0123456789abcdef",
    )


def agent_settings(number: int) -> settings.AgentSettings:
    """Returns settings of an agent that is not started."""
    return settings.AgentSettings(
        name=f"agent-{number:05d}",
        region=REGION,
        zone=ZONES[number % len(ZONES)],
        service=SERVICE,
        admin_address="127.0.0.1:0",
        backend_url="http://127.0.0.1:1",
        entries=("127.0.0.1:1",),
        shared_key="0123456789abcdef",
        processors=32,
        memory_bytes=128 * 2**30,
    )


def make_configuration(organisations: int) -> config.Configuration:
    """Returns a configuration with a number of organisations."""
    names = tuple(f"organisation-{n:03d}" for n in range(organisations))
    return config.Configuration(
        organisations=tuple(
            config.Organisation(
                name,
                (config.AccessKey("key-1", "00" * 16, "00" * 32),),
                starts_per_s=1e6,
                max_running=1_000_000,
            )
            for name in names
        ),
        services=tuple(
            config.Service(f"{SERVICE}-{n:03d}", (name,), REGION)
            for n, name in enumerate(names)
        )
        + (config.Service(SERVICE, names, REGION),),
        zones=tuple(config.AvailabilityZone(z, REGION) for z in ZONES),
    )


def make_heartbeat(number: int, epochs: int = 0) -> message.Heartbeat:
    """Returns an agent's heartbeat with the epochs of some shards."""
    board = agent.new_board(agent_settings(number), 1_750_000_000_000)
    for shard in range(epochs):
        board.witness.shards[shard] = witness.ShardMembership(17)
    board.received_by_entry["entry-1#1750000000000"] = 0
    agent.on_tick(board)
    return board.outbox[0][1]


def make_entry_board(agents: int, shards: int) -> EntryBoard:
    """Returns an entry's blackboard with agents and a shard table."""
    board = entry.new_board(entry_settings(), 1_750_000_000_000, 0.0, 1)
    entry.set_time(board, 100.0, ISSUED_S)
    entry.on_configuration(board, 1, make_configuration(2))
    entry.on_log_read(board, 100.0)
    candidates = make_candidates(agents)
    table = members.propose_shards(board.membership, shards, candidates, set())
    entry.on_members_record(board, 2, members.shards_record(shards, table))
    for number in range(agents):
        heartbeat = make_heartbeat(number)
        entry.on_message(board, heartbeat.agent, heartbeat)
    board.outbox.clear()
    return board


def make_candidates(agents: int) -> list[members.Candidate]:
    """Returns a number of agents as candidates for witnesses."""
    return [
        members.Candidate(f"agent-{n:05d}", ZONES[n % len(ZONES)])
        for n in range(agents)
    ]


def make_job_ref(number: int) -> JobRef:
    """Returns the reference of a job with a number."""
    key = make_key(ISSUED_S, f"{number:016x}")
    return JobRef("organisation-000", key)


def make_registration(
    number: int, agents: int = MAX_REGISTERED
) -> Registration:
    """Returns a registration decoded from the wire, with its own strings."""
    names = tuple(f"agent-{n:05d}#1750000000000" for n in range(agents))
    ballot = Ballot(1, "entry-1#1750000000000")
    sent = message.Claim(
        make_job_ref(number),
        1,
        1,
        Registration(f"{number:032x}", ballot, names),
    )
    (received,) = wire.decode(wire.encode([sent]))
    return received.registration


def witness_records() -> Slope:
    """Measures the memory of a witness by its recorded job keys."""

    def fill(count: int) -> witness.WitnessRegister:
        register = witness.WitnessRegister("agent-00001")
        register.shards[1] = witness.ShardMembership(1, 0.0)
        for number in range(count):
            claim = message.Claim(
                make_job_ref(number), 1, 1, make_registration(number)
            )
            (received,) = wire.decode(wire.encode([claim]))
            witness.answer(register, received, ISSUED_S, 0.05)
        return register

    fill(1)
    return _memory("witness record", "job keys", RECORD_COUNTS, fill)


def ledger_records() -> Slope:
    """Measures the memory of an agent's ledger by tasks, four per job."""

    def fill(count: int) -> ledger.Ledger:
        agent_ledger = ledger.Ledger()
        for number in range(count // 4):
            job = make_job_ref(number)
            held = ledger.job_record(agent_ledger, job)
            ledger.raise_ballot(held, Ballot(1, f"entry-1#{ISSUED_S:.0f}"))
            for index in range(4):
                task = message.TaskAssignment(index, 1, "{}", 30.0)
                ledger.start(held, task)
                result = outcome.done(str(number) * RESULT_BYTES)
                ledger.finish(held, index, _truncate(result), TASK_RUN_S)
            ledger.take_unreported(held)
        return agent_ledger

    return _memory("ledger record", "tasks", RECORD_COUNTS, fill)


def _truncate(result: outcome.Outcome) -> outcome.Outcome:
    return outcome.done(result.result[:RESULT_BYTES])


def answered_jobs() -> list[Slope]:
    """Measures the memory of an entry by its answered jobs, by job size."""
    return [
        _memory(
            f"kept answer, {tasks} tasks of {RESULT_BYTES} bytes",
            "jobs",
            JOB_COUNTS,
            lambda count, tasks=tasks: fill_entry(count, tasks, answered=True),
        )
        for tasks in JOB_SIZES
    ]


def open_jobs() -> list[Slope]:
    """Measures the memory of an entry by its open jobs, by job size."""
    return [
        _memory(
            f"open job, {tasks} tasks of {RESULT_BYTES} bytes",
            "jobs",
            JOB_COUNTS,
            lambda count, tasks=tasks: fill_entry(count, tasks, answered=False),
        )
        for tasks in JOB_SIZES
    ]


def fill_entry(count: int, tasks: int, answered: bool) -> EntryBoard:
    """Returns an entry's blackboard with running or answered jobs."""
    board = entry.new_board(entry_settings(), 1_750_000_000_000, 0.0, 1)
    entry.set_time(board, 100.0, ISSUED_S)
    entry.on_configuration(board, 1, make_configuration(2))
    limits = config.Configuration(services=(config.Service(SERVICE),))
    payload = "x" * RESULT_BYTES
    for number in range(count):
        job = make_job_ref(number)
        body = make_body(job.key, tasks, payload)
        submission = jobform.parse(body, job.organisation, limits)
        state = JobState(
            submission,
            Phase.RUNNING,
            Ballot(1, board.node),
            deadline_s=130.0,
            created_s=100.0,
            registration=make_registration(number, 11),
        )
        state.agents = state.registration.agents
        board.jobs[job] = state
        for index in range(tasks):
            if answered:
                text = f'"{number:08d}{index:04d}{payload[14:]}"'
                state.outcomes[index] = outcome.done(text)
            else:
                state.attempts[index] += 1
                node = state.agents[index % 11]
                state.assignments[index] = Assignment(node, 1, board.now_s)
        if answered:
            answers.finish(board, state)
    board.job_results.clear()
    board.samples.clear()
    return board


def make_body(key: str, tasks: int, payload: str) -> bytes:
    """Returns the request body of a job."""
    task = f'{{"payload":"{payload}"}}'
    body = ",".join([task] * tasks)
    return f'{{"key":"{key}","service":"{SERVICE}","tasks":[{body}]}}'.encode()


def shard_table() -> Slope:
    """Measures the memory of the shard table by shards, with 1,000 agents."""

    def fill(count: int) -> members.Membership:
        membership = members.Membership()
        table = members.propose_shards(
            membership, count, make_candidates(1000), set()
        )
        members.apply(membership, 1, members.shards_record(count, table))
        return membership

    return _memory("shard table", "shards", SHARD_COUNTS, fill)


def _memory(
    name: str,
    size: str,
    sizes: Sequence[int],
    fill: Callable[[int], object],
) -> Slope:
    values = [allocated_bytes(lambda n=n: fill(n)) for n in sizes]
    return Slope(name, size, "bytes", tuple(sizes), tuple(values))


def heartbeat_bytes() -> list[Slope]:
    """Measures the bytes of a heartbeat and its reply by shards and entries."""
    sizes = (0, 4, 16)
    heartbeats = [len(wire.encode([make_heartbeat(1, n)])) for n in sizes]
    replies = [len(wire.encode([make_reply(30, n)])) for n in sizes]
    by_entries = [len(wire.encode([make_reply(n, 4)])) for n in (3, 30, 100)]
    steady = [len(wire.encode([make_reply(30, n, True)])) for n in sizes]
    return [
        Slope(
            "heartbeat reply, no news",
            "shards",
            "bytes",
            sizes,
            tuple(steady),
        ),
        Slope("heartbeat", "shards", "bytes", sizes, tuple(heartbeats)),
        Slope(
            "first heartbeat reply, 30 entries",
            "shards",
            "bytes",
            sizes,
            tuple(replies),
        ),
        Slope(
            "first heartbeat reply, 4 shards",
            "entries",
            "bytes",
            (3, 30, 100),
            tuple(by_entries),
        ),
    ]


def make_reply(
    entries: int, shards: int, steady: bool = False
) -> message.HeartbeatReply:
    """Returns the reply to a heartbeat of an agent.

    Args:
        entries: Number of entries of the region.
        shards: Number of shards of the agent.
        steady: Whether an earlier reply already sent the same state.
    """
    board = make_entry_board(3, max(1, shards))
    for number in range(entries):
        member = members.EntryMember(
            f"entry-{number:03d}", 1_750_000_000_000, f"10.20.30.40:{number}"
        )
        record = members.entry_up_record(member)
        entry.on_members_record(board, 10 + number, record)
    if not shards:
        board.membership.shards.clear()
        board.membership.shards_by_agent.clear()
    heartbeat = make_heartbeat(1)
    if steady:
        entry.on_message(board, heartbeat.agent, heartbeat)
        epochs = {n: s.epoch for n, s in board.membership.shards.items()}
        heartbeat = dataclasses.replace(
            heartbeat, shard_epochs=tuple(epochs.items())
        )
        entry.on_message(board, heartbeat.agent, heartbeat)
    board.outbox.clear()
    entry.on_message(board, heartbeat.agent, heartbeat)
    return board.outbox[0][1]


def entry_state_bytes() -> Slope:
    """Measures the bytes of an entry's state message by organisations."""

    def encode(count: int) -> int:
        demand = tuple((f"organisation-{n:03d}", 1.0) for n in range(count))
        state = message.EntryState(
            "entry-1#1750000000000", "10.20.30.40:7000", 1, 1, 1, 1, demand
        )
        return len(wire.encode([state]))

    values = tuple(encode(count) for count in ORGANISATION_COUNTS)
    return Slope(
        "entry state", "organisations", "bytes", ORGANISATION_COUNTS, values
    )


def configuration_record() -> list[Slope]:
    """Measures the size and parse time of a configuration."""
    texts = [
        configtext.dumps(make_configuration(n)) for n in ORGANISATION_COUNTS
    ]
    sizes = tuple(len(text.encode()) for text in texts)
    times_ms = tuple(
        1e3 * min_cpu_s(lambda t=text: configtext.loads(t)) for text in texts
    )
    return [
        Slope(
            "configuration record",
            "organisations",
            "bytes",
            ORGANISATION_COUNTS,
            sizes,
        ),
        Slope(
            "configuration read",
            "organisations",
            "ms",
            ORGANISATION_COUNTS,
            times_ms,
        ),
    ]


def log_appends() -> list[Slope]:
    """Counts appends to the members stream by replaced witnesses."""
    sizes = (1, 2, 4)
    values = tuple(_replacement_appends(count) for count in sizes)
    return [Slope("appends", "witnesses replaced", "appends", sizes, values)]


def _replacement_appends(replaced: int) -> int:
    """Returns the appends when agents are lost from a table of 16 shards."""
    agents = make_candidates(11)
    membership = members.Membership()
    table = members.propose_shards(membership, 16, agents, set())
    members.apply(membership, 0, members.shards_record(16, table))
    appends = 0
    for lost in range(replaced):
        remaining = agents[lost + 1 :]
        while changes := members.propose_shards(
            membership, 16, remaining, set(range(16))
        ):
            appends += 1
            record = members.shards_record(16, changes)
            members.apply(membership, appends, record)
    return appends


def proposal_times() -> list[Slope]:
    """Measures the time to propose a table, and changes after a lost agent."""
    first, change = [], []
    for count in FLEETS:
        agents = make_candidates(count)
        empty = members.Membership()
        first.append(
            min_cpu_s(
                lambda e=empty, a=agents: members.propose_shards(
                    e, 1024, a, set()
                ),
                1,
            )
        )
        table = members.propose_shards(empty, 1024, agents, set())
        full = members.Membership()
        members.apply(full, 0, members.shards_record(1024, table))
        fenced = set(range(1024))
        change.append(
            min_cpu_s(
                lambda f=full, a=agents, d=fenced: members.propose_shards(
                    f, 1024, a[1:], d
                )
            )
        )
    return [
        Slope("first table of 1024", "agents", "s", FLEETS, tuple(first)),
        Slope("one agent replaced", "agents", "s", FLEETS, tuple(change)),
    ]


def heartbeat_times() -> list[Slope]:
    """Measures the time to handle a heartbeat, by shards and by agents."""
    by_shards = tuple(_heartbeat_us(100, n) for n in SHARD_COUNTS)
    by_agents = tuple(_heartbeat_us(n, 64) for n in (100, 400, 1600))
    return [
        Slope("heartbeat taken in", "shards", "us", SHARD_COUNTS, by_shards),
        Slope(
            "heartbeat taken in", "agents", "us", (100, 400, 1600), by_agents
        ),
    ]


def _heartbeat_us(agents: int, shards: int) -> float:
    board = make_entry_board(agents, shards)
    heartbeats = [state.heartbeat for state in board.agents.values()][:100]

    def handle() -> None:
        for heartbeat in heartbeats:
            entry.on_message(board, heartbeat.agent, heartbeat)
        board.outbox.clear()

    return 1e6 * min_cpu_s(handle) / len(heartbeats)


def submission_times() -> Slope:
    """Measures the time to begin a job by the agents that an entry knows."""

    def begin_us(agents: int) -> float:
        board = make_entry_board(agents, 64)
        jobs = iter(range(1_000_000))

        def begin() -> None:
            for _ in range(20):
                job = make_job_ref(next(jobs))
                body = make_body(job.key, 10, "x")
                submission = jobform.parse(
                    body, job.organisation, board.configuration
                )
                entry.submit(board, submission)
            board.outbox.clear()

        return 1e6 * min_cpu_s(begin) / 20

    sizes = (100, 400, 1600)
    values = tuple(begin_us(count) for count in sizes)
    return Slope("job begun", "agents", "us", sizes, values)


def configuration_times() -> Slope:
    """Measures the time to apply a configuration and notify every agent."""

    def apply_ms(agents: int) -> float:
        board = make_entry_board(agents, 64)
        offsets = iter(range(10, 1000))
        replacement = make_configuration(82)

        def apply() -> None:
            entry.on_configuration(board, next(offsets), replacement)
            for _, sent in board.outbox:
                wire.encode([sent])
            board.outbox.clear()

        return 1e3 * min_cpu_s(apply)

    sizes = (100, 400, 1600)
    values = tuple(apply_ms(count) for count in sizes)
    return Slope("configuration in force", "agents", "ms", sizes, values)


def slow_tick_times() -> Slope:
    """Measures the time of an entry's slow tick by the agents it knows."""

    def slow_tick_ms(agents: int) -> float:
        board = make_entry_board(agents, 1024)
        board.membership.shards.clear()
        names = make_candidates(agents)
        table = members.propose_shards(board.membership, 1024, names, set())
        members.apply(board.membership, 9, members.shards_record(1024, table))
        entry.on_slow_tick(board)

        def slow_tick() -> None:
            entry.on_slow_tick(board)
            board.outbox.clear()

        return 1e3 * min_cpu_s(slow_tick)

    sizes = (100, 400, 1600)
    values = tuple(slow_tick_ms(count) for count in sizes)
    return Slope("work of a second, 1024 shards", "agents", "ms", sizes, values)


def slot_request_times() -> Slope:
    """Measures the time to choose agents for slot requests."""

    def update_us(agents: int) -> float:
        board = make_entry_board(agents, 64)
        queue = dispatch.queue_for(board, SERVICE)
        queue.push("organisation-000", 1.0, make_job_ref(1), range(100), 100.0)
        slot_requests.update(board, SERVICE)

        def update() -> None:
            slot_requests.update(board, SERVICE)
            board.outbox.clear()

        return 1e6 * min_cpu_s(update)

    sizes = (100, 400, 1600)
    values = tuple(update_us(count) for count in sizes)
    return Slope("wishes looked through", "agents", "us", sizes, values)


def verification_times() -> Slope:
    """Measures the time to verify an access key by organisations."""

    def verify_us(count: int) -> float:
        configuration = make_configuration(count)
        token, key = accesskey.make("organisation-001", "bench")
        changed = dataclasses.replace(
            configuration.organisations[1], access_keys=(key,)
        )
        organisations = list(configuration.organisations)
        organisations[1] = changed
        configuration = dataclasses.replace(
            configuration, organisations=tuple(organisations)
        )
        return (
            1e6
            * min_cpu_s(
                lambda: [
                    accesskey.verify(configuration, token) for _ in range(50)
                ]
            )
            / 50
        )

    values = tuple(verify_us(count) for count in ORGANISATION_COUNTS)
    return Slope(
        "access key checked", "organisations", "us", ORGANISATION_COUNTS, values
    )


async def connected_agents() -> list[Slope]:
    """Measures the cost of an entry by its connected, idle agents."""
    measurements = [await _measure_connected(count) for count in AGENT_COUNTS]
    columns = list(zip(*measurements, strict=True))
    names = (
        ("entry, idle agents", "share of a core"),
        ("entry, idle agents", "bytes resident"),
        ("entry, bytes received", "bytes/s"),
        ("entry, bytes sent", "bytes/s"),
    )
    return [
        Slope(name, "agents", unit, AGENT_COUNTS, values)
        for (name, unit), values in zip(names, columns, strict=True)
    ]


async def _measure_connected(agents: int) -> tuple[float, float, float, float]:
    site = Site(
        REGION,
        SERVICE,
        ZONES,
        agents=agents,
        entries=1,
        sinks=-(-agents // AGENTS_PER_SINK),
        shards=64,
    )
    with tempfile.TemporaryDirectory(prefix="egretthread-bench-") as name:
        deployment = Deployment(site, pathlib.Path(name))
        try:
            await deployment.start()
            child = deployment.entries["entry-1"]
            before = await read_usage(child)
            await asyncio.sleep(IDLE_MEASURE_S)
            after = await read_usage(child)
        finally:
            await deployment.close()
    elapsed_s = after.at_s - before.at_s

    def rate(metric: str) -> float:
        return (after.values[metric] - before.values[metric]) / elapsed_s

    return (
        (after.cpu_s - before.cpu_s) / elapsed_s,
        after.resident_bytes,
        rate("link_bytes_received_total"),
        rate("link_bytes_sent_total"),
    )


def measure() -> list[Slope]:
    """Measures every slope."""
    return [
        witness_records(),
        ledger_records(),
        *answered_jobs(),
        *open_jobs(),
        shard_table(),
        *heartbeat_bytes(),
        entry_state_bytes(),
        *configuration_record(),
        *log_appends(),
        *proposal_times(),
        *heartbeat_times(),
        submission_times(),
        configuration_times(),
        slow_tick_times(),
        slot_request_times(),
        verification_times(),
        *asyncio.run(connected_agents()),
    ]


def markdown(slopes: Sequence[Slope]) -> str:
    """Returns the slopes as a Markdown table."""
    lines = [
        "| figure | by | sizes | values | unit | per one | at 0 |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for figure in slopes:
        sizes = " ".join(f"{size:g}" for size in figure.sizes)
        values = " ".join(f"{value:.4g}" for value in figure.values)
        lines.append(
            f"| {figure.name} | {figure.size} | {sizes} | {values} |"
            f" {figure.unit} | {figure.slope:.4g} | {figure.intercept:.4g} |"
        )
    return "\n".join(lines) + "\n"
