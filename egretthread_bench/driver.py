"""Submits a scenario's jobs at their arrival times, in an open loop."""

import asyncio
import dataclasses
import random
import time

from egretthread import apierror, client
from egretthread.outcome import JobAnswer
from egretthread_bench import workload
from egretthread_bench.deployment import Deployment
from egretthread_bench.scenario import Scenario, Tenant


@dataclasses.dataclass(frozen=True)
class Arrival:
    """Arrival of one job.

    Attributes:
        at_s: Time of the arrival, from the start of the load.
        organisation: Organisation that submits the job.
        run_s: Run time of each task.
    """

    at_s: float
    organisation: str
    run_s: tuple[float, ...]


@dataclasses.dataclass
class Submitted:
    """A submitted job and its result.

    Attributes:
        arrival: Arrival of the job.
        key: Key of the job; the newest if it was submitted with new keys.
        response_s: Response time; 0 while there is no result.
        answer: The answer, or None.
        error: Kind of the error that was raised instead, or empty.
        cancelled: Whether the caller cancelled the job.
    """

    arrival: Arrival
    key: str
    response_s: float = 0.0
    answer: JobAnswer | None = None
    error: str = ""
    cancelled: bool = False

    @property
    def is_open(self) -> bool:
        """Whether there is neither an answer nor an error yet."""
        return self.answer is None and not self.error


def arrivals(scenario: Scenario) -> list[Arrival]:
    """Returns a scenario's jobs in the order of their arrival.

    Each organisation has a random generator of its own, so that its arrivals
    do not depend on the load of the others.
    """
    jobs: list[Arrival] = []
    for tenant in scenario.tenants:
        jobs.extend(_tenant_arrivals(scenario, tenant))
    return sorted(jobs, key=lambda arrival: arrival.at_s)


def _tenant_arrivals(scenario: Scenario, tenant: Tenant) -> list[Arrival]:
    rng = random.Random(f"{scenario.seed}/{tenant.name}")
    slots = scenario.site.total_slots
    mean_tasks = (1 + tenant.max_tasks) / 2
    rate_per_s = tenant.load * slots / (mean_tasks * workload.mean_run_s())
    end_s = tenant.until_s or scenario.duration_s
    at_s = tenant.from_s + rng.expovariate(rate_per_s)
    jobs = []
    while at_s < end_s:
        tasks = rng.randint(1, tenant.max_tasks)
        run_s = tuple(round(workload.draw_run_s(rng), 4) for _ in range(tasks))
        jobs.append(Arrival(at_s, tenant.name, run_s))
        at_s += rng.expovariate(rate_per_s)
    return jobs


class Driver:
    """Submits the arrivals of a scenario and records their results.

    Attributes:
        scenario: The scenario.
        deployment: The processes.
        submitted: All jobs submitted so far.
        began_s: Monotonic time at which the load began; 0 before.
        began_unix_s: Unix time at which the load began.
        callers: Client of each organisation.
    """

    def __init__(self, scenario: Scenario, deployment: Deployment):
        self.scenario = scenario
        self.deployment = deployment
        self.submitted: list[Submitted] = []
        self.began_s = 0.0
        self.began_unix_s = 0.0
        self.callers: dict[str, client.AsyncClient] = {}

    async def run(self) -> None:
        """Submits every arrival at its time and waits for all answers."""
        for name in self.scenario.site.organisations:
            self.callers[name] = self.deployment.client(name)
        self.began_s = time.monotonic()
        self.began_unix_s = time.time()
        pending = []
        for arrival in arrivals(self.scenario):
            due_s = self.began_s + arrival.at_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            pending.append(asyncio.create_task(self.submit(arrival)))
        await asyncio.gather(*pending)
        for caller in self.callers.values():
            caller.close()

    async def submit(self, arrival: Arrival) -> None:
        """Submits one job and records its result."""
        tasks = tuple(client.Task({"run_s": run_s}) for run_s in arrival.run_s)
        job = client.Job(
            client.new_key(),
            self.scenario.site.service,
            tasks,
            self.scenario.deadline_s,
        )
        record = Submitted(arrival, job.key)
        self.submitted.append(record)
        begun_s = time.monotonic()
        caller = self.callers[arrival.organisation]
        try:
            answer = await caller.submit(job, rekey=True)
        except apierror.ApiError as error:
            record.error = error.kind
        else:
            record.answer = answer
            record.key = answer.key
        record.response_s = time.monotonic() - begun_s

    async def cancel(self, share: float) -> int:
        """Cancels a share of the open jobs and returns their number."""
        open_jobs = [job for job in self.submitted if job.is_open]
        chosen = open_jobs[: round(share * len(open_jobs))]
        await asyncio.gather(*(self._cancel(job) for job in chosen))
        return len(chosen)

    async def _cancel(self, job: Submitted) -> None:
        job.cancelled = True
        try:
            await self.callers[job.arrival.organisation].cancel(job.key)
        except apierror.ApiError as error:
            job.error = job.error or f"cancel_{error.kind}"
