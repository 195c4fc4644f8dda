"""A cluster with load and an audit, on which fault scenarios run."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import time
from collections.abc import AsyncIterator, Callable

from egretthread import adminclient, apierror, client
from egretthread_standins import children, cluster
from egretthread_standins.cluster import Cluster, Layout, Start, Worker
from egretthread_standins.faults.audit import Audit, CallResult

SEED = 1
LIMIT_S = 40.0
BOTH = ("entry-1", "entry-2")
# A job of this size keeps all slots of a small cluster busy for 1 s to 2 s.
TASKS = 60
RUN_S = (0.2, 0.6)
DEADLINE_S = 30.0
CLOCK_ERROR_S = 0.05
PROBE_DEADLINE_S = 0.5
LOAD_TASKS = 6
LOAD_RUN_S = (0.02, 0.06)
LOAD_PAUSE_S = 0.02
LOAD_CALLERS = 3

SMALL = Layout(
    agents_per_zone=1,
    entry_settings={"suspect_after_s": 2.0, "dead_after_s": 5.0},
)
RELAYED = Layout(
    agents_per_zone=1,
    relayed=True,
    service={"max_task_s": 3.0, "eject_share": 0.4},
)


@dataclasses.dataclass
class Testbed:
    """A cluster with callers, on which scenarios run.

    Attributes:
        cluster: The processes.
        audit: Submits jobs and records the results of all calls.
        rng: Source of the run times and of random faults.
    """

    cluster: Cluster
    audit: Audit
    rng: random.Random

    @contextlib.asynccontextmanager
    async def caller(self, *entries: str) -> AsyncIterator[client.AsyncClient]:
        """Yields a client of the named entries."""
        caller = self.cluster.client(*entries)
        try:
            yield caller
        finally:
            caller.close()

    def make_job(
        self,
        tasks: int = TASKS,
        run_s: tuple[float, float] = RUN_S,
        kind: str = "sleep",
        deadline_s: float = DEADLINE_S,
    ) -> client.Job:
        """Returns a job with random run times."""
        payloads = [
            {"kind": kind, "run_s": round(self.rng.uniform(*run_s), 3)}
            for _ in range(tasks)
        ]
        return client.Job(
            client.new_key(),
            cluster.SERVICE,
            tuple(client.Task(payload) for payload in payloads),
            deadline_s,
        )

    async def starts_of(self, key: str) -> list[Start]:
        """Returns the starts of one job's tasks."""
        return [s for s in await self.cluster.starts() if s.key == key]

    async def wait_starts(self, key: str, count: int) -> None:
        """Waits until a number of tasks of a job have started."""

        async def has_started() -> bool:
            return len(await self.starts_of(key)) >= count

        await wait_for(has_started, f"{count} starts")

    async def wait_start(
        self, wanted: Callable[[Start], bool], what: str
    ) -> Start:
        """Waits for a start that meets a condition and returns it.

        Args:
            wanted: The condition.
            what: Describes the starts in the error of a timeout.
        """
        found = []

        async def has_started() -> bool:
            found[:] = [s for s in await self.cluster.starts() if wanted(s)]
            return bool(found)

        await wait_for(has_started, what)
        return found[0]

    async def submit_through(self, entry: str, job: client.Job) -> CallResult:
        """Submits a job through one entry."""
        async with self.caller(entry) as caller:
            return await self.audit.submit(caller, job)

    async def refusal(self, entry: str) -> str:
        """Returns the kind of an entry's refusal of one small job.

        The job is submitted once, without retries; the kind is empty if the
        job was answered. Its deadline is short, as it would otherwise wait
        long in the queue of an entry that may no longer assign tasks.
        """
        job = self.make_job(1, LOAD_RUN_S, deadline_s=PROBE_DEADLINE_S)
        call = client.Call(time.monotonic() + LIMIT_S)
        async with self.caller(entry) as caller:
            try:
                await caller.attempt(client.submit_request(job), call)
            except apierror.ApiError as error:
                return error.kind
        return ""

    async def wait_refusal(self, entry: str) -> float:
        """Waits until an entry refuses jobs and returns the Unix time."""

        async def refuses() -> bool:
            return await self.refusal(entry) == "unavailable"

        await wait_for(refuses, f"a refusal by {entry}")
        return time.time()

    async def last_start(self, wanted: Callable[[Start], bool]) -> float:
        """Returns the Unix time of the last start that meets a condition."""
        starts = await self.cluster.starts()
        return max((s.at_s for s in starts if wanted(s)), default=0.0)

    async def have_witnesses(self) -> bool:
        """Whether all agents, as witnesses, can answer for new keys."""
        states = [
            await adminclient.fetch_state(worker.agent.addresses["admin"])
            for worker in self.cluster.workers
        ]
        ready_s = [
            shard["ready_from_s"]
            for state in states
            for shard in state["witness"]["shards"].values()
        ]
        if not ready_s or None in ready_s:
            return False
        return max(ready_s) + CLOCK_ERROR_S < time.time()

    async def settle(self) -> None:
        """Waits until all processes are ready and witnesses accept jobs."""
        await self.cluster.wait_ready()
        await wait_for(self.have_witnesses, "witnesses that answer for keys")
        async with self.caller(*BOTH) as caller:
            job = self.make_job(cluster.SLOTS, LOAD_RUN_S)
            await self.audit.submit(caller, job, rekey=True)

    async def kill(self, child: children.Child) -> None:
        """Kills a process and waits until it has exited."""
        await children.kill(child.process)

    async def restart_entry(self, name: str) -> None:
        """Starts the replacement of an entry that has exited."""
        await self.cluster.start_entry(name)

    def worker_of(self, starts: list[Start]) -> Worker:
        """Returns the worker with the most of the given starts."""
        names = [start.worker for start in starts]
        busiest = max(set(names), key=names.count)
        return next(w for w in self.cluster.workers if w.name == busiest)

    @contextlib.asynccontextmanager
    async def load(
        self, *entries: str, callers: int = LOAD_CALLERS
    ) -> AsyncIterator[list[CallResult]]:
        """Submits small jobs in the context and yields the list of results."""
        calls: list[CallResult] = []
        stop = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for _ in range(callers):
                group.create_task(self.submit_load(entries, stop, calls))
            try:
                yield calls
            finally:
                stop.set()

    async def submit_load(
        self,
        entries: tuple[str, ...],
        stop: asyncio.Event,
        calls: list[CallResult],
    ) -> None:
        """Submits small jobs one after the other until `stop` is set."""
        async with self.caller(*entries) as caller:
            while not stop.is_set():
                job = self.make_job(LOAD_TASKS, LOAD_RUN_S)
                calls.append(await self.audit.submit(caller, job, rekey=True))
                await asyncio.sleep(LOAD_PAUSE_S)


async def wait_for(condition, what: str) -> None:
    """Polls until a condition holds, for at most `LIMIT_S`."""
    await cluster.wait_for(condition, LIMIT_S, what)


async def wait_until(at_s: float) -> None:
    """Waits until a Unix time."""
    await asyncio.sleep(max(0.0, at_s - time.time()))


async def start(
    directory: pathlib.Path, layout: Layout, seed: int = SEED
) -> Testbed:
    """Starts a cluster with a layout and returns a settled testbed."""
    running = Cluster(directory, layout)
    try:
        await running.start()
        testbed = Testbed(running, Audit(), random.Random(seed))
        await testbed.settle()
    except BaseException:
        await running.close()
        raise
    return testbed
