"""The bound of a scenario: one queue that knows every slot."""

import heapq
from collections.abc import Sequence

from egretthread import fairqueue
from egretthread.jobkey import JobRef
from egretthread_bench.driver import Arrival


def responses_s(arrivals: Sequence[Arrival], slots: int) -> list[float]:
    """Returns each job's response time without any message delay.

    A freed slot takes the next task of a fair queue at once. No slot is
    ever lost, whatever the scenario does to its zones and workers.

    Args:
        arrivals: The jobs in the order they arrive.
        slots: Slots of all agents.
    """
    queue = fairqueue.FairQueue()
    free_s = [0.0] * slots
    ends_s = [arrival.at_s for arrival in arrivals]
    coming = 0
    while coming < len(arrivals) or len(queue):
        at_s = arrivals[coming].at_s if coming < len(arrivals) else None
        if at_s is not None and (not len(queue) or at_s <= free_s[0]):
            job = JobRef(arrivals[coming].organisation, str(coming))
            tasks = range(len(arrivals[coming].run_s))
            queue.push(job.organisation, 1.0, job, tasks, at_s)
            coming += 1
            continue
        job, index = queue.pop()
        number = int(job.key)
        arrival = arrivals[number]
        end_s = max(free_s[0], arrival.at_s) + arrival.run_s[index]
        heapq.heapreplace(free_s, end_s)
        ends_s[number] = max(ends_s[number], end_s)
    return [
        end_s - arrival.at_s
        for end_s, arrival in zip(ends_s, arrivals, strict=True)
    ]
