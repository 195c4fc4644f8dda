"""Load patterns for simulated regions, and what their callers got."""

import dataclasses
import random

from egretthread.scheduling.entryboard import Outcome
from egretthread.scheduling.jobspec import JobSpec, Route, StepSpec
from egretthread.scheduling.room import Room
from tests.scheduling import region


@dataclasses.dataclass(frozen=True)
class Result:
    """Outcome of one job as its caller saw it.

    Attributes:
        submitted_s: When it was submitted.
        outcome: Its outcome.
        took_s: Time from its submission to its answer.
    """

    submitted_s: float
    outcome: Outcome
    took_s: float


class Load:
    """Submits jobs of one kind at a constant rate, each to the next entry.

    Attributes:
        world: The simulated region.
        offered: Number of submissions scheduled so far.
        submitted_s: When each job was submitted, by its id.
    """

    def __init__(self, world):
        self.world = world
        self.offered = 0
        self.submitted_s = {}

    def offer(self, rate, seconds, spec, max_wait_s=1.5, entries=None):
        """Schedules submissions for a number of seconds from now.

        Args:
            rate: Jobs per second.
            seconds: For how long.
            spec: Returns a job for an id.
            max_wait_s: How long each caller waits.
            entries: Names of the entries that get the jobs; None for all.
        """
        entries = entries or sorted(self.world.entries)
        for number in range(int(rate * seconds)):
            self.offered += 1
            name = f"job-{self.offered}"
            after_s = number / rate
            entry = entries[number % len(entries)]
            self.world.at(after_s, self._submit, name, spec, entry, max_wait_s)

    def _submit(self, name, spec, entry, max_wait_s):
        self.submitted_s[name] = self.world.now_s
        self.world.submit(spec(name), entry, max_wait_s)

    def results(self):
        """Returns the results of the answered jobs."""
        return [
            Result(
                self.submitted_s[job],
                outcome,
                answered_s - self.submitted_s[job],
            )
            for job, outcome, answered_s in self.world.answers
            if job in self.submitted_s
        ]


def lookup(name):
    """Returns a short job of four tasks."""
    return region.job(name, count=4, cpu=1000, estimated_s=0.1)


def capacity_rate(world):
    """Returns how many such jobs per second all backend servers can run."""
    total_cpu = sum(server.capacity.cpu for server in world.servers.values())
    return total_cpu / 1000 / (4 * 0.1)


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of job in a mix.

    Attributes:
        route: Its route.
        rate: Jobs per second and backend server.
        tasks: Tasks in a job.
        work_s: Mean run time of a task at speed 1.
    """

    route: Route
    rate: float
    tasks: int
    work_s: float


# The mix of a reconciliation office: per second and backend server as many
# jobs as on its largest deployment.
OFFICE = (
    Kind(dataclasses.replace(region.ROUTE, priority=0), 0.96, 8, 0.12),
    Kind(dataclasses.replace(region.LONG_ROUTE, priority=2), 0.176, 4, 1.8),
    Kind(
        Route("balances", "h", "/b/", "match", 1, 3, 1.5, 1.6, 0.06),
        2.8,
        2,
        0.4,
    ),
)


class Mix:
    """Offers a mix of jobs with random arrivals, run times and estimates.

    Attributes:
        world: The simulated region.
        kinds: The kinds of jobs.
        task_cpu: CPU of a task, in thousandths of a core.
        rng: Source of the random choices.
        work_s: Run time of a job's tasks at speed 1, by its id.
        jobs: Kind and time of submission of each job, by its id.
    """

    def __init__(self, kinds=OFFICE, task_cpu=5000, seed=1):
        self.kinds = kinds
        self.task_cpu = task_cpu
        self.rng = random.Random(seed)
        self.world = None
        self.work_s = {}
        self.jobs = {}

    def run_time_s(self, name):
        """Returns the run time of a task at speed 1."""
        return self.work_s[name.job] * self.rng.uniform(0.85, 1.15)

    def offer(self, seconds, factor=1.0):
        """Schedules submissions for a number of seconds from now.

        Args:
            seconds: For how long.
            factor: Factor on the rates.
        """
        for kind in self.kinds:
            rate = kind.rate * len(self.world.servers) * factor
            after_s = self.rng.expovariate(rate)
            while after_s < seconds:
                self.world.at(after_s, self._submit, kind)
                after_s += self.rng.expovariate(rate)

    def _submit(self, kind):
        name = f"job-{len(self.jobs)}"
        work_s = kind.work_s * self.rng.lognormvariate(-0.08, 0.4)
        self.work_s[name] = work_s
        self.jobs[name] = (kind, self.world.now_s)
        estimated_s = work_s * self.rng.lognormvariate(0.0, 0.3)
        count = max(1, round(self.rng.gauss(kind.tasks, 0.3 * kind.tasks)))
        cpu = int(self.task_cpu * self.rng.uniform(0.8, 1.2))
        step = StepSpec(count, Room(cpu, 64, 0), estimated_s)
        spec = JobSpec(name, "payload", (step,))
        self.world.submit(spec, None, 10 * work_s + 1.5, kind.route)

    def late_share(self, kind):
        """Returns the share of a kind's jobs that were not in time."""
        in_time = total = 0
        answered = {answer[0]: answer for answer in self.world.answers}
        for name, (job_kind, submitted_s) in self.jobs.items():
            if job_kind is not kind:
                continue
            total += 1
            objective_s = 1.6 * self.work_s[name] + 0.06
            answer = answered.get(name)
            in_time += (
                answer is not None
                and answer[1] is Outcome.COMPLETED
                and answer[2] - submitted_s <= objective_s
            )
        return 1 - in_time / max(1, total)


def office_world(entries, agents, seed=1, **changes):
    """Returns a region with servers of unequal speed, and a mix for it."""
    mix = Mix(seed=seed)
    world = region.Region(
        entries=entries,
        agents=agents,
        cpu=32_000,
        seed=seed,
        work_s=mix.run_time_s,
        zones="vwxyz",
        is_partly_linked=True,
        **changes,
    )
    for number, server in enumerate(world.servers.values()):
        server.speed = (0.8, 1.0, 1.25)[number % 3]
    mix.world = world
    return world, mix


def counter_sum(processes, name):
    """Returns the sum of a counter over processes."""
    return sum(process.board.counters[name] for process in processes.values())
