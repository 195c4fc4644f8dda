"""Arrivals of jobs in an open loop, generated from a seed."""

import dataclasses
import random

from egretthread import jobkey
from egretthread_bench.experiment import Experiment, Tenant

# Shortest and longest run time of short tasks, in seconds.
SHORT_RUN_S = (0.05, 1.0)
# Shortest and longest run time of long tasks, in seconds.
LONG_RUN_S = (3.0, 5.0)
# Share of the tasks that are long.
LONG_SHARE = 0.02
# Parameters of the beta distribution of short tasks; its mean is 1/3 of the
# range.
BETA = (1.0, 2.0)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """Arrival of one job.

    Attributes:
        at_s: Time of the arrival at the entry.
        entry: Number of the entry.
        job: Organisation and key of the job.
        run_s: Run time of each task.
    """

    at_s: float
    entry: int
    job: jobkey.JobRef
    run_s: tuple[float, ...]

    @property
    def organisation(self) -> str:
        """Name of the organisation that submits the job."""
        return self.job.organisation


def mean_run_s() -> float:
    """Returns the mean run time of a task, in seconds."""
    low_s, high_s = SHORT_RUN_S
    beta_mean = BETA[0] / sum(BETA)
    short_s = low_s + (high_s - low_s) * beta_mean
    return (1 - LONG_SHARE) * short_s + LONG_SHARE * sum(LONG_RUN_S) / 2


def draw_run_s(rng: random.Random) -> float:
    """Returns the run time of one task, in seconds."""
    if rng.random() < LONG_SHARE:
        return rng.uniform(*LONG_RUN_S)
    low_s, high_s = SHORT_RUN_S
    return low_s + (high_s - low_s) * rng.betavariate(*BETA)


def arrivals(experiment: Experiment, load: float) -> list[Arrival]:
    """Returns the jobs of all organisations in the order of their arrival.

    Each organisation has a random generator of its own, so that its arrivals
    do not depend on the load of the others.
    """
    duration_s = experiment.jobs / _jobs_per_s(experiment, load)
    jobs: list[Arrival] = []
    for tenant in experiment.tenants:
        submitted_load = tenant.flood * tenant_load(experiment, tenant, load)
        jobs.extend(
            _tenant_arrivals(experiment, tenant, submitted_load, duration_s)
        )
    return sorted(jobs, key=lambda arrival: arrival.at_s)


def tenant_load(experiment: Experiment, tenant: Tenant, load: float) -> float:
    """Returns an organisation's share of the load, without its flood."""
    total = sum(tenant.share for tenant in experiment.tenants)
    return load * tenant.share / total


def starts_per_s(experiment: Experiment, load: float) -> float:
    """Returns the task starts per second of a load."""
    return load * experiment.agents * experiment.slots / mean_run_s()


def _jobs_per_s(experiment: Experiment, load: float) -> float:
    mean_tasks = (experiment.min_tasks + experiment.max_tasks) / 2
    return starts_per_s(experiment, load) / mean_tasks


def _tenant_arrivals(
    experiment: Experiment, tenant: Tenant, load: float, duration_s: float
) -> list[Arrival]:
    rng = random.Random(f"{experiment.seed}/{tenant.name}")
    rate_per_s = _jobs_per_s(experiment, load)
    jobs = []
    at_s = rng.expovariate(rate_per_s)
    while at_s < duration_s:
        key = jobkey.make_key(at_s, f"job{len(jobs)}")
        tasks = rng.randint(experiment.min_tasks, experiment.max_tasks)
        jobs.append(
            Arrival(
                at_s=at_s,
                entry=rng.randrange(experiment.entries),
                job=jobkey.JobRef(tenant.name, key),
                run_s=tuple(draw_run_s(rng) for _ in range(tasks)),
            )
        )
        at_s += rng.expovariate(rate_per_s)
    return jobs
