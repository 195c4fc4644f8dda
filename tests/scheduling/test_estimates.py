"""Tests of learned run times."""

import testtools

from egretthread.scheduling import estimates


class TestRunTimes(testtools.TestCase):
    def test_estimates_that_are_half_the_run_time_are_corrected(self):
        times = estimates.RunTimes()
        for _ in range(50):
            times.update("r", 0.1, 0.2)
        self.assertAlmostEqual(0.4, times.expected_s("r", 0.2), places=2)

    def test_routes_are_corrected_separately(self):
        times = estimates.RunTimes()
        for _ in range(50):
            times.update("r", 0.1, 0.2)
        self.assertEqual(0.2, times.expected_s("other", 0.2))

    def test_a_few_runs_correct_the_estimate_only_in_part(self):
        times = estimates.RunTimes()
        times.update("r", 0.1, 10.0)
        self.assertLess(times.expected_s("r", 0.1), 0.2)

    def test_runs_without_an_estimate_are_ignored(self):
        times = estimates.RunTimes()
        times.update("r", 0.0, 1.0)
        self.assertEqual(0.0, times.expected_s("r", 0.0))
