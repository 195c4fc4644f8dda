"""A small deployment of the project's own programs on loopback addresses."""

import asyncio
import dataclasses
import functools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import zlib
from collections.abc import Callable, Mapping

from egretthread_standins.platformsite import web
from egretthread_standins.platformsite.backendserver import BackendServer
from egretthread_standins.platformsite.store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
PARTS = 12
SERVICE = "ledger-match"
HOST = "orders.example"
PREFIX = "/lohu930/"
QUEUE = {
    "name": "orders",
    "host": HOST,
    "path_prefix": PREFIX,
    "type": "unsafe",
    "service": SERVICE,
    "priority": 0,
    "max_attempts": 3,
    "timeout_ms": 1500,
    "stretch": 2.0,
    "target_latency_ms": 60,
}


class Unavailable(Exception):  # noqa: N818
    """The site can't run, which says nothing about a rule."""


@dataclasses.dataclass
class Event:
    """One event.

    Attributes:
        at_s: Seconds since the start of the site.
        who: Who saw it.
        what: What it was.
        fields: Its details.
    """

    at_s: float
    who: str
    what: str
    fields: dict


def free_port(hosts: list[str], taken: set[int]) -> int:
    """Returns a port that is free at all of these addresses."""
    for _ in range(500):
        port = random.randint(21000, 31900)
        if port in taken:
            continue
        probes = []
        try:
            for host in hosts:
                probe = socket.socket()
                probes.append(probe)
                probe.bind((host, port))
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
        taken.add(port)
        return port
    raise Unavailable("no free port")


@dataclasses.dataclass(frozen=True)
class SiteSettings:
    """Settings of a site.

    Attributes:
        work_s: Returns how long a task works, by its name.
        folder: Folder for the record and, at the end, the programs' logs.
        entries: Number of entries.
        agents: Number of agents, each with a backend server.
        server_cpu: Capacity of each backend server, in turn, in thousandths of
            a core.
        task_cpu: What a task takes of it.
        spares: Number of entries that may be added later.
        racks: Rack of each backend server, in turn.
        keep_logs: Whether the folder gets the programs' logs.
        options: Further lines of each program's settings file, as TOML values
            by key.
    """

    work_s: Callable[[str], float]
    folder: pathlib.Path
    entries: int
    agents: int
    server_cpu: tuple[int, ...] = (8000,)
    task_cpu: int = 1000
    spares: int = 0
    racks: tuple[str, ...] = ("r1-1",)
    keep_logs: bool = False
    options: Mapping[str, object] = dataclasses.field(default_factory=dict)


