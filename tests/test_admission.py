"""Tests of admission control, with the engines in a simulated region."""

import collections
import dataclasses
import functools

import testtools

from egretthread import witness
from egretthread.submission import Refusal
from tests import world

SETTLE_S = 5.0 + witness.SETTLE_S


def settled(seed, entries=2, **limits):
    """Returns a started region whose service has the given limits."""
    base = world.CONFIGURATION
    services = tuple(
        dataclasses.replace(service, **limits) for service in base.services
    )
    changed = dataclasses.replace(base, services=services)
    region = world.World(
        seed, entries=entries, configuration=changed, faults=False
    )
    region.run(SETTLE_S)
    return region


def fill(region, entry, jobs, organisation="dublin"):
    """Submits jobs of 20 tasks through an entry and returns the requests."""
    made = [
        region.new_submission(f"fill-{entry}-{n}", 20, organisation, 30.0)
        for n in range(jobs)
    ]
    return [region.submit(entry, job) for job in made]


class DeadlineTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.region = settled(1)
        fill(self.region, "e1", 10)
        board = self.region.processes["e1"].board
        times = board.run_times
        learned = self.region.run_until(
            lambda: times and times[world.SERVICE].count >= 40, 20.0
        )
        self.assertTrue(learned)

    def submit(self, name, deadline_s, entry="e1"):
        job = self.region.new_submission(name, 12, deadline_s=deadline_s)
        return self.region.submit(entry, job)

    def test_short_deadline_is_refused_at_once_and_long_one_is_accepted(self):
        urgent = self.submit("hopeless", 0.7)
        relaxed = self.submit("patient", 29.0)
        self.assertEqual("overloaded", urgent.result.kind)
        self.assertFalse(urgent.result.started)
        self.assertTrue(0.1 <= urgent.result.retry_after_s <= 30.0)
        self.region.run_until(lambda: relaxed.result, 30.0)
        self.assertTrue(relaxed.result.complete)

    def test_entry_without_a_queue_accepts_any_job(self):
        request = self.submit("elsewhere", 0.7, "e2")
        self.region.run_until(lambda: request.result, 2.0)
        self.assertNotIsInstance(request.result, Refusal)

    def test_resubmission_joins_a_job_elsewhere_despite_overload(self):
        job = self.region.new_submission("twice", 12)
        first = self.region.submit("e2", job)
        self.region.run(1.0)
        again = dataclasses.replace(job, deadline_s=0.7)
        second = self.region.submit("e1", again)
        self.assertIsNone(second.result)
        unknown = self.region.new_submission("late", 12, deadline_s=0.7)
        self.region.run(0.6)
        late = self.region.submit("e1", unknown)
        self.region.run_until(
            lambda: first.result and second.result and late.result, 20.0
        )
        self.assertEqual("overloaded", late.result.kind)
        # The second request gets the first one's answer or, at its own
        # deadline, a refusal.
        kind = getattr(second.result, "kind", "")
        self.assertIn(kind, ("", "deadline_exceeded"))


class OverloadTest(testtools.TestCase):
    def submit_twice_the_capacity(self, seed):
        """Returns the results of a minute of jobs of ten tasks each."""
        region = settled(seed)
        requests = []

        def submit(number):
            job = region.new_submission(f"j{number}", 10, deadline_s=5.0)
            entry = region.entry_names[number % 2]
            requests.append(region.submit(entry, job))

        # 12 slots and a mean run time of 0.59 s serve 20 tasks per second.
        for number in range(240):
            region.at(number * 0.25, functools.partial(submit, number))
        region.run(70.0)
        return [request.result for request in requests]

    def test_twice_the_capacity_still_completes_whole_jobs(self):
        kinds = collections.Counter()
        for seed in (31, 32, 33):
            for result in self.submit_twice_the_capacity(seed):
                complete = getattr(result, "complete", False)
                kinds[getattr(result, "kind", complete)] += 1
        self.assertEqual({"overloaded", True, False}, set(kinds))
        self.assertTrue(kinds[True] >= 330)
        self.assertTrue(kinds[False] <= 0.1 * kinds[True])


class CancelTest(testtools.TestCase):
    def test_cancelling_before_the_coordinator_is_found_reaches_it(self):
        region = settled(3)
        fill(region, "e1", 10)
        region.run(0.1)
        job = region.new_submission("cancelled", 40, deadline_s=29.0)
        first = region.submit("e1", job)
        region.run(0.1)
        second = region.submit("e2", job)
        region.cancel("e2", job.job)
        region.run(5.0)
        self.assertIsNotNone(first.result)
        self.assertEqual(first.result, second.result)
        self.assertFalse(first.result.complete)


class BoundTest(testtools.TestCase):
    def test_queue_is_bounded_and_other_organisations_are_accepted(self):
        region = settled(2, max_queued_tasks=100)
        flood = []
        for n in range(20):
            job = region.new_submission(f"flood-{n}", 20, deadline_s=30.0)
            flood.append(region.submit("e1", job))
            # A job counts as queued once its key is registered.
            region.run(0.02)
        board = region.processes["e1"].board
        self.assertTrue(len(board.queues[world.SERVICE]) <= 100)
        refused = [r.result for r in flood if r.result]
        self.assertEqual(
            {"overloaded"}, {r.kind for r in refused if isinstance(r, Refusal)}
        )
        self.assertTrue(len(refused) >= 10)
        (other_request,) = fill(region, "e1", 1, "varna")
        region.run(0.05)
        self.assertIsNone(other_request.result)
