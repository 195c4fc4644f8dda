"""The bound: one queue that knows every slot, without messages."""

import heapq

from egretthread import fairqueue
from egretthread_bench.experiment import Experiment
from egretthread_bench.workload import Arrival


def responses_s(
    experiment: Experiment, jobs: list[Arrival]
) -> dict[tuple, float]:
    """Returns the response time of each job, without any message delay.

    A freed slot takes the next task of the same fair queue at once.
    """
    weights = {tenant.name: tenant.weight for tenant in experiment.tenants}
    queue = fairqueue.FairQueue(experiment.bound_patience_s)
    slots = [0.0] * (experiment.agents * experiment.slots)
    by_job = {arrival.job: arrival for arrival in jobs}
    ends_s = dict.fromkeys(by_job, 0.0)
    coming = iter(jobs)
    arrival = next(coming, None)
    while arrival is not None or len(queue):
        free_s = slots[0]
        if arrival is not None and (not len(queue) or arrival.at_s <= free_s):
            job = arrival.job
            name = job.organisation
            tasks = range(len(arrival.run_s))
            queue.push(name, weights[name], job, tasks, arrival.at_s)
            arrival = next(coming, None)
            continue
        job, index = queue.pop()
        start_s = max(free_s, by_job[job].at_s)
        end_s = start_s + by_job[job].run_s[index]
        heapq.heapreplace(slots, end_s)
        ends_s[job] = max(ends_s[job], end_s)
    return {job: end_s - by_job[job].at_s for job, end_s in ends_s.items()}
