"""A small cluster of child processes on loopback, for the demo and tests.

It consists of the log stand-in, entries, and agents with their backend server
stand-ins in several availability zones, as configured by its layout.
"""

import asyncio
import dataclasses
import json
import pathlib
import secrets
import signal
from collections.abc import Awaitable, Callable, Mapping

import tomli_w
from tornado import httpclient

from egretthread import adminclient, client, operators
from egretthread_standins import children
from egretthread_standins.children import Child
from egretthread_standins.relay import Relay

REGION = "eire-east"
ZONES = ("eire-east-a", "eire-east-b", "eire-east-c")
SERVICE = "ledger-match"
ORGANISATION = "dublin"
STREAM = "config"
AGENTS_PER_ZONE = 2
SLOTS = 8
PROCESSORS = 32
MEMORY_BYTES = 128 * 2**30
HOST = "127.0.0.1"
ANY_PORT = f"{HOST}:0"
READY_LIMIT_S = 30.0
POLL_S = 0.05


@dataclasses.dataclass(frozen=True)
class Layout:
    """Processes of a cluster and their settings.

    Attributes:
        entries: Names of the entries.
        zones: Names of the availability zones.
        agents_per_zone: Agents, each with a backend server, in each zone.
        slots: Tasks that a backend server runs concurrently.
        entry_settings: Settings of all entries that differ from the defaults.
        agent_settings: Settings of all agents that differ from the defaults.
        service: Fields of the service that differ from the defaults.
        organisation: Fields of the organisation that differ from the
            defaults.
        relayed: Whether connections to the entries' peer addresses, from the
            entries to the log and to the backend servers pass a relay.
    """

    entries: tuple[str, ...] = ("entry-1", "entry-2")
    zones: tuple[str, ...] = ZONES
    agents_per_zone: int = AGENTS_PER_ZONE
    slots: int = SLOTS
    entry_settings: Mapping[str, object] = dataclasses.field(
        default_factory=dict
    )
    agent_settings: Mapping[str, object] = dataclasses.field(
        default_factory=dict
    )
    service: Mapping[str, object] = dataclasses.field(default_factory=dict)
    organisation: Mapping[str, object] = dataclasses.field(default_factory=dict)
    relayed: bool = False


@dataclasses.dataclass
class Worker:
    """An agent and its backend server.

    Attributes:
        name: Name of the worker.
        zone: Name of its availability zone.
        agent: Process of the agent.
        backend: Process of the backend server.
    """

    name: str
    zone: str
    agent: Child
    backend: Child


@dataclasses.dataclass(frozen=True, order=True)
class Start:
    """One start of a task, as a backend server recorded it.

    Attributes:
        at_s: Unix time of the start.
        zone: Availability zone of the worker.
        worker: Name of the worker.
        key: Key of the job.
        index: The task's index within the job.
    """

    at_s: float
    zone: str
    worker: str
    key: str
    index: int


