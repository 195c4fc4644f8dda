"""Tests of jobs that are submitted to two entries at the same time."""

import itertools

import testtools

from egretthread import witness
from tests import world

SETTLE_S = 5.0 + witness.SETTLE_S
SEEDS = (0, 1, 2, 5)
ROUNDS = 12
PAIRS = (("e1", "e2"), ("e2", "e3"), ("e3", "e1"))
TASKS = 12
# Simulated time without faults; no task runs longer than 2 s.
ANSWERED_WITHIN_S = 3.0


class RacesTest(testtools.TestCase):
    def test_both_entries_answer_without_waiting_for_a_resend(self):
        # Guards against an entry that takes a job over while the other one
        # is still claiming it. A superseded assignment that arrived late
        # then blocked its successor, and the former coordinator learned of
        # the takeover only after 10 s.
        for seed in SEEDS:
            region = world.World(seed, faults=False)
            region.run(SETTLE_S)
            for _, pair in itertools.product(range(ROUNDS), PAIRS):
                self.race(region, pair, f"seed {seed}")
            self.assertEqual(0, takeovers(region), f"seed {seed}")

    def race(self, region, pair, where):
        job = region.new_submission("raced", TASKS)
        first, second = (region.submit(name, job) for name in pair)
        answered = region.run_until(
            lambda: first.result and second.result, ANSWERED_WITHIN_S
        )
        self.assertTrue(answered, where)
        self.assertEqual(first.result, second.result, where)
        self.assertTrue(first.result.complete, where)


def takeovers(region):
    boards = [region.processes[name].board for name in region.entry_names]
    return sum(board.counters["takeovers"] for board in boards)
