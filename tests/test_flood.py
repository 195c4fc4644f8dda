"""Tests that one organisation's flood stays its own, over two entries."""

import dataclasses

import testtools

from egretthread import quota, witness
from egretthread.submission import Refusal
from tests import world

SETTLE_S = 5.0 + witness.SETTLE_S
ENTRIES = ("e1", "e2")
FLOOD_S = 20.0


def settled(seed, **flooder):
    """Returns a world whose first organisation has other quotas."""
    base = world.CONFIGURATION
    first = dataclasses.replace(base.organisations[0], **flooder)
    second = dataclasses.replace(
        base.organisations[1], during_log_outage="continue"
    )
    changed = dataclasses.replace(base, organisations=(first, second))
    region = world.World(seed, 2, configuration=changed, faults=False)
    region.run(SETTLE_S)
    return region


class Caller:
    """Submits jobs of one organisation again and again, whatever comes.

    Attributes:
        region: The world.
        organisation: Whose jobs they are.
        tasks: Tasks of each job.
        period_s: Time between two jobs of one entry.
        requests: What was submitted.
    """

    def __init__(self, region, organisation, tasks, period_s):
        self.region = region
        self.organisation = organisation
        self.tasks = tasks
        self.period_s = period_s
        self.requests = []

    def run(self, duration_s):
        """Submits for a while, from now on."""
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
        """Returns how long the slowest of another's small jobs took."""
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
        taken_s = {}
        for _ in range(1000):
            region.run(0.02)
            for request in small.requests:
                if request.result:
                    took_s = region.now_s - request.sent_s
                    taken_s.setdefault(request.submission.job, took_s)
        self.assertEqual(len(small.requests), len(taken_s))
        self.assertTrue(all(r.result.complete for r in small.requests))
        return max(taken_s.values())

    def test_small_jobs_of_another_organisation_are_not_starved(self):
        alone_s = self.response_s(flooded=False)
        flooded_s = self.response_s(flooded=True)
        # They wait for the next slots, not for the flood: its queue alone
        # is worth 8 s at the 20 tasks a second that the slots give.
        self.assertTrue(flooded_s <= alone_s + 1.0)

    def test_starts_per_s_bounds_the_flood_over_all_entries(self):
        rate = 30.0
        region = settled(22, starts_per_s=rate)
        flood = Caller(region, "dublin", 5, 0.05)
        flood.run(FLOOD_S)
        region.run(FLOOD_S)
        admitted = 5 * len(flood.admitted())
        # Stated in quota: floors, bursts, a job of debt each, and a round
        # of gossip within which views differ.
        whole = rate * (1.0 + 1.0 / quota.FLOOR_DIVISOR)
        bound = whole * (FLOOD_S + quota.BURST_S) + 2 * 5 + rate
        self.assertTrue(0.8 * rate * FLOOD_S <= admitted <= bound)

    def test_max_running_bounds_what_waits_at_each_entry(self):
        region = settled(23, max_running=50)
        flood = Caller(region, "dublin", 20, 0.05)
        flood.run(5.0)
        most = 0
        for _ in range(100):
            region.run(0.05)
            open_jobs = [
                len(state.submission.tasks)
                for name in ENTRIES
                for state in region.processes[name].board.open_jobs.values()
                if state.answer is None
            ]
            most = max(most, sum(open_jobs))
        self.assertEqual(2 * 40, most)
        results = [request.result for request in flood.requests]
        refused = [item for item in results if isinstance(item, Refusal)]
        self.assertTrue(len(refused) > 100)
        self.assertEqual({"quota_exceeded"}, {r.kind for r in refused})
