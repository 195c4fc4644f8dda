"""Tests of admission control, each for one load pattern."""

import testtools

from egretthread.scheduling import admission

USABLE_CPU = 400_000


def load(
    ahead_cpu_s=0.0,
    dispatch_rate=100_000,
    waiting_cpu_s=None,
    surplus_rate=0.0,
    usable_cpu=USABLE_CPU,
):
    waiting_cpu_s = ahead_cpu_s if waiting_cpu_s is None else waiting_cpu_s
    return admission.Load(
        usable_cpu, ahead_cpu_s, dispatch_rate, waiting_cpu_s, surplus_rate
    )


class TestAdmission(testtools.TestCase):
    def test_under_low_load_every_job_is_accepted(self):
        self.assertFalse(admission.must_refuse(load(), 0.1, 0.1, 2.0))

    def test_a_short_burst_is_accepted_while_the_wait_fits_the_slack(self):
        short = load(ahead_cpu_s=3_000)
        self.assertEqual(0.03, admission.expected_wait_s(short, 0.13))
        self.assertFalse(admission.must_refuse(short, 0.13, 0.12, 2.0))

    def test_in_a_long_burst_jobs_that_would_be_late_are_refused(self):
        """More work arrives than is dispatched, so there is no surplus."""
        burst = load(ahead_cpu_s=50_000, surplus_rate=-30_000)
        self.assertTrue(admission.must_refuse(burst, 0.13, 0.12, 2.0))

    def test_after_a_burst_late_jobs_get_the_surplus_capacity(self):
        after = load(ahead_cpu_s=50_000, surplus_rate=60_000)
        self.assertFalse(admission.must_refuse(after, 0.13, 0.12, 2.0))

    def test_a_long_job_may_wait_longer_than_a_short_one(self):
        busy = load(ahead_cpu_s=30_000, surplus_rate=-10_000)
        self.assertTrue(admission.must_refuse(busy, 0.13, 0.12, 2.0))
        self.assertFalse(admission.must_refuse(busy, 1.1, 1.8, 9.0))

    def test_an_entry_that_has_just_started_accepts_every_job(self):
        """Agents that start at the same time connect shortly after it."""
        starting = admission.Load(0, 0.0, 0.0, 0.0, 0.0, is_starting=True)
        self.assertFalse(admission.must_refuse(starting, 0.1, 0.1, 2.0))

    def test_without_a_backend_server_the_wait_is_infinite(self):
        no_server = load(ahead_cpu_s=1.0, usable_cpu=0)
        self.assertEqual(
            float("inf"), admission.expected_wait_s(no_server, 1.0)
        )

    def test_a_rate_measured_in_an_outage_does_not_refuse_every_job(self):
        recovered = load(ahead_cpu_s=4_000, dispatch_rate=0)
        self.assertFalse(admission.must_refuse(recovered, 0.5, 0.12, 2.0))

    def test_retry_after_is_the_time_to_work_off_the_excess(self):
        burst = load(ahead_cpu_s=80_000, surplus_rate=40_000)
        self.assertAlmostEqual(
            1.9, admission.retry_after_s(burst, 0.1), places=2
        )

    def test_retry_after_is_bounded(self):
        self.assertEqual(
            admission.MIN_RETRY_S, admission.retry_after_s(load(), 0.1)
        )
        worst = load(ahead_cpu_s=1e9, surplus_rate=-1.0)
        self.assertEqual(
            admission.MAX_RETRY_S, admission.retry_after_s(worst, 0.1)
        )
