"""The real programs as child processes on loopback, for benchmarks."""

import asyncio
import collections
import dataclasses
import json
import pathlib
import secrets
import signal
import time
from collections.abc import Sequence

import tomli_w
from tornado import httpclient

from egretthread import adminclient, client, operators
from egretthread_standins import children
from egretthread_standins.children import Child

STREAM = "config"
AUTHOR = "bench"
ANY_PORT = "127.0.0.1:0"
READY_LIMIT_S = 60.0
POLL_S = 0.1
# The first job is accepted once the witnesses have adopted their shards.
SETTLE_LIMIT_S = 60.0
PREFIX = "egretthread_"


@dataclasses.dataclass(frozen=True)
class Site:
    """Size and limits of a deployment.

    Attributes:
        region: Name of the region.
        service: Name of the service.
        zones: Names of the availability zones.
        organisations: Names of the organisations.
        agents: Number of agents.
        slots: Tasks that each agent runs concurrently.
        entries: Number of entries.
        sinks: Number of processes that run all agents without backend
            servers; 0 for one process per agent, each with a backend server.
        entry_fanout: Number of entries that an agent connects to.
        starts_per_s: Quota of starts of each organisation.
        max_running: Quota of tasks of each organisation at one entry.
        shards: Number of shards of the witness table.
        retention_s: Retention of job keys.
        quotas: Quotas of starts of organisations that differ from
            `starts_per_s`, by name.
    """

    region: str
    service: str
    zones: tuple[str, ...]
    organisations: tuple[str, ...] = ("office",)
    agents: int = 11
    slots: int = 8
    entries: int = 2
    sinks: int = 0
    entry_fanout: int = 3
    starts_per_s: float = 1e6
    max_running: int = 1_000_000
    shards: int = 16
    retention_s: float = 300.0
    quotas: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def total_slots(self) -> int:
        """Number of slots of all agents."""
        return self.agents * self.slots


@dataclasses.dataclass(frozen=True)
class Worker:
    """An agent and its backend server.

    Attributes:
        zone: Name of its availability zone.
        agent: Process of the agent.
        backend: Process of the backend server.
    """

    zone: str
    agent: Child
    backend: Child


@dataclasses.dataclass(frozen=True)
class Usage:
    """Reading of a process's metrics.

    Attributes:
        at_s: Monotonic time of the reading.
        cpu_s: Processor time used so far.
        resident_bytes: Resident memory.
        sent: Number of messages sent so far, by class.
        values: All metrics without labels, by name without the prefix.
        events: Number of events so far, by name.
    """

    at_s: float
    cpu_s: float
    resident_bytes: float
    sent: dict[str, float]
    values: dict[str, float]
    events: dict[str, float]


