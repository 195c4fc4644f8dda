"""Lower bound of response times: one central queue over all slots."""

import heapq
from collections.abc import Sequence

from egretthread import fairqueue
from egretthread.jobkey import JobRef
from egretthread_bench.driver import Arrival


def responses_s(arrivals: Sequence[Arrival], slots: int) -> list[float]:
    """Returns the response time of each job without message delays.

    A freed slot immediately takes the next task of a fair queue. All slots
    are always available, whatever faults the scenario has.

    Args:
        arrivals: The jobs in the order of their arrival.
        slots: Number of slots of all agents.
    """
    queue = fairqueue.FairQueue()
    free_s = [0.0] * slots
    ends_s = [arrival.at_s for arrival in arrivals]
    next_arrival = 0
    while next_arrival < len(arrivals) or len(queue):
        at_s = (
            arrivals[next_arrival].at_s
            if next_arrival < len(arrivals)
            else None
        )
        if at_s is not None and (not len(queue) or at_s <= free_s[0]):
            job = JobRef(arrivals[next_arrival].organisation, str(next_arrival))
            tasks = range(len(arrivals[next_arrival].run_s))
            queue.push(job.organisation, 1.0, job, tasks, at_s)
            next_arrival += 1
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
