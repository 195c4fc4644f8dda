"""Tests of the health and speed of a backend server."""

import testtools

from egretthread.scheduling import serverhealth


def health_after(*results):
    health = serverhealth.ServerHealth()
    for number, good in enumerate(results):
        health.record_result(10.0 + 0.01 * number, good)
    return health


class TestHealth(testtools.TestCase):
    def test_a_server_is_unhealthy_after_three_failed_runs(self):
        self.assertFalse(health_after(False, False).is_unhealthy(10.1))
        self.assertTrue(health_after(False, False, False).is_unhealthy(10.1))

    def test_few_failures_among_many_runs_are_blamed_on_the_tasks(self):
        health = health_after(*([True] * 5), False, False, False)
        self.assertFalse(health.is_unhealthy(10.1))

    def test_an_unhealthy_server_recovers_with_a_successful_trial(self):
        health = health_after(False, False, False)
        later_s = 10.1 + serverhealth.MIN_BACKOFF_S
        self.assertFalse(health.is_unhealthy(later_s))
        self.assertTrue(health.is_on_trial(later_s))
        health.record_result(later_s, True)
        self.assertFalse(health.is_on_trial(later_s))

    def test_each_failed_trial_doubles_the_backoff(self):
        health = health_after(False, False, False)
        later_s = 10.1 + serverhealth.MIN_BACKOFF_S
        health.record_result(later_s, False)
        self.assertTrue(
            health.is_unhealthy(later_s + 1.9 * serverhealth.MIN_BACKOFF_S)
        )


class TestSpeed(testtools.TestCase):
    def test_a_wrong_estimate_of_one_wide_job_does_not_change_the_speed(self):
        health = serverhealth.ServerHealth()
        for _ in range(8):
            health.record_speed(10.0, "wide", 0.2)
        self.assertEqual(1.0, health.speed(10.1))

    def test_several_slow_jobs_lower_the_speed(self):
        health = serverhealth.ServerHealth()
        for number, speed in enumerate((0.2, 0.15, 0.3, 0.18)):
            health.record_speed(10.0, f"j{number}", speed)
        self.assertLess(health.speed(10.1), 0.3)

    def test_the_speed_of_an_idle_server_returns_to_one(self):
        health = serverhealth.ServerHealth()
        for number in range(5):
            health.record_speed(10.0, f"j{number}", 0.2)
        later_s = 10.1 + serverhealth.SPEED_WINDOW_S
        self.assertEqual(1.0, health.speed(later_s))