class Deployment:
    """Starts and controls the child processes of one benchmark run.

    Attributes:
        site: Size and limits of the deployment.
        directory: Directory of settings and log files.
        shared_key: Key with which the processes authenticate one another.
        tokens: Access key of each organisation.
        children: All children started so far, in order of their start.
        log: The log stand-in.
        entries: The entries by name.
        workers: Agents with a process and a backend server each.
        sinks: Processes that run many agents each.
        log_client: Client of the log.
    """

    def __init__(self, site: Site, directory: pathlib.Path):
        self.site = site
        self.directory = directory
        self.shared_key = secrets.token_hex(16)
        self.tokens: dict[str, str] = {}
        self.children: list[Child] = []
        self.log: Child | None = None
        self.entries: dict[str, Child] = {}
        self.workers: list[Worker] = []
        self.sinks: list[Child] = []
        self.log_client: operators.LogClient | None = None

    async def start(self) -> None:
        """Starts all processes and waits until a job is accepted."""
        self.log = await self.spawn(
            "log", "egretthread_standins.logservice", "--port", "0"
        )
        self.log_client = operators.LogClient(url(self.log))
        await operators.publish(
            self.log_client, STREAM, self.configuration(), 0, AUTHOR
        )
        for number in range(self.site.entries):
            await self.start_entry(f"entry-{number + 1}")
        if self.site.sinks:
            await self.start_sinks()
        else:
            for number in range(self.site.agents):
                await self.start_worker(number)
        await self.wait_ready()

    def configuration(self) -> operators.Configuration:
        """Returns the first configuration."""
        site = self.site
        organisations = []
        for name in site.organisations:
            self.tokens[name], key = operators.make_access_key(name, AUTHOR)
            organisations.append(
                operators.Organisation(
                    name,
                    (key,),
                    starts_per_s=site.quotas.get(name, site.starts_per_s),
                    max_running=site.max_running,
                )
            )
        service = operators.Service(
            site.service, site.organisations, site.region, slots=site.slots
        )
        zones = [
            operators.AvailabilityZone(name, site.region) for name in site.zones
        ]
        return operators.Configuration(
            organisations=tuple(organisations),
            services=(service,),
            zones=tuple(zones),
            shards=site.shards,
            retention_s=site.retention_s,
        )

    async def change(self, edit: operators.Edit) -> operators.Published:
        """Publishes an edit of the configuration."""
        return await operators.change(self.log_client, STREAM, edit, AUTHOR)

    async def start_entry(self, name: str) -> Child:
        """Starts an entry."""
        number = len(self.entries) % len(self.site.zones)
        settings = {
            "name": name,
            "region": self.site.region,
            "zone": self.site.zones[number],
            "http_address": ANY_PORT,
            "admin_address": ANY_PORT,
            "peer_address": ANY_PORT,
            "log_url": url(self.log),
            "shared_key": self.shared_key,
        }
        path = self.write_settings(name, settings)
        entry = await self.spawn(
            name, "egretthread.entryd", "--settings", str(path)
        )
        self.entries[name] = entry
        return entry

    def agent_settings(self, number: int, backend_url: str) -> dict:
        """Returns the settings of one agent."""
        zones = self.site.zones
        return {
            "name": f"agent-{number}",
            "region": self.site.region,
            "zone": zones[number % len(zones)],
            "service": self.site.service,
            "admin_address": ANY_PORT,
            "backend_url": backend_url,
            "entries": [
                entry.addresses["peer"] for entry in self.entries.values()
            ],
            "shared_key": self.shared_key,
            "processors": 32,
            "memory_bytes": 128 * 2**30,
            "slots": self.site.slots,
            "entry_fanout": self.site.entry_fanout,
        }

    async def start_worker(self, number: int) -> None:
        """Starts a backend server and its agent."""
        backend = await self.spawn(
            f"backend-{number}", "egretthread_standins.backend", "--port", "0"
        )
        settings = self.agent_settings(number, url(backend))
        path = self.write_settings(f"agent-{number}", settings)
        agent = await self.spawn(
            f"agent-{number}", "egretthread.agentd", "--settings", str(path)
        )
        self.workers.append(Worker(settings["zone"], agent, backend))

    async def start_sinks(self) -> None:
        """Starts the processes that run all agents."""
        for index in range(self.site.sinks):
            numbers = range(index, self.site.agents, self.site.sinks)
            agents = [
                self.agent_settings(number, "http://127.0.0.1:9")
                for number in numbers
            ]
            name = f"sink-{index}"
            path = self.write_settings(name, {"agents": agents})
            sink = await self.spawn(
                name, "egretthread_standins.sink", "--settings", str(path)
            )
            self.sinks.append(sink)

    def write_settings(self, name: str, settings: dict) -> pathlib.Path:
        """Writes a settings file and returns its path."""
        path = self.directory / f"{name}.toml"
        path.write_text(tomli_w.dumps(settings), encoding="utf-8")
        return path

    async def spawn(self, name: str, module: str, *arguments: str) -> Child:
        """Starts a child and adds it to `children`."""
        log = self.directory / f"{name}.log"
        child = await children.start(name, module, arguments, log)
        self.children.append(child)
        return child

    async def wait_ready(self) -> None:
        """Waits until all running entries know the agents and accept jobs.

        Raises:
            children.ChildError: The entries were not ready within the limit.
        """
        deadline_s = time.monotonic() + READY_LIMIT_S
        while not await self.is_ready():
            if time.monotonic() > deadline_s:
                raise children.ChildError(
                    f"the entries lack agents or a lease after {READY_LIMIT_S}"
                    f" s; see the logs in {self.directory}"
                )
            await asyncio.sleep(POLL_S)
        for name, entry in self.entries.items():
            if entry.running:
                await self.submit_first_job(name)

    async def is_ready(self) -> bool:
        """Whether all running entries hold a lease and know their agents."""
        expected = self.site.agents
        if self.site.entry_fanout < len(self.entries):
            expected = 1
        for entry in self.entries.values():
            if not entry.running:
                continue
            health = await adminclient.fetch_json(
                entry.addresses["admin"], "/health"
            )
            if not health["lease_open"] or health["agents"] < expected:
                return False
        return True

    async def submit_first_job(self, name: str) -> None:
        """Submits a small job, with new keys until witnesses accept it."""
        caller = self.client(self.site.organisations[0], name)
        job = client.Job(
            client.new_key(),
            self.site.service,
            tuple(client.Task({"run_s": 0.0}) for _ in range(self.site.slots)),
            SETTLE_LIMIT_S,
        )
        await caller.submit(job, rekey=True)
        caller.close()

    def client(self, organisation: str, *entries: str) -> client.AsyncClient:
        """Returns a started client of the named entries, or of all."""
        urls = tuple(url(self.entries[n]) for n in entries or self.entries)
        caller = client.AsyncClient(
            client.ClientSettings(urls, self.tokens[organisation])
        )
        caller.start()
        return caller

    async def usages(self, processes: Sequence[Child]) -> list[Usage]:
        """Returns the readings of the running processes, in their order."""
        return [await read_usage(child) for child in processes if child.running]

    async def end(self) -> None:
        """Terminates the daemons with SIGTERM, then stand-ins with SIGINT."""
        daemons = [c for c in self.children if "admin" in c.addresses]
        stand_ins = [c for c in self.children if "admin" not in c.addresses]
        if self.log_client:
            self.log_client.close()
        for group, signum in (
            (daemons, signal.SIGTERM),
            (stand_ins, signal.SIGINT),
        ):
            await asyncio.gather(*(children.end(c, signum) for c in group))

    async def close(self) -> None:
        """Kills all running children."""
        for child in self.children:
            await children.kill(child.process)


