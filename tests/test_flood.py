"""Tests that one organisation's flood does not delay others, at two entries."""

import dataclasses

import testtools

from egretthread import quota, witness
from egretthread.submission import Refusal
from tests import world

SETTLE_S = 5.0 + witness.SETTLE_S
ENTRIES = ("e1", "e2")
FLOOD_S = 20.0


def settled(seed, **quotas):
    """Returns a simulated region whose first organisation has quotas."""
    base = world.CONFIGURATION
    first = dataclasses.replace(base.organisations[0], **quotas)
    second = dataclasses.replace(
        base.organisations[1], during_log_outage="continue"
    )
    changed = dataclasses.replace(base, organisations=(first, second))
    region = world.World(seed, 2, configuration=changed, faults=False)
    region.run(SETTLE_S)
    return region


class Caller:
    """Submits jobs of one organisation periodically, in an open loop.

    Attributes:
        region: The simulated region.
        organisation: Name of the organisation.
        tasks: Tasks of each job.
        period_s: Time between two jobs at one entry.
        requests: All requests so far.
    """

    def __init__(self, region, organisation, tasks, period_s):
        self.region = region
        self.organisation = organisation
        self.tasks = tasks
        self.period_s = period_s
        self.requests = []

    def run(self, duration_s):
        """Schedules the submissions of a period that begins now."""
        for n in range(int(duration_s / self.period_s)):
            self.region.at(n * self.period_s, lambda n=n: self.submit(n))

    def submit(self, number):
        for entry in ENTRIES:
            job = self.region.new_submission(
                f"{self.organisation}-{entry}-{number}",
                self.tasks,
                self.organisation,
                29.0,
            )
            self.requests.append(self.region.submit(entry, job))

    def admitted(self):
        """Returns the requests that were not refused."""
        return [r for r in self.requests if not isinstance(r.result, Refusal)]


class FloodTest(testtools.TestCase):
    def response_s(self, flooded):
        """Returns the longest response time of another's small jobs."""
        region = settled(21)
        flood = Caller(region, "dublin", 20, 0.5)
        small = Caller(region, "varna", 2, 0.5)
        if flooded:
            flood.run(FLOOD_S)
            region.run(5.0)
            for name in ENTRIES:
                queue = region.processes[name].board.queues[world.SERVICE]
                self.assertTrue(len(queue) > 80)
        small.run(10.0)
        responses_s = {}
        for _ in range(1000):
            region.run(0.02)
            for request in small.requests:
                if request.result:
                    response_s = region.now_s - request.sent_s
                    responses_s.setdefault(request.submission.job, response_s)
        self.assertEqual(len(small.requests), len(responses_s))
        self.assertTrue(all(r.result.complete for r in small.requests))
        return max(responses_s.values())

    def test_small_jobs_of_another_organisation_are_not_starved(self):
        baseline_s = self.response_s(flooded=False)
        flooded_s = self.response_s(flooded=True)
        # The small jobs wait for the next free slots and not for the queue
        # of the flood, which takes 8 s at the slots' 20 tasks per second.
        self.assertTrue(flooded_s <= baseline_s + 1.0)

    def test_starts_per_s_bounds_the_flood_over_all_entries(self):
        rate = 30.0
        region = settled(22, starts_per_s=rate)
        flood = Caller(region, "dublin", 5, 0.05)
        flood.run(FLOOD_S)
        region.run(FLOOD_S)
        admitted = 5 * len(flood.admitted())
        # The module quota allows floors, bursts, one job of debt at each
        # entry, and 1 s of starts for the time in which the entries' views
        # of the demand differ.
        total_rate = rate * (1.0 + 1.0 / quota.FLOOR_DIVISOR)
        bound = total_rate * (FLOOD_S + quota.BURST_S) + 2 * 5 + rate
        self.assertTrue(0.8 * rate * FLOOD_S <= admitted <= bound)

    def test_max_running_bounds_what_waits_at_each_entry(self):
        region = settled(23, max_running=50)
        flood = Caller(region, "dublin", 20, 0.05)
        flood.run(5.0)
        max_open = 0
        for _ in range(100):
            region.run(0.05)
            open_tasks = [
                len(state.submission.tasks)
                for name in ENTRIES
                for state in region.processes[name].board.open_jobs.values()
                if state.answer is None
            ]
            max_open = max(max_open, sum(open_tasks))
        self.assertEqual(2 * 40, max_open)
        results = [request.result for request in flood.requests]
        refusals = [result for result in results if isinstance(result, Refusal)]
        self.assertTrue(len(refusals) > 100)
        self.assertEqual(
            {"quota_exceeded"}, {refusal.kind for refusal in refusals}
        )
