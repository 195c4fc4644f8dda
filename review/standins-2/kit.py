"""What the scripts of review/6 to review/10 share.

It extends the project's stand-ins of the platform (`platformsite`) and runs one
case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not
run.
"""

import asyncio
import collections
import functools
import pathlib
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable

from egretthread_standins.platformsite import site as sites
from egretthread_standins.platformsite import store as stores
from egretthread_standins.platformsite.backendserver import BackendServer

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 105.0


class Group(stores.Group):
    """A consumer group that deals some partitions as a case wants.

    The partitions stay evenly distributed: two of them change places.

    Attributes:
        wanted: Name of the machine that shall get a partition when its member
            is gone, by number.
    """

    wanted: dict[int, str] = {}

    def balance(self) -> None:
        """Distributes the partitions evenly."""
        free = [p for p, name in self.owner.items() if name not in self.members]
        super().balance()
        for part, machine in self.wanted.items():
            names = [n for n in self.members if n.partition("#")[0] == machine]
            if names and self.target[part] not in names:
                member = names[-1]
                other = next(
                    (p for p, n in self.target.items() if n == member), part
                )
                self.target[other] = self.target[part]
                self.target[part] = member
        for part in free:
            self.owner[part] = self.target[part]


class Store(stores.Store):
    """A store with such groups.

    Attributes:
        wanted: See Group.
        joins: When each machine has joined or renewed, on the monotonic clock.
    """

    def __init__(self, parts: int, log):
        super().__init__(parts, log)
        self.wanted: dict[int, str] = {}
        self.joins: dict[str, list[float]] = collections.defaultdict(list)

        def make() -> Group:
            group = Group(parts)
            group.wanted = self.wanted
            return group

        self.groups = collections.defaultdict(make)

    async def _on_join(self, machine: str, request):
        self.joins[machine].append(time.monotonic())
        return await super()._on_join(machine, request)


class Server(BackendServer):
    """A backend server whose kind and whose failing runs a case chooses.

    Attributes:
        fails: Whether a run that has done its work ends `failed`, by the name
            of its task.
    """

    fails: Callable[[str], bool] = staticmethod(lambda task: False)

    def _end(self, run, how: str, at_s: float) -> None:
        if how == "done" and self.fails(run.task):
            how = "failed"
        super()._end(run, how, at_s)


class Site(sites.Site):
    """A site whose backend servers have kinds.

    Attributes:
        kinds: Kind of the backend server of an agent; `a` if not named.
        fails: See Server.
        starts: Number of backend servers started so far.
    """

    def __init__(self, settings: sites.SiteSettings):
        super().__init__(settings)
        self.kinds: dict[str, str] = {}
        self.fails = Server.fails
        self.starts = 0

    async def start_server(self, agent: str, server: str) -> None:
        """Starts a backend server on the machine of an agent."""
        settings = self.settings
        number = self.agent_names.index(agent)
        started = Server(
            server,
            sites.SERVICE,
            "zone-a",
            settings.server_cpu[number % len(settings.server_cpu)],
            settings.work_s,
            functools.partial(self.log, agent=agent),
            settings.task_cpu,
        )
        started.fails = self.fails
        rack = settings.racks[number % len(settings.racks)]
        started.labels = [self.kinds.get(agent, "a"), rack]
        self.servers[agent] = started
        self.starts += 1
        host = self.hosts[agent]
        await started.start((host, self.app_port), (host, self.control_port))

    def use_store(self, store: stores.Store) -> None:
        """Replaces the stand-in of the store before the start."""
        self.store = store

    def seen(self, what: str, job: str) -> list[sites.Event]:
        """Events at backend servers about the tasks of a job."""
        return [
            event
            for event in self.events
            if event.what == what
            and event.fields.get("task", "").startswith(f"{job}.")
        ]

    async def wait_for(self, check, limit_s: float, what: str) -> None:
        """Waits until a plain check holds."""

        async def is_met() -> bool:
            return bool(check())

        await self.until(is_met, limit_s, what)

    async def state(self, entry: str, job: str) -> str:
        """State of a job as an entry tells it; empty if it tells none."""
        status, table = await self.request(entry, "GET", job)
        return table.get("state", "") if status == 200 else ""

    def verdict(self, is_broken: bool, rule: str, why: str) -> int:
        """Writes the verdict and returns the exit code."""
        word = "BROKEN" if is_broken else "held"
        self.log("check", f"{rule} {word}", why=why)
        print(f"{rule} {word}: {why}", flush=True)
        return BROKEN if is_broken else HELD


def run(
    path: str,
    make: Callable[[pathlib.Path], Site],
    play: Callable[[Site], Awaitable[int]],
) -> None:
    """Runs a case and ends the process with its exit code.

    Args:
        path: The script.
        make: Returns the site, which is not started, given the case's folder.
        play: Plays the case and returns the exit code.
    """

    async def main() -> int:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        site = make(pathlib.Path(path).resolve().parent)
        try:
            async with asyncio.timeout(LIMIT_S):
                await site.start()
                return await play(site)
        except (
            sites.Unavailable,
            TimeoutError,
            asyncio.CancelledError,
        ) as error:
            print(f"not run: {error!r}", flush=True)
            return NOT_RUN
        finally:
            await site.close()

    try:
        code = asyncio.run(main())
    except Exception:  # The case itself is at fault.
        traceback.print_exc()
        code = NOT_RUN
    sys.exit(code)
