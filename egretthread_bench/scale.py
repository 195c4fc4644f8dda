"""Slopes that the capacity page is worked out from.

Each figure is measured at three or more sizes on one machine; the slope is
that of the straight line of least squares through them.
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
from egretthread.controllers import answers, dispatch, wants
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
        name: What was measured.
        size: What the sizes count.
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
        """Growth of the value per one of the size."""
        return statistics.linear_regression(self.sizes, self.values).slope

    @property
    def intercept(self) -> float:
        """Value at size 0."""
        return statistics.linear_regression(self.sizes, self.values).intercept


def allocated_bytes(make: Callable[[], object]) -> int:
    """Returns the memory that what a function returns holds."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used_bytes


def seconds_of(function: Callable[[], object], repeat: int = 3) -> float:
    """Returns the least processor time of several runs of a function."""
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
    """Returns a configuration with so many organisations."""
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


def make_beat(number: int, epochs: int = 0) -> message.Heartbeat:
    """Returns an agent's heartbeat that names so many shards."""
    board = agent.new_board(agent_settings(number), 1_750_000_000_000)
    for shard in range(epochs):
        board.witness.shards[shard] = witness.ShardMembership(17)
    board.received_by_entry["entry-1#1750000000000"] = 0
    agent.on_tick(board)
    return board.outbox[0][1]


def new_entry(agents: int, shards: int) -> EntryBoard:
    """Returns an entry's blackboard that knows agents and a table."""
    board = entry.new_board(entry_settings(), 1_750_000_000_000, 0.0, 1)
    entry.set_time(board, 100.0, ISSUED_S)
    entry.on_configuration(board, 1, make_configuration(2))
    entry.on_log_read(board, 100.0)
    candidates = fleet(agents)
    table = members.propose_shards(board.membership, shards, candidates, set())
    entry.on_members_record(board, 2, members.shards_record(shards, table))
    for number in range(agents):
        beat = make_beat(number)
        entry.on_message(board, beat.agent, beat)
    board.outbox.clear()
    return board


def fleet(agents: int) -> list[members.Candidate]:
    """Returns the candidates that so many agents are."""
    return [
        members.Candidate(f"agent-{n:05d}", ZONES[n % len(ZONES)])
        for n in range(agents)
    ]


def job_ref(number: int) -> JobRef:
    """Returns the name of a job."""
    key = make_key(ISSUED_S, f"{number:016x}")
    return JobRef("organisation-000", key)


def registered(number: int, agents: int = MAX_REGISTERED) -> Registration:
    """Returns a registration as it comes off the wire, in new strings."""
    names = tuple(f"agent-{n:05d}#1750000000000" for n in range(agents))
    ballot = Ballot(1, "entry-1#1750000000000")
    sent = message.Claim(
        job_ref(number), 1, 1, Registration(f"{number:032x}", ballot, names)
    )
    (received,) = wire.decode(wire.encode([sent]))
    return received.registration


# Memory of what is remembered.


def witness_records() -> Slope:
    """Memory of a witness by the job keys it remembers."""

    def fill(count: int) -> witness.WitnessRegister:
        register = witness.WitnessRegister("agent-00001")
        register.shards[1] = witness.ShardMembership(1, 0.0)
        for number in range(count):
            claim = message.Claim(job_ref(number), 1, 1, registered(number))
            (received,) = wire.decode(wire.encode([claim]))
            witness.answer(register, received, ISSUED_S, 0.05)
        return register

    fill(1)
    return _memory("witness record", "job keys", RECORD_COUNTS, fill)


