"""Tests of run time statistics and deadline estimates."""

import random

import testtools

from egretthread import runtimes


class RunTimesTest(testtools.TestCase):
    def test_learns_mean_and_quantile(self):
        rng = random.Random(3)
        run_times = runtimes.RunTimes()
        for _ in range(5000):
            run_times.add(rng.uniform(0.1, 0.5))
        self.assertTrue(0.25 < run_times.mean_s < 0.35)
        median_s = run_times.quantile_s(0.5)
        self.assertTrue(0.3 / 1.25 < median_s < 0.3 * 1.25)

    def test_follows_a_change(self):
        run_times = runtimes.RunTimes()
        for run_s in [0.1] * 3000 + [1.0] * 300:
            run_times.add(run_s)
        self.assertTrue(run_times.mean_s > 0.9)

    def test_wait_grows_with_the_backlog(self):
        self.assertEqual(0.0, runtimes.expected_wait_s(-5, 88, 0.44))
        self.assertEqual(2.0, runtimes.expected_wait_s(40, 10, 0.5))
        no_slots_s = runtimes.expected_wait_s(0, 0, 0.5)
        self.assertEqual(float("inf"), no_slots_s)

    def test_jobs_that_cannot_meet_their_deadline_are_recognised(self):
        run_times = runtimes.RunTimes()
        run_times.add(0.5)
        busy = runtimes.Backlog(queued=100, slots=10)
        idle = runtimes.Backlog(queued=0, slots=10, idle=10)
        self.assertFalse(runtimes.may_meet_deadline(10, 3.0, busy, run_times))
        self.assertTrue(runtimes.may_meet_deadline(10, 3.0, idle, run_times))