class Cluster:
    """Starts and controls the child processes of a cluster.

    Attributes:
        directory: Directory of settings and log files.
        layout: Processes of the cluster and their settings.
        shared_key: Key with which the processes authenticate one another.
        token: Access key of the only organisation.
        children: All children started so far, in order of their start.
        log: The log stand-in.
        entries: The entries by name.
        workers: The workers.
        log_client: Client of the log.
        peer_relays: Relays to the entries' peer addresses, by entry.
        log_relays: Relays from the entries to the log, by entry.
        backend_relays: Relays to the backend servers, by worker.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        layout: Layout = Layout(),  # noqa: B008
    ):
        self.directory = directory
        self.layout = layout
        self.shared_key = secrets.token_hex(16)
        self.token = ""
        self.children: list[Child] = []
        self.log: Child | None = None
        self.entries: dict[str, Child] = {}
        self.workers: list[Worker] = []
        self.log_client: operators.LogClient | None = None
        self.peer_relays: dict[str, Relay] = {}
        self.log_relays: dict[str, Relay] = {}
        self.backend_relays: dict[str, Relay] = {}

    async def start(self) -> None:
        """Starts all processes and publishes the first configuration."""
        self.log = await self.spawn(
            "log", "egretthread_standins.logservice", "--port", "0"
        )
        self.log_client = operators.LogClient(url(self.log))
        await self.publish_first()
        for name in self.layout.entries:
            await self.start_entry(name)
        async with asyncio.TaskGroup() as starting:
            for zone in self.layout.zones:
                for number in range(self.layout.agents_per_zone):
                    starting.create_task(self.start_worker(zone, number))
        self.workers.sort(key=lambda worker: worker.name)
        await self.wait_ready()

    async def publish_first(self) -> None:
        """Publishes the zones, the service and an organisation with a key."""
        self.token, key = operators.make_access_key(ORGANISATION, "demo")
        organisation = operators.Organisation(
            ORGANISATION, (key,), **self.layout.organisation
        )
        service = operators.Service(
            SERVICE,
            (ORGANISATION,),
            region=REGION,
            slots=self.layout.slots,
            **self.layout.service,
        )
        configuration = operators.Configuration(
            organisations=(organisation,),
            services=(service,),
            zones=tuple(
                operators.AvailabilityZone(name, REGION)
                for name in self.layout.zones
            ),
        )
        with (self.directory / "configuration.toml").open("w") as file:
            operators.print_configuration(configuration, file)
        await operators.publish(
            self.log_client, STREAM, configuration, 0, "demo"
        )

    async def change(self, edit: operators.Edit) -> operators.Published:
        """Publishes an edit of the configuration."""
        return await operators.change(self.log_client, STREAM, edit, "demo")

    async def start_entry(self, name: str) -> Child:
        """Starts an entry, or the replacement of one that has exited.

        A replacement keeps the HTTP address, as behind a load balancer.
        """
        replaced = self.entries.get(name)
        number = self.layout.entries.index(name)
        settings = {
            "name": name,
            "region": REGION,
            "zone": self.layout.zones[number % len(self.layout.zones)],
            "http_address": (
                replaced.addresses["http"] if replaced else ANY_PORT
            ),
            "admin_address": ANY_PORT,
            "peer_address": ANY_PORT,
            "log_url": url(self.log),
            "shared_key": self.shared_key,
        }
        if self.layout.relayed:
            settings |= await self.start_relays(name)
        entry = await self.spawn_daemon(
            name,
            "egretthread.entryd",
            {**settings, **self.layout.entry_settings},
        )
        if self.layout.relayed:
            self.peer_relays[name].target = entry.addresses["peer"]
        self.entries[name] = entry
        return entry

    async def start_relays(self, name: str) -> dict[str, str]:
        """Starts the relays of a new entry and returns settings with them."""
        if name not in self.peer_relays:
            self.peer_relays[name] = await start_relay(ANY_PORT)
            self.log_relays[name] = await start_relay(
                self.log.addresses["http"]
            )
        return {
            "advertised_address": f"{HOST}:{self.peer_relays[name].port}",
            "log_url": f"http://{HOST}:{self.log_relays[name].port}",
        }

    def peer_address(self, name: str) -> str:
        """Returns the address at which agents reach an entry."""
        if name in self.peer_relays:
            return f"{HOST}:{self.peer_relays[name].port}"
        return self.entries[name].addresses["peer"]

    async def start_worker(self, zone: str, number: int) -> None:
        """Starts a backend server and its agent."""
        name = f"{zone}-{number}"
        backend = await self.spawn(
            f"backend-{name}", "egretthread_standins.backend", "--port", "0"
        )
        if self.layout.relayed:
            target = backend.addresses["http"]
            self.backend_relays[name] = await start_relay(target)
        agent = await self.start_agent(name, zone, backend)
        self.workers.append(Worker(name, zone, agent, backend))

    def backend_url(self, name: str, backend: Child) -> str:
        """Returns the URL at which an agent reaches its backend server."""
        if name in self.backend_relays:
            return f"http://{HOST}:{self.backend_relays[name].port}"
        return url(backend)

    async def replace_agent(self, worker: Worker) -> None:
        """Starts the replacement of an agent that has exited."""
        worker.agent = await self.start_agent(
            worker.name, worker.zone, worker.backend
        )

    async def start_agent(self, name: str, zone: str, backend: Child) -> Child:
        """Starts the agent of a backend server."""
        settings = {
            "name": f"agent-{name}",
            "region": REGION,
            "zone": zone,
            "service": SERVICE,
            "admin_address": ANY_PORT,
            "backend_url": self.backend_url(name, backend),
            "entries": [self.peer_address(entry) for entry in self.entries],
            "shared_key": self.shared_key,
            "processors": PROCESSORS,
            "memory_bytes": MEMORY_BYTES,
            "slots": self.layout.slots,
        }
        return await self.spawn_daemon(
            f"agent-{name}",
            "egretthread.agentd",
            {**settings, **self.layout.agent_settings},
        )

    async def spawn_daemon(
        self, name: str, module: str, settings: dict
    ) -> Child:
        """Starts an entry or agent with a settings file."""
        path = self.directory / f"{name}.toml"
        path.write_text(tomli_w.dumps(settings))
        return await self.spawn(name, module, "--settings", str(path))

    async def spawn(self, name: str, module: str, *arguments: str) -> Child:
        """Starts a child and adds it to `children`."""
        log = self.directory / f"{name}.log"
        child = await children.start(name, module, arguments, log)
        self.children.append(child)
        return child

    async def wait_ready(self) -> None:
        """Waits until every running entry serves and knows every agent.

        Raises:
            ChildError: The entries were not ready within the limit.
        """

        async def is_ready() -> bool:
            responses = [
                await adminclient.fetch_json(
                    entry.addresses["admin"], "/health"
                )
                for entry in self.entries.values()
                if entry.running
            ]
            return all(
                health["lease_open"] and health["agents"] == len(self.workers)
                for health in responses
            )

        await wait_for(is_ready, READY_LIMIT_S, "entries that know all agents")

    async def starts(self) -> list[Start]:
        """Returns every start of a task so far, oldest first."""
        batches = await asyncio.gather(
            *(starts_of(worker) for worker in self.workers)
        )
        return sorted(start for batch in batches for start in batch)

    def client(self, *entries: str) -> client.AsyncClient:
        """Returns a started client of the named entries."""
        urls = tuple(url(self.entries[name]) for name in entries)
        caller = client.AsyncClient(client.ClientSettings(urls, self.token))
        caller.start()
        return caller

    async def end(self) -> dict[str, int]:
        """Terminates all children and returns the exit code of each.

        Entries and agents get SIGTERM. The stand-ins, which do not handle
        SIGTERM, get SIGINT once the others have exited.
        """
        daemons = [c for c in self.children if is_daemon(c) and c.running]
        stand_ins = [c for c in self.children if not is_daemon(c)]
        codes = {}
        for group, signum in (
            (daemons, signal.SIGTERM),
            (stand_ins, signal.SIGINT),
        ):
            group_codes = await asyncio.gather(
                *(children.end(child, signum) for child in group)
            )
            names = [child.name for child in group]
            codes.update(zip(names, group_codes, strict=True))
        return codes

    async def close(self) -> None:
        """Kills all running children and closes the client and the relays."""
        for child in self.children:
            await children.kill(child.process)
        for relays in (self.peer_relays, self.log_relays, self.backend_relays):
            for relay in relays.values():
                await relay.close()
        if self.log_client:
            self.log_client.close()


def is_daemon(child: Child) -> bool:
    """Whether a child is an entry or an agent."""
    return "admin" in child.addresses


def url(child: Child) -> str:
    """Returns the base URL of a child's HTTP server."""
    return f"http://{child.addresses['http']}"


async def start_relay(target: str) -> Relay:
    """Returns a started relay to a target."""
    relay = Relay(target)
    await relay.start()
    return relay


async def post_json(child: Child, path: str, body: dict) -> None:
    """Posts a JSON object to a stand-in, such as faults to inject."""
    http = httpclient.AsyncHTTPClient()
    await http.fetch(url(child) + path, method="POST", body=json.dumps(body))


async def starts_of(worker: Worker) -> list[Start]:
    """Returns the starts that a backend server recorded."""
    body = await adminclient.fetch_json(
        worker.backend.addresses["http"], "/starts"
    )
    return [
        Start(at_s, worker.zone, worker.name, task["key"], task["index"])
        for task in body["times"]
        for at_s in task["times_s"]
    ]


async def wait_for(
    condition: Callable[[], Awaitable[bool]], limit_s: float, what: str
) -> None:
    """Polls until a condition holds.

    Args:
        condition: The condition.
        limit_s: Longest time to wait.
        what: Describes in the error what was waited for.

    Raises:
        ChildError: The condition did not hold within the limit.
    """
    try:
        async with asyncio.timeout(limit_s):
            while not await condition():
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        raise children.ChildError(
            f"timed out after {limit_s} s waiting for {what}"
        ) from None