def ledger_records() -> Slope:
    """Memory of an agent's ledger by tasks, four of a job at one agent."""

    def fill(count: int) -> ledger.Ledger:
        book = ledger.Ledger()
        for number in range(count // 4):
            job = job_ref(number)
            held = ledger.job_entry(book, job)
            ledger.raise_ballot(held, Ballot(1, f"entry-1#{ISSUED_S:.0f}"))
            for index in range(4):
                task = message.TaskAssignment(index, 1, "{}", 30.0)
                ledger.start(held, task)
                result = outcome.done(str(number) * RESULT_BYTES)
                ledger.finish(held, index, _cut(result), TASK_RUN_S)
            ledger.take_unreported(held)
        return book

    return _memory("ledger record", "tasks", RECORD_COUNTS, fill)


def _cut(result: outcome.Outcome) -> outcome.Outcome:
    return outcome.done(result.result[:RESULT_BYTES])


def kept_answers() -> list[Slope]:
    """Memory of an entry by the answered jobs it keeps, by job size."""
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
    """Memory of an entry by its open jobs, by job size."""
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
    """Returns an entry's blackboard with jobs that run or are answered."""
    board = entry.new_board(entry_settings(), 1_750_000_000_000, 0.0, 1)
    entry.set_time(board, 100.0, ISSUED_S)
    entry.on_configuration(board, 1, make_configuration(2))
    limits = config.Configuration(services=(config.Service(SERVICE),))
    payload = "x" * RESULT_BYTES
    for number in range(count):
        job = job_ref(number)
        body = wire_body(job.key, tasks, payload)
        submission = jobform.parse(body, job.organisation, limits)
        state = JobState(
            submission,
            Phase.RUNNING,
            Ballot(1, board.node),
            deadline_s=130.0,
            created_s=100.0,
            registration=registered(number, 11),
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


def wire_body(key: str, tasks: int, payload: str) -> bytes:
    """Returns the request body of a job."""
    row = f'{{"payload":"{payload}"}}'
    rows = ",".join([row] * tasks)
    return f'{{"key":"{key}","service":"{SERVICE}","tasks":[{rows}]}}'.encode()


def shard_table() -> Slope:
    """Memory of the shard table by its shards, among 1,000 agents."""

    def fill(count: int) -> members.Membership:
        membership = members.Membership()
        table = members.propose_shards(membership, count, fleet(1000), set())
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


# Bytes on the wire and in the log.


def heartbeat_bytes() -> list[Slope]:
    """Bytes of a heartbeat and its reply by the shards of the agent."""
    sizes = (0, 4, 16)
    beats = [len(wire.encode([make_beat(1, n)])) for n in sizes]
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
        Slope("heartbeat", "shards", "bytes", sizes, tuple(beats)),
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
    """Returns the reply to an agent that belongs to so many shards.

    Args:
        entries: Entries of the region.
        shards: Shards of the agent.
        steady: Whether the agent was told all of it before.
    """
    board = new_entry(3, max(1, shards))
    for number in range(entries):
        member = members.EntryMember(
            f"entry-{number:03d}", 1_750_000_000_000, f"10.20.30.40:{number}"
        )
        record = members.entry_up_record(member)
        entry.on_members_record(board, 10 + number, record)
    if not shards:
        board.membership.shards.clear()
        board.membership.shards_by_agent.clear()
    beat = make_beat(1)
    if steady:
        entry.on_message(board, beat.agent, beat)
        epochs = {n: s.epoch for n, s in board.membership.shards.items()}
        beat = dataclasses.replace(beat, shard_epochs=tuple(epochs.items()))
        entry.on_message(board, beat.agent, beat)
    board.outbox.clear()
    entry.on_message(board, beat.agent, beat)
    return board.outbox[0][1]


def entry_state_bytes() -> Slope:
    """Bytes of what entries tell each other by organisations."""

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
    """Size of a configuration and time to read it, by organisations."""
    texts = [
        configtext.dumps(make_configuration(n)) for n in ORGANISATION_COUNTS
    ]
    sizes = tuple(len(text.encode()) for text in texts)
    times_ms = tuple(
        1e3 * seconds_of(lambda t=text: configtext.loads(t)) for text in texts
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
    """Appends to the members stream by witnesses replaced one by one."""
    sizes = (1, 2, 4)
    values = tuple(_replacement_appends(count) for count in sizes)
    return [Slope("appends", "witnesses replaced", "appends", sizes, values)]


def _replacement_appends(replaced: int) -> int:
    """Returns the appends after agents of a table of 16 shards are gone."""
    agents = fleet(11)
    membership = members.Membership()
    table = members.propose_shards(membership, 16, agents, set())
    members.apply(membership, 0, members.shards_record(16, table))
    appends = 0
    for gone in range(replaced):
        remaining = agents[gone + 1 :]
        while changes := members.propose_shards(
            membership, 16, remaining, set(range(16))
        ):
            appends += 1
            record = members.shards_record(16, changes)
            members.apply(membership, appends, record)
    return appends


# Processor time of decisions.


def proposal_times() -> list[Slope]:
    """Time to work out a table, and the change after one agent is gone."""
    first, change = [], []
    for count in FLEETS:
        agents = fleet(count)
        empty = members.Membership()
        first.append(
            seconds_of(
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
            seconds_of(
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
    """Time to take a heartbeat in, by shards and by agents."""
    by_shards = tuple(_heartbeat_us(100, n) for n in SHARD_COUNTS)
    by_agents = tuple(_heartbeat_us(n, 64) for n in (100, 400, 1600))
    return [
        Slope("heartbeat taken in", "shards", "us", SHARD_COUNTS, by_shards),
        Slope(
            "heartbeat taken in", "agents", "us", (100, 400, 1600), by_agents
        ),
    ]


def _heartbeat_us(agents: int, shards: int) -> float:
    board = new_entry(agents, shards)
    beats = [state.heartbeat for state in board.agents.values()][:100]

    def take_in() -> None:
        for beat in beats:
            entry.on_message(board, beat.agent, beat)
        board.outbox.clear()

    return 1e6 * seconds_of(take_in) / len(beats)


def submission_times() -> Slope:
    """Time to begin a job by the agents that the entry knows."""

    def begin_us(agents: int) -> float:
        board = new_entry(agents, 64)
        jobs = iter(range(1_000_000))

        def begin() -> None:
            for _ in range(20):
                job = job_ref(next(jobs))
                body = wire_body(job.key, 10, "x")
                submission = jobform.parse(
                    body, job.organisation, board.configuration
                )
                entry.submit(board, submission)
            board.outbox.clear()

        return 1e6 * seconds_of(begin) / 20

    sizes = (100, 400, 1600)
    values = tuple(begin_us(count) for count in sizes)
    return Slope("job begun", "agents", "us", sizes, values)


def configuration_times() -> Slope:
    """Time to put a configuration in force and tell every agent."""

    def apply_ms(agents: int) -> float:
        board = new_entry(agents, 64)
        offsets = iter(range(10, 1000))
        replacement = make_configuration(82)

        def apply() -> None:
            entry.on_configuration(board, next(offsets), replacement)
            for _, item in board.outbox:
                wire.encode([item])
            board.outbox.clear()

        return 1e3 * seconds_of(apply)

    sizes = (100, 400, 1600)
    values = tuple(apply_ms(count) for count in sizes)
    return Slope("configuration in force", "agents", "ms", sizes, values)


def second_times() -> Slope:
    """Time of an entry's work each second, by the agents it knows."""

    def second_ms(agents: int) -> float:
        board = new_entry(agents, 1024)
        board.membership.shards.clear()
        names = fleet(agents)
        table = members.propose_shards(board.membership, 1024, names, set())
        members.apply(board.membership, 9, members.shards_record(1024, table))
        entry.on_slow_tick(board)

        def second() -> None:
            entry.on_slow_tick(board)
            board.outbox.clear()

        return 1e3 * seconds_of(second)

    sizes = (100, 400, 1600)
    values = tuple(second_ms(count) for count in sizes)
    return Slope("work of a second, 1024 shards", "agents", "ms", sizes, values)


def wish_times() -> Slope:
    """Time to look for agents to ask for slots while tasks wait."""

    def update_us(agents: int) -> float:
        board = new_entry(agents, 64)
        queue = dispatch.queue_for(board, SERVICE)
        queue.push("organisation-000", 1.0, job_ref(1), range(100), 100.0)
        wants.update(board, SERVICE)

        def update() -> None:
            wants.update(board, SERVICE)
            board.outbox.clear()

        return 1e6 * seconds_of(update)

    sizes = (100, 400, 1600)
    values = tuple(update_us(count) for count in sizes)
    return Slope("wishes looked through", "agents", "us", sizes, values)


def verification_times() -> Slope:
    """Time to check an access key by the organisations configured."""

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
            * seconds_of(
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


# The running entry by its connected agents.


async def connected_agents() -> list[Slope]:
    """What an entry spends on agents that are connected and idle."""
    rows = [await _connected(count) for count in AGENT_COUNTS]
    columns = list(zip(*rows, strict=True))
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


async def _connected(agents: int) -> tuple[float, float, float, float]:
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
        *kept_answers(),
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
        second_times(),
        wish_times(),
        verification_times(),
        *asyncio.run(connected_agents()),
    ]


def markdown(slopes: Sequence[Slope]) -> str:
    """Returns the slopes as a Markdown table."""
    lines = [
        "| figure | by | sizes | values | unit | per one | at 0 |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in slopes:
        sizes = " ".join(f"{size:g}" for size in row.sizes)
        values = " ".join(f"{value:.4g}" for value in row.values)
        lines.append(
            f"| {row.name} | {row.size} | {sizes} | {values} | {row.unit} |"
            f" {row.slope:.4g} | {row.intercept:.4g} |"
        )
    return "\n".join(lines) + "\n"