class Site:
    """Entries, agents, backend servers and the store.

    Attributes:
        settings: The settings.
        events: What was seen, in the order of its report.
        store: The store.
        entries: Addresses for callers by the entry's name.
        names: Names of the entries that are started first.
        agent_names: Names of the agents.
        spare_names: Entries that may be added later.
        servers: The backend servers by name of their agent.
        processes: The running programs by name.
        version: Version of the newest configuration.
        routes: Its routes.
    """

    def __init__(self, settings: SiteSettings):
        self.settings = settings
        self.begin_s = time.monotonic()
        self.events: list[Event] = []
        self.folder = tempfile.TemporaryDirectory(prefix="egretthread-site-")
        self.record = open(settings.folder / "record.txt", "w")  # noqa: SIM115
        self.store = Store(PARTS, self.log)
        self.names = _names("entry", settings.entries)
        self.agent_names = _names("agent", settings.agents)
        spares = _names("entry", settings.entries + settings.spares)
        self.spare_names = spares[settings.entries :]
        everyone = self.names + self.agent_names + self.spare_names
        self.hosts = {n: f"127.0.1.{i + 11}" for i, n in enumerate(everyone)}
        hosts = list(self.hosts.values())
        taken: set[int] = set()
        self.link_port = free_port(hosts, taken)
        self.front_port = free_port(hosts, taken)
        self.ready_port = free_port(hosts, taken)
        self.control_port = free_port(hosts, taken)
        self.metrics_port = free_port(hosts, taken)
        self.app_port = free_port(hosts, taken)
        self.store_port = free_port(hosts, taken)
        self.entries = {n: (self.hosts[n], self.front_port) for n in self.names}
        self.servers: dict[str, BackendServer] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self.version = 0
        self.routes: list[dict] = []

    def now_s(self) -> float:
        """Seconds since the start of the site."""
        return time.monotonic() - self.begin_s

    def log(
        self, who: str, what: str, at_s: float | None = None, **fields
    ) -> None:
        """Records an event.

        Args:
            who: Who saw it.
            what: What it was.
            at_s: When it was on the monotonic clock; now if it is missing.
            **fields: Its details.
        """
        if at_s is None:
            at_s = time.monotonic()
        event = Event(at_s - self.begin_s, who, what, fields)
        self.events.append(event)
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        self.record.write(f"{event.at_s:8.3f} {who} {what} {details}\n")
        self.record.flush()

    async def start(self) -> None:
        """Starts everything and waits until all entries are ready."""
        for name, host in self.hosts.items():
            await self.store.listen(name, host, self.store_port)
        self.configure(1, [QUEUE])
        for name in self.names:
            self.start_process(name)
            # One after the other, as machines start in any order.
            await asyncio.sleep(0.3)
        for number, name in enumerate(self.agent_names):
            await self.start_server(name, f"i-{number + 1:08x}")
            self.start_process(name)
        for name in self.names:
            await self.until(
                lambda name=name: self.is_ready(name), 25.0, f"{name} ready"
            )
        # Traffic starts 12 s after the machines in the deployments; the
        # entries have shared the partitions of the jobs long before that.
        await asyncio.sleep(4.0)

    async def start_server(self, agent: str, server: str) -> None:
        """Starts a backend server on the machine of an agent."""
        settings = self.settings
        number = self.agent_names.index(agent)
        started = BackendServer(
            server,
            SERVICE,
            "zone-a",
            settings.server_cpu[number % len(settings.server_cpu)],
            settings.work_s,
            functools.partial(self.log, agent=agent),
            settings.task_cpu,
        )
        started.labels = ["a", settings.racks[number % len(settings.racks)]]
        self.servers[agent] = started
        host = self.hosts[agent]
        await started.start((host, self.app_port), (host, self.control_port))

    def configure(self, version: int, routes: list[dict]) -> None:
        """Writes a configuration as the operators, whom the store serves."""
        config = {
            "version": version,
            "routes": routes,
            "services": [{"name": SERVICE, "admission_check": True}],
            "limits": {"max_body_bytes": 262144, "max_header_bytes": 16384},
        }
        self.version, self.routes = version, routes
        self.store.put("op", "config", json.dumps(config).encode())
        self.log(
            "operator",
            "configuration",
            version=version,
            prefixes=[route["path_prefix"] for route in routes],
        )

    async def is_ready(self, name: str) -> bool:
        """Whether an entry is ready."""
        address = (self.hosts[name], self.ready_port)
        status, _ = await web.call(address, "GET", "/readiness", timeout_s=1.0)
        return status == 200

    async def until(self, check, limit_s: float, what: str) -> None:
        """Waits until an asynchronous check holds.

        Raises:
            Unavailable: It did not hold in time.
        """
        end_s = time.monotonic() + limit_s
        while not await check():
            if time.monotonic() > end_s:
                raise Unavailable(f"not reached: {what}")
            await asyncio.sleep(0.1)

    def write_settings(self, name: str, **changes) -> pathlib.Path:
        """Writes the settings file of one machine and returns its path."""
        role = name.partition("-")[0]
        host = self.hosts[name]
        lines = [
            f'name = "{name}"',
            'zone = "zone-a"',
            f'host = "{host}"',
            f"link_port = {self.link_port}",
            'shared_key = "deployment-key-to-be-replaced"',
            f'store_address = "{host}:{self.store_port}"',
            "seeds = ["
            + ", ".join(
                f'"{self.hosts[each]}:{self.control_port}"'
                for each in self.names[:3]
            )
            + "]",
            "shutdown_s = 6",
            f"metrics_port = {self.metrics_port}",
        ]
        if role == "entry":
            lines += [
                f"store_parts = {PARTS}",
                "store_writes_per_s = 800.0",
                f'callers_address = "{host}:{self.front_port}"',
                f'ready_address = "{host}:{self.ready_port}"',
                "remote_factor = 1.5",
                "[load]",
                "forward_jobs = true",
                "server_speeds = true",
                "spread_retries = true",
            ]
        else:
            lines += [
                f'heartbeat_address = "{host}:{self.control_port}"',
                f'server_address = "{host}:{self.app_port}"',
                "[load]",
                "server_speeds = true",
            ]
        options = {**self.settings.options, **changes}
        lines[:0] = [f"{key} = {value}" for key, value in options.items()]
        path = pathlib.Path(self.folder.name) / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start_process(self, name: str) -> None:
        """Starts the program of one machine with the deploy file's command."""
        path = self.write_settings(name)
        role = name.partition("-")[0]
        with open(self.log_path(name), "ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "egretthread.platform", role],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": "target/deps:.",
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "EGRETTHREAD_BOOT": str(path),
                },
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.log(
            "operator",
            "process started",
            name=name,
            pid=self.processes[name].pid,
        )

    def log_path(self, name: str) -> pathlib.Path:
        """Returns the file with the output of a program."""
        return pathlib.Path(self.folder.name) / f"{name}.log"

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a program of this site."""
        self.log("operator", "signal", name=name, signal=number.name)
        self.processes[name].send_signal(number)

    async def wait_for_end(self, name: str, limit_s: float) -> None:
        """Waits for the end of a program; kills it after a time."""
        end_s = time.monotonic() + limit_s
        while self.processes[name].poll() is None:
            if time.monotonic() > end_s:
                self.processes[name].kill()
            await asyncio.sleep(0.02)
        self.log("operator", "process ended", name=name)

    def member_of(self, entry: str, part: int) -> bool:
        """Whether an entry holds a partition of the jobs in the store."""
        return self.store.owner(part).startswith(entry)

    def job_id(self, part: int, number: int) -> str:
        """Returns the id of a job that belongs to a partition."""
        salt = 0
        while True:
            job = f"{number:06x}{salt:010x}"
            if zlib.crc32(job.encode()) % PARTS == part:
                return job
            salt += 1

    async def request(
        self,
        entry: str,
        method: str,
        job: str,
        table: dict | None = None,
        deadline_ms: int = 1500,
        prefix: str = PREFIX,
    ) -> tuple[int, dict]:
        """Sends a client's request to an entry."""
        sent_s = self.now_s()
        status, body = await web.call(
            self.entries[entry],
            method,
            prefix + job,
            table,
            {"Host": HOST, "X-Egretthread-Deadline-Ms": str(deadline_ms)},
            deadline_ms / 1000 + 0.5,
        )
        self.log(
            "client",
            method,
            job=job or "(queue)",
            entry=entry,
            sent=f"{sent_s:.3f}",
            status=status,
            answer=json.dumps(body),
        )
        return status, body

    async def close(self) -> None:
        """Ends all programs and stand-ins."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for server in self.servers.values():
            await server.close()
        await self.store.close()
        if self.settings.keep_logs:
            for name in self.hosts:
                path = self.log_path(name)
                if path.exists():
                    target = self.settings.folder / path.name
                    target.write_bytes(path.read_bytes())
        self.record.close()
        self.folder.cleanup()


def job(count: int, estimated_ms: int, kept: bool = True, **fields) -> dict:
    """Returns the body of a submission with one step."""
    step = {
        "count": count,
        "cpu": 1000,
        "mem_mb": 64,
        "estimated_ms": estimated_ms,
        **fields,
    }
    table: dict = {"task_spec": "match the lines", "steps": [step]}
    if not kept:
        table["best_effort"] = True
    return table


def _names(role: str, count: int) -> list[str]:
    return [f"{role}-{number + 1}" for number in range(count)]