def url(child: Child) -> str:
    """Returns the base URL of a child's HTTP server."""
    return f"http://{child.addresses['http']}"


async def control(child: Child, **faults) -> None:
    """Changes the faults that a stand-in injects."""
    await httpclient.AsyncHTTPClient().fetch(
        f"{url(child)}/control",
        method="POST",
        body=json.dumps(faults),
    )


async def read_usage(child: Child) -> Usage:
    """Reads a process's metrics."""
    response = await httpclient.AsyncHTTPClient().fetch(
        f"http://{child.addresses['admin']}/metrics"
    )
    return parse_usage(response.body.decode(), time.monotonic())


def parse_usage(text: str, at_s: float) -> Usage:
    """Parses a process's metrics in the Prometheus text format."""
    values: dict[str, float] = {}
    labelled: dict[str, dict[str, float]] = collections.defaultdict(dict)
    for line in text.splitlines():
        if not line.startswith(PREFIX):
            continue
        name, _, value = line.removeprefix(PREFIX).rpartition(" ")
        name, _, label = name.partition("{")
        if label:
            labelled[name][label.split('"')[1]] = float(value)
        else:
            values[name] = float(value)
    return Usage(
        at_s,
        values.get("cpu_seconds_total", 0.0),
        values.get("resident_bytes", 0.0),
        labelled["messages_sent_total"],
        values,
        labelled["events_total"],
    )
