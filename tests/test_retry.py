"""Tests of the retry budget and backoff."""

import random

import testtools

from egretthread import retry


class RetryTest(testtools.TestCase):
    def test_budget_is_a_share_of_successes(self):
        budget = retry.RetryBudget(share=0.1, min_per_s=0.0)
        self.assertFalse(budget.take(0.0))
        for _ in range(25):
            budget.succeed()
        taken = [budget.take(0.0) for _ in range(3)]
        self.assertEqual([True, True, False], taken)

    def test_some_retries_are_allowed_without_success(self):
        budget = retry.RetryBudget(share=0.1, min_per_s=2.0)
        taken = [budget.take(0.0) for _ in range(3)]
        self.assertEqual([True, True, False], taken)
        self.assertTrue(budget.take(0.5))

    def test_backoff_is_jittered_and_capped(self):
        rng = random.Random(7)
        for attempt in range(1, 2000):
            wait_s = retry.backoff_s(attempt, rng)
            self.assertTrue(0.0 <= wait_s <= retry.MAX_BACKOFF_S)
        self.assertTrue(retry.backoff_s(1, rng) <= retry.FIRST_BACKOFF_S)
