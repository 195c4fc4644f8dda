"""Tests of learned run times."""

import testtools

from egretthread.scheduling import estimates


class TestRunTimes(testtools.TestCase):
    def test_estimates_that_are_half_the_run_time_are_corrected(self):
        times = estimates.RunTimes()
        for _ in range(50):
            times.note("r", 0.1, 0.2)
        self.assertAlmostEqual(0.4, times.expected_s("r", 0.2), places=2)

    def test_a_route_does_not_learn_from_another(self):
        times = estimates.RunTimes()
        for _ in range(50):
            times.note("r", 0.1, 0.2)
        self.assertEqual(0.2, times.expected_s("other", 0.2))

    def test_a_few_runs_are_not_trusted_in_full(self):
        times = estimates.RunTimes()
        times.note("r", 0.1, 10.0)
        self.assertLess(times.expected_s("r", 0.1), 0.2)

    def test_runs_without_an_estimate_teach_nothing(self):
        times = estimates.RunTimes()
        times.note("r", 0.0, 1.0)
        self.assertEqual(0.0, times.expected_s("r", 0.0))
