"""Tests of the judgement on a backend server."""

import testtools

from egretthread.scheduling import serverhealth


def judged(*results):
    health = serverhealth.ServerHealth()
    for number, good in enumerate(results):
        health.note(10.0 + 0.01 * number, good)
    return health


class TestSickness(testtools.TestCase):
    def test_a_server_that_fails_all_it_starts_is_sick_after_three(self):
        self.assertFalse(judged(False, False).is_sick(10.1))
        self.assertTrue(judged(False, False, False).is_sick(10.1))

    def test_a_few_failures_among_many_runs_are_the_tasks_own(self):
        health = judged(*([True] * 5), False, False, False)
        self.assertFalse(health.is_sick(10.1))

    def test_a_sick_server_is_tried_again_and_returns_with_a_good_run(self):
        health = judged(False, False, False)
        later_s = 10.1 + serverhealth.FIRST_PAUSE_S
        self.assertFalse(health.is_sick(later_s))
        self.assertTrue(health.is_on_trial(later_s))
        health.note(later_s, True)
        self.assertFalse(health.is_on_trial(later_s))

    def test_each_failed_trial_doubles_the_pause(self):
        health = judged(False, False, False)
        later_s = 10.1 + serverhealth.FIRST_PAUSE_S
        health.note(later_s, False)
        self.assertTrue(
            health.is_sick(later_s + 1.9 * serverhealth.FIRST_PAUSE_S)
        )


class TestSpeed(testtools.TestCase):
    def test_one_wide_job_with_a_wrong_estimate_says_nothing(self):
        health = serverhealth.ServerHealth()
        for _ in range(8):
            health.note_speed(10.0, "wide", 0.2)
        self.assertEqual(1.0, health.speed(10.1))

    def test_a_slow_server_shows_in_several_jobs(self):
        health = serverhealth.ServerHealth()
        for number, speed in enumerate((0.2, 0.15, 0.3, 0.18)):
            health.note_speed(10.0, f"j{number}", speed)
        self.assertLess(health.speed(10.1), 0.3)

    def test_a_server_that_got_nothing_for_a_while_is_tried_again(self):
        health = serverhealth.ServerHealth()
        for number in range(5):
            health.note_speed(10.0, f"j{number}", 0.2)
        later_s = 10.1 + serverhealth.SPEED_WINDOW_S
        self.assertEqual(1.0, health.speed(later_s))
