"""Tests of the drawing of scenarios."""

import unittest

from egretthread_standins.soak import callers, disturbances, scenario

ENTRIES = ["entry-1", "entry-2", "entry-3"]
AGENTS = ["agent-1", "agent-2"]


class DrawTest(unittest.TestCase):
    def draw(self, seed):
        return scenario.draw(seed, 60.0, disturbances.KINDS, ENTRIES, AGENTS)

    def test_a_seed_draws_the_same_steps(self):
        self.assertEqual(self.draw(1), self.draw(1))
        self.assertNotEqual(self.draw(1), self.draw(2))

    def test_steps_are_in_order_and_end_in_time(self):
        for seed in range(20):
            steps = self.draw(seed)
            times = [step.at_s for step in steps]
            self.assertEqual(sorted(times), times)
            for step in steps:
                if step.kind != scenario.CONFIGURE:
                    self.assertLessEqual(step.at_s + step.duration_s, 60.0)

    def test_all_kinds_are_drawn_and_known(self):
        drawn = {step.kind for seed in range(50) for step in self.draw(seed)}
        self.assertEqual(disturbances.ACTIONS.keys(), drawn)

    def test_targets_are_machines_of_the_role(self):
        for step in self.draw(3):
            if step.kind == "foreign-heartbeats":
                self.assertLessEqual(set(step.targets), set(AGENTS))


class SharesTest(unittest.TestCase):
    def test_what_callers_do_can_be_left_out(self):
        shares = callers.Shares()
        self.assertGreater(shares.kept_jobs, 0.0)
        left = shares.without(frozenset({"kept-jobs", "kill"}))
        self.assertEqual(callers.Shares(kept_jobs=0.0), left)
